// Tests of the soak checker on hand-written records: which breaches it must report for each rule, and what it
// must accept. Times are in milliseconds after the start of the soak.
#include <doctest/doctest.h>

#include <string>

#include "rig/soak/checker.h"

namespace cressrill::testing {

namespace {

using Line = rig::Recorder::Line;
using Lines = std::vector<Line>;

constexpr io::Nanos kSoakStart = 100 * io::kSecond;

Line line(std::int64_t at_ms, const char* event, const Line& fields) {
  Line out{{"t", kSoakStart + at_ms * io::kMs}, {"e", event}};
  out.update(fields);
  return out;
}
Line sent(std::int64_t at, const char* kind = "chat", int budget_ms = 2000) {
  return line(at, "sent",
              {{"id", "a"},
               {"kind", kind},
               {"budget_ms", budget_ms},
               {"router", "r"},
               {"first", true},
               {"began", kSoakStart + (at - 95) * io::kMs}});
}
Line response(std::int64_t at, int status = 200) {
  return line(at, "answer", {{"id", "a"}, {"status", status}});
}
Line attempt_arrives(std::int64_t at, const char* worker, bool is_prefill, int number = 1,
                     int budget_ms = 100) {
  return line(at, "post",
              {{"id", "a"},
               {"worker", worker},
               {"number", number},
               {"reads", is_prefill},
               {"budget_ms", budget_ms},
               {"came", kSoakStart + at * io::kMs}});
}
Line worker_event(std::int64_t at, const char* event, const char* worker, int number = 1) {
  return line(at, event, {{"id", "a"}, {"worker", worker}, {"number", number}});
}
Line end_of_soak() { return line(20'000, "end", Line::object()); }

std::size_t count_breaches(Lines lines, int limit_ms = 500) {
  lines.push_back(end_of_soak());
  return rig::soak::check(std::move(lines), {.kv_hold_limit = limit_ms * io::kMs}).breaches.size();
}
Lines operator+(Lines lines, const Lines& more) {
  lines.insert(lines.end(), more.begin(), more.end());
  return lines;
}

// A request whose prefill leaves KV cache held at 20 ms and that no decode attempt follows.
const Lines kHeldPrefill{sent(0), attempt_arrives(10, "prefill-0-0", true),
                         worker_event(20, "held", "prefill-0-0"), worker_event(21, "post_end", "prefill-0-0"),
                         response(1500, 503)};

}  // namespace

TEST_CASE("soak checker: KV cache must be taken or released in time") {
  CHECK(count_breaches(kHeldPrefill + Lines{worker_event(700, "released", "decode-1-0")}) == 0);
  CHECK(count_breaches(kHeldPrefill + Lines{worker_event(900, "released", "decode-1-0")}) == 1);
  CHECK(count_breaches(kHeldPrefill) == 1);
  CHECK(count_breaches(kHeldPrefill + Lines{attempt_arrives(30, "decode-1-0", false),
                                            worker_event(40, "fetched", "decode-1-0"),
                                            worker_event(90, "post_end", "decode-1-0")}) == 0);
}

TEST_CASE("soak checker: held time ends at the first take or release, not at a later one") {
  const Lines fetched{attempt_arrives(30, "decode-1-0", false), worker_event(40, "fetched", "decode-1-0"),
                      worker_event(90, "post_end", "decode-1-0")};
  CHECK(count_breaches(kHeldPrefill + fetched + Lines{worker_event(5000, "released", "prefill-0-0")}) == 0);
  CHECK(count_breaches(kHeldPrefill + Lines{worker_event(300, "released", "decode-1-0"),
                                            worker_event(5000, "released", "decode-1-0")}) == 0);
  CHECK(count_breaches(kHeldPrefill + Lines{worker_event(1200, "released", "decode-1-0"),
                                            worker_event(1300, "released", "decode-1-0")}) == 1);
}

TEST_CASE("soak checker: only an attempt at a worker during the hold stops the hold clock") {
  const Lines waiting_decode{attempt_arrives(300, "decode-1-0", false),
                             worker_event(2300, "post_end", "decode-1-0")};
  CHECK(count_breaches(kHeldPrefill + waiting_decode + Lines{worker_event(2900, "released", "decode-1-0")}) ==
        0);
  CHECK(count_breaches(kHeldPrefill + waiting_decode + Lines{worker_event(3500, "released", "decode-1-0")}) ==
        1);
  const Lines late_decode{attempt_arrives(1500, "decode-1-0", false),
                          worker_event(1510, "post_end", "decode-1-0")};
  CHECK(count_breaches(kHeldPrefill + late_decode + Lines{worker_event(1600, "released", "decode-1-0")}) ==
        1);
  // A release does not free KV cache that a decode attempt waits for.
  CHECK(count_breaches(kHeldPrefill + waiting_decode + Lines{worker_event(700, "released", "prefill-0-0")}) ==
        1);
}

TEST_CASE(
    "soak checker: time after a kill does not count for KV cache held at the kill, all other time does") {
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(count_breaches(kHeldPrefill + Lines{killed(400)}) == 0);
  // The limit was already exceeded at the kill.
  CHECK(count_breaches(kHeldPrefill + Lines{killed(900)}) == 1);
  CHECK(count_breaches(kHeldPrefill + Lines{killed(400), killed(900)}) == 0);
  const Line worker_killed = line(900, "killed", {{"process", "prefill-0-0"}});
  CHECK(count_breaches(kHeldPrefill + Lines{worker_killed}) == 1);
  const Lines released{worker_event(700, "released", "decode-1-0")};
  CHECK(count_breaches(kHeldPrefill + released + Lines{killed(900)}) == 0);
  CHECK(count_breaches(Lines{killed(5)} + kHeldPrefill) == 1);
  CHECK(count_breaches({sent(0), line(8000, "killed", {{"process", "r"}}),
                        line(9000, "no_answer", {{"id", "a"}, {"how", "closed"}})}) == 1);
  CHECK(count_breaches({sent(0), line(800, "killed", {{"process", "r"}}),
                        line(801, "no_answer", {{"id", "a"}, {"how", "closed"}})}) == 0);
}

TEST_CASE("soak checker: late and missing responses are reported") {
  CHECK(count_breaches({sent(0), response(2400, 503)}) == 0);
  CHECK(count_breaches({sent(0), response(2600, 503)}) == 1);
  CHECK(count_breaches({sent(0), line(9000, "no_answer", {{"id", "a"}, {"how", "nothing came"}})}) == 1);
}

TEST_CASE(
    "soak checker: repeats of requests that must not run twice, or only within a window, are reported") {
  const Lines one_decode{attempt_arrives(100, "decode-1-0", false),
                         worker_event(110, "post_end", "decode-1-0"), response(3000)};
  const auto repeat_at = [](std::int64_t at) {
    return Lines{attempt_arrives(at, "decode-2-0", false), worker_event(at + 5, "post_end", "decode-2-0")};
  };
  CHECK(count_breaches(Lines{sent(0, "pay")} + one_decode) == 0);
  CHECK(count_breaches(Lines{sent(0, "pay")} + one_decode + repeat_at(300)) == 1);
  CHECK(count_breaches(Lines{sent(0, "order")} + one_decode + repeat_at(1600)) == 0);
  CHECK(count_breaches(Lines{sent(0, "order")} + one_decode + repeat_at(1700)) == 1);
  CHECK(count_breaches(Lines{sent(0, "chat")} + one_decode + repeat_at(1700)) == 0);
  // Behind a silent link, a late repeat of an "order" is accepted, but a second attempt of a "pay" is not.
  const Lines outage{line(200, "links_cut", {{"worker", "decode-2"}}),
                     line(1650, "links_pass", {{"worker", "decode-2"}})};
  CHECK(count_breaches(Lines{sent(0, "order")} + one_decode + outage + repeat_at(1700)) == 0);
  CHECK(count_breaches(Lines{sent(0, "pay")} + one_decode + outage + repeat_at(1700)) == 1);
}

TEST_CASE("soak checker: attempts after the client left and budgets beyond the deadline are reported") {
  const auto left = [](std::int64_t at) { return line(at, "left", {{"id", "a"}}); };
  CHECK(count_breaches({sent(0), left(100), attempt_arrives(220, "decode-1-0", false)}) == 0);
  CHECK(count_breaches({sent(0), left(100), attempt_arrives(240, "decode-1-0", false)}) == 1);
  CHECK(count_breaches({sent(0), attempt_arrives(1000, "decode-1-0", false, 1, 1150), response(1100)}) == 0);
  CHECK(count_breaches({sent(0), attempt_arrives(1000, "decode-1-0", false, 1, 1190), response(1100)}) == 1);
}

TEST_CASE(
    "soak checker: stream events delayed by a router are reported, those delayed by a silent link are not") {
  const auto event = [](std::int64_t written, std::int64_t read) {
    return Lines{line(written, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                 line(read, "event_read", {{"id", "a"}, {"index", 0}})};
  };
  const Lines request{sent(0), response(50)};
  CHECK(count_breaches(request + event(100, 420)) == 0);
  CHECK(count_breaches(request + event(100, 440)) == 1);
  const auto outage = [](std::int64_t from, std::int64_t to) {
    return Lines{line(from, "links_cut", {{"worker", "decode-1"}}),
                 line(to, "links_pass", {{"worker", "decode-1"}})};
  };
  CHECK(count_breaches(request + outage(90, 800) + event(100, 810)) == 0);
  CHECK(count_breaches(request + outage(300, 400) + event(100, 440)) == 1);
  // Events of a stream that no client received do not count for the stream that follows.
  const Lines unread_stream{line(60, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                            line(70, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 1}})};
  CHECK(count_breaches(request + unread_stream + event(900, 910) +
                       Lines{line(950, "event_read", {{"id", "a"}, {"index", 1}})}) == 0);
}

TEST_CASE(
    "soak checker: an event counts from the end of a stop between the worker's record and its write, and "
    "from "
    "no other stop") {
  const auto event = [](std::int64_t written, std::int64_t read) {
    return Lines{line(written, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                 line(read, "event_read", {{"id", "a"}, {"index", 0}})};
  };
  const auto stopped = [](std::int64_t at, const char* process) {
    return Lines{line(at, "stopped", {{"process", process}, {"for", 1333 * io::kMs}})};
  };
  const Lines request{sent(0), response(50)};
  CHECK(count_breaches(request + stopped(110, "decode-1-0") + event(100, 1480)) == 0);
  CHECK(count_breaches(request + stopped(90, "decode-1-0") + event(100, 1480)) == 0);
  CHECK(count_breaches(request + stopped(110, "decode-1-0") + event(100, 1780)) == 1);
  CHECK(count_breaches(request + stopped(140, "decode-1-0") + event(100, 1480)) == 1);
  CHECK(count_breaches(request + stopped(110, "decode-2-0") + event(100, 1480)) == 1);
}

TEST_CASE("soak checker: time for which the soak's own process was held up does not count for an event") {
  const Lines stream{sent(0), response(50),
                     line(100, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                     line(600, "event_read", {{"id", "a"}, {"index", 0}})};
  const auto held_up = [](std::int64_t until, int ms) {
    return Lines{line(until, "soak_held_up", {{"for", ms * io::kMs}})};
  };
  CHECK(count_breaches(stream) == 1);
  CHECK(count_breaches(stream + held_up(599, 393)) == 0);
  CHECK(count_breaches(stream + held_up(599, 150)) == 1);
  CHECK(count_breaches(stream + held_up(150, 393)) == 1);
  CHECK(count_breaches(stream + held_up(1100, 393)) == 1);
}

TEST_CASE(
    "soak checker: a drain counts from 6 s after discovery could report it, even if discovery fails later") {
  const Line drain = line(1000, "draining", {{"worker", "decode-1-0"}});
  const auto attempt_at = [](std::int64_t at) {
    return Lines{sent(at - 10), attempt_arrives(at, "decode-1-0", false), response(at + 50)};
  };
  CHECK(count_breaches(Lines{drain} + attempt_at(7500)) == 0);
  CHECK(count_breaches(Lines{drain} + attempt_at(7700)) == 1);
  const Lines outage_before_drain{line(500, "discovery_silent", Line::object()),
                                  line(3000, "discovery_up", Line::object())};
  CHECK(count_breaches(outage_before_drain + Lines{drain} + attempt_at(9400)) == 0);
  CHECK(count_breaches(outage_before_drain + Lines{drain} + attempt_at(9700)) == 1);
  // An outage of discovery that starts later has no effect.
  CHECK(count_breaches(Lines{drain, line(6000, "discovery_silent", Line::object()),
                             line(7650, "discovery_up", Line::object())} +
                       attempt_at(7700)) == 1);
}

TEST_CASE(
    "soak checker: a missing response is accepted if the router was killed while the request was being sent, "
    "but not if it was killed before") {
  const Line no_response = line(400, "no_answer", {{"id", "a"}, {"how", "closed"}});
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(count_breaches({killed(-50), sent(0), no_response}) == 0);
  CHECK(count_breaches({killed(-150), sent(0), no_response}) == 1);
}

TEST_CASE("soak checker: an event still in its proxy when links fall silent is not delayed by the router") {
  const auto event_written = [](std::int64_t at) {
    return line(at, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}});
  };
  const Line read = line(1500, "event_read", {{"id", "a"}, {"index", 0}});
  const Lines outage{line(500, "links_cut", {{"worker", "decode-1"}}),
                     line(1400, "links_pass", {{"worker", "decode-1"}})};
  CHECK(count_breaches(Lines{sent(0), event_written(350), response(1500), read} + outage) == 0);
  CHECK(count_breaches(Lines{sent(0), event_written(200), response(1500), read} + outage) == 1);
}

// Guards against a request that is resent elsewhere although its first router had read it.
TEST_CASE("soak checker: a request that crossed the close of its connection must not have been forwarded") {
  const Line crossed = line(300, "crossed", {{"id", "a"}, {"how", "closed"}});
  const Line forwarded = attempt_arrives(100, "decode-1-0", false);
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(count_breaches({sent(0), crossed}) == 0);
  CHECK(count_breaches({sent(0), forwarded, crossed}) == 1);
  CHECK(count_breaches({sent(0), forwarded, crossed, attempt_arrives(400, "decode-2-0", false)}) == 1);
  CHECK(count_breaches({sent(0), forwarded, killed(250), crossed}) == 0);
  CHECK(count_breaches({sent(0), forwarded, crossed, killed(500)}) == 1);
}

// Guards against reporting unread requests as lost when idle clients use up the descriptors.
TEST_CASE(
    "soak checker: with idle clients a router may close a new connection unread, but no request it has "
    "read") {
  const Lines crowd{line(-500, "crowd_came", Line::object()), line(5000, "crowd_gone", Line::object())};
  const auto no_response = [](std::int64_t at, const char* how) {
    return line(at, "no_answer", {{"id", "a"}, {"how", how}});
  };
  CHECK(count_breaches(crowd + Lines{sent(0), no_response(170, "closed")}) == 0);
  CHECK(count_breaches(crowd + Lines{sent(0), no_response(190, "closed")}) == 1);
  CHECK(count_breaches(crowd + Lines{sent(0), no_response(170, "malformed")}) == 1);
  CHECK(count_breaches(crowd + Lines{sent(0), attempt_arrives(50, "decode-1-0", false),
                                     no_response(170, "closed")}) == 1);
  CHECK(count_breaches({sent(0), no_response(170, "closed")}) == 1);
  CHECK(count_breaches(crowd + Lines{sent(6000), no_response(6170, "closed")}) == 1);
  // For a later request on a connection, clients record a close as "crossed"; with "no_answer" it is lost.
  Line later = sent(0);
  later["first"] = false;
  CHECK(count_breaches(crowd + Lines{later, no_response(170, "closed")}) == 1);
}

TEST_CASE(
    "soak checker: a stream cut by SIGKILL is reported if its request was sent over 0.7 s after SIGTERM") {
  const auto ended = [](std::int64_t term, std::int64_t kill) {
    return Lines{line(term, "terminated", {{"router", "r"}}), line(kill, "late_exit", {{"router", "r"}})};
  };
  const auto stream_cut = [](std::int64_t at) { return line(at, "stream_cut", {{"id", "a"}}); };
  CHECK(count_breaches(Lines{sent(1000), response(1100), stream_cut(3701)} + ended(200, 3700)) == 1);
  CHECK(count_breaches(Lines{sent(1000), response(1100), stream_cut(3701)} + ended(400, 3700)) == 0);
  CHECK(count_breaches(Lines{sent(1000), response(1100), stream_cut(2000)} + ended(200, 3700)) == 0);
  // The router exited by itself, without SIGKILL.
  CHECK(count_breaches(
            {line(200, "terminated", {{"router", "r"}}), sent(1000), response(1100), stream_cut(3701)}) == 0);
}

}  // namespace cressrill::testing
