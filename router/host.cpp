#include "host.h"

#include <algorithm>
#include <functional>

namespace cressrill::router {

namespace {

constexpr std::size_t kOutbox = 64 * 1024;       // bytes that may wait for one client
constexpr std::size_t kWhole = 8 * 1024 * 1024;  // bytes of a whole answer
constexpr int kInformed = 16;                    // 1xx answers ahead of one

const char* word(Outcome outcome) {
  static constexpr const char* words[] = {"generated", "read",      "error",          "full",
                                          "no_state",  "timed_out", "connect_failed", "connection_lost",
                                          "cancelled", "not_sent"};
  return words[static_cast<int>(outcome)];
}

// An answer that was cut off, or one that cannot be read: both may have run, but the second is no lost machine.
Outcome lost(http::Fault fault) {
  const bool cut = fault == http::Fault::none || fault == http::Fault::closed;
  return cut ? Outcome::connection_lost : Outcome::error;
}

// What the end of an attempt says of what is held. Where no answer came, a request that left whole may have arrived.
HoldEvent hold_event(bool reads, Outcome outcome, bool answered, bool may_have_arrived) {
  switch (outcome) {
    case Outcome::read_done:
      return HoldEvent::prefill_done;
    case Outcome::no_state:
      return reads ? HoldEvent::prefill_failed : HoldEvent::cache_missing;
    case Outcome::full:
      return reads ? HoldEvent::prefill_refused : HoldEvent::decode_answered;
    case Outcome::generated:  // refused, with an answer that is the client's: no promise that nothing has run
      return reads ? HoldEvent::prefill_failed : HoldEvent::decode_answered;
    default:
      break;
  }
  if (!may_have_arrived) return reads ? HoldEvent::prefill_refused : HoldEvent::decode_not_run;
  if (outcome == Outcome::error && answered)
    return reads ? HoldEvent::prefill_failed : HoldEvent::decode_answered;
  return reads ? HoldEvent::prefill_lost : HoldEvent::decode_lost;
}

}  // namespace

const char* word(Final final) {
  static constexpr const char* words[] = {"none",    "generated", "rejected",
                                          "aborted", "broken",    "engine_refused"};
  return words[static_cast<int>(final)];
}

Host::Host(io::Loop& loop, const core::Station& station, core::Log& log, core::Counters& counters,
           Protocol& protocol, std::uint64_t seed, const MakePolicy& make)
    : loop_(loop),
      station_(station),
      log_(log),
      counters_(counters),
      protocol_(protocol),
      manner_(protocol.manner()),
      invariants_(log, counters),
      fleet_(loop, station, log),
      traces_(loop, log, fleet_),
      releaser_(loop, fleet_, log, counters, invariants_, traces_, station.deployment.pin_limit,
                [this](const KvLease& lease) { cache_released(lease); }),
      posted_(loop),
      policy_(make(station.deployment, seed, loop.now(), *this)),
      errands_(loop),
      pump_(loop) {
  pump_.spawn(pump());
}

Host::~Host() {
  pump_.cancel();
  errands_.cancel();
  releaser_.cancel();
  for (const auto& ask : asks_)
    if (ask)
      for (const auto& run : ask->runs) run->scope.cancel();
}

// Inputs.

void Host::put(Input input) {
  inbox_.push_back(std::move(input));
  posted_.notify();
}

// An exception out of the decisions leaves them in a state that nobody knows: the process ends, and is started anew.
io::Task<> Host::pump() {
  for (;;) {
    co_await posted_.wait();
    while (!inbox_.empty()) {
      std::swap(inbox_, telling_);
      for (Input& input : telling_) tell_or_end(input);
      telling_.clear();
    }
  }
}

void Host::tell_or_end(Input& input) noexcept { tell(input); }

void Host::tell(Input& input) {
  const Nanos now = loop_.now();
  switch (input.what) {
    case Input::What::list:
      return fleet_.take(*input.list, *policy_);
    case Input::What::list_failed:
      return policy_->list_failed(now);
    case Input::What::woke:
      return policy_->woke(now);
    default:
      break;
  }
  Ask& ask = *input.ask;
  if (asks_[static_cast<std::size_t>(ask.seq)].get() != &ask) return;  // forgotten meanwhile
  switch (input.what) {
    case Input::What::came:
      policy_->sequence_came(now, ask.seq, ask.brief.type, ask.brief.tenant, ask.brief.session,
                             ask.brief.beginning, ask.brief.prompt, ask.brief.beginning_tokens,
                             ask.brief.max_out, ask.abandon_at);
      break;
    case Input::What::client_left:
      end_lease(ask);
      policy_->client_left(now, ask.seq);
      // A stream that nobody reads ends; no one can cancel it but its host.
      if (ask.bound >= 0) end(ask, ask.bound, Outcome::cancelled);
      break;
    case Input::What::began: {
      const Run& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
      note_kv(ask, HoldEvent::decode_begun, input.attempt);
      // The fetch took the state; what else is held for the sequence is of no more use.
      for (std::size_t k = 0; k < ask.runs.size(); ++k) {
        if (static_cast<int>(k) == run.takes) ask.runs[k]->holds_state = false;
        if (ask.runs[k]->holds_state && !manner_.one_release) release(ask, static_cast<int>(k));
      }
      // No further attempt will need the body; another that is still out may be writing it.
      if (std::ranges::none_of(ask.runs, [&](const auto& r) { return r->out && r.get() != &run; })) {
        ask.talk().drop_body();
      }
      policy_->stream_began(now, ask.seq, input.attempt, now - run.sent);
      if (ask.client_left) end(ask, input.attempt, Outcome::cancelled);
      break;
    }
    case Input::What::ended:
      tell_ended(ask, input);
      break;
    case Input::What::cache_released:
      policy_->cache_released(now, ask.seq);
      break;
    default:
      break;
  }
}

void Host::tell_ended(Ask& ask, const Input& input) {
  Run& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
  if (!run.out) return;
  run.out = false;
  run.scope.cancel();
  trace(ask, Step::ended, input.attempt, word(input.outcome));
  if (run.written && !run.begun) {
    const bool may_have_arrived = run.whole || (run.written && !manner_.unwritten_idle);
    note_kv(ask, hold_event(run.reads, input.outcome, run.answered, may_have_arrived), input.attempt);
  }
  if (ask.bound == input.attempt)
    settle(ask, input.outcome == Outcome::generated ? Final::generated : Final::broken);
  else if (ask.engine_refused && ask.final == Final::none)
    settle(ask, Final::engine_refused);
  // A read that was left may leave a state behind that no one will be told of.
  if (!manner_.one_release && run.reads &&
      (input.outcome == Outcome::cancelled || input.outcome == Outcome::timed_out))
    release(ask, input.attempt);
  counters_.attempt(run.reads ? "read" : "write", word(input.outcome));
  log_.debug("attempt ended", {{"sequence", ask.brief.id},
                               {"attempt", input.attempt},
                               {"worker", fleet_.at(run.worker).listed.name},
                               {"stage", run.reads ? "read" : "write"},
                               {"outcome", word(input.outcome)},
                               {"after_ms", (run.sent - ask.came) / io::kMs},
                               {"first_ms", run.first > 0 ? (run.first - run.sent) / io::kMs : -1},
                               {"took_ms", (loop_.now() - run.sent) / io::kMs},
                               {"connection_stood_ms", run.stood < 0 ? -1 : run.stood / io::kMs},
                               {"kept", input.kept},
                               {"held_there", input.report.sequences},
                               {"memory_share", input.report.memory_share}});
  policy_->attempt_ended(loop_.now(), ask.seq, input.attempt, input.outcome, loop_.now() - run.sent,
                         ask.final != Final::none || ask.client_left, input.kept, input.report);
}

void Host::listed(const core::WorkerList& list) {
  put({.what = Input::What::list, .ask = {}, .list = std::make_shared<const core::WorkerList>(list)});
}
void Host::list_failed() { put({.what = Input::What::list_failed, .ask = {}, .list = {}}); }

// Actions.

void Host::send(int seq, int worker, AttemptLimits limits) {
  const std::shared_ptr<Ask>& ask = asks_[static_cast<std::size_t>(seq)];
  const int k = static_cast<int>(ask->runs.size());
  ask->runs.push_back(std::make_unique<Run>(loop_, worker, fleet_.role(worker) == Role::reader));
  Run& run = *ask->runs.back();
  run.sent = loop_.now();
  run.deadline = limits.timeout > 0 ? std::min(ask->abandon_at, run.sent + limits.timeout) : ask->abandon_at;
  run.begin_by = limits.begin_by;
  run.runs_for = limits.runs_for;
  trace(*ask, Step::decided, k, run.reads ? "prefill" : "decode");
  if (!run.reads && ask->state_run >= 0 && ask->runs[static_cast<std::size_t>(ask->state_run)]->holds_state)
    run.takes = ask->state_run;
  run.scope.spawn(contained(ask, k, attempt(ask, k)));
  run.scope.spawn(out_of_time(ask, k));
}

void Host::let_go(int seq) {
  // Where one release frees all, its time follows from what is known of the request (KvHold), and from its end.
  if (manner_.one_release) return note_kv(*asks_[static_cast<std::size_t>(seq)], HoldEvent::release_wanted);
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  for (std::size_t k = 0; k < ask.runs.size(); ++k) {
    const bool awaited = std::ranges::any_of(
        ask.runs, [&](const auto& r) { return r->out && !r->ended && r->takes == static_cast<int>(k); });
    if (ask.runs[k]->holds_state && !awaited) release(ask, static_cast<int>(k));
  }
}

void Host::cancel(int seq, int attempt) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  const Run& run = *ask.runs[static_cast<std::size_t>(attempt)];
  if (!run.begun) end(ask, attempt, run.written ? Outcome::cancelled : Outcome::not_sent);
}

void Host::reject(int seq, Nanos retry_after) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  ask.retry_after = retry_after;
  if (ask.bound < 0) settle(ask, Final::rejected);  // once a stream flows, it is the answer
}

void Host::abort(int seq) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  if (ask.bound < 0) settle(ask, Final::aborted);
}

void Host::wake(Nanos after) {
  errands_.spawn([](Host& host, Nanos at) -> io::Task<> {
    co_await host.loop_.sleep_until(at);
    host.put({.what = Input::What::woke, .ask = {}, .list = {}});
  }(*this, loop_.now() + after));
}

void Host::forget_sequence(int seq) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  ask.talk().drop_body();  // a release may still need the rest
  invariants_.check(core::Invariant::one_final_answer, ask.final != Final::none || ask.client_left,
                    ask.brief.id);
  end_lease(ask);
  asks_[static_cast<std::size_t>(seq)].reset();
  free_.push_back(seq);
  counters_.live(--live_);
}

const std::string& Host::type_name(const Ask& ask) const {
  return station_.types[static_cast<std::size_t>(ask.brief.type)].name;
}

void Host::settle(Ask& ask, Final final) {
  if (ask.final != Final::none) return;
  ask.final = final;
  ask.news.notify();
  trace(ask, Step::settled, -1, word(final));
  end_lease(ask);
  if (final != Final::generated && final != Final::engine_refused && !ask.runs.empty())
    traces_.write(ask.brief.id, ask.kv->trace, "not served after attempts");
  counters_.answered(type_name(ask), word(final));
  log_.info("answered", {{"sequence", ask.brief.id},
                         {"answer", word(final)},
                         {"type", type_name(ask)},
                         {"attempts", ask.runs.size()},
                         {"took_ms", (loop_.now() - ask.came) / io::kMs}});
}

std::vector<Host::Load> Host::loads() const {
  std::vector<Load> out;
  for (std::size_t w = 0; w < fleet_.links().size(); ++w) {
    if (!fleet_.links()[w]) continue;
    Load load{fleet_.links()[w]->listed.name, policy_->believed(static_cast<int>(w)), 0};
    for (const auto& ask : asks_)
      if (ask)
        for (const auto& run : ask->runs)
          load.out += run->worker == static_cast<int>(w) && run->out && !run->begun;
    out.push_back(std::move(load));
  }
  return out;
}

// Attempts.

void Host::end(Ask& ask, int k, Outcome outcome, double kept, const Report& report) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  if (run.ended) return;
  run.ended = true;
  put({Input::What::ended, asks_[static_cast<std::size_t>(ask.seq)], k, outcome, kept, report, {}});
}

io::Task<> Host::out_of_time(std::shared_ptr<Ask> ask, int k) {
  const Run& run = *ask->runs[static_cast<std::size_t>(k)];
  if (run.begin_by < run.deadline) {
    co_await loop_.sleep_until(run.begin_by);
    // Its last byte has not left, and may not from now on.
    const bool idle = !run.written || manner_.unwritten_idle;
    if (!run.whole) co_return end(*ask, k, idle ? Outcome::not_sent : Outcome::connection_lost);
  }
  co_await loop_.sleep_until(run.deadline);
  if (!run.begun) end(*ask, k, Outcome::timed_out);
}

// A stream has no deadline, but one that stands still has broken: its engine hangs. Watched from its first event on: the
// attempt's own deadline may be far off. While its client is the slower one it is not read, and nothing can be said of
// its engine; a client that takes nothing at all is ended by its connection (http::Server::limit_write_stall()).
io::Task<> Host::out_of_life(std::shared_ptr<Ask> ask, int k) {
  const Run& run = *ask->runs[static_cast<std::size_t>(k)];
  for (;;) {
    const io::Nanos from = run.held_back ? loop_.now() : run.heard;
    if (loop_.now() - from >= station_.stall) break;
    co_await loop_.sleep_until(from + station_.stall);
  }
  end(*ask, k, Outcome::connection_lost);
}

// An exception ends the attempt that it comes from, and no other.
io::Task<> Host::contained(std::shared_ptr<Ask> ask, int k, io::Task<> work) {
  std::exception_ptr thrown;
  try {
    co_await std::move(work);
    co_return;
  } catch (...) {
    thrown = std::current_exception();
  }
  loop_.task_failed(thrown);
  const Run& run = *ask->runs[static_cast<std::size_t>(k)];
  end(*ask, k, run.written ? Outcome::connection_lost : Outcome::not_sent);
}

io::Task<> Host::attempt(std::shared_ptr<Ask> ask, int k) {
  Run& run = *ask->runs[static_cast<std::size_t>(k)];
  Link& link = fleet_.at(run.worker);
  for (;;) {
    http::Lease lease(link.pool);
    if (!co_await lease.take())
      co_return end(*ask, k, lease.crowded() ? Outcome::not_sent : Outcome::connect_failed);
    run.stood = lease->used_before ? lease->stood : -1;
    trace(*ask, Step::connected, k);
    if (run.reads && ask->kv->hold.release_comes_first()) co_await releaser_.release_first(ask->kv.shared());
    if (!may_begin(*ask, run)) co_return end(*ask, k, Outcome::not_sent);
    // Noted before the first byte: a worker may hold something from then on.
    run.write_began = loop_.now();
    if (!std::exchange(run.written, true))
      note_kv(*ask, run.reads ? HoldEvent::prefill_written : HoldEvent::decode_written, k);
    const io::Moved moved = co_await send_to(*ask, k, *lease);
    trace(*ask, Step::written, k, moved.ok() ? "whole" : "in part", moved.bytes);
    if (!moved.ok()) {
      // Nothing left this machine: a kept connection was stale, and another is made. Else it may be running.
      if (moved.bytes == 0 && lease->used_before) continue;
      if (moved.bytes > 0) lease.lost();
      const bool idle = moved.bytes == 0 || manner_.unwritten_idle;
      co_return end(*ask, k, idle ? Outcome::connect_failed : Outcome::connection_lost);
    }
    http::Head head;
    http::Fault fault{};
    for (int i = 0; i == 0 || (fault == http::Fault::none && head.status / 100 == 1 && i < kInformed); ++i)
      fault = co_await lease->reader->head(head);
    run.answered = fault != http::Fault::closed;
    if (run.answered) {
      link.answered(run.write_began, loop_.now());
      trace(*ask, Step::answered, k);
    }
    fault == http::Fault::closed ? lease.lost() : lease.answered();  // what cannot be read came all the same
    if (fault != http::Fault::none) co_return end(*ask, k, lost(fault));
    if (run.reads && lease->reader->more()) note_kv(*ask, HoldEvent::prefill_answered, k);
    const Report report = protocol_.load(head);
    if (run.reads || head.status != 200) {
      std::string body;
      fault = co_await lease->reader->rest(body);
      if (fault != http::Fault::none) co_return end(*ask, k, lost(fault));
      if (head.keep_alive) lease.keep();
      co_return answered(*ask, k, head, std::move(body), report);
    }
    const bool whole = co_await stream(*ask, k, *lease, report);
    if (whole && head.keep_alive) lease.keep();
    co_return;
  }
}

AttemptFacts Host::facts(const Ask& ask, const Run& run) const {
  return {.now = loop_.fresh_now(),
          .decided = run.sent,
          .deadline = run.deadline,
          .begin_by = run.begin_by,
          .not_ready_since = fleet_.at(run.worker).not_ready_since,
          .drain_grace = station_.drain_grace,
          .client_left = ask.client_left_at,
          .ended = run.ended,
          .answered = ask.final != Final::none};
}

bool Host::may_begin(const Ask& ask, const Run& run) {
  const BeginRefusal refusal = refuses_to_begin(facts(ask, run));
  if (refusal == BeginRefusal::none) return true;
  counters_.not_begun(word(refusal));
  log_.debug(
      "attempt not begun",
      {{"sequence", ask.brief.id}, {"worker", fleet_.at(run.worker).listed.name}, {"reason", word(refusal)}});
  return false;
}

// After the write: whether what the guard left for a hold-up was enough. told: the time that the worker was told.
void Host::check_begun(const Ask& ask, const Run& run, io::Nanos told) {
  using core::Invariant;
  constexpr io::Nanos kAfterLeaving = 100 * io::kMs;
  constexpr io::Nanos kBudgetSlack = 150 * io::kMs;
  constexpr io::Nanos kWindowSlack =
      50 * io::kMs + 120 * io::kMs;  // begin_by lies so long before the window's end
  const AttemptFacts at = facts(ask, run);
  const auto check = [&](Invariant invariant, io::Nanos passed_by) {
    invariants_.check(invariant, passed_by <= 0, ask.brief.id, passed_by / io::kMs);
  };
  if (at.client_left > 0) check(Invariant::client_is_there, at.now - at.client_left - kAfterLeaving);
  if (at.not_ready_since > at.decided)
    check(Invariant::worker_takes_requests, at.now - at.not_ready_since - at.drain_grace);
  if (at.begin_by != kNever) check(Invariant::repeat_in_window, at.now - at.begin_by - kWindowSlack);
  check(Invariant::deadline_within_budget, told - (ask.abandon_at - at.now) - kBudgetSlack);
}

// What the router takes for its own answer at a client's deadline, as the module does.
io::Nanos Host::answer_margin() const {
  constexpr io::Nanos kOwnPart = 10 * io::kMs;
  return 2 * station_.deployment.tick + kOwnPart;
}

Try Host::described(const Ask& ask, int k) const {
  const Run& run = *ask.runs[static_cast<std::size_t>(k)];
  // Read as the request is about to leave: a deadline that is passed on late would be longer than what the client has left.
  const io::Nanos until = std::min(run.deadline, ask.abandon_at - answer_margin());
  Try out{k, run.reads, fleet_.at(run.worker).listed.address, {}, until - loop_.fresh_now()};
  if (run.takes >= 0) out.state = ask.runs[static_cast<std::size_t>(run.takes)]->state;
  return out;
}

// In a coroutine of its own: what it builds is gone while the stream flows.
io::Task<io::Moved> Host::send_to(Ask& ask, int k, http::Connection& connection) {
  RequestText text;
  const Try attempt = described(ask, k);
  ask.talk().request(attempt, text);
  const io::Moved moved = co_await connection.socket.write_all(text.body.parts);
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  run.whole = moved.ok();
  if (moved.bytes > 0) check_begun(ask, run, attempt.wait);
  co_return moved;
}

void Host::answered(Ask& ask, int k, const http::Head& head, std::string body, const Report& report) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  if (run.ended) return;
  Meaning meaning = ask.talk().answered(described(ask, k), head, std::move(body));
  if (meaning.for_client && ask.final == Final::none && ask.bound < 0) {
    ask.engine_refused = true;
    return end(ask, k, Outcome::generated, 0, report);
  }
  if (meaning.outcome == Outcome::no_state && run.takes >= 0)
    ask.runs[static_cast<std::size_t>(run.takes)]->holds_state = false;
  if (meaning.outcome == Outcome::read_done) {
    run.holds_state = true;
    run.state = std::move(meaning.state), ask.state_run = k;
  }
  end(ask, k, meaning.outcome, meaning.kept, report);
}

// Passes a stream on. True when it came to its proper end.
io::Task<bool> Host::stream(Ask& ask, int k, http::Connection& connection, const Report& at_head) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  http::Events events;
  Report report = at_head;
  double kept = 0;
  bool last = false;
  http::Fault fault{};
  while (connection.reader->more()) {
    std::span<const std::string_view> pieces;
    fault = co_await connection.reader->pieces(pieces);
    for (const std::string_view piece : pieces) {
      events.feed(piece);
      while (const auto data = events.next()) {
        // An event, not any byte: half a line and then nothing is a stream that stands still.
        run.heard = loop_.now();
        const Heard heard = ask.talk().hear(*data, run.begun);
        if (!heard.readable || ask.talk().kept_bytes() > kWhole) {
          end(ask, k, Outcome::error, 0, report);
          co_return false;
        }
        last = last || heard.last;
        if (heard.kept > 0) kept = heard.kept;
        if (heard.flows && !run.begun) {
          if (run.ended || ask.bound >= 0 || ask.final != Final::none || ask.client_left) {
            end(ask, k, Outcome::cancelled);
            co_return false;
          }
          ask.bound = k, run.begun = true, run.first = loop_.now();
          run.scope.spawn(out_of_life(asks_[static_cast<std::size_t>(ask.seq)], k));
          counters_.first_token(
              type_name(ask), static_cast<double>(loop_.now() - ask.came) / static_cast<double>(io::kSecond));
          put({Input::What::began, asks_[static_cast<std::size_t>(ask.seq)], k, {}, 0, {}, {}});
          ask.talk().begun(*data);
        }
        if (!run.begun) continue;
        const std::size_t before = ask.outbox.size();
        ask.talk().pass_on(*data, events.raw(), heard, ask.outbox);
        if (ask.outbox.size() > before) ask.news.notify();
      }
      if (events.partial() > manner_.event_bytes) {
        end(ask, k, Outcome::error, 0, report);
        co_return false;
      }
    }
    if (!events.comment().empty()) {
      const Report noted = protocol_.load(events.comment());
      if (noted.heard) report = noted;
    }
    if (fault != http::Fault::none) break;
    if (ask.outbox.size() > kOutbox) co_await wait_for_client(ask, run);
  }
  const bool whole =
      (last || manner_.whole_without_last) && fault == http::Fault::none && !connection.reader->more();
  if (!whole)
    log_.debug("stream broke", {{"sequence", ask.brief.id},
                                {"attempt", k},
                                {"begun", run.begun ? 1 : 0},
                                {"last_event_came", last ? 1 : 0},
                                {"fault", http::word(fault)}});
  end(ask, k, whole && run.begun ? Outcome::generated : lost(fault), kept, report);
  co_return whole;
}

io::Task<> Host::wait_for_client(Ask& ask, Run& run) {
  run.held_back = true;
  while (ask.outbox.size() > kOutbox) co_await ask.drained.wait();
  run.held_back = false;
  run.heard = loop_.now();
}

// Where each prefill's KV cache is released at its own worker.
void Host::release(Ask& ask, int k) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  run.holds_state = false;
  releaser_.release_at(run.worker, ask.talk().release(k, fleet_.at(run.worker).listed.address));
}

// Where one release frees all that is held for a request, the releaser owns it.
void Host::note_kv(Ask& ask, HoldEvent event, int k) {
  if (!manner_.one_release) return;
  if (k < 0) return releaser_.note(ask.kv.shared(), event);
  const Run& run = *ask.runs[static_cast<std::size_t>(k)];
  releaser_.note_attempt(ask.kv.shared(), event, k, run.worker, run.runs_for);
}

void Host::end_lease(Ask& ask) {
  if (manner_.one_release) ask.kv.request_over();
}

void Host::trace(Ask& ask, Step step, int k, const char* detail, std::size_t bytes) {
  const Run* run = k < 0 ? nullptr : ask.runs[static_cast<std::size_t>(k)].get();
  ask.kv->trace.add({.at = loop_.now(),
                     .step = step,
                     .kv = ask.kv->hold.state(),
                     .attempt = static_cast<std::int16_t>(k),
                     .worker = run == nullptr ? -1 : run->worker,
                     .stood = run == nullptr ? 0 : run->stood,
                     .bytes = bytes,
                     .detail = detail});
}

void Host::cache_released(const KvLease& lease) {
  for (const std::shared_ptr<Ask>& ask : asks_)
    if (ask && &*ask->kv == &lease) return put({.what = Input::What::cache_released, .ask = ask, .list = {}});
}

void Host::write_traces() {
  constexpr int kMost = 64;
  int written = 0;
  for (const std::shared_ptr<Ask>& ask : asks_)
    if (ask && written++ < kMost) traces_.write_all_the_same(ask->brief.id, ask->kv->trace, "asked for");
}

// Clients.

io::Task<> Host::serve(http::Request& request, http::Answer& answer) {
  Brief brief;
  auto read = protocol_.read(request, brief);
  if (const Reply* reply = std::get_if<Reply>(&read)) {
    if (reply->refuses) counters_.refused(reply->status);
    if (reply->refuses && !reply->connection_stays) answer.close_after();
    co_await answer.whole(reply->status, reply->fields, reply->body);
    co_return;
  }
  auto& talk = std::get<std::unique_ptr<Talk>>(read);
  const std::shared_ptr<Ask> ask = take(std::move(brief), std::move(talk), request.came);
  try {
    co_await converse(ask, answer);
  } catch (...) {
    leave(ask);  // nobody waits for it any more
    throw;
  }
}

std::shared_ptr<Host::Ask> Host::take(Brief brief, std::unique_ptr<Talk> talk, io::Nanos came) {
  std::shared_ptr<KvLease> lease = releaser_.open_lease(brief.id, std::move(talk));
  auto ask = std::make_shared<Ask>(loop_, std::move(brief), releaser_, std::move(lease));
  if (free_.empty()) {
    free_.push_back(static_cast<int>(asks_.size()));
    asks_.emplace_back();
  }
  ask->seq = free_.back();
  free_.pop_back();
  ask->came = came;
  ask->abandon_at = ask->came + ask->brief.abandon_in;
  asks_[static_cast<std::size_t>(ask->seq)] = ask;
  counters_.live(++live_);
  trace(*ask, Step::taken);
  put({Input::What::came, ask, 0, {}, 0, {}, {}});
  return ask;
}

// The client's side of a sequence, until its answer is written or it has left.
io::Task<> Host::converse(std::shared_ptr<Ask> of, http::Answer& answer) {
  Ask& ask = *of;
  io::Scope watch(loop_);
  watch.spawn(watch_client(of, answer));
  bool begun = false;
  for (;;) {
    if (answer.broken()) client_left(of, answer);
    if (ask.client_left) co_return;
    if (!ask.outbox.empty()) {
      if (!std::exchange(begun, true)) answer.begin_with_part(200, protocol_.stream_fields());
      // The two texts change places, each with its room.
      std::swap(ask.outbox, ask.sending);
      co_await answer.part(ask.sending);
      ask.sending.clear();
      ask.drained.notify();
      continue;
    }
    if (ask.final != Final::none) break;
    co_await ask.news.wait();
  }
  watch.cancel();
  co_await conclude(ask, answer, begun);
}

// Guards against attempts that go on for a client that has left while a write to it does not end.
io::Task<> Host::watch_client(std::shared_ptr<Ask> ask, http::Answer& answer) {
  co_await answer.peer_gone();
  client_left(ask, answer);
}

bool Host::leave(const std::shared_ptr<Ask>& ask) {
  if (std::exchange(ask->client_left, true)) return false;
  ask->client_left_at = loop_.now();
  trace(*ask, Step::client_left);
  put({Input::What::client_left, ask, 0, {}, 0, {}, {}});
  ask->drained.notify();
  ask->news.notify();
  return true;
}

void Host::client_left(const std::shared_ptr<Ask>& ask, http::Answer& answer) {
  if (!leave(ask)) return;
  counters_.answered(type_name(*ask), "left");
  log_.info(answer.stalled() ? "client stalled" : "client left",
            {{"sequence", ask->brief.id}, {"answer", word(ask->final)}});
  answer.break_off();  // a write that waits ends with an error
}

io::Task<> Host::conclude(Ask& ask, http::Answer& answer, bool begun) {
  constexpr io::Nanos kAnswerSlack = 500 * io::kMs;
  const bool late = loop_.now() + station_.deployment.tick * 4 >= ask.abandon_at;
  const io::Nanos passed_by = begun || ask.bound >= 0 ? 0 : loop_.fresh_now() - ask.abandon_at - kAnswerSlack;
  invariants_.check(core::Invariant::answer_in_time, passed_by <= 0, ask.brief.id, passed_by / io::kMs);
  const Closing closing = ask.talk().close(ask.final, late, ask.retry_after);
  if (!begun && !closing.streams) {
    if (closing.reply.refuses) answer.close_after();
    co_await answer.whole(closing.reply.status, closing.reply.fields, closing.reply.body);
    co_return;
  }
  if (!begun) answer.begin_with_part(200, protocol_.stream_fields());
  if (closing.cut) {
    answer.close_after();
    co_return;
  }
  if (closing.close_after) answer.close_after();
  co_await answer.end(closing.last);
}

}  // namespace cressrill::router
