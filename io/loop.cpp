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
Nanos read_system_clock(clockid_t id) {
  timespec time{};
  clock_gettime(id, &time);
  return time.tv_sec * kSecond + time.tv_nsec;
}
}  // namespace

Loop::Loop(Clock clock) : epoll_(epoll_create1(EPOLL_CLOEXEC)), clock_(clock) {
  if (epoll_ < 0) throw std::system_error(errno, std::generic_category(), "epoll_create1");
  if (clock_ == Clock::real) {
    read_clock();
  } else {
    now_ = kSecond;  // arbitrary start of the simulated clock
  }
}

Nanos Loop::wall_clock_offset() const {
  constexpr Nanos kSimulatedOffset = 1'700'000'000 * kSecond;  // an arbitrary date: November 2023
  return clock_ == Clock::real ? read_system_clock(CLOCK_REALTIME) - read_system_clock(CLOCK_MONOTONIC)
                               : kSimulatedOffset;
}

Loop::~Loop() { ::close(epoll_); }

void Loop::read_clock() {
  if (clock_ == Clock::real) now_ = read_system_clock(CLOCK_MONOTONIC);
}

void Loop::set_timer(Timer& timer, Nanos at, Waiter& waiter) {
  timer.at = at;
  timer.order = next_timer_order_++;
  timer.waiter = &waiter;
  timers_.set(timer);
}

void Loop::report_call_failure(SystemCall call, int error) {
  const auto failure = std::pair(call, error);
  const bool first = std::ranges::find(reported_failures_, failure) == reported_failures_.end();
  if (first) reported_failures_.push_back(failure);
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

int Loop::register_descriptor(int fd, DescriptorState& descriptor) {
  count_call(SystemCall::epoll_ctl);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.ptr = &descriptor;
  descriptor.last_readable_at = now_;
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
  // Coroutines that become ready meanwhile run in the next round, so that sockets and timers are not starved.
  ready_.push_back(round_end_);
  while (&ready_.front() != &round_end_) {
    Waiter& waiter = ready_.front();
    ready_.pop_front();
    waiter.handle.resume();
  }
  ready_.pop_front();
  return true;
}

bool Loop::poll_descriptors(int timeout_ms) {
  count_call(SystemCall::epoll_wait);
  std::array<epoll_event, 256> events;  // further events are returned by the next call
  const int event_count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), timeout_ms);
  if (event_count < 0) report_call_failure(SystemCall::epoll_wait, errno);
  if (timeout_ms != 0) read_clock();  // the call may have blocked
  for (int i = 0; i < event_count; ++i) {
    auto* descriptor = static_cast<DescriptorState*>(events[static_cast<std::size_t>(i)].data.ptr);
    const auto event_bits = events[static_cast<std::size_t>(i)].events;
    if (event_bits & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) descriptor->hung_up = true;
    if (event_bits & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
      descriptor->readable = true;
      descriptor->last_readable_at = now_;
      if (descriptor->read_waiter != nullptr) make_ready(*descriptor->read_waiter);
    }
    if (event_bits & (EPOLLOUT | EPOLLHUP | EPOLLERR)) {
      descriptor->writable = true;
      if (descriptor->write_waiter != nullptr) make_ready(*descriptor->write_waiter);
    }
  }
  const bool resumed = resume_yielded();
  return event_count > 0 || resumed;
}

// Makes the coroutines ready that gave up their turn, behind those that are ready already.
bool Loop::resume_yielded() {
  if (yielded_.empty()) return false;
  ready_.splice(ready_.end(), yielded_);
  return true;
}

bool Loop::fire_due_timers() {
  return timers_.fire(now_, [this](Timer& timer) { make_ready(*timer.waiter); });
}

// Polls while written data may still be in the kernel, as the simulated clock may only advance once that data
// has been delivered. Loopback nearly always delivers within the write call; up to kTransitPolls ms of real
// time after a write cover the rest. Bytes that are still unread then belong to a socket that nobody reads.
bool Loop::poll_in_transit() {
  if (registered_count_ == 0) return false;
  if (poll_descriptors(0)) return true;
  if (bytes_in_transit_ == 0 || transit_polls_left_ == 0) return false;
  --transit_polls_left_;
  return poll_descriptors(1);  // ms
}

bool Loop::run_once() {
  fire_due_timers();
  return run_ready() || poll_descriptors(0);
}

bool Loop::run_until(const std::function<bool()>& done) {
  constexpr int kRoundsBetweenPolls = 16;  // limits how long ready coroutines can delay socket events
  int rounds = 0;
  while (!done()) {
    read_clock();
    fire_due_timers();
    if (run_ready()) {
      // Sockets are polled once no coroutine is ready, or after kRoundsBetweenPolls rounds.
      if (!ready_.empty() && ++rounds < kRoundsBetweenPolls) continue;
      rounds = 0;
      if (!ready_.empty() || clock_ == Clock::simulated) poll_descriptors(0);
      continue;
    }
    rounds = 0;
    if (!yielded_.empty()) {
      poll_descriptors(0);
      continue;
    }
    if (clock_ == Clock::simulated) {
      if (poll_in_transit()) continue;
      const Nanos next = timers_.next_due();
      if (next == kNoTimer) return done();
      now_ = std::max(now_, next);
      continue;
    }
    const Nanos next = timers_.next_due_lower_bound();
    if (next == kNoTimer && registered_count_ == 0) return done();
    int timeout_ms = -1;  // no timer is set: waits until a descriptor is ready
    if (next != kNoTimer) {
      const Nanos left = next - now_;
      // Rounded up to whole ms, so that the timer is due on return; a minute at most, to fit an int.
      timeout_ms = static_cast<int>(std::clamp<Nanos>((left + kMs - 1) / kMs, 0, 60'000));
    }
    poll_descriptors(timeout_ms);
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

void Scope::handle_exception(std::exception_ptr thrown) noexcept {
  loop_.report_task_failure(std::move(thrown));
  if (on_exception_ == OnException::end_process) std::terminate();
}

void Scope::cancel() {
  while (!roots_.empty()) {
    auto& promise = roots_.front();
    roots_.pop_front();
    std::coroutine_handle<Root::promise_type>::from_promise(promise).destroy();
  }
}

}  // namespace cressrill::io
