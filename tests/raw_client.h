// Connections on plain non-blocking sockets, outside the scheduler: each step happens exactly where the test calls it,
// between two stretches of handed time, so that a test can force the order in which bytes and ends cross.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <string_view>

#include "io/socket.h"

namespace cressrill::testing {

inline sockaddr_in to_sockaddr(const io::Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}

// Whether that is one answer with status 200 and a stream that came to its last chunk.
inline bool is_complete_stream(std::string_view text) {
  return text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n");
}

class RawConnection {
 public:
  explicit RawConnection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  virtual ~RawConnection() { close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // How much of it the kernel took.
  std::size_t write(std::string_view text) {
    const ssize_t n = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    return n < 0 ? 0 : static_cast<std::size_t>(n);
  }
  // Takes what has come, at most so many bytes, and keeps it in text().
  void read(std::size_t most = SIZE_MAX) {
    std::array<char, 16 * 1024> buffer;
    while (most > 0) {
      const ssize_t n = ::recv(descriptor_, buffer.data(), std::min(buffer.size(), most), 0);
      if (n < 0 && errno == EINTR) continue;
      if (n == 0) ended_ = true;
      if (n < 0 && errno != EAGAIN) reset_ = true;
      if (n <= 0) return;
      text_.append(buffer.data(), static_cast<std::size_t>(n));
      most -= static_cast<std::size_t>(n);
    }
  }
  const std::string& text() const { return text_; }
  void clear_text() { text_.clear(); }
  // The peer has ended its sending in order, or broken the connection; told by read().
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }
  // Ends its own sending; what the peer sends can still be read.
  void shutdown_write() { ::shutdown(descriptor_, SHUT_WR); }
  void close(bool hard = false) {
    if (descriptor_ < 0) return;
    if (hard) {
      const linger now{1, 0};
      ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(descriptor_);
    descriptor_ = -1;
  }

 private:
  int descriptor_;
  bool ended_{};
  bool reset_{};
  std::string text_;
};

class RawClient final : public RawConnection {
 public:
  // receive_buffer: bytes that the kernel holds for it, 0 for the usual.
  explicit RawClient(const io::Address& server, int receive_buffer = 0)
      : RawConnection(connected(server, receive_buffer)) {}

 private:
  static int connected(const io::Address& server, int receive_buffer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
      ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in target = to_sockaddr(server);
    const int made = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    CHECK(made == 0);
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
  }
};

}  // namespace cressrill::testing
