// Owns the leases on the KV cache of requests: begins a release when a lease says that one is due, tells workers until one has
// confirmed it, and gathers the evidence that ends the lease. A lease ends by that evidence alone, whatever becomes of its
// request.
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
  // released: a worker has confirmed that nothing is held any more for a request that is not over.
  KvReleaser(io::Loop& loop, Fleet& fleet, core::Log& log, core::Counters& counters,
             core::Invariants& invariants, TraceWriter& traces, io::Nanos limit,
             std::function<void(const KvLease&)> released);

  // For a request that is taken. Costs nothing until its first prefill is written.
  std::shared_ptr<KvLease> open_lease(std::string request_id, std::unique_ptr<Exchange> talk) const {
    return std::make_shared<KvLease>(loop_, limit_, std::move(request_id), std::move(talk));
  }
  // An event of that request, or of one of its attempts, at this moment.
  void note(const std::shared_ptr<KvLease>& lease, HoldEvent event);
  void note_attempt(const std::shared_ptr<KvLease>& lease, HoldEvent event, int attempt, int worker,
                    io::Nanos runs_for);
  // The request has its final answer, or its client has left, and no attempt will follow. May be said more than once.
  void request_over(const std::shared_ptr<KvLease>& lease);
  // Nobody refers to the request any more, so that no attempt of it will report its end.
  void request_gone(const std::shared_ptr<KvLease>& lease);
  // Waits a moment for a release that is to come before a further prefill.
  io::Task<> release_first(std::shared_ptr<KvLease> lease);
  // Whether this process still owes a release that may reach a worker: nobody else will see to it, should it end before.
  bool owes_release() const;
  // The process ends soon: releases that go on until more is known follow each other closely, and are not owed for long.
  void expedite();

  // Where each prefill's KV cache is released at its own worker: tells that one, some times.
  void release_at(int worker, std::string text);
  // Whether such a call is under way.
  bool has_open_calls() const { return !calls_.empty(); }
  // Leases of requests that are still reported end with this; nothing more is released.
  void cancel();

 private:
  static constexpr int kNone = -1;  // no attempt, no worker
  void noted(const std::shared_ptr<KvLease>& lease, HoldEvent event, HoldState before, bool possible,
             int attempt = kNone, int worker = kNone);
  void keep(const std::shared_ptr<KvLease>& lease);
  void drop_if_free(const std::shared_ptr<KvLease>& lease);
  void watch(const std::shared_ptr<KvLease>& lease, io::Nanos not_before = 0);
  io::Task<> watch_due();
  void look_at(const std::shared_ptr<KvLease>& lease);
  void begin(const std::shared_ptr<KvLease>& lease);
  void check_held(KvLease& lease);
  io::Task<> release(std::shared_ptr<KvLease> lease);
  io::Task<> release_until_free(const std::shared_ptr<KvLease>& lease);
  bool hurries() const { return hurries_until_ != kNever; }
  io::Nanos pause_after(int calls) const;
  io::Nanos next_release_at(const KvLease& lease) const;
  void confirmed(const std::shared_ptr<KvLease>& lease, io::Nanos written, bool ordered);
  // When the release that a worker confirmed had been written; none where none did.
  io::Task<std::optional<io::Nanos>> tell_until_confirmed(KvLease& lease);
  // The calls of one release that had a connection.
  struct ReleaseCalls {
    std::unordered_map<int, int> told;  // how often each worker was
    int count{};
  };
  io::Task<> tell(KvLease& lease, int worker, bool on_new_connection, ReleaseCalls& made,
                  std::optional<io::Nanos>& confirmed);
  std::vector<ReleaseCandidate> candidates(const KvLease& lease) const;
  const WorkerEntry* find(const WorkerRef& worker) const;
  void gather_evidence(KvLease& lease);
  io::Task<> tell_at(std::shared_ptr<http::Pool> pool, std::string text);

  io::Loop& loop_;
  Fleet& fleet_;
  core::Log& log_;
  core::Counters& counters_;
  core::Invariants& invariants_;
  TraceWriter& traces_;
  const io::Nanos limit_;
  std::function<void(const KvLease&)> released_;
  struct Due {
    io::Nanos at{};
    std::weak_ptr<KvLease> lease;
  };
  struct Later {
    bool operator()(const Due& a, const Due& b) const { return a.at > b.at; }
  };
  std::priority_queue<Due, std::vector<Due>, Later> due_;  // the earliest first
  io::Signal earlier_due_;
  std::vector<std::shared_ptr<KvLease>> leases_;  // those that may cover something, or that a task has
  io::Nanos hurries_until_{kNever};
  bool cancelled_{};
  io::Scope clock_;  // nothing is released without it
  io::Scope tasks_;
  io::Scope calls_;  // of release_at()
};

}  // namespace cressrill::router
