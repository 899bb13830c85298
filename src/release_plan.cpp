#include "release_plan.h"

#include <algorithm>

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr int kCloseCalls = 16;  // that follow each other closely,
constexpr int kDoubled = 4;      // then the pause doubles after so many,
constexpr int kMostDoubled = 5;  // so many times at the most

}  // namespace

const ReleaseCandidate& next_to_tell(const std::vector<ReleaseCandidate>& candidates) {
  return *std::ranges::min_element(candidates, [](const ReleaseCandidate& a, const ReleaseCandidate& b) {
    if (a.told != b.told) return a.told < b.told;
    if (a.awaited != b.awaited) return a.awaited;
    if (a.drains != b.drains) return b.drains;
    if (a.connected != b.connected) return a.connected;
    return a.heard > b.heard;
  });
}

Nanos pause_before_next_call(Nanos limit, int calls) {
  const Nanos step = std::max(limit / 40, 5 * kMs);
  const int doubled = calls < kCloseCalls ? 0 : std::min((calls - kCloseCalls) / kDoubled + 1, kMostDoubled);
  return step << doubled;
}

Nanos release_call_timeout(Nanos limit) { return std::max(limit / 2, 300 * kMs); }

}  // namespace cressrill
