// The kernel's cost of forwarding an event over loopback: epoll_wait, recv and send, without any program
// logic. The router's own cost of an event is added to this.
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
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  const int connecting = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 1) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
      ::connect(connecting, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error("cannot connect over loopback");
  const int accepted = ::accept(listener, nullptr, nullptr);
  ::close(listener);
  const int no_delay = 1;
  for (const int fd : {connecting, accepted})
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  return {connecting, accepted};
}

// forward: the event is received from one connection and sent on over a second one, as a router does. Without
// it, the event passes one connection only; the difference is the cost of forwarding.
void events(benchmark::State& state, bool forward) {
  const auto engine = connected_pair();
  const auto client = connected_pair();
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
      const ssize_t received = ::recv(engine[1], bytes.data(), bytes.size(), 0);
      if (::send(client[0], bytes.data(), static_cast<std::size_t>(received), 0) < 0)
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
