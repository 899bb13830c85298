#include "host.h"

#include <algorithm>
#include <functional>

namespace cressrill::router {

namespace {

constexpr std::size_t kMaxOutboxBytes = 16 * 1024;      // buffered for one client before its stream is paused
constexpr std::size_t kMaxKeptOutboxBytes = 32 * 1024;  // kept allocated once they were written
// What a request takes beside its text and its response: its coroutines, its trace, the reader of its attempt.
constexpr std::size_t kRequestBytes = 12 * 1024;
// An event that comes in pieces is under way as long as none takes longer than this.
constexpr io::Nanos kEventPieceTimeout = 2 * io::kSecond;
// A final answer that is late by this much no longer waits for the policy, nor for any worker.
constexpr io::Nanos kOverdueAfter = 100 * io::kMs;
constexpr io::Nanos kOverdueCheckInterval = 100 * io::kMs;
constexpr std::size_t kMaxBufferedResponseBytes = 8 * 1024 * 1024;

// Names used in logs and metrics; some differ from the enumerators.
const char* to_string(Outcome outcome) {
  static constexpr const char* names[] = {"generated", "read",      "error",          "full",
                                          "no_state",  "timed_out", "connect_failed", "connection_lost",
                                          "cancelled", "not_sent"};
  return names[static_cast<int>(outcome)];
}

// The outcome of a response that was truncated or could not be parsed. The attempt may have run in both
// cases, but only the first counts as a lost connection.
Outcome outcome_of_error(http::MessageError error) {
  const bool truncated = error == http::MessageError::none || error == http::MessageError::closed;
  return truncated ? Outcome::connection_lost : Outcome::error;
}

// The KV cache event that the end of an attempt implies. may_have_arrived: enough of its request was written
// that it may have arrived and run, even without a response.
HoldEvent hold_event(bool is_prefill, Outcome outcome, bool response_received, bool may_have_arrived) {
  switch (outcome) {
    case Outcome::prefill_done:
      return HoldEvent::prefill_done;
    case Outcome::kv_missing:
      return is_prefill ? HoldEvent::prefill_failed : HoldEvent::cache_missing;
    case Outcome::full:
      return is_prefill ? HoldEvent::prefill_refused : HoldEvent::decode_answered;
    // A request that the worker found invalid also ends as generated, as the client gets the worker's error
    // response. That response does not prove that nothing has run.
    case Outcome::generated:
      return is_prefill ? HoldEvent::prefill_failed : HoldEvent::decode_answered;
    default:
      break;
  }
  if (!may_have_arrived) return is_prefill ? HoldEvent::prefill_refused : HoldEvent::decode_not_run;
  if (outcome == Outcome::error && response_received)
    return is_prefill ? HoldEvent::prefill_failed : HoldEvent::decode_answered;
  return is_prefill ? HoldEvent::prefill_lost : HoldEvent::decode_lost;
}

}  // namespace

const char* to_string(RequestOutcome outcome) {
  static constexpr const char* names[] = {"none",    "generated", "rejected",
                                          "aborted", "broken",    "engine_refused"};
  return names[static_cast<int>(outcome)];
}

Host::Host(io::Loop& loop, const core::RouterConfig& config, core::Log& log, core::Counters& counters,
           Protocol& protocol, std::uint64_t seed, const PolicyFactory& create_policy)
    : loop_(loop),
      config_(config),
      log_(log),
      counters_(counters),
      protocol_(protocol),
      traits_(protocol.traits()),
      invariants_(log, counters),
      fleet_(loop, config, log),
      trace_writer_(loop, log, fleet_),
      releaser_(loop, fleet_, log, counters, invariants_, trace_writer_, config.settings.kv_hold_limit,
                [this](const KvLease& lease) { handle_kv_released(lease); }),
      input_queued_(loop),
      policy_(create_policy(config.settings, seed, loop.now(), *this)),
      wakeups_(loop),
      input_task_(loop),
      deadline_task_(loop) {
  input_task_.spawn(process_inputs());
}

Host::~Host() {
  input_task_.cancel();
  deadline_task_.cancel();
  wakeups_.cancel();
  releaser_.cancel();
  for (const auto& request : requests_)
    if (request)
      for (const auto& attempt : request->attempts) attempt->scope.cancel();
}

// Inputs.

void Host::enqueue(Input input) {
  input_queue_.push_back(std::move(input));
  input_queued_.notify();
}

// An exception from the policy leaves the policy's state undefined, so it terminates the process
// (deliver_or_terminate() is noexcept), which is then restarted.
io::Task<> Host::process_inputs() {
  for (;;) {
    co_await input_queued_.wait();
    while (!input_queue_.empty()) {
      std::swap(input_queue_, input_batch_);
      for (Input& input : input_batch_) deliver_or_terminate(input);
      input_batch_.clear();
    }
  }
}

void Host::deliver_or_terminate(Input& input) noexcept { deliver(input); }

void Host::deliver(Input& input) {
  const Nanos now = loop_.now();
  switch (input.kind) {
    case Input::Kind::list:
      return fleet_.apply_list(*input.list, *policy_);
    case Input::Kind::discovery_unreachable:
      return policy_->discovery_unreachable(now);
    case Input::Kind::wakeup:
      return policy_->on_wakeup(now);
    default:
      break;
  }
  ActiveRequest& request = *input.request;
  if (requests_[static_cast<std::size_t>(request.index)].get() != &request) return;  // forgotten since then
  switch (input.kind) {
    case Input::Kind::arrived:
      policy_->request_arrived(now, request.index, request.info.type, request.info.tenant,
                               request.info.session, request.info.prefix_hash, request.info.prompt_tokens,
                               request.info.prefix_tokens, request.info.max_output_tokens, request.deadline);
      break;
    case Input::Kind::client_left:
      report_request_over(request);
      policy_->client_left(now, request.index);
      // The stream is ended here, as the policy cannot cancel an attempt whose stream has started.
      if (request.streaming_attempt >= 0) end_attempt(request, request.streaming_attempt, Outcome::cancelled);
      break;
    case Input::Kind::stream_started: {
      const ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(input.attempt_index)];
      record_kv_event(request, HoldEvent::decode_begun, input.attempt_index);
      // The decode worker has fetched the KV cache of its source. What other prefills of this request left is
      // no longer needed.
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (static_cast<int>(i) == attempt.kv_source) request.attempts[i]->holds_kv = false;
        if (request.attempts[i]->holds_kv && !traits_.single_release)
          release_prefill(request, static_cast<int>(i));
      }
      // No further attempt will need the body, but another outstanding one may still be writing it.
      if (std::ranges::none_of(request.attempts, [&](const auto& other) {
            return other->outstanding && other.get() != &attempt;
          })) {
        request.exchange().drop_body();
        request.update_memory_charge();
      }
      policy_->stream_started(now, request.index, input.attempt_index, now - attempt.decided_at);
      if (request.client_left) end_attempt(request, input.attempt_index, Outcome::cancelled);
      break;
    }
    case Input::Kind::attempt_ended:
      deliver_attempt_end(request, input);
      break;
    case Input::Kind::kv_released:
      policy_->kv_released(now, request.index);
      break;
    default:
      break;
  }
}

void Host::deliver_attempt_end(ActiveRequest& request, const Input& input) {
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(input.attempt_index)];
  if (!attempt.outstanding) return;
  attempt.outstanding = false;
  attempt.scope.cancel();
  add_trace_entry(request, TraceStep::ended, input.attempt_index, to_string(input.outcome));
  if (attempt.write_started && !attempt.stream_started) {
    const bool may_have_arrived =
        attempt.fully_written || (attempt.write_started && !traits_.partial_request_never_runs);
    record_kv_event(
        request, hold_event(attempt.is_prefill, input.outcome, attempt.response_received, may_have_arrived),
        input.attempt_index);
  }
  if (request.streaming_attempt == input.attempt_index)
    set_outcome(request,
                input.outcome == Outcome::generated ? RequestOutcome::generated : RequestOutcome::broken);
  else if (request.engine_refused && request.outcome == RequestOutcome::none)
    set_outcome(request, RequestOutcome::engine_refused);
  // A prefill that is no longer awaited may leave KV cache that no response would report.
  if (!traits_.single_release && attempt.is_prefill &&
      (input.outcome == Outcome::cancelled || input.outcome == Outcome::timed_out))
    release_prefill(request, input.attempt_index);
  counters_.count_attempt(attempt.is_prefill ? "read" : "write", to_string(input.outcome));
  log_.debug("attempt ended",
             {{"sequence", request.info.id},
              {"attempt", input.attempt_index},
              {"worker", fleet_.at(attempt.worker).listed.name},
              {"stage", attempt.is_prefill ? "read" : "write"},
              {"outcome", to_string(input.outcome)},
              {"after_ms", (attempt.decided_at - request.arrived_at) / io::kMs},
              {"first_ms",
               attempt.first_event_at > 0 ? (attempt.first_event_at - attempt.decided_at) / io::kMs : -1},
              {"took_ms", (loop_.now() - attempt.decided_at) / io::kMs},
              {"connection_stood_ms",
               attempt.connection_idle_time < 0 ? -1 : attempt.connection_idle_time / io::kMs},
              {"kept", input.cached_tokens},
              {"held_there", input.report.requests},
              {"memory_share", input.report.memory_share}});
  policy_->attempt_ended(
      loop_.now(), request.index, input.attempt_index, input.outcome, loop_.now() - attempt.decided_at,
      request.outcome != RequestOutcome::none || request.client_left, input.cached_tokens, input.report);
}

void Host::update_list(const core::WorkerList& list) {
  enqueue({.kind = Input::Kind::list, .request = {}, .list = std::make_shared<const core::WorkerList>(list)});
}
void Host::discovery_unreachable() {
  enqueue({.kind = Input::Kind::discovery_unreachable, .request = {}, .list = {}});
}

// Actions.

void Host::send(int request_index, int worker, AttemptLimits limits) {
  const std::shared_ptr<ActiveRequest>& request = requests_[static_cast<std::size_t>(request_index)];
  const int attempt_index = static_cast<int>(request->attempts.size());
  request->attempts.push_back(
      std::make_unique<ActiveAttempt>(loop_, worker, fleet_.role(worker) == Role::prefill));
  ActiveAttempt& attempt = *request->attempts.back();
  attempt.decided_at = loop_.now();
  attempt.deadline = limits.timeout > 0 ? std::min(request->deadline, attempt.decided_at + limits.timeout)
                                        : request->deadline;
  attempt.write_deadline = limits.write_deadline;
  attempt.assumed_run_time = limits.assumed_run_time;
  add_trace_entry(*request, TraceStep::decided, attempt_index, attempt.is_prefill ? "prefill" : "decode");
  if (!attempt.is_prefill && request->last_kv_attempt >= 0 &&
      request->attempts[static_cast<std::size_t>(request->last_kv_attempt)]->holds_kv)
    attempt.kv_source = request->last_kv_attempt;
  attempt.scope.spawn(run_contained(request, attempt_index, run_attempt(request, attempt_index)));
  attempt.scope.spawn(enforce_deadline(request, attempt_index));
}

void Host::release(int request_index) {
  // With a single release per request, the KvHold of the request's lease decides when it is sent.
  if (traits_.single_release)
    return record_kv_event(*requests_[static_cast<std::size_t>(request_index)], HoldEvent::release_wanted);
  ActiveRequest& request = *requests_[static_cast<std::size_t>(request_index)];
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const bool awaited = std::ranges::any_of(request.attempts, [&](const auto& other) {
      return other->outstanding && !other->end_queued && other->kv_source == static_cast<int>(i);
    });
    if (request.attempts[i]->holds_kv && !awaited) release_prefill(request, static_cast<int>(i));
  }
}

void Host::cancel(int request_index, int attempt_index) {
  ActiveRequest& request = *requests_[static_cast<std::size_t>(request_index)];
  const ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  if (!attempt.stream_started)
    end_attempt(request, attempt_index, attempt.write_started ? Outcome::cancelled : Outcome::not_sent);
}

void Host::reject(int request_index, Nanos retry_after) {
  ActiveRequest& request = *requests_[static_cast<std::size_t>(request_index)];
  request.retry_after = retry_after;
  // A stream that has started is the client's response and cannot be replaced by a rejection.
  if (request.streaming_attempt < 0) set_outcome(request, RequestOutcome::rejected);
}

void Host::abort(int request_index) {
  ActiveRequest& request = *requests_[static_cast<std::size_t>(request_index)];
  if (request.streaming_attempt < 0) set_outcome(request, RequestOutcome::aborted);
}

void Host::request_wakeup(Nanos after) {
  wakeups_.spawn([](Host& host, Nanos at) -> io::Task<> {
    co_await host.loop_.sleep_until(at);
    host.enqueue({.kind = Input::Kind::wakeup, .request = {}, .list = {}});
  }(*this, loop_.now() + after));
}

void Host::forget_request(int request_index) {
  ActiveRequest& request = *requests_[static_cast<std::size_t>(request_index)];
  request.exchange().drop_body();  // a release may still need the other fields
  invariants_.check(core::Invariant::one_final_answer,
                    request.outcome != RequestOutcome::none || request.client_left, request.info.id);
  report_request_over(request);
  requests_[static_cast<std::size_t>(request_index)].reset();
  free_indices_.push_back(request_index);
  counters_.set_active_requests(--live_count_);
}

const std::string& Host::type_name(const ActiveRequest& request) const {
  return config_.type_rules[static_cast<std::size_t>(request.info.type)].name;
}

void Host::set_outcome(ActiveRequest& request, RequestOutcome outcome) {
  if (request.outcome != RequestOutcome::none) return;
  request.outcome = outcome;
  request.updated.notify();
  add_trace_entry(request, TraceStep::settled, -1, to_string(outcome));
  report_request_over(request);
  if (outcome != RequestOutcome::generated && outcome != RequestOutcome::engine_refused &&
      !request.attempts.empty())
    trace_writer_.write(request.info.id, request.kv_lease->trace, "not served after attempts");
  counters_.count_request_outcome(type_name(request), to_string(outcome));
  log_.info("answered", {{"sequence", request.info.id},
                         {"answer", to_string(outcome)},
                         {"type", type_name(request)},
                         {"attempts", request.attempts.size()},
                         {"took_ms", (loop_.now() - request.arrived_at) / io::kMs}});
}

std::vector<Host::WorkerLoad> Host::worker_loads() const {
  std::vector<WorkerLoad> loads;
  for (std::size_t worker = 0; worker < fleet_.entries().size(); ++worker) {
    if (!fleet_.entries()[worker]) continue;
    WorkerLoad load{fleet_.entries()[worker]->listed.name, policy_->expected_load(static_cast<int>(worker)),
                    0};
    for (const auto& request : requests_)
      if (request)
        for (const auto& attempt : request->attempts)
          load.in_flight +=
              attempt->worker == static_cast<int>(worker) && attempt->outstanding && !attempt->stream_started;
    loads.push_back(std::move(load));
  }
  return loads;
}

// Attempts.

void Host::end_attempt(ActiveRequest& request, int attempt_index, Outcome outcome, double cached_tokens,
                       const LoadReport& report) {
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  if (attempt.end_queued) return;
  attempt.end_queued = true;
  enqueue({Input::Kind::attempt_ended,
           requests_[static_cast<std::size_t>(request.index)],
           attempt_index,
           outcome,
           cached_tokens,
           report,
           {}});
}

io::Task<> Host::enforce_deadline(std::shared_ptr<ActiveRequest> request, int attempt_index) {
  const ActiveAttempt& attempt = *request->attempts[static_cast<std::size_t>(attempt_index)];
  if (attempt.write_deadline < attempt.deadline) {
    co_await loop_.sleep_until(attempt.write_deadline);
    // If the last byte has not been written by now, it must not be written any more.
    const bool not_run = !attempt.write_started || traits_.partial_request_never_runs;
    if (!attempt.fully_written)
      co_return end_attempt(*request, attempt_index, not_run ? Outcome::not_sent : Outcome::connection_lost);
  }
  co_await loop_.sleep_until(attempt.deadline);
  if (!attempt.stream_started) end_attempt(*request, attempt_index, Outcome::timed_out);
}

// A started stream has no deadline, but counts as broken once it has made no progress for the stall timeout, as
// its worker hangs (record_progress() says what progress is). Runs from the first event on. Time while reading is paused for a slow client does not
// count, as it says nothing about the worker; a client that
// accepts no data at all is disconnected by the server (http::Server::set_write_stall_timeout()).
io::Task<> Host::enforce_stall_timeout(std::shared_ptr<ActiveRequest> request, int attempt_index) {
  const ActiveAttempt& attempt = *request->attempts[static_cast<std::size_t>(attempt_index)];
  for (;;) {
    const io::Nanos idle_since = attempt.paused_for_client ? loop_.now() : attempt.last_event_at;
    const io::Nanos due =
        std::max(idle_since + config_.stall_timeout, attempt.event_grew_at + kEventPieceTimeout);
    if (loop_.now() >= due) break;
    co_await loop_.sleep_until(due);
  }
  log_.info("stream made no progress", {{"sequence", request->info.id},
                                        {"attempt", attempt_index},
                                        {"worker", fleet_.at(attempt.worker).listed.name},
                                        {"silent_ms", (loop_.now() - attempt.last_event_at) / io::kMs}});
  end_attempt(*request, attempt_index, Outcome::connection_lost);
}

// Runs work. An exception from it ends this attempt alone.
io::Task<> Host::run_contained(std::shared_ptr<ActiveRequest> request, int attempt_index, io::Task<> work) {
  std::exception_ptr thrown;
  try {
    co_await std::move(work);
    co_return;
  } catch (...) {
    thrown = std::current_exception();
  }
  loop_.report_task_failure(thrown);
  const ActiveAttempt& attempt = *request->attempts[static_cast<std::size_t>(attempt_index)];
  end_attempt(*request, attempt_index, attempt.write_started ? Outcome::connection_lost : Outcome::not_sent);
}

io::Task<> Host::run_attempt(std::shared_ptr<ActiveRequest> request, int attempt_index) {
  ActiveAttempt& attempt = *request->attempts[static_cast<std::size_t>(attempt_index)];
  WorkerEntry& worker = fleet_.at(attempt.worker);
  for (;;) {
    http::ConnectionLease lease(worker.pool);
    if (!co_await lease.acquire())
      co_return end_attempt(*request, attempt_index,
                            lease.at_capacity() ? Outcome::not_sent : Outcome::connect_failed);
    attempt.connection_idle_time = lease->reused ? lease->idle_time : -1;
    add_trace_entry(*request, TraceStep::connected, attempt_index);
    if (attempt.is_prefill && request->kv_lease->hold.must_release_before_prefill())
      co_await releaser_.await_release_before_prefill(request->kv_lease.shared());
    if (!may_begin(*request, attempt)) co_return end_attempt(*request, attempt_index, Outcome::not_sent);
    // Recorded before the first byte is written: from then on the worker may hold KV cache.
    attempt.write_started_at = loop_.now();
    if (!std::exchange(attempt.write_started, true))
      record_kv_event(*request, attempt.is_prefill ? HoldEvent::prefill_written : HoldEvent::decode_written,
                      attempt_index);
    const io::IoResult result = co_await write_request(*request, attempt_index, *lease);
    add_trace_entry(*request, TraceStep::written, attempt_index, result.ok() ? "whole" : "in part",
                    result.bytes);
    if (!result.ok()) {
      // If nothing was written on a reused connection, it was stale, and the write is repeated on another
      // one. If part of the request was written, the attempt may be running.
      if (result.bytes == 0 && lease->reused) continue;
      if (result.bytes > 0) lease.record_loss();
      const bool not_run = result.bytes == 0 || traits_.partial_request_never_runs;
      co_return end_attempt(*request, attempt_index,
                            not_run ? Outcome::connect_failed : Outcome::connection_lost);
    }
    http::Head head;
    http::MessageError error = co_await lease->reader->read_head(head);
    attempt.response_received = error != http::MessageError::closed;
    if (attempt.response_received) {
      worker.record_response(attempt.write_started_at, loop_.now());
      add_trace_entry(*request, TraceStep::answered, attempt_index);
    }
    // Even a response that cannot be parsed shows that the connection works.
    error == http::MessageError::closed ? lease.record_loss() : lease.record_response();
    if (error != http::MessageError::none)
      co_return end_attempt(*request, attempt_index, outcome_of_error(error));
    if (attempt.is_prefill && lease->reader->has_more())
      record_kv_event(*request, HoldEvent::prefill_answered, attempt_index);
    const LoadReport report = protocol_.parse_load_report(head);
    if (attempt.is_prefill || head.status != 200) {
      std::string body;
      error = co_await lease->reader->read_body(body);
      if (error != http::MessageError::none)
        co_return end_attempt(*request, attempt_index, outcome_of_error(error));
      if (head.keep_alive) lease.return_to_pool();
      co_return handle_response(*request, attempt_index, head, std::move(body), report);
    }
    const bool complete = co_await relay_stream(*request, attempt_index, *lease, report);
    if (complete && head.keep_alive) lease.return_to_pool();
    co_return;
  }
}

BeginConditions Host::begin_conditions(const ActiveRequest& request, const ActiveAttempt& attempt) const {
  return {.now = loop_.update_now(),
          .decided_at = attempt.decided_at,
          .deadline = attempt.deadline,
          .write_deadline = attempt.write_deadline,
          .not_ready_since = fleet_.at(attempt.worker).not_ready_since,
          .drain_grace = config_.drain_grace,
          .client_left_at = request.client_left_at,
          .ended = attempt.end_queued,
          .has_final_outcome = request.outcome != RequestOutcome::none};
}

bool Host::may_begin(const ActiveRequest& request, const ActiveAttempt& attempt) {
  const BeginRefusal refusal = check_begin(begin_conditions(request, attempt));
  if (refusal == BeginRefusal::none) return true;
  counters_.count_attempt_not_started(to_string(refusal));
  log_.debug("attempt not begun", {{"sequence", request.info.id},
                                   {"worker", fleet_.at(attempt.worker).listed.name},
                                   {"reason", to_string(refusal)}});
  return false;
}

// Checks, after the write, that the margins of check_begin() have covered the delay between that check and
// the write. timeout: the time limit that was sent to the worker.
void Host::check_begin_invariants(const ActiveRequest& request, const ActiveAttempt& attempt,
                                  io::Nanos timeout) {
  using core::Invariant;
  constexpr io::Nanos kClientLeftSlack = 100 * io::kMs;
  constexpr io::Nanos kBudgetSlack = 150 * io::kMs;
  // The policy sets the write deadline at least 120 ms before the end of the window in which workers
  // recognise a repeat.
  constexpr io::Nanos kWindowSlack = 50 * io::kMs + 120 * io::kMs;
  const BeginConditions conditions = begin_conditions(request, attempt);
  const auto check = [&](Invariant invariant, io::Nanos overrun) {
    invariants_.check(invariant, overrun <= 0, request.info.id, overrun / io::kMs);
  };
  if (conditions.client_left_at > 0)
    check(Invariant::client_is_there, conditions.now - conditions.client_left_at - kClientLeftSlack);
  if (conditions.not_ready_since > conditions.decided_at)
    check(Invariant::worker_takes_requests,
          conditions.now - conditions.not_ready_since - conditions.drain_grace);
  if (conditions.write_deadline != kNever)
    check(Invariant::repeat_in_window, conditions.now - conditions.write_deadline - kWindowSlack);
  check(Invariant::deadline_within_budget, timeout - (request.deadline - conditions.now) - kBudgetSlack);
}

// The time reserved for the router's own response before a client's deadline; the policy reserves the same.
io::Nanos Host::response_margin() const {
  constexpr io::Nanos kResponseTime = 10 * io::kMs;
  return 2 * config_.settings.time_granularity + kResponseTime;
}

AttemptInfo Host::attempt_info(const ActiveRequest& request, int attempt_index) const {
  const ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  // The clock is read just before the write: a time limit computed earlier would exceed the client's
  // remaining time.
  const io::Nanos response_due = std::min(attempt.deadline, request.deadline - response_margin());
  AttemptInfo info{attempt_index,
                   attempt.is_prefill,
                   fleet_.at(attempt.worker).listed.address,
                   {},
                   response_due - loop_.update_now()};
  if (attempt.kv_source >= 0)
    info.kv_transfer_params =
        request.attempts[static_cast<std::size_t>(attempt.kv_source)]->kv_transfer_params;
  return info;
}

// A separate coroutine, so that the request text is freed before the response is read.
io::Task<io::IoResult> Host::write_request(ActiveRequest& request, int attempt_index,
                                           http::Connection& connection) {
  RequestText text;
  const AttemptInfo info = attempt_info(request, attempt_index);
  request.exchange().build_request(info, text);
  const io::IoResult result = co_await connection.socket.write_all(text.body.parts);
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  attempt.fully_written = result.ok();
  if (result.bytes > 0) check_begin_invariants(request, attempt, info.timeout);
  co_return result;
}

void Host::handle_response(ActiveRequest& request, int attempt_index, const http::Head& head,
                           std::string body, const LoadReport& report) {
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  if (attempt.end_queued) return;
  ResponseMeaning meaning =
      request.exchange().interpret_response(attempt_info(request, attempt_index), head, std::move(body));
  if (meaning.is_client_error && request.outcome == RequestOutcome::none && request.streaming_attempt < 0) {
    request.engine_refused = true;
    return end_attempt(request, attempt_index, Outcome::generated, 0, report);
  }
  if (meaning.outcome == Outcome::kv_missing && attempt.kv_source >= 0)
    request.attempts[static_cast<std::size_t>(attempt.kv_source)]->holds_kv = false;
  if (meaning.outcome == Outcome::prefill_done) {
    attempt.holds_kv = true;
    attempt.kv_transfer_params = std::move(meaning.kv_transfer_params);
    request.last_kv_attempt = attempt_index;
  }
  end_attempt(request, attempt_index, meaning.outcome, meaning.cached_tokens, report);
}

// Relays a response stream to the client's outbox. Returns whether the stream was complete.
io::Task<bool> Host::relay_stream(ActiveRequest& request, int attempt_index, http::Connection& connection,
                                  const LoadReport& initial_report) {
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  http::SseParser sse_parser;
  LoadReport report = initial_report;
  double cached_tokens = 0;
  bool last_event_received = false;
  http::MessageError error{};
  while (connection.reader->has_more()) {
    std::span<const std::string_view> pieces;
    error = co_await connection.reader->read_body_pieces(pieces);
    for (const std::string_view piece : pieces) {
      sse_parser.feed(piece);
      while (const auto data = sse_parser.next()) {
        record_progress(attempt, sse_parser, true);
        const StreamEvent event = request.exchange().interpret_event(*data, attempt.stream_started);
        if (!event.readable || request.exchange().buffered_bytes() > kMaxBufferedResponseBytes) {
          end_attempt(request, attempt_index, Outcome::error, 0, report);
          co_return false;
        }
        last_event_received = last_event_received || event.is_last;
        if (event.cached_tokens > 0) cached_tokens = event.cached_tokens;
        if (event.has_content && !attempt.stream_started) {
          if (attempt.end_queued || request.streaming_attempt >= 0 ||
              request.outcome != RequestOutcome::none || request.client_left) {
            end_attempt(request, attempt_index, Outcome::cancelled);
            co_return false;
          }
          request.streaming_attempt = attempt_index;
          attempt.stream_started = true;
          attempt.first_event_at = loop_.now();
          attempt.scope.spawn(
              enforce_stall_timeout(requests_[static_cast<std::size_t>(request.index)], attempt_index));
          counters_.observe_first_token(
              type_name(request),
              static_cast<double>(loop_.now() - request.arrived_at) / static_cast<double>(io::kSecond));
          enqueue({Input::Kind::stream_started,
                   requests_[static_cast<std::size_t>(request.index)],
                   attempt_index,
                   {},
                   0,
                   {},
                   {}});
          request.exchange().stream_started(*data);
        }
        if (!attempt.stream_started) continue;
        const std::size_t size_before = request.outbox.size();
        request.exchange().forward_event(*data, sse_parser.raw_event(), event, request.outbox);
        if (request.outbox.size() > size_before) request.updated.notify();
      }
      record_progress(attempt, sse_parser, false);
      if (sse_parser.pending_bytes() > traits_.max_event_bytes) {
        end_attempt(request, attempt_index, Outcome::error, 0, report);
        co_return false;
      }
    }
    if (!sse_parser.last_comment().empty()) {
      const LoadReport update = protocol_.parse_load_report(sse_parser.last_comment());
      if (update.received) report = update;
    }
    if (error != http::MessageError::none) break;
    request.update_memory_charge(sse_parser.memory_bytes());
    request.account.request_growth(0, loop_.now());  // sheds other accounts if the budget is exceeded
    if (request.outbox.size() > kMaxOutboxBytes) co_await wait_for_client(request, attempt);
  }
  const bool complete = (last_event_received || traits_.complete_without_last_event) &&
                        error == http::MessageError::none && !connection.reader->has_more();
  if (!complete)
    log_.info("stream broke", {{"sequence", request.info.id},
                               {"attempt", attempt_index},
                               {"worker", fleet_.at(attempt.worker).listed.name},
                               {"begun", attempt.stream_started ? 1 : 0},
                               {"last_event_came", last_event_received ? 1 : 0},
                               {"fault", http::to_string(error)}});
  end_attempt(request, attempt_index,
              complete && attempt.stream_started ? Outcome::generated : outcome_of_error(error),
              cached_tokens, report);
  co_return complete;
}

// Progress of a stream is an event that is complete, or more bytes of an event under way, which only extend
// the time while they go on coming: the client sees nothing of them. Comments, empty lines and what surrounds
// chunks are no progress, and a chunk that no body can hold ends the stream before its data.
void Host::record_progress(ActiveAttempt& attempt, const http::SseParser& parser, bool event_completed) {
  const std::size_t under_way = event_completed ? 0 : parser.pending_event_bytes();
  if (event_completed) attempt.last_event_at = loop_.now();
  if (under_way > attempt.event_under_way) attempt.event_grew_at = loop_.now();
  attempt.event_under_way = under_way;
}

void Host::ActiveRequest::update_memory_charge(std::size_t parser_bytes) {
  memory_charge.resize(kRequestBytes + exchange().request_bytes() + outbox.capacity() + sending.capacity() +
                       parser_bytes);
}

// Ends requests whose final answer is overdue. The policy answers in time by itself; this holds whatever write,
// read or worker an attempt waits for.
io::Task<> Host::enforce_final_answers() {
  while (live_count_ > 0) {
    co_await loop_.sleep_for(kOverdueCheckInterval);
    for (const std::shared_ptr<ActiveRequest>& request : requests_)
      if (request && loop_.now() >= request->deadline + kOverdueAfter) end_overdue(*request);
  }
}

void Host::end_overdue(ActiveRequest& request) {
  if (request.outcome != RequestOutcome::none || request.streaming_attempt >= 0 || request.client_left)
    return;
  log_.warn("answer overdue", {{"sequence", request.info.id}, {"attempts", request.attempts.size()}});
  set_outcome(request, RequestOutcome::aborted);
  for (std::size_t i = 0; i < request.attempts.size(); ++i)
    if (request.attempts[i]->outstanding) end_attempt(request, static_cast<int>(i), Outcome::timed_out);
}

// Pauses reading until the client has taken enough of the buffered events.
io::Task<> Host::wait_for_client(ActiveRequest& request, ActiveAttempt& attempt) {
  attempt.paused_for_client = true;
  while (request.outbox.size() > kMaxOutboxBytes) co_await request.outbox_drained.wait();
  attempt.paused_for_client = false;
  attempt.last_event_at = loop_.now();
}

// Releases the KV cache of one prefill at its own worker (see Protocol::Traits::single_release).
void Host::release_prefill(ActiveRequest& request, int attempt_index) {
  ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  attempt.holds_kv = false;
  releaser_.release_at(attempt.worker, request.exchange().release_request(
                                           attempt_index, fleet_.at(attempt.worker).listed.address));
}

// Forwards a KV cache event to the releaser, if the protocol releases a request's KV cache through its lease.
void Host::record_kv_event(ActiveRequest& request, HoldEvent event, int attempt_index) {
  if (!traits_.single_release) return;
  if (attempt_index < 0) return releaser_.record(request.kv_lease.shared(), event);
  const ActiveAttempt& attempt = *request.attempts[static_cast<std::size_t>(attempt_index)];
  releaser_.record_attempt(request.kv_lease.shared(), event, attempt_index, attempt.worker,
                           attempt.assumed_run_time);
}

void Host::report_request_over(ActiveRequest& request) {
  if (traits_.single_release) request.kv_lease.request_over();
}

void Host::add_trace_entry(ActiveRequest& request, TraceStep step, int attempt_index, const char* detail,
                           std::size_t bytes) {
  const ActiveAttempt* attempt =
      attempt_index < 0 ? nullptr : request.attempts[static_cast<std::size_t>(attempt_index)].get();
  request.kv_lease->trace.add({.at = loop_.now(),
                               .step = step,
                               .kv = request.kv_lease->hold.state(),
                               .attempt = static_cast<std::int16_t>(attempt_index),
                               .worker = attempt == nullptr ? -1 : attempt->worker,
                               .idle_time = attempt == nullptr ? 0 : attempt->connection_idle_time,
                               .bytes = bytes,
                               .detail = detail});
}

void Host::handle_kv_released(const KvLease& lease) {
  for (const std::shared_ptr<ActiveRequest>& request : requests_)
    if (request && &*request->kv_lease == &lease)
      return enqueue({.kind = Input::Kind::kv_released, .request = request, .list = {}});
}

void Host::log_traces() {
  constexpr int kMaxTraces = 64;
  int written = 0;
  for (const std::shared_ptr<ActiveRequest>& request : requests_)
    if (request && written++ < kMaxTraces)
      trace_writer_.write_unthrottled(request->info.id, request->kv_lease->trace, "asked for");
}

// Clients.

io::Task<> Host::serve(http::Request& http_request, http::ResponseWriter& response) {
  RequestInfo info;
  auto open_result = protocol_.begin_exchange(http_request, info);
  if (const Reply* reply = std::get_if<Reply>(&open_result)) {
    if (reply->is_refusal) counters_.count_refusal(reply->status);
    if (reply->is_refusal && !reply->keep_connection) response.close_after_response();
    co_await response.respond(reply->status, reply->fields, reply->body);
    co_return;
  }
  auto& exchange = std::get<std::unique_ptr<Exchange>>(open_result);
  const std::shared_ptr<ActiveRequest> request =
      add_request(std::move(info), std::move(exchange), http_request.received_at);
  http_request.body_charge.resize(http_request.body.capacity());  // the exchange has taken the body
  try {
    co_await serve_client(request, response);
  } catch (...) {
    mark_client_left(request);  // nobody will read the response
    throw;
  }
}

std::shared_ptr<Host::ActiveRequest> Host::add_request(RequestInfo info, std::unique_ptr<Exchange> exchange,
                                                       io::Nanos arrived_at) {
  std::shared_ptr<KvLease> lease = releaser_.open_lease(info.id, std::move(exchange));
  auto request =
      std::make_shared<ActiveRequest>(loop_, budget_, std::move(info), releaser_, std::move(lease));
  request->account.set_peer(request->info.id);
  request->update_memory_charge();
  if (free_indices_.empty()) {
    free_indices_.push_back(static_cast<int>(requests_.size()));
    requests_.emplace_back();
  }
  request->index = free_indices_.back();
  free_indices_.pop_back();
  request->arrived_at = arrived_at;
  request->deadline = request->arrived_at + request->info.time_limit;
  requests_[static_cast<std::size_t>(request->index)] = request;
  counters_.set_active_requests(++live_count_);
  if (deadline_task_.empty()) deadline_task_.spawn(enforce_final_answers());
  add_trace_entry(*request, TraceStep::taken);
  enqueue({Input::Kind::arrived, request, 0, {}, 0, {}, {}});
  return request;
}

// Writes the stream's events and the final response to the client, unless the client leaves before the end.
io::Task<> Host::serve_client(std::shared_ptr<ActiveRequest> shared_request, http::ResponseWriter& response) {
  ActiveRequest& request = *shared_request;
  io::Scope client_watch(loop_);
  client_watch.spawn(watch_client(shared_request, response));
  request.account.set_shed_handler([&response] { response.abort(); });
  bool stream_started = false;
  for (;;) {
    if (response.write_failed()) handle_client_left(shared_request, response);
    if (request.client_left) co_return;
    if (!request.outbox.empty()) {
      if (!std::exchange(stream_started, true))
        response.begin_stream_deferred(200, protocol_.stream_fields());
      // Swapped rather than copied, so that both strings keep their capacity.
      std::swap(request.outbox, request.sending);
      request.account.set_sheddable(memory::Sheddable::next);
      co_await response.write_chunk(request.sending);
      request.account.set_sheddable(memory::Sheddable::never);
      request.account.record_progress(loop_.now());
      request.sending.clear();
      if (request.sending.capacity() > kMaxKeptOutboxBytes) std::string().swap(request.sending);
      request.outbox_drained.notify();
      continue;
    }
    if (request.outcome != RequestOutcome::none) break;
    co_await request.updated.wait();
  }
  client_watch.cancel();
  request.account.set_shed_handler({});
  co_await send_final_response(request, response, stream_started);
}

// Detects that the client has left even while a write to it is blocked, so that its attempts are ended.
io::Task<> Host::watch_client(std::shared_ptr<ActiveRequest> request, http::ResponseWriter& response) {
  for (;;) {
    const bool closed = co_await response.wait_for_client_close();
    if (closed) break;
    const bool may_send_more = co_await response.read_ahead();
    if (!may_send_more) break;
  }
  handle_client_left(request, response);
}

// Returns false if the client had already left.
bool Host::mark_client_left(const std::shared_ptr<ActiveRequest>& request) {
  if (std::exchange(request->client_left, true)) return false;
  request->client_left_at = loop_.now();
  add_trace_entry(*request, TraceStep::client_left);
  enqueue({Input::Kind::client_left, request, 0, {}, 0, {}, {}});
  request->outbox_drained.notify();
  request->updated.notify();
  return true;
}

void Host::handle_client_left(const std::shared_ptr<ActiveRequest>& request, http::ResponseWriter& response) {
  if (!mark_client_left(request)) return;
  counters_.count_request_outcome(type_name(*request), "left");
  log_.info(response.write_stalled() ? "client stalled" : "client left",
            {{"sequence", request->info.id}, {"answer", to_string(request->outcome)}});
  response.abort();  // a pending write ends with an error
}

io::Task<> Host::send_final_response(ActiveRequest& request, http::ResponseWriter& response,
                                     bool stream_started) {
  constexpr io::Nanos kResponseSlack = 500 * io::kMs;
  const bool late = loop_.now() + config_.settings.time_granularity * 4 >= request.deadline;
  const io::Nanos overrun = stream_started || request.streaming_attempt >= 0
                                ? 0
                                : loop_.update_now() - request.deadline - kResponseSlack;
  invariants_.check(core::Invariant::answer_in_time, overrun <= 0, request.info.id, overrun / io::kMs);
  const FinalResponse final_response =
      request.exchange().final_response(request.outcome, late, request.retry_after);
  if (!stream_started && !final_response.is_stream) {
    if (final_response.reply.is_refusal) response.close_after_response();
    co_await response.respond(final_response.reply.status, final_response.reply.fields,
                              final_response.reply.body);
    co_return;
  }
  if (!stream_started) response.begin_stream_deferred(200, protocol_.stream_fields());
  if (final_response.truncate) {
    response.truncate();
    co_return;
  }
  if (final_response.close_after) response.close_after_response();
  co_await response.end_stream(final_response.last_part);
}

}  // namespace cressrill::router
