#include "proxy.h"

#include <array>

namespace cressrill::rig::soak {

Proxy::Proxy(io::Loop& loop, io::Address listen, io::Address target, std::uint64_t seed)
    : loop_(loop),
      target_(target),
      random_(seed),
      listener_(loop, listen),
      passes_again_(loop),
      connections_(loop) {
  connections_.spawn(accept());
}

io::Task<> Proxy::accept() {
  for (;;) {
    io::Socket client = co_await listener_.accept();
    if (!client.is_open()) co_return;
    connections_.spawn(carry(std::move(client), ++accepted_));
  }
}

Proxy::Trouble Proxy::draw() {
  switch (std::uniform_int_distribution<int>(0, 39)(random_)) {
    case 0:
      return Trouble::late;
    case 1:
      return Trouble::broken;
    case 2:
    case 3:
      return Trouble::pieces;
    case 4:
      return Trouble::swallowed;
    default:
      return Trouble::none;
  }
}

void Proxy::silence_open_connections() {
  const bool answers_only = std::uniform_int_distribution<int>(0, 2)(random_) == 0;
  (answers_only ? answers_silent_up_to_ : silent_up_to_) = accepted_;
}

void Proxy::silence_all(bool silent) {
  all_silent_ = silent;
  if (!silent) passes_again_.notify();
}

bool Proxy::passes(std::uint64_t number, bool towards_worker) const {
  if (all_silent_ || number <= silent_up_to_) return false;
  return towards_worker || number > answers_silent_up_to_;
}

io::Task<> Proxy::carry(io::Socket client, std::uint64_t number) {
  const Trouble trouble = draw();
  if (trouble == Trouble::swallowed) {
    co_await client.wait_for_peer_close();
    co_return;
  }
  io::Socket worker;
  if (!(co_await io::connect(loop_, target_, worker)).ok()) {
    client.close(true);
    co_return;
  }
  std::size_t up_left = SIZE_MAX;
  std::size_t down_left = trouble == Trouble::broken ? 150 + random_() % 1500 : SIZE_MAX;
  const std::size_t most_bytes = trouble == Trouble::pieces ? 23 : 16 * 1024;
  io::Signal over(loop_);
  io::Scope both(loop_);
  both.spawn(pass(client, worker, 16 * 1024, up_left, over, number, true));
  // Requests are never held up: the checker takes their arrival at the worker for the router's doing.
  if (trouble == Trouble::late) co_await loop_.sleep_for(200 * io::kMs);
  both.spawn(pass(worker, client, most_bytes, down_left, over, number, false));
  co_await over.wait();
  both.cancel();
  const bool broken = trouble == Trouble::broken;
  worker.close(broken), client.close(broken);
}

// Passes bytes on until one side ends, or so many have gone.
io::Task<> Proxy::pass(io::Socket& from, io::Socket& to, std::size_t most_bytes, std::size_t& left,
                       io::Signal& over, std::uint64_t number, bool towards_worker) {
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const io::IoResult got = co_await from.read_some(std::span(buffer).subspan(0, most_bytes));
    while (!passes(number, towards_worker)) co_await passes_again_.wait();
    const std::size_t bytes = std::min(got.bytes, left);
    left -= bytes;
    if (bytes == 0 || !(co_await to.write_all({buffer.data(), bytes})).ok() || left == 0) break;
  }
  over.notify();
}

}  // namespace cressrill::rig::soak
