#include "signals.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>

namespace cressrill::io {

namespace {
int sender_fd = -1;  // of the one SignalSet, for the signal handler

// Signal handler: sends the number of the signal through the socket pair.
void send_signal_number(int number) {
  const int saved_errno = errno;
  const char byte = static_cast<char>(number);
  static_cast<void>(!::write(sender_fd, &byte, 1));
  errno = saved_errno;
}
}  // namespace

SignalSet::SignalSet(Loop& loop, std::initializer_list<int> numbers) : loop_(loop), numbers_(numbers) {
  int pair[2];
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair) != 0)
    throw std::system_error(errno, std::generic_category(), "socketpair");
  if (const int error = Socket::adopt(loop, pair[0], receiver_); error != 0) {
    ::close(pair[0]);
    ::close(pair[1]);
    throw std::system_error(error, std::generic_category(), "epoll_ctl");
  }
  sender_fd_ = pair[1];
  sender_fd = sender_fd_;
  for (const int number : numbers_) std::signal(number, send_signal_number);
}

SignalSet::~SignalSet() {
  for (const int number : numbers_) std::signal(number, SIG_DFL);
  ::close(sender_fd_);
}

Task<int> SignalSet::wait() {
  std::array<char, 1> number{};
  // A failed read carries no signal number: read again after a pause.
  while ((co_await receiver_.read_some(number)).bytes == 0) co_await loop_.sleep_for(kResourceRetryDelay);
  co_return number[0];
}

StopSignal::StopSignal(Loop& loop) : signals_(loop, {SIGTERM, SIGINT}) {}
Task<> StopSignal::wait() { co_await signals_.wait(); }

void ignore_sigpipe() { std::signal(SIGPIPE, SIG_IGN); }

void run_until_stop_signal(Loop& loop) {
  StopSignal stop(loop);
  Scope scope(loop);
  scope.spawn([](StopSignal& awaited, Loop& running) -> Task<> {
    co_await awaited.wait();
    running.stop();
  }(stop, loop));
  loop.run();
}

}  // namespace cressrill::io
