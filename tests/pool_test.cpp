// Connections to peers whose taking is cancelled, or whose pool goes first: none may be counted for good.
#include <doctest/doctest.h>

#include "http/client.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

constexpr std::size_t kMost = 4;         // connections,
constexpr std::size_t kForReleases = 1;  // of them never in use by ordinary work

http::PoolLimits bounds_with(std::shared_ptr<http::ConnectionBudget> budget) {
  http::PoolLimits bounds;
  bounds.budget = std::move(budget);
  return bounds;
}

// Keeps what it takes until the end.
struct Holder {
  explicit Holder(io::Loop& loop) : scope(loop) {}
  void take(std::shared_ptr<http::Pool> from, http::Priority priority, std::size_t times = 1) {
    for (std::size_t i = 0; i < times; ++i)
      scope.spawn([](std::shared_ptr<http::Pool> pool, http::Priority p, int& n) -> io::Task<> {
        http::ConnectionLease lease(std::move(pool), http::Reuse::allowed, p);
        if (!co_await lease.acquire()) co_return;
        ++n;
        co_await lease->socket.wait_for_peer_close();
      }(from, priority, taken));
  }
  int taken{};
  io::Scope scope;
};

// Takes a connection and gives it back.
bool takes(io::Loop& loop, std::shared_ptr<http::Pool> from, http::Priority priority,
           http::Reuse reuse = http::Reuse::allowed) {
  bool took = false;
  io::Scope scope(loop);
  scope.spawn([](std::shared_ptr<http::Pool> pool, http::Priority p, http::Reuse r, bool& t) -> io::Task<> {
    http::ConnectionLease lease(std::move(pool), r, p);
    t = co_await lease.acquire();
    if (t) lease.return_to_pool();
  }(std::move(from), priority, reuse, took));
  loop.run_until([&] { return scope.empty(); });
  return took;
}

}  // namespace

TEST_CASE("a connection whose making is cancelled gives its room back") {
  io::Loop loop(io::Loop::Clock::simulated);
  HangingServer server;
  server.fill_accept_queue();
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost);
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds_with(budget));
  {
    io::Scope scope(loop);
    for (std::size_t i = 0; i < kMost; ++i)
      scope.spawn([](std::shared_ptr<http::Pool> of) -> io::Task<> {
        http::ConnectionLease lease(of);
        co_await lease.acquire();
      }(pool));
    run_for(loop, 10);
    CHECK(budget->open_count() == kMost);
  }
  CHECK(pool->open_count() == 0);
  CHECK(budget->open_count() == 0);
}

TEST_CASE(
    "a pool that its owner drops while a lease is out lasts until that ends, and its room is free then") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost);
  auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds_with(budget));
  {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l, std::shared_ptr<http::Pool> of) -> io::Task<> {
      http::ConnectionLease lease(std::move(of));
      CHECK(co_await lease.acquire());
      co_await l.sleep_for(io::kSecond);
      lease.return_to_pool();
    }(loop, std::exchange(pool, nullptr)));
    run_for(loop, 10);
    CHECK(budget->open_count() == 1);
    run_for(loop, 2000);
    CHECK(budget->open_count() == 0);
  }
}

// Guards against a release that finds no connection while attempts are stuck on silent links.
TEST_CASE(
    "ordinary work that holds all it gets of a budget leaves room for a release, and none beyond the "
    "budget") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer silent, reachable;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost, kForReleases);
  const auto stuck = std::make_shared<http::Pool>(loop, silent.address(), bounds_with(budget));
  const auto other = std::make_shared<http::Pool>(loop, reachable.address(), bounds_with(budget));
  Holder attempts(loop), releases(loop);
  attempts.take(stuck, http::Priority::ordinary, 2 * kMost);
  run_for(loop, 300);
  CHECK(attempts.taken == kMost - kForReleases);
  CHECK(takes(loop, other, http::Priority::release));
  // What a release gave back is not taken by an attempt, which would use up the room of the next one.
  attempts.take(other, http::Priority::ordinary, kMost);
  run_for(loop, 300);
  CHECK(attempts.taken == kMost - kForReleases);
  releases.take(other, http::Priority::release, 2 * kMost);
  run_for(loop, 300);
  CHECK(releases.taken == kForReleases);
  CHECK(budget->open_count() == kMost);
}

TEST_CASE(
    "ordinary work that holds all it gets of one peer's bound leaves room for a release, and none beyond "
    "it") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  http::PoolLimits bounds;
  bounds.max_open = kMost, bounds.reserved_for_releases = kForReleases;
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds);
  Holder attempts(loop), releases(loop);
  attempts.take(pool, http::Priority::ordinary, 2 * kMost);
  run_for(loop, 300);
  CHECK(attempts.taken == kMost - kForReleases);
  CHECK(takes(loop, pool, http::Priority::release));
  attempts.take(pool, http::Priority::ordinary, kMost);
  run_for(loop, 300);
  CHECK(attempts.taken == kMost - kForReleases);
  releases.take(pool, http::Priority::release, 2 * kMost);
  run_for(loop, 300);
  CHECK(releases.taken == kForReleases);
  CHECK(pool->open_count() == kMost);
}

// Guards against releases to silent peers that leave no connection to the one in reach.
TEST_CASE(
    "a release that finds no room takes the place of the one that has stood longest, not of a fresh one") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer silent, reachable;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost, kForReleases);
  const auto stuck = std::make_shared<http::Pool>(loop, silent.address(), bounds_with(budget));
  const auto other = std::make_shared<http::Pool>(loop, reachable.address(), bounds_with(budget));
  Holder attempts(loop), releases(loop);
  attempts.take(stuck, http::Priority::ordinary, kMost - kForReleases);
  releases.take(stuck, http::Priority::release, kForReleases);
  run_for(loop, 5);
  CHECK(releases.taken == kForReleases);
  CHECK(!takes(loop, other, http::Priority::release));
  run_for(loop, 50);
  CHECK(takes(loop, other, http::Priority::release));
  CHECK(attempts.taken == kMost - kForReleases);
  CHECK(stuck->open_count() == kMost - kForReleases);
  CHECK(budget->open_count() == kMost);
  attempts.scope.cancel(), releases.scope.cancel();
  CHECK(stuck->open_count() == 0);
  CHECK(budget->open_count() == other->open_count());
}

// Guards against a release that waits while idle connections fill its peer's bound.
TEST_CASE("a release takes the place of a kept connection that it cannot use") {
  io::Loop loop(io::Loop::Clock::simulated);
  RawServer server;
  http::PoolLimits bounds;
  bounds.max_open = 1, bounds.min_idle_before_reuse = io::kSecond;
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds);
  CHECK(takes(loop, pool, http::Priority::ordinary));
  for (const http::Reuse reuse : {http::Reuse::allowed, http::Reuse::never}) {
    CHECK(pool->idle_count() == 1);
    const io::Nanos began = loop.now();
    CHECK(takes(loop, pool, http::Priority::release, reuse));
    CHECK(loop.now() - began < io::kMs);
    CHECK(pool->open_count() == 1);
  }
}

}  // namespace cressrill::testing
