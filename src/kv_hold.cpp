#include "kv_hold.h"

#include <algorithm>
#include <utility>

#include "release_plan.h"

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// Where a worker said that it holds something, a release begins when so much of the limit is left: a second worker can be
// told, and a third, should the first ones be silent.
constexpr Nanos release_lead(Nanos limit) { return limit / 4; }

// Where it is not known whether anything is held, a release may cost a prefill that is under way, and begins as late as the
// rule allows: 300 ms past the limit, less 150 ms for which the process may be held up, and 100 ms for some calls.
constexpr Nanos kUnconfirmedDelay = (300 - 150 - 100) * kMs;

constexpr Nanos kAtOnce = 0;

// A further attempt mostly leaves at once, and may take what is held: no call is made beside it.
constexpr Nanos further_attempt_wait(Nanos limit) { return limit / 40; }

// And so long is an attempt waited for that follows an answer, should the limit end meanwhile: for a connection and a write.
constexpr Nanos kAfterAnswer = 100 * kMs;

// Bytes may be under way for so long on a link that passes: what is answered sooner on another connection proves nothing, as the
// link may have fallen silent since.
constexpr Nanos kInTransit = 200 * kMs;

// What a worker has not done with an attempt that was lost so long ago, it will not do.
constexpr Nanos kLostFor = kReleaseGiveUpAfter;

}  // namespace

const char* to_string(HoldState state) {
  static constexpr const char* words[] = {"none", "maybe_held", "held", "releasing", "released", "taken"};
  return words[static_cast<int>(state)];
}

const char* to_string(HoldEvent event) {
  static constexpr const char* words[] = {
      "prefill_written", "prefill_refused",   "prefill_done",    "prefill_failed",  "prefill_answered",
      "prefill_lost",    "decode_written",    "decode_not_run",  "decode_answered", "decode_lost",
      "decode_begun",    "cache_missing",     "release_wanted",  "request_over",    "request_gone",
      "release_asked",   "release_confirmed", "release_given_up"};
  return words[static_cast<int>(event)];
}

HoldState KvHold::state() const {
  if (needs_release() && release_.asked) return HoldState::releasing;
  if (needs_release() && evidence_.confirmed) return HoldState::held;
  if (taken_) return HoldState::taken;
  if (needs_release()) return HoldState::maybe_held;
  return release_.confirmed ? HoldState::released : HoldState::none;
}

bool KvHold::may_be_held() const {
  return evidence_.left || std::ranges::any_of(attempts_, &Attempt::prefill);
}

// Events of attempts.

bool KvHold::record_attempt(HoldEvent event, Nanos now, int attempt, WorkerRef worker, Nanos runs_for) {
  const bool of_prefill = event <= HoldEvent::prefill_lost;
  if (event == HoldEvent::prefill_written || event == HoldEvent::decode_written) {
    if (of_prefill && taken_) return false;
    written({.number = attempt, .worker = worker, .prefill = of_prefill, .written = now}, runs_for);
    return true;
  }
  const auto ended =
      std::ranges::find_if(attempts_, [attempt](const Attempt& a) { return a.number == attempt && !a.lost; });
  if (ended == attempts_.end() || ended->prefill != of_prefill) return false;
  if (event == HoldEvent::prefill_lost || event == HoldEvent::decode_lost) {
    lost(*ended, now);
    return true;
  }
  if (event == HoldEvent::prefill_answered) {
    evidence_.since = std::min(evidence_.since, now);
    return true;
  }
  const Nanos attempt_written = ended->written;
  attempts_.erase(ended);
  return of_prefill ? prefill_ended(event, now) : decode_ended(event, now, attempt_written);
}

// Whether a prefill may have left something already that no release has freed.
bool KvHold::may_be_left() const {
  return evidence_.left ||
         std::ranges::any_of(attempts_, [](const Attempt& a) { return a.prefill && !a.covered; });
}

// The limit counts from the moment at which the first prefill is no longer taken as running. Later writes start nothing anew.
void KvHold::written(const Attempt& attempt, Nanos runs_for) {
  if (attempt.prefill) {
    if (!may_be_left()) evidence_ = {};
    evidence_.since = std::min(evidence_.since, attempt.written + runs_for);
  }
  attempts_.push_back(attempt);
  // It may bring an answer soon; a release goes on only where the limit is near.
  const bool was_wanted = std::exchange(release_.wanted_at, kNever) != kNever;
  if (was_wanted && !over_) release_.asked = false;
}

void KvHold::lost(Attempt& attempt, Nanos now) {
  attempt.lost = true;
  attempt.lost_at = now;
  evidence_.since = std::min(evidence_.since, now);
  if (attempt.prefill && !taken_) release_.prefill_lost = true;
}

bool KvHold::prefill_ended(HoldEvent event, Nanos now) {
  switch (event) {
    case HoldEvent::prefill_done:
      evidence_.confirmed = true;
      release_.prefill_lost = false;
      prefill_left(now);
      return true;
    case HoldEvent::prefill_failed:
      prefill_left(now);
      return true;
    default:  // refused: it has left nothing
      if (!may_be_held()) release_.asked = false;
      return true;
  }
}

void KvHold::prefill_left(Nanos now) {
  evidence_.left = true;
  evidence_.since = std::min(evidence_.since, now);
  answered(now);
  if (over_) release_.asked = true;
  if (taken_) release_.at_once = true;
}

// An attempt has ended at some time before now: the limit is not moved, as its answer may have been under way for long.
void KvHold::answered(Nanos now) {
  evidence_.heard = now;
  if (!over_) release_.asked = false;
}

bool KvHold::decode_ended(HoldEvent event, Nanos now, Nanos attempt_written) {
  switch (event) {
    case HoldEvent::decode_begun:
      taken(attempt_written);
      return true;
    case HoldEvent::cache_missing:
      freed(attempt_written);
      return true;
    case HoldEvent::decode_answered:
      if (may_be_held()) answered(now);
      return true;
    default:  // it never left whole
      return true;
  }
}

// By a decode attempt that was written then, and has taken what was held as its answer began. The request's other attempts go on:
// a prefill that is not over may leave something that nobody takes, and one whose answer came meanwhile may have ended later.
void KvHold::taken(Nanos attempt_written) {
  evidence_ = {.left = evidence_.heard > attempt_written,
               .since = std::max(evidence_.since, attempt_written),
               .heard = evidence_.heard};
  release_.asked = false;
  release_.wanted_at = kNever;
  taken_ = !over_;
}

// Events of the request and of its release.

bool KvHold::record(HoldEvent event, Nanos now) {
  switch (event) {
    case HoldEvent::release_wanted:
      if (needs_release() && !over_) release_.wanted_at = now;
      return true;
    case HoldEvent::request_over:
      request_ended(now);
      return true;
    case HoldEvent::request_gone:
      if (over_ && std::ranges::all_of(attempts_, &Attempt::lost)) return true;  // nothing new
      for (Attempt& attempt : attempts_)
        if (!attempt.lost) lost(attempt, now);
      request_ended(now);
      return true;
    case HoldEvent::release_asked:
      if (!needs_release()) return false;
      release_.asked = true;
      release_.at_once = false;
      return true;
    case HoldEvent::release_given_up:
      attempts_.clear();
      evidence_ = {};
      release_.asked = false;
      return true;
    default:
      return false;
  }
}

void KvHold::request_ended(Nanos now) {
  over_ = true;
  taken_ = false;
  // No prefill is taken as running for a request that needs none.
  evidence_.since = std::min(evidence_.since, now);
  release_.at_once = needs_release();
}

bool KvHold::release_confirmed(Nanos written) {
  const bool newer = evidence_.left && evidence_.heard > written;
  const bool awaited = std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill && !a.lost; });
  release_.confirmed = true;
  freed(written);
  return !newer && !awaited && !taken_;
}

// By a release that was written then, or before an attempt that was written then and found nothing. Nothing is left of attempts
// that were over by then; those that were not may have waited for it, or arrive yet.
void KvHold::freed(Nanos written) {
  std::erase_if(attempts_, [written](const Attempt& a) {
    return a.lost && std::min(a.over_from, a.lost_at + kLostFor) <= written;
  });
  for (Attempt& attempt : attempts_) attempt.covered |= attempt.lost && attempt.lost_at <= written;
  release_.asked = release_.at_once = release_.prefill_lost = false;
  release_.wanted_at = kNever;
  evidence_.since = std::max(evidence_.since, written);
  if (evidence_.heard > written)
    return;  // what an attempt left, or waited for, that may have ended since then
  const bool may_have_waited = std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill; });
  evidence_.left &= may_have_waited;
  evidence_.confirmed = false;
}

// Evidence by other calls to the same worker.

// Of prefills alone: a release voids one that is under way, so that only its request may still arrive. A decode attempt may wait
// at its worker while its own connection is silent, whatever passes on others.
void KvHold::worker_answered(const WorkerAnswer& answer) {
  for (Attempt& attempt : attempts_) {
    if (!attempt.prefill) continue;
    if (attempt.worker.identity != answer.identity) continue;
    if (!attempt.lost || answer.call_written_at < attempt.lost_at + kInTransit) continue;
    // Bytes that a link has lost are sent again after as long as it was silent at the most: not before the attempt's write.
    const Nanos silent = answer.answered_at - attempt.written;
    attempt.over_from = std::min(attempt.over_from, answer.answered_at + silent);
  }
}

void KvHold::worker_gone(std::uint64_t identity, Nanos now) {
  for (Attempt& attempt : attempts_)
    if (attempt.lost && attempt.worker.identity == identity)
      attempt.over_from = std::min(attempt.over_from, now);
}

// When a release is due.

Nanos KvHold::release_due() const {
  if (!needs_release()) return kNever;
  if (release_.asked || release_.at_once) return kAtOnce;
  return std::min(last_moment(), wanted_moment());
}

Nanos KvHold::last_moment() const {
  const Nanos end = evidence_.since + limit_;
  const Nanos due = evidence_.confirmed ? end - release_lead(limit_) : end + kUnconfirmedDelay;
  return std::max(due, evidence_.heard + kAfterAnswer);
}

Nanos KvHold::wanted_moment() const {
  if (!release_wanted()) return kNever;
  return release_precedes_prefill() ? release_.wanted_at : release_.wanted_at + further_attempt_wait(limit_);
}

}  // namespace cressrill
