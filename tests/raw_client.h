// Connections on plain non-blocking sockets, outside the event loop: each step happens exactly where the test
// calls it, between two calls of run_for(), so that a test controls the order of data and closes from both
// sides.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sched.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
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

// Whether `text` starts as a response with status 200 and ends with a last chunk.
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

  // Returns how many bytes the kernel accepted.
  std::size_t write(std::string_view text) {
    const ssize_t sent = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  // Reads the received data, at most max_bytes, and appends it to text().
  void read(std::size_t max_bytes = SIZE_MAX) {
    std::array<char, 16 * 1024> buffer;
    while (max_bytes > 0) {
      const ssize_t received = ::recv(descriptor_, buffer.data(), std::min(buffer.size(), max_bytes), 0);
      if (received < 0 && errno == EINTR) continue;
      if (received == 0) ended_ = true;
      if (received < 0 && errno != EAGAIN) reset_ = true;
      if (received <= 0) return;
      text_.append(buffer.data(), static_cast<std::size_t>(received));
      max_bytes -= static_cast<std::size_t>(received);
    }
  }
  const std::string& text() const { return text_; }
  void clear_text() { text_.clear(); }
  // Whether a read() has found that the peer sent a FIN (ended) or broke the connection (reset).
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }
  // Waits, in real time, until the kernel has acknowledged whatever the peer, a socket of this process, has
  // sent: it delays an acknowledgement, which a simulated clock would overtake. Returns whether it has.
  bool wait_until_acknowledged() const {
    const int peer = peer_descriptor();
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (peer >= 0 && std::chrono::steady_clock::now() < deadline) {
      tcp_info info{};
      socklen_t size = sizeof info;
      if (::getsockopt(peer, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return false;
      if (info.tcpi_unacked == 0) return true;
      ::sched_yield();
    }
    return false;
  }
  // Sends a FIN; data from the peer can still be read.
  void shutdown_write() { ::shutdown(descriptor_, SHUT_WR); }
  // with_reset: sends an RST instead of a FIN.
  void close(bool with_reset = false) {
    if (descriptor_ < 0) return;
    if (with_reset) {
      const linger send_reset{1, 0};
      ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &send_reset, sizeof send_reset);
    }
    ::close(descriptor_);
    descriptor_ = -1;
  }

 private:
  // The descriptor of the other end, if it is in this process, or -1.
  int peer_descriptor() const {
    constexpr int kMaxDescriptor = 1024;
    sockaddr_in own{};
    socklen_t size = sizeof own;
    if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&own), &size) != 0) return -1;
    for (int candidate = 0; candidate < kMaxDescriptor; ++candidate) {
      sockaddr_in peer{};
      size = sizeof peer;
      if (::getpeername(candidate, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
          peer.sin_port == own.sin_port && peer.sin_addr.s_addr == own.sin_addr.s_addr)
        return candidate;
    }
    return -1;
  }
  int descriptor_;
  bool ended_{};
  bool reset_{};
  std::string text_;
};

class RawClient final : public RawConnection {
 public:
  // receive_buffer: size of the kernel's receive buffer in bytes, 0 for the default.
  explicit RawClient(const io::Address& server, int receive_buffer = 0)
      : RawConnection(connected(server, receive_buffer)) {}

 private:
  static int connected(const io::Address& server, int receive_buffer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
      ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in target = to_sockaddr(server);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    CHECK(result == 0);
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
  }
};

}  // namespace cressrill::testing
