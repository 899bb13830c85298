// Shutdown: releases, requests and connections that are open when it starts, or arrive while it is running.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

// Guards against KV cache that stays held because the only process that knew of it has exited (rule 5).
TEST_CASE("a process that shuts down waits until a worker has received the release of held KV cache") {
  PlatformFixture fixture(1, 1);
  fixture.worker("writer-0").script = always_reject();
  fixture.send("a", PlatformFixture::request("a1"));
  fixture.run_until([&] { return !fixture.kv_entries.empty(); });
  fixture.worker("reader-0").crash();
  fixture.run_until([&] { return fixture.node->host().active_requests() == 0; });
  REQUIRE(!fixture.kv_entries.empty());
  CHECK(!fixture.node->settled());
  fixture.run_until([&] { return fixture.node->settled(); });
  CHECK(fixture.kv_entries.empty());
}

TEST_CASE("a process whose workers are all gone waits for a release no longer than the KV hold limit") {
  PlatformFixture fixture(1, 1);
  fixture.worker("writer-0").script = always_reject();
  fixture.send("a", PlatformFixture::request("a1"));
  fixture.run_until([&] { return !fixture.kv_entries.empty(); });
  for (auto& worker : fixture.workers) worker->crash();
  fixture.run_until([&] { return fixture.node->host().active_requests() == 0; });
  const io::Nanos ended_at = fixture.loop.now();
  fixture.run_until([&] { return fixture.node->settled(); });
  CHECK(fixture.loop.now() - ended_at <= fixture.node_config->config.settings.kv_hold_limit);
}

// Guards against an exit while a release could still reach a worker: SIGKILL follows SIGTERM after 3.7 s at
// the earliest.
TEST_CASE(
    "a process that shuts down while all links are silent beyond the limit sends its releases once they "
    "recover") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms));
    warm_up(fixture);
    for (auto& worker : fixture.workers) worker->link_silent = !worker->is_prefill;
    send_requests(fixture, 2, "600");
    fixture.run_until([&] { return fixture.kv_entries.size() == 2; });
    for (auto& worker : fixture.workers) worker->link_silent = true;
    const io::Nanos shutdown_at = fixture.loop.now();
    fixture.node->announce_shutdown();
    fixture.run_for(450);
    fixture.node->drain();
    fixture.run_for(100);
    fixture.node->close();
    fixture.run_until(
        [&] { return fixture.node->settled() || fixture.loop.now() - shutdown_at >= 2800 * kMs; });
    CHECK(!fixture.node->settled());
    for (auto& worker : fixture.workers) {
      worker->link_silent = false;
      worker->silent_connections = worker->accepted_connections;
    }
    fixture.run_until(
        [&] { return fixture.node->settled() || fixture.loop.now() - shutdown_at >= 3700 * kMs; });
    CHECK(fixture.node->settled());
    CHECK(fixture.kv_entries.empty());
  }
}

// Guards against an exit that treats a release as overdue at the moment it becomes necessary.
TEST_CASE("a client leaves 3 s after the process has closed: the KV cache of its request is released") {
  for (const int limit_ms : {300, 1000})
    for (const int leave_after_ms : {3100, 3400}) {
      CAPTURE(limit_ms);
      CAPTURE(leave_after_ms);
      PlatformFixture fixture(2, 2, settings_with_hold_limit(limit_ms));
      warm_up(fixture);
      for (auto& worker : fixture.workers) worker->link_silent = true;
      fixture.node->announce_shutdown();
      fixture.run_for(450);
      fixture.node->drain();
      fixture.run_for(100);
      for (const char* id : {"a1", "a2", "a3", "a4"})
        fixture.send(id, PlatformFixture::request(id, PlatformFixture::request_body(), "8000"),
                     leave_after_ms * kMs);
      fixture.run_for(30);
      fixture.node->close();
      fixture.run_for(leave_after_ms - 200);
      for (auto& worker : fixture.workers)
        if (worker->is_prefill) {
          worker->link_silent = false;
          worker->silent_connections = worker->accepted_connections;
        }
      fixture.run_for(160);
      for (auto& worker : fixture.workers) {  // new connections to writer-1 work
        worker->link_silent = worker->name != "writer-1";
        worker->silent_connections = worker->link_silent ? 0 : worker->accepted_connections;
      }
      REQUIRE(fixture.run_until([&] { return fixture.node->host().active_requests() == 0; }));
      CHECK(fixture.run_until([&] { return fixture.node->settled(); }));
      CHECK(fixture.kv_entries.empty());
    }
}

// Guards against a reset of a connection that the kernel has accepted and whose request nobody reads.
TEST_CASE("a connection that the kernel accepted before the listener closes gets a response") {
  PlatformFixture fixture(1, 1);
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("a1"));
  fixture.node->close();  // the event loop has not seen that connection yet
  fixture.run_for(50);
  client.read();
  CHECK(client.text().starts_with("HTTP/1.1 503"));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(fixture.count_requests("POST") == 0);
}

TEST_CASE("GET /up fails once shutdown is announced, while requests are still served") {
  PlatformFixture fixture(1, 1);
  fixture.node->announce_shutdown();
  fixture.send("up", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(fixture.response("up").status == 503);
  fixture.send("a", PlatformFixture::request("a1"));
  CHECK(fixture.response("a").complete);
  CHECK(!fixture.response("a").connection_closed);
}

// Guards against a request that is dropped without a response after a part of it was read.
TEST_CASE("a partly received request as connections are drained: the rest is read, and it is served") {
  PlatformFixture fixture(1, 1);
  const std::string request = PlatformFixture::request("a1");
  for (const std::size_t first_part_bytes : {std::size_t{40}, request.size() - 5}) {
    CAPTURE(first_part_bytes);
    RawClient client(fixture.node->address());
    client.write(request.substr(0, first_part_bytes));
    fixture.run_for(20);
    fixture.node->drain();
    fixture.run_for(20);
    client.write(request.substr(first_part_bytes));
    fixture.run_for(400);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(client.ended());
    CHECK(!client.reset());
  }
}

TEST_CASE(
    "a partly received request as the process closes: it is rejected once it is complete, and nothing is "
    "sent") {
  for (const bool on_idle_connection : {false, true}) {
    CAPTURE(on_idle_connection);
    PlatformFixture fixture(1, 1);
    const std::string request = PlatformFixture::request("a1");
    RawClient client(fixture.node->address());
    if (on_idle_connection) {
      client.write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
      fixture.run_for(10);
      client.read();
      client.clear_text();
    }
    client.write(request.substr(0, 40));
    fixture.run_for(20);
    fixture.node->close();
    fixture.run_for(20);
    client.write(request.substr(40));
    fixture.run_for(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 503"));
    CHECK(client.text().find("retry-after: 0.2") != std::string::npos);
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(fixture.count_requests("POST") == 0);
  }
}

TEST_CASE("an active stream as the process closes is completed, and its connection is closed in order") {
  PlatformFixture fixture(1, 1);
  fixture.worker("writer-0").stream_events = 100;
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(200);
  fixture.node->close();
  fixture.run_for(100);
  CHECK(!fixture.node->settled());
  fixture.run_for(2500);
  client.read();
  CHECK(is_complete_stream(client.text()));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(fixture.node->settled());
}

// Guards against a connection that closes without a response to a request that was read together with the one
// before it.
TEST_CASE("requests that were read behind another one as the process drains or closes all get a response") {
  for (const bool process_closes : {false, true}) {
    CAPTURE(process_closes);
    PlatformFixture fixture(1, 1);
    fixture.worker("writer-0").script = {{"", ScriptedResponse::Finish::keep_alive, 200 * kMs, true}};
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1") + PlatformFixture::request("a2") +
                 PlatformFixture::request("a3").substr(0, 50));
    fixture.run_for(100);
    process_closes ? fixture.node->close() : fixture.node->drain();
    fixture.run_for(400);
    client.write(PlatformFixture::request("a3").substr(50));
    fixture.run_for(500);
    client.read();
    std::size_t responses = 0;
    for (std::size_t position = 0;
         (position = client.text().find("HTTP/1.1 ", position)) != std::string::npos; ++position)
      ++responses;
    CHECK(responses == 3);
    CHECK(client.text().starts_with("HTTP/1.1 200"));
    CHECK(client.ended());
    CHECK(!client.reset());
  }
}

// Guards against reading a request that can no longer get a response. If it is left unread, the kernel resets
// the connection, and the client sends the request again.
TEST_CASE("a request that arrives after its connection was closed is not read") {
  // Closed between two requests, or after a response that closes it.
  for (const bool between_requests : {true, false}) {
    CAPTURE(between_requests);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    if (!between_requests) {
      fixture.run_for(30);
      fixture.node->drain();
    }
    fixture.run_for(300);
    if (between_requests) {
      fixture.node->drain();
      fixture.run_for(5);
    }
    client.read();
    REQUIRE(is_complete_stream(client.text()));
    REQUIRE(client.ended());
    client.write(PlatformFixture::request("a2"));
    fixture.run_for(1500);
    CHECK(client.write(" ") == 0);  // the reset has arrived
    CHECK(fixture.count_requests("POST") == 2);
  }
}

}  // namespace cressrill::testing
