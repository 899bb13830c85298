// Plays inputs to a router and prints them with its decisions, to be compared with tests/traces/NAME.txt.
// CRESSRILL_TRACES=write writes those files anew; read the difference before committing it.
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

// Two readers (workers 0 and 1) and two writers (2 and 3), one zone, nothing reported unless a test says so.
inline PolicySettings small_deployment() {
  PolicySettings d;
  d.types.push_back({Effect::repeatable, Group::all, 0, 1500 * kMs, 40 * kMs, 1});
  d.kinds = {{Role::prefill, 200'000}, {Role::decode, 100'000}};
  d.routers = 1;
  d.tick = 2 * kMs;
  d.max_attempts = 6;
  d.can_cancel = d.allow_parallel_attempts = true;
  d.max_retry_after = 500 * kMs;
  d.kv_hold_limit = 500 * kMs;
  d.cold_start_capacity = 0.25;
  d.ramp_time = 10'000 * kMs;
  d.overload_factor = 2.5;
  d.overload_window = 1'500 * kMs;
  return d;
}

class Trace final : public Actions {
 public:
  explicit Trace(std::string name, const PolicySettings& d = small_deployment(), int readers = 2,
                 int writers = 2)
      : name_(std::move(name)), policy_(make_policy(d, 7, 0, *this)) {
    policy_->list_begins(0, true);
    for (int w = 0; w < readers + writers; ++w)
      policy_->worker_listed(w, static_cast<std::uint64_t>(w), WorkerStatus::ready, 0, w < readers ? 0 : 1,
                             d.zone, 0);
    policy_->list_ends();
  }
  ~Trace() override {
    const std::string path = std::string(TRACE_DIR) + "/" + name_ + ".txt";
    const char* mode = std::getenv("CRESSRILL_TRACES");
    if (mode != nullptr && std::string(mode) == "write") std::ofstream(path) << text_.str();
    std::ostringstream kept;
    kept << std::ifstream(path).rdbuf();
    CHECK_MESSAGE(text_.str() == kept.str(), name_ << " now reads:\n" << text_.str());
  }

  // Lets time pass; wakes come every 10 ms, as the router asks for them.
  void until(int ms) {
    while (now_ + 10 * kMs <= ms * kMs) {
      now_ += 10 * kMs;
      policy_->on_wakeup(now_);
    }
    now_ = ms * kMs;
  }
  void came(int seq, std::uint64_t session, double prompt, int abandon_in_ms = 6000,
            std::uint64_t beginning = 0, double beginning_tokens = 0, int type = 0, int tenant = 0) {
    line() << "sequence " << seq << " came: " << prompt << " tokens, session " << session << '\n';
    policy_->request_arrived(now_, seq, type, tenant, session, beginning, prompt, beginning_tokens, 200,
                             now_ + abandon_in_ms * kMs);
  }
  void ended(int seq, int attempt, Outcome outcome, double kept = 0, double memory_share = -1,
             double sequences = -1) {
    static const char* const words[] = {"generated", "read",      "error",          "full",
                                        "no state",  "timed out", "connect failed", "connection lost",
                                        "cancelled", "not sent"};
    line() << "attempt " << seq << "." << attempt << " ended: " << words[static_cast<int>(outcome)] << '\n';
    LoadReport report;
    report.received = memory_share >= 0 || sequences >= 0;
    report.memory_share = memory_share;
    report.requests = sequences;
    policy_->attempt_ended(now_, seq, attempt, outcome, now_ - sent_at_, outcome == Outcome::generated, kept,
                           report);
  }
  void began(int seq, int attempt) {
    line() << "stream " << seq << "." << attempt << " began\n";
    policy_->stream_started(now_, seq, attempt, 50 * kMs);
  }
  void left(int seq) {
    line() << "client of " << seq << " left\n";
    policy_->client_left(now_, seq);
  }
  void listed(int worker, WorkerStatus standing, int kind, Nanos started = 0, int cell = 0, int zone = 0) {
    static const char* const words[] = {"gone", "ready", "draining"};
    line() << "worker " << worker << " listed " << words[static_cast<int>(standing)]
           << (started > 0 ? ", just started" : "") << '\n';
    policy_->list_begins(now_, false);
    policy_->worker_listed(worker, static_cast<std::uint64_t>(worker), standing, started, kind, zone, cell);
    policy_->list_ends();
  }
  // A sequence that comes and is read, so that its writer is chosen.
  void read(int seq, std::uint64_t session, double prompt, int ms, double kept = 0) {
    came(seq, session, prompt);
    until(now_ms() + ms);
    ended(seq, 0, Outcome::prefill_done, kept);
  }
  // One sequence from first to last, in 150 ms, over whichever workers are chosen.
  void whole(int seq, std::uint64_t session, double prompt, double kept = 0) {
    read(seq, session, prompt, 100, kept);
    until(now_ms() + 50);
    began(seq, 1);
    ended(seq, 1, Outcome::generated);
  }
  int now_ms() const { return static_cast<int>(now_ / kMs); }

  void send(int seq, int worker, AttemptLimits limits) override {
    sent_at_ = now_;
    line() << "  send " << seq << " to " << worker << ", time-out " << limits.timeout / kMs << " ms";
    if (limits.write_deadline != kNever) text_ << ", begun by " << limits.write_deadline / kMs << " ms";
    text_ << "\n";
  }
  void release(int seq) override { line() << "  let go of " << seq << '\n'; }
  void cancel(int seq, int attempt) override { line() << "  cancel " << seq << "." << attempt << '\n'; }
  void reject(int seq, Nanos after) override {
    line() << "  reject " << seq << (after > 0 ? ", come back later" : "") << '\n';
  }
  void abort(int seq) override { line() << "  abort " << seq << '\n'; }
  void subscribe() override { line() << "  subscribe\n"; }
  void request_wakeup(Nanos) override {}
  void forget_request(int seq) override { line() << "  forget " << seq << '\n'; }
  void forget_worker(int worker) override { line() << "  forget worker " << worker << '\n'; }

 private:
  std::ostream& line() { return text_ << now_ / kMs << " ms: "; }
  std::string name_;
  std::ostringstream text_;
  Nanos now_ = 0;
  Nanos sent_at_ = 0;
  std::unique_ptr<Policy> policy_;
};

}  // namespace cressrill::testing
