// The routing policy: it decides which worker gets each attempt, and when to queue, retry, reject or release.
// A host creates one Policy per router with make_policy() and calls it once per input; the decisions are
// passed to Actions before the call returns. policy.h declares both interfaces, state.h the state,
// deployment.h the settings.
//
// Every input but discovery_unreachable() ends with run(), which applies the two lists of transitions
// (worker_transitions and request_transitions) until none applies. A worker list counts as one input, which
// list_ends() completes. The ordinary path follows docs/design.md. A comment says "Guards against" where code
// protects that path from failures, and "Differs from the design" where it departs from that page.
//
// The five rules that a router must keep, which comments refer to by number ("rule 1"):
//   rule 1  each accepted request gets exactly one final response, before its deadline
//   rule 2  no effect happens twice: a request that may have run is repeated only as its traffic type allows
//   rule 3  a worker that drains or is gone gets no new work
//   rule 4  all routers together do not overload a worker in slow start
//   rule 5  KV cache is held no longer than the limit, and none is leaked
#include "policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace cressrill {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;
// How often transitions that depend on the time are evaluated.
constexpr Nanos kWakeupInterval = 10 * kMs;
// Lifetime of an entry in the table of prefix holders: about that of a session. Also the decay time of tenant
// arrivals, and how long a worker that is gone is remembered.
constexpr Nanos kPrefixHolderLifetime = 60 * kSecond;
// Decay time of learned values: long compared with a prefill or a generation.
constexpr Nanos kLearningDecayTime = 10 * kSecond;
// Time constant with which the number of other routers' requests, estimated from a load report, decays to the
// average of the reporting workers. Reported memory decays with kLearningDecayTime.
constexpr Nanos kLoadReportDecayTime = kSecond;
// Speed and size of an assumed short prefill, which the fit of prefill times starts from. It and a point at
// zero each keep the weight of one measurement.
constexpr double kInitialTokensPerSecond = 10'000;
constexpr double kInitialPrefillTokens = 1'000;
// A prefill worker is assumed to be as fast as the fleet until its own prefills show otherwise. The
// assumption has the weight of measured prefills of this total duration.
constexpr double kWorkerSpeedPriorSeconds = 0.2;
// Prefill workers whose scores differ by less than this share of a prefill's time count as equal.
constexpr double kTieShareOfPrefillTime = 0.1;
// Decode workers whose memory use differs by less than this share of their memory count as equal.
constexpr double kTieShareOfDecodeMemory = 0.25;
// Above this share of memory, engines preempt their newest generations and queue them again.
constexpr double kMaxDecodeMemoryShare = 0.92;
// Share of other routers' requests at a prefill worker that still need their prefill; the KV cache of the
// rest waits to be fetched.
constexpr double kOthersQueuedShare = 0.5;
// Weight of a new sample in a smoothed wait.
constexpr double kSmoothingWeight = 0.1;
// Margin for a delayed write of a repeat. The host's check of the written repeat tolerates another 50 ms.
constexpr Nanos kSendDelayMargin = 120 * kMs;
// An attempt is overdue after this multiple of its expected duration plus the grace, which covers a pause, a
// lost packet or a handshake.
constexpr double kOverdueFactor = 3;
constexpr Nanos kOverdueGrace = 250 * kMs;
// How long nothing is sent to a worker that was full or unreachable: about the time until one of its running
// generations ends.
constexpr Nanos kWorkerBackoff = 150 * kMs;
// Failure score at which a worker is ejected. Each failure adds to the score and each success halves it.
constexpr double kEjectionScore = 2;
// Ejection time: a fixed part, plus a random part of up to kEjectionJitter.
constexpr Nanos kEjectionTime = 2 * kSecond;
constexpr Nanos kEjectionJitter = kSecond;
// Initial limit per router on requests in flight, from the start of their prefill to their first token. While
// latency pressure is low and the limit is used, each started stream raises it by 1 / limit.
constexpr double kInitialInFlightLimit = 8;
// Lower bound of that limit: this many requests per router, or this many per prefill worker divided among the
// routers if that is more. Less would leave prefill workers idle.
constexpr double kMinInFlightLimit = 1;
// The limit is reduced by this factor, at most once per interval.
constexpr double kLimitReductionFactor = 0.7;
constexpr Nanos kMinLimitReductionInterval = 500 * kMs;
// Share of the latency SLO that a request may spend in the queue.
constexpr double kQueueTimeShareOfSlo = 0.2;
// Share of the latency SLO that may pass between the start of the prefill and the first token.
constexpr double kFirstTokenShareOfSlo = 0.5;
// Weight of a new sample in the latency pressure: several streams move it noticeably, a single one does not.
constexpr double kPressureSampleWeight = 0.2;
// Average number of prefill workers per zone that cache the same prefix: enough for the load of a popular
// prefix, and few enough that all prefixes stay cached.
constexpr double kPrefixReplicas = 8;
// Share of the tokens beyond the shared prefix that a session's home worker is expected to have cached.
constexpr double kHomeCachedShare = 0.8;
// A prefill worker whose speed differs from the fleet's by less than this factor counts as equally fast, as
// measured waits are noisy.
constexpr double kSpeedNoiseFactor = 2;
// Share of a cold worker's load budget that is used; the rest is margin, as every router only estimates its
// part.
constexpr double kColdBudgetShare = 0.5;

double seconds(Nanos duration) { return static_cast<double>(duration) / static_cast<double>(kSecond); }
Nanos nanos_from_seconds(double duration_seconds) {
  return static_cast<Nanos>(duration_seconds * static_cast<double>(kSecond));
}
double decay(Nanos elapsed, Nanos decay_time = kLearningDecayTime) {
  return std::exp(-seconds(elapsed) / seconds(decay_time));
}
void smooth(double& value, double sample) { value += kSmoothingWeight * (sample - value); }
void add_sample(RunningMean& mean, double sample) {
  mean.samples += 1;
  mean.value += std::max(kSmoothingWeight, 1 / mean.samples) * (sample - mean.value);
}

class RoutingPolicy final : public Policy {
 public:
  RoutingPolicy(const PolicySettings& settings, std::uint64_t seed, Nanos now, Actions& actions)
      : settings_(settings), actions_(actions), now_(now) {
    state_.random_state = seed;
    state_.random_increment = seed << 1 | 1;
    state_.in_flight_limit = kInitialInFlightLimit;
    state_.mean_prefill_tokens = kInitialPrefillTokens;
    state_.mean_first_token_seconds = seconds(kOverdueGrace);
    state_.mean_prefill_seconds = seconds(kOverdueGrace);
    state_.tenant_arrivals.resize(settings_.tenant_rates.size());
    state_.tenant_updated_at.resize(settings_.tenant_rates.size());
    state_.subscribed_at = now - settings_.subscription_lifetime;
  }

  void list_begins(Nanos now, bool complete) override {
    now_ = now;
    if (complete)
      for (Worker& worker : state_.workers) worker.status = WorkerStatus::gone;
  }

  void worker_listed(int worker_index, std::uint64_t identity, WorkerStatus status, Nanos started_at,
                     int kind, int zone, int cell) override {
    if (worker_index >= static_cast<int>(state_.workers.size()))
      state_.workers.resize(static_cast<std::size_t>(worker_index) + 1);
    Worker& worker = worker_at(worker_index);
    if (!worker.known) {
      worker = {.known = true, .identity = identity, .started_at = started_at, .cache_valid_since = now_};
      worker.cold_since = started_at > 0 ? started_at : kNever;
    } else if (started_at > worker.started_at) {
      // It has restarted: its cache is empty, it is cold, and earlier failures no longer count.
      worker.started_at = started_at;
      worker.cache_valid_since = started_at;
      if (worker.cold_since == kNever || worker.cold_since < started_at) worker.cold_since = started_at;
      if (worker.ejected_until > now_) worker.ejected_until = now_;
      worker.reported_memory_share = -1;
      worker.reported_requests = -1;
    }
    worker.status = status;
    worker.kind = kind;
    worker.zone = zone;
    worker.cell = cell;
    worker.role = settings_.kinds[static_cast<std::size_t>(kind)].role;
  }

  void list_ends() override {
    state_.worker_counts = {};
    for (int worker_index = 0; worker_index < static_cast<int>(state_.workers.size()); ++worker_index) {
      Worker& worker = worker_at(worker_index);
      if (worker.status != WorkerStatus::gone) worker.gone_since = 0;
      if (worker.known && worker.status == WorkerStatus::gone) forget_gone_worker(worker_index);
      if (!is_ready(worker)) continue;
      const std::size_t role_index = worker.role == Role::prefill;  // 0: decode and mixed, 1: prefill
      state_.worker_counts.ready[role_index].push_back(worker_index);
      ++state_.worker_counts.in_zone[role_index][worker.zone];
      ++state_.worker_counts.in_cell[role_index][worker.zone][worker.cell];
    }
    while (!state_.queue.empty()) unpark(state_.queue.back());
    run();
  }

  // Needs no decision: the next run() renews the subscription when that is due.
  void discovery_unreachable(Nanos now) override { now_ = now; }

  void request_arrived(Nanos now, int request_index, int type, int tenant, std::uint64_t session,
                       std::uint64_t prefix_hash, double prompt_tokens, double prefix_tokens,
                       double max_output_tokens, Nanos deadline) override {
    now_ = now;
    if (request_index >= static_cast<int>(state_.requests.size()))
      state_.requests.resize(static_cast<std::size_t>(request_index) + 1);
    RequestState& request = state_.requests[static_cast<std::size_t>(request_index)];
    const TrafficType& traffic_type = settings_.types[static_cast<std::size_t>(type)];
    request = RequestState{};
    request.id = request_index;
    request.type = type;
    request.within_tenant_share = take_tenant_share(tenant);
    request.admission_draw = random();
    request.session = session;
    request.prefix_hash = prefix_hash;
    request.prefix_tokens = prefix_tokens;
    request.prompt_tokens = prompt_tokens;
    request.max_output_tokens = max_output_tokens;
    request.arrived_at = now;
    request.deadline = deadline;
    request.slo_deadline =
        now + traffic_type.slo +
        nanos_from_seconds(prompt_tokens / 1000 * seconds(traffic_type.slo_per_1000_tokens));
    request.kv_held_since = kNever;
    request.uncached_tokens = uncached_tokens(request);
    request.arrival_order = state_.arrivals++;
    state_.active.push_back(request_index);
    run();
  }

  void client_left(Nanos now, int request_index) override {
    now_ = now;
    finish(unpark(request_index));
    run();
  }

  void stream_started(Nanos now, int request_index, int attempt_index, Nanos elapsed) override {
    now_ = now;
    RequestState& request = unpark(request_index);
    Attempt& attempt = request.attempts[static_cast<std::size_t>(attempt_index)];
    Worker& worker = worker_at(attempt.worker);
    --worker.pending_attempts;
    ++state_.recent_successes[0];  // [0]: decode
    attempt.stream_started = true;
    // An abandoned attempt whose stream starts is used after all: if the stream breaks, the client still
    // needs a final response.
    attempt.abandoned = false;
    record_success(worker);
    clear_kv_held(request);
    smooth(state_.mean_first_token_seconds, seconds(elapsed));
    if (request.stage == Stage::finished) return run();
    // Guards against queues that build up (because prompts are no longer cached, generations are long or
    // workers are lost) at workers that never report being full: a request that was sent should start to
    // stream within its part of the latency SLO. If it does not, further requests wait in this router's
    // queue.
    state_.latency_pressure +=
        kPressureSampleWeight *
        (seconds(now - request.dequeued_at) / seconds(request.slo_deadline - request.arrived_at) -
         state_.latency_pressure);
    if (state_.latency_pressure > kFirstTokenShareOfSlo)
      reduce_in_flight_limit();
    else if (in_flight() * 2 >= state_.in_flight_limit)
      state_.in_flight_limit += 1 / state_.in_flight_limit;  // one more per limit's worth of streams
    set_stage(request, Stage::streaming);
    run();
  }

  void attempt_ended(Nanos now, int request_index, int attempt_index, Outcome outcome, Nanos elapsed,
                     bool request_over, double cached_tokens, const LoadReport& report) override {
    now_ = now;
    RequestState& request = unpark(request_index);
    Attempt& attempt = request.attempts[static_cast<std::size_t>(attempt_index)];
    Worker& worker = worker_at(attempt.worker);
    attempt.outstanding = false;
    if (!attempt.stream_started) --worker.pending_attempts;
    double& worker_tokens = attempt.is_prefill ? worker.prefill_tokens : worker.decode_tokens;
    worker_tokens = std::max(0.0, worker_tokens - attempt.load_tokens);
    const bool no_response_since_sent = worker.last_response_at < attempt.sent_at;
    attempt.full_or_timed_out = outcome == Outcome::full || outcome == Outcome::timed_out;
    if (report.received) record_report(worker, report);
    record_outcome(worker, outcome, no_response_since_sent, attempt.abandoned);
    watch(attempt.worker);
    if (outcome == Outcome::prefill_done) record_prefill(request, attempt, worker, elapsed, cached_tokens);
    // A timed-out attempt would have taken at least this long. If that were not learned, timeouts would stay
    // too short under congestion.
    if (outcome == Outcome::timed_out && !attempt.is_prefill)
      smooth(state_.mean_first_token_seconds, seconds(elapsed));
    if (outcome == Outcome::timed_out && attempt.is_prefill)
      learn_from_late_prefill(attempt, worker, seconds(elapsed));
    if (outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost ||
        outcome == Outcome::cancelled)
      (attempt.is_prefill ? attempt.may_have_left_kv : request.maybe_ran) = true;
    if (outcome == Outcome::timed_out && !no_response_since_sent) reduce_in_flight_limit();
    if (request_over) finish(request);
    if (request.stage != Stage::finished && !attempt.abandoned)
      retry_after_failure(request, attempt, outcome);
    // Rule 5: an attempt that never reached its worker does not restart the time for which KV cache may be
    // held.
    const bool reached_worker = outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
    if (request.kv_held_since != kNever && reached_worker) request.kv_held_since = now;
    run();
  }

  void on_wakeup(Nanos now) override {
    now_ = now;
    run();
  }

  // The prefill is repeated: a decode attempt sent now would find no KV cache, and an outstanding prefill
  // will leave none. An outstanding decode attempt may still get the KV cache.
  void kv_released(Nanos now, int request_index) override {
    now_ = now;
    RequestState& request = unpark(request_index);
    clear_kv_held(request);
    if (request.stage == Stage::prefilling) {
      learn_from_voided_prefills(request);
      abandon_attempts(request);
    }
    if (request.stage == Stage::prefilling || request.stage == Stage::prefilled)
      set_stage(request, Stage::queued);
    run();
  }

  ExpectedLoad expected_load(int worker) const override {
    return {worker_at(worker).pending_attempts, worker_at(worker).kv_entries};
  }

 private:
  // A condition on a worker or request, and the action to take while it holds.
  template <class Subject>
  struct Transition {
    bool (RoutingPolicy::*condition)(const Subject&) const;
    void (RoutingPolicy::*action)(Subject&);
  };

  // Applies the transitions, each list in its order, until none applies. Then parks the requests that need no
  // attention.
  void run() {
    static constexpr std::array<Transition<Worker>, 2> worker_transitions{{
        {&RoutingPolicy::is_silent, &RoutingPolicy::eject_and_abandon_attempts},
        {&RoutingPolicy::fails_too_often, &RoutingPolicy::eject},
    }};
    static constexpr std::array<Transition<RequestState>, 8> request_transitions{{
        {&RoutingPolicy::has_needless_attempts, &RoutingPolicy::abandon_attempts},
        {&RoutingPolicy::can_be_forgotten, &RoutingPolicy::forget},
        {&RoutingPolicy::deadline_is_near, &RoutingPolicy::give_up},
        {&RoutingPolicy::kv_limit_is_near, &RoutingPolicy::give_up},
        {&RoutingPolicy::cannot_succeed, &RoutingPolicy::give_up},
        {&RoutingPolicy::can_start_decode, &RoutingPolicy::start_decode},
        {&RoutingPolicy::can_start_prefill, &RoutingPolicy::start_prefill},
        {&RoutingPolicy::queued_too_long, &RoutingPolicy::give_up},
    }};
    if (!queue_is_quiet()) activate_due_requests();
    for (bool applied = true; applied;) {
      applied = false;
      for (const Transition<Worker>& transition : worker_transitions)
        for (std::size_t i = 0; i < state_.watched.size(); ++i) {
          Worker& worker = worker_at(state_.watched[i]);
          if ((this->*transition.condition)(worker)) {
            (this->*transition.action)(worker);
            applied = true;
          }
        }
      for (const Transition<RequestState>& transition : request_transitions) {
        const bool starts_prefill = transition.action == &RoutingPolicy::start_prefill;
        if (starts_prefill) activate_next_queued();
        for (std::size_t i = 0; i < state_.active.size(); ++i) {
          RequestState& request = request_at(state_.active[i]);
          if (!(this->*transition.condition)(request)) continue;
          (this->*transition.action)(request);
          applied = true;
          if (starts_prefill) activate_next_queued();
        }
      }
    }
    std::erase_if(state_.watched, [&](int worker_index) {
      Worker& worker = worker_at(worker_index);
      worker.watched = worker.pending_attempts > 0 || worker.failure_score >= kEjectionScore;
      return !worker.watched;
    });
    if (settings_.needs_subscription && now_ - state_.subscribed_at > settings_.subscription_lifetime / 2) {
      state_.subscribed_at = now_;
      actions_.subscribe();
    }
    // Thousands of requests can wait while no transition applies to them, so they are parked: a streaming
    // request that awaits no other attempt until an input concerns it, and a queued request until a time
    // limit is near or it is next in the queue.
    state_.parked += std::erase_if(state_.active, [&](int id) {
      RequestState& request = request_at(id);
      const bool is_queued = request.stage == Stage::queued;
      request.parked = (is_queued || request.stage == Stage::streaming) &&
                       std::ranges::none_of(request.attempts, is_awaited);
      if (request.parked && is_queued) {
        state_.queue.push_back(id);
        update_queue_times(request);
      }
      return request.parked;
    });
    if (state_.active.size() + state_.parked > 0 && state_.next_wakeup_at <= now_) {
      state_.next_wakeup_at = now_ + kWakeupInterval;
      actions_.request_wakeup(kWakeupInterval);
    }
    expire_prefix_holders();
  }

  // Makes a parked request active again, at its place in order of arrival. Leaves other requests as they are.
  RequestState& unpark(int request_index) {
    RequestState& request = request_at(request_index);
    if (!request.parked) return request;
    if (request.stage == Stage::queued) state_.queue.erase(std::ranges::find(state_.queue, request_index));
    request.parked = false;
    --state_.parked;
    const auto arrival_order = [&](int id) { return request_at(id).arrival_order; };
    state_.active.insert(std::ranges::lower_bound(state_.active, request.arrival_order, {}, arrival_order),
                         request_index);
    return request;
  }

  // The queue.

  // Tracks the earliest time at which a time-based transition may apply to any queued request.
  void update_queue_times(const RequestState& request) {
    state_.queue_next_timeout = std::min(state_.queue_next_timeout, queue_timeout_at(request));
    state_.queue_next_deadline = std::min(state_.queue_next_deadline, request.deadline);
  }
  Nanos queue_timeout_at(const RequestState& request) const {
    const auto queue_time = static_cast<Nanos>(
        kQueueTimeShareOfSlo * static_cast<double>(request.slo_deadline - request.arrived_at));
    return request.attempts.empty() ? request.arrived_at + queue_time - 1
                                    : std::max(request.arrived_at + queue_time - 1, request.slo_deadline);
  }
  // Whether a time-based transition may apply to a queued request with these times.
  bool queue_transition_may_apply(Nanos queue_timeout, Nanos deadline) const {
    const Nanos expected_wait = nanos_from_seconds(
        state_.mean_first_token_seconds + (prefill_worker_count() > 0) * state_.mean_prefill_seconds);
    return now_ >= queue_timeout || now_ + expected_wait > deadline ||
           now_ >= deadline - 2 * settings_.time_granularity - kWakeupInterval;
  }
  bool queue_is_quiet() const {
    return state_.queue.empty() ||
           !queue_transition_may_apply(state_.queue_next_timeout, state_.queue_next_deadline);
  }
  void activate_due_requests() {
    std::vector<int> due;
    state_.queue_next_timeout = kNever;
    state_.queue_next_deadline = kNever;
    for (const int id : state_.queue)
      queue_transition_may_apply(queue_timeout_at(request_at(id)), request_at(id).deadline)
          ? due.push_back(id)
          : update_queue_times(request_at(id));
    for (const int id : due) unpark(id);
  }
  // Activates the request that is next in the queue, if the in-flight limit leaves room for another prefill.
  void activate_next_queued() {
    if (state_.queue.empty() || in_flight() >= state_.in_flight_limit) return;
    const auto earlier = [&](int a, int b) { return precedes(request_at(a), request_at(b)); };
    unpark(*std::ranges::min_element(state_.queue, earlier));
  }

  // Guards against memory that grows as workers register under new identities all the time: a worker that has
  // been gone for the lifetime of a prefix holder entry is forgotten. If it returns later under the same id,
  // it counts as new.
  void forget_gone_worker(int worker_index) {
    Worker& worker = worker_at(worker_index);
    if (worker.gone_since == 0) worker.gone_since = now_;
    if (now_ - worker.gone_since < kPrefixHolderLifetime || worker.watched) return;
    for (const RequestState& request : state_.requests)
      for (const Attempt& attempt : request.attempts)
        if (attempt.worker == worker_index && (attempt.outstanding || request.stage != Stage::finished))
          return;
    worker = {};
    actions_.forget_worker(worker_index);
  }

  // Workers: failure detection and ejection.

  // Whether an attempt is overdue, and the worker has not responded to anything since it was sent. Guards
  // against machines that vanish or hang, and against broken links. A worker that is busy with a single long
  // step may be ejected by mistake. It is used again after the ejection time, or earlier while fewer than
  // half of the workers of its role are not ejected.
  bool is_silent(const Worker& worker) const {
    if (worker.pending_attempts == 0 || worker.ejected_until > now_ || now_ <= worker.next_overdue_at)
      return false;
    worker.next_overdue_at = kNever;
    for (const int id : state_.active)
      for (const Attempt& attempt : request_at(id).attempts)
        if (is_awaited(attempt) && &worker_at(attempt.worker) == &worker &&
            worker.last_response_at < attempt.sent_at)
          worker.next_overdue_at = std::min(worker.next_overdue_at, attempt.sent_at + overdue_after(attempt));
    return now_ > worker.next_overdue_at;
  }
  // Lets transitions act on the worker. The watched workers stay in order of index, in which the transitions
  // are applied.
  void watch(int worker) {
    if (std::exchange(worker_at(worker).watched, true)) return;
    state_.watched.insert(std::ranges::lower_bound(state_.watched, worker), worker);
  }
  void eject_and_abandon_attempts(Worker& worker) {
    eject(worker);
    for (const int id : state_.active) {
      RequestState& request = request_at(id);
      for (Attempt& attempt : request.attempts)
        if (is_awaited(attempt) && &worker_at(attempt.worker) == &worker && awaits_stream(request)) {
          abandon(request, attempt);
          retry_after_failure(request, attempt, Outcome::timed_out);
        }
    }
  }

  // Guards against workers that fail fast, by errors, broken connections or refused connections.
  bool fails_too_often(const Worker& worker) const {
    return worker.failure_score >= kEjectionScore && worker.ejected_until <= now_;
  }
  void eject(Worker& worker) {
    worker.ejected_until = now_ + kEjectionTime + nanos_from_seconds(seconds(kEjectionJitter) * random());
    worker.half_open = true;
    worker.failure_score = 0;
  }

  bool is_cold(const Worker& worker) const {
    return worker.cold_since != kNever && now_ < worker.cold_since + settings_.ramp_time;
  }

  void record_outcome(Worker& worker, Outcome outcome, bool silent, bool abandoned) {
    const bool connection_failed = outcome == Outcome::connection_lost || outcome == Outcome::connect_failed;
    // Guards against spending all attempts of a request at once on this worker while every other one is
    // ejected.
    if (outcome == Outcome::full || outcome == Outcome::connect_failed)
      worker.backoff_until = now_ + kWorkerBackoff;
    if (outcome == Outcome::full || outcome == Outcome::kv_missing || outcome == Outcome::error)
      worker.last_response_at = now_;
    if (outcome == Outcome::prefill_done) ++state_.recent_successes[1];  // [1]: prefill
    if (outcome == Outcome::generated || outcome == Outcome::prefill_done) record_success(worker);
    // A single connection can break while its worker is fine, but a dead worker refuses the next connection:
    // one that could not be opened is enough for ejection.
    const bool could_not_connect = outcome == Outcome::connect_failed && !abandoned;
    if (outcome == Outcome::error || (connection_failed && !abandoned))
      worker.failure_score += worker.half_open || could_not_connect ? kEjectionScore : 1;
    if (outcome == Outcome::timed_out) worker.failure_score += silent ? kEjectionScore : 1;
    if (outcome == Outcome::connect_failed && worker.connection_broken) worker.was_unreachable = true;
    if (outcome == Outcome::connection_lost) worker.connection_broken = true;
  }

  void record_success(Worker& worker) {
    worker.last_response_at = now_;
    worker.failure_score /= 2;
    worker.half_open = false;
    if (worker.ejected_until > now_) worker.ejected_until = now_;
    // Rule 4, while the worker list lags behind: a worker that was unreachable and responds again is
    // assumed to have just started.
    if (worker.was_unreachable) {
      worker.cold_since = now_;
      worker.cache_valid_since = now_;
    }
    worker.connection_broken = false;
    worker.was_unreachable = false;
  }

  void record_report(Worker& worker, const LoadReport& report) {
    worker.reported_at = now_;
    worker.reported_requests = report.requests;
    worker.reported_memory_share = report.memory_share;
    worker.own_requests_at_report = worker.pending_attempts + worker.kv_entries;
    worker.decode_tokens_since_report = 0;
    const auto role = static_cast<std::size_t>(worker.role);
    if (report.memory_share >= 0) add_sample(state_.mean_memory_share[role], report.memory_share);
    if (report.requests >= 0)
      add_sample(state_.mean_other_requests[role],
                 std::max(0.0, worker.reported_requests - worker.own_requests_at_report));
  }

  // Rule 4, with any number of routers: the share of its own requests that each router admits to a cold
  // worker, at random and without saving up unused shares, so that all routers together send it a fraction of
  // what a warm worker serves.
  double slow_start_share(const Worker& worker) const {
    const double ramp =
        std::clamp(seconds(now_ - worker.cold_since) / seconds(settings_.ramp_time), 0.0, 1.0);
    const double capacity = settings_.cold_start_capacity + (1 - settings_.cold_start_capacity) * ramp * ramp;
    double warm_workers = 0;
    double all_workers = 0;
    for (const int i : state_.worker_counts.ready[worker.role == Role::prefill])
      if (worker_at(i).role == worker.role) {
        ++all_workers;
        warm_workers += !is_cold(worker_at(i));
      }
    const std::size_t role_index = worker.role == Role::prefill;  // 0: decode and mixed, 1: prefill
    const double success_rate =
        (state_.recent_successes[role_index] + 1) / (state_.recent_sends[role_index] + 1);
    return std::min(1.0, kColdBudgetShare * settings_.overload_factor * capacity) * success_rate /
           (warm_workers > 0 ? warm_workers : all_workers);
  }
  bool admitted_to_cold_worker(const RequestState& request, const Worker& worker) const {
    // Adds a hash of the identity, not the identity: in a double, a 64-bit number leaves no digits for the
    // fraction, and every request would be admitted.
    const double draw = request.admission_draw + 0.618034 * static_cast<double>(request.attempts.size()) +
                        hash_fraction(0, worker);
    return draw - std::floor(draw) < slow_start_share(worker);
  }

  // Requests: abandoned attempts, and how requests end.

  bool has_needless_attempts(const RequestState& request) const {
    return !awaits_stream(request) && std::ranges::any_of(request.attempts, is_awaited);
  }
  void abandon_attempts(RequestState& request) {
    for (Attempt& attempt : request.attempts)
      if (is_awaited(attempt)) abandon(request, attempt);
  }
  static bool is_awaited(const Attempt& attempt) {
    return attempt.outstanding && !attempt.abandoned && !attempt.stream_started;
  }
  void abandon(RequestState& request, Attempt& attempt) {
    attempt.abandoned = true;
    if (request.kv_held_since != kNever) request.kv_held_since = now_;
    if (settings_.can_cancel)
      actions_.cancel(request.id, static_cast<int>(&attempt - request.attempts.data()));
  }

  bool can_be_forgotten(const RequestState& request) const {
    return request.stage == Stage::finished && std::ranges::none_of(request.attempts, &Attempt::outstanding);
  }
  void forget(RequestState& request) {
    release_unreported_kv(request);
    state_.active.erase(std::find(state_.active.begin(), state_.active.end(), request.id));
    actions_.forget_request(request.id);
  }

  // Rule 5: an abandoned attempt, or a prefill that ended without a result, may mean that KV cache is held
  // that no response has reported.
  void release_unreported_kv(RequestState& request) {
    if (std::ranges::any_of(request.attempts,
                            [](auto& attempt) { return attempt.abandoned || attempt.may_have_left_kv; }))
      actions_.release(request.id);
  }

  // Rule 1: a final response that is sent later may not arrive before the deadline.
  bool deadline_is_near(const RequestState& request) const {
    return awaits_stream(request) &&
           now_ >= request.deadline - 2 * settings_.time_granularity - kWakeupInterval;
  }
  // Rule 5: a request whose KV cache no decode worker takes is given up after half of the limit; the other
  // half is margin.
  bool kv_limit_is_near(const RequestState& request) const {
    return request.stage == Stage::prefilled && now_ - request.kv_held_since >= settings_.kv_hold_limit / 2;
  }
  // Whether too few attempts are left, the request must not be repeated, or the time left is shorter than the
  // usual duration of the stages to come.
  bool cannot_succeed(const RequestState& request) const {
    if (request.stage != Stage::queued && request.stage != Stage::prefilled) return false;
    const int attempts_needed = request.stage == Stage::queued && prefill_worker_count() > 0 ? 2 : 1;
    return static_cast<int>(request.attempts.size()) + attempts_needed > settings_.max_attempts ||
           (request.maybe_ran && repeat_forbidden(request)) ||
           now_ + nanos_from_seconds(state_.mean_first_token_seconds +
                                     (attempts_needed - 1) * state_.mean_prefill_seconds) >
               request.deadline;
  }
  bool queued_too_long(const RequestState& request) const {
    return request.stage == Stage::queued &&
           static_cast<double>(now_ - request.arrived_at) >
               kQueueTimeShareOfSlo * static_cast<double>(request.slo_deadline - request.arrived_at) &&
           (request.attempts.empty() || now_ > request.slo_deadline);
  }

  // Ends the request without a result: rejects it if the client may repeat it, and aborts it otherwise.
  void give_up(RequestState& request) {
    const TrafficType& traffic_type = type_of(request);
    const bool may_reject = traffic_type.effect == Effect::repeatable || !may_have_run(request) ||
                            (traffic_type.effect == Effect::tokened && traffic_type.group == Group::all);
    const double retry_after_seconds =
        settings_.send_retry_after ? seconds(settings_.max_retry_after) * (0.5 + 0.5 * random()) : 0;
    may_reject ? actions_.reject(request.id, nanos_from_seconds(retry_after_seconds))
               : actions_.abort(request.id);
    finish(request);
  }
  void finish(RequestState& request) {
    if (request.kv_held_since != kNever) actions_.release(request.id);
    clear_kv_held(request);
    set_stage(request, Stage::finished);
  }
  void clear_kv_held(RequestState& request) {
    if (request.kv_held_since != kNever) --worker_at(request.prefill_worker).kv_entries;
    request.kv_held_since = kNever;
  }

  // After an attempt without a result: queues the request again or, while its KV cache is held, lets another
  // decode worker be chosen.
  void retry_after_failure(RequestState& request, const Attempt& attempt, Outcome outcome) {
    if (outcome == Outcome::prefill_done || outcome == Outcome::generated) return;
    if (attempt.is_prefill || outcome == Outcome::kv_missing || request.kv_held_since == kNever) {
      clear_kv_held(request);
      release_unreported_kv(request);
      set_stage(request, Stage::queued);
    } else {
      set_stage(request, Stage::prefilled);
    }
  }

  void record_prefill(RequestState& request, const Attempt& attempt, Worker& worker, Nanos elapsed,
                      double cached_tokens) {
    const double computed_tokens = std::max(1.0, request.prompt_tokens - cached_tokens);
    learn_prefill_time(worker, attempt.queued_tokens_ahead + computed_tokens, seconds(elapsed));
    smooth(state_.mean_prefill_tokens, computed_tokens);
    smooth(state_.mean_prefill_seconds, seconds(elapsed));
    // Guards against prefix holder entries whose cache is gone (by a flush, a full memory or an unreported
    // restart): if this entry's tokens were evicted, so were those of the worker's earlier entries.
    if (cached_tokens < attempt.expected_cached_tokens / 2)
      worker.cache_valid_since = std::max(worker.cache_valid_since, attempt.prefix_recorded_at + 1);
    record_prefix(request.session, attempt.worker, request.prompt_tokens);
    record_prefix(request.prefix_hash, attempt.worker, request.prefix_tokens);
    // An abandoned prefill may still be the first to end. Its KV cache is used, and the other prefill is
    // abandoned.
    if (request.stage != Stage::prefilling && request.stage != Stage::queued) return;
    abandon_attempts(request);
    set_stage(request, Stage::prefilled);
    request.prefill_worker = attempt.worker;
    request.kv_held_since = now_;
    ++worker.kv_entries;
  }

  // Choice of the prefill worker: the least loaded one, unless the prefix that another one has cached
  // outweighs its higher load.

  bool can_start_prefill(const RequestState& request) const {
    if (request.stage != Stage::queued || in_flight() >= state_.in_flight_limit ||
        !decode_memory_available(request))
      return false;
    for (const int id : state_.active)
      if (request_at(id).stage == Stage::queued && precedes(request_at(id), request)) return false;
    return !candidates(request, prefill_worker_count() > 0).empty();
  }
  // Order of the queue: requests within their tenant's share first, then by the end of the latency SLO. While
  // prefill workers are the bottleneck, the shortest prefill goes first, so that most requests are served.
  bool precedes(const RequestState& a, const RequestState& b) const {
    if (a.within_tenant_share != b.within_tenant_share) return a.within_tenant_share;
    const bool prefill_is_bottleneck = state_.latency_pressure > kFirstTokenShareOfSlo / 2 &&
                                       state_.mean_prefill_seconds > state_.mean_first_token_seconds;
    if (prefill_is_bottleneck && a.uncached_tokens != b.uncached_tokens)
      return a.uncached_tokens < b.uncached_tokens;
    return a.slo_deadline != b.slo_deadline ? a.slo_deadline < b.slo_deadline : a.id < b.id;
  }
  // Prompt tokens that no ready prefill worker is expected to have cached.
  double uncached_tokens(const RequestState& request) const {
    double most_cached = 0;
    const int home = home_worker(request);
    const auto consider = [&](int worker) {
      if (serves(worker_at(worker), true) && is_ready(worker_at(worker)))
        most_cached = std::max(most_cached, expected_cached_tokens(request, worker, home));
    };
    if (home >= 0) consider(home);
    for (const std::uint64_t key : {request.session, request.prefix_hash})
      if (const auto it = state_.prefix_holders.find(key); key != 0 && it != state_.prefix_holders.end())
        for (const PrefixHolder& holder : it->second) consider(holder.worker);
    return request.prompt_tokens - most_cached;
  }
  // Returns a function from a worker to its expected cached tokens. Looks the session and the prefix up only
  // once, as most workers hold neither.
  auto cached_tokens_by_worker(const RequestState& request, int home) const {
    const auto holders_of = [&](std::uint64_t key) {
      const auto it = key == 0 ? state_.prefix_holders.end() : state_.prefix_holders.find(key);
      return it == state_.prefix_holders.end() ? nullptr : &it->second;
    };
    return [this, &request, home, session_holders = holders_of(request.session),
            prefix_holders = holders_of(request.prefix_hash)](int worker) {
      const auto is_here = [worker](const PrefixHolder& holder) { return holder.worker == worker; };
      const bool may_be_cached =
          worker == home || (session_holders != nullptr && std::ranges::any_of(*session_holders, is_here)) ||
          (prefix_holders != nullptr && std::ranges::any_of(*prefix_holders, is_here));
      return may_be_cached ? expected_cached_tokens(request, worker, home) : 0;
    };
  }
  double expected_cached_tokens(const RequestState& request, int worker, int home) const {
    const double session_tokens = request.prompt_tokens - request.prefix_tokens;  // beyond the shared prefix
    return std::max(recorded_prefix(request, worker).tokens,
                    worker == home ? request.prefix_tokens + kHomeCachedShare * session_tokens : 0);
  }
  // Chooses from candidates_, which can_start_prefill() has filled.
  void start_prefill(RequestState& request) {
    // Without prefill workers, mixed or decode workers do both phases in one attempt.
    if (prefill_worker_count() == 0) return start_decode(request);
    const std::vector<int>& usable = candidates_;
    const double fleet_seconds_per_token = seconds_per_token();
    for (const int i : usable) {
      worker_at(i).seconds_per_token = seconds_per_token(worker_at(i));
      worker_at(i).load_score = load_score(worker_at(i));
    }
    const std::optional<int> least_loaded_choice = pick_near_best(
        usable, [&](int i) { return worker_at(i).load_score; },
        kTieShareOfPrefillTime * state_.mean_prefill_tokens * fleet_seconds_per_token);
    const int least_loaded = least_loaded_choice.value_or(usable.front());
    const int home = home_worker(request);
    const auto cached_tokens_at = cached_tokens_by_worker(request, home);
    const double least_loaded_cached_tokens = cached_tokens_at(least_loaded);
    const double least_loaded_score = worker_at(least_loaded).load_score;
    cache_choices_.clear();
    for (const int worker_index : usable) {
      Worker& worker = worker_at(worker_index);
      worker.cache_advantage =
          (cached_tokens_at(worker_index) - least_loaded_cached_tokens) * worker.seconds_per_token +
          worker.load_score - least_loaded_score;
      if (worker.cache_advantage > 0) cache_choices_.push_back(worker_index);
    }
    const auto cache_advantage = [&](int i) { return worker_at(i).cache_advantage; };
    request.prefill_worker =
        cache_choices_.empty()
            ? least_loaded
            : pick_near_best(cache_choices_, cache_advantage,
                             kTieShareOfPrefillTime * request.prompt_tokens * fleet_seconds_per_token)
                  .value_or(least_loaded);
    set_stage(request, Stage::prefilling);
    request.dequeued_at = now_;
    send(request, request.prefill_worker, true);
  }
  // The home worker of a session that has no prefix holder, or -1. Differs from the design: another router
  // may have routed the session's earlier turns, so all routers derive the same prefill worker from a hash.
  // It is one of the few that the prefix is hashed to, as a large fleet has more prefixes than one worker can
  // keep cached. Cold and ejected workers are skipped for the next in rank.
  int home_worker(const RequestState& request) const {
    if (request.session == 0 || state_.prefix_holders.contains(request.session)) return -1;
    const auto& workers_by_zone = state_.worker_counts.in_zone[1];  // [1]: prefill workers
    const auto workers_in = [&](int zone) {
      const auto it = workers_by_zone.find(zone);
      return it == workers_by_zone.end() ? 0 : it->second;
    };
    const double own_zone_workers = workers_in(settings_.zone);
    const double all_workers_plus_one = prefill_worker_count() + 1;
    // Zones have different numbers of prefill workers: sessions beyond this zone's proportional part get a
    // home in another zone.
    const double zone_share = own_zone_workers *
                              static_cast<double>(workers_by_zone.size() + (own_zone_workers == 0)) /
                              all_workers_plus_one;
    const bool stays_in_zone = hash_fraction(request.session, Worker{}) < zone_share;
    int home = -1;
    double best_rank = -1;
    for (const int worker_index : state_.worker_counts.ready[1]) {
      if (worker_at(worker_index).ejected_until > now_ || is_cold(worker_at(worker_index))) continue;
      const bool is_replica =
          request.prefix_hash == 0 || hash_fraction(request.prefix_hash, worker_at(worker_index)) *
                                              workers_in(worker_at(worker_index).zone) <
                                          kPrefixReplicas;
      // The zone weighs most, as clients return to the same zone.
      const double rank = hash_fraction(request.session, worker_at(worker_index)) + is_replica +
                          2 * ((worker_at(worker_index).zone == settings_.zone) == stays_in_zone);
      if (rank > best_rank) {
        home = worker_index;
        best_rank = rank;
      }
    }
    return home;
  }
  // A hash of the key and the worker's identity, uniform in [0, 1): the same at every router.
  static double hash_fraction(std::uint64_t key, const Worker& worker) {
    std::uint64_t hash = (key ^ worker.identity * 0x9e3779b97f4a7c15u) * 0xbf58476d1ce4e5b9u;
    hash = (hash ^ hash >> 31) * 0x94d049bb133111ebu;
    return static_cast<double>(hash >> 11) / 9007199254740992.0;
  }
  // Picks at random among the workers whose score is within the margin of the best one, each with a weight of
  // 1 / (queued requests + 1). Returns nothing if there is no worker with a score.
  template <class Score>
  std::optional<int> pick_near_best(const std::vector<int>& workers, Score score, double margin) {
    double best_score = -std::numeric_limits<double>::infinity();
    double total_weight = 0;
    for (const int i : workers) best_score = std::max(best_score, score(i));
    near_best_.clear();
    for (const int i : workers)
      if (score(i) >= best_score - margin) near_best_.push_back({i, 1 / (queued_requests(worker_at(i)) + 1)});
    for (const auto& [worker_index, weight] : near_best_) total_weight += weight;
    double remaining_weight = random() * total_weight;
    for (const auto& [worker_index, weight] : near_best_)
      if ((remaining_weight -= weight) <= 0) return worker_index;
    if (near_best_.empty()) return std::nullopt;
    return near_best_.back().first;
  }

  // Prefill times, learned from measured durations: a linear fit over all prefill workers (seconds per token,
  // and an overhead that does not grow with the tokens), and for each worker its ratio to that fit.

  void learn_prefill_time(Worker& worker, double tokens, double elapsed_seconds) {
    const double worker_decay = decay(now_ - worker.speed_updated_at);
    const double predicted_seconds = prefill_overhead() + tokens * seconds_per_token();
    worker.measured_prefill_seconds = worker.measured_prefill_seconds * worker_decay + elapsed_seconds;
    worker.predicted_prefill_seconds = worker.predicted_prefill_seconds * worker_decay + predicted_seconds;
    worker.speed_updated_at = now_;
    const LinearFit& fit = state_.prefill_time_fit;
    const double fit_decay = decay(now_ - fit.updated_at);
    const double xx = tokens * tokens;
    const double xy = tokens * elapsed_seconds;
    state_.prefill_time_fit = {
        fit.weight * fit_decay + 1,  fit.sum_x * fit_decay + tokens, fit.sum_y * fit_decay + elapsed_seconds,
        fit.sum_xx * fit_decay + xx, fit.sum_xy * fit_decay + xy,    now_};
  }
  void learn_from_late_prefill(const Attempt& attempt, Worker& worker, double elapsed_seconds) {
    smooth(state_.mean_prefill_seconds, elapsed_seconds);
    learn_prefill_time(worker, attempt.queued_tokens_ahead + attempt.load_tokens, elapsed_seconds);
  }
  // Prefills that a release has voided would have taken at least as long as they have been running.
  void learn_from_voided_prefills(const RequestState& request) {
    for (const Attempt& attempt : request.attempts)
      if (attempt.is_prefill && is_awaited(attempt))
        learn_from_late_prefill(attempt, worker_at(attempt.worker), seconds(now_ - attempt.sent_at));
  }
  // The slope of the fit over all prefill workers.
  double seconds_per_token() const {
    const LinearFit& fit = state_.prefill_time_fit;
    // Adds two initial points to the measured ones: no time for no tokens, and kInitialPrefillTokens at
    // kInitialTokensPerSecond.
    const double weight = fit.weight + 2;
    const double sum_x = fit.sum_x + kInitialPrefillTokens;
    const double sum_y = fit.sum_y + kInitialPrefillTokens / kInitialTokensPerSecond;
    const double sum_xx = fit.sum_xx + kInitialPrefillTokens * kInitialPrefillTokens;
    const double sum_xy =
        fit.sum_xy + kInitialPrefillTokens * kInitialPrefillTokens / kInitialTokensPerSecond;
    return std::max(1e-6, (weight * sum_xy - sum_x * sum_y) / (weight * sum_xx - sum_x * sum_x));
  }
  // Seconds of a prefill that do not depend on its tokens.
  double prefill_overhead() const {
    return std::max(0.0,
                    (state_.prefill_time_fit.sum_y - seconds_per_token() * state_.prefill_time_fit.sum_x) /
                        (state_.prefill_time_fit.weight + 1));
  }
  // Seconds per token of one worker: those of the fit, times the worker's ratio to the fit unless that is
  // within the noise.
  double seconds_per_token(const Worker& worker) const {
    // Decay only moves this ratio towards 1, so the exponential is not needed while the ratio is within the
    // noise.
    const double undecayed_ratio = (worker.measured_prefill_seconds + kWorkerSpeedPriorSeconds) /
                                   (worker.predicted_prefill_seconds + kWorkerSpeedPriorSeconds);
    if (undecayed_ratio < 0.99 * kSpeedNoiseFactor && undecayed_ratio * 0.99 * kSpeedNoiseFactor > 1)
      return seconds_per_token();
    const double decay_factor = decay(now_ - worker.speed_updated_at);
    const double ratio = (worker.measured_prefill_seconds * decay_factor + kWorkerSpeedPriorSeconds) /
                         (worker.predicted_prefill_seconds * decay_factor + kWorkerSpeedPriorSeconds);
    return seconds_per_token() * (ratio > kSpeedNoiseFactor || ratio * kSpeedNoiseFactor < 1 ? ratio : 1);
  }

  // Load of a prefill worker.

  // Estimated requests of other routers.
  double other_requests(const Worker& worker) const {
    const double reported = worker.reported_requests < 0
                                ? -1
                                : std::max(0.0, worker.reported_requests - worker.own_requests_at_report);
    return drift_to_mean(worker, reported, state_.mean_other_requests[static_cast<std::size_t>(worker.role)],
                         kLoadReportDecayTime);
  }
  // The wait at the worker, an average prefill there and the cost of crossing zones, in negated seconds, so
  // that the highest score is best.
  double load_score(const Worker& worker) const {
    return -wait_seconds(worker, worker.seconds_per_token) -
           state_.mean_prefill_tokens * worker.seconds_per_token - zone_penalty_seconds(worker);
  }
  // Estimated requests of all routers that still need their prefill.
  double queued_requests(const Worker& worker) const {
    return worker.pending_attempts + kOthersQueuedShare * other_requests(worker);
  }
  double wait_seconds(const Worker& worker, double seconds_per_token) const {
    return (worker.prefill_tokens +
            kOthersQueuedShare * other_requests(worker) * state_.mean_prefill_tokens) *
           seconds_per_token;
  }
  // The seconds of waiting that a worker in another zone must save to be chosen: the configured price of
  // crossing zones, plus the margin within which load scores tie.
  double zone_penalty_seconds(const Worker& worker) const {
    return worker.zone == settings_.zone
               ? 0
               : settings_.cross_zone_price +
                     kTieShareOfPrefillTime * state_.mean_prefill_tokens * seconds_per_token();
  }

  // Choice of the decode worker, after the prefill: by free memory, with ties broken by cell, zone and own
  // load.

  bool can_start_decode(const RequestState& request) const {
    return request.stage == Stage::prefilled && !candidates(request, false).empty();
  }
  // Chooses from candidates_, which can_start_decode() or can_start_prefill() has filled.
  void start_decode(RequestState& request) {
    const std::vector<int>& usable = candidates_;
    double least_full = 1e18;
    for (const int i : usable) {
      worker_at(i).memory_fullness = memory_fullness(worker_at(i));
      least_full = std::min(least_full, worker_at(i).memory_fullness);
    }
    const int cell = request.prefill_worker < 0 ? -1 : worker_at(request.prefill_worker).cell;
    const int zone = request.prefill_worker < 0 ? settings_.zone : worker_at(request.prefill_worker).zone;
    // Differs from the design: where a cell has few decode workers for its prefill workers, only a
    // proportional part of the requests stays in the cell.
    const bool stays_in_cell = cell < 0 || random() < cell_decode_ratio(worker_at(request.prefill_worker));
    // Remaining ties are broken at random. If they were broken by index, a hundred routers would all pick the
    // same worker.
    using Rank = std::tuple<bool, bool, bool, double, double>;
    int chosen = -1;
    Rank best_rank;
    for (const int worker_index : usable) {
      const Worker& worker = worker_at(worker_index);
      const bool wrong_cell =
          stays_in_cell ? worker.cell != cell : worker.zone != zone || cell_decode_ratio(worker) <= 1;
      const Rank rank{worker.memory_fullness > least_full + kTieShareOfDecodeMemory, wrong_cell,
                      worker.zone != zone, worker.decode_tokens, random()};
      if (chosen < 0 || rank < best_rank) {
        chosen = worker_index;
        best_rank = rank;
      }
    }
    set_stage(request, Stage::decoding);
    send(request, chosen, false);
  }
  // The cell's share of its zone's decode workers, divided by its share of the zone's prefill workers.
  double cell_decode_ratio(const Worker& worker) const {
    // Numbers of workers: [0] decode and mixed, [1] prefill.
    double in_zone[2]{};
    double in_cell[2]{};
    for (std::size_t role_index = 0; role_index < 2; ++role_index) {
      const auto zone = state_.worker_counts.in_cell[role_index].find(worker.zone);
      if (zone == state_.worker_counts.in_cell[role_index].end()) continue;
      in_zone[role_index] = state_.worker_counts.in_zone[role_index].at(worker.zone);
      if (const auto cell = zone->second.find(worker.cell); cell != zone->second.end())
        in_cell[role_index] = cell->second;
    }
    return in_cell[0] * in_zone[1] / std::max(1.0, in_cell[1] * in_zone[0]);
  }
  double memory_tokens(const Worker& worker) const {
    const double tokens = settings_.kinds[static_cast<std::size_t>(worker.kind)].memory_tokens;
    return tokens > 0 ? tokens : 1e9;  // not configured: no bound
  }
  // Estimated share of a decode worker's memory that is in use.
  double memory_fullness(const Worker& worker) const {
    const RunningMean& mean = state_.mean_memory_share[static_cast<std::size_t>(worker.role)];
    if (mean.samples == 0) return worker.decode_tokens * settings_.routers / memory_tokens(worker);
    return drift_to_mean(worker, worker.reported_memory_share, mean, kLearningDecayTime) +
           worker.decode_tokens_since_report / memory_tokens(worker);
  }
  // A worker without a report counts as average, and the value of a report decays towards the average.
  double drift_to_mean(const Worker& worker, double reported, const RunningMean& mean,
                       Nanos decay_time) const {
    const double weight = reported < 0 ? 0 : decay(now_ - worker.reported_at, decay_time);
    return mean.value + weight * (reported - mean.value);
  }
  // Guards against KV cache that accumulates at prefill workers while decode workers are full: a prefill
  // starts only if it and this router's other requests on their way to decode fit this router's part of the
  // free decode memory.
  bool decode_memory_available(const RequestState& request) const {
    if (in_flight() < min_in_flight_limit()) return true;
    double available_tokens = 0;
    double needed_tokens = expected_decode_tokens(request);
    for (const int id : state_.active) {
      const Stage stage = request_at(id).stage;
      if (stage == Stage::prefilling || stage == Stage::prefilled)
        needed_tokens += expected_decode_tokens(request_at(id));
    }
    const std::vector<int>& decode_workers = state_.worker_counts.ready[0];  // [0]: decode and mixed
    for (std::size_t i = 0; i < decode_workers.size() && available_tokens < needed_tokens; ++i) {
      const Worker& worker = worker_at(decode_workers[i]);
      if (worker.ejected_until <= now_)
        available_tokens += std::max(0.0, kMaxDecodeMemoryShare - memory_fullness(worker)) *
                            memory_tokens(worker) / settings_.routers;
    }
    return needed_tokens <= available_tokens;
  }
  // A generation is assumed to use half of its permitted tokens.
  double expected_decode_tokens(const RequestState& request) const {
    return request.prompt_tokens + request.max_output_tokens / 2;
  }

  // Admission: every send passes both overloads of may_send(), and every choice is made among the workers
  // that pass them.

  bool may_send(const RequestState& request, bool is_prefill) const {
    if (static_cast<int>(request.attempts.size()) + (is_prefill ? 2 : 1) > settings_.max_attempts)
      return false;
    if (now_ >= request.deadline - 2 * settings_.time_granularity - kWakeupInterval) return false;  // rule 1
    return settings_.allow_parallel_attempts || std::ranges::none_of(request.attempts, &Attempt::outstanding);
  }
  bool may_send(const RequestState& request, const Worker& worker, bool is_prefill) const {
    if (!is_ready(worker)) return false;  // rule 3
    if (worker.ejected_until > now_ && (worker.connection_broken || enough_not_ejected(worker))) return false;
    if (worker.half_open && worker.pending_attempts > 0) return false;
    if (worker.backoff_until > now_) return false;
    if (is_cold(worker) && !admitted_to_cold_worker(request, worker)) return false;  // rule 4
    return is_prefill || repeat_allowed_at(request, worker);                         // rule 2
  }
  // Workers that may get the request's next attempt. The result, candidates_, is valid until the next call:
  // the condition of a transition calls this, and the transition's action then chooses from the same list.
  const std::vector<int>& candidates(const RequestState& request, bool is_prefill) const {
    std::vector<int>& usable = candidates_;
    usable.clear();
    if (!may_send(request, is_prefill)) return usable;
    for (const int i : state_.worker_counts.ready[is_prefill])  // [0]: decode and mixed, [1]: prefill
      if (may_send(request, worker_at(i), is_prefill)) usable.push_back(i);
    // Guards against workers that report being full to one tenant or traffic type only, although they have
    // room, and against workers that respond to some requests and not to others.
    const auto failed_this_request = [&](int worker) {
      return std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
        return attempt.full_or_timed_out && attempt.worker == worker;
      });
    };
    const bool any_failed = std::ranges::any_of(request.attempts, &Attempt::full_or_timed_out);
    if (any_failed && !std::ranges::all_of(usable, failed_this_request))
      std::erase_if(usable, failed_this_request);
    return usable;
  }
  bool may_have_run(const RequestState& request) const {
    return request.maybe_ran || std::ranges::any_of(request.attempts, [](auto& attempt) {
             return attempt.outstanding && !attempt.is_prefill;
           });
  }
  // Until when a repeat of a tokened request is sure to be recognised as one.
  Nanos repeat_deadline(const RequestState& request) const {
    return request.maybe_ran_since + type_of(request).window - 2 * settings_.time_granularity -
           kSendDelayMargin;
  }
  // Whether the request must not run twice, or a repeat would no longer be recognised as one.
  bool repeat_forbidden(const RequestState& request) const {
    const Effect effect = type_of(request).effect;
    return effect == Effect::once_only || (effect == Effect::tokened && now_ > repeat_deadline(request));
  }
  bool repeat_allowed_at(const RequestState& request, const Worker& worker) const {
    const TrafficType& traffic_type = type_of(request);
    if (traffic_type.effect == Effect::repeatable || !may_have_run(request)) return true;
    if (repeat_forbidden(request)) return false;
    const Worker& first_worker = worker_at(request.maybe_ran_worker);
    return traffic_type.group == Group::all ||
           (traffic_type.group == Group::zone ? worker.zone == first_worker.zone
                                              : worker.cell == first_worker.cell);
  }
  // Limits ejection, so that the remaining workers are not overloaded: while fewer than half of a role's
  // workers remain, ejected workers whose connections are intact are used as well.
  bool enough_not_ejected(const Worker& worker) const {
    int ready = 0;
    int not_ejected = 0;
    for (const int i : state_.worker_counts.ready[worker.role == Role::prefill])
      if (worker_at(i).role == worker.role) {
        ++ready;
        not_ejected += worker_at(i).ejected_until <= now_;
      }
    return not_ejected * 2 >= ready;
  }

  void send(RequestState& request, int worker_index, bool is_prefill) {
    Worker& worker = worker_at(worker_index);
    if (!may_send(request, is_prefill) || !may_send(request, worker, is_prefill)) return;
    Attempt attempt{.worker = worker_index, .is_prefill = is_prefill, .outstanding = true, .sent_at = now_};
    const bool is_repeat = !is_prefill && may_have_run(request);
    // Rule 2: if connecting is slow, a repeat that is decided on within the window could be written after it.
    const Nanos write_deadline =
        is_repeat && type_of(request).effect == Effect::tokened ? repeat_deadline(request) : kNever;
    if (is_prefill) {
      const PrefixHolder holder = recorded_prefix(request, worker_index);
      attempt.expected_cached_tokens = holder.tokens;
      attempt.prefix_recorded_at = holder.recorded_at;
      attempt.load_tokens = request.prompt_tokens - attempt.expected_cached_tokens;
      attempt.queued_tokens_ahead = worker.prefill_tokens;
      // The tokens that are expected to be cached may be gone. Divided by the overdue factor, they count
      // once in the overdue time; without them, a cache flush would make all prefill workers look dead.
      attempt.expected_duration =
          nanos_from_seconds(prefill_overhead() + wait_seconds(worker, seconds_per_token(worker)) +
                             (attempt.load_tokens + attempt.expected_cached_tokens / kOverdueFactor) *
                                 seconds_per_token(worker));
      worker.prefill_tokens += attempt.load_tokens;
    } else {
      attempt.load_tokens = expected_decode_tokens(request);
      attempt.expected_duration = nanos_from_seconds(state_.mean_first_token_seconds);
      worker.decode_tokens += attempt.load_tokens;
      worker.decode_tokens_since_report += attempt.load_tokens;
      if (!is_repeat) {
        request.maybe_ran_worker = worker_index;
        request.maybe_ran_since = now_;
      }
    }
    ++state_.recent_sends[is_prefill];  // [0]: decode, [1]: prefill
    ++worker.pending_attempts;
    worker.next_overdue_at = std::min(worker.next_overdue_at, now_ + overdue_after(attempt));
    watch(worker_index);
    request.attempts.push_back(attempt);
    const bool is_last_attempt =
        static_cast<int>(request.attempts.size()) + (is_prefill ? 2 : 1) > settings_.max_attempts;
    actions_.send(
        request.id, worker_index,
        {is_last_attempt ? 0 : overdue_after(attempt), assumed_run_time(request, attempt), write_deadline});
  }

  // The table of prefix holders: which workers have cached which sessions and prefixes.

  void record_prefix(std::uint64_t key, int worker, double tokens) {
    if (key == 0 || tokens <= 0) return;
    std::vector<PrefixHolder>& holders = state_.prefix_holders[key];
    for (PrefixHolder& holder : holders)
      if (holder.worker == worker) return void(holder = {worker, tokens, now_});
    holders.push_back({worker, tokens, now_});
  }
  // The longest prefix of the prompt that the table lists at this worker.
  PrefixHolder recorded_prefix(const RequestState& request, int worker) const {
    PrefixHolder longest{worker, 0, 0};
    for (const std::uint64_t key : {request.session, request.prefix_hash}) {
      const auto it = key == 0 ? state_.prefix_holders.end() : state_.prefix_holders.find(key);
      if (it == state_.prefix_holders.end()) continue;
      for (const PrefixHolder& holder : it->second)
        if (holder.worker == worker && holder.recorded_at >= worker_at(worker).cache_valid_since &&
            now_ - holder.recorded_at < kPrefixHolderLifetime)
          if (holder.tokens > longest.tokens)
            longest = {worker, std::min(holder.tokens, request.prompt_tokens), holder.recorded_at};
    }
    return longest;
  }
  // Four times per lifetime: removes keys whose entries have all expired, and halves the counts of recent
  // sends and successes.
  void expire_prefix_holders() {
    if (now_ - state_.holders_expired_at < kPrefixHolderLifetime / 4) return;
    state_.holders_expired_at = now_;
    for (std::size_t i = 0; i < 2; ++i) {
      state_.recent_sends[i] /= 2;
      state_.recent_successes[i] /= 2;
    }
    std::erase_if(state_.prefix_holders, [&](const auto& entry) {
      return std::none_of(entry.second.begin(), entry.second.end(), [&](const PrefixHolder& holder) {
        return now_ - holder.recorded_at < kPrefixHolderLifetime;
      });
    });
  }

  // Small helpers.

  // Counts the request and decides whether it is within its tenant's share: at random, so that a share of
  // much less than one request has an effect too.
  bool take_tenant_share(int tenant) {
    if (tenant >= static_cast<int>(settings_.tenant_rates.size())) return true;
    const auto tenant_index = static_cast<std::size_t>(tenant);
    const double decay_factor = decay(now_ - state_.tenant_updated_at[tenant_index], kPrefixHolderLifetime);
    state_.tenant_arrivals[tenant_index] = state_.tenant_arrivals[tenant_index] * decay_factor + 1;
    state_.tenant_updated_at[tenant_index] = now_;
    return random() * state_.tenant_arrivals[tenant_index] <=
           1 + settings_.tenant_rates[tenant_index] / settings_.routers * seconds(kPrefixHolderLifetime);
  }
  double min_in_flight_limit() const {
    return kMinInFlightLimit * std::max(1.0, prefill_worker_count() / settings_.routers);
  }
  void reduce_in_flight_limit() {
    if (now_ - state_.in_flight_limit_reduced_at >= kMinLimitReductionInterval) {
      state_.in_flight_limit =
          std::max(min_in_flight_limit(), state_.in_flight_limit * kLimitReductionFactor);
      state_.in_flight_limit_reduced_at = now_;
    }
  }
  // Uniform in [0, 1): a permuted congruential generator with 32 bits of output.
  double random() {
    const std::uint64_t old_state = state_.random_state;
    state_.random_state = old_state * 6364136223846793005u + state_.random_increment;
    const auto shifted = static_cast<std::uint32_t>(((old_state >> 18) ^ old_state) >> 27);
    const auto rotation = static_cast<std::uint32_t>(old_state >> 59);
    return static_cast<double>(shifted >> rotation | shifted << ((32 - rotation) & 31)) / 4294967296.0;
  }
  double in_flight() const { return state_.in_flight; }
  static bool counts_as_in_flight(Stage stage) {
    return stage == Stage::prefilling || stage == Stage::prefilled || stage == Stage::decoding;
  }
  void set_stage(RequestState& request, Stage stage) {
    state_.in_flight += counts_as_in_flight(stage) - counts_as_in_flight(request.stage);
    request.stage = stage;
  }
  // Rule 5: how long a prefill is assumed to run, so that it holds no KV cache yet. One that is expected to
  // take more than half of the hold limit is assumed to run until it is overdue: an early release would void
  // it, and its replacement would add load. Any other prefill, and each one of a once-only request, is
  // assumed to end at once.
  Nanos assumed_run_time(const RequestState& request, const Attempt& attempt) const {
    if (type_of(request).effect == Effect::once_only) return 0;
    return attempt.expected_duration > settings_.kv_hold_limit / 2 ? overdue_after(attempt) : 0;
  }
  Nanos overdue_after(const Attempt& attempt) const {
    return kOverdueGrace + nanos_from_seconds(kOverdueFactor * seconds(attempt.expected_duration));
  }
  bool awaits_stream(const RequestState& request) const {
    return request.stage != Stage::streaming && request.stage != Stage::finished;
  }
  bool is_ready(const Worker& worker) const { return worker.known && worker.status == WorkerStatus::ready; }
  bool serves(const Worker& worker, bool is_prefill) const {
    return is_prefill == (worker.role == Role::prefill);
  }
  double prefill_worker_count() const {
    return static_cast<double>(state_.worker_counts.ready[1].size());  // [1]: prefill workers
  }
  const TrafficType& type_of(const RequestState& request) const {
    return settings_.types[static_cast<std::size_t>(request.type)];
  }
  Worker& worker_at(int worker) { return state_.workers[static_cast<std::size_t>(worker)]; }
  const Worker& worker_at(int worker) const { return state_.workers[static_cast<std::size_t>(worker)]; }
  RequestState& request_at(int request) { return state_.requests[static_cast<std::size_t>(request)]; }
  const RequestState& request_at(int request) const {
    return state_.requests[static_cast<std::size_t>(request)];
  }

  const PolicySettings settings_;
  Actions& actions_;
  Nanos now_;
  PolicyState state_;
  // Buffers, kept between calls to avoid allocations.
  mutable std::vector<int> candidates_;            // result of candidates()
  std::vector<int> cache_choices_;                 // workers whose cached prefix outweighs their higher load
  std::vector<std::pair<int, double>> near_best_;  // workers and their weights, for pick_near_best()
};

}  // namespace

std::unique_ptr<Policy> make_policy(const PolicySettings& settings, std::uint64_t seed, Nanos now,
                                    Actions& actions) {
  return std::make_unique<RoutingPolicy>(settings, seed, now, actions);
}

}  // namespace cressrill
