#include "kv_releaser.h"

#include <algorithm>
#include <unordered_map>

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
                       std::function<void(HeldRequest&)> released)
    : loop_(loop),
      fleet_(fleet),
      log_(log),
      counters_(counters),
      invariants_(invariants),
      traces_(traces),
      limit_(limit),
      released_(std::move(released)),
      tasks_(loop),
      calls_(loop) {}

void KvReleaser::note(const std::shared_ptr<HeldRequest>& request, HoldEvent event) {
  const HoldState before = request->hold.state();
  const bool possible = request->hold.note(event, loop_.now());
  noted(request, event, before, possible);
}

void KvReleaser::note_attempt(const std::shared_ptr<HeldRequest>& request, HoldEvent event, int attempt,
                              int worker, io::Nanos runs_for) {
  const HoldState before = request->hold.state();
  const HoldWorker at{worker, fleet_.at(worker).identity};
  if (event == HoldEvent::prefill_written) request->prefilled_at.push_back(at);
  const bool possible = request->hold.note_attempt(event, loop_.now(), attempt, at, runs_for);
  noted(request, event, before, possible, attempt, worker);
}

// Logs and traces an event, and begins what follows from it.
void KvReleaser::noted(const std::shared_ptr<HeldRequest>& request, HoldEvent event, HoldState before,
                       bool possible, int attempt, int worker) {
  const KvHold& hold = request->hold;
  request->trace.add({.at = loop_.now(),
                      .step = Step::kv_event,
                      .kv = hold.state(),
                      .attempt = static_cast<std::int16_t>(attempt),
                      .worker = worker,
                      .detail = word(event)});
  invariants_.check(core::Invariant::kv_transition, possible, request->id);
  if (!possible) {
    log_.error("transition not allowed",
               {{"request", request->id}, {"state", word(before)}, {"event", word(event)}});
    traces_.write_all_the_same(request->id, request->trace, "transition not allowed");
  }
  if (!hold.release_comes_first()) request->settled.notify();
  if (request->releasing) return request->changed.notify();
  if ((hold.request_over() && hold.owed()) || hold.release_due() <= loop_.now()) return begin(request);
  if (hold.owed()) watch(request);
}

io::Task<> KvReleaser::release_first(std::shared_ptr<HeldRequest> request) {
  const io::Nanos until = loop_.now() + pause_before_next_call(limit_, 0);
  while (request->hold.release_comes_first() && loop_.now() < until)
    co_await io::wait_until(loop_, request->settled, until);
}

void KvReleaser::watch(const std::shared_ptr<HeldRequest>& request) {
  const io::Nanos due = request->hold.release_due();
  if (due >= request->due_at) return;  // none, or looked at before
  request->due_at = due;
  due_.push({due, request});
}

void KvReleaser::look() {
  while (!due_.empty() && due_.top().at <= loop_.now()) {
    const std::shared_ptr<HeldRequest> request = due_.top().request.lock();
    due_.pop();
    if (!request) continue;
    request->due_at = kNever;
    if (!request->releasing) look_at(request);
  }
}

void KvReleaser::look_at(const std::shared_ptr<HeldRequest>& request) {
  gather_evidence(*request);
  const KvHold& hold = request->hold;
  if (!hold.owed()) return;
  if (hold.release_due() > loop_.now()) return watch(request);
  if (hold.state() == HoldState::held)
    traces_.write(request->id, request->trace, "held for most of its limit");
  begin(request);
}

void KvReleaser::begin(const std::shared_ptr<HeldRequest>& request) {
  request->releasing = true;
  releases_.push_back(request);
  tasks_.spawn(release(request));
}

// A release that no worker has confirmed within the limit may never be: the process does not wait for it.
bool KvReleaser::owes() const {
  if (loop_.now() >= hurries_until_) return false;
  return std::ranges::any_of(releases_, [&](const auto& request) {
    return request->hold.owed() && loop_.now() < request->hold.limit_ends();
  });
}

void KvReleaser::hurry() {
  if (hurries_until_ == kNever) hurries_until_ = loop_.now() + kHurriedFor;
  for (const auto& request : releases_) request->changed.notify();
}

// Evidence.

const Link* KvReleaser::find(const HoldWorker& worker) const {
  const Link* link = fleet_.find(worker.index);
  return link != nullptr && link->identity == worker.identity ? link : nullptr;
}

// What calls of other requests have told of the workers of this one's attempts.
void KvReleaser::gather_evidence(HeldRequest& request) {
  std::vector<HoldWorker> awaited;
  request.hold.each_awaited_worker([&](const HoldWorker& worker) { awaited.push_back(worker); });
  for (const HoldWorker& worker : awaited) {
    const Link* link = find(worker);
    if (link == nullptr)
      request.hold.worker_gone(worker.identity, loop_.now());
    else
      request.hold.worker_answered({worker.identity, link->answered_call, link->heard});
  }
}

// Releases.

io::Nanos KvReleaser::next_release_at(const HeldRequest& request) const {
  const io::Nanos due = request.hold.release_due();
  if (hurries_until_ == kNever || !request.hold.request_over()) return due;
  return std::min(due, request.asked_at + kHurriedPause);
}

io::Task<> KvReleaser::release(std::shared_ptr<HeldRequest> request) {
  const KvHold& hold = request->hold;
  while (hold.owed()) {
    gather_evidence(*request);
    const io::Nanos due = next_release_at(*request);
    if (loop_.now() < due) {
      if (!hold.request_over()) break;
      co_await io::wait_until(loop_, request->changed, due);
      continue;
    }
    const bool ordered = hold.wanted();  // by the decisions, which know of it
    request->asked_at = loop_.now();
    note(request, HoldEvent::release_asked);
    counters_.release_asked();
    const std::optional<io::Nanos> written = co_await tell_until_confirmed(*request);
    if (written) {
      confirmed(request, *written, ordered);
    } else if (hold.state() == HoldState::releasing) {
      counters_.release_given_up();
      traces_.write(request->id, request->trace, "no worker has confirmed a release");
      note(request, HoldEvent::release_given_up);
    }
  }
  request->releasing = false;
  std::erase(releases_, request);
  if (hold.owed()) watch(request);
}

void KvReleaser::confirmed(const std::shared_ptr<HeldRequest>& request, io::Nanos written, bool ordered) {
  const HoldState before = request->hold.state();
  gather_evidence(*request);
  ++request->releases_confirmed;
  const bool nothing_to_take = request->hold.release_confirmed(written);
  noted(request, HoldEvent::release_confirmed, before, true);
  counters_.release_confirmed();
  if (!request->hold.request_over() && !ordered && nothing_to_take) released_(*request);
}

// A rule is judged by what has been confirmed: what may be held counts as held until a worker has released it.
void KvReleaser::check_held(HeldRequest& request) {
  const io::Nanos until = request.hold.limit_ends();
  if (request.violated || until == kNever) return;
  const io::Nanos passed_by = loop_.now() - until - kHeldSlack;
  if (passed_by <= 0) return;
  request.violated = true;
  invariants_.check(core::Invariant::kv_released_in_time, false, request.id, passed_by / io::kMs);
  traces_.write_all_the_same(request.id, request.trace, "held too long");
}

// Calls that are not answered soon stay open beside the next ones. Whatever makes the release needless, an answer of an
// attempt among it, ends it.
io::Task<std::optional<io::Nanos>> KvReleaser::tell_until_confirmed(HeldRequest& request) {
  std::optional<io::Nanos> confirmed;
  std::unordered_map<int, int> told;
  io::Scope calls(loop_);
  const auto over = [&] { return confirmed.has_value() || request.hold.state() != HoldState::releasing; };
  const io::Nanos until = loop_.now() + kReleaseTriedFor;
  for (int made = 0; loop_.now() < until; ++made) {
    std::vector<ReleaseCandidate> workers = candidates(request);
    for (ReleaseCandidate& candidate : workers) candidate.told = told[candidate.worker];
    if (!workers.empty()) {
      const ReleaseCandidate& next = next_to_tell(workers);
      ++told[next.worker];
      calls.spawn(tell(request, next.worker, needs_new_connection(next), confirmed));
    }
    const io::Nanos next_call = loop_.now() + pause_before_next_call(limit_, made);
    while (!over() && loop_.now() < next_call) co_await io::wait_until(loop_, request.changed, next_call);
    if (over()) co_return confirmed;
    check_held(request);
  }
  co_return std::nullopt;
}

io::Task<> KvReleaser::tell(HeldRequest& request, int worker, bool on_new_connection,
                            std::optional<io::Nanos>& confirmed) {
  const Link& link = fleet_.at(worker);
  const HoldWorker told{worker, link.identity};
  request.trace.add({.at = loop_.now(),
                     .step = Step::release_told,
                     .kv = request.hold.state(),
                     .worker = worker,
                     .detail = on_new_connection ? "new connection" : "any connection"});
  // Asked once a connection is there: what was held may have been taken meanwhile.
  io::Nanos written = 0;
  const std::function<bool()> still_wanted = [&] {
    written = loop_.now();
    return request.hold.state() == HoldState::releasing;
  };
  const auto answer = co_await io::within(
      loop_, loop_.now() + release_call_timeout(limit_),
      http::exchange(link.pool, request.talk->release(0, link.listed.address), still_wanted,
                     on_new_connection ? http::Reuse::never : http::Reuse::allowed, http::Priority::release));
  if (!answer || !answer->ok() || answer->head.status / 100 != 2) co_return;
  if (find(told) != nullptr) fleet_.at(worker).answered(written, loop_.now());
  request.trace.add(
      {.at = loop_.now(), .step = Step::release_heard, .kv = request.hold.state(), .worker = worker});
  confirmed = written;
  request.changed.notify();
}

// The ready workers, and those that hold something or may.
std::vector<ReleaseCandidate> KvReleaser::candidates(const HeldRequest& request) const {
  std::vector<ReleaseCandidate> out;
  const auto add = [&](int worker) {
    const Link& link = fleet_.at(worker);
    const bool heard_lately = link.heard > 0 && loop_.now() - link.heard <= limit_;
    return &out.emplace_back(ReleaseCandidate{
        .worker = worker, .heard = link.heard, .connected = heard_lately && link.pool->has_rested()});
  };
  for (const int worker : fleet_.ready()) add(worker);
  const auto candidate = [&](const HoldWorker& worker) {
    const auto listed = std::ranges::find(out, worker.index, &ReleaseCandidate::worker);
    return listed != out.end() ? &*listed : add(worker.index);
  };
  for (const HoldWorker& worker : request.prefilled_at)
    if (find(worker) != nullptr) candidate(worker);
  const bool wants_proof = hurries_until_ != kNever || request.releases_confirmed >= kReleasesBeforeProof;
  if (!wants_proof) return out;
  request.hold.each_awaited_worker([&](const HoldWorker& worker) {
    if (find(worker) != nullptr) candidate(worker)->awaited = true;
  });
  return out;
}

void KvReleaser::release_at(int worker, std::string text) {
  counters_.release_asked();
  calls_.spawn(tell_at(fleet_.at(worker).pool, std::move(text)));
}

io::Task<> KvReleaser::tell_at(std::shared_ptr<http::Pool> pool, std::string text) {
  // Told again for a while: a reader that cannot be reached may be busy, or gone with all that it held.
  for (int i = 0; i < 4; ++i) {
    const auto told = co_await io::within(loop_, loop_.now() + limit_ / 4, http::exchange(pool, text));
    if (told && told->ok()) co_return;
    co_await loop_.sleep_for(limit_ / 20);
  }
}

}  // namespace cressrill::router
