// What a failed system call says, by its errno: whether it is made again, waited for, or given up, and whose fault it is.
// One table for all calls (accept(2), connect(2), recv(2), send(2), socket(2), epoll_ctl(2), tcp(7)).
#pragma once

#include <cstdint>

#include "calls.h"

namespace cressrill::io {

enum class ErrorClass : std::uint8_t {
  interrupted,  // by a signal: the call is made again at once (a connect goes on by itself)
  would_block,  // nothing to do now; the kernel tells when there is
  resource_shortage,  // this machine lacks memory, descriptors, ports or a route just now: no peer's fault, and it passes
  aborted,       // accept: that connection broke before it was taken; the next one may be fine
  disconnected,  // the peer, or the way to it, broke the connection or refuses it
};

// errno of that call, which failed. An errno that the table does not have counts as disconnected.
ErrorClass classify_error(SystemCall call, int error);

}  // namespace cressrill::io
