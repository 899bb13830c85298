// Guards against KV cache that stays at a prefill worker beyond the hold limit, neither fetched nor released,
// although the router's log shows its releases as confirmed, or shows none. Cause: the router took an event
// on its own side (a write, a close, a timeout, a confirmed release, the start or the end of a response) for
// what had happened to an attempt at another machine. The cases:
// 1. A prefill's response is lost on a connection that stays open. As prefills were slow before, the router
//    assumes that this one still runs, and sends no release until the attempt times out.
// 2. A decode attempt waits at its worker behind a silent link. The router abandons it and sends releases,
//    which other workers confirm, but which free nothing while it waits. It ends later, and no release
//    follows.
// 3. Of two parallel prefills, one is behind a silent link, and the KV cache of the other is fetched. The
//    link recovers and the first one ends as well. The router sends no release, as the end of the stream was
//    lost and it takes the stream for an attempt that is still active.
// 4. A response arrives long after its attempt ended at the worker, and the router counts the limit from
//    there.
// Evidence in worker records: no release follows the end of the attempt's connection, or the first release
// comes more than the limit after the prefill's end, while the router's trace of the request says
// "maybe_held".
#include "kv_hold_monitor.h"

namespace cressrill::testing {

namespace {

using Measure = KvHoldMonitor::Measure;

// The prefill ends after `delay`, and its response is lost.
ScriptedResponse lost_response(io::Nanos delay) {
  return {"", ScriptedResponse::Finish::hang, delay, false, true};
}
// The attempt ends at its worker after `delay`, and the router does not notice.
ScriptedResponse end_silently(io::Nanos delay) { return {"", ScriptedResponse::Finish::end_silently, delay}; }
// The stream starts, and its end is lost.
ScriptedResponse lost_stream_end() {
  return {.response = FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0)),
          .finish = ScriptedResponse::Finish::end_silently,
          .delay = 20 * kMs,
          .takes_kv = true};
}
// The response arrives `late_delay` after the prefill ended.
ScriptedResponse late_prefill_response(io::Nanos late_delay) {
  return {.response = "",
          .delay = 20 * kMs,
          .use_default = false,
          .leaves_kv = true,
          .late_response = http::format_response(202, "", "{\"cached_tokens\":128}", true),
          .late_delay = late_delay};
}
// The worker rejects the attempt, and its response arrives `late_delay` later.
ScriptedResponse late_rejection(io::Nanos late_delay) {
  return {.response = "",
          .finish = ScriptedResponse::Finish::end_silently,
          .delay = 20 * kMs,
          .late_response = http::format_response(503, "X-Rejected: 1\r\n", "", true),
          .late_delay = late_delay};
}
ScriptedResponse slow_response(io::Nanos delay) {
  return {"", ScriptedResponse::Finish::keep_alive, delay, true};
}

// Scripts the next responses of all prefill workers, or of all decode workers.
void script_workers(PlatformFixture& fixture, bool is_prefill, const ScriptedResponse& response,
                    std::size_t count = 20) {
  for (auto& worker : fixture.workers)
    if (worker->is_prefill == is_prefill) worker->script = std::deque<ScriptedResponse>(count, response);
}
// Lets the router learn that attempts of one stage take `duration`.
void learn_slow_attempts(PlatformFixture& fixture, bool is_prefill, io::Nanos duration) {
  warm_up(fixture);
  script_workers(fixture, is_prefill, slow_response(duration), 3);
  for (int i = 0; i < 6; ++i)
    fixture.send("slow" + std::to_string(i), PlatformFixture::request("s" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) REQUIRE(fixture.response("slow" + std::to_string(i)).status == 200);
  script_workers(fixture, is_prefill, {}, 0);
  fixture.run_for(100);
}
void silence_links(PlatformFixture& fixture, bool is_prefill, bool silent = true) {
  for (auto& worker : fixture.workers)
    if (worker->is_prefill == is_prefill) worker->link_silent = silent;
}

void check_released(PlatformFixture& fixture, const KvHoldMonitor& monitor, int limit_ms) {
  check_longest_hold(monitor, limit_ms * kMs);
  CHECK(fixture.kv_entries.empty());
}

// Prefills were slow before and now take 30 ms. The responses of three of the four prefill workers are lost
// on connections that stay open.
void check_lost_responses(const char* effect) {
  for (const int limit_ms : {300, 500, 1000})
    for (const bool parallel : {true, false})
      for (const bool cancelling : {true, false}) {
        CAPTURE(limit_ms);
        CAPTURE(parallel);
        CAPTURE(cancelling);
        json settings = settings_with_hold_limit(limit_ms, parallel, cancelling);
        settings["services"][0]["effect"] = effect;
        PlatformFixture fixture(4, 4, settings);
        // A release may discard a prefill that takes longer than the limit.
        learn_slow_attempts(fixture, true, std::min(400, limit_ms) * kMs);
        script_workers(fixture, true, lost_response(30 * kMs));
        fixture.worker("reader-3").script.clear();
        KvHoldMonitor monitor(fixture, Measure::unattended);
        SUBCASE("the client waits") { send_requests(fixture, 12, "3000"); }
        SUBCASE("the client leaves") { send_requests(fixture, 12, "3000", 60 * kMs); }
        SUBCASE("decode workers are silent as well") {
          silence_links(fixture, false);
          send_requests(fixture, 12, "3000");
        }
        fixture.run_for(5000);
        check_released(fixture, monitor, limit_ms);
      }
}

}  // namespace

TEST_CASE("a prefill whose answer is lost: what it left is released within the limit, counted from its end") {
  check_lost_responses("retryable");
}

TEST_CASE(
    "the response of a request's last prefill, expected to take from 250 ms to half of the limit, is lost: "
    "its KV cache is released within the limit, counted from its end") {
  for (const int learned_ms : {150, 200, 250}) {
    CAPTURE(learned_ms);
    PlatformFixture fixture(1, 1, settings_with_hold_limit(1000));
    warm_up(fixture);
    script_workers(fixture, true, slow_response(learned_ms * kMs), 6);
    for (int i = 0; i < 6; ++i) {
      fixture.send("slow" + std::to_string(i), PlatformFixture::request("s" + std::to_string(i)));
      fixture.run_for(20);
    }
    fixture.run_for(3000);
    script_workers(fixture, true, lost_response(10 * kMs));
    KvHoldMonitor monitor(fixture, Measure::unattended);
    send_requests(fixture, 1, "4800");
    fixture.run_for(9000);
    check_longest_hold(monitor, 1000 * kMs);
  }
}

TEST_CASE(
    "the response of a prefill that may not be repeated is lost: its KV cache is released within the limit, "
    "however slow prefills were before") {
  check_lost_responses("fragile");
}

TEST_CASE(
    "releases are sent again after a confirmed one until each attempt is known to have ended at its worker") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    SUBCASE("a decode attempt waits behind a silent link after its request has ended") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms, false, false));
      warm_up(fixture);
      script_workers(fixture, false, end_silently(2400 * kMs));
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 4, "1200");
      // The attempts wait at their workers, as the close of their connections does not arrive there.
      silence_links(fixture, false);
      fixture.run_for(2500);
      silence_links(fixture, false, false);
      fixture.run_for(4000);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("a decode attempt waits on a silent connection, while others work, after its request has ended") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms, false, false));
      warm_up(fixture);
      script_workers(fixture, false, end_silently(4000 * kMs));
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 2, "800");
      fixture.run_for(4200 + limit_ms);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("a decode attempt ends at its worker while the router still waits for its response") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms));
      learn_slow_attempts(fixture, false, 1500 * kMs);
      script_workers(fixture, false, end_silently(600 * kMs));
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 4, "4800");
      fixture.run_for(8000);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("a prefill arrives after its request has ended and the releases were sent") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms));
      warm_up(fixture);
      silence_links(fixture, true);
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 4, "400");
      fixture.run_for(1500);
      silence_links(fixture, true, false);
      fixture.run_for(4000);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("a prefill arrives after the KV cache of a parallel one was fetched") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms));
      warm_up(fixture);
      fixture.worker("reader-0").link_silent = true;
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 8, "4800");
      for (int i = 0; i < 8; ++i) REQUIRE(fixture.response("a" + std::to_string(i)).status == 200);
      fixture.run_for(1500);
      fixture.worker("reader-0").link_silent = false;
      fixture.run_for(4000);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("a prefill is rejected after one whose response was lost") {
      PlatformFixture fixture(1, 2, settings_with_hold_limit(limit_ms));
      warm_up(fixture);
      fixture.worker("reader-0").script = always_reject();
      fixture.worker("reader-0").script.push_front(lost_response(20 * kMs));
      for (auto& worker : fixture.workers) worker->ignores_releases = true;
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 1, "3000");
      // The attempts of warm_up(), the prefill whose response is lost, and a rejected one.
      REQUIRE(fixture.run_until([&] { return fixture.count_requests("POST") >= 9; }));
      fixture.run_for(60);
      for (auto& worker : fixture.workers) worker->ignores_releases = false;
      fixture.run_for(4000);
      check_released(fixture, monitor, limit_ms);
    }
    SUBCASE("the process shuts down while a decode attempt waits behind a silent link") {
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms, false, false));
      warm_up(fixture);
      script_workers(fixture, false, end_silently(1800 * kMs));
      KvHoldMonitor monitor(fixture, Measure::unattended);
      send_requests(fixture, 2, "800");
      silence_links(fixture, false);
      fixture.node->announce_shutdown();
      fixture.run_for(450);
      fixture.node->drain();
      fixture.run_for(100);
      fixture.node->close();
      bool settled = false;
      for (int i = 0; i < 31 && !settled; ++i) {  // SIGKILL may follow SIGTERM after 3.7 s
        fixture.run_for(100);
        settled = fixture.node->settled();
        if (i == 12) silence_links(fixture, false, false);
      }
      CHECK(settled);
      check_released(fixture, monitor, limit_ms);
    }
  }
}

TEST_CASE(
    "a prefill ends after the KV cache of a parallel one was fetched, and the end of the stream is lost: its "
    "KV cache is released within the limit") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms, true, false));
    warm_up(fixture);
    script_workers(fixture, false, lost_stream_end());
    fixture.worker("reader-0").link_silent = true;
    KvHoldMonitor monitor(fixture, Measure::unattended);
    send_requests(fixture, 4, "4800");
    fixture.run_for(400);
    fixture.worker("reader-0").link_silent = false;
    fixture.run_for(2500);
    check_released(fixture, monitor, limit_ms);
    CHECK(fixture.node->host().invariants().violations() == 0);
  }
}

TEST_CASE("the limit counts from an attempt's end at its worker, however late its response arrives") {
  for (const int limit_ms : {300, 500, 1000})
    for (const int percent : {50, 95}) {
      const io::Nanos late_delay = limit_ms * kMs * percent / 100;
      CAPTURE(limit_ms);
      CAPTURE(percent);
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms, false, false));
      warm_up(fixture);
      KvHoldMonitor monitor(fixture, Measure::unattended);
      SUBCASE("a prefill, and the links to decode workers are silent") {
        script_workers(fixture, true, late_prefill_response(late_delay));
        silence_links(fixture, false);
      }
      SUBCASE("a decode attempt that is rejected, and the links to decode workers fall silent") {
        script_workers(fixture, false, late_rejection(late_delay));
        send_requests(fixture, 4, "4800");
        fixture.run_for(60);
        silence_links(fixture, false);
        fixture.run_for(late_delay / kMs);
      }
      send_requests(fixture, 4, "4800");
      fixture.run_for(3 * limit_ms);
      check_longest_hold(monitor, limit_ms * kMs);
    }
}

}  // namespace cressrill::testing
