// Tests of how client connections end: eviction at the connection limit, timeouts, clients that close or
// stall. Each case controls the order of events: RawClient acts between periods of simulated time.
#include "platform_fixture.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

constexpr std::size_t kDescriptors = 32;
// The share of the descriptors that platform/node_config.cpp gives to clients, less one that stays free for
// the next connection.
constexpr std::size_t kMaxClients = kDescriptors * 45 / 100 - 1;

// Connects clients that send nothing, one after another, until the router is at its connection limit.
std::vector<std::unique_ptr<RawClient>> fill_to_limit(PlatformFixture& fixture) {
  std::vector<std::unique_ptr<RawClient>> clients;
  while (fixture.node->connections() < kMaxClients && clients.size() <= kMaxClients) {
    clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
    fixture.run_for(1);
  }
  REQUIRE(fixture.node->connections() == kMaxClients);
  return clients;
}

}  // namespace

// Eviction at the connection limit. Guards against a request whose connection is closed without a response.

TEST_CASE("at the limit, a connection with a partly read request is not evicted") {
  PlatformFixture fixture(1, 1, test_settings(), kDescriptors);
  const std::string request = PlatformFixture::request("a1");
  RawClient client(fixture.node->address());
  client.write(request.substr(0, 40));
  fixture.run_for(10);
  const auto idle_clients = fill_to_limit(fixture);
  RawClient newcomer(fixture.node->address());
  fixture.run_for(10);
  CHECK(fixture.node->connections() == kMaxClients);
  client.write(request.substr(40));
  fixture.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the limit, a connection with an unread request is not evicted") {
  PlatformFixture fixture(1, 1, test_settings(), kDescriptors);
  RawClient client(fixture.node->address());
  fixture.run_for(1);
  const auto idle_clients = fill_to_limit(fixture);
  RawClient newcomer(fixture.node->address());   // reported by epoll first
  client.write(PlatformFixture::request("a1"));  // reported by the same epoll_wait
  fixture.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the limit, if every connection has a partial request, the oldest is rejected with 503") {
  PlatformFixture fixture(1, 1, test_settings(), kDescriptors);
  std::vector<std::unique_ptr<RawClient>> partial_clients;
  for (std::size_t i = 0; i < kMaxClients; ++i) {
    partial_clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
    partial_clients.back()->write(PlatformFixture::request("h" + std::to_string(i)).substr(0, 200));
    fixture.run_for(1);
  }
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(400);
  partial_clients.front()->read();
  CHECK(partial_clients.front()->text().starts_with("HTTP/1.1 503"));
  CHECK(partial_clients.front()->ended());
  client.read();
  CHECK(is_complete_stream(client.text()));
  partial_clients.back()->read();
  CHECK(partial_clients.back()->text().empty());
}

// Timeouts.

TEST_CASE("a request that is not complete in time gets a 408 and its connection is closed without a reset") {
  const std::string request = PlatformFixture::request("a1");
  for (const std::size_t first_part_bytes : {std::size_t{30}, request.size() - 5}) {
    CAPTURE(first_part_bytes);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(request.substr(0, first_part_bytes));
    fixture.run_for(2900);
    client.write(request.substr(first_part_bytes));  // crosses the FIN of the router
    fixture.run_for(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(fixture.count_requests("POST") == 0);
    fixture.run_for(1500);
    CHECK(fixture.node->connections() == 0);
  }
}

// Guards against clients that make the router keep in memory whatever they send (review/3).
TEST_CASE(
    "a client whose chunk size line does not end gets a 400 and a close at once, whatever it goes on to "
    "send") {
  constexpr std::size_t kSentBytes = 1'000'000;
  const std::string request = PlatformFixture::request("a1");
  PlatformFixture fixture(1, 1);
  RawClient client(fixture.node->address());
  client.write(request.substr(0, request.find("Content-Length")) + "Transfer-Encoding: chunked\r\n\r\n1f;x=");
  const std::string line(kSentBytes / 10, 'x');
  for (std::size_t sent = 0; sent < kSentBytes; sent += line.size()) {
    client.write(line);
    fixture.run_for(1);
  }
  client.read();
  CHECK(client.text().starts_with("HTTP/1.1 400"));
  CHECK(client.ended());
  CHECK(fixture.count_requests("POST") == 0);
  fixture.run_for(1500);
  CHECK(fixture.node->connections() == 0);
}

// Clients that read more slowly than their worker writes.

namespace {

constexpr int kLargeEvents = 200;

std::string large_event() {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + std::string(50'000, 'x') + "\"}}]}\n\n";
}

// The decode worker streams 10 MB, more than fits in all buffers between it and a client that does not read.
void stream_more_than_buffers(PlatformFixture& fixture) {
  std::string text = FakeWorker::stream_head();
  for (int i = 0; i < kLargeEvents; ++i) text += FakeWorker::chunked(large_event());
  fixture.worker("writer-0").script = {{text + FakeWorker::chunked(FakeWorker::stream_end()) + "0\r\n\r\n"}};
}

}  // namespace

// Guards against cutting a stream whose client reads slowly.
TEST_CASE("a client that reads slowly gets its complete stream, however long that takes") {
  PlatformFixture fixture(1, 1);
  stream_more_than_buffers(fixture);
  RawClient client(fixture.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  for (int second = 0; second < 20; ++second) {
    fixture.run_for(1000);
    client.read(64 * 1024);
    REQUIRE(!client.ended());
    REQUIRE(!client.reset());
  }
  for (int i = 0; i < 5000 && !is_complete_stream(client.text()); ++i) {
    client.read();
    fixture.run_for(10);
  }
  CHECK(is_complete_stream(client.text()));
  CHECK(client.text().size() > kLargeEvents * large_event().size());
}

// Guards against a stalled client that occupies a worker and a connection and blocks a graceful shutdown for
// ever.
TEST_CASE("a client that reads nothing for 4.5 s is disconnected, and its worker still counts as healthy") {
  PlatformFixture fixture(1, 1);
  stream_more_than_buffers(fixture);
  RawClient client(fixture.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(100);
  REQUIRE(client.wait_until_acknowledged());
  fixture.run_for(2900);
  CHECK(fixture.open_requests("writer-0") == 1);
  fixture.run_for(3000);
  CHECK(fixture.open_requests("writer-0") == 0);
  CHECK(fixture.node->host().active_requests() == 0);
  CHECK(fixture.node->connections() == 0);
  CHECK(fixture.node->settled());
  fixture.send("b", PlatformFixture::request("b1"));
  CHECK(fixture.response("b").complete);
}

// Guards against an attempt that continues for a client that has left, because a write to the client is
// pending.
TEST_CASE("a client that closes its connection during a pending write is noticed at once") {
  PlatformFixture fixture(1, 1);
  stream_more_than_buffers(fixture);
  RawClient client(fixture.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(1000);
  REQUIRE(fixture.open_requests("writer-0") == 1);
  client.shutdown_write();
  fixture.run_for(50);
  CHECK(fixture.open_requests("writer-0") == 0);
  CHECK(fixture.node->host().active_requests() == 0);
}

// Guards against attempts for a client that has gone behind bytes that nobody reads (review/10).
TEST_CASE("a client that sends much at once and closes its connection is noticed at once") {
  for (const bool within_limit : {true, false}) {
    CAPTURE(within_limit);
    PlatformFixture fixture(1, 1);
    fixture.worker("reader-0").script = {{"", ScriptedResponse::Finish::keep_alive, 600 * kMs, true}};
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    fixture.run_for(20);
    REQUIRE(fixture.count_requests("POST") == 1);
    const std::string further = PlatformFixture::request("b1", PlatformFixture::request_body(4'000));
    for (int i = 0; i < (within_limit ? 20 : 300); ++i) {
      client.write(further);
      fixture.run_for(1);
    }
    if (within_limit) client.close();
    fixture.run_for(100);
    CHECK(fixture.node->host().active_requests() == 0);
    fixture.run_for(2000);
    CHECK(fixture.count_requests("POST") == 1);
  }
}

// Guards against a request that was read behind a stream that breaks, and then closed in order (review/8).
TEST_CASE("a request read behind a stream that breaks: its client gets a reset, and it is not sent on") {
  PlatformFixture fixture(1, 1);
  fixture.worker("writer-0").script = {{FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0)),
                                        ScriptedResponse::Finish::reset}};
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("a1") + PlatformFixture::request("b1"));
  fixture.run_for(1000);
  client.read();
  CHECK(client.reset());
  CHECK(!is_complete_stream(client.text()));
  CHECK(fixture.count_requests("POST") == 2);  // prefill and decode of a1
}

TEST_CASE("a client that reads nothing does not delay the events of another") {
  PlatformFixture fixture(1, 2);
  stream_more_than_buffers(fixture);
  fixture.worker("writer-1").script = fixture.worker("writer-0").script;
  RawClient blocked(fixture.node->address(), 4096);
  blocked.write(PlatformFixture::request("a1"));
  fixture.run_for(1000);
  for (auto& worker : fixture.workers) worker->script.clear();
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("b1"));
  std::size_t seen_events = 0;
  // The fake worker writes an event every 20 ms. Each arrives before the next one is written.
  for (int i = 0; i < 20 && seen_events < 3; ++i) {
    fixture.run_for(20);
    client.read();
    std::size_t arrived_events = 0;
    for (int event_index = 0; event_index < 3; ++event_index)
      arrived_events += client.text().find(FakeWorker::event(event_index)) != std::string::npos;
    CHECK(arrived_events <= seen_events + 1);
    seen_events = arrived_events;
  }
  CHECK(seen_events == 3);
}

// A client that stops in the middle of a request gets an error within 3 s, however long its connection was
// idle before.
TEST_CASE(
    "a partial request on an idle connection is rejected within 3 s of its first byte, but not at once") {
  for (const std::int64_t idle_ms : {100, 2300, 4700}) {
    CAPTURE(idle_ms);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    fixture.run_for(200);
    client.read();
    REQUIRE(is_complete_stream(client.text()));
    client.clear_text();
    fixture.run_for(idle_ms);
    client.write(PlatformFixture::request("a2").substr(0, 40));
    fixture.run_for(2000);
    client.read();
    CHECK(client.text().empty());
    fixture.run_for(950);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
  }
}

}  // namespace cressrill::testing
