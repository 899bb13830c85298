// Judges a soak from what its clients, workers and conductor recorded, apart from what the routers say of themselves: one
// line for each breach of a rule. Times are of the machine's monotonic clock, which all processes share.
#pragma once

#include <string>
#include <vector>

#include "rig/record.h"

namespace cressrill::rig::soak {

struct CheckerLimits {
  io::Nanos drain_grace = 500 * io::kMs;
  io::Nanos held_for = 1000 * io::kMs;
  io::Nanos window = 1500 * io::kMs;  // of keyed requests
};

struct Judgement {
  std::vector<std::string> breaches;
  std::size_t requests{};
  std::size_t served{};
  std::size_t refused{};
  std::size_t failed{};
  std::size_t left{};
  std::size_t excused{};  // their router was killed
};

Judgement check(std::vector<Recorder::Line> lines, const CheckerLimits& limits);

}  // namespace cressrill::rig::soak
