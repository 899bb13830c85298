// Simple baseline policies that the router's own policy is compared with, for tests and measurements only.
// They keep deadlines and do not repeat effects, and do nothing more.
#pragma once

#include <string>

#include "policy.h"

namespace cressrill::rig {

// name: "random" picks any ready worker, "fewest" the one with the fewest attempts of this router in flight.
// Throws std::invalid_argument for another name.
std::unique_ptr<Policy> make_baseline(const std::string& name, const PolicySettings& settings,
                                      std::uint64_t seed, Actions& actions);

}  // namespace cressrill::rig
