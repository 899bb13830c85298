// Process signals (signal(7)) that coroutines can wait for. At most one SignalSet may exist in a process at a
// time.
#pragma once

#include <initializer_list>
#include <vector>

#include "socket.h"

namespace cressrill::io {

// Handles the given signals while it exists; its destructor restores their default action.
class SignalSet {
 public:
  SignalSet(Loop& loop, std::initializer_list<int> numbers);
  ~SignalSet();
  // Waits for the next signal and returns its number.
  Task<int> wait();

 private:
  Loop& loop_;
  Socket receiver_;  // the handler's bytes arrive here
  int sender_fd_;    // the handler writes here
  std::vector<int> numbers_;
};

// Waits for SIGTERM or SIGINT.
class StopSignal {
 public:
  explicit StopSignal(Loop& loop);
  Task<> wait();

 private:
  SignalSet signals_;
};

// Ignores SIGPIPE: a write to a pipe or socket whose reader has closed fails with EPIPE and does not end the
// process.
void ignore_sigpipe();

// Runs the loop until SIGTERM or SIGINT arrives.
void run_until_stop_signal(Loop& loop);

}  // namespace cressrill::io
