// Tests of the discovery client with responses in parts or out of order, agents that lag behind and versions
// that decrease.
#include "platform_fixture.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// A discovery agent whose responses the test writes itself. After its construction the router has applied
// its list of version 41 and has a watch open.
struct ManualAgent {
  explicit ManualAgent(PlatformFixture& platform) : fixture(platform) {
    platform.node->set_discovery_agent(server.address());
    platform.run_for(5);
    watch = server.accept();
    REQUIRE(watch);
    watch->read();
    REQUIRE(watch->text().starts_with("GET /discovery/hosts HTTP"));
    watch->clear_text();
    write(*watch, list(41, true, "up"));
    platform.run_for(5);
    watch->read();
    REQUIRE(watch->text().starts_with("GET /discovery/hosts?index=41&wait=3000"));
  }
  // state: of writer-0, the only worker in a list of changes; empty: no change.
  std::string list(int version, bool full, const std::string& state) const {
    json targets = json::array();
    for (const auto& worker : fixture.workers)
      if (full || (worker->name == "writer-0" && !state.empty()))
        targets.push_back(PlatformFixture::target(*worker, worker->name == "writer-0" ? state : "up"));
    return json{{"rev", version}, {"all", full}, {"targets", targets}}.dump();
  }
  static void write(RawConnection& connection, const std::string& body) {
    const std::string text = http::format_response(200, "", body, true);
    CHECK(connection.write(text) == text.size());
  }
  PlatformFixture& fixture;
  RawServer server;
  std::unique_ptr<RawConnection> watch;
};

}  // namespace

// Rule 3: a change counts as announced once the agent has started to write it, so a response to a parallel
// call must not discard it.
TEST_CASE(
    "a watch response that arrives in two parts is applied although another call is answered in between") {
  PlatformFixture fixture(1, 2);
  ManualAgent agent(fixture);
  fixture.run_for(3400);  // the watch is late
  auto parallel_call = agent.server.accept();
  REQUIRE(parallel_call);
  parallel_call->read();
  REQUIRE(parallel_call->text().starts_with("GET /discovery/hosts?index=41&wait=0"));
  const std::string drain = http::format_response(200, "", agent.list(42, false, "draining"), true);
  agent.watch->write(drain.substr(0, drain.size() / 2));
  fixture.run_for(5);
  agent.write(*parallel_call, agent.list(41, false, ""));
  fixture.run_for(5);
  agent.watch->write(drain.substr(drain.size() / 2));
  fixture.run_for(5);
  CHECK(!fixture.is_listed_ready("writer-0"));
  fixture.node.reset();
}

TEST_CASE("a response of the previous agent that is half received when the agent changes is still applied") {
  PlatformFixture fixture(1, 2);
  RawServer next;  // never responds
  ManualAgent agent(fixture);
  const std::string drain = http::format_response(200, "", agent.list(42, false, "draining"), true);
  agent.watch->write(drain.substr(0, drain.size() / 2));
  fixture.run_for(5);
  fixture.node->set_discovery_agent(next.address());
  fixture.run_for(5);
  agent.watch->write(drain.substr(drain.size() / 2));
  fixture.run_for(5);
  CHECK(!fixture.is_listed_ready("writer-0"));
  fixture.node.reset();
}

TEST_CASE("a response of the previous agent is ignored once the new agent has delivered a list") {
  PlatformFixture fixture(1, 2);
  ManualAgent agent(fixture);
  FakeDiscovery next(fixture.loop);
  next.rev = 100;
  for (auto& worker : fixture.workers) next.update(PlatformFixture::target(*worker));
  fixture.node->set_discovery_agent(next.address());
  fixture.run_for(20);
  agent.write(*agent.watch, agent.list(200, true, "removed"));
  fixture.run_for(20);
  CHECK(fixture.is_listed_ready("writer-0"));
  fixture.scope.cancel();
  fixture.node.reset();
}

// Rule 3: the new agent may know less than the previous one.
TEST_CASE("an announced drain is not undone by the first list of another agent, nor by an older version") {
  for (const int version : {5, 500}) {
    CAPTURE(version);
    PlatformFixture fixture(1, 2);
    fixture.discovery.update(PlatformFixture::target(fixture.worker("writer-0"), "draining"));
    fixture.run_for(20);
    REQUIRE(!fixture.is_listed_ready("writer-0"));
    FakeDiscovery next(fixture.loop);
    next.rev = static_cast<std::uint64_t>(version);
    for (auto& worker : fixture.workers) next.update(PlatformFixture::target(*worker));
    fixture.node->set_discovery_agent(next.address());
    fixture.run_for(20);
    CHECK(!fixture.is_listed_ready("writer-0"));
    // After a restart it is another process, to which the drain does not apply.
    json restarted = PlatformFixture::target(fixture.worker("writer-0"));
    restarted["boot_ms"] = 1'700'000'000'500.0;
    next.update(restarted);
    fixture.run_for(20);
    CHECK(fixture.is_listed_ready("writer-0"));
    fixture.scope.cancel();
    fixture.node.reset();
  }
}

TEST_CASE("a drain ends when the agent that announced it withdraws it in a newer version") {
  PlatformFixture fixture(1, 2);
  fixture.discovery.update(PlatformFixture::target(fixture.worker("writer-0"), "draining"));
  fixture.run_for(20);
  REQUIRE(!fixture.is_listed_ready("writer-0"));
  fixture.discovery.update(PlatformFixture::target(fixture.worker("writer-0")));
  fixture.run_for(20);
  CHECK(fixture.is_listed_ready("writer-0"));
}

TEST_CASE("a worker missing from a full list is removed, and is added again when a full list names it") {
  PlatformFixture fixture(1, 2);
  fixture.discovery.always_full_list = true;
  fixture.discovery.update(PlatformFixture::target(fixture.worker("writer-0"), "removed"));
  fixture.run_for(20);
  CHECK(!fixture.is_listed_ready("writer-0"));
  fixture.discovery.update(PlatformFixture::target(fixture.worker("writer-0")));
  fixture.run_for(20);
  CHECK(fixture.is_listed_ready("writer-0"));
}

TEST_CASE(
    "after several changes of agent, one of them while draining, the list of the last agent is in force") {
  PlatformFixture fixture(1, 2);
  RawServer unresponsive_agent;  // accepts the call and does not respond yet
  fixture.node->set_discovery_agent(unresponsive_agent.address());
  fixture.run_for(5);
  const auto pending_call = unresponsive_agent.accept();
  REQUIRE(pending_call);
  FakeDiscovery second(fixture.loop);
  FakeDiscovery third(fixture.loop);
  for (FakeDiscovery* agent : {&second, &third})
    for (auto& worker : fixture.workers) agent->update(PlatformFixture::target(*worker));
  fixture.node->set_discovery_agent(second.address());
  fixture.run_for(20);
  REQUIRE(second.full_list_calls() == 1);
  const std::string empty = R"({"rev":900,"all":true,"targets":[]})";
  pending_call->write(http::format_response(200, "", empty, true));
  fixture.run_for(20);
  CHECK(fixture.is_listed_ready("writer-0"));
  fixture.node->drain();
  fixture.node->set_discovery_agent(third.address());
  third.update(PlatformFixture::target(fixture.worker("writer-0"), "draining"));
  fixture.run_for(20);
  CHECK(!fixture.is_listed_ready("writer-0"));
  fixture.send("a", PlatformFixture::request("a1"));
  CHECK(fixture.response("a").complete);
  CHECK(fixture.worker("writer-0").request_log.empty());
  fixture.scope.cancel();
  fixture.node.reset();
}

// Guards against a list that is never applied because each call for it is abandoned while the response is
// arriving.
TEST_CASE("a list that the agent sends slowly is received completely") {
  PlatformFixture fixture(1, 2);
  RawServer slow;
  json targets = json::array();
  for (auto& worker : fixture.workers)
    targets.push_back(PlatformFixture::target(*worker, worker->name == "writer-0" ? "draining" : "up"));
  const std::string response =
      http::format_response(200, "", json{{"rev", 100}, {"all", true}, {"targets", targets}}.dump(), true);
  struct PendingCall {
    std::unique_ptr<RawConnection> connection;
    std::size_t sent{};  // bytes of the response
  };
  std::vector<PendingCall> calls;
  fixture.node->set_discovery_agent(slow.address());
  constexpr int kPieces = 30;  // one every 100 ms
  for (int i = 0; i < 55 && fixture.is_listed_ready("writer-0"); ++i) {
    while (auto connection = slow.accept()) calls.push_back({std::move(connection), 0});
    for (PendingCall& call : calls)
      call.sent += call.connection->write(std::string_view(response)
                                              .substr(std::min(call.sent, response.size()))
                                              .substr(0, response.size() / kPieces + 1));
    fixture.run_for(100);
  }
  CHECK(!fixture.is_listed_ready("writer-0"));
  CHECK(calls.size() <= 8);
  fixture.scope.cancel();
  fixture.node.reset();
}

}  // namespace cressrill::testing
