// Searches HoldModel for an order of events that breaks the hold rule: breadth first up to a given depth, or
// by seeded random walks. A counterexample is minimized before it is returned.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hold_model.h"

namespace cressrill::rig::model {

// An order of events that breaks the rule.
struct Counterexample {
  ModelOptions options;
  std::vector<Event> events;
  std::string breach;
};

struct SearchResult {
  std::uint64_t states{};  // distinct states in a breadth-first search; steps taken in random walks
  int depth{};             // number of events up to which the search was complete; unused in random walks
  std::optional<Counterexample> counterexample;
};

// Tries all orders of up to `depth` events. Stops early after `max_states` states.
SearchResult search_breadth_first(const ModelOptions& options, int depth, std::uint64_t max_states);

// Takes random walks of `length` events, each with its own random options, until `steps` steps are taken.
SearchResult search_random_walks(std::uint64_t seed, std::uint64_t steps, int length);

// Removes events as long as the remaining ones still break the rule.
Counterexample minimized(Counterexample found);

// One line for each event, with the state after it.
std::string timeline(const Counterexample& found);

}  // namespace cressrill::rig::model
