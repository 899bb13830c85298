// What a cold worker gets from all routers together, counted over independently seeded policies that share nothing.
// N is what the settings allow it while requests are counted: the stated multiple of what it can do. More than
// N + 2 sqrt(N) + 2 is no chance any more (rule 4).
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
constexpr int kOfRole = 10;  // readers (0 to 9) and as many writers (10 to 19)

struct Day {
  const char* what;
  std::vector<int> cold;  // workers that start at 10 s
  double burst{1};        // times the usual traffic, from 10 s to 16 s
  double uneven{1};       // a tenth of the routers get so many times the share of the others
  double failing{};       // share of the attempts that a worker turns away
};

// A fleet whose warm workers are used to 0.6: a worker does rate / (0.6 * kOfRole) sequences a second.
class Fleet {
 public:
  Fleet(int routers, const Day& day, unsigned seed) : day_(day), chance_(seed), seeds_(seed) {
    PolicySettings d;
    d.types.push_back({Effect::repeatable, Group::all, 0, 1500 * kMs, 40 * kMs, 1});
    d.kinds = {{Role::prefill, 0}, {Role::decode, 0}};
    d.routers = routers;
    d.tick = 2 * kMs;
    d.max_attempts = 6;
    d.can_cancel = d.allow_parallel_attempts = true;
    d.kv_hold_limit = 1000 * kMs;
    d.cold_start_capacity = 0.25;
    d.ramp_time = 12'000 * kMs;
    d.overload_factor = 4;
    d.overload_window = 3'000 * kMs;
    deployment_ = d;
    got_.resize(2 * kOfRole);
    for (int r = 0; r < routers; ++r) {
      routers_.push_back(std::make_unique<Router>(*this));
      weight_.push_back(r % 10 == 0 ? day.uneven : 1);
    }
  }

  // The least room that any cold worker had at any moment: budget less what it got, in requests.
  double least_room(double rate) {
    rate_ = rate;
    for (auto& r : routers_) r->list(now_, 0);
    std::discrete_distribution<std::size_t> whose(weight_.begin(), weight_.end());
    double due = 0;
    for (; now_ < 24'000 * kMs; now_ += 10 * kMs) {
      if (now_ == 10'000 * kMs)
        for (auto& r : routers_) r->list(now_, now_);
      const bool bursts = now_ >= 10'000 * kMs && now_ < 16'000 * kMs;
      for (due += rate * (bursts ? day_.burst : 1) * 0.01; due >= 1; --due)
        routers_[whose(chance_)]->came(now_, chance_());
      for (auto& r : routers_) r->step(now_);
    }
    double least = 1e9;
    for (const int w : day_.cold) least = std::min(least, room(w));
    return least;
  }
  double rejected_share() const { return static_cast<double>(rejected_) / static_cast<double>(came_); }

 private:
  struct Event {
    Nanos at;
    int seq;
    int attempt;
    bool reads;
    bool turned_away;
    int what;  // 0: read or turned away, 1: stream begins, 2: stream ends
  };
  class Router final : public Actions {
   public:
    explicit Router(Fleet& of) : of_(of), policy_(make_policy(of.deployment_, of.seeds_(), 0, *this)) {}
    void list(Nanos now, Nanos started) {
      policy_->list_begins(now, true);
      for (int w = 0; w < 2 * kOfRole; ++w) {
        const bool cold = std::ranges::find(of_.day_.cold, w) != of_.day_.cold.end();
        policy_->worker_listed(w, static_cast<std::uint64_t>(w + 1) * 0x9e3779b97f4a7c15u,
                               WorkerStatus::ready, cold ? started : 0, w < kOfRole ? 0 : 1, 0, 0);
      }
      policy_->list_ends();
    }
    void came(Nanos now, std::uint64_t session) {
      ++of_.came_;
      int seq = 0;
      if (free_.empty())
        seq = static_cast<int>(attempts_.size()), attempts_.emplace_back();
      else
        seq = free_.back(), free_.pop_back(), attempts_[static_cast<std::size_t>(seq)] = 0;
      policy_->request_arrived(now, seq, 0, 0, session | 1, 0, 2000, 0, 200, now + 6000 * kMs);
    }
    void step(Nanos now) {
      policy_->on_wakeup(now);
      for (std::size_t n = events_.size(); n-- > 0;) {
        Event e = events_.front();
        events_.pop_front();
        if (e.at > now) {
          events_.push_back(e);
          continue;
        }
        if (e.what == 1) policy_->stream_started(now, e.seq, e.attempt, 60 * kMs);
        if (e.what == 1) events_.push_back({now + 1000 * kMs, e.seq, e.attempt, false, false, 2});
        if (e.what != 1)
          policy_->attempt_ended(now, e.seq, e.attempt,
                                 e.turned_away ? Outcome::full
                                 : e.reads     ? Outcome::prefill_done
                                               : Outcome::generated,
                                 60 * kMs, e.what == 2, 0, {});
      }
    }
    void send(int seq, int worker, AttemptLimits) override {
      of_.got_[static_cast<std::size_t>(worker)].push_back(of_.now_);
      const int attempt = attempts_[static_cast<std::size_t>(seq)]++;
      const bool reads = worker < kOfRole;
      const bool away = std::bernoulli_distribution(of_.day_.failing)(of_.chance_);
      events_.push_back({of_.now_ + 60 * kMs, seq, attempt, reads, away, reads || away ? 0 : 1});
    }
    void release(int) override {}
    void cancel(int, int) override {}
    void reject(int, Nanos) override { ++of_.rejected_; }
    void abort(int) override { ++of_.rejected_; }
    void subscribe() override {}
    void request_wakeup(Nanos) override {}
    void forget_request(int seq) override { free_.push_back(seq); }
    void forget_worker(int) override {}

   private:
    Fleet& of_;
    std::unique_ptr<Policy> policy_;
    std::vector<int> attempts_;
    std::vector<int> free_;
    std::deque<Event> events_;
  };

  // Over every span of the settings' length: budget and what came, by one pass.
  double room(int worker) const {
    const auto& got = got_[static_cast<std::size_t>(worker)];
    const double warm = rate_ / (0.6 * kOfRole);  // what it does a second when warm
    double least = 1e9;
    for (Nanos end = 10'000 * kMs; end <= 22'000 * kMs; end += 50 * kMs) {
      const Nanos begin = std::max<Nanos>(10'000 * kMs, end - deployment_.overload_window);
      double allowed = 0;
      for (Nanos t = end - deployment_.overload_window; t < end; t += 50 * kMs) {
        const double climbed = std::clamp(static_cast<double>(t - 10'000 * kMs) / 12e9, 0.0, 1.0);
        allowed += deployment_.overload_factor * (0.25 + 0.75 * climbed * climbed) * warm * 0.05;
      }
      const auto came = std::ranges::count_if(got, [&](Nanos at) { return at >= begin && at < end; });
      least = std::min(least, allowed + 2 * std::sqrt(allowed) + 2 - static_cast<double>(came));
    }
    return least;
  }

  Day day_;
  std::mt19937 chance_;
  std::mt19937_64 seeds_;  // a router's is 64 bits of chance, as the platform hands it
  PolicySettings deployment_;
  Nanos now_{};
  double rate_{};
  long came_{};
  long rejected_{};
  std::vector<std::vector<Nanos>> got_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::vector<double> weight_;
};

const std::vector<Day> kDays{
    {"one reader and one writer cold", {3, 13}},
    {"the same under a burst", {3, 13}, 3},
    {"traffic uneven", {3, 13}, 1.5, 8},
    {"several cold at once", {0, 1, 2, 3, 4, 10, 11, 12, 13, 14}, 1.5, 4},
    {"all readers cold", {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 1.5},
    {"all writers cold", {10, 11, 12, 13, 14, 15, 16, 17, 18, 19}, 1.5},
    {"a fifth of what is sent is turned away and comes again", {3, 13}, 1.5, 1, 0.2},
};

}  // namespace

TEST_CASE("a cold worker stands what all routers send it, however many they are") {
  for (const Day& day : kDays)
    for (const int routers : {1, 3, 30, 300})
      for (const unsigned seed : {1u, 2u}) {
        CAPTURE(std::string(day.what));
        CAPTURE(routers);
        CAPTURE(seed);
        Fleet fleet(routers, day, seed);
        const double room = fleet.least_room(60);
        CAPTURE(fleet.rejected_share());
        CHECK(room >= 0);
        // What the caution costs: nothing while others of the role are warm, and never most of the work.
        CHECK(fleet.rejected_share() < (day.cold.size() < kOfRole ? 0.02 : 0.5));
      }
}

}  // namespace cressrill::testing
