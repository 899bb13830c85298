#include "hold_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace cressrill::rig::model {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kMaxTransitTime = 30 * kMs;    // of bytes on a link that is not silent
constexpr Nanos kHoldGrace = 300 * kMs;        // by which the hold limit may be exceeded without a breach
constexpr Nanos kAttemptTimeout = 3000 * kMs;  // the router gives an attempt up after this
constexpr Nanos kEventSpacing = 1;             // 1 ns: gives the chosen events distinct times, in their order
constexpr int kPrefillWorkers = 2;
constexpr int kDecodeWorkers = 2;
constexpr std::size_t kMaxAttempts = 5;
constexpr std::uint64_t kFirstWorkerIdentity = 100;

}  // namespace

const char* to_string(EventType type) {
  static constexpr const char* kTexts[] = {
      "time passes",       "prefill written", "decode written", "request arrives", "prefill ends",
      "prefill fails",     "prefill refused", "decode takes",   "decode refused",  "decode breaks",
      "stream ends",       "answer arrives",  "end arrives",    "gives up",        "connection silent",
      "link falls silent", "link passes",     "worker answers", "release wanted",  "release arrives",
      "release confirmed", "request over"};
  return kTexts[static_cast<int>(type)];
}

HoldModel::HoldModel(const ModelOptions& options)
    : options_(options), hold_(options.limit), links_(kPrefillWorkers + kDecodeWorkers) {}

WorkerRef HoldModel::worker_ref(int worker) const {
  return {worker, kFirstWorkerIdentity + static_cast<std::uint64_t>(worker)};
}

// Possible events.

std::vector<Event> HoldModel::possible_events() const {
  std::vector<Event> events = possible_router_events();
  for (std::size_t i = 0; i < attempts_.size(); ++i) add_possible_attempt_events(static_cast<int>(i), events);
  for (std::size_t i = 0; i < links_.size(); ++i) add_possible_link_events(static_cast<int>(i), events);
  for (const int divisor : {20, 4, 2, 1})
    events.push_back({.type = EventType::time_passes, .duration = options_.limit / divisor});
  return events;
}

std::vector<Event> HoldModel::possible_router_events() const {
  std::vector<Event> events;
  if (release_.in_flight)
    events.push_back({release_.arrived ? EventType::release_confirmed : EventType::release_arrives});
  if (request_over_) return events;
  const auto has_in_flight = [this](bool is_prefill) {
    return std::ranges::any_of(attempts_, [=](const Attempt& attempt) {
      return attempt.in_flight && attempt.is_prefill == is_prefill;
    });
  };
  const bool may_write = attempts_.size() < kMaxAttempts && !final_response_started_;
  if (may_write && (!has_in_flight(true) || options_.parallel) && hold_.state() != HoldState::held)
    for (int worker = 0; worker < kPrefillWorkers; ++worker)
      for (const Nanos expected_run_time : {Nanos{0}, options_.limit / 2})
        events.push_back(
            {.type = EventType::prefill_written, .worker = worker, .duration = expected_run_time});
  if (may_write && (!has_in_flight(false) || options_.parallel) && hold_.state() == HoldState::held)
    for (int worker = kPrefillWorkers; worker < kPrefillWorkers + kDecodeWorkers; ++worker)
      events.push_back({.type = EventType::decode_written, .worker = worker});
  if (hold_.needs_release() && !hold_.release_wanted()) events.push_back({EventType::release_wanted});
  if (!attempts_.empty()) events.push_back({EventType::request_over});
  return events;
}

void HoldModel::add_possible_attempt_events(int attempt_index, std::vector<Event>& events) const {
  const Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  const auto add = [&](EventType type) { events.push_back({.type = type, .attempt = attempt_index}); };
  if (!link(attempt).silent && !attempt.silent) {
    if (!attempt.arrived()) add(EventType::request_arrives);
    if (attempt.response != Response::none && !attempt.response_received && attempt.in_flight)
      add(EventType::answer_arrives);
    if (attempt.at_worker() && attempt.given_up_at != kNever) add(EventType::close_arrives);
  }
  if (attempt.at_worker() && attempt.is_prefill) {
    if (now_ - attempt.arrived_at >= attempt.expected_run_time) {
      add(EventType::prefill_ends);
      add(EventType::prefill_fails);
    }
    add(EventType::prefill_refused);
  }
  if (attempt.at_worker() && !attempt.is_prefill) {
    if (attempt.has_taken_kv) {
      add(EventType::stream_ends);
    } else {
      add(EventType::decode_starts);
      add(EventType::decode_refused);
      add(EventType::decode_breaks);
    }
  }
  if (attempt.in_flight && options_.cancelling) add(EventType::router_gives_up);
  if (!attempt.silent && (attempt.in_flight || attempt.at_worker())) add(EventType::connection_falls_silent);
}

void HoldModel::add_possible_link_events(int worker, std::vector<Event>& events) const {
  const Link& link_to_worker = links_[static_cast<std::size_t>(worker)];
  const Nanos caught_up_at = link_to_worker.recovered_at +
                             (link_to_worker.recovered_at - link_to_worker.silent_since) + kMaxTransitTime;
  if (link_to_worker.silent)
    events.push_back({.type = EventType::link_passes, .worker = worker});
  else if (link_to_worker.recovered_at == 0 || now_ >= caught_up_at)
    events.push_back({.type = EventType::link_falls_silent, .worker = worker});
  const bool has_given_up_attempt = std::ranges::any_of(attempts_, [worker](const Attempt& attempt) {
    return attempt.worker == worker && attempt.given_up_at != kNever;
  });
  if (!link_to_worker.silent && has_given_up_attempt)
    events.push_back({.type = EventType::worker_answers, .worker = worker});
}

// Applying events.

void HoldModel::apply(const Event& event) {
  now_ += kEventSpacing;
  switch (event.type) {
    case EventType::time_passes:
      advance_until(now_ + event.duration);
      break;
    case EventType::prefill_written:
    case EventType::decode_written:
      write_attempt(event.type == EventType::prefill_written, event);
      break;
    case EventType::link_falls_silent:
      links_[static_cast<std::size_t>(event.worker)] = {.silent = true, .silent_since = now_};
      break;
    case EventType::link_passes: {
      Link& link_to_worker = links_[static_cast<std::size_t>(event.worker)];
      link_to_worker = {.silent = false, .silent_since = link_to_worker.silent_since, .recovered_at = now_};
      break;
    }
    case EventType::worker_answers:
      hold_.worker_responded({worker_ref(event.worker).identity, now_, now_});
      break;
    case EventType::release_wanted:
      record(HoldEvent::release_wanted);
      break;
    case EventType::release_arrives:
      release_arrives();
      break;
    case EventType::release_confirmed:
      release_confirmed();
      break;
    case EventType::request_over:
      request_over_ = true;
      record(HoldEvent::request_over);
      break;
    case EventType::request_arrives:
      request_arrives(event.attempt);
      break;
    case EventType::answer_arrives:
      answer_arrives(event.attempt);
      break;
    case EventType::router_gives_up:
      give_up(event.attempt);
      break;
    case EventType::connection_falls_silent:
      attempts_[static_cast<std::size_t>(event.attempt)].silent = true;
      break;
    default: {
      Attempt& attempt = attempts_[static_cast<std::size_t>(event.attempt)];
      if (event.type == EventType::prefill_ends) send_response(attempt, Response::done);
      if (event.type == EventType::prefill_fails) send_response(attempt, Response::failed);
      if (event.type == EventType::prefill_refused) send_response(attempt, Response::refused);
      if (event.type == EventType::decode_starts)
        send_response(attempt, held_ ? Response::started : Response::kv_missing);
      if (event.type == EventType::decode_refused) send_response(attempt, Response::refused);
      if (event.type == EventType::decode_breaks) send_response(attempt, Response::broken);
      if (event.type == EventType::stream_ends || event.type == EventType::close_arrives)
        end_at_worker(attempt);
    }
  }
  start_due_release();
  check_rule();
}

void HoldModel::write_attempt(bool is_prefill, const Event& event) {
  attempts_.push_back({.worker = event.worker,
                       .is_prefill = is_prefill,
                       .written_at = now_,
                       .expected_run_time = event.duration});
  record_attempt(is_prefill ? HoldEvent::prefill_written : HoldEvent::decode_written,
                 static_cast<int>(attempts_.size()) - 1, event.duration);
}

void HoldModel::request_arrives(int attempt_index) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  attempt.arrived_at = now_;
  if (attempt.given_up_at != kNever) end_at_worker(attempt);
}

// The worker sends its response, which ends the attempt there unless it is the start of a stream.
void HoldModel::send_response(Attempt& attempt, Response response) {
  attempt.response = response;
  attempt.response_sent_at = now_;
  if (response == Response::started) {
    kv_actions_.push_back({KvAction::Kind::taken, now_, attempt.worker});
    attempt.has_taken_kv = true;
    held_ = false;
    return;
  }
  if (response == Response::done || response == Response::failed) {
    kv_actions_.push_back({KvAction::Kind::held, now_, attempt.worker});
    held_ = held_ || !attempt.released_while_running;
  }
  end_at_worker(attempt);
}

void HoldModel::end_at_worker(Attempt& attempt) { attempt.ended_at = now_; }

void HoldModel::answer_arrives(int attempt_index) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  attempt.response_received = true;
  if (attempt.response == Response::started) {
    final_response_started_ = true;
    return record_attempt(HoldEvent::decode_begun, attempt_index);
  }
  attempt.in_flight = false;
  switch (attempt.response) {
    case Response::done:
      return record_attempt(HoldEvent::prefill_done, attempt_index);
    case Response::failed:
      return record_attempt(HoldEvent::prefill_failed, attempt_index);
    case Response::refused:
      return record_attempt(attempt.is_prefill ? HoldEvent::prefill_refused : HoldEvent::decode_answered,
                            attempt_index);
    case Response::kv_missing:
      return record_attempt(HoldEvent::cache_missing, attempt_index);
    default:
      return record_attempt(HoldEvent::decode_lost, attempt_index);
  }
}

void HoldModel::give_up(int attempt_index) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  attempt.in_flight = false;
  attempt.given_up_at = now_;
  const bool is_streaming = attempt.response == Response::started && attempt.response_received;
  if (!is_streaming)
    record_attempt(attempt.is_prefill ? HoldEvent::prefill_lost : HoldEvent::decode_lost, attempt_index);
}

// A release arrives at the further worker that stays reachable (see hold_model.h). It also makes running
// prefills leave no KV cache. KV cache that a decode attempt waits for is not freed.
void HoldModel::release_arrives() {
  release_.arrived = true;
  release_.arrived_at = now_;
  kv_actions_.push_back({KvAction::Kind::released, now_, -1});
  const bool awaited_by_decode = std::ranges::any_of(attempts_, [](const Attempt& attempt) {
    return !attempt.is_prefill && attempt.at_worker() && !attempt.has_taken_kv;
  });
  if (!awaited_by_decode) held_ = false;
  for (Attempt& attempt : attempts_)
    attempt.released_while_running |= attempt.is_prefill && attempt.at_worker();
}

void HoldModel::release_confirmed() {
  release_.in_flight = false;
  if (hold_.state() == HoldState::releasing) hold_.release_confirmed(release_.written_at);
}

// The router: it reports to KvHold what it observes, and starts releases as KvReleaser does.
void HoldModel::record(HoldEvent event) {
  if (!hold_.record(event, now_))
    report_breach(fmt::format("KvHold rejected {}", cressrill::to_string(event)));
}

void HoldModel::record_attempt(HoldEvent event, int attempt_index, Nanos expected_run_time) {
  const Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  if (!hold_.record_attempt(event, now_, attempt_index, worker_ref(attempt.worker), expected_run_time))
    report_breach(
        fmt::format("KvHold rejected {} of attempt {}", cressrill::to_string(event), attempt_index));
}

void HoldModel::start_due_release() {
  if (!hold_.needs_release() || hold_.release_due() > now_) return;
  if (hold_.state() == HoldState::releasing && release_.in_flight) return;
  if (hold_.state() != HoldState::releasing) record(HoldEvent::release_asked);
  release_ = {.in_flight = true, .written_at = now_};
}

// Simulated time. Events that fall due occur without being chosen: on a link that is not silent, bytes arrive
// within kMaxTransitTime.

Nanos HoldModel::arrives_by(const Attempt& attempt, Nanos sent_at) const {
  const Link& link_to_worker = link(attempt);
  if (link_to_worker.silent || attempt.silent) return kNever;
  const Nanos time_on_silent_link =
      std::max<Nanos>(link_to_worker.recovered_at - std::max(link_to_worker.silent_since, sent_at), 0);
  return std::max(sent_at, link_to_worker.recovered_at) + std::max(time_on_silent_link, kMaxTransitTime);
}

Nanos HoldModel::next_due() const {
  Nanos due = kNever;
  for (const Attempt& attempt : attempts_) {
    if (!attempt.arrived()) due = std::min(due, arrives_by(attempt, attempt.written_at));
    if (attempt.in_flight && attempt.response != Response::none && !attempt.response_received)
      due = std::min(due, arrives_by(attempt, attempt.response_sent_at));
    if (attempt.at_worker() && attempt.given_up_at != kNever)
      due = std::min(due, arrives_by(attempt, attempt.given_up_at));
    if (attempt.in_flight) due = std::min(due, attempt.written_at + kAttemptTimeout);
  }
  if (release_.in_flight)
    due = std::min(due, (release_.arrived ? release_.arrived_at : release_.written_at) + kMaxTransitTime);
  const bool release_pending = hold_.state() == HoldState::releasing && release_.in_flight;
  return release_pending ? due : std::min(due, hold_.release_due());
}

void HoldModel::advance_until(Nanos until) {
  constexpr int kMaxDueSteps = 1000;
  for (int i = 0; !breach_; ++i) {
    const Nanos next = next_due();
    if (next > until) break;
    if (i > kMaxDueSteps) return report_breach("too many due events in one step: possible endless loop");
    now_ = std::max(now_, next);
    apply_due_events();
    start_due_release();
    check_rule();
  }
  now_ = until;
}

void HoldModel::apply_due_events() {
  for (std::size_t i = 0; i < attempts_.size(); ++i) apply_due_events_of(static_cast<int>(i));
  if (!release_.in_flight) return;
  if (!release_.arrived && release_.written_at + kMaxTransitTime <= now_) return release_arrives();
  if (release_.arrived && release_.arrived_at + kMaxTransitTime <= now_) release_confirmed();
}

void HoldModel::apply_due_events_of(int attempt_index) {
  Attempt& attempt = attempts_[static_cast<std::size_t>(attempt_index)];
  if (!attempt.arrived() && arrives_by(attempt, attempt.written_at) <= now_) request_arrives(attempt_index);
  const bool response_in_transit =
      attempt.in_flight && attempt.response != Response::none && !attempt.response_received;
  if (response_in_transit && arrives_by(attempt, attempt.response_sent_at) <= now_)
    answer_arrives(attempt_index);
  if (attempt.at_worker() && attempt.given_up_at != kNever &&
      arrives_by(attempt, attempt.given_up_at) <= now_)
    end_at_worker(attempt);
  if (attempt.in_flight && attempt.written_at + kAttemptTimeout <= now_) give_up(attempt_index);
}

// The hold rule.

void HoldModel::report_breach(std::string breach) {
  if (!breach_) breach_ = std::move(breach);
}

void HoldModel::check_rule() {
  std::vector<AttemptSpan> spans;
  for (const Attempt& attempt : attempts_)
    if (attempt.arrived())
      spans.push_back({attempt.arrived_at, attempt.ended_at, attempt.worker, attempt.is_prefill});
  std::ranges::sort(spans, {}, &AttemptSpan::arrived_at);
  for (const HeldSpan& span : held_spans(spans, kv_actions_, now_))
    if (span.unattended > options_.limit + kHoldGrace)
      report_breach(fmt::format("held for {} ms where {} are allowed", span.unattended / kMs,
                                (options_.limit + kHoldGrace) / kMs));
}

std::string HoldModel::describe() const {
  const Nanos due = hold_.release_due();
  return fmt::format("{:>5} ms  {:<10} release due {}", now_ / kMs, cressrill::to_string(hold_.state()),
                     due == kNever ? "never" : fmt::format("at {} ms", due / kMs));
}

std::size_t HoldModel::hash() const {
  std::size_t result = 0;
  const auto add = [&result](auto value) {
    result = result * 1'000'003 + std::hash<std::int64_t>{}(static_cast<std::int64_t>(value));
  };
  add(now_);
  add(hold_.release_due());
  add(static_cast<int>(hold_.state()));
  for (const Attempt& attempt : attempts_) {
    add(attempt.worker);
    add(attempt.arrived_at);
    add(attempt.ended_at);
    add(attempt.written_at);
    add(static_cast<int>(attempt.response) * 8 + attempt.in_flight * 4 + attempt.response_received * 2 +
        attempt.released_while_running + attempt.silent * 128);
  }
  for (const Link& link : links_) add(link.silent ? link.silent_since + 1 : -link.recovered_at);
  for (const KvAction& action : kv_actions_) add(action.at * 3 + static_cast<int>(action.kind));
  add(release_.in_flight * 4 + release_.arrived * 2 + request_over_);
  return result;
}

}  // namespace cressrill::rig::model
