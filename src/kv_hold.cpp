#include "kv_hold.h"

#include <algorithm>
#include <utility>

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// Where a worker said that it holds something, a release begins when so much of the limit is left: a second worker can be
// told, and a third, should the first ones be silent.
constexpr Nanos release_lead(Nanos limit) { return limit / 4; }

// Where it is not known whether anything is held, a release may cost a prefill that is under way, and begins as late as the
// rule allows: 300 ms past the limit, less 150 ms for which the process may be held up, and 100 ms for some calls.
constexpr Nanos kUnconfirmedDelay = (300 - 150 - 100) * kMs;

// The end of a connection and a release go to two workers: where the release comes first, it frees nothing that the attempt
// on that connection still waits for.
constexpr Nanos kEndMayLag = 50 * kMs;

// A further attempt mostly leaves at once, and its worker's answer starts the limit anew: no call is made beside it.
constexpr Nanos further_attempt_wait(Nanos limit) { return limit / 40; }

}  // namespace

const char* word(HoldState state) {
  static constexpr const char* words[] = {"none", "maybe_held", "held", "releasing", "released", "taken"};
  return words[static_cast<int>(state)];
}

const char* word(HoldEvent event) {
  static constexpr const char* words[] = {
      "prefill_written", "prefill_refused", "prefill_done",    "prefill_failed", "prefill_lost",
      "decode_written",  "decode_not_run",  "decode_answered", "decode_lost",    "decode_begun",
      "cache_missing",   "release_wanted",  "request_over",    "release_asked",  "release_confirmed"};
  return words[static_cast<int>(event)];
}

bool KvHold::note(HoldEvent event, Nanos now, Nanos at) {
  switch (event) {
    case HoldEvent::prefill_written:
    case HoldEvent::prefill_refused:
    case HoldEvent::prefill_done:
    case HoldEvent::prefill_failed:
    case HoldEvent::prefill_lost:
      return prefill_event(event, now, at);
    case HoldEvent::decode_written:
    case HoldEvent::decode_not_run:
    case HoldEvent::decode_answered:
    case HoldEvent::decode_lost:
    case HoldEvent::decode_begun:
    case HoldEvent::cache_missing:
      return decode_event(event, now);
    case HoldEvent::release_wanted:
    case HoldEvent::request_over:
    case HoldEvent::release_asked:
    case HoldEvent::release_confirmed:
      return release_event(event, now);
  }
  return false;
}

Nanos KvHold::release_due() const {
  if (state_ == HoldState::releasing) return since_;
  if (!owed()) return kNever;
  if (release_at_once_) return since_;
  return std::min(last_moment(), wanted_moment());
}

Nanos KvHold::last_moment() const {
  if (confirmed_) return since_ + limit_ - release_lead(limit_);
  // A prefill that is expected to take long waits in a jam: it is as good as out until it is given up.
  const bool merely_slow = !ended_ && expected_ > limit_ / 2;
  return merely_slow ? kNever : since_ + limit_ + kUnconfirmedDelay;
}

Nanos KvHold::wanted_moment() const {
  if (wanted_at_ == kNever) return kNever;
  return release_comes_first() ? wanted_at_ : wanted_at_ + further_attempt_wait(limit_);
}

// An attempt was out at a running worker until now: what is held may be held for the whole limit from here.
void KvHold::restart(Nanos now) {
  since_ = now;
  ended_ = true;
  if (state_ == HoldState::releasing && !over_) state_ = confirmed_ ? HoldState::held : HoldState::maybe_held;
}

// It may bring an answer soon; a release goes on only where the limit is near.
void KvHold::attempt_written() {
  if (std::exchange(wanted_at_, kNever) == kNever) return;
  if (state_ == HoldState::releasing && !over_) state_ = confirmed_ ? HoldState::held : HoldState::maybe_held;
}

// What was held is gone, and with it what a prefill leaves that is under way. One that had not arrived may arrive yet; while
// the request goes on, a further attempt's answer tells more than another release would.
void KvHold::cleared(Nanos now) {
  confirmed_ = lost_ = false;
  ended_ = true;
  wanted_at_ = kNever;
  since_ = now;
  const bool may_come = (over_ && (prefills_out_ > 0 || now < lost_until_)) || now < decode_lost_until_;
  state_ = may_come ? HoldState::maybe_held : HoldState::released;
}

bool KvHold::prefill_event(HoldEvent event, Nanos now, Nanos at) {
  if (event == HoldEvent::prefill_written) {
    if (state_ == HoldState::taken) return false;
    ++prefills_out_;
    attempt_written();
    if (!owed()) {
      state_ = HoldState::maybe_held;
      ended_ = false;
      expected_ = at - now;
      since_ = at;
    }
    return true;
  }
  if (prefills_out_ == 0) return false;
  --prefills_out_;
  if (state_ == HoldState::taken) {  // one of two that ran side by side
    if (event == HoldEvent::prefill_lost) lost_until_ = std::max(lost_until_, at);
    return true;
  }
  switch (event) {
    case HoldEvent::prefill_refused:
      if (state_ == HoldState::maybe_held && prefills_out_ == 0 && now >= lost_until_ && !confirmed_)
        state_ = HoldState::none;
      return true;
    case HoldEvent::prefill_done:
      confirmed_ = ended_ = true;
      lost_ = false;
      state_ = over_ ? HoldState::releasing : HoldState::held;
      since_ = now;
      return true;
    case HoldEvent::prefill_failed:
      if (!owed()) state_ = HoldState::maybe_held;
      restart(now);
      return true;
    default:
      lost_until_ = std::max(lost_until_, at);
      if (state_ == HoldState::released) return true;  // a release meanwhile has covered it
      lost_ = true;
      state_ = owed() ? state_ : HoldState::maybe_held;
      if (!std::exchange(ended_, true)) since_ = now;
      return true;
  }
}

bool KvHold::decode_event(HoldEvent event, Nanos now) {
  if (event == HoldEvent::decode_written) {
    ++decodes_out_;
    attempt_written();
    return true;
  }
  if (decodes_out_ == 0) return false;
  --decodes_out_;
  switch (event) {
    case HoldEvent::decode_begun:
      state_ = HoldState::taken;
      confirmed_ = false;
      return true;
    case HoldEvent::cache_missing:
      if (state_ != HoldState::none && state_ != HoldState::taken) cleared(now);
      return true;
    case HoldEvent::decode_answered:
    case HoldEvent::decode_lost:
      if (event == HoldEvent::decode_lost) decode_lost_until_ = now + kEndMayLag;
      // Workers keep what an attempt waits for: had it arrived, a release meanwhile has freed nothing.
      if (state_ == HoldState::released) state_ = HoldState::maybe_held, since_ = now, ended_ = true;
      if (owed() && event == HoldEvent::decode_answered) restart(now);
      return true;
    default:
      return true;
  }
}

bool KvHold::release_event(HoldEvent event, Nanos now) {
  switch (event) {
    case HoldEvent::release_wanted:
      if (owed() && !over_) wanted_at_ = now;
      return true;
    case HoldEvent::request_over:
      // What a lost prefill leaves behind the answer's beginning is nobody else's.
      if (state_ == HoldState::taken && (prefills_out_ > 0 || now < lost_until_))
        state_ = HoldState::maybe_held, since_ = now, ended_ = true;
      over_ = true;
      release_at_once_ = owed();
      return true;
    case HoldEvent::release_asked:
      if (!owed()) return false;
      state_ = HoldState::releasing;
      release_at_once_ = false;
      return true;
    default:
      if (state_ != HoldState::releasing)
        return true;  // something newer is held, or the answer has begun meanwhile
      cleared(now);
      return true;
  }
}

}  // namespace cressrill
