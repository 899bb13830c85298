#include "hold_rule.h"

#include <algorithm>

namespace cressrill::rig {

namespace {

using What = HoldMark::What;

// Whether a release during the prefill freed what the prefill left.
bool released_during_prefill(const std::vector<AttemptSpan>& attempts, const std::vector<HoldMark>& marks,
                             const HoldMark& held) {
  const auto release_arrived_since = [&](Nanos came) {
    return std::ranges::any_of(marks, [&](const HoldMark& mark) {
      return mark.what == What::released && mark.at >= came && mark.at < held.at;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return attempt.prefill && attempt.worker == held.worker && attempt.came <= held.at &&
           release_arrived_since(attempt.came);
  });
}

// Whether a decode attempt waits for the KV cache: it is at its worker and has taken nothing yet.
bool awaited_by_decode(const std::vector<AttemptSpan>& attempts, const std::vector<HoldMark>& marks,
                       Nanos at) {
  const auto has_taken = [&](const AttemptSpan& attempt) {
    return std::ranges::any_of(marks, [&](const HoldMark& mark) {
      return mark.what == What::taken && mark.worker == attempt.worker && mark.at >= attempt.came &&
             mark.at <= at;
    });
  };
  return std::ranges::any_of(attempts, [&](const AttemptSpan& attempt) {
    return !attempt.prefill && attempt.came <= at && attempt.ended >= at && !has_taken(attempt);
  });
}

Nanos freed_at(const std::vector<AttemptSpan>& attempts, const std::vector<HoldMark>& marks,
               const HoldMark& held, Nanos end) {
  for (const HoldMark& mark : marks) {
    if (mark.at <= held.at || mark.what == What::held) continue;
    if (mark.what == What::taken || !awaited_by_decode(attempts, marks, mark.at)) return mark.at;
  }
  return end;
}

Nanos longest_unattended(const std::vector<AttemptSpan>& attempts, Nanos from, Nanos until) {
  Nanos longest = 0;
  Nanos begins = from;  // start of the current part without an attempt
  for (const AttemptSpan& attempt : attempts) {
    if (attempt.ended <= begins) continue;
    if (attempt.came >= until) break;
    longest = std::max(longest, attempt.came - begins);
    begins = std::min(attempt.ended, until);
  }
  return std::max(longest, until - begins);
}

}  // namespace

std::vector<HeldSpan> held_spans(const std::vector<AttemptSpan>& attempts, const std::vector<HoldMark>& marks,
                                 Nanos end) {
  std::vector<HeldSpan> out;
  for (const HoldMark& mark : marks) {
    if (mark.what != What::held || released_during_prefill(attempts, marks, mark)) continue;
    const Nanos until = freed_at(attempts, marks, mark, end);
    out.push_back({mark.at, until, longest_unattended(attempts, mark.at, until)});
  }
  return out;
}

}  // namespace cressrill::rig
