#include "host.h"

#include <algorithm>
#include <functional>

namespace cressrill::router {

namespace {

constexpr std::size_t kOutbox = 64 * 1024;       // bytes that may wait for one client
constexpr std::size_t kWhole = 8 * 1024 * 1024;  // bytes of a whole answer
constexpr int kInformed = 16;                    // 1xx answers ahead of one

const char* to_string(Outcome outcome) {
  static constexpr const char* words[] = {"generated", "read",      "error",          "full",
                                          "no_state",  "timed_out", "connect_failed", "connection_lost",
                                          "cancelled", "not_sent"};
  return words[static_cast<int>(outcome)];
}

// An answer that was cut off, or one that cannot be read: both may have run, but the second is no lost machine.
Outcome lost(http::MessageError fault) {
  const bool cut = fault == http::MessageError::none || fault == http::MessageError::closed;
  return cut ? Outcome::connection_lost : Outcome::error;
}

// What the end of an attempt says of what is held. Where no answer came, a request that left whole may have arrived.
HoldEvent hold_event(bool reads, Outcome outcome, bool answered, bool may_have_arrived) {
  switch (outcome) {
    case Outcome::prefill_done:
      return HoldEvent::prefill_done;
    case Outcome::kv_missing:
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

const char* to_string(RequestOutcome final) {
  static constexpr const char* words[] = {"none",    "generated", "rejected",
                                          "aborted", "broken",    "engine_refused"};
  return words[static_cast<int>(final)];
}

Host::Host(io::Loop& loop, const core::RouterConfig& station, core::Log& log, core::Counters& counters,
           Protocol& protocol, std::uint64_t seed, const PolicyFactory& make)
    : loop_(loop),
      station_(station),
      log_(log),
      counters_(counters),
      protocol_(protocol),
      manner_(protocol.traits()),
      invariants_(log, counters),
      fleet_(loop, station, log),
      traces_(loop, log, fleet_),
      releaser_(loop, fleet_, log, counters, invariants_, traces_, station.settings.kv_hold_limit,
                [this](const KvLease& lease) { cache_released(lease); }),
      posted_(loop),
      policy_(make(station.settings, seed, loop.now(), *this)),
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
      return fleet_.apply_list(*input.list, *policy_);
    case Input::What::list_failed:
      return policy_->list_failed(now);
    case Input::What::woke:
      return policy_->on_wakeup(now);
    default:
      break;
  }
  ActiveRequest& ask = *input.ask;
  if (asks_[static_cast<std::size_t>(ask.seq)].get() != &ask) return;  // forgotten meanwhile
  switch (input.what) {
    case Input::What::came:
      policy_->request_arrived(now, ask.seq, ask.brief.type, ask.brief.tenant, ask.brief.session,
                               ask.brief.prefix_hash, ask.brief.prompt_tokens, ask.brief.prefix_tokens,
                               ask.brief.max_output_tokens, ask.abandon_at);
      break;
    case Input::What::client_left:
      end_lease(ask);
      policy_->client_left(now, ask.seq);
      // A stream that nobody reads ends; no one can cancel it but its host.
      if (ask.bound >= 0) end(ask, ask.bound, Outcome::cancelled);
      break;
    case Input::What::began: {
      const ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
      note_kv(ask, HoldEvent::decode_begun, input.attempt);
      // The fetch took the state; what else is held for the sequence is of no more use.
      for (std::size_t k = 0; k < ask.runs.size(); ++k) {
        if (static_cast<int>(k) == run.takes) ask.runs[k]->holds_state = false;
        if (ask.runs[k]->holds_state && !manner_.single_release) release_prefill(ask, static_cast<int>(k));
      }
      // No further attempt will need the body; another that is still out may be writing it.
      if (std::ranges::none_of(ask.runs, [&](const auto& r) { return r->out && r.get() != &run; })) {
        ask.talk().drop_body();
      }
      policy_->stream_started(now, ask.seq, input.attempt, now - run.sent);
      if (ask.client_left) end(ask, input.attempt, Outcome::cancelled);
      break;
    }
    case Input::What::ended:
      tell_ended(ask, input);
      break;
    case Input::What::cache_released:
      policy_->kv_released(now, ask.seq);
      break;
    default:
      break;
  }
}

void Host::tell_ended(ActiveRequest& ask, const Input& input) {
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
  if (!run.out) return;
  run.out = false;
  run.scope.cancel();
  trace(ask, TraceStep::ended, input.attempt, to_string(input.outcome));
  if (run.written && !run.begun) {
    const bool may_have_arrived = run.whole || (run.written && !manner_.partial_request_never_runs);
    note_kv(ask, hold_event(run.reads, input.outcome, run.answered, may_have_arrived), input.attempt);
  }
  if (ask.bound == input.attempt)
    settle(ask, input.outcome == Outcome::generated ? RequestOutcome::generated : RequestOutcome::broken);
  else if (ask.engine_refused && ask.final == RequestOutcome::none)
    settle(ask, RequestOutcome::engine_refused);
  // A read that was left may leave a state behind that no one will be told of.
  if (!manner_.single_release && run.reads &&
      (input.outcome == Outcome::cancelled || input.outcome == Outcome::timed_out))
    release_prefill(ask, input.attempt);
  counters_.count_attempt(run.reads ? "read" : "write", to_string(input.outcome));
  log_.debug("attempt ended", {{"sequence", ask.brief.id},
                               {"attempt", input.attempt},
                               {"worker", fleet_.at(run.worker).listed.name},
                               {"stage", run.reads ? "read" : "write"},
                               {"outcome", to_string(input.outcome)},
                               {"after_ms", (run.sent - ask.came) / io::kMs},
                               {"first_ms", run.first > 0 ? (run.first - run.sent) / io::kMs : -1},
                               {"took_ms", (loop_.now() - run.sent) / io::kMs},
                               {"connection_stood_ms", run.stood < 0 ? -1 : run.stood / io::kMs},
                               {"kept", input.kept},
                               {"held_there", input.report.requests},
                               {"memory_share", input.report.memory_share}});
  policy_->attempt_ended(loop_.now(), ask.seq, input.attempt, input.outcome, loop_.now() - run.sent,
                         ask.final != RequestOutcome::none || ask.client_left, input.kept, input.report);
}

void Host::update_list(const core::WorkerList& list) {
  put({.what = Input::What::list, .ask = {}, .list = std::make_shared<const core::WorkerList>(list)});
}
void Host::list_failed() { put({.what = Input::What::list_failed, .ask = {}, .list = {}}); }

// Actions.

void Host::send(int seq, int worker, AttemptLimits limits) {
  const std::shared_ptr<ActiveRequest>& ask = asks_[static_cast<std::size_t>(seq)];
  const int k = static_cast<int>(ask->runs.size());
  ask->runs.push_back(std::make_unique<ActiveAttempt>(loop_, worker, fleet_.role(worker) == Role::prefill));
  ActiveAttempt& run = *ask->runs.back();
  run.sent = loop_.now();
  run.deadline = limits.timeout > 0 ? std::min(ask->abandon_at, run.sent + limits.timeout) : ask->abandon_at;
  run.begin_by = limits.write_deadline;
  run.runs_for = limits.assumed_run_time;
  trace(*ask, TraceStep::decided, k, run.reads ? "prefill" : "decode");
  if (!run.reads && ask->state_run >= 0 && ask->runs[static_cast<std::size_t>(ask->state_run)]->holds_state)
    run.takes = ask->state_run;
  run.scope.spawn(contained(ask, k, attempt(ask, k)));
  run.scope.spawn(out_of_time(ask, k));
}

void Host::release(int seq) {
  // Where one release frees all, its time follows from what is known of the request (KvHold), and from its end.
  if (manner_.single_release)
    return note_kv(*asks_[static_cast<std::size_t>(seq)], HoldEvent::release_wanted);
  ActiveRequest& ask = *asks_[static_cast<std::size_t>(seq)];
  for (std::size_t k = 0; k < ask.runs.size(); ++k) {
    const bool awaited = std::ranges::any_of(
        ask.runs, [&](const auto& r) { return r->out && !r->ended && r->takes == static_cast<int>(k); });
    if (ask.runs[k]->holds_state && !awaited) release_prefill(ask, static_cast<int>(k));
  }
}

void Host::cancel(int seq, int attempt) {
  ActiveRequest& ask = *asks_[static_cast<std::size_t>(seq)];
  const ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(attempt)];
  if (!run.begun) end(ask, attempt, run.written ? Outcome::cancelled : Outcome::not_sent);
}

void Host::reject(int seq, Nanos retry_after) {
  ActiveRequest& ask = *asks_[static_cast<std::size_t>(seq)];
  ask.retry_after = retry_after;
  if (ask.bound < 0) settle(ask, RequestOutcome::rejected);  // once a stream flows, it is the answer
}

void Host::abort(int seq) {
  ActiveRequest& ask = *asks_[static_cast<std::size_t>(seq)];
  if (ask.bound < 0) settle(ask, RequestOutcome::aborted);
}

void Host::request_wakeup(Nanos after) {
  errands_.spawn([](Host& host, Nanos at) -> io::Task<> {
    co_await host.loop_.sleep_until(at);
    host.put({.what = Input::What::woke, .ask = {}, .list = {}});
  }(*this, loop_.now() + after));
}

void Host::forget_request(int seq) {
  ActiveRequest& ask = *asks_[static_cast<std::size_t>(seq)];
  ask.talk().drop_body();  // a release may still need the rest
  invariants_.check(core::Invariant::one_final_answer, ask.final != RequestOutcome::none || ask.client_left,
                    ask.brief.id);
  end_lease(ask);
  asks_[static_cast<std::size_t>(seq)].reset();
  free_.push_back(seq);
  counters_.set_active_requests(--live_);
}

const std::string& Host::type_name(const ActiveRequest& ask) const {
  return station_.type_rules[static_cast<std::size_t>(ask.brief.type)].name;
}

void Host::settle(ActiveRequest& ask, RequestOutcome final) {
  if (ask.final != RequestOutcome::none) return;
  ask.final = final;
  ask.news.notify();
  trace(ask, TraceStep::settled, -1, to_string(final));
  end_lease(ask);
  if (final != RequestOutcome::generated && final != RequestOutcome::engine_refused && !ask.runs.empty())
    traces_.write(ask.brief.id, ask.kv->trace, "not served after attempts");
  counters_.count_answer(type_name(ask), to_string(final));
  log_.info("answered", {{"sequence", ask.brief.id},
                         {"answer", to_string(final)},
                         {"type", type_name(ask)},
                         {"attempts", ask.runs.size()},
                         {"took_ms", (loop_.now() - ask.came) / io::kMs}});
}

std::vector<Host::WorkerLoad> Host::worker_loads() const {
  std::vector<WorkerLoad> out;
  for (std::size_t w = 0; w < fleet_.entries().size(); ++w) {
    if (!fleet_.entries()[w]) continue;
    WorkerLoad load{fleet_.entries()[w]->listed.name, policy_->expected_load(static_cast<int>(w)), 0};
    for (const auto& ask : asks_)
      if (ask)
        for (const auto& run : ask->runs)
          load.in_flight += run->worker == static_cast<int>(w) && run->out && !run->begun;
    out.push_back(std::move(load));
  }
  return out;
}

// Attempts.

void Host::end(ActiveRequest& ask, int k, Outcome outcome, double kept, const LoadReport& report) {
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  if (run.ended) return;
  run.ended = true;
  put({Input::What::ended, asks_[static_cast<std::size_t>(ask.seq)], k, outcome, kept, report, {}});
}

io::Task<> Host::out_of_time(std::shared_ptr<ActiveRequest> ask, int k) {
  const ActiveAttempt& run = *ask->runs[static_cast<std::size_t>(k)];
  if (run.begin_by < run.deadline) {
    co_await loop_.sleep_until(run.begin_by);
    // Its last byte has not left, and may not from now on.
    const bool idle = !run.written || manner_.partial_request_never_runs;
    if (!run.whole) co_return end(*ask, k, idle ? Outcome::not_sent : Outcome::connection_lost);
  }
  co_await loop_.sleep_until(run.deadline);
  if (!run.begun) end(*ask, k, Outcome::timed_out);
}

// A stream has no deadline, but one that stands still has broken: its engine hangs. Watched from its first event on: the
// attempt's own deadline may be far off. While its client is the slower one it is not read, and nothing can be said of
// its engine; a client that takes nothing at all is ended by its connection (http::Server::limit_write_stall()).
io::Task<> Host::out_of_life(std::shared_ptr<ActiveRequest> ask, int k) {
  const ActiveAttempt& run = *ask->runs[static_cast<std::size_t>(k)];
  for (;;) {
    const io::Nanos from = run.held_back ? loop_.now() : run.heard;
    if (loop_.now() - from >= station_.stall_timeout) break;
    co_await loop_.sleep_until(from + station_.stall_timeout);
  }
  end(*ask, k, Outcome::connection_lost);
}

// An exception ends the attempt that it comes from, and no other.
io::Task<> Host::contained(std::shared_ptr<ActiveRequest> ask, int k, io::Task<> work) {
  std::exception_ptr thrown;
  try {
    co_await std::move(work);
    co_return;
  } catch (...) {
    thrown = std::current_exception();
  }
  loop_.report_task_failure(thrown);
  const ActiveAttempt& run = *ask->runs[static_cast<std::size_t>(k)];
  end(*ask, k, run.written ? Outcome::connection_lost : Outcome::not_sent);
}

io::Task<> Host::attempt(std::shared_ptr<ActiveRequest> ask, int k) {
  ActiveAttempt& run = *ask->runs[static_cast<std::size_t>(k)];
  WorkerEntry& link = fleet_.at(run.worker);
  for (;;) {
    http::ConnectionLease lease(link.pool);
    if (!co_await lease.acquire())
      co_return end(*ask, k, lease.at_capacity() ? Outcome::not_sent : Outcome::connect_failed);
    run.stood = lease->reused ? lease->idle_time : -1;
    trace(*ask, TraceStep::connected, k);
    if (run.reads && ask->kv->hold.release_precedes_prefill())
      co_await releaser_.release_first(ask->kv.shared());
    if (!may_begin(*ask, run)) co_return end(*ask, k, Outcome::not_sent);
    // Noted before the first byte: a worker may hold something from then on.
    run.write_began = loop_.now();
    if (!std::exchange(run.written, true))
      note_kv(*ask, run.reads ? HoldEvent::prefill_written : HoldEvent::decode_written, k);
    const io::IoResult moved = co_await send_to(*ask, k, *lease);
    trace(*ask, TraceStep::written, k, moved.ok() ? "whole" : "in part", moved.bytes);
    if (!moved.ok()) {
      // Nothing left this machine: a kept connection was stale, and another is made. Else it may be running.
      if (moved.bytes == 0 && lease->reused) continue;
      if (moved.bytes > 0) lease.record_loss();
      const bool idle = moved.bytes == 0 || manner_.partial_request_never_runs;
      co_return end(*ask, k, idle ? Outcome::connect_failed : Outcome::connection_lost);
    }
    http::Head head;
    http::MessageError fault{};
    for (int i = 0; i == 0 || (fault == http::MessageError::none && head.status / 100 == 1 && i < kInformed);
         ++i)
      fault = co_await lease->reader->read_head(head);
    run.answered = fault != http::MessageError::closed;
    if (run.answered) {
      link.record_answer(run.write_began, loop_.now());
      trace(*ask, TraceStep::answered, k);
    }
    fault == http::MessageError::closed ? lease.record_loss()
                                        : lease.record_response();  // what cannot be read came all the same
    if (fault != http::MessageError::none) co_return end(*ask, k, lost(fault));
    if (run.reads && lease->reader->has_more()) note_kv(*ask, HoldEvent::prefill_answered, k);
    const LoadReport report = protocol_.parse_load_report(head);
    if (run.reads || head.status != 200) {
      std::string body;
      fault = co_await lease->reader->read_body(body);
      if (fault != http::MessageError::none) co_return end(*ask, k, lost(fault));
      if (head.keep_alive) lease.return_to_pool();
      co_return answered(*ask, k, head, std::move(body), report);
    }
    const bool whole = co_await stream(*ask, k, *lease, report);
    if (whole && head.keep_alive) lease.return_to_pool();
    co_return;
  }
}

AttemptFacts Host::facts(const ActiveRequest& ask, const ActiveAttempt& run) const {
  return {.now = loop_.update_now(),
          .decided = run.sent,
          .deadline = run.deadline,
          .begin_by = run.begin_by,
          .not_ready_since = fleet_.at(run.worker).not_ready_since,
          .drain_grace = station_.drain_grace,
          .client_left = ask.client_left_at,
          .ended = run.ended,
          .answered = ask.final != RequestOutcome::none};
}

bool Host::may_begin(const ActiveRequest& ask, const ActiveAttempt& run) {
  const BeginRefusal refusal = refuses_to_begin(facts(ask, run));
  if (refusal == BeginRefusal::none) return true;
  counters_.count_attempt_not_started(to_string(refusal));
  log_.debug("attempt not begun", {{"sequence", ask.brief.id},
                                   {"worker", fleet_.at(run.worker).listed.name},
                                   {"reason", to_string(refusal)}});
  return false;
}

// After the write: whether what the guard left for a hold-up was enough. told: the time that the worker was told.
void Host::check_begun(const ActiveRequest& ask, const ActiveAttempt& run, io::Nanos told) {
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
  return 2 * station_.settings.tick + kOwnPart;
}

AttemptInfo Host::described(const ActiveRequest& ask, int k) const {
  const ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  // Read as the request is about to leave: a deadline that is passed on late would be longer than what the client has left.
  const io::Nanos until = std::min(run.deadline, ask.abandon_at - answer_margin());
  AttemptInfo out{k, run.reads, fleet_.at(run.worker).listed.address, {}, until - loop_.update_now()};
  if (run.takes >= 0) out.kv_transfer_params = ask.runs[static_cast<std::size_t>(run.takes)]->state;
  return out;
}

// In a coroutine of its own: what it builds is gone while the stream flows.
io::Task<io::IoResult> Host::send_to(ActiveRequest& ask, int k, http::Connection& connection) {
  RequestText text;
  const AttemptInfo attempt = described(ask, k);
  ask.talk().build_request(attempt, text);
  const io::IoResult moved = co_await connection.socket.write_all(text.body.parts);
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  run.whole = moved.ok();
  if (moved.bytes > 0) check_begun(ask, run, attempt.timeout);
  co_return moved;
}

void Host::answered(ActiveRequest& ask, int k, const http::Head& head, std::string body,
                    const LoadReport& report) {
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  if (run.ended) return;
  ResponseMeaning meaning = ask.talk().interpret_response(described(ask, k), head, std::move(body));
  if (meaning.is_client_error && ask.final == RequestOutcome::none && ask.bound < 0) {
    ask.engine_refused = true;
    return end(ask, k, Outcome::generated, 0, report);
  }
  if (meaning.outcome == Outcome::kv_missing && run.takes >= 0)
    ask.runs[static_cast<std::size_t>(run.takes)]->holds_state = false;
  if (meaning.outcome == Outcome::prefill_done) {
    run.holds_state = true;
    run.state = std::move(meaning.kv_transfer_params), ask.state_run = k;
  }
  end(ask, k, meaning.outcome, meaning.cached_tokens, report);
}

// Passes a stream on. True when it came to its proper end.
io::Task<bool> Host::stream(ActiveRequest& ask, int k, http::Connection& connection,
                            const LoadReport& at_head) {
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  http::SseParser events;
  LoadReport report = at_head;
  double kept = 0;
  bool last = false;
  http::MessageError fault{};
  while (connection.reader->has_more()) {
    std::span<const std::string_view> pieces;
    fault = co_await connection.reader->read_body_pieces(pieces);
    for (const std::string_view piece : pieces) {
      events.feed(piece);
      while (const auto data = events.next()) {
        // An event, not any byte: half a line and then nothing is a stream that stands still.
        run.heard = loop_.now();
        const StreamEvent heard = ask.talk().interpret_event(*data, run.begun);
        if (!heard.readable || ask.talk().buffered_bytes() > kWhole) {
          end(ask, k, Outcome::error, 0, report);
          co_return false;
        }
        last = last || heard.is_last;
        if (heard.cached_tokens > 0) kept = heard.cached_tokens;
        if (heard.has_content && !run.begun) {
          if (run.ended || ask.bound >= 0 || ask.final != RequestOutcome::none || ask.client_left) {
            end(ask, k, Outcome::cancelled);
            co_return false;
          }
          ask.bound = k, run.begun = true, run.first = loop_.now();
          run.scope.spawn(out_of_life(asks_[static_cast<std::size_t>(ask.seq)], k));
          counters_.observe_first_token(
              type_name(ask), static_cast<double>(loop_.now() - ask.came) / static_cast<double>(io::kSecond));
          put({Input::What::began, asks_[static_cast<std::size_t>(ask.seq)], k, {}, 0, {}, {}});
          ask.talk().stream_started(*data);
        }
        if (!run.begun) continue;
        const std::size_t before = ask.outbox.size();
        ask.talk().forward_event(*data, events.raw_event(), heard, ask.outbox);
        if (ask.outbox.size() > before) ask.news.notify();
      }
      if (events.pending_bytes() > manner_.max_event_bytes) {
        end(ask, k, Outcome::error, 0, report);
        co_return false;
      }
    }
    if (!events.last_comment().empty()) {
      const LoadReport noted = protocol_.parse_load_report(events.last_comment());
      if (noted.received) report = noted;
    }
    if (fault != http::MessageError::none) break;
    if (ask.outbox.size() > kOutbox) co_await wait_for_client(ask, run);
  }
  const bool whole = (last || manner_.complete_without_last_event) && fault == http::MessageError::none &&
                     !connection.reader->has_more();
  if (!whole)
    log_.debug("stream broke", {{"sequence", ask.brief.id},
                                {"attempt", k},
                                {"begun", run.begun ? 1 : 0},
                                {"last_event_came", last ? 1 : 0},
                                {"fault", http::to_string(fault)}});
  end(ask, k, whole && run.begun ? Outcome::generated : lost(fault), kept, report);
  co_return whole;
}

io::Task<> Host::wait_for_client(ActiveRequest& ask, ActiveAttempt& run) {
  run.held_back = true;
  while (ask.outbox.size() > kOutbox) co_await ask.drained.wait();
  run.held_back = false;
  run.heard = loop_.now();
}

// Where each prefill's KV cache is released at its own worker.
void Host::release_prefill(ActiveRequest& ask, int k) {
  ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  run.holds_state = false;
  releaser_.release_at(run.worker, ask.talk().release_request(k, fleet_.at(run.worker).listed.address));
}

// Where one release frees all that is held for a request, the releaser owns it.
void Host::note_kv(ActiveRequest& ask, HoldEvent event, int k) {
  if (!manner_.single_release) return;
  if (k < 0) return releaser_.note(ask.kv.shared(), event);
  const ActiveAttempt& run = *ask.runs[static_cast<std::size_t>(k)];
  releaser_.note_attempt(ask.kv.shared(), event, k, run.worker, run.runs_for);
}

void Host::end_lease(ActiveRequest& ask) {
  if (manner_.single_release) ask.kv.request_over();
}

void Host::trace(ActiveRequest& ask, TraceStep step, int k, const char* detail, std::size_t bytes) {
  const ActiveAttempt* run = k < 0 ? nullptr : ask.runs[static_cast<std::size_t>(k)].get();
  ask.kv->trace.add({.at = loop_.now(),
                     .step = step,
                     .kv = ask.kv->hold.state(),
                     .attempt = static_cast<std::int16_t>(k),
                     .worker = run == nullptr ? -1 : run->worker,
                     .idle_time = run == nullptr ? 0 : run->stood,
                     .bytes = bytes,
                     .detail = detail});
}

void Host::cache_released(const KvLease& lease) {
  for (const std::shared_ptr<ActiveRequest>& ask : asks_)
    if (ask && &*ask->kv == &lease) return put({.what = Input::What::cache_released, .ask = ask, .list = {}});
}

void Host::log_traces() {
  constexpr int kMost = 64;
  int written = 0;
  for (const std::shared_ptr<ActiveRequest>& ask : asks_)
    if (ask && written++ < kMost) traces_.write_unthrottled(ask->brief.id, ask->kv->trace, "asked for");
}

// Clients.

io::Task<> Host::serve(http::Request& request, http::ResponseWriter& answer) {
  RequestInfo brief;
  auto read = protocol_.open_exchange(request, brief);
  if (const Reply* reply = std::get_if<Reply>(&read)) {
    if (reply->is_refusal) counters_.count_refusal(reply->status);
    if (reply->is_refusal && !reply->keep_connection) answer.close_after_response();
    co_await answer.respond(reply->status, reply->fields, reply->body);
    co_return;
  }
  auto& talk = std::get<std::unique_ptr<Exchange>>(read);
  const std::shared_ptr<ActiveRequest> ask = take(std::move(brief), std::move(talk), request.received_at);
  try {
    co_await converse(ask, answer);
  } catch (...) {
    leave(ask);  // nobody waits for it any more
    throw;
  }
}

std::shared_ptr<Host::ActiveRequest> Host::take(RequestInfo brief, std::unique_ptr<Exchange> talk,
                                                io::Nanos came) {
  std::shared_ptr<KvLease> lease = releaser_.open_lease(brief.id, std::move(talk));
  auto ask = std::make_shared<ActiveRequest>(loop_, std::move(brief), releaser_, std::move(lease));
  if (free_.empty()) {
    free_.push_back(static_cast<int>(asks_.size()));
    asks_.emplace_back();
  }
  ask->seq = free_.back();
  free_.pop_back();
  ask->came = came;
  ask->abandon_at = ask->came + ask->brief.time_limit;
  asks_[static_cast<std::size_t>(ask->seq)] = ask;
  counters_.set_active_requests(++live_);
  trace(*ask, TraceStep::taken);
  put({Input::What::came, ask, 0, {}, 0, {}, {}});
  return ask;
}

// The client's side of a sequence, until its answer is written or it has left.
io::Task<> Host::converse(std::shared_ptr<ActiveRequest> of, http::ResponseWriter& answer) {
  ActiveRequest& ask = *of;
  io::Scope watch(loop_);
  watch.spawn(watch_client(of, answer));
  bool begun = false;
  for (;;) {
    if (answer.write_failed()) client_left(of, answer);
    if (ask.client_left) co_return;
    if (!ask.outbox.empty()) {
      if (!std::exchange(begun, true)) answer.begin_stream_deferred(200, protocol_.stream_fields());
      // The two texts change places, each with its room.
      std::swap(ask.outbox, ask.sending);
      co_await answer.write_chunk(ask.sending);
      ask.sending.clear();
      ask.drained.notify();
      continue;
    }
    if (ask.final != RequestOutcome::none) break;
    co_await ask.news.wait();
  }
  watch.cancel();
  co_await conclude(ask, answer, begun);
}

// Guards against attempts that go on for a client that has left while a write to it does not end.
io::Task<> Host::watch_client(std::shared_ptr<ActiveRequest> ask, http::ResponseWriter& answer) {
  co_await answer.wait_for_client_close();
  client_left(ask, answer);
}

bool Host::leave(const std::shared_ptr<ActiveRequest>& ask) {
  if (std::exchange(ask->client_left, true)) return false;
  ask->client_left_at = loop_.now();
  trace(*ask, TraceStep::client_left);
  put({Input::What::client_left, ask, 0, {}, 0, {}, {}});
  ask->drained.notify();
  ask->news.notify();
  return true;
}

void Host::client_left(const std::shared_ptr<ActiveRequest>& ask, http::ResponseWriter& answer) {
  if (!leave(ask)) return;
  counters_.count_answer(type_name(*ask), "left");
  log_.info(answer.write_stalled() ? "client stalled" : "client left",
            {{"sequence", ask->brief.id}, {"answer", to_string(ask->final)}});
  answer.abort();  // a write that waits ends with an error
}

io::Task<> Host::conclude(ActiveRequest& ask, http::ResponseWriter& answer, bool begun) {
  constexpr io::Nanos kAnswerSlack = 500 * io::kMs;
  const bool late = loop_.now() + station_.settings.tick * 4 >= ask.abandon_at;
  const io::Nanos passed_by =
      begun || ask.bound >= 0 ? 0 : loop_.update_now() - ask.abandon_at - kAnswerSlack;
  invariants_.check(core::Invariant::answer_in_time, passed_by <= 0, ask.brief.id, passed_by / io::kMs);
  const FinalResponse closing = ask.talk().final_response(ask.final, late, ask.retry_after);
  if (!begun && !closing.is_stream) {
    if (closing.reply.is_refusal) answer.close_after_response();
    co_await answer.respond(closing.reply.status, closing.reply.fields, closing.reply.body);
    co_return;
  }
  if (!begun) answer.begin_stream_deferred(200, protocol_.stream_fields());
  if (closing.truncate) {
    answer.close_after_response();
    co_return;
  }
  if (closing.close_after) answer.close_after_response();
  co_await answer.end_stream(closing.last_part);
}

}  // namespace cressrill::router
