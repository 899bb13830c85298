// What one input costs the decisions, by live sequences and workers. No sockets: the module alone, on a fleet that
// answers in a steady way.
#include <benchmark/benchmark.h>

#include <deque>

#include "policy.h"

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// Keeps so many sequences streaming, and lets one come, be read, begin and end with each turn: four inputs.
class Fleet final : public Actions {
 public:
  // slo_s: how patient they are; past some share of it none stays in line.
  Fleet(int live, int workers, int slo_s = 2) : policy_(make_policy(deployment(slo_s), 7, now_, *this)) {
    policy_->list_begins(now_, true);
    for (int w = 0; w < workers; ++w)
      policy_->worker_listed(w, static_cast<std::uint64_t>(w) + 1, WorkerStatus::ready, 0, w % 2, 0, w / 8);
    policy_->list_ends();
    if (slo_s > 2) return;
    for (int i = 0; i < live; ++i) begin(i);
    next_ = live;
  }

  // A line of so many before the readers, all that may be in flight being so.
  void queue(int live) {
    for (int i = 0; i < live; ++i) come(i);
    next_ = live;
  }
  // One more comes, and one of those in flight is read, begins and ends: the first in line is sent in its place.
  void queue_turn() {
    come(next_++);
    const int seq = sent_order_.front();
    sent_order_.pop_front();
    now_ += kMs;
    policy_->attempt_ended(now_, seq, 0, Outcome::prefill_done, 20 * kMs, false, 1000, {true, 3, 0.2});
    policy_->stream_started(now_, seq, 1, 10 * kMs);
    policy_->attempt_ended(now_, seq, 1, Outcome::generated, 100 * kMs, true, 0, {});
  }

  void turn() {
    begin(next_);
    policy_->attempt_ended(now_, oldest_, 1, Outcome::generated, 100 * kMs, true, 0, {});
    ++oldest_, ++next_;
  }

  void send(int seq, int worker, AttemptLimits) override {
    if (worker % 2 == 0) sent_order_.push_back(seq);
  }
  void release(int) override {}
  void cancel(int, int) override {}
  void reject(int, Nanos) override { ++rejected_; }
  void abort(int) override {}
  void subscribe() override {}
  void request_wakeup(Nanos) override {}
  void forget_request(int) override {}
  void forget_worker(int) override {}
  int rejected() const { return rejected_; }

 private:
  static PolicySettings deployment(int slo_s) {
    PolicySettings d;
    d.types.push_back({Effect::repeatable, Group::all, 0, slo_s * 1000 * kMs, 40 * kMs, 1});
    d.kinds = {{Role::prefill, 0}, {Role::decode, 0}};
    d.routers = 1, d.tick = 2 * kMs, d.max_attempts = 6;
    d.can_cancel = d.allow_parallel_attempts = true;
    d.kv_hold_limit = 500 * kMs, d.cold_start_capacity = 0.25, d.ramp_time = 10'000 * kMs;
    d.overload_factor = 2.5, d.overload_window = 1'500 * kMs;
    return d;
  }
  void come(int seq) {
    now_ += kMs / 10;
    const auto session = static_cast<std::uint64_t>(seq % 997 + 1);
    policy_->request_arrived(now_, seq, 0, 0, session, session % 13 + 1, 2000, 1000, 200,
                             now_ + 6'000'000 * kMs);
  }
  void begin(int seq) {
    now_ += kMs;
    come(seq);
    policy_->attempt_ended(now_, seq, 0, Outcome::prefill_done, 20 * kMs, false, 1000, {true, 3, 0.2});
    policy_->stream_started(now_, seq, 1, 10 * kMs);
  }

  Nanos now_{1000 * kMs};
  int next_{}, oldest_{}, rejected_{};
  std::deque<int> sent_order_;
  std::unique_ptr<Policy> policy_;
};

// Each turn is four inputs.
void finish(benchmark::State& state, const Fleet& fleet) {
  state.SetItemsProcessed(state.iterations() * 4);
  if (fleet.rejected() > 0)
    state.SkipWithError("a sequence was turned away: the figure is of something else");
}

void inputs(benchmark::State& state) {
  Fleet fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  for (auto _ : state) fleet.turn();
  finish(state, fleet);
}
BENCHMARK(inputs)
    ->ArgsProduct({{10, 100, 1000}, {10, 100, 1000}})
    ->ArgNames({"live", "workers"})
    ->Iterations(200);

void inputs_with_a_line(benchmark::State& state) {
  Fleet fleet(0, static_cast<int>(state.range(1)), 100'000);
  fleet.queue(static_cast<int>(state.range(0)));
  for (auto _ : state) fleet.queue_turn();
  finish(state, fleet);
}
BENCHMARK(inputs_with_a_line)
    ->ArgsProduct({{10, 100, 1000}, {10, 100, 1000}})
    ->ArgNames({"waiting", "workers"})
    ->Iterations(200);

}  // namespace

}  // namespace cressrill

BENCHMARK_MAIN();
