// Letting go of states at workers, where that crosses with further attempts of the same request.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// A read that leaves a state and whose answer is lost.
const ScriptedResponse kAnswerLost{"", ScriptedResponse::Finish::reset, 10 * kMs, false, true};

// Its connection stays in use until the attempt is given up.
const ScriptedResponse kStreamStands{
    .response = FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0)),
    .finish = ScriptedResponse::Finish::hang,
    .delay = 20 * kMs,
    .takes_kv = true};

// With few the lack of connections is seen, with enough the limit is kept before and after.
constexpr std::size_t kFewInAll = 12, kEnoughInAll = 100;  // connections to all workers
constexpr int kFewEach = 4, kEnoughEach = 64;              // connections to each worker
constexpr int kRequests = 40;

// Starts the router anew, with so many connections at the most to each worker, and to all of them.
void bound_connections(PlatformFixture& s, std::size_t each, std::size_t all) {
  s.node_config->config.max_connections_per_engine = each;
  s.node_config->config.max_engine_connections = all;
  s.node.reset();
  s.node = std::make_unique<platform::Node>(s.loop, *s.node_config, s.log, make_policy);
  s.run_for(20);
}
void send(PlatformFixture& s, int first, int last) {
  for (int i = first; i < last; ++i) {
    const std::string id = "a" + std::to_string(i);
    s.send(id, PlatformFixture::request(id, PlatformFixture::request_body(), "8000"));
  }
}
// Answers of decode workers begin and stand still: so many connections stay in use.
void begin_streams(PlatformFixture& s, int streams) {
  for (auto& w : s.workers)
    if (!w->is_prefill) w->script = std::deque<ScriptedResponse>(kRequests, kStreamStands);
  send(s, 0, streams);
  s.run_for(100);
}
void cut_all_but(PlatformFixture& s, const std::string& in_reach) {
  for (auto& w : s.workers) w->link_silent = w->name != in_reach;
}

// Decode workers refuse for a while, so that many requests have done their prefill; then streams begin and stand still, as
// many as there are connections. Links to all workers but that one fall silent, where one is named.
void check_released_beside_streams(PlatformFixture& s, int limit_ms, const std::string& in_reach) {
  warm_up(s);
  KvHoldMonitor watch(s, KvHoldMonitor::Measure::unattended);
  for (auto& w : s.workers)
    if (!w->is_prefill) w->script = always_reject();
  send(s, 0, kRequests);
  s.run_for(90);
  for (auto& w : s.workers)
    if (!w->is_prefill) w->script = std::deque<ScriptedResponse>(kRequests, kStreamStands);
  s.run_for(90);
  if (!in_reach.empty()) cut_all_but(s, in_reach);
  s.run_for(6000);
  check_longest_hold(watch, limit_ms * kMs);
  CHECK(s.kv_entries.empty());
}

}  // namespace

// Guards rule 5: while attempts fail to connect, the time that a state may be held keeps running.
TEST_CASE("a state is let go of in time while further attempts do not get a connection") {
  HangingServer hung;
  hung.fill_accept_queue();
  PlatformFixture s(1, 1);
  s.worker("reader-0").script = {kAnswerLost};
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return s.count_requests("POST") == 1; });
  s.discovery.update(PlatformFixture::target("late", hung.address().to_string(), true));
  s.run_until([&] { return !s.kv_entries.empty(); });
  s.worker("reader-0").crash();
  const io::Nanos held = s.loop.now();
  s.run_until([&] { return s.kv_entries.empty() || s.loop.now() - held > 1300 * kMs; });
  CHECK(s.kv_entries.empty());
  CHECK(s.loop.now() - held <= 120 * kMs);  // no attempt has failed yet: a connection hangs for 250 ms
}

// Guards against a late call that takes the state of a newer read.
TEST_CASE("once a later attempt's request has left, a release that is under way tells no further worker") {
  PlatformFixture s(2, 1);
  for (const char* name : {"reader-0", "reader-1"}) s.worker(name).script = {kAnswerLost};
  s.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 100 * kMs, true}};
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return s.count_requests("POST") == 1; });
  FakeWorker& first = s.worker(s.worker("reader-0").request_log.empty() ? "reader-1" : "reader-0");
  FakeWorker& second = s.worker(first.name == "reader-0" ? "reader-1" : "reader-0");
  s.discovery.update(
      PlatformFixture::target(first, "draining"));  // the second attempt goes to the other reader
  s.run_until([&] { return !s.kv_entries.empty(); });
  first.unresponsive = true;  // and so the next worker is told after a fortieth of the limit, 25 ms
  second.script.clear();
  CHECK(s.response("a").status == 200);
  CHECK(s.count_requests("POST") == 3);
}

// Guards against a connection for each failed attempt, made for a call that is not sent in the end.
TEST_CASE("a release that a further attempt has overtaken makes no connection") {
  PlatformFixture s(1, 1);
  s.send("warm", PlatformFixture::request("w1"));
  s.response("warm");
  s.run_for(200);  // the reader's connection has rested
  s.worker("reader-0").script = {
      {"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", ScriptedResponse::Finish::keep_alive, 10 * kMs}};
  const int before = s.worker("reader-0").accepted_connections;
  s.send("a", PlatformFixture::request("a1"));
  CHECK(s.response("a").complete);
  CHECK(s.count_requests("POST") == 5);
  CHECK(s.count_requests("DELETE") <= 1);
  // One for the second attempt, as the first one's still rests, and one for the call at the end of the request.
  CHECK(s.worker("reader-0").accepted_connections <= before + 2);
}

// Guards against releases that find no connection: attempts that stand still have all that there may be in all.
TEST_CASE("attempts hold all connections to workers: what is held beside them is released in time") {
  for (const std::size_t all : {kFewInAll, kEnoughInAll})
    for (const int limit_ms : {300, 500, 1000})
      for (const char* in_reach : {"", "reader-2", "writer-1"}) {
        CAPTURE(all);
        CAPTURE(limit_ms);
        CAPTURE(std::string(in_reach));
        PlatformFixture s(3, 2, settings_with_hold_limit(limit_ms, false, false));
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
        PlatformFixture s(2, 4, settings_with_hold_limit(limit_ms));
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
      PlatformFixture s(1, 1, settings_with_hold_limit(limit_ms, false, false));
      bound_connections(s, static_cast<std::size_t>(each), kEnoughInAll);
      warm_up(s, 2);
      KvHoldMonitor watch(s, KvHoldMonitor::Measure::unattended);
      begin_streams(s, kFewEach);
      s.worker("writer-0").script = always_reject();
      send(s, kFewEach, kFewEach + 1);
      REQUIRE(s.run_until([&] { return !s.kv_entries.empty(); }));
      cut_all_but(s, "writer-0");
      s.run_for(6000);
      check_longest_hold(watch, limit_ms * kMs);
      CHECK(s.kv_entries.empty());
    }
}

}  // namespace cressrill::testing
