// KvHold: what may be held of a request, on which evidence, and when its release is due. Only a response
// proves that a written request has arrived.
#include "kv_hold.h"

#include <doctest/doctest.h>

#include <string>

#include "release_plan.h"

namespace cressrill::testing {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kLimit = 1000 * kMs;
constexpr Nanos kMaxHeld = kLimit + 300 * kMs;  // rule 5 tolerates 300 ms past the limit
constexpr WorkerRef kPrefillWorker{0, 100}, kDecodeWorker{1, 101};
using Event = HoldEvent;

KvHold with_prefill_outstanding(Nanos assumed_run_time = 0) {
  KvHold hold(kLimit);
  CHECK(hold.record_attempt(Event::prefill_written, 0, 0, kPrefillWorker, assumed_run_time));
  return hold;
}
// A prefill that was written at 0 and reported done at 50 ms.
KvHold with_prefill_done() {
  KvHold hold = with_prefill_outstanding();
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 0));
  return hold;
}
// The same, followed by a decode attempt that was written at 60 ms.
KvHold with_decode_outstanding() {
  KvHold hold = with_prefill_done();
  CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 1, kDecodeWorker));
  return hold;
}
// Records a release that is confirmed at once. decode_waits: an outstanding decode attempt waits for what is
// held, so the release does not free that.
void release(KvHold& hold, Nanos written_at, bool decode_waits = false) {
  CHECK(hold.record(Event::release_asked, written_at));
  CHECK(hold.release_confirmed(written_at) != decode_waits);
}

}  // namespace

TEST_CASE("an outstanding decode attempt does not stop the limit, however it ends without an answer") {
  for (const Event end : {Event::decode_lost, Event::decode_not_run}) {
    KvHold hold = with_prefill_done();
    const Nanos due = hold.release_due();
    CHECK(due == kLimit * 3 / 4);  // the prefill may have ended as soon as it was written
    CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 1, kDecodeWorker));
    CHECK(hold.release_due() == due);
    CHECK(hold.record_attempt(end, 500 * kMs, 1));
    CHECK(hold.release_due() == due);
    CHECK(hold.limit_ends() == kLimit);
  }
}

TEST_CASE("a decode attempt's answer does not restart the limit, as it may have been in transit") {
  KvHold hold = with_decode_outstanding();
  CHECK(hold.record_attempt(Event::decode_answered, 500 * kMs, 1));
  CHECK(hold.release_due() == kLimit * 3 / 4);
}

TEST_CASE("a confirmed release is not final while a decode attempt may have waited for what is held") {
  KvHold hold = with_decode_outstanding();
  release(hold, 800 * kMs, true);
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.release_due() > 800 * kMs);
  CHECK(hold.release_due() < 800 * kMs + kMaxHeld);
  SUBCASE("it ends at its worker unnoticed, and is given up later") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    CHECK(hold.release_due() < 800 * kMs + kMaxHeld);
    for (Nanos at = 1700 * kMs; at < 20'000 * kMs; at += 1000 * kMs) {
      release(hold, at);
      CHECK(hold.state() == HoldState::maybe_held);
      CHECK(hold.release_due() < at + kMaxHeld);
    }
  }
  SUBCASE(
      "its worker answers calls on other connections, which proves nothing: its own may be silent alone") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    hold.worker_responded({kDecodeWorker.identity, 890 * kMs, 911 * kMs});
    hold.worker_responded({kDecodeWorker.identity, 1110 * kMs, 1111 * kMs});
    hold.worker_responded({kPrefillWorker.identity, 1150 * kMs, 1151 * kMs});
    release(hold, 4000 * kMs);
    CHECK(hold.state() == HoldState::maybe_held);
    CHECK(hold.release_due() < 4000 * kMs + kMaxHeld);
  }
  SUBCASE("its worker is gone from the worker list") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    hold.worker_gone(kDecodeWorker.identity, 1000 * kMs);
    release(hold, 1001 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("it was lost so long ago that its worker no longer acts on it") {
    CHECK(hold.record_attempt(Event::decode_lost, 900 * kMs, 1));
    release(hold, 31'000 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("it is answered: what it waited for is held since that release, and the next release is final") {
    CHECK(hold.record_attempt(Event::decode_answered, 900 * kMs, 1));
    CHECK(hold.limit_started_at() == 800 * kMs);
    CHECK(hold.needs_release());
    release(hold, 1700 * kMs);
    CHECK(hold.state() == HoldState::released);
  }
}

TEST_CASE(
    "a lost prefill counts towards the limit from its write, and its successor does not stop the limit") {
  KvHold hold = with_prefill_outstanding();
  CHECK(hold.record_attempt(Event::prefill_lost, 60 * kMs, 0));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.record(Event::release_wanted, 60 * kMs));
  CHECK(hold.must_release_before_prefill());
  CHECK(hold.release_due() == 60 * kMs);
  CHECK(hold.record_attempt(Event::prefill_written, 85 * kMs, 1, kDecodeWorker));
  CHECK_FALSE(hold.must_release_before_prefill());
  const Nanos due = hold.release_due();
  CHECK(due > 85 * kMs);
  CHECK(due < kMaxHeld);
  SUBCASE("its successor's answer does not restart the limit") {
    CHECK(hold.record_attempt(Event::prefill_done, 200 * kMs, 1));
    CHECK(hold.release_due() == kLimit * 3 / 4);
  }
  SUBCASE("its successor's loss does not restart the limit") {
    CHECK(hold.record_attempt(Event::prefill_lost, 400 * kMs, 1));
    CHECK(hold.release_due() == due);
  }
  SUBCASE("its successor's refusal proves nothing about it") {
    CHECK(hold.record_attempt(Event::prefill_refused, 400 * kMs, 1));
    CHECK(hold.needs_release());
    CHECK(hold.release_due() == due);
  }
  SUBCASE("a release is due when the request ends") {
    CHECK(hold.record(Event::request_over, 400 * kMs));
    CHECK(hold.release_due() <= 400 * kMs);
  }
}

TEST_CASE("a prefill is assumed to be running for its expected time, and no longer") {
  for (const Nanos assumed_run_time : {0 * kMs, 200 * kMs, 900 * kMs, 3000 * kMs}) {
    KvHold hold = with_prefill_outstanding(assumed_run_time);
    CHECK(hold.release_due() > assumed_run_time + kLimit);
    CHECK(hold.release_due() < assumed_run_time + kMaxHeld);
  }
  KvHold hold = with_prefill_outstanding(900 * kMs);
  SUBCASE("the request is over: its release is due at once, whatever the expected time of the prefill") {
    CHECK(hold.record(Event::request_over, 10 * kMs));
    CHECK(hold.release_due() <= 10 * kMs);
    release(hold, 11 * kMs);
    CHECK(hold.release_due() < 11 * kMs + kMaxHeld);
  }
  SUBCASE("it is lost: it may have ended") {
    CHECK(hold.record_attempt(Event::prefill_lost, 60 * kMs, 0));
    CHECK(hold.release_due() < 60 * kMs + kMaxHeld);
    SUBCASE("its successor does not stop the limit") {
      CHECK(hold.record_attempt(Event::prefill_written, 70 * kMs, 1, kDecodeWorker, 900 * kMs));
      CHECK(hold.release_due() < 60 * kMs + kMaxHeld);
    }
    SUBCASE("unless a release covers it: what it leaves after that, its successor's answer shows first") {
      release(hold, 65 * kMs);
      CHECK(hold.record_attempt(Event::prefill_written, 70 * kMs, 1, kDecodeWorker, 900 * kMs));
      CHECK(hold.release_due() > 970 * kMs + kLimit);
      CHECK(hold.release_due() < 970 * kMs + kMaxHeld);
    }
  }
}

TEST_CASE(
    "a prefill whose answer's head has arrived has ended: it is not assumed to be running, whatever its "
    "expected time") {
  KvHold hold = with_prefill_outstanding(3000 * kMs);
  CHECK(hold.record_attempt(Event::prefill_answered, 60 * kMs, 0));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.release_due() > 60 * kMs + kLimit);
  CHECK(hold.release_due() < 60 * kMs + kMaxHeld);
  SUBCASE("the rest of its answer arrives") {
    CHECK(hold.record_attempt(Event::prefill_done, 70 * kMs, 0));
    CHECK(hold.state() == HoldState::held);
    CHECK(hold.release_due() == 60 * kMs + kLimit * 3 / 4);
  }
  SUBCASE("the rest does not arrive") {
    CHECK(hold.record_attempt(Event::prefill_lost, 500 * kMs, 0));
    CHECK(hold.release_due() < 60 * kMs + kMaxHeld);
  }
}

TEST_CASE("of parallel prefills, the limit counts from the one that may end first") {
  KvHold hold = with_prefill_outstanding(500 * kMs);
  CHECK(hold.record_attempt(Event::prefill_written, 10 * kMs, 1, {2, 102}));
  CHECK(hold.release_due() < 10 * kMs + kMaxHeld);
  CHECK(hold.record_attempt(Event::prefill_refused, 60 * kMs, 0));
  CHECK(hold.release_due() < 10 * kMs + kMaxHeld);
}

TEST_CASE("a prefill that is known not to have run leaves nothing") {
  KvHold hold = with_prefill_outstanding();
  CHECK(hold.record_attempt(Event::prefill_refused, 30 * kMs, 0));
  CHECK(hold.state() == HoldState::none);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.record(Event::request_over, 40 * kMs));
  CHECK(hold.release_due() == kNever);
}

TEST_CASE(
    "a prefill that is lost as its request ends is released repeatedly until it is known to be over at its "
    "worker") {
  KvHold hold = with_prefill_outstanding();
  hold.record(Event::request_over, 10 * kMs);
  hold.record_attempt(Event::prefill_lost, 10 * kMs, 0);
  release(hold, 12 * kMs);
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos next_due = hold.release_due();
  CHECK(next_due < 12 * kMs + kMaxHeld);
  SUBCASE("proved over: its worker answered a call made after its request had time to arrive") {
    hold.worker_responded({kPrefillWorker.identity, 500 * kMs, 501 * kMs});
    release(hold, next_due);  // its request would have arrived by now
    CHECK(hold.state() == HoldState::released);
  }
  SUBCASE("not proved over by a call made while the request was in transit, nor by another worker's answer") {
    hold.worker_responded({kPrefillWorker.identity, 20 * kMs, 21 * kMs});
    hold.worker_responded({kDecodeWorker.identity, 500 * kMs, 501 * kMs});
    release(hold, next_due);
    CHECK(hold.state() == HoldState::maybe_held);
  }
  SUBCASE("not proved over") {
    release(hold, next_due);
    CHECK(hold.state() == HoldState::maybe_held);
    CHECK(hold.release_due() < next_due + kMaxHeld);
  }
}

TEST_CASE("a release that may have arrived before its attempt had ended is followed by another") {
  KvHold hold = with_decode_outstanding();
  hold.record(Event::request_over, 100 * kMs);
  hold.record_attempt(Event::decode_lost, 100 * kMs, 1);
  release(hold, 100 * kMs);
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos next_due = hold.release_due();
  CHECK(next_due > 150 * kMs);
  CHECK(next_due < 100 * kMs + kMaxHeld);
  hold.worker_gone(kDecodeWorker.identity, next_due - 1);
  release(hold, next_due);
  CHECK(hold.state() == HoldState::released);
}

TEST_CASE(
    "KV cache of a prefill that is done after a release was written is held, whatever that release freed") {
  KvHold hold = with_prefill_outstanding();
  CHECK(hold.record(Event::release_asked, 40 * kMs));
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 0));
  CHECK_FALSE(hold.release_confirmed(45 * kMs));
  CHECK(hold.state() == HoldState::held);
  CHECK(hold.limit_started_at() == 45 * kMs);
}

TEST_CASE("a started stream has taken what was held, and events that cannot follow are rejected") {
  KvHold hold = with_decode_outstanding();
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

TEST_CASE(
    "a prefill that was lost before another one's KV cache was taken may arrive later and needs a release") {
  KvHold hold = with_prefill_outstanding();
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

TEST_CASE("a started stream ends no other attempt: what one leaves later is released while the stream runs") {
  KvHold hold = with_prefill_outstanding();
  CHECK(hold.record_attempt(Event::prefill_written, 10 * kMs, 1, {2, 102}));
  CHECK(hold.record_attempt(Event::prefill_done, 50 * kMs, 1));
  CHECK(hold.record_attempt(Event::decode_written, 60 * kMs, 2, kDecodeWorker));
  CHECK(hold.record_attempt(Event::decode_written, 70 * kMs, 3, {3, 103}));
  CHECK(hold.record_attempt(Event::decode_begun, 90 * kMs, 2));
  SUBCASE("a prefill is done") {
    CHECK(hold.record_attempt(Event::prefill_done, 300 * kMs, 0));
    CHECK(hold.state() == HoldState::held);
    CHECK(hold.release_due() < 300 * kMs + kMaxHeld);
    CHECK(hold.record_attempt(Event::decode_lost, 400 * kMs, 3));
    hold.worker_gone(103, 620 * kMs);
    CHECK(hold.record(Event::release_asked, 1200 * kMs));
    CHECK_FALSE(hold.release_confirmed(1200 * kMs));  // decode has taken what it needs
    CHECK(hold.state() == HoldState::taken);
    CHECK(hold.release_due() == kNever);
    CHECK(hold.record(Event::request_over, 2000 * kMs));
    CHECK(hold.release_due() == kNever);
  }
  SUBCASE("a prefill is lost") {
    CHECK(hold.record_attempt(Event::prefill_lost, 300 * kMs, 0));
    CHECK(hold.release_due() < 300 * kMs + kMaxHeld);
  }
  SUBCASE("a prefill remains outstanding: it may have ended") {
    CHECK(hold.release_due() < 90 * kMs + kMaxHeld);
  }
  SUBCASE("another decode attempt is lost") { CHECK(hold.record_attempt(Event::decode_lost, 300 * kMs, 3)); }
  SUBCASE("another decode attempt is answered") {
    CHECK(hold.record_attempt(Event::decode_answered, 300 * kMs, 3));
  }
}

TEST_CASE("an answer, which may have been in transit for long, delays a release by a moment at most") {
  SUBCASE("of a prefill") {
    KvHold hold = with_prefill_outstanding();
    CHECK(hold.record_attempt(Event::prefill_done, 950 * kMs, 0));
    CHECK(hold.release_due() > 950 * kMs);  // for a decode attempt that follows at once
    CHECK(hold.release_due() < kMaxHeld);
  }
  SUBCASE("of a decode attempt that waited when the latest release arrived") {
    KvHold hold = with_decode_outstanding();
    release(hold, 800 * kMs, true);
    CHECK(hold.record_attempt(Event::decode_answered, 1780 * kMs, 1));
    CHECK(hold.release_due() > 1780 * kMs);
    CHECK(hold.release_due() < 800 * kMs + kMaxHeld);
  }
}

TEST_CASE(
    "releases are sent to the worker heard from last, then to each other one, then again on new "
    "connections") {
  std::vector<ReleaseCandidate> workers{{0, 10, 0}, {1, 30, 0}, {2, 20, 0}};
  std::string order;
  for (int i = 0; i < 6; ++i) {
    const int next = next_release_target(workers).worker;
    auto& candidate = workers[static_cast<std::size_t>(next)];
    // n: on a new connection, k: on a kept one.
    order += std::to_string(next) + (needs_new_connection(candidate) ? "n " : "k ");
    ++candidate.calls_made;
  }
  CHECK(order == "1k 2k 0k 1n 2n 0n ");
  CHECK(next_release_target({{0, 30, 0}, {1, 10, 0, true}, {2, 20, 0}}).worker ==
        1);  // its response would also prove the lost attempt over
  CHECK(delay_before_next_call(kLimit, 0) == 25 * kMs);
  CHECK(delay_before_next_call(kLimit, 100) == 800 * kMs);
}

}  // namespace cressrill::testing
