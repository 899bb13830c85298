#include "baseline.h"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace cressrill::rig {

namespace {

constexpr Nanos kDeadlineMargin = 40'000'000;  // a request is given up this long before its deadline

class Baseline final : public Policy {
 public:
  Baseline(bool pick_fewest, const PolicySettings& settings, std::uint64_t seed, Actions& actions)
      : pick_fewest_(pick_fewest), settings_(settings), actions_(actions), random_(seed) {}

  void list_begins(Nanos, bool complete) override {
    if (complete)
      for (Worker& worker : workers_) worker.ready = false;
  }
  void worker_listed(int worker, std::uint64_t, WorkerStatus status, Nanos, int kind, int, int) override {
    if (worker >= static_cast<int>(workers_.size())) workers_.resize(static_cast<std::size_t>(worker) + 1);
    worker_at(worker).ready = status == WorkerStatus::ready;
    worker_at(worker).is_prefill = settings_.kinds[static_cast<std::size_t>(kind)].role == Role::prefill;
  }
  void list_ends() override {}
  void discovery_unreachable(Nanos) override {}
  void request_arrived(Nanos now, int request, int type, int, std::uint64_t, std::uint64_t, double, double,
                       double, Nanos deadline) override {
    if (request >= static_cast<int>(requests_.size()))
      requests_.resize(static_cast<std::size_t>(request) + 1);
    requests_[static_cast<std::size_t>(request)] = RequestEntry{};
    RequestEntry& entry = entry_at(request);
    entry.live = true;
    entry.deadline = deadline;
    entry.effect = settings_.types[static_cast<std::size_t>(type)].effect;
    actions_.request_wakeup(std::max<Nanos>(1, deadline - kDeadlineMargin - now));
    send_attempt(request, true);
  }
  void client_left(Nanos, int request) override { finish(request); }
  void stream_started(Nanos, int request, int, Nanos) override { entry_at(request).streaming = true; }
  void attempt_ended(Nanos now, int request, int, Outcome outcome, Nanos, bool closed, double,
                     const LoadReport&) override {
    RequestEntry& entry = entry_at(request);
    --entry.in_flight;
    --worker_at(entry.worker).in_flight;
    if (closed || entry.finished) return finish(request);
    if (outcome == Outcome::prefill_done) {
      entry.kv_held = true;
      return send_attempt(request, false);
    }
    const bool outcome_unknown =
        outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost;
    entry.may_have_run = entry.may_have_run || (outcome_unknown && !entry.is_prefill);
    if (now > entry.deadline - kDeadlineMargin || (entry.may_have_run && entry.effect != Effect::repeatable))
      return give_up(request);
    if (outcome == Outcome::kv_missing) entry.kv_held = false;
    send_attempt(request, !entry.kv_held);
  }
  void on_wakeup(Nanos now) override {
    for (int request = 0; request < static_cast<int>(requests_.size()); ++request)
      if (entry_at(request).live && !entry_at(request).finished && !entry_at(request).streaming &&
          now >= entry_at(request).deadline - kDeadlineMargin)
        give_up(request);
  }

 private:
  struct RequestEntry {
    bool live{};          // the request has not been forgotten
    bool finished{};      // it has its outcome
    bool streaming{};     // its first token has come
    bool kv_held{};       // its prefill is done, and the KV cache is held
    bool is_prefill{};    // of the latest attempt
    bool may_have_run{};  // its effect may have happened
    int in_flight{};      // attempts
    int attempts{};       // that were sent
    int worker{};         // of the latest attempt
    Effect effect{};
    Nanos deadline{};
  };
  struct Worker {
    bool ready{};
    bool is_prefill{};
    int in_flight{};  // attempts
  };
  RequestEntry& entry_at(int request) { return requests_[static_cast<std::size_t>(request)]; }
  Worker& worker_at(int worker) { return workers_[static_cast<std::size_t>(worker)]; }

  // Sends an attempt to a ready worker, or gives up.
  void send_attempt(int request, bool is_prefill) {
    RequestEntry& entry = entry_at(request);
    std::vector<int> candidates;
    for (int worker = 0; worker < static_cast<int>(workers_.size()); ++worker)
      if (worker_at(worker).ready && worker_at(worker).is_prefill == is_prefill) candidates.push_back(worker);
    if (candidates.empty() || entry.attempts >= settings_.max_attempts) return give_up(request);
    std::ranges::shuffle(candidates, random_);
    if (pick_fewest_)
      std::ranges::stable_sort(candidates, {}, [&](int worker) { return worker_at(worker).in_flight; });
    entry.worker = candidates.front();
    entry.is_prefill = is_prefill;
    ++entry.attempts;
    ++entry.in_flight;
    ++worker_at(entry.worker).in_flight;
    actions_.send(request, entry.worker, {});
  }
  // Rejects the request, or aborts it if it must not be repeated and its effect may have happened.
  void give_up(int request) {
    RequestEntry& entry = entry_at(request);
    const bool effect_possible = entry.may_have_run || (entry.in_flight > 0 && !entry.is_prefill);
    if (effect_possible && entry.effect != Effect::repeatable)
      actions_.abort(request);
    else
      actions_.reject(request, 0);
    finish(request);
  }
  // Cancels the attempt in flight; without one, releases and forgets the request.
  void finish(int request) {
    RequestEntry& entry = entry_at(request);
    if (!entry.live) return;
    entry.finished = true;
    if (entry.in_flight > 0) return actions_.cancel(request, entry.attempts - 1);
    actions_.release(request);
    entry.live = false;
    actions_.forget_request(request);
  }

  bool pick_fewest_;
  const PolicySettings settings_;
  Actions& actions_;
  std::mt19937_64 random_;
  std::vector<RequestEntry> requests_;
  std::vector<Worker> workers_;
};

}  // namespace

std::unique_ptr<Policy> make_baseline(const std::string& name, const PolicySettings& settings,
                                      std::uint64_t seed, Actions& actions) {
  if (name != "random" && name != "fewest")
    throw std::invalid_argument("no baseline is named '" + name + "'");
  return std::make_unique<Baseline>(name == "fewest", settings, seed, actions);
}

}  // namespace cressrill::rig
