// What the workers may hold of one request's KV cache, from what evidence that is known, and when it has to be released.
// Free of I/O and clocks.
//
// A prefill leaves KV cache behind that a decode attempt takes or a release frees, within a limit that counts while no attempt
// of the request is out at a running worker. This side sees writes, answers, closes and time-outs; none of them but an answer
// tells what has happened at the worker, and each rule here takes the worse of what may have happened.
//
// What is evidence of what:
//
//   seen on this side              proves                                           does not prove
//   a request was written          nothing                                          that it arrived: it stops no clock
//   a prefill's learned time has   nothing; until then it is taken as running (see  that it has not ended before
//   not passed                     runs_for below)
//   a prefill was answered         it has ended, and KV cache is held, unless the    that it ended just now: its answer may
//                                  answer says that it never ran                    have been under way; anything of others
//   the head of a prefill's        it has ended, and may have left some             that the rest comes
//   answer has come
//   a decode attempt was answered  it has ended                                     the same; that what it waited for is gone
//   a decode answer has begun      it has taken what was held when it began         that it is still out; that no prefill ends
//                                                                                   later; anything of others
//   410 to a decode attempt        nothing was held when it came                    the same
//   a connection was closed here   nothing                                          that its attempt has ended
//   a time-out, a broken           nothing: the prefill may have ended at once      that it ends at all
//   connection
//   a release was confirmed        what no attempt waited for when the release      anything of attempts that arrive later,
//                                  arrived is freed, and each prefill that was      or that waited then and end later
//                                  under way leaves nothing
//   the worker of a lost attempt   a prefill's request that has not arrived by as    that a decode attempt is over: its own
//   has answered a call made       long again does not                              connection may be silent alone, and its end
//   after that had time to arrive                                                   not have arrived
//   the worker is gone from the    its attempts are over
//   list
//
// So no answer moves the limit, but for a moment in which a further attempt can follow it.
//
// A confirmed release ends the matter only where each earlier attempt was known to be over when the release was written. Else
// another one follows within the limit, until that is known, or for 30 s.
//
// A worker that hangs answers nothing, so that nothing of its attempts is taken as over: releases, which other workers confirm,
// go on until it leaves the list, or for 30 s.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

enum class HoldState {
  none,        // nothing can be held
  maybe_held,  // something may be held, and nobody said so
  held,        // a worker said that its prefill is done
  releasing,   // a release is asked for, and no worker has confirmed it
  released,    // a worker has confirmed one, and no attempt is left that may hold anything
  taken,       // the answer has begun, so that decode has the KV cache, and nobody said that more is held
};

enum class HoldEvent {
  prefill_written,    // the request of a prefill is about to leave
  prefill_refused,    // it never ran
  prefill_done,       // its worker said so
  prefill_failed,     // its worker answered something else: it has ended, and may have left something
  prefill_answered,   // the head of its answer has come, and not yet what it says: it has ended
  prefill_lost,       // it is not waited for any more, and nobody knows whether it runs, ends, or has ended
  decode_written,     // the request of a decode attempt is about to leave
  decode_not_run,     // it never left whole
  decode_answered,    // its worker answered, and has not taken the KV cache
  decode_lost,        // it is not waited for any more, and nobody knows whether it arrived
  decode_begun,       // its answer has begun
  cache_missing,      // its worker answered that the KV cache is gone
  release_wanted,     // no attempt that is out needs what is held, and a further one may follow at once
  request_over,       // it has its final answer, or its client has left, and no attempt needs what is held
  request_gone,       // the same, and no attempt of it will report its end any more
  release_asked,      // a release begins
  release_confirmed,  // a worker has answered it (see release_confirmed())
  release_given_up,   // none did for so long that whatever was held is lost with its worker
};

const char* to_string(HoldState state);
const char* to_string(HoldEvent event);

// A worker as the attempts of a request know it. Indices are used again once a worker is forgotten; identities are not.
struct WorkerRef {
  int index{-1};
  std::uint64_t identity{};
  bool operator==(const WorkerRef&) const = default;
};

// That a worker answered a call, of whatever request.
struct WorkerAnswer {
  std::uint64_t identity{};
  Nanos call_written_at{};
  Nanos answered_at{};
};

class KvHold {
 public:
  // How long KV cache may be held, by the settings.
  explicit KvHold(Nanos limit) : limit_(limit) {}

  bool operator==(const KvHold&) const = default;

  // Takes an event of an attempt. runs_for: so long a prefill that is written is taken as running, by what is known of its
  // worker, as an early release would cost one that is merely slow. False where the event is not possible in this state, which
  // is left as it is then: a defect.
  bool record_attempt(HoldEvent event, Nanos now, int attempt, WorkerRef worker = {}, Nanos runs_for = 0);
  // Takes an event of the request or of its release.
  bool record(HoldEvent event, Nanos now);
  // A worker has confirmed a release that was about to leave at that moment. Whether a further decode attempt would find nothing:
  // what one that is out waits for stays, and what came later as well.
  bool release_confirmed(Nanos written);
  // Evidence of an attempt that its own connection does not give.
  void worker_answered(const WorkerAnswer& answer);
  void worker_gone(std::uint64_t identity, Nanos now);

  HoldState state() const;
  // Whether something may be held that nobody else will take or release.
  bool needs_release() const { return may_be_held(); }
  // Whether the request needs nothing any more.
  bool request_over() const { return over_; }
  // From when on the limit counts, at the worst.
  Nanos limit_started_at() const { return evidence_.since; }
  // When a release is to begin; kNever where none is.
  Nanos release_due() const;
  // Whether a release is to be tried before a further prefill is written: it would void that one's result as well.
  bool release_precedes_prefill() const {
    return release_.prefill_lost && !over_ && release_wanted() && needs_release();
  }
  // Whether a release was wanted, and no attempt has been written since.
  bool release_wanted() const { return release_.wanted_at != kNever; }
  // The last moment of the limit; kNever where nothing is owed.
  Nanos limit_ends() const { return needs_release() ? evidence_.since + limit_ : kNever; }
  // Calls take(worker) with the worker of each lost attempt that is not known to be over.
  template <class Take>
  void for_each_unresolved_worker(Take take) const {
    for (const Attempt& attempt : attempts_)
      if (attempt.lost && attempt.over_from == kNever) take(attempt.worker);
  }

 private:
  static constexpr Nanos kNotHeard = -1;
  struct Attempt {
    int number{};
    WorkerRef worker;
    bool prefill{};
    Nanos written{};
    bool lost{};              // not waited for any more
    Nanos lost_at{};          // when its connection ended
    Nanos over_from{kNever};  // known to be over at its worker from then on
    bool covered{};           // a release was confirmed after it was lost: what it leaves comes after that
    bool operator==(const Attempt&) const = default;
  };
  // What is known of KV cache itself.
  struct Evidence {
    bool left{};             // a prefill that has ended may have left some
    bool confirmed{};        // a worker said that it holds some, and none that it released it
    Nanos since{kNever};     // the earliest moment at which it can have been left
    Nanos heard{kNotHeard};  // when the latest answer came of an attempt that is over
    bool operator==(const Evidence&) const = default;
  };
  // The release that is asked for, or is to be.
  struct Release {
    bool asked{};
    bool at_once{};       // as the request is over
    bool prefill_lost{};  // a prefill was lost, and none was confirmed since
    bool confirmed{};     // one was, ever
    Nanos wanted_at{kNever};
    bool operator==(const Release&) const = default;
  };
  void written(const Attempt& attempt, Nanos runs_for);
  void lost(Attempt& attempt, Nanos now);
  void request_ended(Nanos now);
  bool prefill_ended(HoldEvent event, Nanos now);
  bool decode_ended(HoldEvent event, Nanos now, Nanos attempt_written);
  bool may_be_held() const;
  bool may_be_left() const;
  void prefill_left(Nanos now);
  void answered(Nanos now);
  void taken(Nanos attempt_written);
  void freed(Nanos release_written);
  Nanos last_moment() const;
  Nanos wanted_moment() const;

  Nanos limit_;
  // Written, and not known to be over when a release was written that was confirmed.
  std::vector<Attempt> attempts_;
  Evidence evidence_;
  Release release_;
  bool taken_{};  // decode has what was held, and the request is not over
  bool over_{};   // the request needs nothing any more
};

}  // namespace cressrill
