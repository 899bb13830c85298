#include "hold_rule.h"

#include <algorithm>

namespace cressrill::rig {

namespace {

using What = KvAction::Kind;

// Whether a release during the prefill freed what the prefill left.
bool released_during_prefill(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& marks,
                             const KvAction& held) {
  const auto release_arrived_since = [&](Nanos came) {
    return std::ranges::any_of(marks, [&](const KvAction& mark) {
      return mark.kind == What::released && mark.at >= came && mark.at < held.at;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return attempt.prefill && attempt.worker == held.worker && attempt.arrived_at <= held.at &&
           release_arrived_since(attempt.arrived_at);
  });
}

// Whether a decode attempt waits for the KV cache: it is at its worker and has taken nothing yet.
bool awaited_by_decode(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& marks,
                       Nanos at) {
  const auto has_taken = [&](const AttemptSpan& attempt) {
    return std::ranges::any_of(marks, [&](const KvAction& mark) {
      return mark.kind == What::taken && mark.worker == attempt.worker && mark.at >= attempt.arrived_at &&
             mark.at <= at;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return !attempt.prefill && attempt.arrived_at <= at && attempt.ended_at >= at && !has_taken(attempt);
  });
}

Nanos freed_at(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& marks,
               const KvAction& held, Nanos end) {
  for (const KvAction& mark : marks) {
    if (mark.at <= held.at || mark.kind == What::held) continue;
    if (mark.kind == What::taken || !awaited_by_decode(attempts, marks, mark.at)) return mark.at;
  }
  return end;
}

Nanos longest_unattended(const std::vector<AttemptSpan>& attempts, Nanos from, Nanos until) {
  Nanos longest = 0;
  Nanos begins = from;  // start of the current part without an attempt
  for (const AttemptSpan& attempt : attempts) {
    if (attempt.ended_at <= begins) continue;
    if (attempt.arrived_at >= until) break;
    longest = std::max(longest, attempt.arrived_at - begins);
    begins = std::min(attempt.ended_at, until);
  }
  return std::max(longest, until - begins);
}

}  // namespace

std::vector<HeldSpan> held_spans(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& marks,
                                 Nanos end) {
  std::vector<HeldSpan> out;
  for (const KvAction& mark : marks) {
    if (mark.kind != What::held || released_during_prefill(attempts, marks, mark)) continue;
    const Nanos until = freed_at(attempts, marks, mark, end);
    out.push_back({mark.at, until, longest_unattended(attempts, mark.at, until)});
  }
  return out;
}

}  // namespace cressrill::rig
