// The kernel's own cost of an event that is passed on: told by epoll, read, written, through loopback, with no program
// logic between. What the router adds to an event is over this.
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

// Two ends of one connection.
std::array<int, 2> connected() {
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  const int near = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(listener, 1) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) != 0 ||
      ::connect(near, reinterpret_cast<sockaddr*>(&at), size) != 0)
    throw std::runtime_error("no connection through loopback");
  const int far = ::accept(listener, nullptr, nullptr);
  ::close(listener);
  const int on = 1;
  for (const int fd : {near, far}) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return {near, far};
}

// pass: also what stands between; else only the two ends, so that the difference is the passing on.
void events(benchmark::State& state, bool pass) {
  const auto engine = connected(), client = connected();
  const int epoll = epoll_create1(0);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLET;
  epoll_ctl(epoll, EPOLL_CTL_ADD, engine[1], &event);
  std::array<char, 4096> bytes{};
  const auto size = static_cast<std::size_t>(state.range(0));
  for (auto _ : state) {
    if (::send(engine[0], bytes.data(), size, 0) < 0) throw std::runtime_error("send");
    if (pass) {
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
