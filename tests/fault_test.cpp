// System calls that fail in the ways that Linux documents, beside real connections on loopback and handed time: the fault
// shim is linked in, and a fault is set only while the scheduler runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <chrono>

#include "kv_hold_monitor.h"
#include "raw_server.h"
#include "rig/fault_plan.h"

namespace cressrill::testing {

namespace {

using rig::FaultyCall;

// A call misbehaves for as long as this lives, or for so many calls.
class Fault {
 public:
  Fault(FaultyCall call, int error, std::uint32_t at_most = 0, std::uint32_t one_in = 1)
      : fault_(cressrill_fault_plan()->of(call)) {
    fault_.one_in = one_in, fault_.at_most = at_most, fault_.calls = 0, fault_.injected = 0,
    fault_.error = error;
  }
  ~Fault() { fault_.error = 0; }
  Fault(const Fault&) = delete;
  Fault& operator=(const Fault&) = delete;
  std::uint64_t injected() const { return fault_.injected; }

 private:
  rig::CallFault& fault_;
};

// Transfers move at most so many bytes for as long as this lives.
class ShortTransfers {
 public:
  ShortTransfers(FaultyCall call, std::uint32_t most_bytes) : fault_(cressrill_fault_plan()->of(call)) {
    fault_.injected = 0, fault_.most_bytes = most_bytes;
  }
  ~ShortTransfers() { fault_.most_bytes = 0; }
  ShortTransfers(const ShortTransfers&) = delete;
  ShortTransfers& operator=(const ShortTransfers&) = delete;
  std::uint64_t injected() const { return fault_.injected; }

 private:
  rig::CallFault& fault_;
};

}  // namespace

// Guards against a loop that stands still for all connections while one call fails.
TEST_CASE("accept fails for want of memory or descriptors, and the loop goes on and serves after it") {
  for (const int error : {ENOBUFS, ENOMEM, EMFILE, ENFILE, ECONNABORTED, EPROTO}) {
    CAPTURE(error);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      Fault fault(FaultyCall::accept, error, 10'000);
      s.run_for(200);
      CHECK(fault.injected() > 0);
      CHECK(fault.injected() < 200);
    }
    s.run_for(500);
    client.read();
    CHECK(is_complete_stream(client.text()));
  }
}

TEST_CASE("a connection that cannot be registered with epoll ends no other, and nothing is lost or leaked") {
  for (const int error : {ENOMEM, ENOSPC}) {
    CAPTURE(error);
    PlatformFixture s(2, 2);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 6; ++i) {
      clients.push_back(std::make_unique<RawClient>(s.node->address()));
      clients.back()->write(PlatformFixture::request("a" + std::to_string(i)));
    }
    {
      Fault fault(FaultyCall::epoll_add, error, 8);
      s.run_for(300);
      CHECK(fault.injected() > 0);
    }
    s.run_for(1000);
    for (auto& client : clients) {
      client->read();
      CHECK(is_complete_stream(client->text()));
    }
    CHECK(s.node->host().live_requests() == 0);
  }
}

// An interrupted connect goes on by itself; a lack on this machine is no worker's fault and passes.
TEST_CASE(
    "a connect that is interrupted, or fails for a lack on this machine, costs no request and no worker") {
  const std::pair<FaultyCall, int> faults[] = {
      {FaultyCall::connect, EINTR},       {FaultyCall::connect, EADDRNOTAVAIL},
      {FaultyCall::connect, ENETUNREACH}, {FaultyCall::connect, EAGAIN},
      {FaultyCall::connect, ENOBUFS},     {FaultyCall::socket, ENOBUFS},
      {FaultyCall::socket, ENOMEM},       {FaultyCall::socket, EMFILE},
      {FaultyCall::socket, ENFILE},       {FaultyCall::get_option, ENOBUFS}};
  for (const auto& [call, error] : faults) {
    CAPTURE(std::string(word(call)));
    CAPTURE(error);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      Fault fault(call, error, 5);
      s.run_for(30);
      CHECK(fault.injected() > 0);
    }
    s.run_for(600);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(s.count_requests("POST") == 2);
  }
}

// Guards against a release that is given up for a lack of descriptors.
TEST_CASE("no socket can be made for two seconds: what is held is released soon after one can") {
  constexpr int kLimitMs = 500;
  for (const int error : {EMFILE, ENFILE, ENOBUFS}) {
    CAPTURE(error);
    PlatformFixture s(1, 1, settings_with_hold_limit(kLimitMs));
    s.worker("reader-0").script = {{"", ScriptedResponse::Finish::reset, 10 * kMs, false, true}};
    s.send("a", PlatformFixture::request("a1"));
    REQUIRE(s.run_until([&] { return !s.kv_entries.empty(); }));
    {
      Fault fault(FaultyCall::socket, error);
      s.run_for(2000);
      CHECK(fault.injected() > 0);
      CHECK(!s.kv_entries.empty());
    }
    s.run_for(kHoldLimitSlack / kMs);
    CHECK(s.kv_entries.empty());
  }
}

TEST_CASE("reads and writes of a few bytes each bring every request and stream through") {
  for (const FaultyCall call : {FaultyCall::receive, FaultyCall::send})
    for (const std::uint32_t most : {1u, 7u, 100u}) {
      CAPTURE(std::string(word(call)));
      CAPTURE(most);
      PlatformFixture s(1, 1);
      RawClient client(s.node->address());
      client.write(PlatformFixture::request("a1"));
      {
        ShortTransfers few(call, most);
        s.run_for(1000);
        CHECK(few.injected() > 0);
      }
      s.run_for(100);
      client.read();
      CHECK(is_complete_stream(client.text()));
    }
}

TEST_CASE(
    "calls that are interrupted, or fail for want of memory, on connections that are up are made again") {
  const std::pair<FaultyCall, int> faults[] = {{FaultyCall::receive, EINTR}, {FaultyCall::receive, ENOMEM},
                                               {FaultyCall::send, EINTR},    {FaultyCall::send, ENOBUFS},
                                               {FaultyCall::send, ENOMEM},   {FaultyCall::epoll_wait, EINTR}};
  for (const auto& [call, error] : faults) {
    CAPTURE(std::string(word(call)));
    CAPTURE(error);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      Fault fault(call, error, 40, 2);
      s.run_for(1000);
      CHECK(fault.injected() > 0);
    }
    s.run_for(100);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(s.count_requests("POST") == 2);
  }
}

// The kernel tells of a client's end once; a look at the socket that is interrupted just then must not lose it.
TEST_CASE("a client that leaves while looks at its connection are interrupted has left") {
  PlatformFixture s(1, 1);
  s.worker("reader-0").unresponsive = true;
  RawClient client(s.node->address());
  client.write(PlatformFixture::request("a1"));
  s.run_for(50);
  REQUIRE(s.node->host().live_requests() == 1);
  client.close();
  {
    Fault fault(FaultyCall::receive, EINTR, 1);
    s.run_for(50);
    CHECK(fault.injected() > 0);
  }
  CHECK(s.node->host().live_requests() == 0);
}

TEST_CASE(
    "connections that wait in the listener's queue as it closes are taken although accept is interrupted") {
  for (const int error : {EINTR, ECONNABORTED, ENOBUFS}) {
    CAPTURE(error);
    PlatformFixture s(1, 1);
    RawClient client(s.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      Fault fault(FaultyCall::accept, error, 3);
      s.node->close();
      s.run_for(50);
      CHECK(fault.injected() > 0);
    }
    s.run_for(100);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 503"));
    CHECK(!client.reset());
  }
}

// An exception ends the request that it comes from: its client gets an answer, and others are served.
TEST_CASE("a handler that throws ends its own request alone, and the failure is told") {
  io::Loop loop(io::Loop::Clock::simulated);
  std::vector<std::string> failures;
  loop.observe_failures({}, [&](const char* what) { failures.emplace_back(what); });
  http::Server server(loop, kAnyPort, [](http::Request& request, http::ResponseWriter& answer) -> io::Task<> {
    if (request.head.target == "/throws") throw std::runtime_error("no reason");
    co_await answer.respond(200, "", "fine");
  });
  RawClient thrower(server.address()), other(server.address());
  thrower.write("GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
  other.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(loop, 100);
  thrower.read(), other.read();
  CHECK(thrower.text().starts_with("HTTP/1.1 500"));
  CHECK(thrower.ended());
  CHECK(other.text().starts_with("HTTP/1.1 200"));
  CHECK(failures == std::vector<std::string>{"no reason"});
}

}  // namespace cressrill::testing
