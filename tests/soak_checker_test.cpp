// The soak's judge, on records written by hand: what it must condemn, and what it must pass, for each rule. Times in ms.
#include <doctest/doctest.h>

#include <string>

#include "rig/soak/checker.h"

namespace cressrill::testing {

namespace {

using Line = rig::Recorder::Line;
using Lines = std::vector<Line>;

constexpr io::Nanos kBegan = 100 * io::kSecond;

Line line(std::int64_t at_ms, const char* event, const Line& more) {
  Line out{{"t", kBegan + at_ms * io::kMs}, {"e", event}};
  out.update(more);
  return out;
}
Line sent(std::int64_t at, const char* kind = "chat", int budget_ms = 2000) {
  return line(at, "sent",
              {{"id", "a"},
               {"kind", kind},
               {"budget_ms", budget_ms},
               {"router", "r"},
               {"first", true},
               {"began", kBegan + (at - 95) * io::kMs}});
}
Line answer(std::int64_t at, int status = 200) {
  return line(at, "answer", {{"id", "a"}, {"status", status}});
}
Line post(std::int64_t at, const char* worker, bool reads, int number = 1, int budget_ms = 100) {
  return line(at, "post",
              {{"id", "a"},
               {"worker", worker},
               {"number", number},
               {"reads", reads},
               {"budget_ms", budget_ms},
               {"came", kBegan + at * io::kMs}});
}
Line of_worker(std::int64_t at, const char* event, const char* worker, int number = 1) {
  return line(at, event, {{"id", "a"}, {"worker", worker}, {"number", number}});
}
Line end_of_play() { return line(20'000, "end", Line::object()); }

std::size_t breaches(Lines lines, int limit_ms = 500) {
  lines.push_back(end_of_play());
  return rig::soak::check(std::move(lines), {.held_for = limit_ms * io::kMs}).breaches.size();
}
Lines operator+(Lines lines, const Lines& more) {
  lines.insert(lines.end(), more.begin(), more.end());
  return lines;
}

// A read that leaves something at 20 ms.
const Lines kRead{sent(0), post(10, "prefill-0-0", true), of_worker(20, "held", "prefill-0-0"),
                  of_worker(21, "post_end", "prefill-0-0"), answer(1500, 503)};

}  // namespace

TEST_CASE("the judge: held state that is released or taken in time passes, and is condemned else") {
  CHECK(breaches(kRead + Lines{of_worker(700, "released", "decode-1-0")}) == 0);
  CHECK(breaches(kRead + Lines{of_worker(900, "released", "decode-1-0")}) == 1);
  CHECK(breaches(kRead) == 1);
  CHECK(breaches(kRead + Lines{post(30, "decode-1-0", false), of_worker(40, "fetched", "decode-1-0"),
                               of_worker(90, "post_end", "decode-1-0")}) == 0);
}

TEST_CASE("the judge: the first event that frees counts, not a later one") {
  const Lines fetched{post(30, "decode-1-0", false), of_worker(40, "fetched", "decode-1-0"),
                      of_worker(90, "post_end", "decode-1-0")};
  CHECK(breaches(kRead + fetched + Lines{of_worker(5000, "released", "prefill-0-0")}) == 0);
  CHECK(breaches(kRead + Lines{of_worker(300, "released", "decode-1-0"),
                               of_worker(5000, "released", "decode-1-0")}) == 0);
  CHECK(breaches(kRead + Lines{of_worker(1200, "released", "decode-1-0"),
                               of_worker(1300, "released", "decode-1-0")}) == 1);
}

TEST_CASE("the judge: an attempt that arrived rests the clock, one before or after does not") {
  const Lines waits{post(300, "decode-1-0", false), of_worker(2300, "post_end", "decode-1-0")};
  CHECK(breaches(kRead + waits + Lines{of_worker(2900, "released", "decode-1-0")}) == 0);
  CHECK(breaches(kRead + waits + Lines{of_worker(3500, "released", "decode-1-0")}) == 1);
  const Lines late{post(1500, "decode-1-0", false), of_worker(1510, "post_end", "decode-1-0")};
  CHECK(breaches(kRead + late + Lines{of_worker(1600, "released", "decode-1-0")}) == 1);
  // A release frees nothing that an attempt waits for.
  CHECK(breaches(kRead + waits + Lines{of_worker(700, "released", "prefill-0-0")}) == 1);
}

TEST_CASE("the judge: a kill excuses what its router held then, and nothing before or after") {
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(breaches(kRead + Lines{killed(400)}) == 0);
  // It was held for too long before.
  CHECK(breaches(kRead + Lines{killed(900)}) == 1);
  CHECK(breaches(kRead + Lines{killed(400), killed(900)}) == 0);
  const Line worker_killed = line(900, "killed", {{"process", "prefill-0-0"}});
  CHECK(breaches(kRead + Lines{worker_killed}) == 1);
  const Lines released{of_worker(700, "released", "decode-1-0")};
  CHECK(breaches(kRead + released + Lines{killed(900)}) == 0);
  CHECK(breaches(Lines{killed(5)} + kRead) == 1);
  CHECK(breaches({sent(0), line(8000, "killed", {{"process", "r"}}),
                  line(9000, "no_answer", {{"id", "a"}, {"how", "closed"}})}) == 1);
  CHECK(breaches({sent(0), line(800, "killed", {{"process", "r"}}),
                  line(801, "no_answer", {{"id", "a"}, {"how", "closed"}})}) == 0);
}

TEST_CASE("the judge: answers in time and late") {
  CHECK(breaches({sent(0), answer(2400, 503)}) == 0);
  CHECK(breaches({sent(0), answer(2600, 503)}) == 1);
  CHECK(breaches({sent(0), line(9000, "no_answer", {{"id", "a"}, {"how", "nothing came"}})}) == 1);
}

TEST_CASE("the judge: repeats of what must not run twice, or not past its window") {
  const Lines once{post(100, "decode-1-0", false), of_worker(110, "post_end", "decode-1-0"), answer(3000)};
  const auto again = [](std::int64_t at) {
    return Lines{post(at, "decode-2-0", false), of_worker(at + 5, "post_end", "decode-2-0")};
  };
  CHECK(breaches(Lines{sent(0, "pay")} + once) == 0);
  CHECK(breaches(Lines{sent(0, "pay")} + once + again(300)) == 1);
  CHECK(breaches(Lines{sent(0, "order")} + once + again(1600)) == 0);
  CHECK(breaches(Lines{sent(0, "order")} + once + again(1700)) == 1);
  CHECK(breaches(Lines{sent(0, "chat")} + once + again(1700)) == 0);
  // Silent links bring an order late, and excuse no second payment.
  const Lines cut{line(200, "links_cut", {{"worker", "decode-2"}}),
                  line(1650, "links_pass", {{"worker", "decode-2"}})};
  CHECK(breaches(Lines{sent(0, "order")} + once + cut + again(1700)) == 0);
  CHECK(breaches(Lines{sent(0, "pay")} + once + cut + again(1700)) == 1);
}

TEST_CASE("the judge: attempts for a client that has left, and deadlines that are passed on too long") {
  const auto left = [](std::int64_t at) { return line(at, "left", {{"id", "a"}}); };
  CHECK(breaches({sent(0), left(100), post(220, "decode-1-0", false)}) == 0);
  CHECK(breaches({sent(0), left(100), post(240, "decode-1-0", false)}) == 1);
  CHECK(breaches({sent(0), post(1000, "decode-1-0", false, 1, 1150), answer(1100)}) == 0);
  CHECK(breaches({sent(0), post(1000, "decode-1-0", false, 1, 1190), answer(1100)}) == 1);
}

TEST_CASE("the judge: events that a router holds back, and those that a silent link does") {
  const auto event = [](std::int64_t written, std::int64_t read) {
    return Lines{line(written, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                 line(read, "event_read", {{"id", "a"}, {"index", 0}})};
  };
  const Lines request{sent(0), answer(50)};
  CHECK(breaches(request + event(100, 420)) == 0);
  CHECK(breaches(request + event(100, 440)) == 1);
  const auto cut = [](std::int64_t from, std::int64_t to) {
    return Lines{line(from, "links_cut", {{"worker", "decode-1"}}),
                 line(to, "links_pass", {{"worker", "decode-1"}})};
  };
  CHECK(breaches(request + cut(90, 800) + event(100, 810)) == 0);
  CHECK(breaches(request + cut(300, 400) + event(100, 440)) == 1);
  // The last event of a stream that nobody got is no earlier one of the next stream.
  const Lines lost{line(60, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}}),
                   line(70, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 1}})};
  CHECK(breaches(request + lost + event(900, 910) +
                 Lines{line(950, "event_read", {{"id", "a"}, {"index", 1}})}) == 0);
}

TEST_CASE(
    "the judge: a drain is told 6 s after discovery had it and could be reached, whatever failed later") {
  const Line drain = line(1000, "draining", {{"worker", "decode-1-0"}});
  const auto late = [](std::int64_t at) {
    return Lines{sent(at - 10), post(at, "decode-1-0", false), answer(at + 50)};
  };
  CHECK(breaches(Lines{drain} + late(7500)) == 0);
  CHECK(breaches(Lines{drain} + late(7700)) == 1);
  const Lines silent_then{line(500, "discovery_silent", Line::object()),
                          line(3000, "discovery_up", Line::object())};
  CHECK(breaches(silent_then + Lines{drain} + late(9400)) == 0);
  CHECK(breaches(silent_then + Lines{drain} + late(9700)) == 1);
  // A silence that began later, and its end, move nothing.
  CHECK(breaches(Lines{drain, line(6000, "discovery_silent", Line::object()),
                       line(7650, "discovery_up", Line::object())} +
                 late(7700)) == 1);
}

TEST_CASE(
    "the judge: a request whose router was killed as it was being sent is excused, one killed before is "
    "not") {
  const Line lost = line(400, "no_answer", {{"id", "a"}, {"how", "closed"}});
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(breaches({killed(-50), sent(0), lost}) == 0);
  CHECK(breaches({killed(-150), sent(0), lost}) == 1);
}

TEST_CASE(
    "the judge: an event that its proxy still had as the links fell silent is not held back by the router") {
  const auto event_written = [](std::int64_t at) {
    return line(at, "event", {{"id", "a"}, {"worker", "decode-1-0"}, {"index", 0}});
  };
  const Line read = line(1500, "event_read", {{"id", "a"}, {"index", 0}});
  const Lines silent{line(500, "links_cut", {{"worker", "decode-1"}}),
                     line(1400, "links_pass", {{"worker", "decode-1"}})};
  CHECK(breaches(Lines{sent(0), event_written(350), answer(1500), read} + silent) == 0);
  CHECK(breaches(Lines{sent(0), event_written(200), answer(1500), read} + silent) == 1);
}

// Guards against a request that is sent again elsewhere though its first router had read it.
TEST_CASE("the judge: a request that crossed the end of its connection is lost where it was forwarded") {
  const Line crossed = line(300, "crossed", {{"id", "a"}, {"how", "closed"}});
  const Line forwarded = post(100, "decode-1-0", false);
  const auto killed = [](std::int64_t at) { return line(at, "killed", {{"process", "r"}}); };
  CHECK(breaches({sent(0), crossed}) == 0);
  CHECK(breaches({sent(0), forwarded, crossed}) == 1);
  CHECK(breaches({sent(0), forwarded, crossed, post(400, "decode-2-0", false)}) == 1);
  CHECK(breaches({sent(0), forwarded, killed(250), crossed}) == 0);
  CHECK(breaches({sent(0), forwarded, crossed, killed(500)}) == 1);
}

// Guards against a judge that asks for what nobody read, where idle clients fill the descriptors and connections make way.
TEST_CASE("the judge: beside a crowd a new connection may be shut unread, and no request that was read") {
  const Lines crowd{line(-500, "crowd_came", Line::object()), line(5000, "crowd_gone", Line::object())};
  const auto shut = [](std::int64_t at, const char* how) {
    return line(at, "no_answer", {{"id", "a"}, {"how", how}});
  };
  CHECK(breaches(crowd + Lines{sent(0), shut(170, "closed")}) == 0);
  CHECK(breaches(crowd + Lines{sent(0), shut(190, "closed")}) == 1);
  CHECK(breaches(crowd + Lines{sent(0), shut(170, "malformed")}) == 1);
  CHECK(breaches(crowd + Lines{sent(0), post(50, "decode-1-0", false), shut(170, "closed")}) == 1);
  CHECK(breaches({sent(0), shut(170, "closed")}) == 1);
  CHECK(breaches(crowd + Lines{sent(6000), shut(6170, "closed")}) == 1);
  // A later request on its connection: clients note that the end crossed it, and any other end loses it.
  Line later = sent(0);
  later["first"] = false;
  CHECK(breaches(crowd + Lines{later, shut(170, "closed")}) == 1);
}

TEST_CASE("the judge: a stream that SIGKILL cuts is lost where it was sent 0.7 s after SIGTERM or later") {
  const auto ended = [](std::int64_t term, std::int64_t kill) {
    return Lines{line(term, "terminated", {{"router", "r"}}), line(kill, "late_exit", {{"router", "r"}})};
  };
  const auto cut = [](std::int64_t at) { return line(at, "stream_cut", {{"id", "a"}}); };
  CHECK(breaches(Lines{sent(1000), answer(1100), cut(3701)} + ended(200, 3700)) == 1);
  CHECK(breaches(Lines{sent(1000), answer(1100), cut(3701)} + ended(400, 3700)) == 0);
  CHECK(breaches(Lines{sent(1000), answer(1100), cut(2000)} + ended(200, 3700)) == 0);
  // It ended by itself, and no kill had to come.
  CHECK(breaches({line(200, "terminated", {{"router", "r"}}), sent(1000), answer(1100), cut(3701)}) == 0);
}

}  // namespace cressrill::testing
