#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cerrno>
#include <system_error>
#include <utility>

extern char** environ;

namespace cressrill::rig {

Process::Process(const std::vector<std::string>& command, const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  const int error = posix_spawn(&pid_, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) throw std::system_error(error, std::generic_category(), command[0]);
}

Process::Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)), status_(other.status_) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this != &other) {
    kill();
    pid_ = std::exchange(other.pid_, -1);
    status_ = other.status_;
  }
  return *this;
}

bool Process::running() {
  if (pid_ < 0) return false;
  int wait_status = 0;
  if (waitpid(pid_, &wait_status, WNOHANG) != pid_) return true;
  status_ = WIFSIGNALED(wait_status) ? -WTERMSIG(wait_status) : WEXITSTATUS(wait_status);
  pid_ = -1;
  return false;
}

bool Process::send_signal(int number) { return running() && ::kill(pid_, number) == 0; }

void Process::kill() {
  if (!running()) return;
  ::kill(pid_, SIGKILL);
  int wait_status = 0;
  while (waitpid(pid_, &wait_status, 0) < 0 && errno == EINTR) {
  }
  status_ = -SIGKILL;
  pid_ = -1;
}

}  // namespace cressrill::rig
