// Tests of the memory budget: what is admitted, who is shed, and that nothing stays charged.
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

#include "memory/budget.h"

namespace cressrill::testing {

namespace {

using memory::Account;
using memory::Budget;
using memory::Charge;
using memory::PeerKind;
using memory::Sheddable;
using Admission = Account::Admission;

constexpr std::size_t kKiB = 1024;
constexpr memory::Nanos kSecond = 1'000'000'000;
// 1 MiB, of which accounts over 64 KiB may use three quarters.
constexpr memory::Limits kLimits{1024 * kKiB, 768 * kKiB, 64 * kKiB, 12 * kKiB};

// A peer with one buffer, which it frees as it is shed.
struct Peer {
  Peer(Budget& budget, std::size_t bytes, Sheddable sheddable, memory::Nanos now = 0)
      : account(&budget, PeerKind::client_connection, now, [this] { shed = true; }) {
    account.set_sheddable(sheddable);
    charge = Charge(account);
    charge.resize(bytes);
  }
  bool shed{};
  Account account;
  Charge charge;
};

}  // namespace

TEST_CASE("memory budget: what is charged is discharged when its owner ends") {
  Budget budget(kLimits);
  {
    Peer peer(budget, 100 * kKiB, Sheddable::first);
    Charge second(peer.account);
    second.resize(10 * kKiB);
    CHECK(budget.held() == 110 * kKiB);
    CHECK(budget.held(PeerKind::client_connection) == 110 * kKiB);
    Charge moved(std::move(second));
    peer.charge.resize(20 * kKiB);
    CHECK(budget.held() == 30 * kKiB);
  }
  CHECK(budget.held() == 0);
}

TEST_CASE("memory budget: the peer that holds most and has moved least is shed first") {
  Budget budget(kLimits);
  Peer large(budget, 300 * kKiB, Sheddable::first);
  Peer large_and_moving(budget, 300 * kKiB, Sheddable::first);
  Peer small(budget, 20 * kKiB, Sheddable::first);
  large_and_moving.account.record_progress(kSecond);
  Peer grower(budget, 20 * kKiB, Sheddable::first, kSecond);
  CHECK(grower.account.request_growth(200 * kKiB, kSecond) == Admission::wait);
  CHECK(large.shed);
  CHECK(!large_and_moving.shed);
  CHECK(!small.shed);
  large.charge.resize(0);
  CHECK(grower.account.request_growth(200 * kKiB, kSecond) == Admission::granted);
  CHECK(budget.shed_count() == 1);
}

TEST_CASE("memory budget: a request in service is not shed; a response that is not read is, after requests") {
  Budget budget(kLimits);
  Peer served(budget, 400 * kKiB, Sheddable::never);
  Peer unread(budget, 200 * kKiB, Sheddable::next);
  Peer unfinished(budget, 100 * kKiB, Sheddable::first);
  Peer grower(budget, 10 * kKiB, Sheddable::never);
  CHECK(grower.account.request_growth(100 * kKiB, kSecond) == Admission::wait);
  CHECK(unfinished.shed);
  CHECK(!unread.shed);
  CHECK(grower.account.request_growth(250 * kKiB, kSecond) == Admission::wait);
  CHECK(unread.shed);
  unread.charge.resize(0);
  unfinished.charge.resize(0);
  CHECK(grower.account.request_growth(700 * kKiB, kSecond) == Admission::refused);
  CHECK(!served.shed);
}

TEST_CASE("memory budget: large accounts leave room for small ones, and small ones are not shed") {
  Budget budget(kLimits);
  std::vector<std::unique_ptr<Peer>> served;
  for (int i = 0; i < 3; ++i) served.push_back(std::make_unique<Peer>(budget, 250 * kKiB, Sheddable::never));
  Peer small(budget, 5 * kKiB, Sheddable::first);
  CHECK(small.account.request_growth(100 * kKiB, 0) == Admission::refused);
  CHECK(!small.shed);
  CHECK(small.account.request_growth(30 * kKiB, 0) == Admission::granted);
}

TEST_CASE("memory budget: a shed account may not grow, and is shed once") {
  Budget budget(kLimits);
  int observed = 0;
  budget.observe_shedding([&](const Account&, memory::Nanos) { ++observed; });
  Peer peer(budget, 500 * kKiB, Sheddable::first);
  CHECK(peer.account.request_growth(600 * kKiB, 0) == Admission::refused);
  CHECK(peer.shed);
  CHECK(peer.account.request_growth(1, 0) == Admission::refused);
  CHECK(observed == 1);
}

TEST_CASE("memory budget: the limits follow from the memory of the process and stay under it") {
  for (const std::size_t mb : {1, 32, 64, 128, 192, 2048}) {
    const memory::Limits limits = memory::limits_for_process(mb * 1024 * kKiB);
    CHECK(limits.high_watermark < limits.total);
    CHECK(limits.small_account_bytes < limits.high_watermark);
    if (mb >= 32) CHECK(limits.total < mb * 1024 * kKiB * 2 / 3);
  }
}

}  // namespace cressrill::testing
