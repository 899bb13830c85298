// Baselines beside the project's own decisions, for rigs only: they keep no more than the plainest care.
#pragma once

#include <string>

#include "policy.h"

namespace cressrill::rig {

// random: any ready worker; fewest: the one with the fewest of this router's own sequences in flight.
std::unique_ptr<Policy> make_baseline(const std::string& name, const PolicySettings& deployment,
                                      std::uint64_t seed, Actions& actions);

}  // namespace cressrill::rig
