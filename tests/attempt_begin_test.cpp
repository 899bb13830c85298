// What may have happened between the decision for an attempt and the moment at which its first byte would leave: the
// connection came up late, and a drain was told, the client left, or the time to begin was over.
#include "platform_fixture.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// Drains count after 40 ms of the 250 that a connection may take; repeats begin within 150 ms, as 120 of the window are
// left to a process that is held up.
json settings_of(const std::string& effect) {
  json out = test_settings();
  out["obligations"]["stopSendingWithinMs"] = 80.0;
  out["services"][0]["effect"] = effect;
  out["services"][0]["windowMs"] = 270.0;
  return out;
}

// A site with one reader, and one writer that the test plays by hand.
struct ManualWriter {
  explicit ManualWriter(const std::string& effect = "retryable") : site(1, 0, settings_of(effect)) {
    list("up");
  }
  void list(const std::string& state) {
    site.discovery.update(PlatformFixture::target("late", server.address().to_string(), false, state));
    site.run_for(5);
  }
  // The connection that hangs comes up now; what has come on it.
  std::string let_in() {
    server.drain_accept_queue();
    std::unique_ptr<RawConnection> taken;
    run_with_stopped_clock(site.loop, [&] { return taken || (taken = server.accept()); });
    REQUIRE(taken);
    run_with_stopped_clock(site.loop, [&] {
      taken->read();
      return taken->ended() || taken->reset() || !taken->text().empty();
    });
    return taken->text();
  }
  // The same once the attempt has ended, so that its connection may not come up at all.
  std::string came_after_the_attempt() {
    server.drain_accept_queue();
    site.run_for(300);
    const auto taken = server.accept();
    if (!taken) return "";
    taken->read();
    return taken->text();
  }
  // Of a request whose read has ended: the attempt that has come here.
  std::unique_ptr<RawConnection> first_attempt() {
    std::unique_ptr<RawConnection> taken;
    for (int i = 0; i < 200 && !taken; ++i) {
      site.run_for(1);
      taken = server.accept();
    }
    REQUIRE(taken);
    site.run_for(1);
    taken->read();
    REQUIRE(taken->text().starts_with("POST"));
    return taken;
  }
  HangingServer server;
  PlatformFixture site;
};

// Until the read has ended and the write's connection hangs.
void wait_for_connect(PlatformFixture& site) {
  for (int i = 0; i < 200 && site.kv_entries.empty(); ++i) site.run_for(1);
  REQUIRE(!site.kv_entries.empty());
  site.run_for(5);
}

}  // namespace

TEST_CASE("a connection that comes up late carries its request all the same") {
  ManualWriter late;
  late.server.fill_accept_queue();
  late.site.send("a", PlatformFixture::request("a1"));
  wait_for_connect(late.site);
  CHECK(late.let_in().starts_with("POST /v1/chat/completions"));
}

// Guards rule 3.
TEST_CASE("a drain is told while the connection comes up: nothing is sent there after its grace") {
  ManualWriter late;
  late.server.fill_accept_queue();
  late.site.send("a", PlatformFixture::request("a1"));
  wait_for_connect(late.site);
  late.list("draining");
  late.site.run_for(60);
  CHECK(late.let_in().empty());
}

TEST_CASE("the client leaves while the connection comes up: nothing is sent") {
  ManualWriter late;
  late.server.fill_accept_queue();
  RawClient client(late.site.node->address());
  client.write(PlatformFixture::request("a1"));
  wait_for_connect(late.site);
  client.close();
  late.site.run_for(5);
  CHECK(late.site.node->host().live_requests() == 0);
  CHECK(late.came_after_the_attempt().empty());
}

// Guards rule 2: a repeat that is not recognised has its effect twice.
TEST_CASE(
    "a repeat whose connection comes up after its window is not sent, and the client is answered at once") {
  ManualWriter late("dedup");
  PlatformFixture& s = late.site;
  s.send("a", PlatformFixture::request("a1"));
  const auto first = late.first_attempt();
  late.server.fill_accept_queue();
  s.run_for(100);
  first->close(true);
  s.run_for(40);  // the second attempt connects
  CHECK(!s.last_responses.contains("a"));
  s.run_for(20);
  CHECK(late.came_after_the_attempt().empty());
  CHECK(s.response("a").status != 0);
  CHECK(s.response("a").elapsed < 300 * kMs);  // the connection may hang for longer
}

// Guards against what a worker sends unasked being taken for the beginning of its next answer.
TEST_CASE("a kept connection on which half a line has come is not used again") {
  PlatformFixture s(1, 1);
  s.worker("reader-0").script = {{"HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":77}",
                                  ScriptedResponse::Finish::keep_alive, 0, false, true, "HTTP/1.1 2",
                                  60 * kMs}};
  s.send("a", PlatformFixture::request("a1"));
  CHECK(s.response("a").complete);
  s.run_for(100);
  s.send("b", PlatformFixture::request("b1"));
  CHECK(s.response("b").complete);
  CHECK(s.worker("reader-0").accepted_connections == 2);
  CHECK(s.count_requests("POST") == 4);
}

// Guards against a deadline that is passed on longer than the client has left: its time runs while a request waits behind
// another on its connection, read or not.
TEST_CASE("a request that waited behind another on its connection has the time that is left since it came") {
  for (const bool read_at_once : {true, false}) {
    CAPTURE(read_at_once);
    json settings = test_settings();
    settings["caps"]["attemptsCap"] = 2;  // each attempt has all of the time
    PlatformFixture s(1, 1, settings);
    s.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 1000 * kMs, true}};
    RawClient client(s.node->address());
    client.write(read_at_once ? PlatformFixture::request("a1") +
                                    PlatformFixture::request("a2", PlatformFixture::request_body(), "3000")
                              : PlatformFixture::request("a1"));
    s.run_for(100);
    if (!read_at_once) client.write(PlatformFixture::request("a2", PlatformFixture::request_body(), "3000"));
    s.run_for(1800);
    const auto& heads = s.worker("reader-0").request_fields;
    const auto second = std::ranges::find_if(
        heads, [](const std::string& h) { return h.find("x-call-id: a2\n") != std::string::npos; });
    REQUIRE(second != heads.end());
    const std::string& fields = *second;
    const std::size_t at = fields.find("x-budget-ms: ");
    REQUIRE(at != std::string::npos);
    const int told = std::stoi(fields.substr(at + 13));
    CHECK(told <= 3000 - 900);
    CHECK(told >= 3000 - 1300);
  }
}

// A worker may be told of 150 ms more than the client has left, and a router may be held up for as long between its clock and
// its write: what it tells must not be more than is left as it reads the clock, and has to leave it time to answer.
TEST_CASE(
    "the time that an attempt tells its worker is no more than is left, with the router's own part taken "
    "off") {
  json settings = test_settings();
  settings["caps"]["attemptsCap"] = 2;
  PlatformFixture s(1, 1, settings);
  s.send("a", PlatformFixture::request("a1", PlatformFixture::request_body(), "1000"));
  REQUIRE(s.response("a").complete);
  const auto told = [&](const std::string& name) {
    const std::string& fields = s.worker(name).request_fields.at(0);
    return std::stoi(fields.substr(fields.find("x-budget-ms: ") + 13));
  };
  CHECK(told("reader-0") <= 1000 - 10);
  CHECK(told("reader-0") >= 1000 - 30);
  CHECK(told("writer-0") <= 980 - 10);
  CHECK(told("writer-0") >= 980 - 60);
}

}  // namespace cressrill::testing
