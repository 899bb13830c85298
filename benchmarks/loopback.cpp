// The kernel's cost of forwarding an event over loopback: epoll_wait, recv and send, without any program
// logic. The router's own cost of an event comes on top of this.
#include <arpa/inet.h>
#include <benchmark/benchmark.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace {

// The two ends of one connection.
std::array<int, 2> connected_pair() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  const int near = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listener, 1) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) != 0 ||
      ::connect(near, reinterpret_cast<sockaddr*>(&at), size) != 0)
    throw std::runtime_error("cannot connect over loopback");
  const int far = ::accept(listener, nullptr, nullptr);
  ::close(listener);
  const int on = 1;
  for (const int fd : {near, far}) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return {near, far};
}

// forward: the event passes through an intermediate process. Without it, it goes from one end to the other
// directly; the difference is the cost of forwarding.
void events(benchmark::State& state, bool forward) {
  const auto engine = connected_pair(), client = connected_pair();
  const int epoll = epoll_create1(0);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLET;
  epoll_ctl(epoll, EPOLL_CTL_ADD, engine[1], &event);
  std::array<char, 4096> bytes{};
  const auto size = static_cast<std::size_t>(state.range(0));
  for (auto _ : state) {
    if (::send(engine[0], bytes.data(), size, 0) < 0) throw std::runtime_error("send");
    if (forward) {
      epoll_wait(epoll, &event, 1, -1);
      const ssize_t got = ::recv(engine[1], bytes.data(), bytes.size(), 0);
      if (::send(client[0], bytes.data(), static_cast<std::size_t>(got), 0) < 0)
        throw std::runtime_error("send");
      if (::recv(client[1], bytes.data(), bytes.size(), 0) < 0) throw std::runtime_error("recv");
    } else if (::recv(engine[1], bytes.data(), bytes.size(), 0) < 0) {
      throw std::runtime_error("recv");
    }
  }
  for (const int fd : {engine[0], engine[1], client[0], client[1], epoll}) ::close(fd);
}
void event_sent_and_read(benchmark::State& state) { events(state, false); }
void event_passed_on(benchmark::State& state) { events(state, true); }
BENCHMARK(event_sent_and_read)->Arg(200)->Arg(2000);
BENCHMARK(event_passed_on)->Arg(200)->Arg(2000);

}  // namespace

BENCHMARK_MAIN();
