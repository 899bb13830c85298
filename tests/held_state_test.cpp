// What operators saw: KV cache that prefill workers held for a few requests was neither taken by a decode worker nor released
// within its limit, on days with silent links, hung workers and lost answers. The router's log showed its releases as
// confirmed, or none at all.
// Order of events, first kind: a prefill ends at its worker; its answer is lost on a connection that stays open; as prefills
// had been slow before, the router takes it for one that is merely slow and sends no release until the attempt times out.
// Second kind: a decode attempt arrives at its worker, and its link falls silent; the router gives the attempt up and sends
// releases, which other workers confirm; they free nothing, as the decode worker still waits for the KV cache; the end of the
// attempt reaches the decode worker later, and no release is sent after that.
// Third kind: parallel prefills are out, and the request of one waits on a silent link; the other one's KV cache is taken; the
// link passes again, and the first prefill ends as well; the router sends no release, as it takes the stream that has begun for
// an attempt that is still out, while its end was lost.
// Fourth kind: an answer reaches the router long after its attempt ended at the worker, and the limit counts anew from there.
// Cause: an event on the router's side (a write, a close, a time-out, a confirmed release, the begin of an answer, its arrival)
// stood for what happened to an attempt at another machine.
// Evidence: records of workers in which each release was heard before the attempt's connection ended there, and none after;
// records in which a prefill's end and the first release lie further apart than the limit, beside the router's trace of that
// request, which says "maybe_held" throughout.
#include "kv_hold_monitor.h"

namespace cressrill::testing {

namespace {

using While = HoldWatch::While;

// Ends at the worker after so long without a word to the router.
Act answer_lost(io::Nanos after) { return {"", Act::Then::hold, after, false, true}; }
Act ends_silently(io::Nanos after) { return {"", Act::Then::abandon, after}; }
// Begins its answer, and its end is lost.
Act stream_end_lost() {
  return {.text = Worker::stream_head() + Worker::framed(Worker::event(0)),
          .then = Act::Then::abandon,
          .after = 20 * kMs,
          .takes = true};
}
// The answer is under way for so long.
Act prefill_answer_late(io::Nanos behind) {
  return {.text = "",
          .after = 20 * kMs,
          .usual = false,
          .leaves = true,
          .later = http::response_text(202, "", "{\"cached_tokens\":128}", true),
          .behind = behind};
}
Act refusal_late(io::Nanos behind) {
  return {.text = "",
          .then = Act::Then::abandon,
          .after = 20 * kMs,
          .later = http::response_text(503, "X-Rejected: 1\r\n", "", true),
          .behind = behind};
}
Act slow(io::Nanos after) { return {"", Act::Then::keep, after, true}; }

void act(Site& s, bool reads, const Act& act, std::size_t times = 20) {
  for (auto& w : s.workers)
    if (w->reads == reads) w->acts = std::deque<Act>(times, act);
}
// The router learns that work of that stage takes long.
void learn_slow(Site& s, bool reads, io::Nanos span) {
  warm(s);
  act(s, reads, slow(span), 3);
  for (int i = 0; i < 6; ++i) s.send("slow" + std::to_string(i), Site::call("s" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) REQUIRE(s.answer("slow" + std::to_string(i)).status == 200);
  act(s, reads, {}, 0);
  s.pass(100);
}
void cut(Site& s, bool reads, bool silent = true) {
  for (auto& w : s.workers)
    if (w->reads == reads) w->cut = silent;
}

void nothing_is_left(Site& s, const HoldWatch& watch, int limit_ms) {
  check_held(watch, limit_ms * kMs);
  CHECK(s.states.empty());
}

// Prefills that were slow before end at once, and three of four workers' answers are lost on connections that stay open.
void lose_answers(const char* effect) {
  for (const int limit_ms : {300, 500, 1000})
    for (const bool parallel : {true, false})
      for (const bool cancelling : {true, false}) {
        CAPTURE(limit_ms);
        CAPTURE(parallel);
        CAPTURE(cancelling);
        json settings = with_limit(limit_ms, parallel, cancelling);
        settings["services"][0]["effect"] = effect;
        Site s(4, 4, settings);
        learn_slow(s, true, std::min(400, limit_ms) * kMs);  // what takes longer than the limit may be voided
        act(s, true, answer_lost(30 * kMs));
        s.worker("reader-3").acts.clear();
        HoldWatch watch(s, While::unattended);
        SUBCASE("the client waits") { send_some(s, 12, "3000"); }
        SUBCASE("the client leaves") { send_some(s, 12, "3000", 60 * kMs); }
        SUBCASE("decode workers are silent as well") {
          cut(s, false);
          send_some(s, 12, "3000");
        }
        s.pass(5000);
        nothing_is_left(s, watch, limit_ms);
      }
}

}  // namespace

TEST_CASE("a prefill whose answer is lost: what it left is released within the limit, counted from its end") {
  lose_answers("retryable");
}

TEST_CASE(
    "the last prefill of a request, expected to take 250 ms to half of the limit, and its answer is lost: "
    "what it left is released within the limit, counted from its end") {
  for (const int learned_ms : {150, 200, 250}) {
    CAPTURE(learned_ms);
    Site s(1, 1, with_limit(1000));
    warm(s);
    act(s, true, slow(learned_ms * kMs), 6);
    for (int i = 0; i < 6; ++i) {
      s.send("slow" + std::to_string(i), Site::call("s" + std::to_string(i)));
      s.pass(20);
    }
    s.pass(3000);
    act(s, true, answer_lost(10 * kMs));
    HoldWatch watch(s, While::unattended);
    send_some(s, 1, "4800");
    s.pass(9000);
    check_held(watch, 1000 * kMs);
  }
}

TEST_CASE("a prefill of a request that may not be repeated: the same, however slow prefills have been") {
  lose_answers("fragile");
}

TEST_CASE(
    "a release that was confirmed is followed by others until each attempt is known to be over at its "
    "worker") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    SUBCASE("a decode attempt waits at a worker whose link is silent, past its request's end") {
      Site s(2, 2, with_limit(limit_ms, false, false));
      warm(s);
      act(s, false, ends_silently(2400 * kMs));
      HoldWatch watch(s, While::unattended);
      send_some(s, 4, "1200");
      cut(s, false);  // what has arrived waits there; the end of its connection does not arrive
      s.pass(2500);
      cut(s, false, false);
      s.pass(4000);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("a decode attempt waits on a connection that alone is silent, past its request's end") {
      Site s(2, 2, with_limit(limit_ms, false, false));
      warm(s);
      act(s, false, ends_silently(4000 * kMs));
      HoldWatch watch(s, While::unattended);
      send_some(s, 2, "800");
      s.pass(4200 + limit_ms);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("a decode attempt ends at its worker while the router still waits for its answer") {
      Site s(2, 2, with_limit(limit_ms));
      learn_slow(s, false, 1500 * kMs);
      act(s, false, ends_silently(600 * kMs));
      HoldWatch watch(s, While::unattended);
      send_some(s, 4, "4800");
      s.pass(8000);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("a prefill arrives after the releases of its request, which is over") {
      Site s(2, 2, with_limit(limit_ms));
      warm(s);
      cut(s, true);
      HoldWatch watch(s, While::unattended);
      send_some(s, 4, "400");
      s.pass(1500);
      cut(s, true, false);
      s.pass(4000);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("a prefill arrives after another one's KV cache was taken") {
      Site s(2, 2, with_limit(limit_ms));
      warm(s);
      s.worker("reader-0").cut = true;
      HoldWatch watch(s, While::unattended);
      send_some(s, 8, "4800");
      for (int i = 0; i < 8; ++i) REQUIRE(s.answer("a" + std::to_string(i)).status == 200);
      s.pass(1500);
      s.worker("reader-0").cut = false;
      s.pass(4000);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("a prefill is refused after one whose answer was lost") {
      Site s(1, 2, with_limit(limit_ms));
      warm(s);
      s.worker("reader-0").acts = always_full();
      s.worker("reader-0").acts.push_front(answer_lost(20 * kMs));
      for (auto& w : s.workers) w->loses_releases = true;
      HoldWatch watch(s, While::unattended);
      send_some(s, 1, "3000");
      REQUIRE(
          s.until([&] { return s.lines("POST") >= 9; }));  // the warm ones, the lost one, and a refused one
      s.pass(60);
      for (auto& w : s.workers) w->loses_releases = false;
      s.pass(4000);
      nothing_is_left(s, watch, limit_ms);
    }
    SUBCASE("the process ends while a decode attempt waits at a worker whose link is silent") {
      Site s(2, 2, with_limit(limit_ms, false, false));
      warm(s);
      act(s, false, ends_silently(1800 * kMs));
      HoldWatch watch(s, While::unattended);
      send_some(s, 2, "800");
      cut(s, false);
      s.node->announce_end();
      s.pass(450);
      s.node->drain();
      s.pass(100);
      s.node->close();
      bool settled = false;
      for (int i = 0; i < 31 && !settled; ++i) {  // SIGKILL may come 3.7 s after SIGTERM
        s.pass(100);
        settled = s.node->settled();
        if (i == 12) cut(s, false, false);
      }
      CHECK(settled);
      nothing_is_left(s, watch, limit_ms);
    }
  }
}

TEST_CASE(
    "a prefill that ends after another one's KV cache was taken, while the end of the stream is lost: what "
    "it "
    "left is released within the limit") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    Site s(2, 2, with_limit(limit_ms, true, false));
    warm(s);
    act(s, false, stream_end_lost());
    s.worker("reader-0").cut = true;
    HoldWatch watch(s, While::unattended);
    send_some(s, 4, "4800");
    s.pass(400);
    s.worker("reader-0").cut = false;
    s.pass(2500);
    nothing_is_left(s, watch, limit_ms);
    CHECK(s.node->host().invariants().violations() == 0);
  }
}

TEST_CASE("the limit counts from the end of an attempt at its worker, however late its answer arrives") {
  for (const int limit_ms : {300, 500, 1000})
    for (const int percent : {50, 95}) {
      const io::Nanos behind = limit_ms * kMs * percent / 100;
      CAPTURE(limit_ms);
      CAPTURE(percent);
      Site s(2, 2, with_limit(limit_ms, false, false));
      warm(s);
      HoldWatch watch(s, While::unattended);
      SUBCASE("a prefill, and the links to decode workers are silent") {
        act(s, true, prefill_answer_late(behind));
        cut(s, false);
      }
      SUBCASE("a decode attempt that is refused, and the links to decode workers fall silent") {
        act(s, false, refusal_late(behind));
        send_some(s, 4, "4800");
        s.pass(60);
        cut(s, false);
        s.pass(behind / kMs);
      }
      send_some(s, 4, "4800");
      s.pass(3 * limit_ms);
      check_held(watch, limit_ms * kMs);
    }
}

}  // namespace cressrill::testing
