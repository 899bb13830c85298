#include "kv_hold.h"

#include <algorithm>
#include <utility>

#include "release_plan.h"

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// If a worker has reported that it holds KV cache, a release begins when this much of the limit remains:
// enough to call a second and a third worker if the first ones do not respond.
constexpr Nanos release_lead(Nanos limit) { return limit / 4; }

// If it is not known whether anything is held, a release may void a running prefill, so it begins as late as
// the check of rule 5 tolerates (kHoldLimitSlack in router/kv_releaser.cpp): 300 ms past the limit, less 150
// ms for a delay of the process and 100 ms for a few calls.
constexpr Nanos kUnconfirmedReleaseDelay = (300 - 150 - 100) * kMs;

constexpr Nanos kImmediately = 0;

// How long a release that is wanted waits for a further attempt, which usually follows at once and may take
// what is held.
constexpr Nanos further_attempt_wait(Nanos limit) { return limit / 40; }

// If the limit ends just after a response, a release waits this long for a further attempt to connect and
// to be written.
constexpr Nanos kDelayAfterResponse = 100 * kMs;

// Bytes may be in transit for this long on a working link. A response to a call that was made earlier on
// another connection proves nothing about an attempt, as the link may have fallen silent since.
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
  if (needs_release() && evidence_.held_reported) return HoldState::held;
  if (taken_) return HoldState::taken;
  if (needs_release()) return HoldState::maybe_held;
  return release_.ever_confirmed ? HoldState::released : HoldState::none;
}

bool KvHold::may_be_held() const {
  return evidence_.may_be_left || std::ranges::any_of(attempts_, &Attempt::prefill);
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
    evidence_.earliest_left_at = std::min(evidence_.earliest_left_at, now);
    return true;
  }
  const Nanos attempt_written_at = ended->written_at;
  attempts_.erase(ended);
  return of_prefill ? prefill_ended(event, now) : decode_ended(event, now, attempt_written_at);
}

// Whether a prefill may have left something that no release has freed.
bool KvHold::may_have_left_kv() const {
  return evidence_.may_be_left ||
         std::ranges::any_of(attempts_, [](const Attempt& a) { return a.prefill && !a.released_since_lost; });
}

// The limit counts from the earliest time at which a prefill is no longer assumed to be running. A later
// write restarts it only if nothing may have been left by then.
void KvHold::attempt_written(const Attempt& attempt, Nanos assumed_run_time) {
  if (attempt.prefill) {
    if (!may_have_left_kv()) evidence_ = {};
    evidence_.earliest_left_at = std::min(evidence_.earliest_left_at, attempt.written_at + assumed_run_time);
  }
  attempts_.push_back(attempt);
  // The attempt may soon take what is held, so a release that is under way is not continued until the limit
  // is near.
  const bool was_wanted = std::exchange(release_.wanted_at, kNever) != kNever;
  if (was_wanted && !request_over_) release_.requested = false;
}

void KvHold::attempt_lost(Attempt& attempt, Nanos now) {
  attempt.lost = true;
  attempt.lost_at = now;
  evidence_.earliest_left_at = std::min(evidence_.earliest_left_at, now);
  if (attempt.prefill && !taken_) release_.prefill_lost = true;
}

bool KvHold::prefill_ended(HoldEvent event, Nanos now) {
  switch (event) {
    case HoldEvent::prefill_done:
      evidence_.held_reported = true;
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
  evidence_.may_be_left = true;
  evidence_.earliest_left_at = std::min(evidence_.earliest_left_at, now);
  response_arrived(now);
  if (request_over_) release_.requested = true;
  if (taken_) release_.immediate = true;
}

// Records the response of an attempt, which ended at some time before now. Does not restart the limit, as the
// response may have been in transit for long.
void KvHold::response_arrived(Nanos now) {
  evidence_.last_response_at = now;
  if (!request_over_) release_.requested = false;
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
      if (may_be_held()) response_arrived(now);
      return true;
    default:  // decode_not_run: the worker never had the complete request
      return true;
  }
}

// Records that a decode attempt, written at that time, has taken what was held when its stream started. The
// request's other attempts remain: a prefill that is not over may leave KV cache that no attempt takes, and a
// prefill whose response arrived after the decode attempt was written may have ended later than that.
void KvHold::kv_taken(Nanos attempt_written_at) {
  evidence_ = {.may_be_left = evidence_.last_response_at > attempt_written_at,
               .earliest_left_at = std::max(evidence_.earliest_left_at, attempt_written_at),
               .last_response_at = evidence_.last_response_at};
  release_.requested = false;
  release_.wanted_at = kNever;
  taken_ = !request_over_;
}

// Events of the request and of its release.

bool KvHold::record(HoldEvent event, Nanos now) {
  switch (event) {
    case HoldEvent::release_wanted:
      if (needs_release() && !request_over_) release_.wanted_at = now;
      return true;
    case HoldEvent::request_over:
      request_ended(now);
      return true;
    case HoldEvent::request_gone:
      if (request_over_ && std::ranges::all_of(attempts_, &Attempt::lost)) return true;  // already recorded
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
  request_over_ = true;
  taken_ = false;
  // No prefill is assumed to be running for a request that needs none.
  evidence_.earliest_left_at = std::min(evidence_.earliest_left_at, now);
  release_.immediate = needs_release();
}

bool KvHold::release_confirmed(Nanos written_at) {
  const bool responded_since = evidence_.may_be_left && evidence_.last_response_at > written_at;
  const bool decode_waits =
      std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill && !a.lost; });
  release_.ever_confirmed = true;
  kv_freed(written_at);
  return !responded_since && !decode_waits && !taken_;
}

// written_at: when a confirmed release, or a decode attempt that found no KV cache, was written. What was
// held then is gone. Attempts that were over by then hold nothing; others may have waited for the KV cache
// then, or may still arrive.
void KvHold::kv_freed(Nanos written_at) {
  std::erase_if(attempts_, [written_at](const Attempt& a) {
    return a.lost && std::min(a.over_at, a.lost_at + kLostAttemptLifetime) <= written_at;
  });
  for (Attempt& attempt : attempts_)
    attempt.released_since_lost |= attempt.lost && attempt.lost_at <= written_at;
  release_.requested = false;
  release_.immediate = false;
  release_.prefill_lost = false;
  release_.wanted_at = kNever;
  evidence_.earliest_left_at = std::max(evidence_.earliest_left_at, written_at);
  // An attempt whose response arrived later may have ended later, and have left KV cache or waited for it.
  if (evidence_.last_response_at > written_at) return;
  const bool may_have_waited = std::ranges::any_of(attempts_, [](const Attempt& a) { return !a.prefill; });
  evidence_.may_be_left &= may_have_waited;
  evidence_.held_reported = false;
}

// Evidence from other calls to the same worker.

// Applies to prefills only: a confirmed release has voided a prefill that was running, so the one remaining
// risk is that its request arrives later. A decode attempt may wait at its worker while its own connection is
// silent, whatever other connections carry.
void KvHold::worker_responded(const WorkerResponse& response) {
  for (Attempt& attempt : attempts_) {
    if (!attempt.prefill) continue;
    if (attempt.worker.identity != response.identity) continue;
    if (!attempt.lost || response.call_written_at < attempt.lost_at + kMaxTransitTime) continue;
    // Lost bytes are retransmitted after at most as long as the link was silent, and the silence did not
    // begin before the attempt was written.
    const Nanos longest_silence = response.arrived_at - attempt.written_at;
    attempt.over_at = std::min(attempt.over_at, response.arrived_at + longest_silence);
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
  const Nanos limit_end = evidence_.earliest_left_at + limit_;
  const Nanos due =
      evidence_.held_reported ? limit_end - release_lead(limit_) : limit_end + kUnconfirmedReleaseDelay;
  return std::max(due, evidence_.last_response_at + kDelayAfterResponse);
}

Nanos KvHold::wanted_release_time() const {
  if (!release_wanted()) return kNever;
  return must_release_before_prefill() ? release_.wanted_at
                                       : release_.wanted_at + further_attempt_wait(limit_);
}

}  // namespace cressrill
