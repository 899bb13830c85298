// Chooses the worker that is called to release a request's KV cache, and the delay before another one is
// called as well. Any running worker frees all of it, wherever it is held; which workers run is judged by who
// answered last. Free of I/O and clocks.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct ReleaseCandidate {
  int worker{};
  Nanos last_heard{};             // when its latest answer arrived
  int calls_made{};               // calls to it for this release
  bool has_unresolved_attempt{};  // a lost attempt may not be over there; of a prefill, an answer proves it
  bool has_connection{};          // it answered recently, and an open connection to it can be reused
  bool draining{};                // it takes no new work, but releases like any other worker while it runs
};

// Returns the next worker to call: with the fewest calls so far; then one with an unresolved attempt; then
// one that is not draining; then one with a connection; then the one heard from last. The list must not be
// empty.
const ReleaseCandidate& next_release_target(const std::vector<ReleaseCandidate>& candidates);

// A kept connection may have fallen silent while its worker runs, so every second call uses a new one.
inline bool needs_new_connection(const ReleaseCandidate& candidate) { return candidate.calls_made % 2 == 1; }

// How long to wait for an answer before another worker is called as well. calls: made so far. The first calls
// follow each other closely, as the limit is near; while none is answered, they become rarer, for as long as
// something may be held.
Nanos delay_before_next_call(Nanos limit, int calls);

// How long to wait for the answer to a call before its connection is closed.
Nanos release_call_timeout(Nanos limit);

// How long a release is retried after it was requested. A worker that cannot be reached for this long has
// lost what it held.
constexpr Nanos kReleaseGiveUpAfter = 30'000'000'000;

}  // namespace cressrill
