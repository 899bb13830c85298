// The table of errors: what each says about who is at fault, one line a row.
#include "io/failure.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <cstring>
#include <string>

namespace cressrill::testing {

using io::Call;

namespace {
std::string word(io::Failure failure) {
  static constexpr const char* words[] = {"interrupted", "would block", "local lack", "aborted",
                                          "disconnected"};
  return words[static_cast<int>(failure)];
}
}  // namespace

TEST_CASE("each errno of each call says whether to try again, to wait, and whose fault it is") {
  struct Row {
    Call call;
    int error;
    const char* means;
  };
  const Row rows[] = {{Call::accept4, EAGAIN, "would block"},
                      {Call::accept4, EINTR, "interrupted"},
                      {Call::accept4, ECONNABORTED, "aborted"},
                      {Call::accept4, EPROTO, "aborted"},
                      {Call::accept4, ENETDOWN, "aborted"},
                      {Call::accept4, EHOSTUNREACH, "aborted"},
                      {Call::accept4, ENETUNREACH, "aborted"},
                      {Call::accept4, EMFILE, "local lack"},
                      {Call::accept4, ENFILE, "local lack"},
                      {Call::accept4, ENOBUFS, "local lack"},
                      {Call::accept4, ENOMEM, "local lack"},
                      {Call::accept4, EPERM, "local lack"},
                      {Call::connect, EINPROGRESS, "would block"},
                      {Call::connect, EALREADY, "would block"},
                      {Call::connect, EINTR, "would block"},
                      {Call::connect, EAGAIN, "local lack"},
                      {Call::connect, EADDRNOTAVAIL, "local lack"},
                      {Call::connect, ENETUNREACH, "local lack"},
                      {Call::connect, ENETDOWN, "local lack"},
                      {Call::connect, EACCES, "local lack"},
                      {Call::connect, ENOBUFS, "local lack"},
                      {Call::connect, EMFILE, "local lack"},
                      {Call::connect, ECONNREFUSED, "disconnected"},
                      {Call::connect, EHOSTUNREACH, "disconnected"},
                      {Call::connect, ETIMEDOUT, "disconnected"},
                      {Call::connect, ECONNRESET, "disconnected"},
                      {Call::recv, EAGAIN, "would block"},
                      {Call::recv, EINTR, "interrupted"},
                      {Call::recv, ENOMEM, "local lack"},
                      {Call::recv, ECONNRESET, "disconnected"},
                      {Call::recv, ETIMEDOUT, "disconnected"},
                      {Call::recv, EHOSTUNREACH, "disconnected"},
                      {Call::send, EAGAIN, "would block"},
                      {Call::send, EINTR, "interrupted"},
                      {Call::send, ENOBUFS, "local lack"},
                      {Call::send, ENOMEM, "local lack"},
                      {Call::send, EPIPE, "disconnected"},
                      {Call::send, ECONNRESET, "disconnected"},
                      {Call::send, EHOSTUNREACH, "disconnected"},
                      {Call::epoll_ctl, ENOMEM, "local lack"},
                      {Call::epoll_ctl, ENOSPC, "local lack"},
                      {Call::socket, ENFILE, "local lack"},
                      {Call::send, 9999, "disconnected"}};
  for (const Row& row : rows) {
    CAPTURE(io::kCallNames[static_cast<std::size_t>(row.call)]);
    CAPTURE(std::string(std::strerror(row.error)));
    CHECK(word(io::classify(row.call, row.error)) == row.means);
  }
}

}  // namespace cressrill::testing
