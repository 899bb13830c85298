#include "kv_releaser.h"

#include <algorithm>
#include <unordered_map>

namespace cressrill::router {

namespace {

constexpr io::Nanos kHeldSlack = 300 * io::kMs;  // that the rule allows past the limit

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

void KvReleaser::note(const std::shared_ptr<HeldRequest>& request, HoldEvent event, int attempt, int worker,
                      io::Nanos at) {
  KvHold& hold = request->hold;
  const HoldState before = hold.state();
  const bool possible = hold.note(event, loop_.now(), at);
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
  if (event == HoldEvent::prefill_written) request->prefilled_at.push_back(worker);
  if (event == HoldEvent::request_over) request->over = true;
  if (!hold.release_comes_first()) request->settled.notify();
  if (request->releasing) return request->changed.notify();
  if ((request->over && hold.owed()) || hold.release_due() <= loop_.now()) return begin(request);
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
    if (request->releasing || !request->hold.owed()) continue;
    if (request->hold.release_due() > loop_.now()) {
      watch(request);
      continue;
    }
    if (request->hold.confirmed_until() != kNever)
      traces_.write(request->id, request->trace, "held for most of its limit");
    begin(request);
  }
}

void KvReleaser::begin(const std::shared_ptr<HeldRequest>& request) {
  request->releasing = true;
  releases_.push_back(request);
  tasks_.spawn(release(request));
}

// A worker that has not answered within the limit may never do so: the process does not wait for it.
bool KvReleaser::owes() const {
  return std::ranges::any_of(releases_, [&](const auto& request) {
    return request->hold.owed() && loop_.now() < request->hold.since() + limit_;
  });
}

io::Task<> KvReleaser::release(std::shared_ptr<HeldRequest> request) {
  KvHold& hold = request->hold;
  while (hold.owed()) {
    if (loop_.now() < hold.release_due()) {
      if (!request->over) break;
      co_await io::wait_until(loop_, request->changed, hold.release_due());
      continue;
    }
    const bool ordered = hold.wanted();  // by the decisions, which know of it
    note(request, HoldEvent::release_asked, -1, -1);
    counters_.release_asked();
    const bool confirmed = co_await tell_until_confirmed(*request);
    if (confirmed) {
      note(request, HoldEvent::release_confirmed, -1, -1);
      counters_.release_confirmed();
      if (!request->over && !ordered) released_(*request);
    } else if (hold.state() == HoldState::releasing) {
      counters_.release_given_up();
      traces_.write(request->id, request->trace, "no worker has confirmed a release");
      break;
    }
  }
  request->releasing = false;
  std::erase(releases_, request);
  if (hold.owed() && !request->over) watch(request);
}

// A rule is judged by what has been confirmed: that a worker holds something, and that one has released it.
void KvReleaser::check_held(HeldRequest& request) {
  const io::Nanos until = request.hold.confirmed_until();
  if (request.violated || until == kNever) return;
  const io::Nanos passed_by = loop_.now() - until - kHeldSlack;
  if (passed_by <= 0) return;
  request.violated = true;
  invariants_.check(core::Invariant::kv_released_in_time, false, request.id, passed_by / io::kMs);
  traces_.write_all_the_same(request.id, request.trace, "held too long");
}

// Calls that are not answered soon stay open beside the next ones. Whatever makes the release needless, an answer of an
// attempt among it, ends it.
io::Task<bool> KvReleaser::tell_until_confirmed(HeldRequest& request) {
  bool confirmed = false;
  std::unordered_map<int, int> told;
  io::Scope calls(loop_);
  const auto over = [&] { return confirmed || request.hold.state() != HoldState::releasing; };
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
    const io::Nanos limit_at =
        request.hold.since() + limit_;  // from then on the process does not wait for it
    while (!over() && loop_.now() < next_call) {
      const bool before_limit = loop_.now() < limit_at;
      co_await io::wait_until(loop_, request.changed,
                              before_limit ? std::min(next_call, limit_at) : next_call);
    }
    if (over()) co_return confirmed;
    check_held(request);
  }
  co_return false;
}

io::Task<> KvReleaser::tell(HeldRequest& request, int worker, bool on_new_connection, bool& confirmed) {
  const Link& link = fleet_.at(worker);
  request.trace.add({.at = loop_.now(),
                     .step = Step::release_told,
                     .kv = request.hold.state(),
                     .worker = worker,
                     .detail = on_new_connection ? "new connection" : "any connection"});
  // Asked once a connection is there: what was held may have been taken meanwhile.
  const std::function<bool()> still_wanted = [&] { return request.hold.state() == HoldState::releasing; };
  const auto answer = co_await io::within(
      loop_, loop_.now() + release_call_timeout(limit_),
      http::exchange(link.pool, request.talk->release(0, link.listed.address), still_wanted,
                     on_new_connection ? http::Reuse::never : http::Reuse::allowed));
  if (!answer || !answer->ok() || answer->head.status / 100 != 2) co_return;
  if (fleet_.find(worker) != nullptr) fleet_.at(worker).heard = loop_.now();
  request.trace.add(
      {.at = loop_.now(), .step = Step::release_heard, .kv = request.hold.state(), .worker = worker});
  confirmed = true;
  request.changed.notify();
}

std::vector<ReleaseCandidate> KvReleaser::candidates(const HeldRequest& request) const {
  std::vector<ReleaseCandidate> out;
  for (const int worker : fleet_.ready()) out.push_back({worker, fleet_.at(worker).heard, 0});
  for (const int worker : request.prefilled_at) {
    const bool listed = std::ranges::any_of(out, [&](const auto& c) { return c.worker == worker; });
    if (const Link* link = fleet_.find(worker); link != nullptr && !listed)
      out.push_back({worker, link->heard, 0});
  }
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
