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
using Event = HoldEvent;

// A prefill that was written at 0, expected to end at 100 ms, and said to be done at 50 ms.
KvHold prefilled() {
  KvHold hold(kLimit);
  CHECK(hold.note(Event::prefill_written, 0, 100 * kMs));
  CHECK(hold.note(Event::prefill_done, 50 * kMs));
  return hold;
}

}  // namespace

TEST_CASE("a write that is out stops no clock, however it ends without an answer") {
  for (const Event end : {Event::decode_lost, Event::decode_not_run}) {
    KvHold hold = prefilled();
    const Nanos due = hold.release_due();
    CHECK(due == 50 * kMs + kLimit * 3 / 4);
    CHECK(hold.note(Event::decode_written, 60 * kMs));
    CHECK(hold.release_due() == due);
    CHECK(hold.note(end, 500 * kMs));
    CHECK(hold.release_due() == due);
    CHECK(hold.confirmed_until() == 50 * kMs + kLimit);
  }
}

TEST_CASE("an answer proves that a write had arrived: the limit starts anew") {
  KvHold hold = prefilled();
  hold.note(Event::decode_written, 60 * kMs);
  CHECK(hold.note(Event::decode_answered, 500 * kMs));
  CHECK(hold.release_due() == 500 * kMs + kLimit * 3 / 4);
}

TEST_CASE("what a release has freed is owed again where a write may have waited for it") {
  KvHold hold = prefilled();
  hold.note(Event::decode_written, 60 * kMs);
  CHECK(hold.note(Event::release_asked, 800 * kMs));
  CHECK(hold.note(Event::release_confirmed, 810 * kMs));
  CHECK(hold.state() == HoldState::released);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.note(Event::decode_lost, 900 * kMs));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.release_due() > 900 * kMs);
  CHECK(hold.release_due() < 900 * kMs + kLimit + 300 * kMs);
}

TEST_CASE("a lost prefill is owed from its end, and its successor stops no clock") {
  KvHold hold(kLimit);
  hold.note(Event::prefill_written, 0, 100 * kMs);
  CHECK(hold.note(Event::prefill_lost, 60 * kMs, 500 * kMs));
  CHECK(hold.state() == HoldState::maybe_held);
  CHECK(hold.note(Event::release_wanted, 60 * kMs));
  CHECK(hold.release_comes_first());
  CHECK(hold.release_due() == 60 * kMs);
  CHECK(hold.note(Event::prefill_written, 85 * kMs, 300 * kMs));
  CHECK_FALSE(hold.release_comes_first());
  const Nanos due = hold.release_due();
  CHECK(due > 85 * kMs);
  CHECK(due < 60 * kMs + kLimit + 300 * kMs);
  SUBCASE("its successor's answer starts the limit anew") {
    CHECK(hold.note(Event::prefill_done, 200 * kMs));
    CHECK(hold.release_due() == 200 * kMs + kLimit * 3 / 4);
  }
  SUBCASE("its successor's loss does not") {
    CHECK(hold.note(Event::prefill_lost, 400 * kMs, 500 * kMs));
    CHECK(hold.release_due() == due);
  }
  SUBCASE("the request's end is the moment for a release") {
    CHECK(hold.note(Event::request_over, 400 * kMs));
    CHECK(hold.release_due() <= 400 * kMs);
  }
}

TEST_CASE("a first prefill that is merely slow is not released ahead of its time-out") {
  KvHold hold(kLimit);
  hold.note(Event::prefill_written, 0, 700 * kMs);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.note(Event::prefill_lost, 2300 * kMs, 2300 * kMs));
  CHECK(hold.release_due() < 2300 * kMs + kLimit + 300 * kMs);
}

TEST_CASE("what is proved not to have run leaves nothing") {
  KvHold hold(kLimit);
  hold.note(Event::prefill_written, 0, 100 * kMs);
  CHECK(hold.note(Event::prefill_refused, 30 * kMs));
  CHECK(hold.state() == HoldState::none);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.note(Event::request_over, 40 * kMs));
  CHECK(hold.release_due() == kNever);
}

TEST_CASE("a prefill that is lost as its request ends is released again until its worker has given it up") {
  KvHold hold(kLimit);
  hold.note(Event::prefill_written, 0, 100 * kMs);
  hold.note(Event::request_over, 10 * kMs);
  hold.note(Event::prefill_lost, 10 * kMs, 900 * kMs);
  hold.note(Event::release_asked, 10 * kMs);
  CHECK(hold.note(Event::release_confirmed, 15 * kMs));
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos again = hold.release_due();
  CHECK(again < 15 * kMs + kLimit + 300 * kMs);
  hold.note(Event::release_asked, again);
  CHECK(hold.note(Event::release_confirmed, again + kMs));
  CHECK(hold.state() == HoldState::released);
}

TEST_CASE("a release that may have come before the end of the attempt it was for is followed by another") {
  KvHold hold = prefilled();
  hold.note(Event::decode_written, 60 * kMs);
  hold.note(Event::request_over, 100 * kMs);
  hold.note(Event::decode_lost, 100 * kMs);
  hold.note(Event::release_asked, 100 * kMs);
  CHECK(hold.note(Event::release_confirmed, 102 * kMs));
  CHECK(hold.state() == HoldState::maybe_held);
  const Nanos again = hold.release_due();
  CHECK(again > 150 * kMs);
  CHECK(again < 100 * kMs + kLimit + 300 * kMs);
  hold.note(Event::release_asked, again);
  CHECK(hold.note(Event::release_confirmed, again + kMs));
  CHECK(hold.state() == HoldState::released);
}

TEST_CASE("a begun answer has taken what was held; what cannot follow is refused") {
  KvHold hold = prefilled();
  hold.note(Event::decode_written, 60 * kMs);
  CHECK(hold.note(Event::decode_begun, 90 * kMs));
  CHECK(hold.state() == HoldState::taken);
  CHECK(hold.release_due() == kNever);
  CHECK(hold.note(Event::request_over, 400 * kMs));
  CHECK(hold.state() == HoldState::taken);
  CHECK_FALSE(hold.note(Event::prefill_written, 410 * kMs, 500 * kMs));
  CHECK_FALSE(hold.note(Event::decode_begun, 410 * kMs));
  CHECK_FALSE(hold.note(Event::release_asked, 410 * kMs));
}

TEST_CASE("who is told: the one heard of last, then each of the others, then again on new connections") {
  std::vector<ReleaseCandidate> workers{{0, 10, 0}, {1, 30, 0}, {2, 20, 0}};
  std::string order;
  for (int i = 0; i < 6; ++i) {
    const int next = next_to_tell(workers).worker;
    auto& told = workers[static_cast<std::size_t>(next)];
    order += std::to_string(next) + (needs_new_connection(told) ? "n " : "k ");
    ++told.told;
  }
  CHECK(order == "1k 2k 0k 1n 2n 0n ");
  CHECK(pause_before_next_call(kLimit, 0) == 25 * kMs);
  CHECK(pause_before_next_call(kLimit, 100) == 800 * kMs);
}

}  // namespace cressrill::testing
