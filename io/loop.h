// The scheduler: one thread, coroutines that are ready in the order in which they became so, timers, and
// sockets through epoll (edge-triggered, epoll(7)). Time is the machine's monotonic clock, or is handed in: then
// it stands still while anything can run and jumps to the next timer when nothing can, so that a run depends on
// what was written and not on how fast the machine is.
#pragma once

#include <boost/intrusive/list.hpp>
#include <coroutine>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "calls.h"
#include "failure.h"
#include "task.h"
#include "timer_wheel.h"

namespace cressrill::io {

using Nanos = std::int64_t;  // on one monotonic clock
constexpr Nanos kMicrosecond = 1'000;
constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000'000'000;

class Loop;

namespace intrusive = boost::intrusive;
using AutoUnlink = intrusive::link_mode<intrusive::auto_unlink>;

// A suspended coroutine. Destroyed with the frame that it stands in, it leaves every list by itself.
struct Waiter : intrusive::list_base_hook<AutoUnlink> {
  std::coroutine_handle<> handle;
};

struct Timer : intrusive::list_base_hook<AutoUnlink> {
  Nanos at{};
  std::uint64_t order{};  // of those due at once, the first set runs first
  Waiter* waiter{};
};

// What the scheduler keeps of one descriptor: who waits for it, until that wait ends, and whether the last call
// was told to wait.
struct Readiness {
  Waiter* read_waiter{};
  Waiter* write_waiter{};
  bool readable{true};
  bool left_unread{};  // something was seen and left: a read finds it, though no word of it will come
  bool writable{true};
  bool hung_up{};      // the peer has ended or broken it: what is left to read comes without further word
  bool cancel_read{};  // the read that waits, or the next, is to end
  std::int64_t last_readable_at{};  // when the kernel last told that something came
};

// A pause before a call is made again that failed for a lack on this machine.
constexpr Nanos kResourceRetryDelay = 5 * kMs;

class Loop {
 public:
  enum class Clock { real, simulated };

  explicit Loop(Clock time = Clock::real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  Nanos now() const { return now_; }
  bool is_simulated() const { return clock_ == Clock::simulated; }
  // Reads the clock anew: now() is of the beginning of this round, and a limit that binds at a call counts from the call.
  Nanos update_now() {
    read_clock();
    return now_;
  }
  // Nanoseconds since 1970 that the wall clock of this machine shows at now() == 0, read anew: each step of that clock
  // changes it.
  Nanos wall_clock_offset() const;

  // Runs until done() holds or nothing is left that could ever run. Returns whether done() held.
  bool run_until(const std::function<bool()>& done);
  void run() {
    stopped_ = false;
    run_until([this] { return stopped_; });
  }
  void stop() { stopped_ = true; }

  // For a host that drives several schedulers in step, all on handed time: runs one round of what can run now and
  // looks once at the sockets; whether anything happened. Then the next timer (kNoTimer: none), and the jump there.
  bool run_once();
  static constexpr Nanos kNoTimer = TimerWheel<Timer>::kNone;
  Nanos next_timer_at() { return timers_.next_due(); }
  void advance_to(Nanos to) { now_ = to; }

  void make_ready(Waiter& waiter) {
    if (!waiter.is_linked()) ready_.push_back(waiter);
  }
  void set_timer(Timer& timer, Nanos at, Waiter& waiter);

  // co_await loop.sleep_until(t): resumes at t or, if t has passed, after those that are ready now.
  struct Sleep : Waiter {
    Sleep(Loop& l, Nanos t) : loop(l), until(t) {}
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
  Sleep sleep_until(Nanos t) { return Sleep(*this, t); }
  Sleep sleep_for(Nanos span) { return Sleep(*this, now_ + span); }

  // Faults that were survived: each call that failed for another reason than a peer's, and each task that an exception
  // ended. Told as they happen, first whether it is the first of its kind.
  using CallFailureObserver = std::function<void(SystemCall call, int error, bool first)>;
  using TaskFailureObserver = std::function<void(const char* what)>;
  void observe_failures(CallFailureObserver calls, TaskFailureObserver tasks) {
    observe_call_failure_ = std::move(calls), observe_task_failure_ = std::move(tasks);
  }
  void report_call_failure(SystemCall call, int error);
  // An exception left a task that nobody waits for. It ends the program unless somebody observes it.
  void report_task_failure(std::exception_ptr thrown) noexcept;

  // For Socket alone. Returns 0, or the errno with which the descriptor could not be registered.
  int register_descriptor(int fd, Readiness& watch);
  void deregister_descriptor(int fd);
  void count_transfer(std::int64_t bytes) {
    bytes_in_transit_ += bytes;
    if (bytes > 0) transit_polls_left_ = kTransitPolls;
  }
  void count_call(SystemCall call, std::uint64_t times = 1) { system_calls_.add(call, times); }
  const SystemCallCounts& system_calls() const { return system_calls_; }

 private:
  bool run_ready();
  bool poll_descriptors(int timeout_ms);
  bool fire_due_timers();
  void read_clock();
  bool poll_in_transit();

  int epoll_;
  Clock clock_;
  Nanos now_{};
  bool stopped_{};
  std::uint64_t next_timer_order_{};
  static constexpr int kTransitPolls = 8;  // of a millisecond each, on handed time
  int transit_polls_left_{};
  std::int64_t bytes_in_transit_{};  // bytes written less bytes read: with both ends here, what is on its way
  std::size_t registered_count_{};
  SystemCallCounts system_calls_;
  std::vector<std::pair<SystemCall, int>> reported_failures_;
  CallFailureObserver observe_call_failure_;
  TaskFailureObserver observe_task_failure_;
  Waiter round_end_;
  intrusive::list<Waiter, intrusive::constant_time_size<false>> ready_;
  TimerWheel<Timer> timers_;
};

// Owns coroutines that run on their own. Dropping the scope, or cancel(), cancels them all; never from
// inside one of them.
class Scope {
 public:
  // What an exception that leaves one of its tasks ends: that task alone, or the program, where nothing works without it.
  enum class OnException { end_task, end_process };

  explicit Scope(Loop& loop, OnException failure = OnException::end_task) : loop_(loop), failure_(failure) {}
  ~Scope() { cancel(); }
  Scope(const Scope&) = delete;
  Scope& operator=(const Scope&) = delete;

  // Starts after those that are ready now. An exception that leaves the task goes to Loop::task_failed(), and further
  // as the scope was told.
  void spawn(Task<> task);
  void cancel();
  bool empty() const { return roots_.empty(); }

 private:
  struct Root {
    struct promise_type : FrameAllocated, intrusive::list_base_hook<AutoUnlink> {
      Waiter start;
      Scope* scope{};
      Root get_return_object() { return {std::coroutine_handle<promise_type>::from_promise(*this)}; }
      std::suspend_always initial_suspend() noexcept { return {}; }
      struct End {
        bool await_ready() noexcept { return false; }
        void await_suspend(std::coroutine_handle<promise_type> h) noexcept { h.destroy(); }
        void await_resume() noexcept {}
      };
      End final_suspend() noexcept { return {}; }
      void return_void() noexcept {}
      void unhandled_exception() noexcept { scope->on_exception(std::current_exception()); }
    };
    std::coroutine_handle<promise_type> handle;
  };
  static Root root(Task<> task);
  void on_exception(std::exception_ptr thrown) noexcept;

  Loop& loop_;
  OnException failure_;
  intrusive::list<Root::promise_type, intrusive::constant_time_size<false>> roots_;
};

// One or more coroutines wait until another says so. A signal that nobody waits for is kept, once.
class Signal {
 public:
  explicit Signal(Loop& loop) : loop_(loop) {}
  void notify() {
    if (waiters_.empty()) {
      set_ = true;
      return;
    }
    while (!waiters_.empty()) {
      Waiter& w = waiters_.front();
      waiters_.pop_front();
      loop_.make_ready(w);
    }
  }
  struct Wait : Waiter {
    explicit Wait(Signal& s) : signal(s) {}
    Wait(Wait&&) = delete;
    bool await_ready() const noexcept {
      const bool was = signal.set_;
      signal.set_ = false;
      return was;
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
  bool set_{};
  intrusive::list<Waiter, intrusive::constant_time_size<false>> waiters_;
};

// Runs a task for so long at most; nothing comes back if the time ended first, and the task is cancelled.
template <class T>
Task<std::optional<T>> with_deadline(Loop& loop, Nanos deadline, Task<T> task) {
  std::optional<T> result;
  Signal done(loop);
  Scope scope(loop);
  scope.spawn([](Task<T> inner, std::optional<T>& to, Signal& s) -> Task<> {
    to.emplace(co_await std::move(inner));
    s.notify();
  }(std::move(task), result, done));
  scope.spawn([](Loop& l, Nanos until, Signal& s) -> Task<> {
    co_await l.sleep_until(until);
    s.notify();
  }(loop, deadline, done));
  co_await done.wait();
  co_return result;
}

// Waits for a signal until then at most.
inline Task<> wait_until(Loop& loop, Signal& signal, Nanos deadline) {
  co_await with_deadline(loop, deadline, [](Signal& s) -> Task<bool> {
    co_await s.wait();
    co_return true;
  }(signal));
}

}  // namespace cressrill::io
