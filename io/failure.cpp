#include "failure.h"

#include <array>
#include <cerrno>

namespace cressrill::io {

namespace {

struct Row {
  int error;
  ErrorClass error_class;
};

// Errors with the same meaning for every call.
constexpr std::array kAnyCall{
    Row{EINTR, ErrorClass::interrupted},         Row{EAGAIN, ErrorClass::would_block},
    Row{EWOULDBLOCK, ErrorClass::would_block},   Row{EMFILE, ErrorClass::resource_shortage},
    Row{ENFILE, ErrorClass::resource_shortage},  Row{ENOBUFS, ErrorClass::resource_shortage},
    Row{ENOMEM, ErrorClass::resource_shortage},  Row{ENOSPC, ErrorClass::resource_shortage},
    Row{ECONNABORTED, ErrorClass::disconnected}, Row{ECONNREFUSED, ErrorClass::disconnected},
    Row{ECONNRESET, ErrorClass::disconnected},   Row{EPIPE, ErrorClass::disconnected},
    Row{ETIMEDOUT, ErrorClass::disconnected},    Row{EHOSTUNREACH, ErrorClass::disconnected},
    Row{EHOSTDOWN, ErrorClass::disconnected},
};

// connect(2): a call that is interrupted or in progress continues in the background. The other errors in this
// table mean that this machine lacks a local port, a route or a permission.
constexpr std::array kConnect{
    Row{EINTR, ErrorClass::would_block},
    Row{EINPROGRESS, ErrorClass::would_block},
    Row{EALREADY, ErrorClass::would_block},
    Row{EAGAIN, ErrorClass::resource_shortage},
    Row{EADDRNOTAVAIL, ErrorClass::resource_shortage},
    Row{EADDRINUSE, ErrorClass::resource_shortage},
    Row{ENETUNREACH, ErrorClass::resource_shortage},
    Row{ENETDOWN, ErrorClass::resource_shortage},
    Row{EPERM, ErrorClass::resource_shortage},
    Row{EACCES, ErrorClass::resource_shortage},
};

// accept(2) on Linux also reports pending network errors of the new connection (aborted): that connection is
// lost, but the listener still works.
constexpr std::array kAccept{
    Row{ECONNABORTED, ErrorClass::aborted},
    Row{EPROTO, ErrorClass::aborted},
    Row{ENETDOWN, ErrorClass::aborted},
    Row{ENOPROTOOPT, ErrorClass::aborted},
    Row{EHOSTDOWN, ErrorClass::aborted},
    Row{ENONET, ErrorClass::aborted},
    Row{EHOSTUNREACH, ErrorClass::aborted},
    Row{ENETUNREACH, ErrorClass::aborted},
    Row{ETIMEDOUT, ErrorClass::aborted},
    Row{ECONNRESET, ErrorClass::aborted},
    Row{EOPNOTSUPP, ErrorClass::resource_shortage},
    Row{EPERM, ErrorClass::resource_shortage},
};

template <std::size_t size>
const Row* find(const std::array<Row, size>& rows, int error) {
  for (const Row& row : rows)
    if (row.error == error) return &row;
  return nullptr;
}

}  // namespace

ErrorClass classify_error(SystemCall call, int error) {
  const Row* row = nullptr;
  if (call == SystemCall::connect) row = find(kConnect, error);
  if (call == SystemCall::accept4) row = find(kAccept, error);
  if (row == nullptr) row = find(kAnyCall, error);
  return row == nullptr ? ErrorClass::disconnected : row->error_class;
}

}  // namespace cressrill::io
