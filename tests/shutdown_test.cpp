// The end of a process: what is still owed when it is told to end, and the orders in which that can cross with what comes.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

// Guards rule 5: nobody else knows of the state.
TEST_CASE("a process that is told to end waits until a worker has heard that a state is let go of") {
  PlatformFixture s(1, 1);
  s.worker("writer-0").script = always_reject();
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return !s.kv_entries.empty(); });
  s.worker("reader-0").crash();
  s.run_until([&] { return s.node->host().live_requests() == 0; });
  REQUIRE(!s.kv_entries.empty());
  CHECK(!s.node->settled());
  s.run_until([&] { return s.node->settled(); });
  CHECK(s.kv_entries.empty());
}

TEST_CASE("a process whose workers all are gone is not held up by a state for longer than its limit") {
  PlatformFixture s(1, 1);
  s.worker("writer-0").script = always_reject();
  s.send("a", PlatformFixture::request("a1"));
  s.run_until([&] { return !s.kv_entries.empty(); });
  for (auto& w : s.workers) w->crash();
  s.run_until([&] { return s.node->host().live_requests() == 0; });
  const io::Nanos over = s.loop.now();
  s.run_until([&] { return s.node->settled(); });
  CHECK(s.loop.now() - over <= s.node_config->config.settings.kv_hold_limit);
}

// Guards against an exit while a release may still reach a worker: SIGKILL comes 3.7 s after SIGTERM at the earliest.
TEST_CASE(
    "a process that ends while all links are silent for longer than the limit releases once they pass") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    PlatformFixture s(2, 2, settings_with_hold_limit(limit_ms));
    warm_up(s);
    for (auto& w : s.workers) w->link_silent = !w->is_prefill;
    send_requests(s, 2, "600");
    s.run_until([&] { return s.kv_entries.size() == 2; });
    for (auto& w : s.workers) w->link_silent = true;
    const io::Nanos told_to_end = s.loop.now();
    s.node->announce_shutdown();
    s.run_for(450);
    s.node->drain();
    s.run_for(100);
    s.node->close();
    s.run_until([&] { return s.node->settled() || s.loop.now() - told_to_end >= 2800 * kMs; });
    CHECK(!s.node->settled());
    for (auto& w : s.workers) w->link_silent = false, w->silent_connections = w->accepted_connections;
    s.run_until([&] { return s.node->settled() || s.loop.now() - told_to_end >= 3700 * kMs; });
    CHECK(s.node->settled());
    CHECK(s.kv_entries.empty());
  }
}

// Guards against an exit that takes a debt for over as it arises.
TEST_CASE("a client that leaves 3 s after the process has closed: what its request left is released") {
  for (const int limit_ms : {300, 1000})
    for (const int leaves_ms : {3100, 3400}) {
      CAPTURE(limit_ms);
      CAPTURE(leaves_ms);
      PlatformFixture s(2, 2, settings_with_hold_limit(limit_ms));
      warm_up(s);
      for (auto& w : s.workers) w->link_silent = true;
      s.node->announce_shutdown();
      s.run_for(450);
      s.node->drain();
      s.run_for(100);
      for (const char* id : {"a1", "a2", "a3", "a4"})
        s.send(id, PlatformFixture::request(id, PlatformFixture::request_body(), "8000"), leaves_ms * kMs);
      s.run_for(30);
      s.node->close();
      s.run_for(leaves_ms - 200);
      for (auto& w : s.workers)
        if (w->is_prefill) w->link_silent = false, w->silent_connections = w->accepted_connections;
      s.run_for(160);
      for (auto& w : s.workers) {  // new connections to one of them pass
        w->link_silent = w->name != "writer-1";
        w->silent_connections = w->link_silent ? 0 : w->accepted_connections;
      }
      REQUIRE(s.run_until([&] { return s.node->host().live_requests() == 0; }));
      CHECK(s.run_until([&] { return s.node->settled(); }));
      CHECK(s.kv_entries.empty());
    }
}

// Guards against a request that the machine has accepted and that nobody reads: its connection would be reset.
TEST_CASE("a connection that the machine accepted before the listener closes is answered") {
  PlatformFixture s(1, 1);
  RawClient client(s.node->address());
  client.write(PlatformFixture::request("a1"));
  s.node->close();  // the scheduler has not heard of that connection yet
  s.run_for(50);
  client.read();
  CHECK(client.text().starts_with("HTTP/1.1 503"));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(s.count_requests("POST") == 0);
}

TEST_CASE("GET /up denies once the end is announced, while requests are served as before") {
  PlatformFixture s(1, 1);
  s.node->announce_shutdown();
  s.send("up", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(s.response("up").status == 503);
  s.send("a", PlatformFixture::request("a1"));
  CHECK(s.response("a").complete);
  CHECK(!s.response("a").connection_closed);
}

// Guards against a request of which a part has been read and that is dropped without an answer.
TEST_CASE("half a request as connections begin to end: the rest is awaited, and it is served") {
  PlatformFixture s(1, 1);
  const std::string request = PlatformFixture::request("a1");
  for (const std::size_t part : {std::size_t{40}, request.size() - 5}) {
    CAPTURE(part);
    RawClient client(s.node->address());
    client.write(request.substr(0, part));
    s.run_for(20);
    s.node->drain();
    s.run_for(20);
    client.write(request.substr(part));
    s.run_for(400);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(client.ended());
    CHECK(!client.reset());
  }
}

TEST_CASE(
    "half a request as the process is about to end: it is refused once it is whole, and nothing is sent") {
  for (const bool on_a_resting_connection : {false, true}) {
    CAPTURE(on_a_resting_connection);
    PlatformFixture s(1, 1);
    const std::string request = PlatformFixture::request("a1");
    RawClient client(s.node->address());
    if (on_a_resting_connection) {
      client.write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
      s.run_for(10);
      client.read();
      client.clear_text();
    }
    client.write(request.substr(0, 40));
    s.run_for(20);
    s.node->close();
    s.run_for(20);
    client.write(request.substr(40));
    s.run_for(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 503"));
    CHECK(client.text().find("retry-after: 0.2") != std::string::npos);
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(s.count_requests("POST") == 0);
  }
}

TEST_CASE(
    "a stream that flows as the process is about to end comes to its end, and its connection ends in order") {
  PlatformFixture s(1, 1);
  s.worker("writer-0").stream_events = 100;
  RawClient client(s.node->address());
  client.write(PlatformFixture::request("a1"));
  s.run_for(200);
  s.node->close();
  s.run_for(100);
  CHECK(!s.node->settled());
  s.run_for(2500);
  client.read();
  CHECK(is_complete_stream(client.text()));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(s.node->settled());
}

// Guards against a request that was read with the one before it, and whose connection then ends without its answer.
TEST_CASE("requests that were read behind another one as the process drains or closes are answered, each") {
  for (const bool closes : {false, true}) {
    CAPTURE(closes);
    PlatformFixture s(1, 1);
    s.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 200 * kMs, true}};
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1") + PlatformFixture::request("a2") +
                 PlatformFixture::request("a3").substr(0, 50));
    s.run_for(100);
    closes ? s.node->close() : s.node->drain();
    s.run_for(400);
    client.write(PlatformFixture::request("a3").substr(50));
    s.run_for(500);
    client.read();
    std::size_t answers = 0;
    for (std::size_t at = 0; (at = client.text().find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++answers;
    CHECK(answers == 3);
    CHECK(client.text().starts_with("HTTP/1.1 200"));
    CHECK(client.ended());
    CHECK(!client.reset());
  }
}

// What is read after the end of a connection cannot be answered. Left unread, the kernel tells its client by a reset, and the
// client sends it again.
TEST_CASE("a request that comes once its connection has been ended is not read") {
  for (const bool between : {true, false}) {  // ended between two requests, or after an answer that ends it
    CAPTURE(between);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    if (!between) s.run_for(30), s.node->drain();
    s.run_for(300);
    if (between) s.node->drain(), s.run_for(5);
    client.read();
    REQUIRE(is_complete_stream(client.text()));
    REQUIRE(client.ended());
    client.write(PlatformFixture::request("a2"));
    s.run_for(1500);
    CHECK(client.write(" ") == 0);  // the reset has come
    CHECK(s.count_requests("POST") == 2);
  }
}

}  // namespace cressrill::testing
