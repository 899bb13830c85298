// Releases of KV cache at workers that overlap with further attempts of the same request.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// A prefill that leaves KV cache and whose response is lost.
const ScriptedResponse kResponseLost{"", ScriptedResponse::Finish::reset, 10 * kMs, false, true};

// A stream that stalls after its first event: its connection stays in use until the attempt is abandoned.
const ScriptedResponse kStalledStream{
    .response = FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0)),
    .finish = ScriptedResponse::Finish::hang,
    .delay = 20 * kMs,
    .takes_kv = true};

// Connection limits. The few reproduce a shortage of connections; the ample ones are the control case.
constexpr std::size_t kFewTotal = 12;  // connections to all workers
constexpr std::size_t kAmpleTotal = 100;
constexpr int kFewPerWorker = 4;  // connections to each worker
constexpr int kAmplePerWorker = 64;
constexpr int kRequests = 40;

// Restarts the router with limits on the connections to each worker and to all of them.
void limit_connections(PlatformFixture& s, std::size_t per_worker, std::size_t total) {
  s.node_config->config.max_connections_per_engine = per_worker;
  s.node_config->config.max_engine_connections = total;
  s.node.reset();
  s.node = std::make_unique<platform::Node>(s.loop, *s.node_config, s.log, make_policy);
  s.run_for(20);
}
// Sends the requests first to last - 1.
void send(PlatformFixture& s, int first, int last) {
  for (int i = first; i < last; ++i) {
    const std::string id = "a" + std::to_string(i);
    s.send(id, PlatformFixture::request(id, PlatformFixture::request_body(), "8000"));
  }
}
// Starts streams of decode workers that stall, so that as many connections stay in use.
void start_stalled_streams(PlatformFixture& s, int streams) {
  for (auto& worker : s.workers)
    if (!worker->is_prefill) worker->script = std::deque<ScriptedResponse>(kRequests, kStalledStream);
  send(s, 0, streams);
  s.run_for(100);
}
// Silences the links to all workers but one.
void silence_all_but(PlatformFixture& s, const std::string& reachable) {
  for (auto& worker : s.workers) worker->link_silent = worker->name != reachable;
}

// Decode workers reject for a while, so that many requests have finished their prefill; then streams start
// and stall until they use all connections. If reachable names a worker, the links to all others fall silent.
void check_released_beside_streams(PlatformFixture& s, int limit_ms, const std::string& reachable) {
  warm_up(s);
  KvHoldMonitor monitor(s, KvHoldMonitor::Measure::unattended);
  for (auto& worker : s.workers)
    if (!worker->is_prefill) worker->script = always_reject();
  send(s, 0, kRequests);
  s.run_for(90);
  for (auto& worker : s.workers)
    if (!worker->is_prefill) worker->script = std::deque<ScriptedResponse>(kRequests, kStalledStream);
  s.run_for(90);
  if (!reachable.empty()) silence_all_but(s, reachable);
  s.run_for(6000);
  check_longest_hold(monitor, limit_ms * kMs);
  CHECK(s.kv_entries.empty());
}

}  // namespace

// Guards rule 5 (KV cache is held for a limited time): the limit keeps running while attempts fail to
// connect.
TEST_CASE("KV cache is released in time while further attempts get no connection") {
  HangingServer hanging_server;
  hanging_server.fill_accept_queue();
  PlatformFixture s(1, 1);
  s.worker("reader-0").script = {kResponseLost};
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return s.count_requests("POST") == 1; });
  s.discovery.update(PlatformFixture::target("late", hanging_server.address().to_string(), true));
  s.run_until([&] { return !s.kv_entries.empty(); });
  s.worker("reader-0").crash();
  const io::Nanos held_since = s.loop.now();
  s.run_until([&] { return s.kv_entries.empty() || s.loop.now() - held_since > 1300 * kMs; });
  CHECK(s.kv_entries.empty());
  CHECK(s.loop.now() - held_since <= 120 * kMs);  // no attempt has failed yet: a connection hangs for 250 ms
}

// Guards against a late release call that frees the KV cache of a newer prefill.
TEST_CASE("once a later attempt's request was written, a release in progress calls no further worker") {
  PlatformFixture s(2, 1);
  for (const char* name : {"reader-0", "reader-1"}) s.worker(name).script = {kResponseLost};
  s.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 100 * kMs, true}};
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return s.count_requests("POST") == 1; });
  FakeWorker& first = s.worker(s.worker("reader-0").request_log.empty() ? "reader-1" : "reader-0");
  FakeWorker& second = s.worker(first.name == "reader-0" ? "reader-1" : "reader-0");
  s.discovery.update(
      PlatformFixture::target(first, "draining"));  // the second attempt goes to the other prefill worker
  s.run_until([&] { return !s.kv_entries.empty(); });
  first.unresponsive = true;  // so the next worker is called after a fortieth of the limit, 25 ms
  second.script.clear();
  CHECK(s.response("a").status == 200);
  CHECK(s.count_requests("POST") == 3);
}

// Guards against making a connection for every failed attempt, for a release call that is never sent.
TEST_CASE("a release that a further attempt made obsolete makes no connection") {
  PlatformFixture s(1, 1);
  s.send("warm", PlatformFixture::request("w1"));
  s.response("warm");
  s.run_for(200);  // the prefill worker's connection may be reused
  s.worker("reader-0").script = {
      {"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", ScriptedResponse::Finish::keep_alive, 10 * kMs}};
  const int before = s.worker("reader-0").accepted_connections;
  s.send("a", PlatformFixture::request("a1"));
  CHECK(s.response("a").complete);
  CHECK(s.count_requests("POST") == 5);
  CHECK(s.count_requests("DELETE") <= 1);
  // One for the second attempt, as the first one's connection may not be reused yet, and one for the release
  // at the end of the request.
  CHECK(s.worker("reader-0").accepted_connections <= before + 2);
}

// Guards against releases that get no connection because stalled attempts use up the limit over all workers.
TEST_CASE("KV cache is released in time while attempts use all connections to workers") {
  for (const std::size_t all : {kFewTotal, kAmpleTotal})
    for (const int limit_ms : {300, 500, 1000})
      for (const char* reachable : {"", "reader-2", "writer-1"}) {
        CAPTURE(all);
        CAPTURE(limit_ms);
        CAPTURE(std::string(reachable));
        PlatformFixture s(3, 2, settings_with_hold_limit(limit_ms, false, false));
        limit_connections(s, all, all);
        check_released_beside_streams(s, limit_ms, reachable);
      }
}

// Guards against counting calls that got no connection as made, which would skip the one reachable worker.
TEST_CASE("releases that compete for few connections reach the one reachable worker in time") {
  for (const std::size_t all : {std::size_t{12}, std::size_t{16}})
    for (const int limit_ms : {300, 500})
      for (const char* reachable : {"reader-0", "writer-1", "writer-3"}) {
        CAPTURE(all);
        CAPTURE(limit_ms);
        CAPTURE(std::string(reachable));
        PlatformFixture s(2, 4, settings_with_hold_limit(limit_ms));
        limit_connections(s, all, all);
        check_released_beside_streams(s, limit_ms, reachable);
      }
}

// The same, where stalled attempts use up the limit of the one reachable worker.
TEST_CASE("KV cache is released in time while attempts use all connections of the only reachable worker") {
  for (const int each : {kFewPerWorker, kAmplePerWorker})
    for (const int limit_ms : {300, 500, 1000}) {
      CAPTURE(each);
      CAPTURE(limit_ms);
      PlatformFixture s(1, 1, settings_with_hold_limit(limit_ms, false, false));
      limit_connections(s, static_cast<std::size_t>(each), kAmpleTotal);
      warm_up(s, 2);
      KvHoldMonitor monitor(s, KvHoldMonitor::Measure::unattended);
      start_stalled_streams(s, kFewPerWorker);
      s.worker("writer-0").script = always_reject();
      send(s, kFewPerWorker, kFewPerWorker + 1);
      REQUIRE(s.run_until([&] { return !s.kv_entries.empty(); }));
      silence_all_but(s, "writer-0");
      s.run_for(6000);
      check_longest_hold(monitor, limit_ms * kMs);
      CHECK(s.kv_entries.empty());
    }
}

}  // namespace cressrill::testing
