// Checks the records of a soak's clients, workers and conductor against the routing rules, without relying on
// what the routers report about themselves. Times are of the machine's monotonic clock, which all processes
// share.
#pragma once

#include <string>
#include <vector>

#include "rig/record.h"

namespace cressrill::rig::soak {

struct CheckerLimits {
  io::Nanos drain_grace = 500 * io::kMs;  // for which a draining worker may still get requests
  io::Nanos held_for = 1000 * io::kMs;    // how long KV cache may be held while no attempt is at a worker
  io::Nanos window = 1500 * io::kMs;      // in which a request with an idempotency key may be repeated
};

struct CheckResult {
  std::vector<std::string> breaches;  // one line each
  std::size_t requests{};
  std::size_t served{};
  std::size_t refused{};
  std::size_t failed{};
  std::size_t left{};     // their client left before the answer
  std::size_t excused{};  // unanswered because their router was killed
};

// Sorts the lines by time. A record without a required field throws nlohmann::json::exception.
CheckResult check(std::vector<Recorder::Line> lines, const CheckerLimits& limits);

}  // namespace cressrill::rig::soak
