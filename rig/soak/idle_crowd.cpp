#include "idle_crowd.h"

namespace cressrill::rig::soak {

namespace {
constexpr io::Nanos kConnectTimeout = io::kSecond;
constexpr int kMinReconnectDelayMs = 300;
constexpr int kMaxReconnectDelayMs = 2000;
}  // namespace

IdleCrowd::IdleCrowd(io::Loop& loop, std::uint64_t seed, int clients,
                     std::function<std::optional<io::Address>()> address)
    : loop_(loop), random_(seed), address_(std::move(address)), scope_(loop) {
  for (int i = 0; i < clients; ++i) scope_.spawn(idle_client());
}

io::Task<> IdleCrowd::idle_client() {
  for (;;) {
    co_await connect_once();
    std::uniform_int_distribution<int> reconnect_delay_ms(kMinReconnectDelayMs, kMaxReconnectDelayMs);
    co_await loop_.sleep_for(reconnect_delay_ms(random_) * io::kMs);
  }
}

io::Task<> IdleCrowd::connect_once() {
  const std::optional<io::Address> address = address_();
  if (!address) co_return;
  io::Socket socket;
  const auto connected =
      co_await io::with_deadline(loop_, loop_.now() + kConnectTimeout, io::connect(loop_, *address, socket));
  if (connected && connected->ok()) co_await socket.wait_for_peer_close();
}

}  // namespace cressrill::rig::soak
