// Idle clients that open connections and send nothing, in order to use up the descriptors that a router has
// for clients. A client whose connection is closed connects again after a random delay.
#pragma once

#include <functional>
#include <optional>
#include <random>

#include "io/socket.h"

namespace cressrill::rig::soak {

// The clients run from construction to destruction.
class IdleCrowd {
 public:
  // address: returns the address of the router, or none while it accepts no connections.
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
