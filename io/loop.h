// Single-threaded event loop for coroutines: a FIFO queue of ready coroutines, timers, and sockets through
// edge-triggered epoll(7). Its clock is the monotonic clock of the machine or a simulated one. The simulated
// clock stands still while anything can run and advances to the next timer when nothing can, so that the
// result of a run does not depend on the speed of the machine.
#pragma once

#include <boost/intrusive/list.hpp>
#include <coroutine>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "failure.h"
#include "system_calls.h"
#include "task.h"
#include "timer_wheel.h"

namespace cressrill::io {

using Nanos = std::int64_t;  // nanoseconds: a duration, or a time on the clock of a Loop
constexpr Nanos kMicrosecond = 1'000;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000'000'000;

class Loop;

namespace intrusive = boost::intrusive;
using AutoUnlink = intrusive::link_mode<intrusive::auto_unlink>;

// A suspended coroutine, linked into at most one list. Its destructor unlinks it, so that no list refers to a
// destroyed frame.
struct Waiter : intrusive::list_base_hook<AutoUnlink> {
  std::coroutine_handle<> handle;
};

// Makes a waiter ready at a given time; see Loop::set_timer(). Destroying it cancels it.
struct Timer : intrusive::list_base_hook<AutoUnlink> {
  Nanos at{};             // when it is due
  std::uint64_t order{};  // timers with the same due time fire in the order in which they were set
  Waiter* waiter{};
};

// Readiness of one registered descriptor, and the coroutines that wait for it (at most one for each
// direction).
struct DescriptorState {
  Waiter* read_waiter{};
  Waiter* write_waiter{};
  bool readable{true};  // a read may succeed; set by epoll, cleared by EAGAIN or a short read
  bool left_unread{};   // data was seen by a peek and not read; epoll will not report it again
  bool writable{true};  // a write may succeed; set by epoll, cleared by EAGAIN
  bool hung_up{};       // the peer closed or broke the connection; epoll will not report remaining data
  bool cancel_read{};   // the pending read, or else the next one, returns ECANCELED
  std::int64_t last_readable_at{};  // time of the last epoll event that reported the descriptor readable
};

// Delay before retrying a call that failed because this machine was short of a resource.
constexpr Nanos kResourceRetryDelay = 5 * kMs;

// Not thread-safe. Owns neither coroutines nor sockets: tasks, scopes and sockets must not outlive their
// loop.
class Loop {
 public:
  enum class Clock { real, simulated };

  explicit Loop(Clock clock = Clock::real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Time at the start of the current iteration.
  Nanos now() const { return now_; }
  bool is_simulated() const { return clock_ == Clock::simulated; }
  // Reads the clock again and returns the new now(). For a deadline that has to count from the moment of a
  // call, not from the start of the iteration.
  Nanos update_now() {
    read_clock();
    return now_;
  }
  // Offset to add to now() to get the time in nanoseconds since the Unix epoch. Read from the machine at each
  // call, as a step of the wall clock changes it; a constant with the simulated clock.
  Nanos wall_clock_offset() const;

  // Runs until done() returns true or nothing is left that could ever run. Returns the last value of done().
  bool run_until(const std::function<bool()>& done);
  // Runs until stop() is called or nothing is left that could ever run.
  void run() {
    stopped_ = false;
    run_until([this] { return stopped_; });
  }
  void stop() { stopped_ = true; }

  // run_once(), next_timer_at() and advance_to() are for a simulator that drives several loops in step, all
  // with simulated clocks.
  // Fires due timers and runs one round of ready coroutines or, if none was ready, polls the sockets once.
  // Returns whether a coroutine ran or a socket was ready.
  bool run_once();
  static constexpr Nanos kNoTimer = TimerWheel<Timer>::kNone;
  // Due time of the next timer, or kNoTimer.
  Nanos next_timer_at() { return timers_.next_due(); }
  void advance_to(Nanos time) { now_ = time; }

  // Appends the coroutine to the ready queue. No effect while the waiter is linked into a list.
  void make_ready(Waiter& waiter) {
    if (!waiter.is_linked()) ready_.push_back(waiter);
  }
  // Makes the waiter ready at that time, unless the timer is destroyed or set again before.
  void set_timer(Timer& timer, Nanos at, Waiter& waiter);

  // co_await loop.sleep_until(time) resumes at that time. A time in the past suspends too: the coroutine
  // resumes after those that are ready now.
  struct Sleep : Waiter {
    Sleep(Loop& owner, Nanos time) : loop(owner), until(time) {}
    Sleep(Sleep&&) = delete;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) {
      handle = h;
      loop.set_timer(timer, until, *this);
    }
    void await_resume() const noexcept {}
    Loop& loop;
    Nanos until;
    Timer timer;
  };
  Sleep sleep_until(Nanos time) { return Sleep(*this, time); }
  Sleep sleep_for(Nanos duration) { return Sleep(*this, now_ + duration); }

  // co_await loop.yield() resumes after the sockets have been polled and the coroutines that are ready by
  // then have run. For work that would otherwise go on without ever waiting.
  struct Yield : Waiter {
    explicit Yield(Loop& owner) : loop(owner) {}
    Yield(Yield&&) = delete;
    bool await_ready() const noexcept { return false; }
    void await_suspend(std::coroutine_handle<> h) {
      handle = h;
      loop.yielded_.push_back(*this);
    }
    void await_resume() const noexcept {}
    Loop& loop;
  };
  Yield yield() { return Yield(*this); }
  // The number of times that the sockets were polled.
  std::uint64_t poll_count() const { return system_calls_.count(SystemCall::epoll_wait); }

  // Observers of failures that the process survives: system calls that failed for a reason other than the
  // peer, and tasks that ended with an exception. first: no failure with the same call and errno was reported
  // before.
  using CallFailureObserver = std::function<void(SystemCall call, int error, bool first)>;
  using TaskFailureObserver = std::function<void(const char* what)>;
  void observe_failures(CallFailureObserver calls, TaskFailureObserver tasks) {
    observe_call_failure_ = std::move(calls);
    observe_task_failure_ = std::move(tasks);
  }
  void report_call_failure(SystemCall call, int error);
  // Reports an exception that left a task which no coroutine awaits. Terminates the process if no observer is
  // set.
  void report_task_failure(std::exception_ptr thrown) noexcept;

  // For Socket only. Returns 0, or the errno of a failed registration. descriptor has to stay in place until
  // fd is deregistered.
  int register_descriptor(int fd, DescriptorState& descriptor);
  void deregister_descriptor(int fd);
  // Counts bytes written to sockets (positive) or read from them (negative).
  void count_transfer(std::int64_t bytes) {
    bytes_in_transit_ += bytes;
    if (bytes > 0) transit_polls_left_ = kTransitPolls;
  }
  void count_call(SystemCall call, std::uint64_t times = 1) { system_calls_.add(call, times); }
  const SystemCallCounts& system_calls() const { return system_calls_; }

 private:
  bool run_ready();
  bool poll_descriptors(int timeout_ms);
  bool resume_yielded();
  bool fire_due_timers();
  void read_clock();
  bool poll_in_transit();

  int epoll_;
  Clock clock_;
  Nanos now_{};
  bool stopped_{};
  std::uint64_t next_timer_order_{};
  static constexpr int kTransitPolls = 8;  // polls of 1 ms each after a write, with the simulated clock
  int transit_polls_left_{};
  // Bytes written less bytes read: what is in the kernel, if both ends of all connections are on this loop.
  std::int64_t bytes_in_transit_{};
  std::size_t registered_count_{};
  SystemCallCounts system_calls_;
  std::vector<std::pair<SystemCall, int>> reported_failures_;
  CallFailureObserver observe_call_failure_;
  TaskFailureObserver observe_task_failure_;
  Waiter round_end_;  // marks the end of the current round in the ready queue
  intrusive::list<Waiter, intrusive::constant_time_size<false>> ready_;
  intrusive::list<Waiter, intrusive::constant_time_size<false>> yielded_;  // ready after the next poll
  TimerWheel<Timer> timers_;
};

// Owns concurrent tasks. Its destructor, or cancel(), cancels all of them; neither may be called from inside
// one of them.
class Scope {
 public:
  // What an exception that leaves a task ends: only that task, or the whole process if it cannot do without
  // the task.
  enum class OnException { end_task, end_process };

  explicit Scope(Loop& loop, OnException on_exception = OnException::end_task)
      : loop_(loop), on_exception_(on_exception) {}
  ~Scope() { cancel(); }
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

  // Starts the task after the coroutines that are ready now. An exception that leaves it is reported to
  // Loop::report_task_failure() and then handled as OnException says.
  void spawn(Task<> task);
  void cancel();
  // Whether all tasks have finished.
  bool empty() const { return roots_.empty(); }

 private:
  // Top-level coroutine of a spawned task; its frame destroys itself when the task has finished.
  struct Root {
    struct promise_type : FrameAllocated, intrusive::list_base_hook<AutoUnlink> {
      Waiter start;
      Scope* scope{};
      Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
      std::suspend_always initial_suspend() noexcept { return {}; }
      struct DestroyFrame {
        bool await_ready() noexcept { return false; }
        void await_suspend(std::coroutine_handle<promise_type> h) noexcept { h.destroy(); }
        void await_resume() noexcept {}
      };
      DestroyFrame final_suspend() noexcept { return {}; }
      void return_void() noexcept {}
      void unhandled_exception() noexcept { scope->handle_exception(std::current_exception()); }
    };
    std::coroutine_handle<promise_type> handle;
  };
  static Root root(Task<> task);
  void handle_exception(std::exception_ptr thrown) noexcept;

  Loop& loop_;
  OnException on_exception_;
  intrusive::list<Root::promise_type, intrusive::constant_time_size<false>> roots_;
};

// Condition signal between coroutines of one loop. notify() wakes all that wait; with no waiter, it is
// remembered (once) and the next wait() returns at once.
class Signal {
 public:
  explicit Signal(Loop& loop) : loop_(loop) {}
  void notify() {
    if (waiters_.empty()) {
      set_ = true;
      return;
    }
    while (!waiters_.empty()) {
      Waiter& waiter = waiters_.front();
      waiters_.pop_front();
      loop_.make_ready(waiter);
    }
  }
  struct Wait : Waiter {
    explicit Wait(Signal& awaited) : signal(awaited) {}
    Wait(Wait&&) = delete;
    bool await_ready() const noexcept {
      const bool was_set = signal.set_;
      signal.set_ = false;
      return was_set;
    }
    void await_suspend(std::coroutine_handle<> h) {
      handle = h;
      signal.waiters_.push_back(*this);
    }
    void await_resume() const noexcept {}
    Signal& signal;
  };
  Wait wait() { return Wait(*this); }

 private:
  Loop& loop_;
  bool set_{};  // notified while no coroutine waited
  intrusive::list<Waiter, intrusive::constant_time_size<false>> waiters_;
};

// Runs a task until the deadline at most. Returns its result or, if the deadline came first, cancels the task
// and returns nothing.
template <class T>
Task<std::optional<T>> with_deadline(Loop& loop, Nanos deadline, Task<T> task) {
  std::optional<T> result;
  Signal done(loop);
  Scope scope(loop);
  scope.spawn([](Task<T> inner, std::optional<T>& out, Signal& finished) -> Task<> {
    out.emplace(co_await std::move(inner));
    finished.notify();
  }(std::move(task), result, done));
  scope.spawn([](Loop& timer_loop, Nanos until, Signal& finished) -> Task<> {
    co_await timer_loop.sleep_until(until);
    finished.notify();
  }(loop, deadline, done));
  co_await done.wait();
  co_return result;
}

// Waits until the signal is notified or the deadline has passed.
inline Task<> wait_until(Loop& loop, Signal& signal, Nanos deadline) {
  co_await with_deadline(loop, deadline, [](Signal& awaited) -> Task<bool> {
    co_await awaited.wait();
    co_return true;
  }(signal));
}

}  // namespace cressrill::io
