// What a scheduler asks of the kernel, counted by the name of the call. A count is one addition beside the call.
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

class SystemCallCounts {
 public:
  void add(SystemCall call, std::uint64_t times = 1) { count_[static_cast<std::size_t>(call)] += times; }
  std::uint64_t count(SystemCall call) const { return count_[static_cast<std::size_t>(call)]; }
  const std::array<std::uint64_t, kSystemCallCount>& counts() const { return count_; }

 private:
  std::array<std::uint64_t, kSystemCallCount> count_{};
};

}  // namespace cressrill::io
