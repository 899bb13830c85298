// Signals as something to wait for: StopSignal for SIGTERM and SIGINT. One for each process.
#pragma once

#include <initializer_list>
#include <vector>

#include "socket.h"

namespace cressrill::io {

class SignalSet {
 public:
  SignalSet(Loop& loop, std::initializer_list<int> numbers);
  ~SignalSet();
  // The number of the next one that came.
  Task<int> wait();

 private:
  Loop& loop_;
  Socket heard_;
  int told_;
  std::vector<int> numbers_;
};

class StopSignal {
 public:
  explicit StopSignal(Loop& loop);
  Task<> wait();

 private:
  SignalSet signals_;
};

// A write to a pipe or socket whose reader has gone fails with EPIPE, and does not end the process.
void ignore_sigpipe();

// Runs until one of the signals comes.
void run_until_stop_signal(Loop& loop);

}  // namespace cressrill::io
