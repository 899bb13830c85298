// The end of a process: what is still owed when it is told to end, and the orders in which that can cross with what comes.
#include "kv_hold_monitor.h"
#include "raw_server.h"

namespace cressrill::testing {

// Guards rule 5: nobody else knows of the state.
TEST_CASE("a process that is told to end waits until a worker has heard that a state is let go of") {
  Site s(1, 1);
  s.worker("writer-0").acts = always_full();
  s.send("a", Site::call("a1"));
  s.until([&] { return !s.states.empty(); });
  s.worker("reader-0").die();
  s.until([&] { return s.node->host().live() == 0; });
  REQUIRE(!s.states.empty());
  CHECK(!s.node->settled());
  s.until([&] { return s.node->settled(); });
  CHECK(s.states.empty());
}

TEST_CASE("a process whose workers all are gone is not held up by a state for longer than its limit") {
  Site s(1, 1);
  s.worker("writer-0").acts = always_full();
  s.send("a", Site::call("a1"));
  s.until([&] { return !s.states.empty(); });
  for (auto& w : s.workers) w->die();
  s.until([&] { return s.node->host().live() == 0; });
  const io::Nanos over = s.loop.now();
  s.until([&] { return s.node->settled(); });
  CHECK(s.loop.now() - over <= s.placement->station.deployment.pin_limit);
}

// Guards against an exit while a release may still reach a worker: SIGKILL comes 3.7 s after SIGTERM at the earliest.
TEST_CASE(
    "a process that ends while all links are silent for longer than the limit releases once they pass") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    Site s(2, 2, with_limit(limit_ms));
    warm(s);
    for (auto& w : s.workers) w->cut = !w->reads;
    send_some(s, 2, "600");
    s.until([&] { return s.states.size() == 2; });
    for (auto& w : s.workers) w->cut = true;
    const io::Nanos told_to_end = s.loop.now();
    s.node->announce_end();
    s.pass(450);
    s.node->drain();
    s.pass(100);
    s.node->close();
    s.until([&] { return s.node->settled() || s.loop.now() - told_to_end >= 2800 * kMs; });
    CHECK(!s.node->settled());
    for (auto& w : s.workers) w->cut = false, w->cut_connections = w->connections;
    s.until([&] { return s.node->settled() || s.loop.now() - told_to_end >= 3700 * kMs; });
    CHECK(s.node->settled());
    CHECK(s.states.empty());
  }
}

// Guards against an exit that takes a debt for over as it arises.
TEST_CASE("a client that leaves 3 s after the process has closed: what its request left is released") {
  for (const int limit_ms : {300, 1000})
    for (const int leaves_ms : {3100, 3400}) {
      CAPTURE(limit_ms);
      CAPTURE(leaves_ms);
      Site s(2, 2, with_limit(limit_ms));
      warm(s);
      for (auto& w : s.workers) w->cut = true;
      s.node->announce_end();
      s.pass(450);
      s.node->drain();
      s.pass(100);
      for (const char* id : {"a1", "a2", "a3", "a4"})
        s.send(id, Site::call(id, Site::prompt(), "8000"), leaves_ms * kMs);
      s.pass(30);
      s.node->close();
      s.pass(leaves_ms - 200);
      for (auto& w : s.workers)
        if (w->reads) w->cut = false, w->cut_connections = w->connections;
      s.pass(160);
      for (auto& w : s.workers) {  // new connections to one of them pass
        w->cut = w->name != "writer-1";
        w->cut_connections = w->cut ? 0 : w->connections;
      }
      REQUIRE(s.until([&] { return s.node->host().live() == 0; }));
      CHECK(s.until([&] { return s.node->settled(); }));
      CHECK(s.states.empty());
    }
}

// Guards against a request that the machine has accepted and that nobody reads: its connection would be reset.
TEST_CASE("a connection that the machine accepted before the listener closes is answered") {
  Site s(1, 1);
  RawClient client(s.node->address());
  client.write(Site::call("a1"));
  s.node->close();  // the scheduler has not heard of that connection yet
  s.pass(50);
  client.read();
  CHECK(client.text().starts_with("HTTP/1.1 503"));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(s.lines("POST") == 0);
}

TEST_CASE("GET /up denies once the end is announced, while requests are served as before") {
  Site s(1, 1);
  s.node->announce_end();
  s.send("up", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(s.answer("up").status == 503);
  s.send("a", Site::call("a1"));
  CHECK(s.answer("a").whole);
  CHECK(!s.answer("a").closed);
}

// Guards against a request of which a part has been read and that is dropped without an answer.
TEST_CASE("half a request as connections begin to end: the rest is awaited, and it is served") {
  Site s(1, 1);
  const std::string request = Site::call("a1");
  for (const std::size_t part : {std::size_t{40}, request.size() - 5}) {
    CAPTURE(part);
    RawClient client(s.node->address());
    client.write(request.substr(0, part));
    s.pass(20);
    s.node->drain();
    s.pass(20);
    client.write(request.substr(part));
    s.pass(400);
    client.read();
    CHECK(served_whole(client.text()));
    CHECK(client.ended());
    CHECK(!client.reset());
  }
}

TEST_CASE(
    "half a request as the process is about to end: it is refused once it is whole, and nothing is sent") {
  for (const bool on_a_resting_connection : {false, true}) {
    CAPTURE(on_a_resting_connection);
    Site s(1, 1);
    const std::string request = Site::call("a1");
    RawClient client(s.node->address());
    if (on_a_resting_connection) {
      client.write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
      s.pass(10);
      client.read();
      client.forget_text();
    }
    client.write(request.substr(0, 40));
    s.pass(20);
    s.node->close();
    s.pass(20);
    client.write(request.substr(40));
    s.pass(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 503"));
    CHECK(client.text().find("retry-after: 0.2") != std::string::npos);
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(s.lines("POST") == 0);
  }
}

TEST_CASE(
    "a stream that flows as the process is about to end comes to its end, and its connection ends in order") {
  Site s(1, 1);
  s.worker("writer-0").events = 100;
  RawClient client(s.node->address());
  client.write(Site::call("a1"));
  s.pass(200);
  s.node->close();
  s.pass(100);
  CHECK(!s.node->settled());
  s.pass(2500);
  client.read();
  CHECK(served_whole(client.text()));
  CHECK(client.ended());
  CHECK(!client.reset());
  CHECK(s.node->settled());
}

// Guards against a request that was read with the one before it, and whose connection then ends without its answer.
TEST_CASE("requests that were read behind another one as the process drains or closes are answered, each") {
  for (const bool closes : {false, true}) {
    CAPTURE(closes);
    Site s(1, 1);
    s.worker("writer-0").acts = {{"", Act::Then::keep, 200 * kMs, true}};
    RawClient client(s.node->address());
    client.write(Site::call("a1") + Site::call("a2") + Site::call("a3").substr(0, 50));
    s.pass(100);
    closes ? s.node->close() : s.node->drain();
    s.pass(400);
    client.write(Site::call("a3").substr(50));
    s.pass(500);
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
    Site s(1, 1);
    RawClient client(s.node->address());
    client.write(Site::call("a1"));
    if (!between) s.pass(30), s.node->drain();
    s.pass(300);
    if (between) s.node->drain(), s.pass(5);
    client.read();
    REQUIRE(served_whole(client.text()));
    REQUIRE(client.ended());
    client.write(Site::call("a2"));
    s.pass(1500);
    CHECK(client.write(" ") == 0);  // the reset has come
    CHECK(s.lines("POST") == 2);
  }
}

}  // namespace cressrill::testing
