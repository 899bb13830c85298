// Letting go of states at workers, where that crosses with further attempts of the same request.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// A read that leaves a state and whose answer is lost.
const Act kAnswerLost{"", Act::Then::reset, 10 * kMs, false, true};

// Its connection stays in use until the attempt is given up.
const Act kStreamStands{.text = Worker::stream_head() + Worker::framed(Worker::event(0)),
                        .then = Act::Then::hold,
                        .after = 20 * kMs,
                        .takes = true};

// With few the lack of connections is seen, with enough the limit is kept before and after.
constexpr std::size_t kFewInAll = 12, kEnoughInAll = 100;  // connections to all workers
constexpr int kFewEach = 4, kEnoughEach = 64;              // connections to each worker
constexpr int kRequests = 40;

// Starts the router anew, with so many connections at the most to each worker, and to all of them.
void bound_connections(Site& s, std::size_t each, std::size_t all) {
  s.placement->station.engine_connections = each;
  s.placement->station.all_engine_connections = all;
  s.node.reset();
  s.node = std::make_unique<platform::Node>(s.loop, *s.placement, s.log, make_policy);
  s.pass(20);
}
void send(Site& s, int first, int last) {
  for (int i = first; i < last; ++i) {
    const std::string id = "a" + std::to_string(i);
    s.send(id, Site::call(id, Site::prompt(), "8000"));
  }
}
// Answers of decode workers begin and stand still: so many connections stay in use.
void begin_streams(Site& s, int streams) {
  for (auto& w : s.workers)
    if (!w->reads) w->acts = std::deque<Act>(kRequests, kStreamStands);
  send(s, 0, streams);
  s.pass(100);
}
void cut_all_but(Site& s, const std::string& in_reach) {
  for (auto& w : s.workers) w->cut = w->name != in_reach;
}

// Decode workers refuse for a while, so that many requests have done their prefill; then streams begin and stand still, as
// many as there are connections. Links to all workers but that one fall silent, where one is named.
void check_released_beside_streams(Site& s, int limit_ms, const std::string& in_reach) {
  warm(s);
  HoldWatch watch(s, HoldWatch::While::unattended);
  for (auto& w : s.workers)
    if (!w->reads) w->acts = always_full();
  send(s, 0, kRequests);
  s.pass(90);
  for (auto& w : s.workers)
    if (!w->reads) w->acts = std::deque<Act>(kRequests, kStreamStands);
  s.pass(90);
  if (!in_reach.empty()) cut_all_but(s, in_reach);
  s.pass(6000);
  check_held(watch, limit_ms * kMs);
  CHECK(s.states.empty());
}

}  // namespace

// Guards rule 5: while attempts fail to connect, the time that a state may be held keeps running.
TEST_CASE("a state is let go of in time while further attempts do not get a connection") {
  HangingServer hung;
  hung.hang();
  Site s(1, 1);
  s.worker("reader-0").acts = {kAnswerLost};
  s.send("a", Site::call("a1"));
  s.until([&] { return s.lines("POST") == 1; });
  s.agent.put(Site::target("late", hung.address().text(), true));
  s.until([&] { return !s.states.empty(); });
  s.worker("reader-0").die();
  const io::Nanos held = s.loop.now();
  s.until([&] { return s.states.empty() || s.loop.now() - held > 1300 * kMs; });
  CHECK(s.states.empty());
  CHECK(s.loop.now() - held <= 120 * kMs);  // no attempt has failed yet: a connection hangs for 250 ms
}

// Guards against a late call that takes the state of a newer read.
TEST_CASE("once a later attempt's request has left, a release that is under way tells no further worker") {
  Site s(2, 1);
  for (const char* name : {"reader-0", "reader-1"}) s.worker(name).acts = {kAnswerLost};
  s.worker("writer-0").acts = {{"", Act::Then::keep, 100 * kMs, true}};
  s.send("a", Site::call("a1"));
  s.until([&] { return s.lines("POST") == 1; });
  Worker& first = s.worker(s.worker("reader-0").seen.empty() ? "reader-1" : "reader-0");
  Worker& second = s.worker(first.name == "reader-0" ? "reader-1" : "reader-0");
  s.agent.put(Site::target(first, "draining"));  // the second attempt goes to the other reader
  s.until([&] { return !s.states.empty(); });
  first.silent = true;  // and so the next worker is told after a fortieth of the limit, 25 ms
  second.acts.clear();
  CHECK(s.answer("a").status == 200);
  CHECK(s.lines("POST") == 3);
}

// Guards against a connection for each failed attempt, made for a call that is not sent in the end.
TEST_CASE("a release that a further attempt has overtaken makes no connection") {
  Site s(1, 1);
  s.send("warm", Site::call("w1"));
  s.answer("warm");
  s.pass(200);  // the reader's connection has rested
  s.worker("reader-0").acts = {
      {"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", Act::Then::keep, 10 * kMs}};
  const int before = s.worker("reader-0").connections;
  s.send("a", Site::call("a1"));
  CHECK(s.answer("a").whole);
  CHECK(s.lines("POST") == 5);
  CHECK(s.lines("DELETE") <= 1);
  // One for the second attempt, as the first one's still rests, and one for the call at the end of the request.
  CHECK(s.worker("reader-0").connections <= before + 2);
}

// Guards against releases that find no connection: attempts that stand still have all that there may be in all.
TEST_CASE("attempts hold all connections to workers: what is held beside them is released in time") {
  for (const std::size_t all : {kFewInAll, kEnoughInAll})
    for (const int limit_ms : {300, 500, 1000})
      for (const char* in_reach : {"", "reader-2", "writer-1"}) {
        CAPTURE(all);
        CAPTURE(limit_ms);
        CAPTURE(std::string(in_reach));
        Site s(3, 2, with_limit(limit_ms, false, false));
        bound_connections(s, all, all);
        check_released_beside_streams(s, limit_ms, in_reach);
      }
}

// Guards against calls that found no room counting as told: the one worker in reach is then passed over.
TEST_CASE("releases that contend for few connections: the one worker in reach is told in time") {
  for (const std::size_t all : {std::size_t{12}, std::size_t{16}})
    for (const int limit_ms : {300, 500})
      for (const char* in_reach : {"reader-0", "writer-1", "writer-3"}) {
        CAPTURE(all);
        CAPTURE(limit_ms);
        CAPTURE(std::string(in_reach));
        Site s(2, 4, with_limit(limit_ms));
        bound_connections(s, all, all);
        check_released_beside_streams(s, limit_ms, in_reach);
      }
}

// The same, where they have all that the one worker in reach may have.
TEST_CASE("attempts hold all connections that a worker may have: what is held is released there in time") {
  for (const int each : {kFewEach, kEnoughEach})
    for (const int limit_ms : {300, 500, 1000}) {
      CAPTURE(each);
      CAPTURE(limit_ms);
      Site s(1, 1, with_limit(limit_ms, false, false));
      bound_connections(s, static_cast<std::size_t>(each), kEnoughInAll);
      warm(s, 2);
      HoldWatch watch(s, HoldWatch::While::unattended);
      begin_streams(s, kFewEach);
      s.worker("writer-0").acts = always_full();
      send(s, kFewEach, kFewEach + 1);
      REQUIRE(s.until([&] { return !s.states.empty(); }));
      cut_all_but(s, "writer-0");
      s.pass(6000);
      check_held(watch, limit_ms * kMs);
      CHECK(s.states.empty());
    }
}

}  // namespace cressrill::testing
