// What discovery tells, in orders that can go wrong: lists in halves, agents that lag behind, versions that go back.
#include "platform_fixture.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// An agent whose every answer is written by hand. The router knows its list of version 41 and watches.
struct ManualAgent {
  explicit ManualAgent(PlatformFixture& site) : of(site) {
    site.node->set_discovery_agent(server.address());
    site.run_for(5);
    watch = server.accept();
    REQUIRE(watch);
    watch->read();
    REQUIRE(watch->text().starts_with("GET /discovery/hosts HTTP"));
    watch->clear_text();
    write(*watch, list(41, true, "up"));
    site.run_for(5);
    watch->read();
    REQUIRE(watch->text().starts_with("GET /discovery/hosts?index=41&wait=3000"));
  }
  // The state of writer-0 in it.
  std::string list(int version, bool whole, const std::string& state) const {
    json targets = json::array();
    for (const auto& w : of.workers)
      if (whole || (w->name == "writer-0" && !state.empty()))
        targets.push_back(PlatformFixture::target(*w, w->name == "writer-0" ? state : "up"));
    return json{{"rev", version}, {"all", whole}, {"targets", targets}}.dump();
  }
  static void write(RawConnection& to, const std::string& body) {
    const std::string text = http::format_response(200, "", body, true);
    CHECK(to.write(text) == text.size());
  }
  PlatformFixture& of;
  RawServer server;
  std::unique_ptr<RawConnection> watch;
};

}  // namespace

// Guards rule 3: what an agent has begun to write counts as told. An answer beside it must not drop it.
TEST_CASE("half of a watch's answer has come when another call is answered: the rest still counts") {
  PlatformFixture s(1, 2);
  ManualAgent agent(s);
  s.run_for(3400);  // the watch is late
  auto beside = agent.server.accept();
  REQUIRE(beside);
  beside->read();
  REQUIRE(beside->text().starts_with("GET /discovery/hosts?index=41&wait=0"));
  const std::string drain = http::format_response(200, "", agent.list(42, false, "draining"), true);
  agent.watch->write(drain.substr(0, drain.size() / 2));
  s.run_for(5);
  agent.write(*beside, agent.list(41, false, ""));
  s.run_for(5);
  agent.watch->write(drain.substr(drain.size() / 2));
  s.run_for(5);
  CHECK(!s.is_listed_ready("writer-0"));
  s.node.reset();
}

TEST_CASE("half of an answer has come from the old agent when discovery moves: the rest still counts") {
  PlatformFixture s(1, 2);
  RawServer next;  // says nothing
  ManualAgent agent(s);
  const std::string drain = http::format_response(200, "", agent.list(42, false, "draining"), true);
  agent.watch->write(drain.substr(0, drain.size() / 2));
  s.run_for(5);
  s.node->set_discovery_agent(next.address());
  s.run_for(5);
  agent.watch->write(drain.substr(drain.size() / 2));
  s.run_for(5);
  CHECK(!s.is_listed_ready("writer-0"));
  s.node.reset();
}

TEST_CASE("an answer of the old agent that comes after the new one has told its list is left alone") {
  PlatformFixture s(1, 2);
  ManualAgent agent(s);
  FakeDiscovery next(s.loop);
  next.rev = 100;
  for (auto& w : s.workers) next.update(PlatformFixture::target(*w));
  s.node->set_discovery_agent(next.address());
  s.run_for(20);
  agent.write(*agent.watch, agent.list(200, true, "removed"));
  s.run_for(20);
  CHECK(s.is_listed_ready("writer-0"));
  s.scope.cancel();
  s.node.reset();
}

// Guards rule 3 where the agent that is asked now knows less than the one before it.
TEST_CASE("a drain that was told is not taken back by another agent's first list, nor by an older version") {
  for (const int version : {5, 500}) {
    CAPTURE(version);
    PlatformFixture s(1, 2);
    s.discovery.update(PlatformFixture::target(s.worker("writer-0"), "draining"));
    s.run_for(20);
    REQUIRE(!s.is_listed_ready("writer-0"));
    FakeDiscovery next(s.loop);
    next.rev = static_cast<std::uint64_t>(version);
    for (auto& w : s.workers) next.update(PlatformFixture::target(*w));
    s.node->set_discovery_agent(next.address());
    s.run_for(20);
    CHECK(!s.is_listed_ready("writer-0"));
    // Restarted, it is another process: nothing was told of that one.
    json restarted = PlatformFixture::target(s.worker("writer-0"));
    restarted["boot_ms"] = 1'700'000'000'500.0;
    next.update(restarted);
    s.run_for(20);
    CHECK(s.is_listed_ready("writer-0"));
    s.scope.cancel();
    s.node.reset();
  }
}

TEST_CASE("a drain that its own agent takes back with a newer version is over") {
  PlatformFixture s(1, 2);
  s.discovery.update(PlatformFixture::target(s.worker("writer-0"), "draining"));
  s.run_for(20);
  REQUIRE(!s.is_listed_ready("writer-0"));
  s.discovery.update(PlatformFixture::target(s.worker("writer-0")));
  s.run_for(20);
  CHECK(s.is_listed_ready("writer-0"));
}

TEST_CASE("a worker that a whole list leaves out is gone; a whole list that names it again brings it back") {
  PlatformFixture s(1, 2);
  s.discovery.always_full_list = true;
  s.discovery.update(PlatformFixture::target(s.worker("writer-0"), "removed"));
  s.run_for(20);
  CHECK(!s.is_listed_ready("writer-0"));
  s.discovery.update(PlatformFixture::target(s.worker("writer-0")));
  s.run_for(20);
  CHECK(s.is_listed_ready("writer-0"));
}

TEST_CASE("discovery moves twice, and again as the process drains: the last agent's list is in force") {
  PlatformFixture s(1, 2);
  RawServer first;  // takes the call and says nothing yet
  s.node->set_discovery_agent(first.address());
  s.run_for(5);
  const auto call = first.accept();
  REQUIRE(call);
  FakeDiscovery second(s.loop), third(s.loop);
  for (FakeDiscovery* agent : {&second, &third})
    for (auto& w : s.workers) agent->update(PlatformFixture::target(*w));
  s.node->set_discovery_agent(second.address());
  s.run_for(20);
  REQUIRE(second.full_list_calls() == 1);
  const std::string empty = R"({"rev":900,"all":true,"targets":[]})";
  call->write(http::format_response(200, "", empty, true));
  s.run_for(20);
  CHECK(s.is_listed_ready("writer-0"));
  s.node->drain();
  s.node->set_discovery_agent(third.address());
  third.update(PlatformFixture::target(s.worker("writer-0"), "draining"));
  s.run_for(20);
  CHECK(!s.is_listed_ready("writer-0"));
  s.send("a", PlatformFixture::request("a1"));
  CHECK(s.response("a").complete);
  CHECK(s.worker("writer-0").request_log.empty());
  s.scope.cancel();
  s.node.reset();
}

// Guards against a list that is never told, as each call for it is given up while it is being written.
TEST_CASE("an agent that writes its list slowly is heard to the end") {
  PlatformFixture s(1, 2);
  RawServer slow;
  json targets = json::array();
  for (auto& w : s.workers)
    targets.push_back(PlatformFixture::target(*w, w->name == "writer-0" ? "draining" : "up"));
  const std::string answer =
      http::format_response(200, "", json{{"rev", 100}, {"all", true}, {"targets", targets}}.dump(), true);
  struct Call {
    std::unique_ptr<RawConnection> connection;
    std::size_t sent{};
  };
  std::vector<Call> calls;
  s.node->set_discovery_agent(slow.address());
  constexpr int kPieces = 30;  // one each 100 ms
  for (int i = 0; i < 55 && s.is_listed_ready("writer-0"); ++i) {
    while (auto taken = slow.accept()) calls.push_back({std::move(taken), 0});
    for (Call& call : calls)
      call.sent += call.connection->write(std::string_view(answer)
                                              .substr(std::min(call.sent, answer.size()))
                                              .substr(0, answer.size() / kPieces + 1));
    s.run_for(100);
  }
  CHECK(!s.is_listed_ready("writer-0"));
  CHECK(calls.size() <= 8);
  s.scope.cancel();
  s.node.reset();
}

}  // namespace cressrill::testing
