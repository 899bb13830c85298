// Tests the conversion of a worker's start time from the wall clock, by which discovery reports it, to the
// monotonic clock. The wall clock of this machine or of the discovery service's may have been stepped.
#include "router/fleet.h"

#include <doctest/doctest.h>

namespace cressrill::testing {

namespace {

using io::kMs;
using io::kSecond;
constexpr io::Nanos kHour = 3600 * kSecond;

// Records the start times that the policy is given.
class StartRecorder final : public Policy {
 public:
  void list_begins(Nanos, bool) override {}
  void worker_listed(int worker, std::uint64_t, WorkerStatus, Nanos started_at, int, int, int) override {
    starts.resize(std::max(starts.size(), static_cast<std::size_t>(worker) + 1));
    starts[static_cast<std::size_t>(worker)] = started_at;
  }
  void list_ends() override {}
  void discovery_unreachable(Nanos) override {}
  void request_arrived(Nanos, int, int, int, std::uint64_t, std::uint64_t, double, double, double,
                       Nanos) override {}
  void client_left(Nanos, int) override {}
  void stream_started(Nanos, int, int, Nanos) override {}
  void attempt_ended(Nanos, int, int, Outcome, Nanos, bool, double, const LoadReport&) override {}
  void on_wakeup(Nanos) override {}
  std::vector<Nanos> starts;
};

struct FleetFixture {
  FleetFixture() {
    config.kind_names = {"decode"};
    config.zones = {"east"};
    config.settings.kinds = {{Role::decode, 0}};
    fleet = std::make_unique<router::Fleet>(loop, config, log);
  }
  // The wall-clock time, without any step of the clock.
  io::Nanos wall_time() const { return loop.wall_clock_offset() + loop.now(); }
  void apply_list(io::Nanos started_at, bool complete = false) {
    core::WorkerList worker_list{++version, complete, {}};
    worker_list.source = 1;
    worker_list.workers.push_back(
        {"w", "127.0.0.1:1", WorkerStatus::ready, started_at, "decode", "east", "3"});
    fleet->apply_list(worker_list, policy);
  }
  void advance(io::Nanos span) { loop.advance_to(loop.now() + span); }
  Nanos started_at() const { return policy.starts[0]; }

  io::Loop loop{io::Loop::Clock::simulated};
  core::RouterConfig config;
  core::Log log{"n0", "off"};
  std::unique_ptr<router::Fleet> fleet;
  StartRecorder policy;
  std::uint64_t version{};
};

}  // namespace

TEST_CASE("a start that the wall clock puts in the future is no later than its report") {
  for (const io::Nanos step : {3 * kSecond, kHour}) {
    CAPTURE(step);
    FleetFixture fixture;
    fixture.apply_list(0, true);
    fixture.advance(20 * kSecond);
    fixture.apply_list(fixture.wall_time() - 100 * kMs + step);
    CHECK(fixture.started_at() <= fixture.loop.now());
    CHECK(fixture.started_at() >= fixture.loop.now() - 100 * kMs);
    const Nanos converted = fixture.started_at();
    fixture.advance(5 * kSecond);
    fixture.apply_list(fixture.wall_time() - 5'100 * kMs + step);  // reports the same start again
    CHECK(fixture.started_at() == converted);
  }
}

TEST_CASE("a restart that the wall clock puts before the current list still counts as a restart") {
  FleetFixture fixture;
  fixture.apply_list(fixture.wall_time() - kHour / 2, true);
  const Nanos before = fixture.started_at();
  fixture.advance(20 * kSecond);
  fixture.apply_list(fixture.wall_time() - 100 * kMs - kHour);
  CHECK(fixture.started_at() > before);
  CHECK(fixture.started_at() <= fixture.loop.now());
  CHECK(fixture.started_at() >= fixture.loop.now() - 100 * kMs);
}

TEST_CASE(
    "a start that the wall clock puts within a long period without changes is no earlier than the last "
    "confirmation") {
  FleetFixture fixture;
  fixture.apply_list(0, true);
  for (int i = 0; i < 720; ++i) {
    fixture.advance(10 * kSecond);
    fixture.fleet->confirm_current();
  }
  fixture.apply_list(fixture.wall_time() - 100 * kMs - kHour);
  CHECK(fixture.started_at() == fixture.loop.now());
}

TEST_CASE("an old start in the list of a lagging discovery agent is not a restart") {
  FleetFixture fixture;
  fixture.apply_list(fixture.wall_time() - 2 * kSecond, true);
  fixture.advance(20 * kSecond);
  fixture.apply_list(fixture.wall_time() - 1 * kSecond);
  const Nanos start = fixture.started_at();
  core::WorkerList stale{
      1,
      true,
      {{"w", "127.0.0.1:1", WorkerStatus::ready, fixture.wall_time() - 22 * kSecond, "decode", "east", "3"}}};
  stale.source = 2;
  fixture.fleet->apply_list(stale, fixture.policy);
  CHECK(fixture.started_at() == start);
}

TEST_CASE("a plausible start is taken from the wall clock, even if reported late") {
  FleetFixture fixture;
  fixture.apply_list(0, true);
  fixture.advance(20 * kSecond);
  fixture.apply_list(fixture.wall_time() - 4 * kSecond);
  CHECK(fixture.started_at() == fixture.loop.now() - 4 * kSecond);
}

}  // namespace cressrill::testing
