// Whom to tell that a request's KV cache is to be released, and how soon the next one is told beside those that have not
// answered. Any running worker frees all of it, wherever it lies; which ones run is known from who was heard of last.
// Free of I/O and clocks.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct ReleaseCandidate {
  int worker{};
  Nanos last_heard{};  // when an answer of it came last
  int calls_made{};    // how often it was told of this release
  bool
      has_unresolved_attempt{};  // a lost attempt is not known to be over there: of a prefill its answer is proof
  bool has_connection{};         // it was heard lately, and a connection that is kept to it can be used
  bool draining{};               // it takes no new work, but releases as well as any other while it runs
};

// The next one to tell: those told least first, among them those whose answer is awaited, then those that do not drain, then
// those that cost no connection, then the one that was heard of last. Not of an empty list.
const ReleaseCandidate& next_release_target(const std::vector<ReleaseCandidate>& candidates);

// A connection that was kept may have fallen silent while its worker runs: each second call uses a new one.
inline bool needs_new_connection(const ReleaseCandidate& candidate) { return candidate.calls_made % 2 == 1; }

// How long to wait for an answer before another is told as well. calls: that were made so far. The first ones follow each
// other closely, as the limit is near; where none has answered, few are made, for as long as something may be held.
Nanos delay_before_next_call(Nanos limit, int calls);

// How long a call is waited for before its connection is given up.
Nanos release_call_timeout(Nanos limit);

// How long after it was asked a release is tried for: a worker that cannot be reached for so long has lost what it held.
constexpr Nanos kReleaseGiveUpAfter = 30'000'000'000;

}  // namespace cressrill
