// Counts the system calls that an event loop and its sockets make, except those that set up or close the loop
// and those that read the clock. Counting costs one addition per call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cressrill::io {

enum class SystemCall {
  accept4,
  close,
  connect,
  epoll_ctl,
  epoll_wait,
  getsockopt,
  recv,
  send,
  setsockopt,
  socket
};
constexpr std::size_t kSystemCallCount = 10;
constexpr std::array<const char*, kSystemCallCount> kSystemCallNames{
    "accept4",    "close", "connect", "epoll_ctl",  "epoll_wait",
    "getsockopt", "recv",  "send",    "setsockopt", "socket"};

// Number of calls made so far, indexed by SystemCall.
class SystemCallCounts {
 public:
  void add(SystemCall call, std::uint64_t times = 1) { counts_[static_cast<std::size_t>(call)] += times; }
  std::uint64_t count(SystemCall call) const { return counts_[static_cast<std::size_t>(call)]; }
  const std::array<std::uint64_t, kSystemCallCount>& counts() const { return counts_; }

 private:
  std::array<std::uint64_t, kSystemCallCount> counts_{};
};

}  // namespace cressrill::io
