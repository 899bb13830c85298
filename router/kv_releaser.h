// Owns the leases on the KV cache of requests. Starts a release when a lease requires one, sends it to
// workers until one of them confirms it, and collects the evidence that nothing is held any more. Only that
// evidence ends a lease, even if its request has ended long before.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/invariants.h"
#include "fleet.h"
#include "kv_lease.h"
#include "release_plan.h"
#include "trace_writer.h"

namespace cressrill::router {

class KvReleaser {
 public:
  // on_released is called when a worker has confirmed a release that the policy did not order, of a request
  // that is not over, and a further decode attempt would find no KV cache.
  KvReleaser(io::Loop& loop, Fleet& fleet, core::Log& log, core::Counters& counters,
             core::Invariants& invariants, TraceWriter& trace_writer, io::Nanos hold_limit,
             std::function<void(const KvLease&)> on_released);

  // Creates the lease of a new request. It is not registered until its first prefill is written.
  std::shared_ptr<KvLease> open_lease(std::string request_id, std::unique_ptr<Exchange> exchange) const {
    return std::make_shared<KvLease>(loop_, hold_limit_, std::move(request_id), std::move(exchange));
  }
  // Records an event of the request, or of one of its attempts, that happens now. assumed_run_time: for how
  // long a prefill whose end is not known is assumed to run.
  void record(const std::shared_ptr<KvLease>& lease, HoldEvent event);
  void record_attempt(const std::shared_ptr<KvLease>& lease, HoldEvent event, int attempt, int worker,
                      io::Nanos assumed_run_time);
  // The request has its final response, or its client has left, and no further attempt will follow. May be
  // called repeatedly.
  void request_over(const std::shared_ptr<KvLease>& lease);
  // The request has been destroyed, so that none of its attempts will report its end.
  void request_gone(const std::shared_ptr<KvLease>& lease);
  // Suspends for a short, bounded time until a release that has to precede a further prefill is confirmed.
  io::Task<> await_release_before_prefill(std::shared_ptr<KvLease> lease);
  // Whether a release is pending that may still reach a worker. No other process would complete it.
  bool has_pending_release() const;
  // Called as the process is about to exit: shortens the pauses between repeated releases and bounds the time
  // for which they are pending.
  void expedite();

  // For protocols that release each prefill's KV cache at its own worker: sends the release request there,
  // with a few retries.
  void release_at(int worker, std::string release_request);
  // Whether a call of release_at() is in progress.
  bool has_open_calls() const { return !direct_calls_.empty(); }
  // Cancels all releases and ignores the end of requests from then on.
  void cancel();

 private:
  static constexpr int kNone = -1;  // no attempt or no worker
  void process_event(const std::shared_ptr<KvLease>& lease, HoldEvent event, HoldState before, bool possible,
                     int attempt = kNone, int worker = kNone);
  void register_lease(const std::shared_ptr<KvLease>& lease);
  void unregister_if_released(const std::shared_ptr<KvLease>& lease);
  void schedule_check(const std::shared_ptr<KvLease>& lease, io::Nanos not_before = 0);
  io::Task<> run_scheduled_checks();
  void check_lease(const std::shared_ptr<KvLease>& lease);
  void start_release(const std::shared_ptr<KvLease>& lease);
  void check_hold_limit(KvLease& lease);
  io::Task<> run_release(std::shared_ptr<KvLease> lease);
  io::Task<> release_until_proved(const std::shared_ptr<KvLease>& lease);
  bool expedited() const { return expedited_until_ != kNever; }
  io::Nanos delay_after(int calls) const;
  io::Nanos next_release_at(const KvLease& lease) const;
  void handle_confirmation(const std::shared_ptr<KvLease>& lease, io::Nanos written_at,
                           bool wanted_by_policy);
  // Returns the time at which the confirmed release was written, or nothing if no worker confirmed one.
  io::Task<std::optional<io::Nanos>> call_until_confirmed(KvLease& lease);
  // The calls made for one release; those that got no connection are not counted.
  struct ReleaseCalls {
    std::unordered_map<int, int> per_worker;  // by worker index
    int total{};
  };
  io::Task<> call_worker(KvLease& lease, int worker, bool on_new_connection, ReleaseCalls& calls_made,
                         std::optional<io::Nanos>& confirmed_written_at);
  std::vector<ReleaseCandidate> release_candidates(const KvLease& lease) const;
  const WorkerEntry* find_worker(const WorkerRef& worker) const;
  void collect_evidence(KvLease& lease);
  io::Task<> call_with_retries(std::shared_ptr<http::Pool> pool, std::string release_request);

  io::Loop& loop_;
  Fleet& fleet_;
  core::Log& log_;
  core::Counters& counters_;
  core::Invariants& invariants_;
  TraceWriter& trace_writer_;
  const io::Nanos hold_limit_;
  std::function<void(const KvLease&)> on_released_;
  struct ScheduledCheck {
    io::Nanos due_at{};
    std::weak_ptr<KvLease> lease;
  };
  struct LaterCheck {
    bool operator()(const ScheduledCheck& left, const ScheduledCheck& right) const {
      return left.due_at > right.due_at;
    }
  };
  std::priority_queue<ScheduledCheck, std::vector<ScheduledCheck>, LaterCheck> scheduled_checks_;
  io::Signal earlier_check_added_;
  std::vector<std::shared_ptr<KvLease>> leases_;  // those that may cover KV cache or have a release running
  io::Nanos expedited_until_{kNever};
  bool cancelled_{};
  io::Scope check_task_;  // an exception in it ends the process, as nothing is released without it
  io::Scope release_tasks_;
  io::Scope direct_calls_;  // calls of release_at()
};

}  // namespace cressrill::router
