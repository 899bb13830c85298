// Tests the classification of system call errors, with one row per call and errno.
#include "io/failure.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace cressrill::testing {

using io::SystemCall;

namespace {
std::string to_string(io::ErrorClass error_class) {
  static constexpr const char* names[] = {"interrupted", "would block", "local lack", "aborted",
                                          "disconnected"};
  return names[static_cast<int>(error_class)];
}
}  // namespace

TEST_CASE("each errno of each system call maps to its error class") {
  struct Row {
    SystemCall call;
    int error;
    const char* expected;
  };
  const Row rows[] = {{SystemCall::accept4, EAGAIN, "would block"},
                      {SystemCall::accept4, EINTR, "interrupted"},
                      {SystemCall::accept4, ECONNABORTED, "aborted"},
                      {SystemCall::accept4, EPROTO, "aborted"},
                      {SystemCall::accept4, ENETDOWN, "aborted"},
                      {SystemCall::accept4, EHOSTUNREACH, "aborted"},
                      {SystemCall::accept4, ENETUNREACH, "aborted"},
                      {SystemCall::accept4, EMFILE, "local lack"},
                      {SystemCall::accept4, ENFILE, "local lack"},
                      {SystemCall::accept4, ENOBUFS, "local lack"},
                      {SystemCall::accept4, ENOMEM, "local lack"},
                      {SystemCall::accept4, EPERM, "local lack"},
                      {SystemCall::connect, EINPROGRESS, "would block"},
                      {SystemCall::connect, EALREADY, "would block"},
                      {SystemCall::connect, EINTR, "would block"},
                      {SystemCall::connect, EAGAIN, "local lack"},
                      {SystemCall::connect, EADDRNOTAVAIL, "local lack"},
                      {SystemCall::connect, ENETUNREACH, "local lack"},
                      {SystemCall::connect, ENETDOWN, "local lack"},
                      {SystemCall::connect, EACCES, "local lack"},
                      {SystemCall::connect, ENOBUFS, "local lack"},
                      {SystemCall::connect, EMFILE, "local lack"},
                      {SystemCall::connect, ECONNREFUSED, "disconnected"},
                      {SystemCall::connect, EHOSTUNREACH, "disconnected"},
                      {SystemCall::connect, ETIMEDOUT, "disconnected"},
                      {SystemCall::connect, ECONNRESET, "disconnected"},
                      {SystemCall::recv, EAGAIN, "would block"},
                      {SystemCall::recv, EINTR, "interrupted"},
                      {SystemCall::recv, ENOMEM, "local lack"},
                      {SystemCall::recv, ECONNRESET, "disconnected"},
                      {SystemCall::recv, ETIMEDOUT, "disconnected"},
                      {SystemCall::recv, EHOSTUNREACH, "disconnected"},
                      {SystemCall::send, EAGAIN, "would block"},
                      {SystemCall::send, EINTR, "interrupted"},
                      {SystemCall::send, ENOBUFS, "local lack"},
                      {SystemCall::send, ENOMEM, "local lack"},
                      {SystemCall::send, EPIPE, "disconnected"},
                      {SystemCall::send, ECONNRESET, "disconnected"},
                      {SystemCall::send, EHOSTUNREACH, "disconnected"},
                      {SystemCall::epoll_ctl, ENOMEM, "local lack"},
                      {SystemCall::epoll_ctl, ENOSPC, "local lack"},
                      {SystemCall::socket, ENFILE, "local lack"},
                      {SystemCall::send, 9999, "disconnected"}};
  for (const Row& row : rows) {
    CAPTURE(io::kSystemCallNames[static_cast<std::size_t>(row.call)]);
    CAPTURE(std::string(std::strerror(row.error)));
    CHECK(to_string(io::classify_error(row.call, row.error)) == row.expected);
  }
}

}  // namespace cressrill::testing
