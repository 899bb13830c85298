#include "proxy.h"

#include <array>

namespace cressrill::rig::soak {

Proxy::Proxy(io::Loop& loop, io::Address listen, io::Address target, std::uint64_t seed)
    : loop_(loop),
      target_(target),
      random_(seed),
      listener_(loop, listen),
      links_recovered_(loop),
      connections_(loop) {
  connections_.spawn(accept());
}

io::Task<> Proxy::accept() {
  for (;;) {
    io::Socket client = co_await listener_.accept();
    if (!client.is_open()) co_return;
    connections_.spawn(relay_connection(std::move(client), ++accepted_));
  }
}

Proxy::Fault Proxy::draw_fault() {
  switch (std::uniform_int_distribution<int>(0, 39)(random_)) {
    case 0:
      return Fault::delayed;
    case 1:
      return Fault::reset;
    case 2:
    case 3:
      return Fault::fragmented;
    case 4:
      return Fault::ignored;
    default:
      return Fault::none;
  }
}

void Proxy::silence_open_connections() {
  const bool responses_only = std::uniform_int_distribution<int>(0, 2)(random_) == 0;
  (responses_only ? responses_silent_up_to_ : silent_up_to_) = accepted_;
}

void Proxy::set_all_silent(bool silent) {
  all_silent_ = silent;
  if (!silent) links_recovered_.notify();
}

bool Proxy::may_relay(std::uint64_t connection_number, bool towards_worker) const {
  if (all_silent_ || connection_number <= silent_up_to_) return false;
  return towards_worker || connection_number > responses_silent_up_to_;
}

io::Task<> Proxy::relay_connection(io::Socket client, std::uint64_t connection_number) {
  const Fault fault = draw_fault();
  if (fault == Fault::ignored) {
    co_await client.wait_for_peer_close();
    co_return;
  }
  io::Socket worker;
  if (!(co_await io::connect(loop_, target_, worker)).ok()) {
    client.close(true);
    co_return;
  }
  std::size_t request_bytes_left = SIZE_MAX;
  std::size_t response_bytes_left = fault == Fault::reset ? 150 + random_() % 1500 : SIZE_MAX;
  const std::size_t max_bytes = fault == Fault::fragmented ? 23 : 16 * 1024;
  io::Signal ended(loop_);
  io::Scope relays(loop_);
  relays.spawn(relay(client, worker, 16 * 1024, request_bytes_left, ended, connection_number, true));
  // Requests are never delayed, as the checker takes the time of their arrival at the worker for the time at
  // which the router sent them.
  if (fault == Fault::delayed) co_await loop_.sleep_for(200 * io::kMs);
  relays.spawn(relay(worker, client, max_bytes, response_bytes_left, ended, connection_number, false));
  co_await ended.wait();
  relays.cancel();
  const bool reset = fault == Fault::reset;
  worker.close(reset);
  client.close(reset);
}

io::Task<> Proxy::relay(io::Socket& from, io::Socket& to, std::size_t max_bytes, std::size_t& bytes_left,
                        io::Signal& ended, std::uint64_t connection_number, bool towards_worker) {
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const io::IoResult received = co_await from.read_some(std::span(buffer).subspan(0, max_bytes));
    while (!may_relay(connection_number, towards_worker)) co_await links_recovered_.wait();
    const std::size_t bytes = std::min(received.bytes, bytes_left);
    bytes_left -= bytes;
    if (bytes == 0 || !(co_await to.write_all({buffer.data(), bytes})).ok() || bytes_left == 0) break;
  }
  ended.notify();
}

}  // namespace cressrill::rig::soak
