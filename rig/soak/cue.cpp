#include "cue.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace cressrill::rig::soak {

namespace {

// The cue, then the request's id, filled up with zeros. All datagrams are of this size: a read that is full tells the
// scheduler that more may be there.
constexpr std::size_t kDatagramBytes = 32;

int datagram_socket() {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::system_error(errno, std::generic_category(), "socket");
  return fd;
}

sockaddr_in raw(io::Address address) {
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
  const sockaddr_in peer = raw(to);
  if (::connect(socket_.fd(), reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
    throw std::system_error(errno, std::generic_category(), "connect");
}

void CueSender::send(Cue cue, const std::string& id) {
  if (!socket_.is_open()) return;
  std::array<char, kDatagramBytes> text{static_cast<char>(cue)};
  id.copy(text.data() + 1, text.size() - 1);
  ::send(socket_.fd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

CueReceiver::CueReceiver(io::Loop& loop, Handler handler)
    : socket_(loop, datagram_socket()), handler_(std::move(handler)), scope_(loop) {
  sockaddr_in own = raw({INADDR_LOOPBACK, 0});
  socklen_t size = sizeof own;
  auto* const address = reinterpret_cast<sockaddr*>(&own);
  if (::bind(socket_.fd(), address, size) != 0 || ::getsockname(socket_.fd(), address, &size) != 0)
    throw std::system_error(errno, std::generic_category(), "bind");
  address_ = {INADDR_LOOPBACK, ntohs(own.sin_port)};
  scope_.spawn(receive());
}

io::Task<> CueReceiver::receive() {
  std::array<char, kDatagramBytes> text{};
  for (;;) {
    const io::IoResult got = co_await socket_.read_some(text);
    if (!got.ok()) co_return;
    if (got.bytes < text.size()) continue;
    const auto id_end = std::find(text.begin() + 1, text.end(), '\0');
    handler_(static_cast<Cue>(text.front()), std::string(text.begin() + 1, id_end));
  }
}

}  // namespace cressrill::rig::soak
