#include "kv_releaser.h"

#include <algorithm>

namespace cressrill::router {

namespace {

constexpr io::Nanos kHeldSlack = 300 * io::kMs;  // that the rule allows past the limit

// While the process ends: releases that go on until more is known follow each other so, and for so long at the most. SIGKILL
// may come 3.7 s after SIGTERM.
constexpr io::Nanos kHurriedPause = 100 * io::kMs;
constexpr io::Nanos kHurriedFor = 3 * io::kSecond;

// So many releases of a request are confirmed before one is sent to the worker of a lost attempt for its answer's sake: most
// workers answer calls of other requests meanwhile.
constexpr int kReleasesBeforeProof = 3;

}  // namespace

KvReleaser::KvReleaser(io::Loop& loop, Fleet& fleet, core::Log& log, core::Counters& counters,
                       core::Invariants& invariants, TraceWriter& traces, io::Nanos limit,
                       std::function<void(const KvLease&)> released)
    : loop_(loop),
      fleet_(fleet),
      log_(log),
      counters_(counters),
      invariants_(invariants),
      traces_(traces),
      limit_(limit),
      released_(std::move(released)),
      earlier_due_(loop),
      clock_(loop, io::Scope::OnException::end_process),
      tasks_(loop),
      calls_(loop) {
  clock_.spawn(watch_due());
}

void KvReleaser::note(const std::shared_ptr<KvLease>& lease, HoldEvent event) {
  const HoldState before = lease->hold.state();
  const bool possible = lease->hold.record(event, loop_.now());
  noted(lease, event, before, possible);
}

void KvReleaser::note_attempt(const std::shared_ptr<KvLease>& lease, HoldEvent event, int attempt, int worker,
                              io::Nanos runs_for) {
  const HoldState before = lease->hold.state();
  const WorkerRef at{worker, fleet_.at(worker).identity};
  if (event == HoldEvent::prefill_written) lease->prefilled_at.push_back(at);
  const bool possible = lease->hold.record_attempt(event, loop_.now(), attempt, at, runs_for);
  noted(lease, event, before, possible, attempt, worker);
}

// Logs and traces an event, and begins what follows from it.
void KvReleaser::noted(const std::shared_ptr<KvLease>& lease, HoldEvent event, HoldState before,
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
    traces_.write_unthrottled(lease->id, lease->trace, "transition not allowed");
  }
  if (hold.needs_release()) keep(lease);
  invariants_.check(core::Invariant::kv_has_owner, !hold.needs_release() || lease->slot != KvLease::kNotOwned,
                    lease->id);
  if (!hold.release_precedes_prefill()) lease->settled.notify();
  if (lease->releasing) return lease->changed.notify();
  if ((hold.request_over() && hold.needs_release()) || hold.release_due() <= loop_.now()) return begin(lease);
  if (hold.needs_release()) return watch(lease);
  drop_if_free(lease);
}

io::Task<> KvReleaser::release_first(std::shared_ptr<KvLease> lease) {
  const io::Nanos until = loop_.now() + delay_before_next_call(limit_, 0);
  while (lease->hold.release_precedes_prefill() && loop_.now() < until)
    co_await io::wait_until(loop_, lease->settled, until);
}

void KvReleaser::request_over(const std::shared_ptr<KvLease>& lease) {
  if (lease->hold.request_over()) return;
  lease->over_at = loop_.now();
  note(lease, HoldEvent::request_over);
}

void KvReleaser::request_gone(const std::shared_ptr<KvLease>& lease) {
  if (!cancelled_ && lease->hold.needs_release()) note(lease, HoldEvent::request_gone);
}

void KvLeaseHandle::request_over() { releaser_.request_over(lease_); }

KvLeaseHandle::~KvLeaseHandle() { releaser_.request_gone(lease_); }

// Leases.

void KvReleaser::keep(const std::shared_ptr<KvLease>& lease) {
  if (lease->slot != KvLease::kNotOwned) return;
  leases_.push_back(lease);
  lease->slot = leases_.size() - 1;
}

void KvReleaser::drop_if_free(const std::shared_ptr<KvLease>& lease) {
  if (lease->slot == KvLease::kNotOwned || lease->hold.needs_release() || lease->releasing) return;
  leases_.back()->slot = lease->slot;
  std::swap(leases_[lease->slot], leases_.back());
  lease->slot = KvLease::kNotOwned;
  leases_.pop_back();
}

void KvReleaser::watch(const std::shared_ptr<KvLease>& lease, io::Nanos not_before) {
  const io::Nanos due = std::max(lease->hold.release_due(), not_before);
  if (due >= lease->due_at) return;  // none, or looked at before
  const bool earliest = due_.empty() || due < due_.top().at;
  due_.push({due, lease});
  lease->due_at = due;
  if (earliest) earlier_due_.notify();
}

io::Task<> KvReleaser::watch_due() {
  for (;;) {
    while (due_.empty()) co_await earlier_due_.wait();
    const io::Nanos at = due_.top().at;
    if (loop_.now() < at) {
      co_await io::wait_until(loop_, earlier_due_, at);
      continue;
    }
    const std::shared_ptr<KvLease> lease = due_.top().lease.lock();
    due_.pop();
    if (!lease || lease->due_at != at) continue;  // an earlier moment was named since
    lease->due_at = kNever;
    if (!lease->releasing) look_at(lease);
  }
}

void KvReleaser::look_at(const std::shared_ptr<KvLease>& lease) {
  gather_evidence(*lease);
  const KvHold& hold = lease->hold;
  if (!hold.needs_release()) return drop_if_free(lease);
  if (hold.release_due() > loop_.now()) return watch(lease);
  if (hold.state() == HoldState::held) traces_.write(lease->id, lease->trace, "held for most of its limit");
  begin(lease);
}

void KvReleaser::begin(const std::shared_ptr<KvLease>& lease) {
  tasks_.spawn(release(lease));
  lease->releasing = true;
}

// Where each call has failed at once, no worker is there that could hear one, and the limit's end is waited for at most. A
// request that ends late has time for a call all the same.
bool KvReleaser::owes_release() const {
  return std::ranges::any_of(leases_, [&](const auto& lease) {
    if (!lease->hold.needs_release()) return false;
    const bool time_is_left = !hurries() || loop_.now() < hurries_until_ ||
                              loop_.now() < lease->over_at + release_call_timeout(limit_);
    const bool may_be_heard = loop_.now() < lease->hold.limit_ends() || lease->calls_open > 0;
    return time_is_left && may_be_heard;
  });
}

void KvReleaser::expedite() {
  if (!hurries()) hurries_until_ = loop_.now() + kHurriedFor;
  for (const auto& lease : leases_) lease->changed.notify();
}

void KvReleaser::cancel() {
  cancelled_ = true;
  clock_.cancel();
  tasks_.cancel();
  calls_.cancel();
}

// Evidence.

const WorkerEntry* KvReleaser::find(const WorkerRef& worker) const {
  const WorkerEntry* link = fleet_.find(worker.index);
  return link != nullptr && link->identity == worker.identity ? link : nullptr;
}

// What calls of other requests have told of the workers of this one's attempts.
void KvReleaser::gather_evidence(KvLease& lease) {
  std::vector<WorkerRef> awaited;
  lease.hold.for_each_unresolved_worker([&](const WorkerRef& worker) { awaited.push_back(worker); });
  for (const WorkerRef& worker : awaited) {
    const WorkerEntry* link = find(worker);
    if (link == nullptr)
      lease.hold.worker_gone(worker.identity, loop_.now());
    else
      lease.hold.worker_answered({worker.identity, link->answered_call_written_at, link->last_heard});
  }
}

// Releases.

io::Nanos KvReleaser::next_release_at(const KvLease& lease) const {
  const io::Nanos due = lease.hold.release_due();
  if (!hurries() || !lease.hold.request_over()) return due;
  return std::min(due, lease.asked_at + kHurriedPause);
}

io::Nanos KvReleaser::pause_after(int calls) const { return delay_before_next_call(limit_, calls); }

// An exception ends this release and not the lease.
io::Task<> KvReleaser::release(std::shared_ptr<KvLease> lease) {
  std::exception_ptr thrown;
  try {
    co_await release_until_free(lease);
  } catch (...) {
    thrown = std::current_exception();
  }
  lease->releasing = false;
  if (thrown) loop_.report_task_failure(thrown);
  if (lease->hold.needs_release()) watch(lease, thrown ? loop_.now() + pause_after(0) : 0);
  drop_if_free(lease);
}

io::Task<> KvReleaser::release_until_free(const std::shared_ptr<KvLease>& lease) {
  const KvHold& hold = lease->hold;
  while (hold.needs_release()) {
    gather_evidence(*lease);
    const io::Nanos due = next_release_at(*lease);
    if (loop_.now() < due) {
      if (!hold.request_over()) co_return;
      co_await io::wait_until(loop_, lease->changed, due);
      continue;
    }
    const bool ordered = hold.release_wanted();  // by the decisions, which know of it
    lease->asked_at = loop_.now();
    note(lease, HoldEvent::release_asked);
    counters_.count_release_requested();
    const std::optional<io::Nanos> written = co_await tell_until_confirmed(*lease);
    if (written) {
      confirmed(lease, *written, ordered);
    } else if (hold.state() == HoldState::releasing) {
      counters_.count_release_abandoned();
      traces_.write(lease->id, lease->trace, "no worker has confirmed a release");
      note(lease, HoldEvent::release_given_up);
    }
  }
}

void KvReleaser::confirmed(const std::shared_ptr<KvLease>& lease, io::Nanos written, bool ordered) {
  const HoldState before = lease->hold.state();
  gather_evidence(*lease);
  ++lease->releases_confirmed;
  const bool nothing_to_take = lease->hold.release_confirmed(written);
  noted(lease, HoldEvent::release_confirmed, before, true);
  counters_.count_release_confirmed();
  if (!lease->hold.request_over() && !ordered && nothing_to_take) released_(*lease);
}

// A rule is judged by what has been confirmed: what may be held counts as held until a worker has released it.
void KvReleaser::check_held(KvLease& lease) {
  const io::Nanos until = lease.hold.limit_ends();
  if (lease.violated || until == kNever) return;
  const io::Nanos passed_by = loop_.now() - until - kHeldSlack;
  if (passed_by <= 0) return;
  lease.violated = true;
  invariants_.check(core::Invariant::kv_released_in_time, false, lease.id, passed_by / io::kMs);
  traces_.write_unthrottled(lease.id, lease.trace, "held too long");
}

// Calls that are not answered soon stay open beside the next ones. Whatever makes the release needless, an answer of an
// attempt among it, ends it.
io::Task<std::optional<io::Nanos>> KvReleaser::tell_until_confirmed(KvLease& lease) {
  std::optional<io::Nanos> confirmed;
  ReleaseCalls made;
  lease.calls_open = 0;
  io::Scope calls(loop_);
  const auto over = [&] { return confirmed.has_value() || lease.hold.state() != HoldState::releasing; };
  const io::Nanos until = loop_.now() + kReleaseGiveUpAfter;
  while (loop_.now() < until) {
    std::vector<ReleaseCandidate> workers = candidates(lease);
    for (ReleaseCandidate& candidate : workers) candidate.calls_made = made.told[candidate.worker];
    if (!workers.empty()) {
      const ReleaseCandidate& next = next_release_target(workers);
      ++made.told[next.worker], ++made.count;
      ++lease.calls_open;
      calls.spawn(tell(lease, next.worker, needs_new_connection(next), made, confirmed));
    }
    const io::Nanos began = loop_.now();
    const auto next_call = [&] { return began + pause_after(std::max(made.count - 1, 0)); };
    while (!over() && loop_.now() < next_call()) co_await io::wait_until(loop_, lease.changed, next_call());
    if (over()) co_return confirmed;
    check_held(lease);
  }
  co_return std::nullopt;
}

io::Task<> KvReleaser::tell(KvLease& lease, int worker, bool on_new_connection, ReleaseCalls& made,
                            std::optional<io::Nanos>& confirmed) {
  const WorkerEntry* link = fleet_.find(worker);
  if (link == nullptr) {  // forgotten since it was chosen
    --lease.calls_open;
    co_return;
  }
  const WorkerRef told{worker, link->identity};
  lease.trace.add({.at = loop_.now(),
                   .step = TraceStep::release_told,
                   .kv = lease.hold.state(),
                   .worker = worker,
                   .detail = on_new_connection ? "new connection" : "any connection"});
  // Asked once a connection is there: what was held may have been taken meanwhile.
  io::Nanos written = 0;
  const std::function<bool()> still_wanted = [&] {
    written = loop_.now();
    return lease.hold.state() == HoldState::releasing;
  };
  const auto answer = co_await io::with_deadline(
      loop_, loop_.now() + release_call_timeout(limit_),
      http::exchange(link->pool, lease.exchange->release_request(0, link->listed.address), still_wanted,
                     on_new_connection ? http::Reuse::never : http::Reuse::allowed, http::Priority::release));
  if (answer) --lease.calls_open;
  if (answer && answer->at_capacity) --made.told[worker], --made.count;  // nobody was told
  if (!answer || !answer->ok() || answer->head.status / 100 != 2) co_return;
  if (find(told) != nullptr) fleet_.at(worker).record_answer(written, loop_.now());
  lease.trace.add(
      {.at = loop_.now(), .step = TraceStep::release_heard, .kv = lease.hold.state(), .worker = worker});
  confirmed = written;
  lease.changed.notify();
}

// The workers that run by the list, and those that hold something or may.
std::vector<ReleaseCandidate> KvReleaser::candidates(const KvLease& lease) const {
  std::vector<ReleaseCandidate> out;
  const auto add = [&](int worker) {
    const WorkerEntry& link = fleet_.at(worker);
    const bool heard_lately = link.last_heard > 0 && loop_.now() - link.last_heard <= limit_;
    return &out.emplace_back(ReleaseCandidate{.worker = worker,
                                              .last_heard = link.last_heard,
                                              .has_connection = heard_lately && link.pool->has_reusable(),
                                              .draining = link.not_ready_since > 0});
  };
  for (const int worker : fleet_.running_workers()) add(worker);
  const auto candidate = [&](const WorkerRef& worker) {
    const auto listed = std::ranges::find(out, worker.index, &ReleaseCandidate::worker);
    return listed != out.end() ? &*listed : add(worker.index);
  };
  for (const WorkerRef& worker : lease.prefilled_at)
    if (find(worker) != nullptr) candidate(worker);
  const bool wants_proof = hurries_until_ != kNever || lease.releases_confirmed >= kReleasesBeforeProof;
  if (!wants_proof) return out;
  lease.hold.for_each_unresolved_worker([&](const WorkerRef& worker) {
    if (find(worker) != nullptr) candidate(worker)->has_unresolved_attempt = true;
  });
  return out;
}

void KvReleaser::release_at(int worker, std::string text) {
  counters_.count_release_requested();
  calls_.spawn(tell_at(fleet_.at(worker).pool, std::move(text)));
}

io::Task<> KvReleaser::tell_at(std::shared_ptr<http::Pool> pool, std::string text) {
  // Told again for a while: a reader that cannot be reached may be busy, or gone with all that it held.
  for (int i = 0; i < 4; ++i) {
    const auto told = co_await io::with_deadline(loop_, loop_.now() + limit_ / 4, http::exchange(pool, text));
    if (told && told->ok()) co_return;
    co_await loop_.sleep_for(limit_ / 20);
  }
}

}  // namespace cressrill::router
