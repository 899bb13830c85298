// A server on plain non-blocking sockets, outside the scheduler: it takes connections, reads and writes exactly where the
// test calls it, in as many pieces as the test likes. Also one whose queue is full, so that connections to it hang.
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
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(descriptor_, reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
    REQUIRE(::listen(descriptor_, backlog) == 0);
    ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
    socklen_t size = sizeof any;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&any), &size);
    address_ = {INADDR_LOOPBACK, ntohs(any.sin_port)};
  }
  ~RawServer() { ::close(descriptor_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const io::Address& address() const { return address_; }
  // Connections from now on hold so many bytes unread.
  void set_receive_buffer(int bytes) {
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  // The next connection that waits, or null.
  std::unique_ptr<RawConnection> accept() {
    const int taken = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    return taken < 0 ? nullptr : std::make_unique<RawConnection>(taken);
  }

 private:
  int descriptor_;
  io::Address address_;
};

// Lets no handed time pass until that holds, though real time does: for what the kernel does in its own time.
template <class Condition>
bool run_with_stopped_clock(io::Loop& loop, Condition condition) {
  io::Scope scope(loop);
  scope.spawn([](io::Loop& l) -> io::Task<> {
    for (;;) co_await l.sleep_for(0);
  }(loop));
  const auto last = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  loop.run_until([&] { return condition() || std::chrono::steady_clock::now() > last; });
  return condition();
}

// One whose connections can be made to hang: they come up once let_in() was called and the kernel has tried again.
class HangingServer {
 public:
  HangingServer() : server_(0) {}
  ~HangingServer() {
    if (in_the_queue_ >= 0) ::close(in_the_queue_);
  }
  const io::Address& address() const { return server_.address(); }
  void fill_accept_queue() {
    in_the_queue_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = to_sockaddr(server_.address());
    ::connect(in_the_queue_, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  }
  void drain_accept_queue() {
    while (server_.accept()) {
    }
  }
  // Connections from now on hold so many bytes unread.
  void set_receive_buffer(int bytes) { server_.set_receive_buffer(bytes); }
  std::unique_ptr<RawConnection> accept() { return server_.accept(); }

 private:
  RawServer server_;
  int in_the_queue_{-1};
};

}  // namespace cressrill::testing
