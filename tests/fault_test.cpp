// System calls that fail in the ways that Linux documents, with real connections over loopback and in
// simulated time. The fault shim is linked in, and a fault is active only while the event loop runs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <chrono>

#include "kv_hold_monitor.h"
#include "raw_server.h"
#include "rig/fault_plan.h"

namespace cressrill::testing {

namespace {

using rig::FaultyCall;

// Makes a system call fail with `error` during the lifetime of this object: one in `one_in` calls, and at
// most `at_most` of them if that is not 0.
class FailingCalls {
 public:
  FailingCalls(FaultyCall call, int error, std::uint32_t at_most = 0, std::uint32_t one_in = 1)
      : fault_(cressrill_fault_plan()->of(call)) {
    fault_.one_in = one_in;
    fault_.max_injected = at_most;
    fault_.calls = 0;
    fault_.injected = 0;
    fault_.error = error;
  }
  ~FailingCalls() { fault_.error = 0; }
  FailingCalls(const FailingCalls&) = delete;
  FailingCalls& operator=(const FailingCalls&) = delete;
  std::uint64_t injected() const { return fault_.injected; }

 private:
  rig::CallFault& fault_;
};

// Limits each transfer of a system call to `max_bytes` during the lifetime of this object.
class ShortTransfers {
 public:
  ShortTransfers(FaultyCall call, std::uint32_t max_bytes) : fault_(cressrill_fault_plan()->of(call)) {
    fault_.injected = 0;
    fault_.max_bytes = max_bytes;
  }
  ~ShortTransfers() { fault_.max_bytes = 0; }
  ShortTransfers(const ShortTransfers&) = delete;
  ShortTransfers& operator=(const ShortTransfers&) = delete;
  std::uint64_t injected() const { return fault_.injected; }

 private:
  rig::CallFault& fault_;
};

}  // namespace

// Guards against an event loop that stalls for all connections while one call fails.
TEST_CASE("accept fails for lack of memory or descriptors, and the loop goes on and serves afterwards") {
  for (const int error : {ENOBUFS, ENOMEM, EMFILE, ENFILE, ECONNABORTED, EPROTO}) {
    CAPTURE(error);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      FailingCalls fault(FaultyCall::accept, error, 10'000);
      fixture.run_for(200);
      CHECK(fault.injected() > 0);
      CHECK(fault.injected() < 200);
    }
    fixture.run_for(500);
    client.read();
    CHECK(is_complete_stream(client.text()));
  }
}

TEST_CASE(
    "a connection that cannot be registered with epoll closes no other one, and nothing is lost or leaked") {
  for (const int error : {ENOMEM, ENOSPC}) {
    CAPTURE(error);
    PlatformFixture fixture(2, 2);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 6; ++i) {
      clients.push_back(std::make_unique<RawClient>(fixture.node->address()));
      clients.back()->write(PlatformFixture::request("a" + std::to_string(i)));
    }
    {
      FailingCalls fault(FaultyCall::epoll_add, error, 8);
      fixture.run_for(300);
      CHECK(fault.injected() > 0);
    }
    fixture.run_for(1000);
    for (auto& client : clients) {
      client->read();
      CHECK(is_complete_stream(client->text()));
    }
    CHECK(fixture.node->host().active_requests() == 0);
  }
}

// An interrupted connect completes by itself; a local resource shortage is temporary and no failure of the
// worker.
TEST_CASE(
    "a connect that is interrupted or fails for lack of local resources costs no request and no worker") {
  const std::pair<FaultyCall, int> faults[] = {
      {FaultyCall::connect, EINTR},       {FaultyCall::connect, EADDRNOTAVAIL},
      {FaultyCall::connect, ENETUNREACH}, {FaultyCall::connect, EAGAIN},
      {FaultyCall::connect, ENOBUFS},     {FaultyCall::socket, ENOBUFS},
      {FaultyCall::socket, ENOMEM},       {FaultyCall::socket, EMFILE},
      {FaultyCall::socket, ENFILE},       {FaultyCall::get_option, ENOBUFS}};
  for (const auto& [call, error] : faults) {
    CAPTURE(std::string(to_string(call)));
    CAPTURE(error);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      FailingCalls fault(call, error, 5);
      fixture.run_for(30);
      CHECK(fault.injected() > 0);
    }
    fixture.run_for(600);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(fixture.count_requests("POST") == 2);
  }
}

// Guards against a release that is abandoned for lack of descriptors.
TEST_CASE("no socket can be created for two seconds: held KV cache is released soon after one can") {
  constexpr int kLimitMs = 500;
  for (const int error : {EMFILE, ENFILE, ENOBUFS}) {
    CAPTURE(error);
    PlatformFixture fixture(1, 1, settings_with_hold_limit(kLimitMs));
    fixture.worker("reader-0").script = {{"", ScriptedResponse::Finish::reset, 10 * kMs, false, true}};
    fixture.send("a", PlatformFixture::request("a1"));
    REQUIRE(fixture.run_until([&] { return !fixture.kv_entries.empty(); }));
    {
      FailingCalls fault(FaultyCall::socket, error);
      fixture.run_for(2000);
      CHECK(fault.injected() > 0);
      CHECK(!fixture.kv_entries.empty());
    }
    fixture.run_for(kHoldLimitSlack / kMs);
    CHECK(fixture.kv_entries.empty());
  }
}

TEST_CASE("reads and writes of a few bytes at a time transfer every request and stream completely") {
  for (const FaultyCall call : {FaultyCall::receive, FaultyCall::send})
    for (const std::uint32_t max_bytes : {1u, 7u, 100u}) {
      CAPTURE(std::string(to_string(call)));
      CAPTURE(max_bytes);
      PlatformFixture fixture(1, 1);
      RawClient client(fixture.node->address());
      client.write(PlatformFixture::request("a1"));
      {
        ShortTransfers short_transfers(call, max_bytes);
        fixture.run_for(1000);
        CHECK(short_transfers.injected() > 0);
      }
      fixture.run_for(100);
      client.read();
      CHECK(is_complete_stream(client.text()));
    }
}

TEST_CASE("calls on open connections that are interrupted or fail for lack of memory are retried") {
  const std::pair<FaultyCall, int> faults[] = {{FaultyCall::receive, EINTR}, {FaultyCall::receive, ENOMEM},
                                               {FaultyCall::send, EINTR},    {FaultyCall::send, ENOBUFS},
                                               {FaultyCall::send, ENOMEM},   {FaultyCall::epoll_wait, EINTR}};
  for (const auto& [call, error] : faults) {
    CAPTURE(std::string(to_string(call)));
    CAPTURE(error);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      FailingCalls fault(call, error, 40, 2);
      fixture.run_for(1000);
      CHECK(fault.injected() > 0);
    }
    fixture.run_for(100);
    client.read();
    CHECK(is_complete_stream(client.text()));
    CHECK(fixture.count_requests("POST") == 2);
  }
}

// The kernel reports a client's close once; an interrupted check of the socket must not lose it.
TEST_CASE("a client that leaves while checks of its connection are interrupted is detected") {
  PlatformFixture fixture(1, 1);
  fixture.worker("reader-0").unresponsive = true;
  RawClient client(fixture.node->address());
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(50);
  REQUIRE(fixture.node->host().active_requests() == 1);
  client.close();
  {
    FailingCalls fault(FaultyCall::receive, EINTR, 1);
    fixture.run_for(50);
    CHECK(fault.injected() > 0);
  }
  CHECK(fixture.node->host().active_requests() == 0);
}

TEST_CASE(
    "connections in the accept queue as the listener closes are accepted although accept is interrupted") {
  for (const int error : {EINTR, ECONNABORTED, ENOBUFS}) {
    CAPTURE(error);
    PlatformFixture fixture(1, 1);
    RawClient client(fixture.node->address());
    client.write(PlatformFixture::request("a1"));
    {
      FailingCalls fault(FaultyCall::accept, error, 3);
      fixture.node->close();
      fixture.run_for(50);
      CHECK(fault.injected() > 0);
    }
    fixture.run_for(100);
    client.read();
    CHECK(client.text().starts_with("HTTP/1.1 503"));
    CHECK(!client.reset());
  }
}

// An exception ends only the request that it comes from: its client gets a 500 response.
TEST_CASE("a handler that throws ends its own request alone, and the failure is reported") {
  io::Loop loop(io::Loop::Clock::simulated);
  std::vector<std::string> failures;
  loop.observe_failures({}, [&](const char* what) { failures.emplace_back(what); });
  http::Server server(loop, kAnyPort,
                      [](http::Request& request, http::ResponseWriter& response) -> io::Task<> {
                        if (request.head.target == "/throws") throw std::runtime_error("no reason");
                        co_await response.respond(200, "", "fine");
                      });
  RawClient failing_client(server.address());
  RawClient other_client(server.address());
  failing_client.write("GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
  other_client.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  run_for(loop, 100);
  failing_client.read();
  other_client.read();
  CHECK(failing_client.text().starts_with("HTTP/1.1 500"));
  CHECK(failing_client.ended());
  CHECK(other_client.text().starts_with("HTTP/1.1 200"));
  CHECK(failures == std::vector<std::string>{"no reason"});
}

}  // namespace cressrill::testing
