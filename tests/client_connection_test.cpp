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
std::vector<std::unique_ptr<RawClient>> fill(Site& site) {
  std::vector<std::unique_ptr<RawClient>> out;
  while (site.node->connections() < kMostClients && out.size() <= kMostClients) {
    out.push_back(std::make_unique<RawClient>(site.node->address()));
    site.pass(1);
  }
  REQUIRE(site.node->connections() == kMostClients);
  return out;
}

}  // namespace

// Eviction at the bound. Guards against a request that is dropped without an answer as its connection is closed.

TEST_CASE("at the bound, a connection of which half a request has been read does not make way") {
  Site s(1, 1, small_settings(), kDescriptors);
  const std::string request = Site::call("a1");
  RawClient client(s.node->address());
  client.write(request.substr(0, 40));
  s.pass(10);
  const auto silent = fill(s);
  RawClient one_more(s.node->address());
  s.pass(10);
  CHECK(s.node->connections() == kMostClients);
  client.write(request.substr(40));
  s.pass(400);
  client.read();
  CHECK(served_whole(client.text()));
}

TEST_CASE("at the bound, a connection whose request has come and is unread does not make way") {
  Site s(1, 1, small_settings(), kDescriptors);
  RawClient client(s.node->address());
  s.pass(1);
  const auto silent = fill(s);
  RawClient one_more(s.node->address());  // the scheduler hears of this first,
  client.write(Site::call("a1"));         // and of this in the same look at the sockets
  s.pass(400);
  client.read();
  CHECK(served_whole(client.text()));
}

TEST_CASE("at the bound, where all carry a part of a request, the longest is told that there is no room") {
  Site s(1, 1, small_settings(), kDescriptors);
  std::vector<std::unique_ptr<RawClient>> halves;
  for (std::size_t i = 0; i < kMostClients; ++i) {
    halves.push_back(std::make_unique<RawClient>(s.node->address()));
    halves.back()->write(Site::call("h" + std::to_string(i)).substr(0, 200));
    s.pass(1);
  }
  RawClient client(s.node->address());
  client.write(Site::call("a1"));
  s.pass(400);
  halves.front()->read();
  CHECK(halves.front()->text().starts_with("HTTP/1.1 503"));
  CHECK(halves.front()->ended());
  client.read();
  CHECK(served_whole(client.text()));
  halves.back()->read();
  CHECK(halves.back()->text().empty());
}

// Time-outs.

TEST_CASE("a request that does not become whole in time is answered 408 and its connection ends in order") {
  const std::string request = Site::call("a1");
  for (const std::size_t part : {std::size_t{30}, request.size() - 5}) {
    CAPTURE(part);
    Site s(1, 1);
    RawClient client(s.node->address());
    client.write(request.substr(0, part));
    s.pass(2900);
    client.write(request.substr(part));  // crosses the end
    s.pass(50);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
    CHECK(!client.reset());
    CHECK(s.lines("POST") == 0);
    s.pass(1500);
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
void stream_much(Site& site) {
  std::string text = Worker::stream_head();
  for (int i = 0; i < kLargeEvents; ++i) text += Worker::framed(large_event());
  site.worker("writer-0").acts = {{text + Worker::framed(Worker::ending()) + "0\r\n\r\n"}};
}

}  // namespace

// Guards against a stream that is cut though its worker writes and its client reads, only slowly.
TEST_CASE("a client that reads slowly gets its whole stream, however long that takes") {
  Site s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(Site::call("a1"));
  for (int second = 0; second < 20; ++second) {
    s.pass(1000);
    client.read(64 * 1024);
    REQUIRE(!client.ended());
    REQUIRE(!client.reset());
  }
  for (int i = 0; i < 5000 && !served_whole(client.text()); ++i) {
    client.read();
    s.pass(10);
  }
  CHECK(served_whole(client.text()));
  CHECK(client.text().size() > kLargeEvents * large_event().size());
}

// Guards against a client that holds a worker's place, a connection and the end of the process for good.
TEST_CASE("a client that takes nothing for 4.5 s is ended, and its worker is not blamed") {
  Site s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(Site::call("a1"));
  s.pass(3000);
  CHECK(s.open_at("writer-0") == 1);
  s.pass(3000);
  CHECK(s.open_at("writer-0") == 0);
  CHECK(s.node->host().live() == 0);
  CHECK(s.node->connections() == 0);
  CHECK(s.node->settled());
  s.send("b", Site::call("b1"));
  CHECK(s.answer("b").whole);
}

// Guards against an attempt that goes on for a client that has gone, as a write to it does not end.
TEST_CASE("a client that ends its connection while a write to it waits has left at once") {
  Site s(1, 1);
  stream_much(s);
  RawClient client(s.node->address(), 4096);
  client.write(Site::call("a1"));
  s.pass(1000);
  REQUIRE(s.open_at("writer-0") == 1);
  client.end_sending();
  s.pass(50);
  CHECK(s.open_at("writer-0") == 0);
  CHECK(s.node->host().live() == 0);
}

TEST_CASE("a client that reads nothing does not hold back the events of another") {
  Site s(1, 2);
  stream_much(s);
  s.worker("writer-1").acts = s.worker("writer-0").acts;
  RawClient blocked(s.node->address(), 4096);
  blocked.write(Site::call("a1"));
  s.pass(1000);
  for (auto& w : s.workers) w->acts.clear();
  RawClient client(s.node->address());
  client.write(Site::call("b1"));
  std::size_t events = 0;
  // The stand-in writes an event each 20 ms; each is here before the next is written.
  for (int i = 0; i < 20 && events < 3; ++i) {
    s.pass(20);
    client.read();
    std::size_t now = 0;
    for (int k = 0; k < 3; ++k) now += client.text().find(Worker::event(k)) != std::string::npos;
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
    Site s(1, 1);
    RawClient client(s.node->address());
    client.write(Site::call("a1"));
    s.pass(200);
    client.read();
    REQUIRE(served_whole(client.text()));
    client.forget_text();
    s.pass(rested);
    client.write(Site::call("a2").substr(0, 40));
    s.pass(2000);
    client.read();
    CHECK(client.text().empty());
    s.pass(950);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 408"));
    CHECK(client.ended());
  }
}

}  // namespace cressrill::testing
