// cressrill-relay: passes bytes from each client to one engine and back, and decides nothing. For measurements only:
// what it costs is the floor for anything that stands between the two on this scheduler.
#include "command_line.h"
#include "io/signals.h"
#include "io/socket.h"

using namespace cressrill;

namespace {

io::Task<> pump(io::Socket& from, io::Socket& to) {
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const io::IoResult got = co_await from.read_some(buffer);
    if (!got.ok() || got.bytes == 0) break;
    const io::IoResult put = co_await to.write_all(std::string_view(buffer.data(), got.bytes));
    if (!put.ok()) break;
  }
}

io::Task<> carry(io::Loop& loop, io::Socket client, io::Address engine) {
  io::Socket peer;
  const io::IoResult connected = co_await io::connect(loop, engine, peer);
  if (!connected.ok()) co_return;
  io::Signal over(loop);
  io::Scope both(loop);
  const auto way = [&](io::Socket& from, io::Socket& to) {
    both.spawn([](io::Socket& a, io::Socket& b, io::Signal& s) -> io::Task<> {
      co_await pump(a, b);
      s.notify();
    }(from, to, over));
  };
  way(client, peer), way(peer, client);
  co_await over.wait();
}

io::Task<> accept(io::Loop& loop, io::Listener& listener, std::vector<io::Address> engines,
                  io::Scope& scope) {
  for (std::size_t turn = 0;; ++turn) {
    io::Socket client = co_await listener.accept();
    scope.spawn(carry(loop, std::move(client), engines[turn % engines.size()]));
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Passes bytes on and decides nothing; for measurements.", "cressrill-relay"};
  std::string listen;
  std::vector<std::string> to;
  app.add_option("--listen", listen, "address and port")->required();
  app.add_option("--to", to, "addresses of engines, taken in turn")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  std::vector<io::Address> engines;
  for (const std::string& text : to)
    if (const auto a = io::parse_address(text)) engines.push_back(*a);
  const auto address = io::parse_address(listen);
  if (!address || engines.size() != to.size()) {
    std::cerr << "cressrill-relay: not an address and port\n";
    return kUsage;
  }
  return guarded("cressrill-relay", [&] {
    io::Loop loop;
    io::Listener listener(loop, *address);
    io::Scope scope(loop);
    scope.spawn(accept(loop, listener, engines, scope));
    io::run_until_stop_signal(loop);
    return kFine;
  });
}
