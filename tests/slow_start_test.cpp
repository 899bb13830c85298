// Rule 4: the load that a cold worker gets from all routers together, simulated with one policy per router,
// which have independent seeds and no shared state. In any window of overload_window, the settings allow it
// N requests: overload_factor times what it can serve. More than N + 2 sqrt(N) + 2 requests are a
// violation, as random variation does not explain them.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy.h"

namespace cressrill::testing {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr double kSecond = 1e9;
constexpr int kWorkersPerRole = 10;  // prefill workers are 0 to 9, decode workers 10 to 19

struct Scenario {
  const char* description;
  std::vector<int> cold;           // workers that are restarted at 10 s
  double traffic_factor{1};        // relative to the usual traffic, from 10 s to 16 s
  double router_weight_factor{1};  // traffic of every tenth router relative to the others
  double full_probability{};       // that a worker reports being full, for each attempt
};

// Routers and workers in simulated time. Warm workers have a utilization of 0.6: each can serve
// request_rate / (0.6 * kWorkersPerRole) requests per second.
class SimulatedFleet {
 public:
  SimulatedFleet(int routers, const Scenario& scenario, unsigned seed)
      : scenario_(scenario), random_(seed), policy_seeds_(seed) {
    PolicySettings settings;
    settings.types.push_back({Effect::repeatable, Group::all, 0, 1500 * kMs, 40 * kMs, 1});
    settings.kinds = {{Role::prefill, 0}, {Role::decode, 0}};
    settings.routers = routers;
    settings.time_granularity = 2 * kMs;
    settings.max_attempts = 6;
    settings.can_cancel = settings.allow_parallel_attempts = true;
    settings.kv_hold_limit = 1000 * kMs;
    settings.cold_start_capacity = 0.25;
    settings.ramp_time = 12'000 * kMs;
    settings.overload_factor = 4;
    settings.overload_window = 3'000 * kMs;
    settings_ = settings;
    received_.resize(2 * kWorkersPerRole);
    for (int router = 0; router < routers; ++router) {
      routers_.push_back(std::make_unique<Router>(*this));
      router_weights_.push_back(router % 10 == 0 ? scenario.router_weight_factor : 1);
    }
  }

  // Returns the lowest headroom of any cold worker in any window: the requests that it may receive, minus
  // those that it received.
  double min_headroom(double request_rate) {
    request_rate_ = request_rate;
    for (auto& router : routers_) router->list(now_, 0);
    std::discrete_distribution<std::size_t> choose_router(router_weights_.begin(), router_weights_.end());
    double due_requests = 0;
    for (; now_ < 24'000 * kMs; now_ += 10 * kMs) {
      if (now_ == 10'000 * kMs)
        for (auto& router : routers_) router->list(now_, now_);
      const bool in_burst = now_ >= 10'000 * kMs && now_ < 16'000 * kMs;
      for (due_requests += request_rate * (in_burst ? scenario_.traffic_factor : 1) * 0.01; due_requests >= 1;
           --due_requests)
        routers_[choose_router(random_)]->add_request(now_, random_());
      for (auto& router : routers_) router->step(now_);
    }
    double lowest = 1e9;
    for (const int worker : scenario_.cold) lowest = std::min(lowest, headroom(worker));
    return lowest;
  }
  double rejected_share() const { return static_cast<double>(rejected_) / static_cast<double>(requests_); }

 private:
  struct Event {
    Nanos at;
    int request;
    int attempt;
    bool is_prefill;
    bool worker_full;
    int kind;  // 0: prefill done or worker full, 1: stream starts, 2: stream ends
  };
  class Router final : public Actions {
   public:
    explicit Router(SimulatedFleet& fleet)
        : fleet_(fleet), policy_(make_policy(fleet.settings_, fleet.policy_seeds_(), 0, *this)) {}
    // started_at: when the cold workers started; 0: long ago.
    void list(Nanos now, Nanos started_at) {
      policy_->list_begins(now, true);
      for (int worker = 0; worker < 2 * kWorkersPerRole; ++worker) {
        const bool cold = std::ranges::find(fleet_.scenario_.cold, worker) != fleet_.scenario_.cold.end();
        policy_->worker_listed(worker, static_cast<std::uint64_t>(worker + 1) * 0x9e3779b97f4a7c15u,
                               WorkerStatus::ready, cold ? started_at : 0, worker < kWorkersPerRole ? 0 : 1,
                               0, 0);
      }
      policy_->list_ends();
    }
    void add_request(Nanos now, std::uint64_t session) {
      ++fleet_.requests_;
      int request = 0;
      if (free_requests_.empty()) {
        request = static_cast<int>(attempts_.size());
        attempts_.emplace_back();
      } else {
        request = free_requests_.back();
        free_requests_.pop_back();
        attempts_[static_cast<std::size_t>(request)] = 0;
      }
      policy_->request_arrived(now, request, 0, 0, session | 1, 0, 2000, 0, 200, now + 6000 * kMs);
    }
    void step(Nanos now) {
      policy_->on_wakeup(now);
      for (std::size_t remaining = events_.size(); remaining-- > 0;) {
        Event event = events_.front();
        events_.pop_front();
        if (event.at > now) {
          events_.push_back(event);
          continue;
        }
        if (event.kind == 1) policy_->stream_started(now, event.request, event.attempt, 60 * kMs);
        if (event.kind == 1)
          events_.push_back({now + 1000 * kMs, event.request, event.attempt, false, false, 2});
        if (event.kind != 1)
          policy_->attempt_ended(now, event.request, event.attempt,
                                 event.worker_full  ? Outcome::full
                                 : event.is_prefill ? Outcome::prefill_done
                                                    : Outcome::generated,
                                 60 * kMs, event.kind == 2, 0, {});
      }
    }
    void send(int request, int worker, AttemptLimits) override {
      fleet_.received_[static_cast<std::size_t>(worker)].push_back(fleet_.now_);
      const int attempt = attempts_[static_cast<std::size_t>(request)]++;
      const bool is_prefill = worker < kWorkersPerRole;
      const bool worker_is_full =
          std::bernoulli_distribution(fleet_.scenario_.full_probability)(fleet_.random_);
      events_.push_back({fleet_.now_ + 60 * kMs, request, attempt, is_prefill, worker_is_full,
                         is_prefill || worker_is_full ? 0 : 1});
    }
    void release(int) override {}
    void cancel(int, int) override {}
    void reject(int, Nanos) override { ++fleet_.rejected_; }
    void abort(int) override { ++fleet_.rejected_; }
    void subscribe() override {}
    void request_wakeup(Nanos) override {}
    void forget_request(int request) override { free_requests_.push_back(request); }
    void forget_worker(int) override {}

   private:
    SimulatedFleet& fleet_;
    std::unique_ptr<Policy> policy_;
    std::vector<int> attempts_;
    std::vector<int> free_requests_;
    std::deque<Event> events_;
  };

  // The lowest headroom over all windows of the length overload_window.
  double headroom(int worker) const {
    const auto& receive_times = received_[static_cast<std::size_t>(worker)];
    const double warm_rate =
        request_rate_ / (0.6 * kWorkersPerRole);  // requests per second that it can serve when warm
    double lowest = 1e9;
    for (Nanos window_end = 10'000 * kMs; window_end <= 22'000 * kMs; window_end += 50 * kMs) {
      const Nanos window_start = std::max<Nanos>(10'000 * kMs, window_end - settings_.overload_window);
      double allowed = 0;
      for (Nanos time = window_end - settings_.overload_window; time < window_end; time += 50 * kMs) {
        const double ramp_position = std::clamp(static_cast<double>(time - 10'000 * kMs) / 12e9, 0.0, 1.0);
        allowed +=
            settings_.overload_factor * (0.25 + 0.75 * ramp_position * ramp_position) * warm_rate * 0.05;
      }
      const auto received_requests = std::ranges::count_if(
          receive_times, [&](Nanos at) { return at >= window_start && at < window_end; });
      lowest =
          std::min(lowest, allowed + 2 * std::sqrt(allowed) + 2 - static_cast<double>(received_requests));
    }
    return lowest;
  }

  Scenario scenario_;
  std::mt19937 random_;
  std::mt19937_64 policy_seeds_;  // each router gets a 64-bit random seed, as from the platform
  PolicySettings settings_;
  Nanos now_{};
  double request_rate_{};
  long requests_{};
  long rejected_{};
  std::vector<std::vector<Nanos>> received_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<double> router_weights_;
};

const std::vector<Scenario> kScenarios{
    {"one prefill worker and one decode worker cold", {3, 13}},
    {"the same during a burst", {3, 13}, 3},
    {"uneven traffic", {3, 13}, 1.5, 8},
    {"several workers cold at once", {0, 1, 2, 3, 4, 10, 11, 12, 13, 14}, 1.5, 4},
    {"all prefill workers cold", {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 1.5},
    {"all decode workers cold", {10, 11, 12, 13, 14, 15, 16, 17, 18, 19}, 1.5},
    {"a fifth of the attempts finds its worker full and is retried", {3, 13}, 1.5, 1, 0.2},
};

}  // namespace

TEST_CASE("a cold worker is not overloaded by all routers together, whatever their number") {
  for (const Scenario& scenario : kScenarios)
    for (const int routers : {1, 3, 30, 300})
      for (const unsigned seed : {1u, 2u}) {
        CAPTURE(std::string(scenario.description));
        CAPTURE(routers);
        CAPTURE(seed);
        SimulatedFleet fleet(routers, scenario, seed);
        const double headroom = fleet.min_headroom(60);
        CAPTURE(fleet.rejected_share());
        CHECK(headroom >= 0);
        // Slow start must cost next to nothing while other workers of the role are warm, and never most of
        // the requests.
        CHECK(fleet.rejected_share() < (scenario.cold.size() < kWorkersPerRole ? 0.02 : 0.5));
      }
}

}  // namespace cressrill::testing
