// Connections to peers whose taking is cancelled, or whose pool goes first: none may be counted for good.
#include <doctest/doctest.h>

#include "http/client.h"
#include "raw_server.h"

namespace cressrill::testing {

namespace {

constexpr std::size_t kMost = 4;

http::PoolBounds bounds_with(std::shared_ptr<http::ConnectionBudget> budget) {
  http::PoolBounds bounds;
  bounds.budget = std::move(budget);
  return bounds;
}

}  // namespace

TEST_CASE("a connection whose making is cancelled gives its room back") {
  io::Loop loop(io::Loop::Time::handed);
  HangingServer server;
  server.hang();
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost);
  const auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds_with(budget));
  {
    io::Scope scope(loop);
    for (std::size_t i = 0; i < kMost; ++i)
      scope.spawn([](std::shared_ptr<http::Pool> of) -> io::Task<> {
        http::Lease lease(of);
        co_await lease.take();
      }(pool));
    pass(loop, 10);
    CHECK(budget->open() == kMost);
  }
  CHECK(pool->open() == 0);
  CHECK(budget->open() == 0);
}

TEST_CASE(
    "a pool that its owner drops while a lease is out lasts until that ends, and its room is free then") {
  io::Loop loop(io::Loop::Time::handed);
  RawServer server;
  const auto budget = std::make_shared<http::ConnectionBudget>(kMost);
  auto pool = std::make_shared<http::Pool>(loop, server.address(), bounds_with(budget));
  {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l, std::shared_ptr<http::Pool> of) -> io::Task<> {
      http::Lease lease(std::move(of));
      CHECK(co_await lease.take());
      co_await l.sleep_for(io::kSecond);
      lease.keep();
    }(loop, std::exchange(pool, nullptr)));
    pass(loop, 10);
    CHECK(budget->open() == 1);
    pass(loop, 2000);
    CHECK(budget->open() == 0);
  }
}

}  // namespace cressrill::testing
