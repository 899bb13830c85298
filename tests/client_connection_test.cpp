// How connections of clients end: evicted at the bound, overdue, left by their client, stalled, told to end. Each case
// forces its order by hand: RawClient steps between stretches of handed time.
#include "platform_fixture.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

constexpr std::size_t kDescriptors = 32;
// As platform/placement.cpp divides them; one place is kept free for the next connection.
constexpr std::size_t kMostClients = kDescriptors * 45 / 100 - 1;

// Connects clients that say nothing, one after another, until the router holds as many connections as it may.
std::vector<std::unique_ptr<RawClient>> fill(PlatformFixture& site) {
  std::vector<std::unique_ptr<RawClient>> out;
  while (site.node->connections() < kMostClients && out.size() <= kMostClients) {
    out.push_back(std::make_unique<RawClient>(site.node->address()));
    site.run_for(1);
  }
  REQUIRE(site.node->connections() == kMostClients);
  return out;
}

}  // namespace

// Eviction at the bound. Guards against a request that is dropped without an answer as its connection is closed.

TEST_CASE("at the bound, a connection of which half a request has been read does not make way") {
  PlatformFixture s(1, 1, test_settings(), kDescriptors);
  const std::string request = PlatformFixture::request("a1");
  RawClient client(s.node->address());
  client.write(request.substr(0, 40));
  s.run_for(10);
  const auto silent = fill(s);
  RawClient one_more(s.node->address());
  s.run_for(10);
  CHECK(s.node->connections() == kMostClients);
  client.write(request.substr(40));
  s.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the bound, a connection whose request has come and is unread does not make way") {
  PlatformFixture s(1, 1, test_settings(), kDescriptors);
  RawClient client(s.node->address());
  s.run_for(1);
  const auto silent = fill(s);
  RawClient one_more(s.node->address());         // the scheduler hears of this first,
  client.write(PlatformFixture::request("a1"));  // and of this in the same look at the sockets
  s.run_for(400);
  client.read();
  CHECK(is_complete_stream(client.text()));
}

TEST_CASE("at the bound, where all carry a part of a request, the longest is told that there is no room") {
  PlatformFixture s(1, 1, test_settings(), kDescriptors);
  std::vector<std::unique_ptr<RawClient>> halves;
  for (std::size_t i = 0; i < kMostClients; ++i) {
    halves.push_back(std::make_unique<RawClient>(s.node->address()));
    halves.back()->write(PlatformFixture::request("h" + std::to_string(i)).substr(0, 200));
    s.run_for(1);
  }
  RawClient client(s.node->address());
  client.write(PlatformFixture::request("a1"));
  s.run_for(400);
  halves.front()->read();
  CHECK(halves.front()->text().starts_with("HTTP/1.1 503"));
  CHECK(halves.front()->ended());
  client.read();
  CHECK(is_complete_stream(client.text()));
  halves.back()->read();
  CHECK(halves.back()->text().empty());
}

// Time-outs.

TEST_CASE("a request that does not become whole in time is answered 408 and its connection ends in order") {
  const std::string request = PlatformFixture::request("a1");
  for (const std::size_t part : {std::size_t{30}, request.size() - 5}) {
    CAPTURE(part);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(request.substr(0, part));
    s.run_for(2900);
    client.write(request.substr(part));  // crosses the end
    s.run_for(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(s.count_requests("POST") == 0);
    s.run_for(1500);
    CHECK(s.node->connections() == 0);
  }
}

// Clients that are slower than their worker.

namespace {

constexpr int kLargeEvents = 200;

std::string large_event() {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + std::string(50'000, 'x') + "\"}}]}\n\n";
}

// The writer streams ten megabytes, more than all buffers between it and a client that reads nothing.
void stream_much(PlatformFixture& site) {
  std::string text = FakeWorker::stream_head();
  for (int i = 0; i < kLargeEvents; ++i) text += FakeWorker::chunked(large_event());
  site.worker("writer-0").script = {{text + FakeWorker::chunked(FakeWorker::stream_end()) + "0\r\n\r\n"}};
}

}  // namespace

// Guards against a stream that is cut though its worker writes and its client reads, only slowly.
TEST_CASE("a client that reads slowly gets its whole stream, however long that takes") {
  PlatformFixture s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  for (int second = 0; second < 20; ++second) {
    s.run_for(1000);
    client.read(64 * 1024);
    REQUIRE(!client.ended());
    REQUIRE(!client.reset());
  }
  for (int i = 0; i < 5000 && !is_complete_stream(client.text()); ++i) {
    client.read();
    s.run_for(10);
  }
  CHECK(is_complete_stream(client.text()));
  CHECK(client.text().size() > kLargeEvents * large_event().size());
}

// Guards against a client that holds a worker's place, a connection and the end of the process for good.
TEST_CASE("a client that takes nothing for 4.5 s is ended, and its worker is not blamed") {
  PlatformFixture s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  s.run_for(3000);
  CHECK(s.open_requests("writer-0") == 1);
  s.run_for(3000);
  CHECK(s.open_requests("writer-0") == 0);
  CHECK(s.node->host().live_requests() == 0);
  CHECK(s.node->connections() == 0);
  CHECK(s.node->settled());
  s.send("b", PlatformFixture::request("b1"));
  CHECK(s.response("b").complete);
}

// Guards against an attempt that goes on for a client that has gone, as a write to it does not end.
TEST_CASE("a client that ends its connection while a write to it waits has left at once") {
  PlatformFixture s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(PlatformFixture::request("a1"));
  s.run_for(1000);
  REQUIRE(s.open_requests("writer-0") == 1);
  client.shutdown_write();
  s.run_for(50);
  CHECK(s.open_requests("writer-0") == 0);
  CHECK(s.node->host().live_requests() == 0);
}

TEST_CASE("a client that reads nothing does not hold back the events of another") {
  PlatformFixture s(1, 2);
  stream_much(s);
  s.worker("writer-1").script = s.worker("writer-0").script;
  RawClient blocked(s.node->address(), 4096);
  blocked.write(PlatformFixture::request("a1"));
  s.run_for(1000);
  for (auto& w : s.workers) w->script.clear();
  RawClient client(s.node->address());
  client.write(PlatformFixture::request("b1"));
  std::size_t events = 0;
  // The stand-in writes an event each 20 ms; each is here before the next is written.
  for (int i = 0; i < 20 && events < 3; ++i) {
    s.run_for(20);
    client.read();
    std::size_t now = 0;
    for (int k = 0; k < 3; ++k) now += client.text().find(FakeWorker::event(k)) != std::string::npos;
    CHECK(now <= events + 1);
    events = now;
  }
  CHECK(events == 3);
}

// A client that stops in the middle of a request is owed its error within 3 s, wherever its connection stood before.
TEST_CASE(
    "half a request on a connection that rested is answered within 3 s of its first byte, and not at once") {
  for (const std::int64_t rested : {100, 2300, 4700}) {
    CAPTURE(rested);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    s.run_for(200);
    client.read();
    REQUIRE(is_complete_stream(client.text()));
    client.clear_text();
    s.run_for(rested);
    client.write(PlatformFixture::request("a2").substr(0, 40));
    s.run_for(2000);
    client.read();
    CHECK(client.text().empty());
    s.run_for(950);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
  }
}

}  // namespace cressrill::testing
