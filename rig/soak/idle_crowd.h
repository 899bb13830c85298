// Clients that open connections and send nothing, so many that a router's descriptors for clients are taken. Those that it
// closes come back a little later.
#pragma once

#include <functional>
#include <optional>
#include <random>

#include "io/socket.h"

namespace cressrill::rig::soak {

class IdleCrowd {
 public:
  // address: of the router that they fill; none while it takes no connections.
  IdleCrowd(io::Loop& loop, std::uint64_t seed, int clients,
            std::function<std::optional<io::Address>()> address);

 private:
  io::Task<> idle_client();
  io::Task<> connect_once();

  io::Loop& loop_;
  std::mt19937_64 random_;
  std::function<std::optional<io::Address>()> address_;
  io::Scope scope_;
};

}  // namespace cressrill::rig::soak
