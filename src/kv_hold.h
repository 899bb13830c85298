// What the workers may hold of one request's KV cache, from what evidence that is known, and when it has to be released.
// Free of I/O and clocks.
//
// A prefill leaves KV cache behind that a decode attempt takes or a release frees, within a limit. The limit's clock rests
// while an attempt is out at a running worker, and starts anew with that attempt's outcome. Whether a request that was
// written has arrived is known only from an answer; until then each rule takes the worse of both: it is not out for the
// clock, and it may have run, so that a prefill may leave something behind, from the moment at which it should have ended.
// A release frees nothing that a decode attempt which has arrived waits for, and whatever a prefill leaves that is under
// way: an early one would cost a prefill that is merely slow.
#pragma once

#include "state.h"

namespace cressrill {

enum class HoldState {
  none,        // nothing can be held
  maybe_held,  // a prefill was written whose end is not known
  held,        // a worker said that its prefill is done
  releasing,   // a release is asked for, and no worker has confirmed it
  released,    // a worker has confirmed one
  taken,       // the answer has begun, so that decode has the KV cache
};

enum class HoldEvent {
  prefill_written,  // the request of a prefill is about to leave
  prefill_refused,  // it never ran
  prefill_done,     // its worker said so
  prefill_failed,   // its worker answered something else: it has ended, and may have left something
  prefill_lost,     // it is not waited for any more, and nobody knows whether it runs, ends, or has ended
  decode_written,   // the request of a decode attempt is about to leave
  decode_not_run,   // it never left whole
  decode_answered,  // its worker answered, and has not taken the KV cache
  decode_lost,      // it is not waited for any more, and nobody knows whether it arrived
  decode_begun,     // its answer has begun
  cache_missing,    // its worker answered that the KV cache is gone
  release_wanted,   // no attempt that is out needs what is held, and a further one may follow at once
  request_over,  // the request has its final answer, or its client has left, and no attempt needs what is held
  release_asked,     // a release begins
  release_confirmed  // a worker has answered it
};

const char* word(HoldState state);
const char* word(HoldEvent event);

class KvHold {
 public:
  // How long KV cache may be held, by the settings.
  explicit KvHold(Nanos limit) : limit_(limit) {}

  // Takes an event. at: of prefill_written, when the prefill is expected to end; of prefill_lost, until when the worker was
  // told that it is waited for. False where the event is not possible in this state, which is left as it is then: a defect.
  bool note(HoldEvent event, Nanos now, Nanos at = 0);

  HoldState state() const { return state_; }
  // Whether something may be held that nobody else will take or release.
  bool owed() const {
    return state_ == HoldState::maybe_held || state_ == HoldState::held || state_ == HoldState::releasing;
  }
  // From when on the limit counts, at the worst.
  Nanos since() const { return since_; }
  // When a release is to begin; kNever where none is.
  Nanos release_due() const;
  // Whether a release is to be tried before a further prefill is written: it would void that one's result as well.
  bool release_comes_first() const { return lost_ && !over_ && wanted_at_ != kNever && owed(); }
  // Whether a release was wanted, and no attempt has been written since.
  bool wanted() const { return wanted_at_ != kNever; }
  // Where a worker has confirmed that something is held, and none that it is released: the last moment of the limit.
  Nanos confirmed_until() const { return owed() && confirmed_ ? since_ + limit_ : kNever; }
  Nanos limit() const { return limit_; }

 private:
  bool prefill_event(HoldEvent event, Nanos now, Nanos at);
  bool decode_event(HoldEvent event, Nanos now);
  bool release_event(HoldEvent event, Nanos now);
  void attempt_written();
  Nanos last_moment() const;
  Nanos wanted_moment() const;
  void restart(Nanos now);
  void cleared(Nanos now);

  Nanos limit_;
  HoldState state_{HoldState::none};
  Nanos since_{};
  bool confirmed_{};         // a worker said that it holds something
  bool ended_{};             // since_ is the end of an attempt; else the expected end of a first prefill
  bool lost_{};              // a prefill was lost, and no release was confirmed since
  Nanos expected_{};         // how long that first prefill should take
  bool over_{};              // the request needs nothing any more:
  Nanos wanted_at_{kNever};  // a release was wanted, and no attempt has been written since
  bool release_at_once_{};   // a release has not begun since then
  int prefills_out_{};       // written, and their ends not known
  int decodes_out_{};
  Nanos decode_lost_until_{};  // one that is not waited for may still wait for what is held until then
  Nanos lost_until_{};         // a prefill that is not waited for may still run until then
};

}  // namespace cressrill
