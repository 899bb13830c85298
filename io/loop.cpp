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

Loop::Loop(Clock time) : epoll_(epoll_create1(EPOLL_CLOEXEC)), clock_(time) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  if (clock_ == Clock::real) {
    read_clock();
  } else {
    now_ = kSecond;
  }
}

Nanos Loop::wall_clock_offset() const {
  constexpr Nanos kHandedOffset = 1'700'000'000 * kSecond;
  return clock_ == Clock::real ? clock_now(CLOCK_REALTIME) - clock_now(CLOCK_MONOTONIC) : kHandedOffset;
}

Loop::~Loop() { ::close(epoll_); }

void Loop::read_clock() {
  if (clock_ == Clock::real) now_ = clock_now(CLOCK_MONOTONIC);
}

void Loop::set_timer(Timer& timer, Nanos at, Waiter& waiter) {
  timer.at = at;
  timer.order = next_timer_order_++;
  timer.waiter = &waiter;
  timers_.set(timer);
}

void Loop::report_call_failure(SystemCall call, int error) {
  const auto kind = std::pair(call, error);
  const bool first = std::ranges::find(reported_failures_, kind) == reported_failures_.end();
  if (first) reported_failures_.push_back(kind);
  if (observe_call_failure_) observe_call_failure_(call, error, first);
}

void Loop::report_task_failure(std::exception_ptr thrown) noexcept {
  if (!observe_task_failure_) std::terminate();
  try {
    std::rethrow_exception(std::move(thrown));
  } catch (const std::exception& e) {
    observe_task_failure_(e.what());
  } catch (...) {
    observe_task_failure_("an exception of unknown type");
  }
}

int Loop::register_descriptor(int fd, Readiness& watch) {
  count_call(SystemCall::epoll_ctl);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &watch;
  watch.last_readable_at = now_;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) != 0) {
    const int error = errno;
    report_call_failure(SystemCall::epoll_ctl, error);
    return error;
  }
  ++registered_count_;
  return 0;
}

void Loop::deregister_descriptor(int fd) {
  count_call(SystemCall::epoll_ctl);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
  --registered_count_;
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

bool Loop::poll_descriptors(int timeout_ms) {
  count_call(SystemCall::epoll_wait);
  std::array<epoll_event, 256> events;
  const int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  if (n < 0) report_call_failure(SystemCall::epoll_wait, errno);
  if (timeout_ms != 0) read_clock();  // it may have waited long
  for (int i = 0; i < n; ++i) {
    auto* watch = static_cast<Readiness*>(events[static_cast<std::size_t>(i)].data.ptr);
    const auto bits = events[static_cast<std::size_t>(i)].events;
    if (bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) watch->hung_up = true;
    if (bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
      watch->readable = true;
      watch->last_readable_at = now_;
      if (watch->read_waiter != nullptr) make_ready(*watch->read_waiter);
    }
    if (bits & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
      watch->writable = true;
      if (watch->write_waiter != nullptr) make_ready(*watch->write_waiter);
    }
  }
  return n > 0;
}

bool Loop::fire_due_timers() {
  return timers_.fire(now_, [this](Timer& t) { make_ready(*t.waiter); });
}

// With handed time the clock may only jump once the kernel has delivered what was written. Loopback delivers in
// the writer's own call nearly always; some moments of real time after each write cover the rest. What has not come by then
// lies at a socket that nobody reads.
bool Loop::poll_in_transit() {
  if (registered_count_ == 0) return false;
  if (poll_descriptors(0)) return true;
  if (bytes_in_transit_ == 0 || transit_polls_left_ == 0) return false;
  --transit_polls_left_;
  return poll_descriptors(1);
}

bool Loop::run_once() {
  fire_due_timers();
  return run_ready() || poll_descriptors(0);
}

bool Loop::run_until(const std::function<bool()>& done) {
  constexpr int kRounds = 16;
  int rounds = 0;
  while (!done()) {
    read_clock();
    fire_due_timers();
    if (run_ready()) {
      // What it made ready runs next; sockets get their turn when nothing is left, or after some rounds.
      if (!ready_.empty() && ++rounds < kRounds) continue;
      rounds = 0;
      if (!ready_.empty() || clock_ == Clock::simulated) poll_descriptors(0);
      continue;
    }
    rounds = 0;
    if (clock_ == Clock::simulated) {
      if (poll_in_transit()) continue;
      const Nanos next = timers_.next_due();
      if (next == kNoTimer) return done();
      now_ = std::max(now_, next);
      continue;
    }
    const Nanos next = timers_.next_due_lower_bound();
    if (next == kNoTimer && registered_count_ == 0) return done();
    int timeout = -1;
    if (next != kNoTimer) {
      const Nanos left = next - now_;
      timeout = static_cast<int>(std::clamp<Nanos>((left + kMs - 1) / kMs, 0, 60'000));
    }
    poll_descriptors(timeout);
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

void Scope::on_exception(std::exception_ptr thrown) noexcept {
  loop_.report_task_failure(std::move(thrown));
  if (failure_ == OnException::end_process) std::terminate();
}

void Scope::cancel() {
  while (!roots_.empty()) {
    auto& promise = roots_.front();
    roots_.pop_front();
    std::coroutine_handle<Root::promise_type>::from_promise(promise).destroy();
  }
}

}  // namespace cressrill::io
