#include "kv_releaser.h"

#include <algorithm>

namespace cressrill::router {

namespace {

constexpr io::Nanos kHoldLimitSlack = 300 * io::kMs;  // overrun of the hold limit that the invariant allows

// While the process is exiting: the pause between repeated releases, and for how long they are pending at
// most. SIGKILL may come 3.7 s after SIGTERM.
constexpr io::Nanos kExpeditedPause = 100 * io::kMs;
constexpr io::Nanos kExpeditedDuration = 3 * io::kSecond;

// After this many confirmed releases of a request, further ones are sent to the workers of its lost attempts,
// as their responses are evidence about these attempts. Most workers respond to calls of other requests
// before that.
constexpr int kReleasesBeforeProof = 3;

}  // namespace

KvReleaser::KvReleaser(io::Loop& loop, Fleet& fleet, core::Log& log, core::Counters& counters,
                       core::Invariants& invariants, TraceWriter& trace_writer, io::Nanos hold_limit,
                       std::function<void(const KvLease&)> on_released)
    : loop_(loop),
      fleet_(fleet),
      log_(log),
      counters_(counters),
      invariants_(invariants),
      trace_writer_(trace_writer),
      hold_limit_(hold_limit),
      on_released_(std::move(on_released)),
      earlier_check_added_(loop),
      check_task_(loop, io::Scope::OnException::end_process),
      release_tasks_(loop),
      direct_calls_(loop) {
  check_task_.spawn(run_scheduled_checks());
}

void KvReleaser::record(const std::shared_ptr<KvLease>& lease, HoldEvent event) {
  const HoldState before = lease->hold.state();
  const bool possible = lease->hold.record(event, loop_.now());
  process_event(lease, event, before, possible);
}

void KvReleaser::record_attempt(const std::shared_ptr<KvLease>& lease, HoldEvent event, int attempt,
                                int worker, io::Nanos assumed_run_time) {
  const HoldState before = lease->hold.state();
  const WorkerRef worker_ref{worker, fleet_.at(worker).identity};
  if (event == HoldEvent::prefill_written) lease->prefilled_at.push_back(worker_ref);
  const bool possible = lease->hold.record_attempt(event, loop_.now(), attempt, worker_ref, assumed_run_time);
  process_event(lease, event, before, possible, attempt, worker);
}

// Adds an event to the trace, logs an impossible one, and starts or schedules the release that it requires.
void KvReleaser::process_event(const std::shared_ptr<KvLease>& lease, HoldEvent event, HoldState before,
                               bool possible, int attempt, int worker) {
  const KvHold& hold = lease->hold;
  lease->trace.add({.at = loop_.now(),
                    .step = TraceStep::kv_event,
                    .kv = hold.state(),
                    .attempt = static_cast<std::int16_t>(attempt),
                    .worker = worker,
                    .detail = to_string(event)});
  invariants_.check(core::Invariant::kv_transition, possible, lease->id);
  if (!possible) {
    log_.error("transition not allowed",
               {{"request", lease->id}, {"state", to_string(before)}, {"event", to_string(event)}});
    trace_writer_.write_unthrottled(lease->id, lease->trace, "transition not allowed");
  }
  if (hold.needs_release()) register_lease(lease);
  invariants_.check(core::Invariant::kv_has_owner,
                    !hold.needs_release() || lease->index != KvLease::kNotRegistered, lease->id);
  if (!hold.must_release_before_prefill()) lease->prefill_unblocked.notify();
  if (lease->release_running) return lease->changed.notify();
  if ((hold.request_over() && hold.needs_release()) || hold.release_due() <= loop_.now())
    return start_release(lease);
  if (hold.needs_release()) return schedule_check(lease);
  unregister_if_released(lease);
}

io::Task<> KvReleaser::await_release_before_prefill(std::shared_ptr<KvLease> lease) {
  const io::Nanos give_up_at = loop_.now() + delay_before_next_call(hold_limit_, 0);
  while (lease->hold.must_release_before_prefill() && loop_.now() < give_up_at)
    co_await io::wait_until(loop_, lease->prefill_unblocked, give_up_at);
}

void KvReleaser::request_over(const std::shared_ptr<KvLease>& lease) {
  if (lease->hold.request_over()) return;
  lease->request_over_at = loop_.now();
  record(lease, HoldEvent::request_over);
}

void KvReleaser::request_gone(const std::shared_ptr<KvLease>& lease) {
  if (!cancelled_ && lease->hold.needs_release()) record(lease, HoldEvent::request_gone);
}

void KvLeaseHandle::request_over() { releaser_.request_over(lease_); }

KvLeaseHandle::~KvLeaseHandle() { releaser_.request_gone(lease_); }

// Leases.

void KvReleaser::register_lease(const std::shared_ptr<KvLease>& lease) {
  if (lease->index != KvLease::kNotRegistered) return;
  leases_.push_back(lease);
  lease->index = leases_.size() - 1;
}

void KvReleaser::unregister_if_released(const std::shared_ptr<KvLease>& lease) {
  if (lease->index == KvLease::kNotRegistered || lease->hold.needs_release() || lease->release_running)
    return;
  leases_.back()->index = lease->index;
  std::swap(leases_[lease->index], leases_.back());
  lease->index = KvLease::kNotRegistered;
  leases_.pop_back();
}

void KvReleaser::schedule_check(const std::shared_ptr<KvLease>& lease, io::Nanos not_before) {
  const io::Nanos due = std::max(lease->hold.release_due(), not_before);
  if (due >= lease->check_at) return;  // no release will be due, or an earlier check is scheduled
  const bool earliest = scheduled_checks_.empty() || due < scheduled_checks_.top().due_at;
  scheduled_checks_.push({due, lease});
  lease->check_at = due;
  if (earliest) earlier_check_added_.notify();
}

io::Task<> KvReleaser::run_scheduled_checks() {
  for (;;) {
    while (scheduled_checks_.empty()) co_await earlier_check_added_.wait();
    const io::Nanos due_at = scheduled_checks_.top().due_at;
    if (loop_.now() < due_at) {
      co_await io::wait_until(loop_, earlier_check_added_, due_at);
      continue;
    }
    const std::shared_ptr<KvLease> lease = scheduled_checks_.top().lease.lock();
    scheduled_checks_.pop();
    if (!lease || lease->check_at != due_at) continue;  // superseded by an earlier check
    lease->check_at = kNever;
    if (!lease->release_running) check_lease(lease);
  }
}

void KvReleaser::check_lease(const std::shared_ptr<KvLease>& lease) {
  collect_evidence(*lease);
  const KvHold& hold = lease->hold;
  if (!hold.needs_release()) return unregister_if_released(lease);
  if (hold.release_due() > loop_.now()) return schedule_check(lease);
  if (hold.state() == HoldState::held)
    trace_writer_.write(lease->id, lease->trace, "held for most of its limit");
  start_release(lease);
}

void KvReleaser::start_release(const std::shared_ptr<KvLease>& lease) {
  release_tasks_.spawn(run_release(lease));
  lease->release_running = true;
}

// If no call is open any more, every call has failed immediately, so no worker is reachable, and the release
// is pending no longer than the hold limit. A request that ends late still gets enough time for one call.
bool KvReleaser::has_pending_release() const {
  return std::ranges::any_of(leases_, [&](const auto& lease) {
    if (!lease->hold.needs_release()) return false;
    const bool has_time_left = !expedited() || loop_.now() < expedited_until_ ||
                               loop_.now() < lease->request_over_at + release_call_timeout(hold_limit_);
    const bool may_reach_worker = loop_.now() < lease->hold.limit_ends() || lease->open_calls > 0;
    return has_time_left && may_reach_worker;
  });
}

void KvReleaser::expedite() {
  if (!expedited()) expedited_until_ = loop_.now() + kExpeditedDuration;
  for (const auto& lease : leases_) lease->changed.notify();
}

void KvReleaser::cancel() {
  cancelled_ = true;
  check_task_.cancel();
  release_tasks_.cancel();
  direct_calls_.cancel();
}

// Evidence.

const WorkerEntry* KvReleaser::find_worker(const WorkerRef& worker) const {
  const WorkerEntry* entry = fleet_.find(worker.index);
  return entry != nullptr && entry->identity == worker.identity ? entry : nullptr;
}

// Applies what calls of any request have shown about the workers of this request's lost attempts.
void KvReleaser::collect_evidence(KvLease& lease) {
  std::vector<WorkerRef> unresolved;
  lease.hold.for_each_unresolved_worker([&](const WorkerRef& worker) { unresolved.push_back(worker); });
  for (const WorkerRef& worker : unresolved) {
    const WorkerEntry* entry = find_worker(worker);
    if (entry == nullptr)
      lease.hold.worker_gone(worker.identity, loop_.now());
    else
      lease.hold.worker_responded(
          {worker.identity, entry->responded_call_written_at, entry->last_response_at});
  }
}

// Releases.

io::Nanos KvReleaser::next_release_at(const KvLease& lease) const {
  const io::Nanos due = lease.hold.release_due();
  if (!expedited() || !lease.hold.request_over()) return due;
  return std::min(due, lease.release_started_at + kExpeditedPause);
}

io::Nanos KvReleaser::delay_after(int calls) const { return delay_before_next_call(hold_limit_, calls); }

// Runs a release. An exception ends the release but not the lease, which is checked again later.
io::Task<> KvReleaser::run_release(std::shared_ptr<KvLease> lease) {
  std::exception_ptr thrown;
  try {
    co_await release_until_proved(lease);
  } catch (...) {
    thrown = std::current_exception();
  }
  lease->release_running = false;
  if (thrown) loop_.report_task_failure(thrown);
  if (lease->hold.needs_release()) schedule_check(lease, thrown ? loop_.now() + delay_after(0) : 0);
  unregister_if_released(lease);
}

io::Task<> KvReleaser::release_until_proved(const std::shared_ptr<KvLease>& lease) {
  const KvHold& hold = lease->hold;
  while (hold.needs_release()) {
    collect_evidence(*lease);
    const io::Nanos due = next_release_at(*lease);
    if (loop_.now() < due) {
      if (!hold.request_over()) co_return;
      co_await io::wait_until(loop_, lease->changed, due);
      continue;
    }
    const bool wanted_by_policy = hold.release_wanted();
    lease->release_started_at = loop_.now();
    record(lease, HoldEvent::release_asked);
    counters_.count_release_requested();
    const std::optional<io::Nanos> written_at = co_await call_until_confirmed(*lease);
    if (written_at) {
      handle_confirmation(lease, *written_at, wanted_by_policy);
    } else if (hold.state() == HoldState::releasing) {
      counters_.count_release_abandoned();
      trace_writer_.write(lease->id, lease->trace, "no worker has confirmed a release");
      record(lease, HoldEvent::release_given_up);
    }
  }
}

void KvReleaser::handle_confirmation(const std::shared_ptr<KvLease>& lease, io::Nanos written_at,
                                     bool wanted_by_policy) {
  const HoldState before = lease->hold.state();
  collect_evidence(*lease);
  ++lease->releases_confirmed;
  const bool nothing_left = lease->hold.release_confirmed(written_at);
  process_event(lease, HoldEvent::release_confirmed, before, true);
  counters_.count_release_confirmed();
  if (!lease->hold.request_over() && !wanted_by_policy && nothing_left) on_released_(*lease);
}

// Checks the hold limit. KV cache that may be held counts as held until a worker has confirmed its release.
void KvReleaser::check_hold_limit(KvLease& lease) {
  const io::Nanos limit_ends_at = lease.hold.limit_ends();
  if (lease.limit_violation_counted || limit_ends_at == kNever) return;
  const io::Nanos overrun = loop_.now() - limit_ends_at - kHoldLimitSlack;
  if (overrun <= 0) return;
  lease.limit_violation_counted = true;
  invariants_.check(core::Invariant::kv_released_in_time, false, lease.id, overrun / io::kMs);
  trace_writer_.write_unthrottled(lease.id, lease.trace, "held too long");
}

// Calls one worker after another; a call without a quick response stays open while the next ones are made.
// Returns early once the release is no longer needed, for example when an attempt has received its response.
io::Task<std::optional<io::Nanos>> KvReleaser::call_until_confirmed(KvLease& lease) {
  std::optional<io::Nanos> confirmed_written_at;
  ReleaseCalls calls_made;
  lease.open_calls = 0;
  io::Scope calls(loop_);
  const auto finished = [&] {
    return confirmed_written_at.has_value() || lease.hold.state() != HoldState::releasing;
  };
  const io::Nanos give_up_at = loop_.now() + kReleaseGiveUpAfter;
  while (loop_.now() < give_up_at) {
    std::vector<ReleaseCandidate> candidates = release_candidates(lease);
    for (ReleaseCandidate& candidate : candidates)
      candidate.calls_made = calls_made.per_worker[candidate.worker];
    if (!candidates.empty()) {
      const ReleaseCandidate& target = next_release_target(candidates);
      ++calls_made.per_worker[target.worker];
      ++calls_made.total;
      ++lease.open_calls;
      calls.spawn(
          call_worker(lease, target.worker, needs_new_connection(target), calls_made, confirmed_written_at));
    }
    const io::Nanos called_at = loop_.now();
    const auto next_call = [&] { return called_at + delay_after(std::max(calls_made.total - 1, 0)); };
    while (!finished() && loop_.now() < next_call())
      co_await io::wait_until(loop_, lease.changed, next_call());
    if (finished()) co_return confirmed_written_at;
    check_hold_limit(lease);
  }
  co_return std::nullopt;
}

io::Task<> KvReleaser::call_worker(KvLease& lease, int worker, bool on_new_connection,
                                   ReleaseCalls& calls_made, std::optional<io::Nanos>& confirmed_written_at) {
  const WorkerEntry* entry = fleet_.find(worker);
  if (entry == nullptr) {  // forgotten since it was selected
    --lease.open_calls;
    co_return;
  }
  const WorkerRef called_worker{worker, entry->identity};
  lease.trace.add({.at = loop_.now(),
                   .step = TraceStep::release_told,
                   .kv = lease.hold.state(),
                   .worker = worker,
                   .detail = on_new_connection ? "new connection" : "any connection"});
  // Evaluated once a connection is available, as a decode worker may have taken the KV cache in the meantime.
  io::Nanos written_at = 0;
  const std::function<bool()> still_wanted = [&] {
    written_at = loop_.now();
    return lease.hold.state() == HoldState::releasing;
  };
  const auto response = co_await io::with_deadline(
      loop_, loop_.now() + release_call_timeout(hold_limit_),
      http::exchange(entry->pool, lease.exchange->release_request(0, entry->listed.address), still_wanted,
                     on_new_connection ? http::Reuse::never : http::Reuse::allowed, http::Priority::release));
  if (response) --lease.open_calls;
  if (response && response->at_capacity) {  // not sent, as there was no connection
    --calls_made.per_worker[worker];
    --calls_made.total;
  }
  if (!response || !response->ok() || response->head.status / 100 != 2) co_return;
  if (find_worker(called_worker) != nullptr) fleet_.at(worker).record_response(written_at, loop_.now());
  lease.trace.add(
      {.at = loop_.now(), .step = TraceStep::release_heard, .kv = lease.hold.state(), .worker = worker});
  confirmed_written_at = written_at;
  lease.changed.notify();
}

// The workers that are listed as ready or draining, those that a prefill was written to and, once proof is
// needed, those of unresolved attempts.
std::vector<ReleaseCandidate> KvReleaser::release_candidates(const KvLease& lease) const {
  std::vector<ReleaseCandidate> candidates;
  const auto add = [&](int worker) {
    const WorkerEntry& entry = fleet_.at(worker);
    const bool heard_recently =
        entry.last_response_at > 0 && loop_.now() - entry.last_response_at <= hold_limit_;
    return &candidates.emplace_back(
        ReleaseCandidate{.worker = worker,
                         .last_response_at = entry.last_response_at,
                         .has_connection = heard_recently && entry.pool->has_reusable(),
                         .draining = entry.not_ready_since > 0});
  };
  for (const int worker : fleet_.running_workers()) add(worker);
  const auto candidate_for = [&](const WorkerRef& worker) {
    const auto existing = std::ranges::find(candidates, worker.index, &ReleaseCandidate::worker);
    return existing != candidates.end() ? &*existing : add(worker.index);
  };
  for (const WorkerRef& worker : lease.prefilled_at)
    if (find_worker(worker) != nullptr) candidate_for(worker);
  const bool needs_proof = expedited_until_ != kNever || lease.releases_confirmed >= kReleasesBeforeProof;
  if (!needs_proof) return candidates;
  lease.hold.for_each_unresolved_worker([&](const WorkerRef& worker) {
    if (find_worker(worker) != nullptr) candidate_for(worker)->has_unresolved_attempt = true;
  });
  return candidates;
}

void KvReleaser::release_at(int worker, std::string release_request) {
  counters_.count_release_requested();
  direct_calls_.spawn(call_with_retries(fleet_.at(worker).pool, std::move(release_request)));
}

io::Task<> KvReleaser::call_with_retries(std::shared_ptr<http::Pool> pool, std::string release_request) {
  // Retried, as a prefill worker that cannot be reached may be busy, but only for a while, as it may be gone
  // together with its KV cache.
  for (int i = 0; i < 4; ++i) {
    const auto response = co_await io::with_deadline(loop_, loop_.now() + hold_limit_ / 4,
                                                     http::exchange(pool, release_request));
    if (response && response->ok()) co_return;
    co_await loop_.sleep_for(hold_limit_ / 20);
  }
}

}  // namespace cressrill::router
