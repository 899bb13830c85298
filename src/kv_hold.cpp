#include "kv_hold.h"

#include <algorithm>
#include <utility>

#include "release_plan.h"

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// If a worker has reported that it holds KV cache, a release begins when this much of the limit is left:
// enough to call a second and a third worker should the first ones not answer.
constexpr Nanos release_lead(Nanos limit) { return limit / 4; }

// If it is not known whether anything is held, a release may void a running prefill, so it begins as late as
// the rule allows: 300 ms past the limit, less 150 ms for a delay of the process and 100 ms for some calls.
constexpr Nanos kUnconfirmedReleaseDelay = (300 - 150 - 100) * kMs;

constexpr Nanos kImmediately = 0;

// A further attempt usually follows at once and may take what is held, so no release call is made meanwhile.
constexpr Nanos further_attempt_wait(Nanos limit) { return limit / 40; }

// If the limit ends just after an answer, a release waits this long for a further attempt to connect and to
// be written.
constexpr Nanos kDelayAfterAnswer = 100 * kMs;

// Bytes may be in transit for this long on a working link. An earlier answer on another connection proves
// nothing about an attempt, as the link may have fallen silent since.
constexpr Nanos kMaxTransitTime = 200 * kMs;

// A worker no longer acts on an attempt that was lost this long ago.
constexpr Nanos kLostAttemptLifetime = kReleaseGiveUpAfter;

}  // namespace

const char* to_string(HoldState state) {
  static constexpr const char* names[] = {"none", "maybe_held", "held", "releasing", "released", "taken"};
  return names[static_cast<int>(state)];
}

const char* to_string(HoldEvent event) {
  static constexpr const char* names[] = {
      "prefill_written", "prefill_refused",   "prefill_done",    "prefill_failed",  "prefill_answered",
      "prefill_lost",    "decode_written",    "decode_not_run",  "decode_answered", "decode_lost",
      "decode_begun",    "cache_missing",     "release_wanted",  "request_over",    "request_gone",
      "release_asked",   "release_confirmed", "release_given_up"};
  return names[static_cast<int>(event)];
}

HoldState KvHold::state() const {
  if (needs_release() && release_.requested) return HoldState::releasing;
  if (needs_release() && evidence_.confirmed) return HoldState::held;
  if (taken_) return HoldState::taken;
  if (needs_release()) return HoldState::maybe_held;
  return release_.confirmed ? HoldState::released : HoldState::none;
}

bool KvHold::may_be_held() const {
  return evidence_.left || std::ranges::any_of(attempts_, &Attempt::prefill);
}

// Events of attempts.

bool KvHold::record_attempt(HoldEvent event, Nanos now, int attempt, WorkerRef worker,
                            Nanos assumed_run_time) {
  const bool of_prefill = event <= HoldEvent::prefill_lost;
  if (event == HoldEvent::prefill_written || event == HoldEvent::decode_written) {
    if (of_prefill && taken_) return false;
    attempt_written({.number = attempt, .worker = worker, .prefill = of_prefill, .written_at = now},
                    assumed_run_time);
    return true;
  }
  const auto ended =
      std::ranges::find_if(attempts_, [attempt](const Attempt& a) { return a.number == attempt && !a.lost; });
  if (ended == attempts_.end() || ended->prefill != of_prefill) return false;
  if (event == HoldEvent::prefill_lost || event == HoldEvent::decode_lost) {
    attempt_lost(*ended, now);
    return true;
  }
  if (event == HoldEvent::prefill_answered) {
    evidence_.since = std::min(evidence_.since, now);
    return true;
  }
  const Nanos attempt_written_at = ended->written_at;
  attempts_.erase(ended);
  return of_prefill ? prefill_ended(event, now) : decode_ended(event, now, attempt_written_at);
}

// Whether a prefill may already have left something that no release has freed.
bool KvHold::may_be_left() const {
  return evidence_.left ||
         std::ranges::any_of(attempts_, [](const Attempt& a) { return a.prefill && !a.covered; });
}

// The limit counts from when the first prefill is no longer assumed to be running. Later writes do not
// restart it.
void KvHold::attempt_written(const Attempt& attempt, Nanos assumed_run_time) {
  if (attempt.prefill) {
    if (!may_be_left()) evidence_ = {};
    evidence_.since = std::min(evidence_.since, attempt.written_at + assumed_run_time);
  }
  attempts_.push_back(attempt);
  // The attempt may be answered soon; a release is continued only when the limit is near.
  const bool was_wanted = std::exchange(release_.wanted_at, kNever) != kNever;
  if (was_wanted && !over_) release_.requested = false;
}

void KvHold::attempt_lost(Attempt& attempt, Nanos now) {
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
      prefill_left_kv(now);
      return true;
    case HoldEvent::prefill_failed:
      prefill_left_kv(now);
      return true;
    default:  // prefill_refused: it has left nothing
      if (!may_be_held()) release_.requested = false;
      return true;
  }
}

void KvHold::prefill_left_kv(Nanos now) {
  evidence_.left = true;
  evidence_.since = std::min(evidence_.since, now);
  attempt_answered(now);
  if (over_) release_.requested = true;
  if (taken_) release_.immediate = true;
}

// An attempt has ended at some time before now. Does not restart the limit, as the answer may have been in
// transit for long.
void KvHold::attempt_answered(Nanos now) {
  evidence_.last_answer_at = now;
  if (!over_) release_.requested = false;
}

bool KvHold::decode_ended(HoldEvent event, Nanos now, Nanos attempt_written_at) {
  switch (event) {
    case HoldEvent::decode_begun:
      kv_taken(attempt_written_at);
      return true;
    case HoldEvent::cache_missing:
      kv_freed(attempt_written_at);
      return true;
    case HoldEvent::decode_answered:
      if (may_be_held()) attempt_answered(now);
      return true;
    default:  // decode_not_run: the worker never had the complete request
      return true;
  }
}

// A decode attempt, written at that time, has taken what was held when its answer started. The request's
// other attempts remain: a prefill that is not over may leave KV cache that no attempt takes, and one that
// was answered after the decode attempt was written may have ended later.
void KvHold::kv_taken(Nanos attempt_written_at) {
  evidence_ = {.left = evidence_.last_answer_at > attempt_written_at,
               .since = std::max(evidence_.since, attempt_written_at),
               .last_answer_at = evidence_.last_answer_at};
  release_.requested = false;
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
      if (over_ && std::ranges::all_of(attempts_, &Attempt::lost)) return true;  // already recorded
      for (Attempt& attempt : attempts_)
        if (!attempt.lost) attempt_lost(attempt, now);
      request_ended(now);
      return true;
    case HoldEvent::release_asked:
      if (!needs_release()) return false;
      release_.requested = true;
      release_.immediate = false;
      return true;
    case HoldEvent::release_given_up:
      attempts_.clear();
      evidence_ = {};
      release_.requested = false;
      return true;
    default:
      return false;
  }
}

void KvHold::request_ended(Nanos now) {
  over_ = true;
  taken_ = false;
  // No prefill is assumed to be running for a request that needs none.
  evidence_.since = std::min(evidence_.since, now);
  release_.immediate = needs_release();
}

bool KvHold::release_confirmed(Nanos written_at) {
  const bool answered_since = evidence_.left && evidence_.last_answer_at > written_at;
  const bool decode_waits =
      std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill && !a.lost; });
  release_.confirmed = true;
  kv_freed(written_at);
  return !answered_since && !decode_waits && !taken_;
}

// Records that nothing held at that time is left: a release, or a decode attempt that found nothing, was
// written then. Attempts that were over by then have nothing left; those that were not may have waited for
// the KV cache, or may yet arrive.
void KvHold::kv_freed(Nanos written_at) {
  std::erase_if(attempts_, [written_at](const Attempt& a) {
    return a.lost && std::min(a.over_at, a.lost_at + kLostAttemptLifetime) <= written_at;
  });
  for (Attempt& attempt : attempts_) attempt.covered |= attempt.lost && attempt.lost_at <= written_at;
  release_.requested = release_.immediate = release_.prefill_lost = false;
  release_.wanted_at = kNever;
  evidence_.since = std::max(evidence_.since, written_at);
  // An attempt that was answered later may have ended later, and have left KV cache or waited for it.
  if (evidence_.last_answer_at > written_at) return;
  const bool may_have_waited = std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill; });
  evidence_.left &= may_have_waited;
  evidence_.confirmed = false;
}

// Evidence from other calls to the same worker.

// Applies to prefills only: a release voids one that is running, so only its request can still arrive. A
// decode attempt may wait at its worker while its own connection is silent, whatever passes on other
// connections.
void KvHold::worker_answered(const WorkerAnswer& answer) {
  for (Attempt& attempt : attempts_) {
    if (!attempt.prefill) continue;
    if (attempt.worker.identity != answer.identity) continue;
    if (!attempt.lost || answer.call_written_at < attempt.lost_at + kMaxTransitTime) continue;
    // Bytes lost on a link are retransmitted after at most as long as the link was silent, which was not
    // before the attempt was written.
    const Nanos silence = answer.answered_at - attempt.written_at;
    attempt.over_at = std::min(attempt.over_at, answer.answered_at + silence);
  }
}

void KvHold::worker_gone(std::uint64_t identity, Nanos now) {
  for (Attempt& attempt : attempts_)
    if (attempt.lost && attempt.worker.identity == identity) attempt.over_at = std::min(attempt.over_at, now);
}

// When a release is due.

Nanos KvHold::release_due() const {
  if (!needs_release()) return kNever;
  if (release_.requested || release_.immediate) return kImmediately;
  return std::min(latest_release_time(), wanted_release_time());
}

Nanos KvHold::latest_release_time() const {
  const Nanos end = evidence_.since + limit_;
  const Nanos due = evidence_.confirmed ? end - release_lead(limit_) : end + kUnconfirmedReleaseDelay;
  return std::max(due, evidence_.last_answer_at + kDelayAfterAnswer);
}

Nanos KvHold::wanted_release_time() const {
  if (!release_wanted()) return kNever;
  return release_precedes_prefill() ? release_.wanted_at : release_.wanted_at + further_attempt_wait(limit_);
}

}  // namespace cressrill
