// cressrill-relay: a TCP proxy that forwards bytes between each client and one engine. For measurements only:
// its cost is the lower bound for any proxy on this event loop.
#include "command_line.h"
#include "io/signals.h"
#include "io/socket.h"

using namespace cressrill;

namespace {

// Forwards bytes in one direction until the source closes or a call fails.
io::Task<> forward(io::Socket& from, io::Socket& to) {
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const io::IoResult received = co_await from.read_some(buffer);
    if (!received.ok() || received.bytes == 0) break;
    const io::IoResult sent = co_await to.write_all(std::string_view(buffer.data(), received.bytes));
    if (!sent.ok()) break;
  }
}

// Closes both connections when either direction has ended.
io::Task<> relay_connection(io::Loop& loop, io::Socket client, io::Address engine) {
  io::Socket engine_socket;
  const io::IoResult connected = co_await io::connect(loop, engine, engine_socket);
  if (!connected.ok()) co_return;
  io::Signal ended(loop);
  io::Scope directions(loop);
  const auto start_direction = [&](io::Socket& from, io::Socket& to) {
    directions.spawn([](io::Socket& source, io::Socket& target, io::Signal& signal) -> io::Task<> {
      co_await forward(source, target);
      signal.notify();
    }(from, to, ended));
  };
  start_direction(client, engine_socket);
  start_direction(engine_socket, client);
  co_await ended.wait();
}

io::Task<> accept_connections(io::Loop& loop, io::Listener& listener, std::vector<io::Address> engines,
                              io::Scope& scope) {
  for (std::size_t connection = 0;; ++connection) {
    io::Socket client = co_await listener.accept();
    scope.spawn(relay_connection(loop, std::move(client), engines[connection % engines.size()]));
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Forwards bytes to engines in round-robin order; for measurements.", "cressrill-relay"};
  std::string listen;
  std::vector<std::string> engine_addresses;
  app.add_option("--listen", listen, "address and port")->required();
  app.add_option("--to", engine_addresses, "addresses of engines, used in turn")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  std::vector<io::Address> engines;
  for (const std::string& text : engine_addresses)
    if (const auto engine = io::parse_address(text)) engines.push_back(*engine);
  const auto listen_address = io::parse_address(listen);
  if (!listen_address || engines.size() != engine_addresses.size()) {
    std::cerr << "cressrill-relay: not an address and port\n";
    return kUsageError;
  }
  return run_guarded("cressrill-relay", [&] {
    io::Loop loop;
    io::Listener listener(loop, *listen_address);
    io::Scope scope(loop);
    scope.spawn(accept_connections(loop, listener, engines, scope));
    io::run_until_stop_signal(loop);
    return kSuccess;
  });
}
