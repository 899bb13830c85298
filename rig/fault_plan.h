// What the fault shim (rig/fault_shim.cpp) does to the system calls of a process. The plan is plain shared memory, so that
// a test, or another process that maps the same file, can change it while the process runs, and read what was injected.
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
constexpr std::size_t kFaultyCalls = 11;
constexpr std::array<const char*, kFaultyCalls> kFaultyCallNames{
    "accept",     "connect",    "socket",   "receive", "send", "epoll_add",
    "epoll_wait", "get_option", "shutdown", "write",   "read"};

inline const char* word(FaultyCall call) { return kFaultyCallNames[static_cast<std::size_t>(call)]; }

// How one call misbehaves. Neither field set: as the kernel has it.
struct CallFault {
  std::atomic<int> error{};                 // errno to fail with; 0: none
  std::atomic<std::uint32_t> one_in{};      // each n-th call fails; 0 or 1: every call
  std::atomic<std::uint32_t> at_most{};     // the fault ends by itself after so many; 0: it lasts
  std::atomic<std::uint32_t> most_bytes{};  // a transfer moves at most so many bytes; 0: no bound
  std::atomic<std::uint32_t> calls{};       // made while the fault was set
  std::atomic<std::uint64_t> injected{};    // of these, those that were made to misbehave
};

struct FaultPlan {
  std::atomic<std::int64_t> wall_clock_offset{};  // nanoseconds, added to CLOCK_REALTIME
  std::array<CallFault, kFaultyCalls> calls;

  CallFault& of(FaultyCall call) { return calls[static_cast<std::size_t>(call)]; }
  void clear() {
    for (CallFault& fault : calls) fault.error = 0, fault.one_in = 0, fault.at_most = 0, fault.most_bytes = 0;
  }
};

// The file of the plan that a process maps at its first call, by this environment variable. Without it the plan lies in
// the process itself.
constexpr const char* kFaultPlanVariable = "CRESSRILL_FAULT_PLAN";

}  // namespace cressrill::rig

// The plan in force in this process.
extern "C" cressrill::rig::FaultPlan* cressrill_fault_plan();
