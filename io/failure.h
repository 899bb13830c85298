// Classifies the errno of a failed system call: whether to retry, wait or give up, and whether the peer or
// this machine caused the failure. Covers accept(2), connect(2), recv(2), send(2), socket(2) and
// epoll_ctl(2); accept and connect have tables of their own beside the common one (see also tcp(7)).
#pragma once

#include <cstdint>

#include "system_calls.h"

namespace cressrill::io {

enum class ErrorClass : std::uint8_t {
  interrupted,        // by a signal: retry at once (an interrupted connect continues by itself)
  would_block,        // nothing to do now: wait until the kernel reports the descriptor ready
  resource_shortage,  // temporary: this machine lacks memory, descriptors, ports or routes, or denies a call
  aborted,            // accept: the connection broke before it was accepted; the next one may be fine
  disconnected,       // the peer or the network broke or refused the connection
};

// error: the errno of the failed call. An errno that is not in the table counts as disconnected.
ErrorClass classify_error(SystemCall call, int error);

}  // namespace cressrill::io
