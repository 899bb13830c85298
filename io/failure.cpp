#include "failure.h"

#include <array>
#include <cerrno>

namespace cressrill::io {

namespace {

struct Row {
  int error;
  Failure failure;
};

// Errors that mean the same whatever call they come from.
constexpr std::array kAnyCall{
    Row{EINTR, Failure::interrupted},         Row{EAGAIN, Failure::would_block},
    Row{EWOULDBLOCK, Failure::would_block},   Row{EMFILE, Failure::local_lack},
    Row{ENFILE, Failure::local_lack},         Row{ENOBUFS, Failure::local_lack},
    Row{ENOMEM, Failure::local_lack},         Row{ENOSPC, Failure::local_lack},
    Row{ECONNABORTED, Failure::disconnected}, Row{ECONNREFUSED, Failure::disconnected},
    Row{ECONNRESET, Failure::disconnected},   Row{EPIPE, Failure::disconnected},
    Row{ETIMEDOUT, Failure::disconnected},    Row{EHOSTUNREACH, Failure::disconnected},
    Row{EHOSTDOWN, Failure::disconnected},
};

// A connect that cannot even begin has no port, no route or no leave on this machine.
constexpr std::array kConnect{
    Row{EINTR, Failure::would_block},        Row{EINPROGRESS, Failure::would_block},
    Row{EALREADY, Failure::would_block},     Row{EAGAIN, Failure::local_lack},
    Row{EADDRNOTAVAIL, Failure::local_lack}, Row{EADDRINUSE, Failure::local_lack},
    Row{ENETUNREACH, Failure::local_lack},   Row{ENETDOWN, Failure::local_lack},
    Row{EPERM, Failure::local_lack},         Row{EACCES, Failure::local_lack},
};

// Linux passes errors of the new connection on to accept(2): they end it, not the listener.
constexpr std::array kAccept{
    Row{ECONNABORTED, Failure::aborted},  Row{EPROTO, Failure::aborted},
    Row{ENETDOWN, Failure::aborted},      Row{ENOPROTOOPT, Failure::aborted},
    Row{EHOSTDOWN, Failure::aborted},     Row{ENONET, Failure::aborted},
    Row{EHOSTUNREACH, Failure::aborted},  Row{ENETUNREACH, Failure::aborted},
    Row{ETIMEDOUT, Failure::aborted},     Row{ECONNRESET, Failure::aborted},
    Row{EOPNOTSUPP, Failure::local_lack}, Row{EPERM, Failure::local_lack},
};

template <std::size_t size>
const Row* find(const std::array<Row, size>& rows, int error) {
  for (const Row& row : rows)
    if (row.error == error) return &row;
  return nullptr;
}

}  // namespace

Failure classify(Call call, int error) {
  const Row* row = nullptr;
  if (call == Call::connect) row = find(kConnect, error);
  if (call == Call::accept4) row = find(kAccept, error);
  if (row == nullptr) row = find(kAnyCall, error);
  return row == nullptr ? Failure::disconnected : row->failure;
}

}  // namespace cressrill::io
