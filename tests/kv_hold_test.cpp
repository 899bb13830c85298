// What may be held of a request, from which evidence, and when its release is due. Whether a request that was written has
// arrived is known only from an answer.
#include "kv_hold.h"

#include <doctest/doctest.h>

#include <string>

#include "release_plan.h"

namespace cressrill::testing {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kLimit = 1000 * kMs;
constexpr Nanos kMost = kLimit + 300 * kMs;  // by the rule
constexpr WorkerRef kPrefillWorker{0, 100}, kDecodeWorker{1, 101};
using Event = HoldEvent;

KvHold prefill_out(Nanos runs_for = 0) {
  KvHold hold(kLimit);
  CHECK(hold.record_attempt(Event::prefill_written, 0, 0, kPrefillWorker, runs_for));
  return hold;
}
// A prefill that was written at 0, and said to be done at 50 ms.
KvHold prefilled() {
  KvHold hold = prefill_out();
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 0));
  return hold;
}
// And a decode attempt that was written at 60 ms.
KvHold decode_out() {
  KvHold hold = prefilled();
  CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 1, kDecodeWorker));
  return hold;
}
// A release that is written at that moment, and confirmed. What a decode attempt that is out waits for is not freed by it.
void release(KvHold& hold, Nanos written, bool awaited = false) {
  CHECK(hold.record(Event::release_asked, written));
  CHECK(hold.release_confirmed(written) != awaited);
}

}  // namespace

TEST_CASE("a write that is out stops no clock, however it ends without an answer") {
  for (const Event end : {Event::decode_lost, Event::decode_not_run}) {
    KvHold hold = prefilled();
    const Nanos due = hold.release_due();
    CHECK(due == kLimit * 3 / 4);  // the prefill may have ended as soon as it was written
    CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 1, kDecodeWorker));
    CHECK(hold.release_due() == due);
    CHECK(hold.record_attempt(end, 500 * kMs, 1));
    CHECK(hold.release_due() == due);
    CHECK(hold.limit_ends() == kLimit);
  }
}

TEST_CASE("an answer of a decode attempt does not start the limit anew: it may have been under way") {
  KvHold hold = decode_out();
  CHECK(hold.record_attempt(Event::decode_answered, 500 * kMs, 1));
  CHECK(hold.release_due() == kLimit * 3 / 4);
}

TEST_CASE("a confirmed release ends nothing while a decode attempt may have waited for what is held") {
  KvHold hold = decode_out();
  release(hold, 800 * kMs, true);
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.release_due() > 800 * kMs);
  CHECK(hold.release_due() < 800 * kMs + kMost);
  SUBCASE("it ends at its worker without a word, and is given up later") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    CHECK(hold.release_due() < 800 * kMs + kMost);
    for (Nanos at = 1700 * kMs; at < 20'000 * kMs; at += 1000 * kMs) {
      release(hold, at);
      CHECK(hold.state() == HoldState::maybe_held);
      CHECK(hold.release_due() < at + kMost);
    }
  }
  SUBCASE("its worker answers calls on other connections: its own may be silent alone") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    hold.worker_answered({kDecodeWorker.identity, 890 * kMs, 911 * kMs});
    hold.worker_answered({kDecodeWorker.identity, 1110 * kMs, 1111 * kMs});
    hold.worker_answered({kPrefillWorker.identity, 1150 * kMs, 1151 * kMs});
    release(hold, 4000 * kMs);
    CHECK(hold.state() == HoldState::maybe_held);
    CHECK(hold.release_due() < 4000 * kMs + kMost);
  }
  SUBCASE("its worker is gone from the list") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    hold.worker_gone(kDecodeWorker.identity, 1000 * kMs);
    release(hold, 1001 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("it was lost so long ago that its worker will not act on it") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    release(hold, 31'000 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("it is answered: what it waited for is held since that release, and the next one ends the matter") {
    CHECK(hold.record_attempt(Event::decode_answered, 900 * kMs, 1));
    CHECK(hold.limit_started_at() == 800 * kMs);
    CHECK(hold.needs_release());
    release(hold, 1700 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
}

TEST_CASE("a lost prefill is owed from its write, and its successor stops no clock") {
  KvHold hold = prefill_out();
  CHECK(hold.record_attempt(Event::prefill_lost, 60 * kMs, 0));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.record(Event::release_wanted, 60 * kMs));
  CHECK(hold.release_precedes_prefill());
  CHECK(hold.release_due() == 60 * kMs);
  CHECK(hold.record_attempt(Event::prefill_written, 85 * kMs, 1, kDecodeWorker));
  CHECK_FALSE(hold.release_precedes_prefill());
  const Nanos due = hold.release_due();
  CHECK(due > 85 * kMs);
  CHECK(due < kMost);
  SUBCASE("its successor's answer does not start the limit anew") {
    CHECK(hold.record_attempt(Event::prefill_done, 200 * kMs, 1));
    CHECK(hold.release_due() == kLimit * 3 / 4);
  }
  SUBCASE("its successor's loss does not") {
    CHECK(hold.record_attempt(Event::prefill_lost, 400 * kMs, 1));
    CHECK(hold.release_due() == due);
  }
  SUBCASE("its successor's refusal tells nothing of it") {
    CHECK(hold.record_attempt(Event::prefill_refused, 400 * kMs, 1));
    CHECK(hold.needs_release());
    CHECK(hold.release_due() == due);
  }
  SUBCASE("the request's end is the moment for a release") {
    CHECK(hold.record(Event::request_over, 400 * kMs));
    CHECK(hold.release_due() <= 400 * kMs);
  }
}

TEST_CASE("a prefill is taken as running for its learned time, and no longer") {
  for (const Nanos runs_for : {0 * kMs, 200 * kMs, 900 * kMs, 3000 * kMs}) {
    KvHold hold = prefill_out(runs_for);
    CHECK(hold.release_due() > runs_for + kLimit);
    CHECK(hold.release_due() < runs_for + kMost);
  }
  KvHold hold = prefill_out(900 * kMs);
  SUBCASE("the request is over: its release is due at once, whatever was expected of the prefill") {
    CHECK(hold.record(Event::request_over, 10 * kMs));
    CHECK(hold.release_due() <= 10 * kMs);
    release(hold, 11 * kMs);
    CHECK(hold.release_due() < 11 * kMs + kMost);
  }
  SUBCASE("it is lost: it may have ended") {
    CHECK(hold.record_attempt(Event::prefill_lost, 60 * kMs, 0));
    CHECK(hold.release_due() < 60 * kMs + kMost);
    SUBCASE("its successor stops no clock") {
      CHECK(hold.record_attempt(Event::prefill_written, 70 * kMs, 1, kDecodeWorker, 900 * kMs));
      CHECK(hold.release_due() < 60 * kMs + kMost);
    }
    SUBCASE(
        "but after a release that covers it: what it leaves then is known by its successor's answer first") {
      release(hold, 65 * kMs);
      CHECK(hold.record_attempt(Event::prefill_written, 70 * kMs, 1, kDecodeWorker, 900 * kMs));
      CHECK(hold.release_due() > 970 * kMs + kLimit);
      CHECK(hold.release_due() < 970 * kMs + kMost);
    }
  }
}

TEST_CASE(
    "a prefill whose answer's head has come has ended: it is not taken as running, whatever was expected of "
    "it") {
  KvHold hold = prefill_out(3000 * kMs);
  CHECK(hold.record_attempt(Event::prefill_answered, 60 * kMs, 0));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.release_due() > 60 * kMs + kLimit);
  CHECK(hold.release_due() < 60 * kMs + kMost);
  SUBCASE("the rest of its answer comes") {
    CHECK(hold.record_attempt(Event::prefill_done, 70 * kMs, 0));
    CHECK(hold.state() == HoldState::held);
    CHECK(hold.release_due() == 60 * kMs + kLimit * 3 / 4);
  }
  SUBCASE("the rest does not come") {
    CHECK(hold.record_attempt(Event::prefill_lost, 500 * kMs, 0));
    CHECK(hold.release_due() < 60 * kMs + kMost);
  }
}

TEST_CASE("of parallel prefills the one that may end first counts") {
  KvHold hold = prefill_out(500 * kMs);
  CHECK(hold.record_attempt(Event::prefill_written, 10 * kMs, 1, {2, 102}));
  CHECK(hold.release_due() < 10 * kMs + kMost);
  CHECK(hold.record_attempt(Event::prefill_refused, 60 * kMs, 0));
  CHECK(hold.release_due() < 10 * kMs + kMost);
}

TEST_CASE("what is proved not to have run leaves nothing") {
  KvHold hold = prefill_out();
  CHECK(hold.record_attempt(Event::prefill_refused, 30 * kMs, 0));
  CHECK(hold.state() == HoldState::none);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.record(Event::request_over, 40 * kMs));
  CHECK(hold.release_due() == kNever);
}

TEST_CASE(
    "a prefill that is lost as its request ends is released again until it is known to be over at its "
    "worker") {
  KvHold hold = prefill_out();
  hold.record(Event::request_over, 10 * kMs);
  hold.record_attempt(Event::prefill_lost, 10 * kMs, 0);
  release(hold, 12 * kMs);
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos again = hold.release_due();
  CHECK(again < 12 * kMs + kMost);
  SUBCASE("proved: its worker answered a call made after its request had time to arrive") {
    hold.worker_answered({kPrefillWorker.identity, 500 * kMs, 501 * kMs});
    release(hold, again);  // after as long again as its request may have been under way
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("a call made as that was under way, or answered by another worker: no proof") {
    hold.worker_answered({kPrefillWorker.identity, 20 * kMs, 21 * kMs});
    hold.worker_answered({kDecodeWorker.identity, 500 * kMs, 501 * kMs});
    release(hold, again);
    CHECK(hold.state() == HoldState::maybe_held);
  }
  SUBCASE("not proved") {
    release(hold, again);
    CHECK(hold.state() == HoldState::maybe_held);
    CHECK(hold.release_due() < again + kMost);
  }
}

TEST_CASE("a release that may have come before the end of the attempt it was for is followed by another") {
  KvHold hold = decode_out();
  hold.record(Event::request_over, 100 * kMs);
  hold.record_attempt(Event::decode_lost, 100 * kMs, 1);
  release(hold, 100 * kMs);
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos again = hold.release_due();
  CHECK(again > 150 * kMs);
  CHECK(again < 100 * kMs + kMost);
  hold.worker_gone(kDecodeWorker.identity, again - 1);
  release(hold, again);
  CHECK(hold.state() == HoldState::released);
}

TEST_CASE("a prefill that is done after a release was written is held, whatever that release has freed") {
  KvHold hold = prefill_out();
  CHECK(hold.record(Event::release_asked, 40 * kMs));
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 0));
  CHECK_FALSE(hold.release_confirmed(45 * kMs));
  CHECK(hold.state() == HoldState::held);
  CHECK(hold.limit_started_at() == 45 * kMs);
}

TEST_CASE("a begun answer has taken what was held; what cannot follow is refused") {
  KvHold hold = decode_out();
  CHECK(hold.record_attempt(Event::decode_begun, 90 * kMs, 1));
  CHECK(hold.state() == HoldState::taken);
  CHECK(hold.release_due() == kNever);
  CHECK_FALSE(hold.record_attempt(Event::prefill_written, 95 * kMs, 2, kPrefillWorker));
  CHECK_FALSE(hold.record_attempt(Event::decode_begun, 95 * kMs, 1));
  CHECK_FALSE(hold.record_attempt(Event::prefill_done, 95 * kMs, 7));
  CHECK_FALSE(hold.record(Event::release_asked, 95 * kMs));
  CHECK(hold.record(Event::request_over, 400 * kMs));
  CHECK(hold.release_due() == kNever);
  CHECK_FALSE(hold.record(Event::release_asked, 410 * kMs));
}

TEST_CASE("a prefill that was lost before another one's KV cache was taken may arrive later: it is owed") {
  KvHold hold = prefill_out();
  CHECK(hold.record_attempt(Event::prefill_lost, 60 * kMs, 0));
  CHECK(hold.record_attempt(Event::prefill_written, 70 * kMs, 1, {2, 102}));
  CHECK(hold.record_attempt(Event::prefill_done, 90 * kMs, 1));
  CHECK(hold.record_attempt(Event::decode_written, 91 * kMs, 2, kDecodeWorker));
  CHECK(hold.record_attempt(Event::decode_begun, 120 * kMs, 2));
  CHECK(hold.state() == HoldState::taken);
  CHECK(hold.record(Event::request_over, 400 * kMs));
  CHECK(hold.needs_release());
  CHECK(hold.release_due() <= 400 * kMs);
}

TEST_CASE("a begun answer ends no other attempt: what one leaves later is released while the answer flows") {
  KvHold hold = prefill_out();
  CHECK(hold.record_attempt(Event::prefill_written, 10 * kMs, 1, {2, 102}));
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 1));
  CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 2, kDecodeWorker));
  CHECK(hold.record_attempt(Event::decode_written, 70 * kMs, 3, {3, 103}));
  CHECK(hold.record_attempt(Event::decode_begun, 90 * kMs, 2));
  SUBCASE("a prefill is done") {
    CHECK(hold.record_attempt(Event::prefill_done, 300 * kMs, 0));
    CHECK(hold.state() == HoldState::held);
    CHECK(hold.release_due() < 300 * kMs + kMost);
    CHECK(hold.record_attempt(Event::decode_lost, 400 * kMs, 3));
    hold.worker_gone(103, 620 * kMs);
    CHECK(hold.record(Event::release_asked, 1200 * kMs));
    CHECK_FALSE(hold.release_confirmed(1200 * kMs));  // of use to nobody
    CHECK(hold.state() == HoldState::taken);
    CHECK(hold.release_due() == kNever);
    CHECK(hold.record(Event::request_over, 2000 * kMs));
    CHECK(hold.release_due() == kNever);
  }
  SUBCASE("a prefill is lost") {
    CHECK(hold.record_attempt(Event::prefill_lost, 300 * kMs, 0));
    CHECK(hold.release_due() < 300 * kMs + kMost);
  }
  SUBCASE("a prefill stays out: it may have ended") { CHECK(hold.release_due() < 90 * kMs + kMost); }
  SUBCASE("another decode attempt is lost") { CHECK(hold.record_attempt(Event::decode_lost, 300 * kMs, 3)); }
  SUBCASE("another decode attempt is answered") {
    CHECK(hold.record_attempt(Event::decode_answered, 300 * kMs, 3));
  }
}

TEST_CASE("an answer may have been under way for long: it moves the limit by a moment at the most") {
  SUBCASE("of a prefill") {
    KvHold hold = prefill_out();
    CHECK(hold.record_attempt(Event::prefill_done, 950 * kMs, 0));
    CHECK(hold.release_due() > 950 * kMs);  // for a decode attempt that follows at once
    CHECK(hold.release_due() < kMost);
  }
  SUBCASE("of a decode attempt that waited when the latest release arrived") {
    KvHold hold = decode_out();
    release(hold, 800 * kMs, true);
    CHECK(hold.record_attempt(Event::decode_answered, 1780 * kMs, 1));
    CHECK(hold.release_due() > 1780 * kMs);
    CHECK(hold.release_due() < 800 * kMs + kMost);
  }
}

TEST_CASE("who is told: the one heard of last, then each of the others, then again on new connections") {
  std::vector<ReleaseCandidate> workers{{0, 10, 0}, {1, 30, 0}, {2, 20, 0}};
  std::string order;
  for (int i = 0; i < 6; ++i) {
    const int next = next_release_target(workers).worker;
    auto& told = workers[static_cast<std::size_t>(next)];
    order += std::to_string(next) + (needs_new_connection(told) ? "n " : "k ");
    ++told.calls_made;
  }
  CHECK(order == "1k 2k 0k 1n 2n 0n ");
  CHECK(next_release_target({{0, 30, 0}, {1, 10, 0, true}, {2, 20, 0}}).worker ==
        1);  // it would also prove something
  CHECK(delay_before_next_call(kLimit, 0) == 25 * kMs);
  CHECK(delay_before_next_call(kLimit, 100) == 800 * kMs);
}

}  // namespace cressrill::testing
