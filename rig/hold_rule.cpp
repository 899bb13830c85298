#include "hold_rule.h"

#include <algorithm>

namespace cressrill::rig {

namespace {

using ActionKind = KvAction::Kind;

// Whether a release that arrived during the prefill freed the KV cache that the prefill left.
bool released_during_prefill(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& actions,
                             const KvAction& held) {
  const auto release_arrived_since = [&](Nanos attempt_arrived_at) {
    return std::ranges::any_of(actions, [&](const KvAction& action) {
      return action.kind == ActionKind::released && action.at >= attempt_arrived_at && action.at < held.at;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return attempt.prefill && attempt.worker == held.worker && attempt.arrived_at <= held.at &&
           release_arrived_since(attempt.arrived_at);
  });
}

// Whether a decode attempt waits for the KV cache at this time: it is at its worker and has not taken it yet.
bool awaited_by_decode(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& actions,
                       Nanos time) {
  const auto has_taken = [&](const AttemptSpan& attempt) {
    return std::ranges::any_of(actions, [&](const KvAction& action) {
      return action.kind == ActionKind::taken && action.worker == attempt.worker &&
             action.at >= attempt.arrived_at && action.at <= time;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return !attempt.prefill && attempt.arrived_at <= time && attempt.ended_at >= time && !has_taken(attempt);
  });
}

// When the KV cache was taken or released, or `end`.
Nanos freed_at(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& actions,
               const KvAction& held, Nanos end) {
  for (const KvAction& action : actions) {
    if (action.at <= held.at || action.kind == ActionKind::held) continue;
    if (action.kind == ActionKind::taken || !awaited_by_decode(attempts, actions, action.at))
      return action.at;
  }
  return end;
}

// The longest part from `from` until `until` without an attempt at a worker.
Nanos longest_unattended(const std::vector<AttemptSpan>& attempts, Nanos from, Nanos until) {
  Nanos longest = 0;
  Nanos gap_start = from;  // of the current part without an attempt
  for (const AttemptSpan& attempt : attempts) {
    if (attempt.ended_at <= gap_start) continue;
    if (attempt.arrived_at >= until) break;
    longest = std::max(longest, attempt.arrived_at - gap_start);
    gap_start = std::min(attempt.ended_at, until);
  }
  return std::max(longest, until - gap_start);
}

}  // namespace

std::vector<HeldSpan> held_spans(const std::vector<AttemptSpan>& attempts,
                                 const std::vector<KvAction>& actions, Nanos end) {
  std::vector<HeldSpan> out;
  for (const KvAction& action : actions) {
    if (action.kind != ActionKind::held || released_during_prefill(attempts, actions, action)) continue;
    const Nanos until = freed_at(attempts, actions, action, end);
    out.push_back({action.at, until, longest_unattended(attempts, action.at, until)});
  }
  return out;
}

}  // namespace cressrill::rig
