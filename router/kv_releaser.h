// Owns what is held for requests at workers: keeps each request's KvHold, begins a release when that says so, tells workers
// until one has confirmed it, and gathers the evidence that ends the matter.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/counters.h"
#include "core/invariants.h"
#include "fleet.h"
#include "kv_hold.h"
#include "protocol.h"
#include "release_plan.h"
#include "trace_writer.h"

namespace cressrill::router {

// What is held for one request, and what is needed to release it after the request itself is over.
struct HeldRequest {
  HeldRequest(io::Loop& loop, io::Nanos limit) : hold(limit), changed(loop), settled(loop) {}
  std::string id;
  std::unique_ptr<Talk> talk;
  KvHold hold;
  RequestTrace trace;
  std::vector<HoldWorker> prefilled_at;  // told of a release whatever the list says of them
  io::Nanos due_at{kNever};              // when it is looked at next
  io::Nanos asked_at{};                  // when its latest release began
  int releases_confirmed{};
  bool releasing{};    // a task of the releaser has it
  bool violated{};     // was counted as held too long
  io::Signal changed;  // for that task,
  io::Signal settled;  // and for an attempt that a release comes before
};

class KvReleaser {
 public:
  // released: a worker has confirmed that nothing is held any more for a request that is not over.
  KvReleaser(io::Loop& loop, Fleet& fleet, core::Log& log, core::Counters& counters,
             core::Invariants& invariants, TraceWriter& traces, io::Nanos limit,
             std::function<void(HeldRequest&)> released);

  // An event of that request, or of one of its attempts, at this moment.
  void note(const std::shared_ptr<HeldRequest>& request, HoldEvent event);
  void note_attempt(const std::shared_ptr<HeldRequest>& request, HoldEvent event, int attempt, int worker,
                    io::Nanos runs_for);
  // Waits a moment for a release that is to come before a further prefill.
  io::Task<> release_first(std::shared_ptr<HeldRequest> request);
  // Begins what has become due. To be called some times within each limit while requests are in hand.
  void look();
  // Whether this process still owes a release: nobody else will see to it, should it end before.
  bool owes() const;
  // The process ends soon: releases that go on until more is known follow each other closely, and are not owed for long.
  void hurry();

  // Where each prefill's KV cache is released at its own worker: tells that one, some times.
  void release_at(int worker, std::string text);
  // Whether such a call is under way.
  bool telling() const { return !calls_.empty(); }
  void cancel() {
    tasks_.cancel();
    calls_.cancel();
  }

 private:
  static constexpr int kNone = -1;  // no attempt, no worker
  void noted(const std::shared_ptr<HeldRequest>& request, HoldEvent event, HoldState before, bool possible,
             int attempt = kNone, int worker = kNone);
  void watch(const std::shared_ptr<HeldRequest>& request);
  void look_at(const std::shared_ptr<HeldRequest>& request);
  void begin(const std::shared_ptr<HeldRequest>& request);
  void check_held(HeldRequest& request);
  io::Task<> release(std::shared_ptr<HeldRequest> request);
  io::Nanos next_release_at(const HeldRequest& request) const;
  void confirmed(const std::shared_ptr<HeldRequest>& request, io::Nanos written, bool ordered);
  // When the release that a worker confirmed had been written; none where none did.
  io::Task<std::optional<io::Nanos>> tell_until_confirmed(HeldRequest& request);
  io::Task<> tell(HeldRequest& request, int worker, bool on_new_connection,
                  std::optional<io::Nanos>& confirmed);
  std::vector<ReleaseCandidate> candidates(const HeldRequest& request) const;
  const Link* find(const HoldWorker& worker) const;
  void gather_evidence(HeldRequest& request);
  io::Task<> tell_at(std::shared_ptr<http::Pool> pool, std::string text);

  io::Loop& loop_;
  Fleet& fleet_;
  core::Log& log_;
  core::Counters& counters_;
  core::Invariants& invariants_;
  TraceWriter& traces_;
  const io::Nanos limit_;
  std::function<void(HeldRequest&)> released_;
  struct Due {
    io::Nanos at{};
    std::weak_ptr<HeldRequest> request;
  };
  struct Later {
    bool operator()(const Due& a, const Due& b) const { return a.at > b.at; }
  };
  std::priority_queue<Due, std::vector<Due>, Later> due_;  // the earliest first
  std::vector<std::shared_ptr<HeldRequest>> releases_;     // those that a task has
  io::Nanos hurries_until_{kNever};
  io::Scope tasks_;
  io::Scope calls_;  // of release_at()
};

}  // namespace cressrill::router
