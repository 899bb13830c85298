// Chooses the worker that is called to release a request's KV cache, and the delay before another one is
// called as well. Any running worker can free all of a request's KV cache, wherever it is held, and the
// worker that responded last is the most likely to be running. Free of I/O and clocks.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct ReleaseCandidate {
  int worker{};
  Nanos last_response_at{};       // when its latest response arrived
  int calls_made{};               // calls to it for this release
  bool has_unresolved_attempt{};  // a lost attempt may still run there; a response proves a lost prefill over
  bool has_connection{};          // it responded recently, and an open connection to it can be reused
  bool draining{};                // it takes no new work, but releases KV cache while it runs
};

// Returns the next worker to call: the one with the fewest calls so far. Ties are broken in favour of a
// worker with an unresolved attempt, one that is not draining, one with a connection, and the one that
// responded last, in this order. The list must not be empty.
const ReleaseCandidate& next_release_target(const std::vector<ReleaseCandidate>& candidates);

// An open connection may have fallen silent while its worker runs, so every second call to a worker uses a
// new one.
inline bool needs_new_connection(const ReleaseCandidate& candidate) { return candidate.calls_made % 2 == 1; }

// How long to wait for a response before another worker is called as well. limit: on holding KV cache.
// calls: made so far. The first calls follow each other closely, as the limit is near; later ones are made
// less often, for as long as something may be held.
Nanos delay_before_next_call(Nanos limit, int calls);

// How long to wait for the response to a call before its connection is closed.
Nanos release_call_timeout(Nanos limit);

// How long a release is retried after it was requested. A worker that cannot be reached for this long is
// assumed to have lost what it held.
constexpr Nanos kReleaseGiveUpAfter = 30'000'000'000;

}  // namespace cressrill
