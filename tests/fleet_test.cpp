// Where a worker's start, told in wall-clock time, is placed on the monotonic clock: the wall clock of this machine, or of
// the one that tells, may have been stepped.
#include "router/fleet.h"

#include <doctest/doctest.h>

namespace cressrill::testing {

namespace {

using io::kMs;
using io::kSecond;
constexpr io::Nanos kHour = 3600 * kSecond;

// Keeps what the decisions are told of starts.
class StartsTold final : public Policy {
 public:
  void list_begins(Nanos, bool) override {}
  void worker_listed(int worker, std::uint64_t, WorkerStatus, Nanos started, int, int, int) override {
    starts.resize(std::max(starts.size(), static_cast<std::size_t>(worker) + 1));
    starts[static_cast<std::size_t>(worker)] = started;
  }
  void list_ends() override {}
  void list_failed(Nanos) override {}
  void request_arrived(Nanos, int, int, int, std::uint64_t, std::uint64_t, double, double, double,
                       Nanos) override {}
  void client_left(Nanos, int) override {}
  void stream_started(Nanos, int, int, Nanos) override {}
  void attempt_ended(Nanos, int, int, Outcome, Nanos, bool, double, const LoadReport&) override {}
  void on_wakeup(Nanos) override {}
  std::vector<Nanos> starts;
};

struct Told {
  Told() {
    station.kind_names = {"decode"};
    station.zones = {"east"};
    station.settings.kinds = {{Role::decode, 0}};
    fleet = std::make_unique<router::Fleet>(loop, station, log);
  }
  // The wall clock, as it stands without a step.
  io::Nanos wall() const { return loop.wall_clock_offset() + loop.now(); }
  void list(io::Nanos started, bool complete = false) {
    core::WorkerList told{++version, complete, {}};
    told.source = 1;
    told.workers.push_back({"w", "127.0.0.1:1", WorkerStatus::ready, started, "decode", "east", "3"});
    fleet->apply_list(told, policy);
  }
  void pass(io::Nanos span) { loop.advance_to(loop.now() + span); }
  Nanos start() const { return policy.starts[0]; }

  io::Loop loop{io::Loop::Clock::simulated};
  core::RouterConfig station;
  core::Log log{"n0", "off"};
  std::unique_ptr<router::Fleet> fleet;
  StartsTold policy;
  std::uint64_t version{};
};

}  // namespace

TEST_CASE("a start that the wall clock places after the present is no later than its telling") {
  for (const io::Nanos step : {3 * kSecond, kHour}) {
    CAPTURE(step);
    Told t;
    t.list(0, true);
    t.pass(20 * kSecond);
    t.list(t.wall() - 100 * kMs + step);
    CHECK(t.start() <= t.loop.now());
    CHECK(t.start() >= t.loop.now() - 100 * kMs);
    const Nanos placed = t.start();
    t.pass(5 * kSecond);
    t.list(t.wall() - 5'100 * kMs + step);  // the same start again
    CHECK(t.start() == placed);
  }
}

TEST_CASE("a restart that the wall clock places before the list in force is a restart all the same") {
  Told t;
  t.list(t.wall() - kHour / 2, true);
  const Nanos before = t.start();
  t.pass(20 * kSecond);
  t.list(t.wall() - 100 * kMs - kHour);
  CHECK(t.start() > before);
  CHECK(t.start() <= t.loop.now());
  CHECK(t.start() >= t.loop.now() - 100 * kMs);
}

TEST_CASE(
    "after a long quiet time a start that the wall clock places within it is no earlier than the last "
    "answer") {
  Told t;
  t.list(0, true);
  for (int i = 0; i < 720; ++i) {
    t.pass(10 * kSecond);
    t.fleet->confirm_current();
  }
  t.list(t.wall() - 100 * kMs - kHour);
  CHECK(t.start() == t.loop.now());
}

TEST_CASE("a list of an agent that lags behind the one before it names an old start: that is no restart") {
  Told t;
  t.list(t.wall() - 2 * kSecond, true);
  t.pass(20 * kSecond);
  t.list(t.wall() - 1 * kSecond);
  const Nanos start = t.start();
  core::WorkerList old{
      1, true, {{"w", "127.0.0.1:1", WorkerStatus::ready, t.wall() - 22 * kSecond, "decode", "east", "3"}}};
  old.source = 2;
  t.fleet->apply_list(old, t.policy);
  CHECK(t.start() == start);
}

TEST_CASE("a start that the wall clock places well is where it says, also told late") {
  Told t;
  t.list(0, true);
  t.pass(20 * kSecond);
  t.list(t.wall() - 4 * kSecond);
  CHECK(t.start() == t.loop.now() - 4 * kSecond);
}

}  // namespace cressrill::testing
