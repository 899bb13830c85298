// Tests of connection pools and their shared budget: limits, reserved connections, cancellation and lifetime.
#include <doctest/doctest.h>

#include "http/client.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

constexpr std::size_t kMaxOpen = 4;              // connections in all
constexpr std::size_t kReservedForReleases = 1;  // of kMaxOpen

http::PoolLimits limits_with(std::shared_ptr<http::ConnectionBudget> budget) {
  http::PoolLimits limits;
  limits.budget = std::move(budget);
  return limits;
}

// Acquires connections and holds them until their peers close or the holder is destroyed.
struct ConnectionHolder {
  explicit ConnectionHolder(io::Loop& loop) : scope(loop) {}
  void acquire(std::shared_ptr<http::Pool> from, http::Priority priority, std::size_t count = 1) {
    for (std::size_t i = 0; i < count; ++i)
      scope.spawn(
          [](std::shared_ptr<http::Pool> pool, http::Priority use_priority, int& total) -> io::Task<> {
            http::ConnectionLease lease(std::move(pool), http::Reuse::allowed, use_priority);
            if (!co_await lease.acquire()) co_return;
            ++total;
            co_await lease->socket.wait_for_peer_close();
          }(from, priority, acquired));
  }
  int acquired{};
  io::Scope scope;
};

// Acquires a connection and returns it to the pool; false if none was available.
bool can_acquire(io::Loop& loop, std::shared_ptr<http::Pool> from, http::Priority priority,
                 http::Reuse reuse = http::Reuse::allowed) {
  bool success = false;
  io::Scope scope(loop);
  scope.spawn([](std::shared_ptr<http::Pool> pool, http::Priority use_priority, http::Reuse reuse_mode,
                 bool& acquired) -> io::Task<> {
    http::ConnectionLease lease(std::move(pool), reuse_mode, use_priority);
    acquired = co_await lease.acquire();
    if (acquired) lease.return_to_pool();
  }(std::move(from), priority, reuse, success));
  loop.run_until([&] { return scope.empty(); });
  return success;
}

}  // namespace

TEST_CASE("a cancelled connection attempt is no longer counted against the limits") {
  io::Loop loop(io::Loop::Clock::simulated);
  HangingServer server;
  server.fill_accept_queue();
  const auto budget = std::make_shared<http::ConnectionBudget>(kMaxOpen);
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), limits_with(budget));
  {
    io::Scope scope(loop);
    for (std::size_t i = 0; i < kMaxOpen; ++i)
      scope.spawn([](std::shared_ptr<http::Pool> target) -> io::Task<> {
        http::ConnectionLease lease(target);
        co_await lease.acquire();
      }(pool));
    run_for(loop, 10);
    CHECK(budget->open_count() == kMaxOpen);
  }
  CHECK(pool->open_count() == 0);
  CHECK(budget->open_count() == 0);
}

TEST_CASE(
    "a pool released by its owner lives until its last lease ends, and then frees its part of the budget") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMaxOpen);
  auto pool = std::make_shared<http::Pool>(loop, server.address(), limits_with(budget));
  {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& event_loop, std::shared_ptr<http::Pool> target) -> io::Task<> {
      http::ConnectionLease lease(std::move(target));
      CHECK(co_await lease.acquire());
      co_await event_loop.sleep_for(io::kSecond);
      lease.return_to_pool();
    }(loop, std::exchange(pool, nullptr)));
    run_for(loop, 10);
    CHECK(budget->open_count() == 1);
    run_for(loop, 2000);
    CHECK(budget->open_count() == 0);
  }
}

// Guards against an interim response that is taken for the response to its request.
TEST_CASE("interim responses before a response, however many, are skipped, and the connection stays usable") {
  constexpr std::size_t kRequests = 3;
  for (const std::size_t interim_count : {0, 1, 15, 16, 17, 500}) {
    CAPTURE(interim_count);
    io::Loop loop(io::Loop::Clock::simulated);
    io::Listener listener(loop, kAnyPort);
    io::Scope scope(loop);
    scope.spawn([](io::Listener& from, std::size_t count) -> io::Task<> {
      io::Socket socket = co_await from.accept();
      http::MessageReader reader(socket, http::MessageKind::request);
      http::Head head;
      while (co_await reader.read_head(head) == http::MessageError::none) {
        for (std::size_t i = 0; i < count; ++i)
          co_await socket.write_all("HTTP/1.1 102 Processing\r\nx-progress: 1\r\n\r\n");
        co_await socket.write_all(http::format_response(200, "", head.target, true));
      }
    }(listener, interim_count));
    const auto pool = std::make_shared<http::Pool>(loop, listener.address());
    std::string bodies;
    bool finished = false;
    scope.spawn([](std::shared_ptr<http::Pool> from, std::string& out, bool& done) -> io::Task<> {
      for (std::size_t i = 0; i < kRequests; ++i) {
        const http::ExchangeResult result = co_await http::exchange(
            from, http::format_request("DELETE", "/" + std::to_string(i), "h", "", ""));
        out += std::to_string(result.head.status) + " " + result.body + ";";
      }
      done = true;
    }(pool, bodies, finished));
    loop.run_until([&] { return finished; });
    CHECK(bodies == "200 /0;200 /1;200 /2;");
    CHECK(pool->dial_count() == 1);
  }
}

TEST_CASE("a switch of protocols that nobody asked for is an error, and its connection is not reused") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  const auto pool = std::make_shared<http::Pool>(loop, server.address());
  http::ExchangeResult result;
  io::Scope scope(loop);
  scope.spawn([](std::shared_ptr<http::Pool> from, http::ExchangeResult& out) -> io::Task<> {
    out = co_await http::exchange(from, http::format_request("GET", "/", "h", "", ""));
  }(pool, result));
  run_for(loop, 10);
  const std::unique_ptr<RawConnection> connection = server.accept();
  connection->write("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n");
  loop.run_until([&] { return scope.empty(); });
  CHECK(result.error == http::MessageError::malformed);
  CHECK(pool->open_count() == 0);
}

// Guards against a release that gets no connection while attempts wait for responses of
// unresponsive workers.
TEST_CASE(
    "ordinary work at its limit of a shared budget leaves the reserved connections to releases, and no "
    "more") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer unresponsive;
  RawServer reachable;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMaxOpen, kReservedForReleases);
  const auto unresponsive_pool =
      std::make_shared<http::Pool>(loop, unresponsive.address(), limits_with(budget));
  const auto reachable_pool = std::make_shared<http::Pool>(loop, reachable.address(), limits_with(budget));
  ConnectionHolder attempts(loop);
  ConnectionHolder releases(loop);
  attempts.acquire(unresponsive_pool, http::Priority::ordinary, 2 * kMaxOpen);
  run_for(loop, 300);
  CHECK(attempts.acquired == kMaxOpen - kReservedForReleases);
  CHECK(can_acquire(loop, reachable_pool, http::Priority::release));
  // An attempt does not get the connection that a release returned: it is reserved for the next release.
  attempts.acquire(reachable_pool, http::Priority::ordinary, kMaxOpen);
  run_for(loop, 300);
  CHECK(attempts.acquired == kMaxOpen - kReservedForReleases);
  releases.acquire(reachable_pool, http::Priority::release, 2 * kMaxOpen);
  run_for(loop, 300);
  CHECK(releases.acquired == kReservedForReleases);
  CHECK(budget->open_count() == kMaxOpen);
}

TEST_CASE("ordinary work at its limit of one pool leaves the reserved connections to releases, and no more") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  http::PoolLimits limits;
  limits.max_open = kMaxOpen;
  limits.reserved_for_releases = kReservedForReleases;
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), limits);
  ConnectionHolder attempts(loop);
  ConnectionHolder releases(loop);
  attempts.acquire(pool, http::Priority::ordinary, 2 * kMaxOpen);
  run_for(loop, 300);
  CHECK(attempts.acquired == kMaxOpen - kReservedForReleases);
  CHECK(can_acquire(loop, pool, http::Priority::release));
  attempts.acquire(pool, http::Priority::ordinary, kMaxOpen);
  run_for(loop, 300);
  CHECK(attempts.acquired == kMaxOpen - kReservedForReleases);
  releases.acquire(pool, http::Priority::release, 2 * kMaxOpen);
  run_for(loop, 300);
  CHECK(releases.acquired == kReservedForReleases);
  CHECK(pool->open_count() == kMaxOpen);
}

// Guards against releases to unresponsive workers that use up the connections for reachable ones.
TEST_CASE("a release at the limit preempts the oldest release, but not one that has just started") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer unresponsive;
  RawServer reachable;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMaxOpen, kReservedForReleases);
  const auto unresponsive_pool =
      std::make_shared<http::Pool>(loop, unresponsive.address(), limits_with(budget));
  const auto reachable_pool = std::make_shared<http::Pool>(loop, reachable.address(), limits_with(budget));
  ConnectionHolder attempts(loop);
  ConnectionHolder releases(loop);
  attempts.acquire(unresponsive_pool, http::Priority::ordinary, kMaxOpen - kReservedForReleases);
  releases.acquire(unresponsive_pool, http::Priority::release, kReservedForReleases);
  run_for(loop, 5);
  CHECK(releases.acquired == kReservedForReleases);
  CHECK(!can_acquire(loop, reachable_pool, http::Priority::release));
  run_for(loop, 50);
  CHECK(can_acquire(loop, reachable_pool, http::Priority::release));
  CHECK(attempts.acquired == kMaxOpen - kReservedForReleases);
  CHECK(unresponsive_pool->open_count() == kMaxOpen - kReservedForReleases);
  CHECK(budget->open_count() == kMaxOpen);
  attempts.scope.cancel();
  releases.scope.cancel();
  CHECK(unresponsive_pool->open_count() == 0);
  CHECK(budget->open_count() == reachable_pool->open_count());
}

// Guards against a release that waits while idle connections fill its pool.
TEST_CASE("a release at the limit replaces an idle connection that it cannot reuse") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  http::PoolLimits limits;
  limits.max_open = 1;
  limits.min_idle_before_reuse = io::kSecond;
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), limits);
  CHECK(can_acquire(loop, pool, http::Priority::ordinary));
  for (const http::Reuse reuse : {http::Reuse::allowed, http::Reuse::never}) {
    CHECK(pool->idle_count() == 1);
    const io::Nanos start = loop.now();
    CHECK(can_acquire(loop, pool, http::Priority::release, reuse));
    CHECK(loop.now() - start < io::kMs);
    CHECK(pool->open_count() == 1);
  }
}

}  // namespace cressrill::testing
