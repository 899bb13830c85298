// Tracks what the workers may hold of one request's KV cache, on the available evidence, and when it must be
// released. Free of I/O and clocks.
//
// A prefill leaves KV cache behind, which a decode attempt takes or a release frees. It must be freed within
// a limit that counts while no attempt of the request is outstanding at a running worker. The router sees
// writes, responses, closed connections and timeouts. Only a response tells what has happened at the worker,
// so the worst of what may have happened is assumed.
//
// What the events prove:
//
//   event seen by the router        proves                             does not prove
//
//   a request was written           nothing                            that it arrived: it does not stop the
//                                                                      limit from counting
//   a prefill is within its         nothing; it is assumed to be       that it has not ended already
//   assumed run time                running
//   a prefill's response            the prefill has ended, and KV      that it ended just now, as the
//                                   cache is held, unless the          response may have been in transit;
//                                   response says that it never ran    anything about other attempts
//   the head of a prefill's         the prefill has ended, and may     that the rest arrives
//   response                        have left KV cache
//   a decode attempt's error        the attempt has ended              that it ended just now; that the KV
//   response                                                           cache it waited for is gone; anything
//                                                                      about other attempts
//   a decode attempt's stream has   it has taken what was held when    that it is still outstanding; that no
//   started                         its stream started                 prefill ends later; anything about
//                                                                      other attempts
//   410 to a decode attempt         nothing was held when it arrived   the same as another error response
//   the router closed a connection  nothing                            that the attempt has ended
//   a timeout, a broken connection  nothing: the prefill may have      that the attempt ends at all
//                                   ended at once
//   a release was confirmed         what no attempt waited for when    anything about attempts that arrive
//                                   the release arrived is freed, and  later, or that waited then and end
//                                   each prefill that was running      later
//                                   leaves nothing
//   the worker of a lost attempt    a prefill request that does not    that a decode attempt is over: only
//   has responded to a call made    arrive within as long again will   its own connection may be silent, and
//   after the attempt had time to   never arrive                       its end may not have arrived
//   arrive
//   the worker is gone from the     its attempts are over
//   worker list
//
// So no response restarts the limit. It only delays a release for a moment, so that a further attempt can
// follow.
//
// A confirmed release is final only if each earlier attempt was known to be over when the release was
// written. Otherwise another release follows within the limit, until that is known, for up to 30 s.
//
// A worker that hangs responds to nothing, so its attempts are never known to be over: releases, which other
// workers confirm, are repeated until it leaves the worker list, for up to 30 s.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

enum class HoldState {
  none,        // nothing can be held
  maybe_held,  // something may be held, but no worker has said so
  held,        // a worker has reported that its prefill is done
  releasing,   // a release was requested, and no worker has confirmed it
  released,    // a worker has confirmed a release, and no attempt remains that may hold anything
  taken,  // a stream has started, so decode has the KV cache, and no worker has reported that more is held
};

enum class HoldEvent {
  prefill_written,    // the request of a prefill is about to be written
  prefill_refused,    // the prefill never ran
  prefill_done,       // its worker has reported that it is done
  prefill_failed,     // its worker gave another response: it has ended, and may have left KV cache
  prefill_answered,   // the head of its response has arrived, but not yet the rest: it has ended
  prefill_lost,       // it is no longer waited for, and may still run or have ended
  decode_written,     // the request of a decode attempt is about to be written
  decode_not_run,     // the request was never completely sent
  decode_answered,    // its worker has responded, and has not taken the KV cache
  decode_lost,        // it is no longer waited for, and may or may not have arrived
  decode_begun,       // its stream has started, so it has taken the KV cache
  cache_missing,      // its worker has responded that the KV cache is gone
  release_wanted,     // no outstanding attempt needs what is held, and a further one may follow at once
  request_over,       // the client has its final response or has left, and no attempt needs what is held
  request_gone,       // as request_over, and none of its attempts will report its end any more
  release_asked,      // a release begins
  release_confirmed,  // a worker has confirmed the release (see KvHold::release_confirmed())
  release_given_up,   // none has for so long that whatever was held is assumed to be lost with its worker
};

const char* to_string(HoldState state);
const char* to_string(HoldEvent event);

// A worker, as the attempts of a request know it. Its index is reused once the worker is forgotten, its
// identity is not.
struct WorkerRef {
  int index{-1};
  std::uint64_t identity{};
  bool operator==(const WorkerRef&) const = default;
};

// The response of a worker to any call, whichever request the call was made for.
struct WorkerResponse {
  std::uint64_t identity{};
  Nanos call_written_at{};
  Nanos arrived_at{};
};

// What may be held of one request's KV cache.
class KvHold {
 public:
  // limit: how long KV cache may be held.
  explicit KvHold(Nanos limit) : limit_(limit) {}

  bool operator==(const KvHold&) const = default;

  // Records an event of an attempt. assumed_run_time: how long a prefill that is being written is assumed to
  // run, as an early release would void a prefill that is merely slow. Returns false, and leaves the state
  // unchanged, if the event is not possible in this state, which is a defect of the caller.
  bool record_attempt(HoldEvent event, Nanos now, int attempt, WorkerRef worker = {},
                      Nanos assumed_run_time = 0);
  // Records an event of the request or of its release. Returns false as record_attempt() does.
  bool record(HoldEvent event, Nanos now);
  // Records that a worker has confirmed a release that was written at that time. Returns whether a further
  // decode attempt would find no KV cache. It may find what an outstanding decode attempt waits for, or
  // what a prefill has left since.
  bool release_confirmed(Nanos written_at);
  // Record evidence about attempts that comes from outside their own connections.
  void worker_responded(const WorkerResponse& response);
  void worker_gone(std::uint64_t identity, Nanos now);

  HoldState state() const;
  // Whether KV cache may be held that has to be released unless a decode attempt takes it.
  bool needs_release() const { return may_be_held(); }
  // Whether the request needs no KV cache any more.
  bool request_over() const { return request_over_; }
  // When the limit started to count, in the worst case.
  Nanos limit_started_at() const { return evidence_.earliest_left_at; }
  // When a release has to begin; kNever: none has to.
  Nanos release_due() const;
  // Whether a release has to precede a further prefill, as a later release would void that prefill's result
  // too.
  bool must_release_before_prefill() const {
    return release_.prefill_lost && !request_over_ && release_wanted() && needs_release();
  }
  // Whether a release was wanted, and no attempt has been written since.
  bool release_wanted() const { return release_.wanted_at != kNever; }
  // When the limit ends; kNever if no release is needed.
  Nanos limit_ends() const { return needs_release() ? evidence_.earliest_left_at + limit_ : kNever; }
  // Calls visit(worker) with the worker of each lost attempt that is not known to be over.
  template <class Visit>
  void for_each_unresolved_worker(Visit visit) const {
    for (const Attempt& attempt : attempts_)
      if (attempt.lost && attempt.over_at == kNever) visit(attempt.worker);
  }

 private:
  static constexpr Nanos kNoResponse = -1;
  struct Attempt {
    int number{};
    WorkerRef worker;
    bool prefill{};
    Nanos written_at{};
    bool lost{};            // no longer waited for
    Nanos lost_at{};        // when that was recorded
    Nanos over_at{kNever};  // from when on it is known to be over at its worker
    // A release that was written after lost_at was confirmed, so the attempt can only have left KV cache
    // after that write.
    bool released_since_lost{};
    bool operator==(const Attempt&) const = default;
  };
  // What is known about the KV cache itself.
  struct Evidence {
    bool may_be_left{};    // a prefill that has ended may have left some
    bool held_reported{};  // a worker has reported that it holds some, and none that it was released
    Nanos earliest_left_at{kNever};       // the earliest time at which it can have been left
    Nanos last_response_at{kNoResponse};  // when the latest response of an attempt that is over arrived
    bool operator==(const Evidence&) const = default;
  };
  // What determines whether and when a release is due.
  struct Release {
    bool requested{};
    bool immediate{};         // due at once, as the request is over or decode has taken what it needs
    bool prefill_lost{};      // a prefill was lost, and neither a release nor a finished prefill has followed
    bool ever_confirmed{};    // some release of this request was confirmed
    Nanos wanted_at{kNever};  // since when no outstanding attempt has needed what is held
    bool operator==(const Release&) const = default;
  };
  void attempt_written(const Attempt& attempt, Nanos assumed_run_time);
  void attempt_lost(Attempt& attempt, Nanos now);
  void request_ended(Nanos now);
  bool prefill_ended(HoldEvent event, Nanos now);
  bool decode_ended(HoldEvent event, Nanos now, Nanos attempt_written_at);
  bool may_be_held() const;
  bool may_have_left_kv() const;
  void prefill_left_kv(Nanos now);
  void response_arrived(Nanos now);
  void kv_taken(Nanos attempt_written_at);
  void kv_freed(Nanos written_at);
  Nanos latest_release_time() const;
  Nanos wanted_release_time() const;

  Nanos limit_;
  // Attempts that were written and have not ended, less those that were known to be over when the latest
  // confirmed release was written.
  std::vector<Attempt> attempts_;
  Evidence evidence_;
  Release release_;
  bool taken_{};         // decode has taken what was held, and the request is not over
  bool request_over_{};  // the request needs no KV cache any more
};

}  // namespace cressrill
