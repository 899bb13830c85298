// Events between the choice of a worker for an attempt and the write of its first byte: the connection is
// established late, and in the meantime the worker starts to drain, the client leaves, or the time in which
// the attempt may begin ends.
#include "platform_fixture.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

// A drain takes effect after 40 ms, well within the 250 ms that connecting may take. Repeats have to begin
// within 150 ms, as 120 ms of the window are reserved for a delayed process.
json settings_for_effect(const std::string& effect) {
  json settings = test_settings();
  settings["obligations"]["stopSendingWithinMs"] = 80.0;
  settings["services"][0]["effect"] = effect;
  settings["services"][0]["windowMs"] = 270.0;
  return settings;
}

// A fixture with one fake prefill worker, and one decode worker whose connections the test handles step by
// step.
struct ManualDecodeWorker {
  explicit ManualDecodeWorker(const std::string& effect = "retryable")
      : fixture(1, 0, settings_for_effect(effect)) {
    update_status("up");
  }
  void update_status(const std::string& status) {
    fixture.discovery.update(PlatformFixture::target("late", server.address().to_string(), false, status));
    fixture.run_for(5);
  }
  // Lets the pending connection complete; returns what was received on it.
  std::string establish_connection() {
    server.drain_accept_queue();
    std::unique_ptr<RawConnection> connection;
    run_with_stopped_clock(fixture.loop, [&] { return connection || (connection = server.accept()); });
    REQUIRE(connection);
    run_with_stopped_clock(fixture.loop, [&] {
      connection->read();
      return connection->ended() || connection->reset() || !connection->text().empty();
    });
    return connection->text();
  }
  // Returns what was received once the attempt has ended; its connection may never be established.
  std::string received_after_attempt() {
    server.drain_accept_queue();
    fixture.run_for(300);
    const auto connection = server.accept();
    if (!connection) return "";
    connection->read();
    return connection->text();
  }
  // Waits for the connection of the first decode attempt, and for its request on it.
  std::unique_ptr<RawConnection> first_attempt() {
    std::unique_ptr<RawConnection> connection;
    for (int i = 0; i < 200 && !connection; ++i) {
      fixture.run_for(1);
      connection = server.accept();
    }
    REQUIRE(connection);
    fixture.run_for(1);
    connection->read();
    REQUIRE(connection->text().starts_with("POST"));
    return connection;
  }
  HangingServer server;
  PlatformFixture fixture;
};

// Waits until the prefill has ended and the connection of the decode attempt is pending.
void wait_for_connect(PlatformFixture& fixture) {
  for (int i = 0; i < 200 && fixture.kv_entries.empty(); ++i) fixture.run_for(1);
  REQUIRE(!fixture.kv_entries.empty());
  fixture.run_for(5);
}

}  // namespace

TEST_CASE("a connection that is established late still carries its request") {
  ManualDecodeWorker worker;
  worker.server.fill_accept_queue();
  worker.fixture.send("a", PlatformFixture::request("a1"));
  wait_for_connect(worker.fixture);
  CHECK(worker.establish_connection().starts_with("POST /v1/chat/completions"));
}

// Guards rule 3: no requests to a draining worker after its grace period.
TEST_CASE(
    "a worker starts to drain while the connection is pending: nothing is sent to it after its grace "
    "period") {
  ManualDecodeWorker worker;
  worker.server.fill_accept_queue();
  worker.fixture.send("a", PlatformFixture::request("a1"));
  wait_for_connect(worker.fixture);
  worker.update_status("draining");
  worker.fixture.run_for(60);
  CHECK(worker.establish_connection().empty());
}

TEST_CASE("the client leaves while the connection is pending: nothing is sent") {
  ManualDecodeWorker worker;
  worker.server.fill_accept_queue();
  RawClient client(worker.fixture.node->address());
  client.write(PlatformFixture::request("a1"));
  wait_for_connect(worker.fixture);
  client.close();
  worker.fixture.run_for(5);
  CHECK(worker.fixture.node->host().active_requests() == 0);
  CHECK(worker.received_after_attempt().empty());
}

// Guards rule 2: a repeat that the worker no longer recognizes as one would take effect twice.
TEST_CASE(
    "a repeat whose connection is established after its window is not sent, and the client gets a response "
    "at once") {
  ManualDecodeWorker worker("dedup");
  PlatformFixture& fixture = worker.fixture;
  fixture.send("a", PlatformFixture::request("a1"));
  const auto first_connection = worker.first_attempt();
  worker.server.fill_accept_queue();
  fixture.run_for(100);
  first_connection->close(true);
  fixture.run_for(40);  // the second attempt connects
  CHECK(!fixture.last_responses.contains("a"));
  fixture.run_for(20);
  CHECK(worker.received_after_attempt().empty());
  CHECK(fixture.response("a").status != 0);
  CHECK(fixture.response("a").elapsed < 300 * kMs);  // the pending connect may take longer
}

// Guards against unsolicited bytes from a worker being parsed as the start of its next response.
TEST_CASE("an idle connection on which part of a line was received is not reused") {
  PlatformFixture fixture(1, 1);
  fixture.worker("reader-0").script = {
      {"HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":77}",
       ScriptedResponse::Finish::keep_alive, 0, false, true, "HTTP/1.1 2", 60 * kMs}};
  fixture.send("a", PlatformFixture::request("a1"));
  CHECK(fixture.response("a").complete);
  fixture.run_for(100);
  fixture.send("b", PlatformFixture::request("b1"));
  CHECK(fixture.response("b").complete);
  CHECK(fixture.worker("reader-0").accepted_connections == 2);
  CHECK(fixture.count_requests("POST") == 4);
}

// Guards against sending a worker a longer time limit than the client has left: the time also runs while a
// request waits behind another one on the client's connection, whether it has been read or not.
TEST_CASE(
    "the time limit of a request that waited behind another on its connection counts from its arrival") {
  for (const bool read_at_once : {true, false}) {
    CAPTURE(read_at_once);
    json settings = test_settings();
    settings["caps"]["attemptsCap"] = 2;  // each attempt gets all of the time
    PlatformFixture fixture(1, 1, settings);
    fixture.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 1000 * kMs, true}};
    RawClient client(fixture.node->address());
    client.write(read_at_once ? PlatformFixture::request("a1") +
                                    PlatformFixture::request("a2", PlatformFixture::request_body(), "3000")
                              : PlatformFixture::request("a1"));
    fixture.run_for(100);
    if (!read_at_once) client.write(PlatformFixture::request("a2", PlatformFixture::request_body(), "3000"));
    fixture.run_for(1800);
    const auto& request_fields = fixture.worker("reader-0").request_fields;
    const auto second_request = std::ranges::find_if(request_fields, [](const std::string& text) {
      return text.find("x-call-id: a2\n") != std::string::npos;
    });
    REQUIRE(second_request != request_fields.end());
    const std::string& fields = *second_request;
    const std::size_t position = fields.find("x-budget-ms: ");
    REQUIRE(position != std::string::npos);
    const int sent_limit = std::stoi(fields.substr(position + 13));
    CHECK(sent_limit <= 3000 - 900);
    CHECK(sent_limit >= 3000 - 1300);
  }
}

// The time limit sent to a worker may exceed what the client has left by up to 150 ms, but the router may be
// delayed by as much between reading its clock and the write. So the limit must not exceed what is left when
// the clock is read, and it has to leave the router time to respond.
TEST_CASE("the time limit sent to a worker is at most the time left, less the router's own share") {
  json settings = test_settings();
  settings["caps"]["attemptsCap"] = 2;
  PlatformFixture fixture(1, 1, settings);
  fixture.send("a", PlatformFixture::request("a1", PlatformFixture::request_body(), "1000"));
  REQUIRE(fixture.response("a").complete);
  const auto sent_limit = [&](const std::string& name) {
    const std::string& fields = fixture.worker(name).request_fields.at(0);
    return std::stoi(fields.substr(fields.find("x-budget-ms: ") + 13));
  };
  CHECK(sent_limit("reader-0") <= 1000 - 10);
  CHECK(sent_limit("reader-0") >= 1000 - 30);
  CHECK(sent_limit("writer-0") <= 980 - 10);
  CHECK(sent_limit("writer-0") >= 980 - 60);
}

}  // namespace cressrill::testing
