#include "baseline.h"

#include <algorithm>
#include <random>
#include <stdexcept>

namespace cressrill::rig {

namespace {

constexpr Nanos kMargin = 40'000'000;  // before the abandon time

class Baseline final : public Policy {
 public:
  Baseline(bool fewest, const PolicySettings& d, std::uint64_t seed, Actions& out)
      : fewest_(fewest), d_(d), out_(out), random_(seed) {}

  void list_begins(Nanos, bool complete) override {
    if (complete)
      for (Worker& w : workers_) w.ready = false;
  }
  void worker_listed(int worker, std::uint64_t, WorkerStatus standing, Nanos, int kind, int, int) override {
    if (worker >= static_cast<int>(workers_.size())) workers_.resize(static_cast<std::size_t>(worker) + 1);
    at(worker).ready = standing == WorkerStatus::ready;
    at(worker).reads = d_.kinds[static_cast<std::size_t>(kind)].role == Role::prefill;
  }
  void list_ends() override {}
  void list_failed(Nanos) override {}
  void request_arrived(Nanos now, int seq, int type, int, std::uint64_t, std::uint64_t, double, double,
                       double, Nanos abandon_at) override {
    if (seq >= static_cast<int>(sequences_.size())) sequences_.resize(static_cast<std::size_t>(seq) + 1);
    sequences_[static_cast<std::size_t>(seq)] = Sequence{};
    Sequence& q = of(seq);
    q.live = true, q.abandon_at = abandon_at, q.effect = d_.types[static_cast<std::size_t>(type)].effect;
    out_.request_wakeup(std::max<Nanos>(1, abandon_at - kMargin - now));
    next(seq, true);
  }
  void client_left(Nanos, int seq) override { finish(seq); }
  void stream_started(Nanos, int seq, int, Nanos) override { of(seq).streaming = true; }
  void attempt_ended(Nanos now, int seq, int, Outcome outcome, Nanos, bool closed, double,
                     const LoadReport&) override {
    Sequence& q = of(seq);
    --q.out, --at(q.worker).in_flight;
    if (closed || q.over) return finish(seq);
    if (outcome == Outcome::prefill_done) {
      q.held = true;
      return next(seq, false);
    }
    const bool ran =
        outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost;
    q.maybe_ran = q.maybe_ran || (ran && !q.reading);
    if (now > q.abandon_at - kMargin || (q.maybe_ran && q.effect != Effect::repeatable)) return give_up(seq);
    if (outcome == Outcome::kv_missing) q.held = false;
    next(seq, !q.held);
  }
  void on_wakeup(Nanos now) override {
    for (int seq = 0; seq < static_cast<int>(sequences_.size()); ++seq)
      if (of(seq).live && !of(seq).over && !of(seq).streaming && now >= of(seq).abandon_at - kMargin)
        give_up(seq);
  }

 private:
  struct Sequence {
    bool live{}, over{}, streaming{}, held{}, reading{}, maybe_ran{};
    int out{}, attempts{}, worker{};
    Effect effect{};
    Nanos abandon_at{};
  };
  struct Worker {
    bool ready{}, reads{};
    int in_flight{};
  };
  Sequence& of(int seq) { return sequences_[static_cast<std::size_t>(seq)]; }
  Worker& at(int worker) { return workers_[static_cast<std::size_t>(worker)]; }

  void next(int seq, bool reads) {
    Sequence& q = of(seq);
    std::vector<int> from;
    for (int w = 0; w < static_cast<int>(workers_.size()); ++w)
      if (at(w).ready && at(w).reads == reads) from.push_back(w);
    if (from.empty() || q.attempts >= d_.max_attempts) return give_up(seq);
    std::ranges::shuffle(from, random_);
    if (fewest_) std::ranges::stable_sort(from, {}, [&](int w) { return at(w).in_flight; });
    q.worker = from.front(), q.reading = reads;
    ++q.attempts, ++q.out, ++at(q.worker).in_flight;
    out_.send(seq, q.worker, {});
  }
  void give_up(int seq) {
    Sequence& q = of(seq);
    const bool may_have_run = q.maybe_ran || (q.out > 0 && !q.reading);
    if (may_have_run && q.effect != Effect::repeatable)
      out_.abort(seq);
    else
      out_.reject(seq, 0);
    finish(seq);
  }
  void finish(int seq) {
    Sequence& q = of(seq);
    if (!q.live) return;
    q.over = true;
    if (q.out > 0) return out_.cancel(seq, q.attempts - 1);
    out_.release(seq);
    q.live = false;
    out_.forget_request(seq);
  }

  bool fewest_;
  const PolicySettings d_;
  Actions& out_;
  std::mt19937_64 random_;
  std::vector<Sequence> sequences_;
  std::vector<Worker> workers_;
};

}  // namespace

std::unique_ptr<Policy> make_baseline(const std::string& name, const PolicySettings& deployment,
                                      std::uint64_t seed, Actions& actions) {
  if (name != "random" && name != "fewest")
    throw std::invalid_argument("no baseline is named '" + name + "'");
  return std::make_unique<Baseline>(name == "fewest", deployment, seed, actions);
}

}  // namespace cressrill::rig
