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

// Connection limits. The low ones reproduce a shortage of connections, the ample ones are the control case.
constexpr std::size_t kFewInTotal = 12;  // connections to all workers together
constexpr std::size_t kAmpleInTotal = 100;
constexpr int kFewPerWorker = 4;  // connections to each worker
constexpr int kAmplePerWorker = 64;
constexpr int kRequests = 40;

// Restarts the router with limits on the connections to each worker and to all of them.
void limit_connections(PlatformFixture& fixture, std::size_t per_worker, std::size_t total) {
  fixture.node_config->config.max_connections_per_engine = per_worker;
  fixture.node_config->config.max_engine_connections = total;
  fixture.node.reset();
  fixture.node =
      std::make_unique<platform::Node>(fixture.loop, *fixture.node_config, fixture.log, make_policy);
  fixture.run_for(20);
}
// Sends the requests a<first> to a<last - 1>.
void send(PlatformFixture& fixture, int first, int last) {
  for (int i = first; i < last; ++i) {
    const std::string id = "a" + std::to_string(i);
    fixture.send(id, PlatformFixture::request(id, PlatformFixture::request_body(), "8000"));
  }
}
// Starts streams that stall, each of which keeps a connection to a decode worker in use.
void start_stalled_streams(PlatformFixture& fixture, int streams) {
  for (auto& worker : fixture.workers)
    if (!worker->is_prefill) worker->script = std::deque<ScriptedResponse>(kRequests, kStalledStream);
  send(fixture, 0, streams);
  fixture.run_for(100);
}
// Silences the links to all workers but one.
void silence_all_but(PlatformFixture& fixture, const std::string& reachable) {
  for (auto& worker : fixture.workers) worker->link_silent = worker->name != reachable;
}

// Decode workers reject attempts for a while, so that many prefills finish. Then streams start and stall
// until they use all connections. Unless `reachable` is empty, the links to all workers but that one fall
// silent.
void check_released_beside_streams(PlatformFixture& fixture, int limit_ms, const std::string& reachable) {
  warm_up(fixture);
  KvHoldMonitor monitor(fixture, KvHoldMonitor::Measure::unattended);
  for (auto& worker : fixture.workers)
    if (!worker->is_prefill) worker->script = always_reject();
  send(fixture, 0, kRequests);
  fixture.run_for(90);
  for (auto& worker : fixture.workers)
    if (!worker->is_prefill) worker->script = std::deque<ScriptedResponse>(kRequests, kStalledStream);
  fixture.run_for(90);
  if (!reachable.empty()) silence_all_but(fixture, reachable);
  fixture.run_for(6000);
  check_longest_hold(monitor, limit_ms * kMs);
  CHECK(fixture.kv_entries.empty());
}

}  // namespace

// Guards rule 5 (KV cache is held for a limited time): the limit keeps running while attempts fail to
// connect.
TEST_CASE("KV cache is released in time while further attempts get no connection") {
  HangingServer hanging_server;
  hanging_server.fill_accept_queue();
  PlatformFixture fixture(1, 1);
  fixture.worker("reader-0").script = {kResponseLost};
  fixture.send("a", PlatformFixture::request("a1"));
  fixture.run_until([&] { return fixture.count_requests("POST") == 1; });
  fixture.discovery.update(PlatformFixture::target("late", hanging_server.address().to_string(), true));
  fixture.run_until([&] { return !fixture.kv_entries.empty(); });
  fixture.worker("reader-0").crash();
  const io::Nanos held_since = fixture.loop.now();
  fixture.run_until(
      [&] { return fixture.kv_entries.empty() || fixture.loop.now() - held_since > 1300 * kMs; });
  CHECK(fixture.kv_entries.empty());
  // No attempt has failed yet at that time: a connect hangs for 250 ms.
  CHECK(fixture.loop.now() - held_since <= 120 * kMs);
}

// Guards against a late release call that frees the KV cache of a newer prefill.
TEST_CASE("once a later attempt's request was written, a release in progress calls no further worker") {
  PlatformFixture fixture(2, 1);
  for (const char* name : {"reader-0", "reader-1"}) fixture.worker(name).script = {kResponseLost};
  fixture.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 100 * kMs, true}};
  fixture.send("a", PlatformFixture::request("a1"));
  fixture.run_until([&] { return fixture.count_requests("POST") == 1; });
  FakeWorker& first_worker =
      fixture.worker(fixture.worker("reader-0").request_log.empty() ? "reader-1" : "reader-0");
  FakeWorker& second_worker = fixture.worker(first_worker.name == "reader-0" ? "reader-1" : "reader-0");
  // The second attempt goes to the other prefill worker.
  fixture.discovery.update(PlatformFixture::target(first_worker, "draining"));
  fixture.run_until([&] { return !fixture.kv_entries.empty(); });
  first_worker.unresponsive = true;  // so the next worker is called after a fortieth of the limit, 25 ms
  second_worker.script.clear();
  CHECK(fixture.response("a").status == 200);
  CHECK(fixture.count_requests("POST") == 3);
}

// Guards against opening a connection, at each failed attempt, for a release call that is never sent.
TEST_CASE("no connection is opened for a release that a further attempt has made obsolete") {
  PlatformFixture fixture(1, 1);
  fixture.send("warm", PlatformFixture::request("w1"));
  fixture.response("warm");
  fixture.run_for(200);  // the prefill worker's connection may be reused
  fixture.worker("reader-0").script = {
      {"HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", ScriptedResponse::Finish::keep_alive, 10 * kMs}};
  const int connections_before = fixture.worker("reader-0").accepted_connections;
  fixture.send("a", PlatformFixture::request("a1"));
  CHECK(fixture.response("a").complete);
  CHECK(fixture.count_requests("POST") == 5);
  CHECK(fixture.count_requests("DELETE") <= 1);
  // One for the second attempt, as the first one's connection may not be reused yet, and one for the release
  // at the end of the request.
  CHECK(fixture.worker("reader-0").accepted_connections <= connections_before + 2);
}

// Guards against releases that get no connection because stalled attempts use up the limit over all workers.
TEST_CASE("KV cache is released in time while attempts use all connections to workers") {
  for (const std::size_t total : {kFewInTotal, kAmpleInTotal})
    for (const int limit_ms : {300, 500, 1000})
      for (const char* reachable : {"", "reader-2", "writer-1"}) {
        CAPTURE(total);
        CAPTURE(limit_ms);
        CAPTURE(std::string(reachable));
        PlatformFixture fixture(3, 2, settings_with_hold_limit(limit_ms, false, false));
        limit_connections(fixture, total, total);
        check_released_beside_streams(fixture, limit_ms, reachable);
      }
}

// Guards against skipping the one reachable worker because a call that got no connection counts as made.
TEST_CASE("releases that compete for few connections reach the one reachable worker in time") {
  for (const std::size_t total : {std::size_t{12}, std::size_t{16}})
    for (const int limit_ms : {300, 500})
      for (const char* reachable : {"reader-0", "writer-1", "writer-3"}) {
        CAPTURE(total);
        CAPTURE(limit_ms);
        CAPTURE(std::string(reachable));
        PlatformFixture fixture(2, 4, settings_with_hold_limit(limit_ms));
        limit_connections(fixture, total, total);
        check_released_beside_streams(fixture, limit_ms, reachable);
      }
}

// Guards against releases that get no connection because stalled attempts use up the limit of the one
// reachable worker.
TEST_CASE("KV cache is released in time while attempts use all connections of the only reachable worker") {
  for (const int per_worker : {kFewPerWorker, kAmplePerWorker})
    for (const int limit_ms : {300, 500, 1000}) {
      CAPTURE(per_worker);
      CAPTURE(limit_ms);
      PlatformFixture fixture(1, 1, settings_with_hold_limit(limit_ms, false, false));
      limit_connections(fixture, static_cast<std::size_t>(per_worker), kAmpleInTotal);
      warm_up(fixture, 2);
      KvHoldMonitor monitor(fixture, KvHoldMonitor::Measure::unattended);
      start_stalled_streams(fixture, kFewPerWorker);
      fixture.worker("writer-0").script = always_reject();
      send(fixture, kFewPerWorker, kFewPerWorker + 1);
      REQUIRE(fixture.run_until([&] { return !fixture.kv_entries.empty(); }));
      silence_all_but(fixture, "writer-0");
      fixture.run_for(6000);
      check_longest_hold(monitor, limit_ms * kMs);
      CHECK(fixture.kv_entries.empty());
    }
}

}  // namespace cressrill::testing
