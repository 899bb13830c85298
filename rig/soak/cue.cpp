#include "cue.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace cressrill::rig::soak {

namespace {

// A datagram holds the cue and then the request id, padded with zeros. All datagrams have this size, because
// the event loop takes a read that fills its buffer as a sign that more data may be available.
constexpr std::size_t kDatagramBytes = 32;

int datagram_socket() {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  return fd;
}

sockaddr_in to_sockaddr(io::Address address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}

}  // namespace

CueSender::CueSender(io::Loop& loop, io::Address to) {
  if (to.port == 0) return;
  socket_ = io::Socket(loop, datagram_socket());
  const sockaddr_in peer = to_sockaddr(to);
  if (::connect(socket_.fd(), reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
    throw std::system_error(errno, std::generic_category(), "connect");
}

void CueSender::send(Cue cue, const std::string& id) {
  if (!socket_.is_open()) return;
  std::array<char, kDatagramBytes> datagram{static_cast<char>(cue)};
  id.copy(datagram.data() + 1, datagram.size() - 1);
  ::send(socket_.fd(), datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

CueReceiver::CueReceiver(io::Loop& loop, Handler handler)
    : socket_(loop, datagram_socket()), handler_(std::move(handler)), scope_(loop) {
  sockaddr_in local = to_sockaddr({INADDR_LOOPBACK, 0});
  socklen_t size = sizeof local;
  auto* const address = reinterpret_cast<sockaddr*>(&local);
  if (::bind(socket_.fd(), address, size) != 0 || ::getsockname(socket_.fd(), address, &size) != 0)
    throw std::system_error(errno, std::generic_category(), "bind");
  address_ = {INADDR_LOOPBACK, ntohs(local.sin_port)};
  scope_.spawn(receive());
}

io::Task<> CueReceiver::receive() {
  std::array<char, kDatagramBytes> datagram{};
  for (;;) {
    const io::IoResult received = co_await socket_.read_some(datagram);
    if (!received.ok()) co_return;
    if (received.bytes < datagram.size()) continue;
    const auto id_end = std::find(datagram.begin() + 1, datagram.end(), '\0');
    handler_(static_cast<Cue>(datagram.front()), std::string(datagram.begin() + 1, id_end));
  }
}

}  // namespace cressrill::rig::soak
