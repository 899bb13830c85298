// The faults that the fault shim (rig/fault_shim.cpp) injects into the system calls of a process. The plan is
// plain shared memory, so that a test, or another process that maps the same file, can change it while the
// process runs and read what was injected.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace cressrill::rig {

// The calls that can be made to fail.
enum class FaultyCall : std::size_t {
  accept,
  connect,
  socket,
  receive,
  send,
  epoll_add,
  epoll_wait,
  get_option,
  shutdown,
  write,
  read,
};
constexpr std::size_t kFaultyCallCount = 11;
constexpr std::array<const char*, kFaultyCallCount> kFaultyCallNames{
    "accept",     "connect",    "socket",   "receive", "send", "epoll_add",
    "epoll_wait", "get_option", "shutdown", "write",   "read"};

inline const char* to_string(FaultyCall call) { return kFaultyCallNames[static_cast<std::size_t>(call)]; }

// The fault of one system call. With `error` and `max_bytes` at 0 the call works normally.
struct CallFault {
  std::atomic<int> error{};                   // errno to fail with; 0: none
  std::atomic<std::uint32_t> one_in{};        // every n-th call fails; 0 or 1: every call
  std::atomic<std::uint32_t> max_injected{};  // the error ends after this many injections; 0: it does not end
  std::atomic<std::uint32_t> max_bytes{};     // a transfer moves at most this many bytes; 0: no limit
  std::atomic<std::uint32_t> calls{};         // calls made while `error` was set
  std::atomic<std::uint64_t> injected{};      // calls that failed or were shortened
};

// The faults of all system calls and of the wall clock.
struct FaultPlan {
  std::atomic<std::int64_t> wall_clock_offset{};  // nanoseconds, added to CLOCK_REALTIME
  std::array<CallFault, kFaultyCallCount> calls;

  CallFault& of(FaultyCall call) { return calls[static_cast<std::size_t>(call)]; }
  // Ends all faults of system calls; the counters and the clock offset stay.
  void clear() {
    for (CallFault& fault : calls) {
      fault.error = 0;
      fault.one_in = 0;
      fault.max_injected = 0;
      fault.max_bytes = 0;
    }
  }
};

// The environment variable with the path of the plan, which a process maps at its first intercepted call.
// Without it the plan is private to the process.
constexpr const char* kFaultPlanVariable = "CRESSRILL_FAULT_PLAN";

}  // namespace cressrill::rig

// The plan that applies to this process.
extern "C" cressrill::rig::FaultPlan* cressrill_fault_plan();
