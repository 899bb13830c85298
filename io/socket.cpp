#include "socket.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace cressrill::io {

namespace {
sockaddr_in raw(Address a) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(a.port);
  out.sin_addr.s_addr = htonl(a.ip);
  return out;
}
int new_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  return fd;
}
// Both return how many calls they made.
std::uint64_t no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return 1;
}
// A peer whose machine is gone sends no end: after some 25 s without a word the kernel breaks the connection.
std::uint64_t keep_asking(int fd) {
  const int on = 1, idle_s = 10, every_s = 5, times = 3;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &every_s, sizeof every_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &times, sizeof times);
  return 4;
}
// What became of a connect (SO_ERROR), or why that is not known.
int pending_error(Loop& loop, int fd) {
  int pending = 0;
  socklen_t size = sizeof pending;
  loop.count_call(SystemCall::getsockopt);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &pending, &size) == 0) return pending;
  const int error = errno;
  loop.report_call_failure(SystemCall::getsockopt, error);
  return error;
}
}  // namespace

std::string Address::to_string() const {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += std::to_string(ip >> shift & 255) + (shift > 0 ? "." : ":");
  return out + std::to_string(port);
}

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  in_addr parsed{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) != 1) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return Address{ntohl(parsed.s_addr), port};
}

struct Socket::ReadyWait : Waiter {
  ReadyWait(Readiness& w, Side s) : readiness(&w), side(s) {}
  ReadyWait(ReadyWait&&) = delete;
  ~ReadyWait() {
    if (readiness != nullptr && slot() == this) slot() = nullptr;
  }
  Waiter*& slot() { return side == Side::read ? readiness->read_waiter : readiness->write_waiter; }
  bool await_ready() const noexcept { return side == Side::read ? readiness->readable : readiness->writable; }
  void await_suspend(std::coroutine_handle<> h) {
    handle = h;
    slot() = this;
  }
  void await_resume() const noexcept {}
  Readiness* readiness;  // null once the socket was closed under the wait
  Side side;
};

Socket::Socket(Loop& loop, int fd) {
  const int error = adopt(loop, fd, *this);
  if (error == 0) return;
  ::close(fd);
  throw std::system_error(error, std::generic_category(), "epoll_ctl");
}

int Socket::adopt(Loop& loop, int fd, Socket& to) {
  auto state = std::unique_ptr<State>(new State{loop, fd, {}, 0, false, false, false});
  const int error = loop.register_descriptor(fd, state->readiness);
  if (error == 0) to.state_ = std::move(state);
  return error;
}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    close();
    state_ = std::move(other.state_);
  }
  return *this;
}

void Socket::close(bool reset) {
  if (!state_) return;
  if (reset) {
    const linger hard{1, 0};
    state_->loop.count_call(SystemCall::setsockopt);
    setsockopt(state_->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  // A coroutine that waits on this socket is woken and finds the error by its next call.
  for (Waiter* w : {state_->readiness.read_waiter, state_->readiness.write_waiter})
    if (w != nullptr) static_cast<ReadyWait*>(w)->readiness = nullptr, state_->loop.make_ready(*w);
  state_->loop.deregister_descriptor(state_->fd);
  state_->loop.count_call(SystemCall::close);
  ::close(state_->fd);
  state_.reset();
}

Task<bool> Socket::should_retry(SystemCall call, int error) {
  const ErrorClass failure = classify_error(call, error);
  if (failure != ErrorClass::interrupted && failure != ErrorClass::resource_shortage) co_return false;
  state_->loop.report_call_failure(call, error);
  if (failure == ErrorClass::resource_shortage) co_await state_->loop.sleep_for(kResourceRetryDelay);
  co_return true;
}

// A read that ends short mostly means that nothing is left, and the kernel tells of what comes (epoll(7)). It may also end
// short by itself, and then nothing is told: so after a while it is looked once.
Task<> Socket::wait_readable() {
  constexpr Nanos kLookAfter = 50 * kMs;
  ReadyWait ready(state_->readiness, Side::read);
  Timer timer;
  if (!state_->looked) state_->loop.set_timer(timer, state_->loop.now() + kLookAfter, ready);
  co_await ready;
  if (!state_ || state_->readiness.readable || state_->readiness.cancel_read) co_return;
  state_->looked = state_->looking = state_->readiness.readable = true;
}

Task<IoResult> Socket::read_some(std::span<char> to) {
  for (;;) {
    if (!state_) co_return IoResult{0, EBADF};
    if (std::exchange(state_->readiness.cancel_read, false)) co_return IoResult{0, ECANCELED};
    if (!state_->readiness.readable && !state_->readiness.left_unread) {
      co_await wait_readable();
      continue;
    }
    // What was seen and left may be more than one read takes, and no further word of it comes.
    if (std::exchange(state_->readiness.left_unread, false)) state_->readiness.readable = true;
    state_->loop.count_call(SystemCall::recv);
    const ssize_t n = ::recv(state_->fd, to.data(), to.size(), 0);
    if (n >= 0) {
      state_->loop.count_transfer(-n);
      state_->short_reads |= std::exchange(state_->looking, false) && n > 0;
      state_->looked = false;
      const bool may_be_all = static_cast<std::size_t>(n) < to.size() && !state_->short_reads;
      if (may_be_all) state_->readiness.readable = state_->readiness.hung_up;
      co_return IoResult{static_cast<std::size_t>(n), 0};
    }
    const int error = errno;
    if (error == EAGAIN) {
      state_->readiness.readable = state_->looking = false;
    } else if (!co_await should_retry(SystemCall::recv, error)) {
      co_return IoResult{0, error};
    }
  }
}

void Socket::set_write_stall_timeout(Nanos span) {
  if (state_) state_->write_stall = span;
}

// Whether the kernel takes more within the bound; also where the socket was closed meanwhile. It says so only once much of
// its buffer is free: a peer that takes some of it, however slowly, does not stall.
Task<bool> Socket::wait_writable() {
  constexpr Nanos kLooks = 4;  // in the time that a peer may stall
  state_->readiness.writable = false;
  if (state_->write_stall == 0) {
    co_await ReadyWait(state_->readiness, Side::write);
    co_return true;
  }
  int least = unacknowledged_bytes();
  Nanos taken_at = state_->loop.now();
  for (;;) {
    ReadyWait ready(state_->readiness, Side::write);
    Timer timer;
    state_->loop.set_timer(timer, state_->loop.now() + state_->write_stall / kLooks, ready);
    co_await ready;
    if (!state_ || state_->readiness.writable) co_return true;
    if (const int left = unacknowledged_bytes(); left < least) {
      least = left;
      taken_at = state_->loop.now();
    }
    if (state_->loop.now() - taken_at >= state_->write_stall) co_return false;
  }
}

int Socket::unacknowledged_bytes() const {
  int bytes = 0;
  return ::ioctl(state_->fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

Task<IoResult> Socket::write_all(std::string_view from) {
  std::size_t sent = 0;
  while (sent < from.size()) {
    if (!state_) co_return IoResult{sent, EBADF};
    state_->loop.count_call(SystemCall::send);
    const ssize_t n = ::send(state_->fd, from.data() + sent, from.size() - sent, MSG_NOSIGNAL);
    const int error = n < 0 ? errno : 0;
    if (n > 0) {
      state_->loop.count_transfer(n);
      sent += static_cast<std::size_t>(n);
    } else if (error == EAGAIN) {
      if (!co_await wait_writable()) co_return IoResult{sent, ETIMEDOUT};
    } else if (!co_await should_retry(SystemCall::send, error == 0 ? ENOBUFS : error)) {
      co_return IoResult{sent, error};
    }
  }
  co_return IoResult{sent, 0};
}

Task<IoResult> Socket::write_all(std::span<const std::string_view> parts) {
  constexpr std::size_t kMost = 16;
  std::size_t sent = 0;      // of all
  std::size_t first = 0;     // the part that is not whole yet,
  std::size_t of_first = 0;  // and how much of it is gone
  for (;;) {
    while (first < parts.size() && of_first == parts[first].size()) ++first, of_first = 0;
    if (first == parts.size()) co_return IoResult{sent, 0};
    if (!state_) co_return IoResult{sent, EBADF};
    std::array<iovec, kMost> list;
    std::size_t n = 0;
    for (std::size_t i = first; i < parts.size() && n < kMost; ++i) {
      const std::string_view rest = parts[i].substr(i == first ? of_first : 0);
      if (!rest.empty()) list[n++] = {const_cast<char*>(rest.data()), rest.size()};
    }
    msghdr message{};
    message.msg_iov = list.data(), message.msg_iovlen = n;
    state_->loop.count_call(SystemCall::send);
    const ssize_t took = ::sendmsg(state_->fd, &message, MSG_NOSIGNAL);
    if (took > 0) {
      state_->loop.count_transfer(took);
      sent += static_cast<std::size_t>(took);
      for (auto left = static_cast<std::size_t>(took); left > 0;) {
        const std::size_t here = std::min(left, parts[first].size() - of_first);
        left -= here, of_first += here;
        if (of_first == parts[first].size()) ++first, of_first = 0;
      }
      continue;
    }
    const int error = took < 0 ? errno : 0;
    if (error == EAGAIN) {
      if (!co_await wait_writable()) co_return IoResult{sent, ETIMEDOUT};
    } else if (!co_await should_retry(SystemCall::send, error == 0 ? ENOBUFS : error)) {
      co_return IoResult{sent, error};
    }
  }
}

Task<> Socket::wait_for_peer_close() {
  for (;;) {
    if (!state_) co_return;
    if (!state_->readiness.readable) {
      co_await ReadyWait(state_->readiness, Side::read);
      continue;
    }
    const ssize_t n = peek();
    const int error = n < 0 ? errno : 0;
    if (n == 0) co_return;
    if (error != 0 && error != EAGAIN) {
      if (state_->readiness.hung_up) co_return;
      if (!co_await should_retry(SystemCall::recv, error)) co_return;
      continue;
    }
    // Unread bytes hide the peer's end from a look at the first of them; the kernel has told of it (EPOLLRDHUP).
    if (n > 0 && state_->readiness.hung_up) co_return;
    state_->readiness.readable = false, state_->readiness.left_unread = n > 0;
  }
}

bool Socket::peer_closed() const { return !state_ || state_->readiness.hung_up; }

void Socket::cancel_read() {
  if (!state_) return;
  state_->readiness.cancel_read = true;
  if (state_->readiness.read_waiter != nullptr) state_->loop.make_ready(*state_->readiness.read_waiter);
}

bool Socket::is_stale() const {
  if (!state_) return true;
  const ssize_t seen = peek();
  return seen >= 0 || classify_error(SystemCall::recv, errno) != ErrorClass::would_block;
}

Nanos Socket::last_received_at() const {
  if (!state_) return 0;
  Loop& loop = state_->loop;
  const Nanos told = state_->readiness.last_readable_at;
  if (loop.is_simulated()) return told;
  tcp_info info{};
  socklen_t size = sizeof info;
  loop.count_call(SystemCall::getsockopt);
  if (getsockopt(state_->fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return told;
  // Of whole milliseconds, and not yet counted where nothing has come.
  return std::min(told, loop.now() - static_cast<Nanos>(info.tcpi_last_data_recv) * kMs);
}

bool Socket::has_unread_data() const { return state_ && peek() > 0; }

ssize_t Socket::peek() const {
  char one;
  for (;;) {
    state_->loop.count_call(SystemCall::recv);
    const ssize_t n = ::recv(state_->fd, &one, 1, MSG_PEEK);
    if (n >= 0 || errno != EINTR) return n;
    state_->loop.report_call_failure(SystemCall::recv, EINTR);
  }
}

Task<IoResult> connect(Loop& loop, Address address, Socket& to) {
  loop.count_call(SystemCall::socket);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    const int error = errno;
    loop.report_call_failure(SystemCall::socket, error);
    co_return IoResult{0, error};
  }
  loop.count_call(SystemCall::setsockopt, no_delay(fd) + keep_asking(fd));
  loop.count_call(SystemCall::connect);
  const sockaddr_in target = raw(address);
  const int begun = ::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  const int error = begun == 0 ? 0 : errno;
  // One that was interrupted goes on by itself, as one that is under way: connect(2).
  const bool under_way = error != 0 && classify_error(SystemCall::connect, error) == ErrorClass::would_block;
  if (error != 0 && !under_way) {
    if (classify_error(SystemCall::connect, error) == ErrorClass::resource_shortage)
      loop.report_call_failure(SystemCall::connect, error);
    ::close(fd);
    co_return IoResult{0, error};
  }
  if (error == EINTR) loop.report_call_failure(SystemCall::connect, error);
  Socket socket;
  if (const int lack = Socket::adopt(loop, fd, socket); lack != 0) {
    ::close(fd);
    co_return IoResult{0, lack};
  }
  if (under_way) {
    socket.state_->readiness.writable = false;
    co_await Socket::ReadyWait(socket.state_->readiness, Socket::Side::write);
    if (!socket.state_) co_return IoResult{0, EBADF};
    if (const int failed = pending_error(loop, fd); failed != 0) co_return IoResult{0, failed};
  }
  to = std::move(socket);
  co_return IoResult{0, 0};
}

Listener::Listener(Loop& loop, Address address, int backlog) : loop_(loop), address_(address) {
  const int fd = new_socket();
  socket_ = Socket(loop, fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in wanted = raw(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&wanted), sizeof wanted) != 0 ||
      ::listen(fd, backlog) != 0)
    throw std::system_error(errno, std::generic_category(), "listen on " + address.to_string());
  sockaddr_in taken{};
  socklen_t size = sizeof taken;
  getsockname(fd, reinterpret_cast<sockaddr*>(&taken), &size);
  address_.port = ntohs(taken.sin_port);
}

void Listener::close() {
  socket_.close();
  if (unregistered_ >= 0) ::close(std::exchange(unregistered_, -1));
}

Task<Socket> Listener::accept() {
  int failures = 0;
  while (socket_.is_open()) {
    Socket accepted;
    const int error = try_accept(accepted);
    if (error == 0) co_return accepted;
    if (error != EAGAIN) {
      co_await back_off(error, failures);
      continue;
    }
    socket_.state_->readiness.readable = false;
    co_await Socket::ReadyWait(socket_.state_->readiness, Socket::Side::read);
  }
  co_return Socket{};
}

Task<Socket> Listener::accept_queued() {
  int failures = 0;
  while (socket_.is_open()) {
    Socket accepted;
    const int error = try_accept(accepted);
    if (error == 0) co_return accepted;
    if (error == EAGAIN) break;
    co_await back_off(error, failures);
  }
  co_return Socket{};
}

// Guards against a loop that stands still for all connections while accept fails: a lack of this machine passes in time,
// and a queue full of broken connections is gone through a few at a time.
Task<> Listener::back_off(int error, int& failures) {
  constexpr int kAtOnce = 4;
  loop_.report_call_failure(SystemCall::accept4, error);
  if (classify_error(SystemCall::accept4, error) != ErrorClass::resource_shortage &&
      ++failures % kAtOnce != 0)
    co_return;
  co_await loop_.sleep_for(kResourceRetryDelay);
}

int Listener::try_accept(Socket& to) {
  if (unregistered_ < 0) {
    loop_.count_call(SystemCall::accept4);
    unregistered_ = ::accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (unregistered_ < 0) return errno;
    loop_.count_call(SystemCall::setsockopt, no_delay(unregistered_));
  }
  // One that cannot be registered is kept: its client may have sent a request.
  const int error = Socket::adopt(loop_, unregistered_, to);
  if (error == 0) unregistered_ = -1;
  return error;
}

void Listener::set_backlog(int n) {
  if (socket_.is_open()) ::listen(socket_.fd(), n);
}

}  // namespace cressrill::io
