// A child process.
#pragma once

#include <signal.h>

#include <string>
#include <vector>

namespace cressrill::rig {

// Owns the child: the destructor kills it.
class Process {
 public:
  Process() = default;
  // Standard output and error are appended to the log. Throws std::system_error if the program cannot be
  // started.
  Process(const std::vector<std::string>& command, const std::string& log);
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  ~Process() { kill(); }

  int pid() const { return pid_; }
  // Reaps the child if it has ended.
  bool running();
  // False if the child has ended: its process id may stand for other processes by then, or for all (-1).
  bool send_signal(int number);
  void terminate() { send_signal(SIGTERM); }
  void kill();  // SIGKILL, and waits for the end
  // The exit status, or the negated signal number. Valid once running() has returned false.
  int status() const { return status_; }

 private:
  int pid_{-1};
  int status_{};
};

}  // namespace cressrill::rig
