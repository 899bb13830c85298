#include "loop.h"

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace cressrill::io {

namespace {
Nanos clock_now(clockid_t id) {
  timespec t{};
  clock_gettime(id, &t);
  return t.tv_sec * kSecond + t.tv_nsec;
}
}  // namespace

Loop::Loop(Time time) : epoll_(epoll_create1(EPOLL_CLOEXEC)), time_(time) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  if (time_ == Time::real) {
    read_clock();
  } else {
    now_ = kSecond;
  }
}

Nanos Loop::wall_offset() const {
  constexpr Nanos kHandedOffset = 1'700'000'000 * kSecond;
  return time_ == Time::real ? clock_now(CLOCK_REALTIME) - clock_now(CLOCK_MONOTONIC) : kHandedOffset;
}

Loop::~Loop() { ::close(epoll_); }

void Loop::read_clock() {
  if (time_ == Time::real) now_ = clock_now(CLOCK_MONOTONIC);
}

void Loop::set(Timer& timer, Nanos at, Waiter& waiter) {
  timer.at = at;
  timer.order = order_++;
  timer.waiter = &waiter;
  timers_.set(timer);
}

void Loop::failed(Call call, int error) {
  const auto kind = std::pair(call, error);
  const bool first = std::ranges::find(failed_before_, kind) == failed_before_.end();
  if (first) failed_before_.push_back(kind);
  if (observe_call_) observe_call_(call, error, first);
}

void Loop::task_failed(std::exception_ptr thrown) noexcept {
  if (!observe_task_) std::terminate();
  try {
    std::rethrow_exception(std::move(thrown));
  } catch (const std::exception& e) {
    observe_task_(e.what());
  } catch (...) {
    observe_task_("an exception of unknown type");
  }
}

int Loop::watch(int fd, Watch& watch) {
  called(Call::epoll_ctl);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &watch;
  watch.arrived = now_;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
    const int error = errno;
    failed(Call::epoll_ctl, error);
    return error;
  }
  ++watched_;
  return 0;
}

void Loop::unwatch(int fd) {
  called(Call::epoll_ctl);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  --watched_;
}

bool Loop::run_ready() {
  if (ready_.empty()) return false;
  // One round: what becomes ready meanwhile waits for the next, so that sockets and timers get their turn.
  ready_.push_back(round_end_);
  while (&ready_.front() != &round_end_) {
    Waiter& w = ready_.front();
    ready_.pop_front();
    w.handle.resume();
  }
  ready_.pop_front();
  return true;
}

bool Loop::poll(int timeout_ms) {
  called(Call::epoll_wait);
  std::array<epoll_event, 256> events;
  const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  if (n < 0) failed(Call::epoll_wait, errno);
  if (timeout_ms != 0) read_clock();  // it may have waited long
  for (int i = 0; i < n; ++i) {
    auto* watch = static_cast<Watch*>(events[static_cast<std::size_t>(i)].data.ptr);
    const auto bits = events[static_cast<std::size_t>(i)].events;
    if (bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) watch->hung = true;
    if (bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
      watch->readable = true;
      watch->arrived = now_;
      if (watch->reader != nullptr) make_ready(*watch->reader);
    }
    if (bits & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
      watch->writable = true;
      if (watch->writer != nullptr) make_ready(*watch->writer);
    }
  }
  return n > 0;
}

bool Loop::fire_due() {
  return timers_.fire(now_, [this](Timer& t) { make_ready(*t.waiter); });
}

// With handed time the clock may only jump once the kernel has delivered what was written. Loopback delivers in
// the writer's own call nearly always; some moments of real time after each write cover the rest. What has not come by then
// lies at a socket that nobody reads.
bool Loop::settle() {
  if (watched_ == 0) return false;
  if (poll(0)) return true;
  if (in_kernel_ == 0 || waits_left_ == 0) return false;
  --waits_left_;
  return poll(1);
}

bool Loop::round() {
  fire_due();
  return run_ready() || poll(0);
}

bool Loop::run_until(const std::function<bool()>& done) {
  constexpr int kRounds = 16;
  int rounds = 0;
  while (!done()) {
    read_clock();
    fire_due();
    if (run_ready()) {
      // What it made ready runs next; sockets get their turn when nothing is left, or after some rounds.
      if (!ready_.empty() && ++rounds < kRounds) continue;
      rounds = 0;
      if (!ready_.empty() || time_ == Time::handed) poll(0);
      continue;
    }
    rounds = 0;
    if (time_ == Time::handed) {
      if (settle()) continue;
      const Nanos next = timers_.next();
      if (next == kNoTimer) return done();
      now_ = std::max(now_, next);
      continue;
    }
    const Nanos next = timers_.next_at_least();
    if (next == kNoTimer && watched_ == 0) return done();
    int timeout = -1;
    if (next != kNoTimer) {
      const Nanos left = next - now_;
      timeout = static_cast<int>(std::clamp<Nanos>((left + kMs - 1) / kMs, 0, 60'000));
    }
    poll(timeout);
  }
  return true;
}

Scope::Root Scope::root(Task<> task) { co_await std::move(task); }

void Scope::spawn(Task<> task) {
  auto& promise = root(std::move(task)).handle.promise();
  roots_.push_back(promise);
  promise.scope = this;
  promise.start.handle = std::coroutine_handle<Root::promise_type>::from_promise(promise);
  loop_.make_ready(promise.start);
}

void Scope::failed(std::exception_ptr thrown) noexcept {
  loop_.task_failed(std::move(thrown));
  if (failure_ == Failure::ends_program) std::terminate();
}

void Scope::cancel() {
  while (!roots_.empty()) {
    auto& promise = roots_.front();
    roots_.pop_front();
    std::coroutine_handle<Root::promise_type>::from_promise(promise).destroy();
  }
}

}  // namespace cressrill::io
