// The cost of one input of the policy, by the number of live requests and of workers. The policy runs alone,
// without sockets, on a simulated fleet that answers at a steady rate.
#include <benchmark/benchmark.h>

#include <deque>

#include "policy.h"

namespace cressrill {

namespace {

constexpr Nanos kMs = 1'000'000;

// Gives the policy the inputs of a fleet. With turn(), a constant number of requests is streaming; with
// queue() and queued_turn(), requests wait for prefill workers.
class Fleet final : public Actions {
 public:
  // slo_s: the latency SLO in seconds. A request that is queued for more than a share of it is rejected. With
  // more than 2 s, no stream is started here.
  Fleet(int live, int workers, int slo_s = 2) : policy_(make_policy(make_settings(slo_s), 7, now_, *this)) {
    policy_->list_begins(now_, true);
    for (int worker = 0; worker < workers; ++worker)
      policy_->worker_listed(worker, static_cast<std::uint64_t>(worker) + 1, WorkerStatus::ready, 0,
                             worker % 2, 0, worker / 8);
    policy_->list_ends();
    if (slo_s > 2) return;
    for (int request = 0; request < live; ++request) start_stream(request);
    next_ = live;
  }

  // Lets requests arrive: as many as allowed are sent to the prefill workers, the others are queued.
  void queue(int live) {
    for (int request = 0; request < live; ++request) arrive(request);
    next_ = live;
  }
  // Another request arrives, and the oldest one in flight completes its prefill, starts its stream and ends:
  // the first request of the queue is sent in its place. Four inputs.
  void queued_turn() {
    arrive(next_++);
    const int request = sent_order_.front();
    sent_order_.pop_front();
    now_ += kMs;
    policy_->attempt_ended(now_, request, 0, Outcome::prefill_done, 20 * kMs, false, 1000, {true, 3, 0.2});
    policy_->stream_started(now_, request, 1, 10 * kMs);
    policy_->attempt_ended(now_, request, 1, Outcome::generated, 100 * kMs, true, 0, {});
  }

  // One request arrives, completes its prefill and starts its stream; the oldest request ends. Four inputs.
  void turn() {
    start_stream(next_);
    policy_->attempt_ended(now_, oldest_, 1, Outcome::generated, 100 * kMs, true, 0, {});
    ++oldest_;
    ++next_;
  }

  void send(int request, int worker, AttemptLimits) override {
    if (worker % 2 == 0) sent_order_.push_back(request);
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
  static PolicySettings make_settings(int slo_s) {
    PolicySettings settings;
    settings.types.push_back({Effect::repeatable, Group::all, 0, slo_s * 1000 * kMs, 40 * kMs, 1});
    settings.kinds = {{Role::prefill, 0}, {Role::decode, 0}};
    settings.routers = 1;
    settings.time_granularity = 2 * kMs;
    settings.max_attempts = 6;
    settings.can_cancel = true;
    settings.allow_parallel_attempts = true;
    settings.kv_hold_limit = 500 * kMs;
    settings.cold_start_capacity = 0.25;
    settings.ramp_time = 10'000 * kMs;
    settings.overload_factor = 2.5;
    settings.overload_window = 1'500 * kMs;
    return settings;
  }
  void arrive(int request) {
    now_ += kMs / 10;
    const auto session = static_cast<std::uint64_t>(request % 997 + 1);
    policy_->request_arrived(now_, request, 0, 0, session, session % 13 + 1, 2000, 1000, 200,
                             now_ + 6'000'000 * kMs);
  }
  void start_stream(int request) {
    now_ += kMs;
    arrive(request);
    policy_->attempt_ended(now_, request, 0, Outcome::prefill_done, 20 * kMs, false, 1000, {true, 3, 0.2});
    policy_->stream_started(now_, request, 1, 10 * kMs);
  }

  Nanos now_{1000 * kMs};
  int next_{};    // the next request to arrive
  int oldest_{};  // the oldest request that is streaming
  int rejected_{};
  std::deque<int> sent_order_;  // requests sent to prefill workers; read by queued_turn() only
  std::unique_ptr<Policy> policy_;
};

// Counts four inputs a turn.
void finish(benchmark::State& state, const Fleet& fleet) {
  state.SetItemsProcessed(state.iterations() * 4);
  if (fleet.rejected() > 0) state.SkipWithError("a request was rejected, so the figure is not valid");
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
  for (auto _ : state) fleet.queued_turn();
  finish(state, fleet);
}
BENCHMARK(inputs_with_a_line)
    ->ArgsProduct({{10, 100, 1000}, {10, 100, 1000}})
    ->ArgNames({"waiting", "workers"})
    ->Iterations(200);

}  // namespace

}  // namespace cressrill

BENCHMARK_MAIN();
