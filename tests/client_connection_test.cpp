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
std::vector<std::unique_ptr<RawClient>> fill_to_limit(PlatformFixture& site) {
  std::vector<std::unique_ptr<RawClient>> clients;
  while (site.node->connections() < kMaxClients && clients.size() <= kMaxClients) {
    clients.push_back(std::make_unique<RawClient>(site.node->address()));
    site.run_for(1);
  }
  REQUIRE(site.node->connections() == kMaxClients);
  return clients;
}

}  // namespace

// Eviction at the connection limit. Guards against a request whose connection is closed without a response.

TEST_CASE("at the limit, a connection with a partly read request is not evicted") {
  PlatformFixture site(1, 1, test_settings(), kDescriptors);
  const std::string request = PlatformFixture::request("a1");
  RawClient client(site.node->address());
  client.write(request.substr(0, 40));
  site.run_for(10);
  const auto idle_clients = fill_to_limit(site);
  RawClient newcomer(site.node->address());
  site.run_for(10);
  CHECK(site.node->connections() == kMaxClients);
  client.write(request.substr(40));
  site.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the limit, a connection with an unread request is not evicted") {
  PlatformFixture site(1, 1, test_settings(), kDescriptors);
  RawClient client(site.node->address());
  site.run_for(1);
  const auto idle_clients = fill_to_limit(site);
  RawClient newcomer(site.node->address());      // reported by epoll first
  client.write(PlatformFixture::request("a1"));  // reported by the same epoll_wait
  site.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the limit, if every connection has a partial request, the oldest is rejected with 503") {
  PlatformFixture site(1, 1, test_settings(), kDescriptors);
  std::vector<std::unique_ptr<RawClient>> halves;
  for (std::size_t i = 0; i < kMaxClients; ++i) {
    halves.push_back(std::make_unique<RawClient>(site.node->address()));
    halves.back()->write(PlatformFixture::request("h" + std::to_string(i)).substr(0, 200));
    site.run_for(1);
  }
  RawClient client(site.node->address());
  client.write(PlatformFixture::request("a1"));
  site.run_for(400);
  halves.front()->read();
  CHECK(halves.front()->text().starts_with("HTTP/1.1 503"));
  CHECK(halves.front()->ended());
  client.read();
  CHECK(is_complete_stream(client.text()));
  halves.back()->read();
  CHECK(halves.back()->text().empty());
}

// Timeouts.

TEST_CASE(
    "a request that is not complete in time is answered with 408 and its connection is closed without a "
    "reset") {
  const std::string request = PlatformFixture::request("a1");
  for (const std::size_t part : {std::size_t{30}, request.size() - 5}) {
    CAPTURE(part);
    PlatformFixture site(1, 1);
    RawClient client(site.node->address());
    client.write(request.substr(0, part));
    site.run_for(2900);
    client.write(request.substr(part));  // crosses the FIN of the router
    site.run_for(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(site.count_requests("POST") == 0);
    site.run_for(1500);
    CHECK(site.node->connections() == 0);
  }
}

// Clients that read more slowly than their worker writes.

namespace {

constexpr int kLargeEvents = 200;

std::string large_event() {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + std::string(50'000, 'x') + "\"}}]}\n\n";
}

// The decode worker streams 10 MB, more than fits in all buffers between it and a client that does not read.
void stream_more_than_buffers(PlatformFixture& site) {
  std::string text = FakeWorker::stream_head();
  for (int i = 0; i < kLargeEvents; ++i) text += FakeWorker::chunked(large_event());
  site.worker("writer-0").script = {{text + FakeWorker::chunked(FakeWorker::stream_end()) + "0\r\n\r\n"}};
}

}  // namespace

// Guards against cutting a stream whose client reads slowly.
TEST_CASE("a client that reads slowly gets its complete stream, however long that takes") {
  PlatformFixture site(1, 1);
  stream_more_than_buffers(site);
  RawClient client(site.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  for (int second = 0; second < 20; ++second) {
    site.run_for(1000);
    client.read(64 * 1024);
    REQUIRE(!client.ended());
    REQUIRE(!client.reset());
  }
  for (int i = 0; i < 5000 && !is_complete_stream(client.text()); ++i) {
    client.read();
    site.run_for(10);
  }
  CHECK(is_complete_stream(client.text()));
  CHECK(client.text().size() > kLargeEvents * large_event().size());
}

// Guards against a stalled client that occupies a worker and a connection and blocks a graceful shutdown for
// ever.
TEST_CASE("a client that reads nothing for 4.5 s is disconnected, and its worker is not blamed") {
  PlatformFixture site(1, 1);
  stream_more_than_buffers(site);
  RawClient client(site.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  site.run_for(3000);
  CHECK(site.open_requests("writer-0") == 1);
  site.run_for(3000);
  CHECK(site.open_requests("writer-0") == 0);
  CHECK(site.node->host().live_requests() == 0);
  CHECK(site.node->connections() == 0);
  CHECK(site.node->settled());
  site.send("b", PlatformFixture::request("b1"));
  CHECK(site.response("b").complete);
}

// Guards against an attempt that continues for a client that has left, because a write to the client is
// pending.
TEST_CASE("a client that closes its connection during a pending write is noticed at once") {
  PlatformFixture site(1, 1);
  stream_more_than_buffers(site);
  RawClient client(site.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  site.run_for(1000);
  REQUIRE(site.open_requests("writer-0") == 1);
  client.shutdown_write();
  site.run_for(50);
  CHECK(site.open_requests("writer-0") == 0);
  CHECK(site.node->host().live_requests() == 0);
}

TEST_CASE("a client that reads nothing does not delay the events of another") {
  PlatformFixture site(1, 2);
  stream_more_than_buffers(site);
  site.worker("writer-1").script = site.worker("writer-0").script;
  RawClient blocked(site.node->address(), 4096);
  blocked.write(PlatformFixture::request("a1"));
  site.run_for(1000);
  for (auto& w : site.workers) w->script.clear();
  RawClient client(site.node->address());
  client.write(PlatformFixture::request("b1"));
  std::size_t events = 0;
  // The stand-in worker writes an event every 20 ms; each arrives before the next one is written.
  for (int i = 0; i < 20 && events < 3; ++i) {
    site.run_for(20);
    client.read();
    std::size_t now = 0;
    for (int k = 0; k < 3; ++k) now += client.text().find(FakeWorker::event(k)) != std::string::npos;
    CHECK(now <= events + 1);
    events = now;
  }
  CHECK(events == 3);
}

// A client that stops in the middle of a request gets its error within 3 s, however long its connection was
// idle before.
TEST_CASE(
    "a partial request on an idle connection is rejected within 3 s of its first byte, but not at once") {
  for (const std::int64_t idle_ms : {100, 2300, 4700}) {
    CAPTURE(idle_ms);
    PlatformFixture site(1, 1);
    RawClient client(site.node->address());
    client.write(PlatformFixture::request("a1"));
    site.run_for(200);
    client.read();
    REQUIRE(is_complete_stream(client.text()));
    client.clear_text();
    site.run_for(idle_ms);
    client.write(PlatformFixture::request("a2").substr(0, 40));
    site.run_for(2000);
    client.read();
    CHECK(client.text().empty());
    site.run_for(950);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
  }
}

}  // namespace cressrill::testing
