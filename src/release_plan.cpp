#include "release_plan.h"

#include <algorithm>

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;
// Number of calls with the shortest delay between them.
constexpr int kCallsAtShortestDelay = 16;
// Number of further calls after which the delay doubles each time.
constexpr int kCallsPerDoubling = 4;
constexpr int kMaxDoublings = 5;

}  // namespace

const ReleaseCandidate& next_release_target(const std::vector<ReleaseCandidate>& candidates) {
  return *std::ranges::min_element(candidates, [](const ReleaseCandidate& a, const ReleaseCandidate& b) {
    if (a.calls_made != b.calls_made) return a.calls_made < b.calls_made;
    if (a.has_unresolved_attempt != b.has_unresolved_attempt) return a.has_unresolved_attempt;
    if (a.draining != b.draining) return b.draining;
    if (a.has_connection != b.has_connection) return a.has_connection;
    return a.last_response_at > b.last_response_at;
  });
}

Nanos delay_before_next_call(Nanos limit, int calls) {
  const Nanos shortest = std::max(limit / 40, 5 * kMs);
  const int doublings =
      calls < kCallsAtShortestDelay
          ? 0
          : std::min((calls - kCallsAtShortestDelay) / kCallsPerDoubling + 1, kMaxDoublings);
  return shortest << doublings;
}

Nanos release_call_timeout(Nanos limit) { return std::max(limit / 2, 300 * kMs); }

}  // namespace cressrill
