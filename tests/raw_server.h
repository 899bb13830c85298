// A server on plain non-blocking sockets, outside the event loop: it accepts, reads and writes exactly where
// the test calls it, in pieces of any size. Also a server with a full accept queue, so that connections to
// it hang.
#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "loopback.h"
#include "raw_client.h"

namespace cressrill::testing {

class RawServer {
 public:
  explicit RawServer(int backlog = 64) : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0);
    REQUIRE(::listen(descriptor_, backlog) == 0);
    ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
    socklen_t size = sizeof local;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local), &size);
    address_ = {INADDR_LOOPBACK, ntohs(local.sin_port)};
  }
  ~RawServer() { ::close(descriptor_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const io::Address& address() const { return address_; }
  // Sets the size of the receive buffer, in bytes, of connections accepted from now on.
  void set_receive_buffer(int bytes) {
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  // The next connection in the accept queue, or null.
  std::unique_ptr<RawConnection> accept() {
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    return accepted < 0 ? nullptr : std::make_unique<RawConnection>(accepted);
  }

 private:
  int descriptor_;
  io::Address address_;
};

// Runs the loop with its simulated clock stopped until the condition holds or 20 s of real time have passed:
// for events that depend on kernel timers. Returns whether the condition holds.
template <class Condition>
bool run_with_stopped_clock(io::Loop& loop, Condition condition) {
  io::Scope scope(loop);
  scope.spawn([](io::Loop& event_loop) -> io::Task<> {
    for (;;) co_await event_loop.sleep_for(0);
  }(loop));
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  loop.run_until([&] { return condition() || std::chrono::steady_clock::now() > deadline; });
  return condition();
}

// A server to which connections hang after fill_accept_queue(). They complete once drain_accept_queue() was
// called and the kernel has retried the handshake.
class HangingServer {
 public:
  HangingServer() : server_(0) {}
  ~HangingServer() {
    if (queued_descriptor_ >= 0) ::close(queued_descriptor_);
  }
  const io::Address& address() const { return server_.address(); }
  void fill_accept_queue() {
    queued_descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = to_sockaddr(server_.address());
    ::connect(queued_descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  }
  void drain_accept_queue() {
    while (server_.accept()) {
    }
  }
  // Sets the size of the receive buffer, in bytes, of connections accepted from now on.
  void set_receive_buffer(int bytes) { server_.set_receive_buffer(bytes); }
  std::unique_ptr<RawConnection> accept() { return server_.accept(); }

 private:
  RawServer server_;
  int queued_descriptor_{-1};
};

}  // namespace cressrill::testing
