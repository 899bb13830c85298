// Signals as something to wait for: StopSignal for SIGTERM and SIGINT. One for each process.
#pragma once

#include <initializer_list>
#include <vector>

#include "socket.h"

namespace cressrill::io {

class Signals {
 public:
  Signals(Loop& loop, std::initializer_list<int> numbers);
  ~Signals();
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
  Signals signals_;
};

// A write to a pipe or socket whose reader has gone fails with EPIPE, and does not end the process.
void ignore_broken_pipes();

// Runs until one of the signals comes.
void run_until_told(Loop& loop);

}  // namespace cressrill::io
