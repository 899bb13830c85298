// Feeds inputs to a routing policy and compares the trace of inputs and decisions with tests/traces/NAME.txt.
// CRESSRILL_TRACES=write rewrites those files; review the difference before committing it.
#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

#include "policy.h"

namespace cressrill::testing {

constexpr Nanos kMs = 1'000'000;

// By default a Trace has two prefill workers (0 and 1) and two decode workers (2 and 3) in one zone, which
// report no load unless a test does so.
inline PolicySettings small_settings() {
  PolicySettings settings;
  settings.types.push_back({Effect::repeatable, Group::all, 0, 1500 * kMs, 40 * kMs, 1});
  settings.kinds = {{Role::prefill, 200'000}, {Role::decode, 100'000}};
  settings.routers = 1;
  settings.time_granularity = 2 * kMs;
  settings.max_attempts = 6;
  settings.can_cancel = true;
  settings.allow_parallel_attempts = true;
  settings.max_retry_after = 500 * kMs;
  settings.kv_hold_limit = 500 * kMs;
  settings.cold_start_capacity = 0.25;
  settings.ramp_time = 10'000 * kMs;
  settings.overload_factor = 2.5;
  settings.overload_window = 1'500 * kMs;
  return settings;
}

// A policy with simulated workers, and the text of what went into it and came out of it. The destructor
// compares the text with the file.
class Trace final : public Actions {
 public:
  explicit Trace(std::string name, const PolicySettings& settings = small_settings(), int prefill_workers = 2,
                 int decode_workers = 2)
      : name_(std::move(name)), policy_(make_policy(settings, 7, 0, *this)) {
    policy_->list_begins(0, true);
    for (int worker = 0; worker < prefill_workers + decode_workers; ++worker)
      policy_->worker_listed(worker, static_cast<std::uint64_t>(worker), WorkerStatus::ready, 0,
                             worker < prefill_workers ? 0 : 1, settings.zone, 0);
    policy_->list_ends();
  }
  ~Trace() override {
    const std::string path = std::string(TRACE_DIR) + "/" + name_ + ".txt";
    const char* mode = std::getenv("CRESSRILL_TRACES");
    if (mode != nullptr && std::string(mode) == "write") std::ofstream(path) << text_.str();
    std::ostringstream expected;
    expected << std::ifstream(path).rdbuf();
    CHECK_MESSAGE(text_.str() == expected.str(), name_ << " now reads:\n" << text_.str());
  }

  // Lets time pass, with a wakeup every 10 ms, as the policy requests.
  void advance_to(int time_ms) {
    while (now_ + 10 * kMs <= time_ms * kMs) {
      now_ += 10 * kMs;
      policy_->on_wakeup(now_);
    }
    now_ = time_ms * kMs;
  }
  void arrive(int request, std::uint64_t session, double prompt_tokens, int ms_to_deadline = 6000,
              std::uint64_t prefix_hash = 0, double prefix_tokens = 0, int type = 0, int tenant = 0) {
    line() << "sequence " << request << " came: " << prompt_tokens << " tokens, session " << session << '\n';
    policy_->request_arrived(now_, request, type, tenant, session, prefix_hash, prompt_tokens, prefix_tokens,
                             200, now_ + ms_to_deadline * kMs);
  }
  void end_attempt(int request, int attempt, Outcome outcome, double cached_tokens = 0,
                   double memory_share = -1, double requests = -1) {
    static const char* const names[] = {"generated", "read",      "error",          "full",
                                        "no state",  "timed out", "connect failed", "connection lost",
                                        "cancelled", "not sent"};
    line() << "attempt " << request << "." << attempt << " ended: " << names[static_cast<int>(outcome)]
           << '\n';
    LoadReport report;
    report.received = memory_share >= 0 || requests >= 0;
    report.memory_share = memory_share;
    report.requests = requests;
    policy_->attempt_ended(now_, request, attempt, outcome, now_ - last_sent_at_,
                           outcome == Outcome::generated, cached_tokens, report);
  }
  void start_stream(int request, int attempt) {
    line() << "stream " << request << "." << attempt << " began\n";
    policy_->stream_started(now_, request, attempt, 50 * kMs);
  }
  void leave(int request) {
    line() << "client of " << request << " left\n";
    policy_->client_left(now_, request);
  }
  void list_worker(int worker, WorkerStatus status, int kind, Nanos started_at = 0, int cell = 0,
                   int zone = 0) {
    static const char* const names[] = {"gone", "ready", "draining"};
    line() << "worker " << worker << " listed " << names[static_cast<int>(status)]
           << (started_at > 0 ? ", just started" : "") << '\n';
    policy_->list_begins(now_, false);
    policy_->worker_listed(worker, static_cast<std::uint64_t>(worker), status, started_at, kind, zone, cell);
    policy_->list_ends();
  }
  // A request arrives and its prefill ends after that time, so that its decode worker is chosen.
  void prefill(int request, std::uint64_t session, double prompt_tokens, int prefill_ms,
               double cached_tokens = 0) {
    arrive(request, session, prompt_tokens);
    advance_to(now_ms() + prefill_ms);
    end_attempt(request, 0, Outcome::prefill_done, cached_tokens);
  }
  // Serves a request completely, in 150 ms, at whichever workers the policy chooses.
  void serve(int request, std::uint64_t session, double prompt_tokens, double cached_tokens = 0) {
    prefill(request, session, prompt_tokens, 100, cached_tokens);
    advance_to(now_ms() + 50);
    start_stream(request, 1);
    end_attempt(request, 1, Outcome::generated);
  }
  int now_ms() const { return static_cast<int>(now_ / kMs); }

  void send(int request, int worker, AttemptLimits limits) override {
    last_sent_at_ = now_;
    line() << "  send " << request << " to " << worker << ", time-out " << limits.timeout / kMs << " ms";
    if (limits.write_deadline != kNever) text_ << ", begun by " << limits.write_deadline / kMs << " ms";
    text_ << "\n";
  }
  void release(int request) override { line() << "  let go of " << request << '\n'; }
  void cancel(int request, int attempt) override {
    line() << "  cancel " << request << "." << attempt << '\n';
  }
  void reject(int request, Nanos retry_after) override {
    line() << "  reject " << request << (retry_after > 0 ? ", come back later" : "") << '\n';
  }
  void abort(int request) override { line() << "  abort " << request << '\n'; }
  void subscribe() override { line() << "  subscribe\n"; }
  void request_wakeup(Nanos) override {}
  void forget_request(int request) override { line() << "  forget " << request << '\n'; }
  void forget_worker(int worker) override { line() << "  forget worker " << worker << '\n'; }

 private:
  // Begins a line with the time.
  std::ostream& line() { return text_ << now_ / kMs << " ms: "; }
  std::string name_;
  std::ostringstream text_;
  Nanos now_ = 0;
  Nanos last_sent_at_ = 0;
  std::unique_ptr<Policy> policy_;
};

}  // namespace cressrill::testing
