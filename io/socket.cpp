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
#include <limits>
#include <system_error>
#include <utility>

namespace cressrill::io {

namespace {
sockaddr_in to_sockaddr(Address address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}
int new_socket() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  return fd;
}
// set_no_delay() and enable_keepalive() return the number of system calls that they made.
std::uint64_t set_no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return 1;
}
// Keepalive probes detect a peer whose machine is down and sends no FIN: the kernel breaks the connection
// after about 25 s of silence.
std::uint64_t enable_keepalive(int fd) {
  const int on = 1;
  const int idle_s = 10;
  const int interval_s = 5;
  const int probes = 3;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  return 4;
}
// Returns the result of a connect that was in progress (SO_ERROR), or the errno of a failed getsockopt(2).
int connect_result(Loop& loop, int fd) {
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

// Suspends until the descriptor is ready in one direction. A timer, close() or cancel_read() also resumes the
// coroutine, so the caller has to check why.
struct Socket::ReadyWait : Waiter {
  ReadyWait(DescriptorState& awaited, Side direction) : descriptor(&awaited), side(direction) {}
  ReadyWait(ReadyWait&&) = delete;
  ~ReadyWait() {
    if (descriptor != nullptr && slot() == this) slot() = nullptr;
  }
  Waiter*& slot() { return side == Side::read ? descriptor->read_waiter : descriptor->write_waiter; }
  bool await_ready() const noexcept {
    return side == Side::read ? descriptor->readable : descriptor->writable;
  }
  void await_suspend(std::coroutine_handle<> h) {
    handle = h;
    slot() = this;
  }
  void await_resume() const noexcept {}
  DescriptorState* descriptor;  // null once the socket was closed during the wait
  Side side;
};

Socket::Socket(Loop& loop, int fd) {
  const int error = adopt(loop, fd, *this);
  if (error == 0) return;
  ::close(fd);
  throw std::system_error(error, std::generic_category(), "epoll_ctl");
}

int Socket::adopt(Loop& loop, int fd, Socket& out) {
  auto state = std::unique_ptr<State>(new State{.loop = loop, .fd = fd, .descriptor = {}});
  const int error = loop.register_descriptor(fd, state->descriptor);
  if (error == 0) out.state_ = std::move(state);
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
    const linger send_reset{1, 0};  // on, with a time of 0 s
    state_->loop.count_call(SystemCall::setsockopt);
    setsockopt(state_->fd, SOL_SOCKET, SO_LINGER, &send_reset, sizeof send_reset);
  }
  // Wakes the coroutines that wait on this socket; they return EBADF.
  for (Waiter* waiter : {state_->descriptor.read_waiter, state_->descriptor.write_waiter})
    if (waiter != nullptr) {
      static_cast<ReadyWait*>(waiter)->descriptor = nullptr;
      state_->loop.make_ready(*waiter);
    }
  state_->loop.deregister_descriptor(state_->fd);
  state_->loop.count_call(SystemCall::close);
  ::close(state_->fd);
  state_.reset();
}

Task<bool> Socket::should_retry(SystemCall call, int error) {
  const ErrorClass error_class = classify_error(call, error);
  if (error_class != ErrorClass::interrupted && error_class != ErrorClass::resource_shortage) co_return false;
  state_->loop.report_call_failure(call, error);
  if (error_class == ErrorClass::resource_shortage) co_await state_->loop.sleep_for(kResourceRetryDelay);
  co_return true;
}

// A short read usually means that the receive buffer is empty and that epoll(7) will report new data. A read
// can also return short while data remains, which epoll does not report again: so one probe read is made
// after a delay.
Task<> Socket::wait_readable() {
  constexpr Nanos kProbeDelay = 50 * kMs;
  ReadyWait ready(state_->descriptor, Side::read);
  Timer timer;
  if (!state_->probed) state_->loop.set_timer(timer, state_->loop.now() + kProbeDelay, ready);
  co_await ready;
  if (!state_ || state_->descriptor.readable || state_->descriptor.cancel_read) co_return;
  state_->probed = true;
  state_->probing = true;
  state_->descriptor.readable = true;
}

bool Socket::read_turn_is_over() const {
  // A read takes 64 KiB at most, so that a turn is short beside the time limits of other connections.
  constexpr int kMaxReadsPerPoll = 4;
  return state_->read_poll == state_->loop.poll_count() && state_->reads_since_poll >= kMaxReadsPerPoll;
}

void Socket::count_read() {
  const std::uint64_t poll = state_->loop.poll_count();
  if (state_->read_poll != poll) state_->reads_since_poll = 0;
  state_->read_poll = poll;
  ++state_->reads_since_poll;
}

Task<IoResult> Socket::read_some(std::span<char> buffer) {
  for (;;) {
    if (!state_) co_return IoResult{0, EBADF};
    if (std::exchange(state_->descriptor.cancel_read, false)) co_return IoResult{0, ECANCELED};
    if (!state_->descriptor.readable && !state_->descriptor.left_unread) {
      co_await wait_readable();
      continue;
    }
    if (read_turn_is_over()) {
      co_await state_->loop.yield();
      continue;
    }
    // Data left unread by a peek may exceed one read, and epoll does not report it again.
    if (std::exchange(state_->descriptor.left_unread, false)) state_->descriptor.readable = true;
    state_->loop.count_call(SystemCall::recv);
    count_read();
    const ssize_t received = ::recv(state_->fd, buffer.data(), buffer.size(), 0);
    if (received >= 0) {
      state_->loop.count_transfer(-received);
      state_->short_reads |= std::exchange(state_->probing, false) && received > 0;
      state_->probed = false;
      const bool may_be_all = static_cast<std::size_t>(received) < buffer.size() && !state_->short_reads;
      if (may_be_all) state_->descriptor.readable = state_->descriptor.hung_up;
      co_return IoResult{static_cast<std::size_t>(received), 0};
    }
    const int error = errno;
    if (error == EAGAIN) {
      state_->descriptor.readable = false;
      state_->probing = false;
    } else if (!co_await should_retry(SystemCall::recv, error)) {
      co_return IoResult{0, error};
    }
  }
}

void Socket::set_write_stall_timeout(Nanos timeout) {
  if (state_) state_->write_stall_timeout = timeout;
}

// Waits until the kernel accepts more data or the socket is closed; returns false after write_stall_timeout
// without progress. epoll reports a socket writable only once much of its send buffer is free, so progress is
// also measured by the unacknowledged bytes: a peer that reads slowly does not count as stalled.
Task<bool> Socket::wait_writable() {
  constexpr Nanos kChecksPerTimeout = 4;
  state_->descriptor.writable = false;
  if (state_->write_stall_timeout == 0) {
    co_await ReadyWait(state_->descriptor, Side::write);
    co_return true;
  }
  int least_unacknowledged = unacknowledged_bytes();
  Nanos last_progress_at = state_->loop.now();
  for (;;) {
    ReadyWait ready(state_->descriptor, Side::write);
    Timer timer;
    state_->loop.set_timer(timer, state_->loop.now() + state_->write_stall_timeout / kChecksPerTimeout,
                           ready);
    co_await ready;
    if (!state_ || state_->descriptor.writable) co_return true;
    if (const int left = unacknowledged_bytes(); left < least_unacknowledged) {
      least_unacknowledged = left;
      last_progress_at = state_->loop.now();
    }
    if (state_->loop.now() - last_progress_at >= state_->write_stall_timeout) co_return false;
  }
}

std::size_t Socket::unread_bytes() const {
  int bytes = 0;
  return ::ioctl(state_->fd, SIOCINQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

int Socket::unacknowledged_bytes() const {
  int bytes = 0;
  return ::ioctl(state_->fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

Task<IoResult> Socket::write_all(std::string_view data) {
  std::size_t sent = 0;
  while (sent < data.size()) {
    if (!state_) co_return IoResult{sent, EBADF};
    state_->loop.count_call(SystemCall::send);
    const ssize_t written = ::send(state_->fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    const int error = written < 0 ? errno : 0;
    if (written > 0) {
      state_->loop.count_transfer(written);
      sent += static_cast<std::size_t>(written);
    } else if (error == EAGAIN) {
      if (!co_await wait_writable()) co_return IoResult{sent, ETIMEDOUT};
    } else if (!co_await should_retry(SystemCall::send, error == 0 ? ENOBUFS : error)) {
      co_return IoResult{sent, error};
    }
  }
  co_return IoResult{sent, 0};
}

Task<IoResult> Socket::write_all(std::span<const std::string_view> parts) {
  constexpr std::size_t kMaxPartsPerCall = 16;
  std::size_t sent = 0;        // bytes of all parts together
  std::size_t first = 0;       // index of the first part that is not completely sent
  std::size_t first_sent = 0;  // bytes of that part that are sent
  for (;;) {
    while (first < parts.size() && first_sent == parts[first].size()) {
      ++first;
      first_sent = 0;
    }
    if (first == parts.size()) co_return IoResult{sent, 0};
    if (!state_) co_return IoResult{sent, EBADF};
    std::array<iovec, kMaxPartsPerCall> buffers;
    std::size_t count = 0;
    for (std::size_t i = first; i < parts.size() && count < kMaxPartsPerCall; ++i) {
      const std::string_view rest = parts[i].substr(i == first ? first_sent : 0);
      if (!rest.empty()) buffers[count++] = {const_cast<char*>(rest.data()), rest.size()};
    }
    msghdr message{};
    message.msg_iov = buffers.data();
    message.msg_iovlen = count;
    state_->loop.count_call(SystemCall::send);
    const ssize_t written = ::sendmsg(state_->fd, &message, MSG_NOSIGNAL);
    if (written > 0) {
      state_->loop.count_transfer(written);
      sent += static_cast<std::size_t>(written);
      for (auto left = static_cast<std::size_t>(written); left > 0;) {
        const std::size_t from_first = std::min(left, parts[first].size() - first_sent);
        left -= from_first;
        first_sent += from_first;
        if (first_sent == parts[first].size()) {
          ++first;
          first_sent = 0;
        }
      }
      continue;
    }
    const int error = written < 0 ? errno : 0;
    if (error == EAGAIN) {
      if (!co_await wait_writable()) co_return IoResult{sent, ETIMEDOUT};
    } else if (!co_await should_retry(SystemCall::send, error == 0 ? ENOBUFS : error)) {
      co_return IoResult{sent, error};
    }
  }
}

Task<> Socket::wait_for_peer_close() {
  co_await wait_for_peer_close_or_unread(std::numeric_limits<std::size_t>::max());
}

Task<bool> Socket::wait_for_peer_close_or_unread(std::size_t max_unread) {
  for (;;) {
    if (!state_) co_return true;
    if (!state_->descriptor.readable) {
      co_await ReadyWait(state_->descriptor, Side::read);
      continue;
    }
    const ssize_t peeked = peek();
    const int error = peeked < 0 ? errno : 0;
    if (peeked == 0) co_return true;
    if (error != 0 && error != EAGAIN) {
      if (state_->descriptor.hung_up) co_return true;
      if (!co_await should_retry(SystemCall::recv, error)) co_return true;
      continue;
    }
    // With unread data, a peek does not see the end of the stream behind it; epoll has reported it
    // (EPOLLRDHUP).
    if (peeked > 0 && state_->descriptor.hung_up) co_return true;
    state_->descriptor.readable = false;
    state_->descriptor.left_unread = peeked > 0;
    if (peeked > 0 && unread_bytes() >= max_unread) co_return false;
  }
}

bool Socket::peer_closed() const { return !state_ || state_->descriptor.hung_up; }

void Socket::cancel_read() {
  if (!state_) return;
  state_->descriptor.cancel_read = true;
  if (state_->descriptor.read_waiter != nullptr) state_->loop.make_ready(*state_->descriptor.read_waiter);
}

bool Socket::is_stale() const {
  if (!state_) return true;
  const ssize_t peeked = peek();
  return peeked >= 0 || classify_error(SystemCall::recv, errno) != ErrorClass::would_block;
}

Nanos Socket::last_received_at() const {
  if (!state_) return 0;
  Loop& loop = state_->loop;
  const Nanos reported_at = state_->descriptor.last_readable_at;
  if (loop.is_simulated()) return reported_at;
  tcp_info info{};
  socklen_t size = sizeof info;
  loop.count_call(SystemCall::getsockopt);
  if (getsockopt(state_->fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return reported_at;
  // tcpi_last_data_recv is in whole milliseconds, and not meaningful before the first data has been received.
  return std::min(reported_at, loop.now() - static_cast<Nanos>(info.tcpi_last_data_recv) * kMs);
}

bool Socket::has_unread_data() const { return state_ && peek() > 0; }

ssize_t Socket::peek() const {
  char byte;
  for (;;) {
    state_->loop.count_call(SystemCall::recv);
    const ssize_t peeked = ::recv(state_->fd, &byte, 1, MSG_PEEK);
    if (peeked >= 0 || errno != EINTR) return peeked;
    state_->loop.report_call_failure(SystemCall::recv, EINTR);
  }
}

Task<IoResult> connect(Loop& loop, Address address, Socket& out) {
  loop.count_call(SystemCall::socket);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    const int error = errno;
    loop.report_call_failure(SystemCall::socket, error);
    co_return IoResult{0, error};
  }
  loop.count_call(SystemCall::setsockopt, set_no_delay(fd) + enable_keepalive(fd));
  loop.count_call(SystemCall::connect);
  const sockaddr_in target = to_sockaddr(address);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  const int error = result == 0 ? 0 : errno;
  // An interrupted connect continues in the background like one that is in progress (connect(2)).
  const bool in_progress =
      error != 0 && classify_error(SystemCall::connect, error) == ErrorClass::would_block;
  if (error != 0 && !in_progress) {
    if (classify_error(SystemCall::connect, error) == ErrorClass::resource_shortage)
      loop.report_call_failure(SystemCall::connect, error);
    ::close(fd);
    co_return IoResult{0, error};
  }
  if (error == EINTR) loop.report_call_failure(SystemCall::connect, error);
  Socket socket;
  if (const int adopt_error = Socket::adopt(loop, fd, socket); adopt_error != 0) {
    ::close(fd);
    co_return IoResult{0, adopt_error};
  }
  if (in_progress) {
    socket.state_->descriptor.writable = false;
    co_await Socket::ReadyWait(socket.state_->descriptor, Socket::Side::write);
    if (!socket.state_) co_return IoResult{0, EBADF};
    if (const int connect_error = connect_result(loop, fd); connect_error != 0)
      co_return IoResult{0, connect_error};
  }
  out = std::move(socket);
  co_return IoResult{0, 0};
}

Listener::Listener(Loop& loop, Address address, int backlog) : loop_(loop), address_(address) {
  const int fd = new_socket();
  socket_ = Socket(loop, fd);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in requested = to_sockaddr(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&requested), sizeof requested) != 0 ||
      ::listen(fd, backlog) != 0)
    throw std::system_error(errno, std::generic_category(), "listen on " + address.to_string());
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  address_.port = ntohs(bound.sin_port);
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
    socket_.state_->descriptor.readable = false;
    co_await Socket::ReadyWait(socket_.state_->descriptor, Socket::Side::read);
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

// Keeps failing accepts from occupying the event loop: waits if this machine is short of a resource, and
// after every kErrorsPerPause connections that broke in the accept queue.
Task<> Listener::back_off(int error, int& failures) {
  constexpr int kErrorsPerPause = 4;
  loop_.report_call_failure(SystemCall::accept4, error);
  if (classify_error(SystemCall::accept4, error) != ErrorClass::resource_shortage &&
      ++failures % kErrorsPerPause != 0)
    co_return;
  co_await loop_.sleep_for(kResourceRetryDelay);
}

int Listener::try_accept(Socket& out) {
  if (unregistered_ < 0) {
    loop_.count_call(SystemCall::accept4);
    unregistered_ = ::accept4(socket_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (unregistered_ < 0) return errno;
    loop_.count_call(SystemCall::setsockopt, set_no_delay(unregistered_));
  }
  // A connection that cannot be registered is kept and retried: its client may have sent a request already.
  const int error = Socket::adopt(loop_, unregistered_, out);
  if (error == 0) unregistered_ = -1;
  return error;
}

void Listener::set_backlog(int backlog) {
  if (socket_.is_open()) ::listen(socket_.fd(), backlog);
}

}  // namespace cressrill::io
