// The decisions of cressrill, all of them. A host makes one Policy for each router by make_policy() and calls
// it once for every input; decisions come back through Actions before the call returns. Both interfaces stand
// in policy.h, the plain state in state.h, what is read at start in deployment.h.
//
// After every input the two rule lists below are gone through in order until none fires. DESIGN: ordinary
// path as in docs/design.md; everything else here guards it.
#include "policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace cressrill {
namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;
constexpr Nanos kPulse = 10 * kMs;        // rules that wait for a time are looked at this often
constexpr Nanos kKeptFor = 60 * kSecond;  // a holder entry lapses: about a session's life
constexpr Nanos kMemory = 10 * kSecond;   // decay of what is learned: long against a read and an answer
constexpr Nanos kReportLife = kSecond;    // an older load report says no more than the average
constexpr double kFirstRate = 10'000;     // tokens read a second, until answers tell,
constexpr double kPriorTokens = 1'000;    // given the weight of one short read
constexpr double kPriorSeconds = 0.2;     // and a reader's own speed that of reads of so long
constexpr double kNear = 0.1;             // holders tie within this share of the read's time
constexpr double kTieBand = 0.25;         // writers tie within this share of their memory
constexpr double kRoom = 0.92;            // fuller writers push their newest answers back into the queue
constexpr double kOthersRead = 0.5;   // of what others hold at a reader, half is read and waits for its fetch
constexpr double kSmooth = 0.1;       // weight of a new sample in a smoothed wait
constexpr Nanos kHeldUp = 120 * kMs;  // a send may be held up so long past the rules' own slack of 50 ms
constexpr double kLate = 3;           // an attempt is late past this multiple of what it should take,
constexpr Nanos kGrace = 250 * kMs;   // and this much: a pause, a lost packet, a handshake
constexpr Nanos kFullRest =
    150 * kMs;                     // one that said full or was not reached is let be: about an answer's end
constexpr double kStrikesOut = 2;  // failures less than one success apart
constexpr Nanos kAside = 2 * kSecond;  // time set aside, plus a random part up to
constexpr Nanos kAsideSpread = kSecond;
constexpr double kFirstLimit = 8;  // in flight before the first token, per router; grows by one
constexpr double kLeastLimit = 1;  // a router, and a reader over all routers; fewer would idle readers
constexpr double kCut = 0.7;       // and is cut by a share, at most once in
constexpr Nanos kCutEvery = 500 * kMs;
constexpr double kPatience = 0.2;      // share of the latency SLO that a sequence may wait in line
constexpr double kPart = 0.5;          // share of it that may pass from the read's start to the first token
constexpr double kStrainWeight = 0.2;  // of a new sample: some answers tell, not one
constexpr double kHomes = 8;           // readers that share a beginning: a hot one must fit, all must be kept
constexpr double kHomeTrust = 0.8;     // of what only its session has, believed to be kept at its home
constexpr double kOddSpeed = 2;    // a reader is as fast as the others within this factor: waits are noise
constexpr double kColdCare = 0.5;  // share of the cold budget that is used: others guess too

double seconds(Nanos t) { return static_cast<double>(t) / static_cast<double>(kSecond); }
Nanos nanos(double s) { return static_cast<Nanos>(s * static_cast<double>(kSecond)); }
double decay(Nanos since, Nanos life = kMemory) { return std::exp(-seconds(since) / seconds(life)); }
void smooth(double& value, double sample) { value += kSmooth * (sample - value); }
void blend(RunningMean& m, double sample) {
  m.samples += 1, m.value += std::max(kSmooth, 1 / m.samples) * (sample - m.value);
}

class Router final : public Policy {
 public:
  Router(const PolicySettings& deployment, std::uint64_t seed, Nanos now, Actions& actions)
      : d_(deployment), out_(actions), now_(now) {
    s_.random_state = seed, s_.random_increment = seed << 1 | 1;
    s_.in_flight_limit = kFirstLimit;
    s_.mean_prefill_tokens = kPriorTokens;
    s_.mean_first_token_seconds = s_.mean_prefill_seconds = seconds(kGrace);
    s_.tenant_arrivals.resize(d_.tenant_rates.size()), s_.tenant_updated_at.resize(d_.tenant_rates.size());
    s_.subscribed_at = now - d_.subscription_lifetime;
  }

  void list_begins(Nanos now, bool complete) override {
    now_ = now;
    if (complete)
      for (Worker& w : s_.workers) w.status = WorkerStatus::gone;
  }

  void worker_listed(int worker, std::uint64_t identity, WorkerStatus standing, Nanos started, int kind,
                     int zone, int cell) override {
    if (worker >= static_cast<int>(s_.workers.size()))
      s_.workers.resize(static_cast<std::size_t>(worker) + 1);
    Worker& w = at(worker);
    if (!w.known) {
      w = {.known = true, .identity = identity, .started_at = started, .cache_valid_since = now_};
      w.cold_since = started > 0 ? started : kNever;
    } else if (started > w.started_at) {  // restarted: empty, cold, and whatever ailed it is gone
      w.started_at = w.cache_valid_since = started;
      if (w.cold_since == kNever || w.cold_since < started) w.cold_since = started;
      if (w.ejected_until > now_) w.ejected_until = now_;
      w.reported_memory_share = w.reported_requests = -1;
    }
    w.status = standing, w.kind = kind, w.zone = zone, w.cell = cell;
    w.role = d_.kinds[static_cast<std::size_t>(kind)].role;
  }

  void list_ends() override {
    s_.worker_counts = {};
    for (int i = 0; i < static_cast<int>(s_.workers.size()); ++i) {
      Worker& w = at(i);
      if (w.status != WorkerStatus::gone) w.gone_since = 0;
      if (w.known && w.status == WorkerStatus::gone) forget_gone(i);
      if (!listed(w)) continue;
      const std::size_t reads = w.role == Role::prefill;
      s_.worker_counts.ready[reads].push_back(i);
      ++s_.worker_counts.in_zone[reads][w.zone], ++s_.worker_counts.in_cell[reads][w.zone][w.cell];
    }
    while (!s_.queue.empty()) unparked(s_.queue.back());
    run();
  }

  void list_failed(Nanos now) override { now_ = now; }  // it is asked for again in time
  void request_arrived(Nanos now, int seq, int type, int tenant, std::uint64_t session,
                       std::uint64_t beginning, double prompt, double beginning_tokens, double max_out,
                       Nanos abandon_at) override {
    now_ = now;
    if (seq >= static_cast<int>(s_.requests.size())) s_.requests.resize(static_cast<std::size_t>(seq) + 1);
    RequestState& q = s_.requests[static_cast<std::size_t>(seq)];
    const TrafficType& t = d_.types[static_cast<std::size_t>(type)];
    q = RequestState{};
    q.id = seq, q.type = type, q.within_tenant_share = take_share(tenant), q.admission_draw = chance();
    q.session = session, q.prefix_hash = beginning, q.prefix_tokens = beginning_tokens;
    q.prompt_tokens = prompt, q.max_output_tokens = max_out, q.arrived_at = now, q.deadline = abandon_at;
    q.slo_deadline = now + t.slo + nanos(prompt / 1000 * seconds(t.slo_per_1000_tokens));
    q.kv_held_since = kNever;
    q.uncached_tokens = to_read(q);
    q.arrival_order = s_.arrivals++;
    s_.active.push_back(seq);
    run();
  }

  void client_left(Nanos now, int seq) override {
    now_ = now;
    finish(unparked(seq));
    run();
  }

  void stream_started(Nanos now, int seq, int attempt, Nanos took) override {
    now_ = now;
    RequestState& q = unparked(seq);
    Attempt& a = q.attempts[static_cast<std::size_t>(attempt)];
    Worker& w = at(a.worker);
    --w.pending_attempts, ++s_.recent_answers[0];
    a.stream_started = true,
    a.abandoned = false;  // it began after all: if it breaks, an answer is still owed
    answered(w), state_gone(q);
    smooth(s_.mean_first_token_seconds, seconds(took));
    if (q.stage == Stage::finished) return run();
    // Guards against queues that build where no one says full (prompts not kept any more, long answers, lost
    // workers): what is sent should stream within its part of the latency SLO, the rest is for the line.
    s_.latency_pressure +=
        kStrainWeight *
        (seconds(now - q.dequeued_at) / seconds(q.slo_deadline - q.arrived_at) - s_.latency_pressure);
    if (s_.latency_pressure > kPart)
      cut_limit();
    else if (in_flight() * 2 >= s_.in_flight_limit)
      s_.in_flight_limit += 1 / s_.in_flight_limit;  // by one for each limit's worth
    enter(q, Stage::streaming);
    run();
  }

  void attempt_ended(Nanos now, int seq, int attempt, Outcome outcome, Nanos took, bool closed, double kept,
                     const LoadReport& report) override {
    now_ = now;
    RequestState& q = unparked(seq);
    Attempt& a = q.attempts[static_cast<std::size_t>(attempt)];
    Worker& w = at(a.worker);
    a.outstanding = false;
    if (!a.stream_started) --w.pending_attempts;
    double& load = a.is_prefill ? w.prefill_tokens : w.decode_tokens;
    load = std::max(0.0, load - a.load_tokens);
    const bool silent = w.last_heard < a.sent_at;
    a.rejected_or_timed_out = outcome == Outcome::full || outcome == Outcome::timed_out;
    if (report.received) note_report(w, report);
    judge(w, outcome, silent, a.abandoned);
    watch(a.worker);
    if (outcome == Outcome::prefill_done) read_ended(q, a, w, took, kept);
    // What was late would have taken so long at least: unlearned, time-outs stay too short in a jam.
    if (outcome == Outcome::timed_out && !a.is_prefill) smooth(s_.mean_first_token_seconds, seconds(took));
    if (outcome == Outcome::timed_out && a.is_prefill) learn_late_read(a, w, seconds(took));
    if (outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost ||
        outcome == Outcome::cancelled)
      (a.is_prefill ? a.may_have_left_kv : q.maybe_ran) = true;
    if (outcome == Outcome::timed_out && !silent) cut_limit();
    if (closed) finish(q);
    if (q.stage != Stage::finished && !a.abandoned) go_back(q, a, outcome);
    // Rule 5: while connections fail to come up, the time that a state may wait keeps running.
    const bool reached = outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
    if (q.kv_held_since != kNever && reached) q.kv_held_since = now;
    run();
  }

  void on_wakeup(Nanos now) override {
    now_ = now;
    run();
  }

  // A writer that is asked now would find no state, and a read that is out leaves none: the sequence is read anew. A write
  // that is out may have the state yet.
  void kv_released(Nanos now, int seq) override {
    now_ = now;
    RequestState& q = unparked(seq);
    state_gone(q);
    if (q.stage == Stage::prefilling) learn_from_voided(q), stop_asking(q);
    if (q.stage == Stage::prefilling || q.stage == Stage::prefilled) enter(q, Stage::queued);
    run();
  }
  ExpectedLoad expected_load(int worker) const override {
    return {at(worker).pending_attempts, at(worker).kv_entries};
  }

 private:
  template <class Subject>
  struct Rule {
    bool (Router::*when)(const Subject&) const;
    void (Router::*then)(Subject&);
  };

  void run() {
    static constexpr std::array<Rule<Worker>, 2> worker_rules{{
        {&Router::fell_silent, &Router::set_aside_and_leave},
        {&Router::struck_out, &Router::set_aside},
    }};
    static constexpr std::array<Rule<RequestState>, 8> sequence_rules{{
        {&Router::still_asked, &Router::stop_asking},
        {&Router::done_with, &Router::forget},
        {&Router::nearly_abandoned, &Router::give_up},
        {&Router::nearly_overdue, &Router::give_up},
        {&Router::hopeless, &Router::give_up},
        {&Router::ready_to_write, &Router::write},
        {&Router::ready_to_read, &Router::read},
        {&Router::too_long_in_line, &Router::give_up},
    }};
    if (!line_quiet()) call_due();
    for (bool fired = true; fired;) {
      fired = false;
      for (const Rule<Worker>& rule : worker_rules)
        for (std::size_t i = 0; i < s_.watched.size(); ++i) {
          Worker& w = at(s_.watched[i]);
          if ((this->*rule.when)(w)) (this->*rule.then)(w), fired = true;
        }
      for (const Rule<RequestState>& rule : sequence_rules) {
        const bool reads = rule.then == &Router::read;
        if (reads) call_first();
        for (std::size_t i = 0; i < s_.active.size(); ++i) {
          RequestState& q = sequence(s_.active[i]);
          if (!(this->*rule.when)(q)) continue;
          (this->*rule.then)(q), fired = true;
          if (reads) call_first();
        }
      }
    }
    std::erase_if(s_.watched, [&](int i) {
      Worker& w = at(i);
      return !(w.watched = w.pending_attempts > 0 || w.failure_score >= kStrikesOut);
    });
    if (d_.needs_subscription && now_ - s_.subscribed_at > d_.subscription_lifetime / 2)
      s_.subscribed_at = now_, out_.subscribe();
    // No rule's matter, and thousands wait so: streams with no other attempt out, until something happens
    // there; those in line, until their time comes or, one at a time, their turn.
    s_.parked += std::erase_if(s_.active, [&](int id) {
      RequestState& q = sequence(id);
      const bool waits = q.stage == Stage::queued;
      q.parked = (waits || q.stage == Stage::streaming) && std::ranges::none_of(q.attempts, unanswered);
      if (q.parked && waits) s_.queue.push_back(id), note_line(q);
      return q.parked;
    });
    if (s_.active.size() + s_.parked > 0 && s_.next_wakeup_at <= now_)
      s_.next_wakeup_at = now_ + kPulse, out_.request_wakeup(kPulse);
    sweep_holders();
  }

  // A sequence that something happened to is looked at again, in its place by arrival.
  RequestState& unparked(int seq) {
    RequestState& q = sequence(seq);
    if (!q.parked) return q;
    if (q.stage == Stage::queued) s_.queue.erase(std::ranges::find(s_.queue, seq));
    q.parked = false, --s_.parked;
    const auto order = [&](int id) { return sequence(id).arrival_order; };
    s_.active.insert(std::ranges::lower_bound(s_.active, q.arrival_order, {}, order), seq);
    return q;
  }

  // The line: when a rule that waits for a time may act on one of it, at the earliest.
  void note_line(const RequestState& q) {
    s_.queue_next_timeout = std::min(s_.queue_next_timeout, patient_until(q));
    s_.queue_next_deadline = std::min(s_.queue_next_deadline, q.deadline);
  }
  Nanos patient_until(const RequestState& q) const {
    const auto patience = static_cast<Nanos>(kPatience * static_cast<double>(q.slo_deadline - q.arrived_at));
    return q.attempts.empty() ? q.arrived_at + patience - 1
                              : std::max(q.arrived_at + patience - 1, q.slo_deadline);
  }
  bool pressed(Nanos patient, Nanos abandon) const {
    const Nanos longest = nanos(s_.mean_first_token_seconds + (readers() > 0) * s_.mean_prefill_seconds);
    return now_ >= patient || now_ + longest > abandon || now_ >= abandon - 2 * d_.tick - kPulse;
  }
  bool line_quiet() const {
    return s_.queue.empty() || !pressed(s_.queue_next_timeout, s_.queue_next_deadline);
  }
  void call_due() {
    std::vector<int> due;
    s_.queue_next_timeout = s_.queue_next_deadline = kNever;
    for (const int id : s_.queue)
      pressed(patient_until(sequence(id)), sequence(id).deadline) ? due.push_back(id)
                                                                  : note_line(sequence(id));
    for (const int id : due) unparked(id);
  }
  // While another may be read: the first in line takes part, and all others come after it.
  void call_first() {
    if (s_.queue.empty() || in_flight() >= s_.in_flight_limit) return;
    const auto first = [&](int a, int b) { return before(sequence(a), sequence(b)); };
    unparked(*std::ranges::min_element(s_.queue, first));
  }

  // Guards against memory that grows with workers that come under new ids: one that is gone for as long as a
  // holder entry lasts is forgotten. Harms one that comes back after that under its id: it counts as new.
  void forget_gone(int worker) {
    Worker& w = at(worker);
    if (w.gone_since == 0) w.gone_since = now_;
    if (now_ - w.gone_since < kKeptFor || w.watched) return;
    for (const RequestState& q : s_.requests)
      for (const Attempt& a : q.attempts)
        if (a.worker == worker && (a.outstanding || q.stage != Stage::finished)) return;
    w = {};
    out_.forget_worker(worker);
  }

  // Workers: what ails them.

  // Guards against machines that vanish or hang and against cut links: attempts are overdue, and nothing was
  // heard since they were sent. Can harm a lone worker in one long step; it is back after its time aside.
  bool fell_silent(const Worker& w) const {
    if (w.pending_attempts == 0 || w.ejected_until > now_ || now_ <= w.next_overdue_at) return false;
    w.next_overdue_at = kNever;
    for (const int id : s_.active)
      for (const Attempt& a : sequence(id).attempts)
        if (unanswered(a) && &at(a.worker) == &w && w.last_heard < a.sent_at)
          w.next_overdue_at = std::min(w.next_overdue_at, a.sent_at + late_after(a));
    return now_ > w.next_overdue_at;
  }
  // In order of index, as all workers were gone through before.
  void watch(int worker) {
    if (std::exchange(at(worker).watched, true)) return;
    s_.watched.insert(std::ranges::lower_bound(s_.watched, worker), worker);
  }
  void set_aside_and_leave(Worker& w) {
    set_aside(w);
    for (const int id : s_.active) {
      RequestState& q = sequence(id);
      for (Attempt& a : q.attempts)
        if (unanswered(a) && &at(a.worker) == &w && open(q)) {
          leave(q, a);
          go_back(q, a, Outcome::timed_out);
        }
    }
  }

  // Guards against workers that fail fast: errors, broken connections, refusals to connect.
  bool struck_out(const Worker& w) const { return w.failure_score >= kStrikesOut && w.ejected_until <= now_; }
  void set_aside(Worker& w) {
    w.ejected_until = now_ + kAside + nanos(seconds(kAsideSpread) * chance());
    w.half_open = true, w.failure_score = 0;
  }

  bool cold(const Worker& w) const { return w.cold_since != kNever && now_ < w.cold_since + d_.ramp_time; }

  void judge(Worker& w, Outcome outcome, bool silent, bool given_up) {
    const bool lost = outcome == Outcome::connection_lost || outcome == Outcome::connect_failed;
    // Guards against attempts that are all spent at once where every other worker is set aside.
    if (outcome == Outcome::full || outcome == Outcome::connect_failed) w.backoff_until = now_ + kFullRest;
    if (outcome == Outcome::full || outcome == Outcome::kv_missing || outcome == Outcome::error)
      w.last_heard = now_;
    if (outcome == Outcome::prefill_done) ++s_.recent_answers[1];
    if (outcome == Outcome::generated || outcome == Outcome::prefill_done) answered(w);
    // A connection breaks alone as well, and its worker is fine: a dead one refuses the next.
    const bool refused = outcome == Outcome::connect_failed && !given_up;
    if (outcome == Outcome::error || (lost && !given_up))
      w.failure_score += w.half_open || refused ? kStrikesOut : 1;
    if (outcome == Outcome::timed_out) w.failure_score += silent ? kStrikesOut : 1;
    if (outcome == Outcome::connect_failed && w.connection_broken) w.was_unreachable = true;
    if (outcome == Outcome::connection_lost) w.connection_broken = true;
  }

  void answered(Worker& w) {
    w.last_heard = now_, w.failure_score /= 2, w.half_open = false;
    if (w.ejected_until > now_) w.ejected_until = now_;
    // Guards rule 4 where the list is late: what was down and answers again has just started.
    if (w.was_unreachable) w.cold_since = w.cache_valid_since = now_;
    w.connection_broken = w.was_unreachable = false;
  }

  void note_report(Worker& w, const LoadReport& report) {
    w.reported_at = now_;
    w.reported_requests = report.requests;
    w.reported_memory_share = report.memory_share;
    w.own_requests_at_report = w.pending_attempts + w.kv_entries;
    w.decode_tokens_since_report = 0;
    const auto role = static_cast<std::size_t>(w.role);
    if (report.memory_share >= 0) blend(s_.mean_memory_share[role], report.memory_share);
    if (report.requests >= 0)
      blend(s_.mean_other_requests[role], std::max(0.0, w.reported_requests - w.own_requests_at_report));
  }

  // Guards rule 4 with any number of routers: each lets the same part of its own sends near a cold worker, by
  // chance and with nothing saved up, so that all together send it a part of what a warm one answers.
  double cold_part(const Worker& w) const {
    const double climbed = std::clamp(seconds(now_ - w.cold_since) / seconds(d_.ramp_time), 0.0, 1.0);
    const double capacity = d_.cold_start_capacity + (1 - d_.cold_start_capacity) * climbed * climbed;
    double warm = 0, all = 0;
    for (const int i : s_.worker_counts.ready[w.role == Role::prefill])
      if (at(i).role == w.role) ++all, warm += !cold(at(i));
    const std::size_t reads = w.role == Role::prefill;
    const double answers = (s_.recent_answers[reads] + 1) / (s_.recent_sends[reads] + 1);
    return std::min(1.0, kColdCare * d_.overload_factor * capacity) * answers / (warm > 0 ? warm : all);
  }
  bool cold_turn(const RequestState& q, const Worker& w) const {
    // By its hash, as an identity of 64 bits leaves a double no fraction: the guard would let all through.
    const double drawn = q.admission_draw + 0.618034 * static_cast<double>(q.attempts.size()) + mixed(0, w);
    return drawn - std::floor(drawn) < cold_part(w);
  }

  // Sequences: the ordinary path and its ends.

  bool still_asked(const RequestState& q) const {
    return !open(q) && std::ranges::any_of(q.attempts, unanswered);
  }
  void stop_asking(RequestState& q) {
    for (Attempt& a : q.attempts)
      if (unanswered(a)) leave(q, a);
  }
  static bool unanswered(const Attempt& a) { return a.outstanding && !a.abandoned && !a.stream_started; }
  void leave(RequestState& q, Attempt& a) {
    a.abandoned = true;
    if (q.kv_held_since != kNever) q.kv_held_since = now_;
    if (d_.can_cancel) out_.cancel(q.id, static_cast<int>(&a - q.attempts.data()));
  }

  bool done_with(const RequestState& q) const {
    return q.stage == Stage::finished && std::ranges::none_of(q.attempts, &Attempt::outstanding);
  }
  void forget(RequestState& q) {
    drop_strays(q);
    s_.active.erase(std::find(s_.active.begin(), s_.active.end(), q.id));
    out_.forget_request(q.id);
  }

  // Rule 5: the state of a read that was left, or whose answer was lost on its way, may have come after all.
  void drop_strays(RequestState& q) {
    if (std::ranges::any_of(q.attempts, [](auto& a) { return a.abandoned || a.may_have_left_kv; }))
      out_.release(q.id);
  }

  // Rule 1: the last moment at which an answer is surely in time.
  bool nearly_abandoned(const RequestState& q) const {
    return open(q) && now_ >= q.deadline - 2 * d_.tick - kPulse;
  }
  // Rule 5, with half the limit as margin: no writer took the state.
  bool nearly_overdue(const RequestState& q) const {
    return q.stage == Stage::prefilled && now_ - q.kv_held_since >= d_.kv_hold_limit / 2;
  }
  // No attempt left, or too little time even for what usually takes longest at the coming stage.
  bool hopeless(const RequestState& q) const {
    if (q.stage != Stage::queued && q.stage != Stage::prefilled) return false;
    const int needed = q.stage == Stage::queued && readers() > 0 ? 2 : 1;
    return static_cast<int>(q.attempts.size()) + needed > d_.max_attempts ||
           (q.maybe_ran && repeat_closed(q)) ||
           now_ + nanos(s_.mean_first_token_seconds + (needed - 1) * s_.mean_prefill_seconds) > q.deadline;
  }
  bool too_long_in_line(const RequestState& q) const {
    return q.stage == Stage::queued &&
           static_cast<double>(now_ - q.arrived_at) >
               kPatience * static_cast<double>(q.slo_deadline - q.arrived_at) &&
           (q.attempts.empty() || now_ > q.slo_deadline);
  }

  void give_up(RequestState& q) {
    const TrafficType& t = type(q);
    const bool may_reject = t.effect == Effect::repeatable || !may_have_run(q) ||
                            (t.effect == Effect::tokened && t.group == Group::all);
    const double after = d_.send_retry_after ? seconds(d_.max_retry_after) * (0.5 + 0.5 * chance()) : 0;
    may_reject ? out_.reject(q.id, nanos(after)) : out_.abort(q.id);
    finish(q);
  }
  void finish(RequestState& q) {
    if (q.kv_held_since != kNever) out_.release(q.id);
    state_gone(q);
    enter(q, Stage::finished);
  }
  void state_gone(RequestState& q) {
    if (q.kv_held_since != kNever) --at(q.prefill_worker).kv_entries;
    q.kv_held_since = kNever;
  }

  // After an attempt that brought nothing: back in line or, while the state waits, to the choice of a writer.
  void go_back(RequestState& q, const Attempt& a, Outcome outcome) {
    if (outcome == Outcome::prefill_done || outcome == Outcome::generated) return;
    if (a.is_prefill || outcome == Outcome::kv_missing || q.kv_held_since == kNever) {
      state_gone(q);
      drop_strays(q);
      enter(q, Stage::queued);
    } else {
      enter(q, Stage::prefilled);
    }
  }

  void read_ended(RequestState& q, const Attempt& a, Worker& w, Nanos took, double kept) {
    const double read = std::max(1.0, q.prompt_tokens - kept);
    learn(w, a.queued_tokens_ahead + read, seconds(took));
    smooth(s_.mean_prefill_tokens, read);
    smooth(s_.mean_prefill_seconds, seconds(took));
    // Guards against leads that are gone (a flush, a full memory, a restart that no one told): where this key
    // was dropped, keys that were last read there before it are gone too.
    if (kept < a.expected_cached_tokens / 2)
      w.cache_valid_since = std::max(w.cache_valid_since, a.prefix_recorded_at + 1);
    hold(q.session, a.worker, q.prompt_tokens);
    hold(q.prefix_hash, a.worker, q.prefix_tokens);
    // A read that was left for late may end first all the same: its state is as good, the other read stops.
    if (q.stage != Stage::prefilling && q.stage != Stage::queued) return;
    stop_asking(q);
    enter(q, Stage::prefilled);
    q.prefill_worker = a.worker, q.kv_held_since = now_;
    ++w.kv_entries;
  }

  // The read: DESIGN's load pick and the holder's lead against it.

  bool ready_to_read(const RequestState& q) const {
    if (q.stage != Stage::queued || in_flight() >= s_.in_flight_limit || !has_room(q)) return false;
    for (const int id : s_.active)
      if (sequence(id).stage == Stage::queued && before(sequence(id), q)) return false;
    return !candidates(q, readers() > 0).empty();
  }
  // By latency SLO; while readers are what is short, the least to read first, so that most are answered.
  bool before(const RequestState& a, const RequestState& b) const {
    if (a.within_tenant_share != b.within_tenant_share) return a.within_tenant_share;
    const bool readers_short =
        s_.latency_pressure > kPart / 2 && s_.mean_prefill_seconds > s_.mean_first_token_seconds;
    if (readers_short && a.uncached_tokens != b.uncached_tokens) return a.uncached_tokens < b.uncached_tokens;
    return a.slo_deadline != b.slo_deadline ? a.slo_deadline < b.slo_deadline : a.id < b.id;
  }
  double to_read(const RequestState& q) const {
    double most = 0;
    const int home = home_of(q);
    const auto look = [&](int w) {
      if (serves(at(w), true) && listed(at(w))) most = std::max(most, lead(q, w, home));
    };
    if (home >= 0) look(home);
    for (const std::uint64_t key : {q.session, q.prefix_hash})
      if (const auto it = s_.prefix_holders.find(key); key != 0 && it != s_.prefix_holders.end())
        for (const PrefixHolder& h : it->second) look(h.worker);
    return q.prompt_tokens - most;
  }
  // The lead by worker: most have none, and neither table is asked for them.
  auto leads(const RequestState& q, int home) const {
    const auto listed_at = [&](std::uint64_t key) {
      const auto it = key == 0 ? s_.prefix_holders.end() : s_.prefix_holders.find(key);
      return it == s_.prefix_holders.end() ? nullptr : &it->second;
    };
    return [this, &q, home, own = listed_at(q.session), shared = listed_at(q.prefix_hash)](int w) {
      const auto here = [w](const PrefixHolder& h) { return h.worker == w; };
      const bool any = w == home || (own != nullptr && std::ranges::any_of(*own, here)) ||
                       (shared != nullptr && std::ranges::any_of(*shared, here));
      return any ? lead(q, w, home) : 0;
    };
  }
  double lead(const RequestState& q, int w, int home) const {
    const double own = q.prompt_tokens - q.prefix_tokens;  // what only this session has
    return std::max(promise(q, w).tokens, w == home ? q.prefix_tokens + kHomeTrust * own : 0);
  }
  void read(RequestState& q) {
    if (readers() == 0) return write(q);  // mixed workers, or writers that read: one attempt does both
    const std::vector<int>& usable = usable_;
    const double pace = per_token();
    for (const int w : usable) at(w).seconds_per_token = per_token(at(w)), at(w).load_score = ease(at(w));
    const int by_load = sample(
        usable, [&](int w) { return at(w).load_score; }, kNear * s_.mean_prefill_tokens * pace);
    const int home = home_of(q);
    const auto lead_of = leads(q, home);
    const double lead_by_load = lead_of(by_load), ease_by_load = at(by_load).load_score;
    holders_.clear();
    for (const int w : usable) {
      Worker& x = at(w);
      x.cache_advantage = (lead_of(w) - lead_by_load) * x.seconds_per_token + x.load_score - ease_by_load;
      if (x.cache_advantage > 0) holders_.push_back(w);
    }
    const auto gain = [&](int w) { return at(w).cache_advantage; };
    q.prefill_worker = holders_.empty() ? by_load : sample(holders_, gain, kNear * q.prompt_tokens * pace);
    enter(q, Stage::prefilling);
    q.dequeued_at = now_;
    send(q, q.prefill_worker, true);
  }
  // Departure: a session that the table does not know may have been read through another router. All routers
  // name the same reader for it, by a hash, among a few that they name for its beginning: a large fleet
  // has more beginnings than one reader can keep. A home that is cold or set aside passes on to the next one.
  int home_of(const RequestState& q) const {
    if (q.session == 0 || s_.prefix_holders.contains(q.session)) return -1;
    const auto& zones = s_.worker_counts.in_zone[1];
    const auto in = [&](int zone) {
      const auto it = zones.find(zone);
      return it == zones.end() ? 0 : it->second;
    };
    const double here = in(d_.zone), all = readers() + 1;
    // Zones are uneven: what is past the even part of the zone's readers has its home in another zone.
    const double even = here * static_cast<double>(zones.size() + (here == 0)) / all;
    const bool stays = mixed(q.session, Worker{}) < even;
    int home = -1;
    double most = -1;
    for (const int w : s_.worker_counts.ready[1]) {
      if (at(w).ejected_until > now_ || cold(at(w))) continue;
      const bool shares = q.prefix_hash == 0 || mixed(q.prefix_hash, at(w)) * in(at(w).zone) < kHomes;
      const double rank = mixed(q.session, at(w)) + shares + 2 * ((at(w).zone == d_.zone) == stays);
      if (rank > most) home = w, most = rank;  // clients come again in their zone
    }
    return home;
  }
  static double mixed(std::uint64_t key, const Worker& w) {
    std::uint64_t mixed = (key ^ w.identity * 0x9e3779b97f4a7c15u) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ mixed >> 31) * 0x94d049bb133111ebu;
    return static_cast<double>(mixed >> 11) / 9007199254740992.0;
  }
  // Among those within a margin of the best, by chance with weight 1 / (waiting + 1).
  template <class Score>
  int sample(const std::vector<int>& from, Score score, double margin) {
    double best = -1e18, total = 0;
    for (const int w : from) best = std::max(best, score(w));
    near_.clear();
    for (const int w : from)
      if (score(w) >= best - margin) near_.push_back({w, 1 / (waiting(at(w)) + 1)});
    for (const auto& [w, weight] : near_) total += weight;
    double left = chance() * total;
    for (const auto& [w, weight] : near_)
      if ((left -= weight) <= 0) return w;
    return near_.back().first;
  }
  // What a read takes, learned from answers: a line through the fleet's reads (seconds a token, and a part
  // that does not grow with the tokens), and for each reader how far it lies off that line.
  void learn(Worker& w, double tokens, double took) {
    const double keep = decay(now_ - w.speed_updated_at), should = overhead() + tokens * per_token();
    w.measured_prefill_seconds = w.measured_prefill_seconds * keep + took;
    w.predicted_prefill_seconds = w.predicted_prefill_seconds * keep + should;
    w.speed_updated_at = now_;
    const LinearFit& l = s_.prefill_time_fit;
    const double k = decay(now_ - l.updated_at), xx = tokens * tokens, xt = tokens * took;
    s_.prefill_time_fit = {l.weight * k + 1,  l.sum_x * k + tokens, l.sum_y * k + took,
                           l.sum_xx * k + xx, l.sum_xy * k + xt,    now_};
  }
  void learn_late_read(const Attempt& a, Worker& w, double took) {
    smooth(s_.mean_prefill_seconds, took);
    learn(w, a.queued_tokens_ahead + a.load_tokens, took);
  }
  // A release has voided them; they would have taken so long at least.
  void learn_from_voided(const RequestState& q) {
    for (const Attempt& a : q.attempts)
      if (a.is_prefill && unanswered(a)) learn_late_read(a, at(a.worker), seconds(now_ - a.sent_at));
  }
  double per_token() const {
    const LinearFit& l =
        s_.prefill_time_fit;  // two points ahead of the answers: nothing at once, kPriorTokens at kFirstRate
    const double n = l.weight + 2, x = l.sum_x + kPriorTokens, t = l.sum_y + kPriorTokens / kFirstRate;
    const double xx = l.sum_xx + kPriorTokens * kPriorTokens,
                 xt = l.sum_xy + kPriorTokens * kPriorTokens / kFirstRate;
    return std::max(1e-6, (n * xt - x * t) / (n * xx - x * x));
  }
  double overhead() const {
    return std::max(0.0, (s_.prefill_time_fit.sum_y - per_token() * s_.prefill_time_fit.sum_x) /
                             (s_.prefill_time_fit.weight + 1));
  }
  double per_token(const Worker& w) const {
    // However much of it has decayed, it lies between this and 1.
    const double fresh =
        (w.measured_prefill_seconds + kPriorSeconds) / (w.predicted_prefill_seconds + kPriorSeconds);
    if (fresh < 0.99 * kOddSpeed && fresh * 0.99 * kOddSpeed > 1) return per_token();
    const double keep = decay(now_ - w.speed_updated_at);
    const double ratio = (w.measured_prefill_seconds * keep + kPriorSeconds) /
                         (w.predicted_prefill_seconds * keep + kPriorSeconds);
    return per_token() * (ratio > kOddSpeed || ratio * kOddSpeed < 1 ? ratio : 1);
  }
  // What others hold at a reader.
  double others(const Worker& w) const {
    const double reported =
        w.reported_requests < 0 ? -1 : std::max(0.0, w.reported_requests - w.own_requests_at_report);
    return drifted(w, reported, s_.mean_other_requests[static_cast<std::size_t>(w.role)], kReportLife);
  }
  double ease(const Worker& w) const {
    return -wait(w, w.seconds_per_token) - s_.mean_prefill_tokens * w.seconds_per_token - far(w);
  }
  double waiting(const Worker& w) const { return w.pending_attempts + kOthersRead * others(w); }
  double wait(const Worker& w, double pace) const {
    return (w.prefill_tokens + kOthersRead * others(w) * s_.mean_prefill_tokens) * pace;
  }
  // Crossing zones costs a share of the utility: as much as so much waiting.
  double far(const Worker& w) const {
    return w.zone == d_.zone ? 0 : d_.cross_zone_price + kNear * s_.mean_prefill_tokens * per_token();
  }

  // The write: DESIGN's pick by memory, after the read, with its tie order.

  bool ready_to_write(const RequestState& q) const {
    return q.stage == Stage::prefilled && !candidates(q, false).empty();
  }
  void write(RequestState& q) {
    const std::vector<int>& usable = usable_;
    double best = 1e18;
    for (const int w : usable) best = std::min(best, at(w).memory_fullness = fullness(at(w)));
    const int cell = q.prefill_worker < 0 ? -1 : at(q.prefill_worker).cell,
              zone = q.prefill_worker < 0 ? d_.zone : at(q.prefill_worker).zone;
    // Departure: where a cell's writers are few for its readers, only their even part stays in the cell.
    const bool stays = cell < 0 || chance() < even_part(at(q.prefill_worker));
    // What still ties goes by chance: by index, a hundred routers would all name the same writer.
    using Rank = std::tuple<bool, bool, bool, double, double>;
    int writer = -1;
    Rank first;
    for (const int w : usable) {
      const Worker& x = at(w);
      const bool misfit = stays ? x.cell != cell : x.zone != zone || even_part(x) <= 1;
      const Rank rank{x.memory_fullness > best + kTieBand, misfit, x.zone != zone, x.decode_tokens, chance()};
      if (writer < 0 || rank < first) writer = w, first = rank;
    }
    enter(q, Stage::decoding);
    send(q, writer, false);
  }
  // A cell's share of its zone's writers against its share of the zone's readers.
  double even_part(const Worker& in) const {
    double all[2]{}, here[2]{};
    for (std::size_t reads = 0; reads < 2; ++reads) {
      const auto zone = s_.worker_counts.in_cell[reads].find(in.zone);
      if (zone == s_.worker_counts.in_cell[reads].end()) continue;
      all[reads] = s_.worker_counts.in_zone[reads].at(in.zone);
      if (const auto cell = zone->second.find(in.cell); cell != zone->second.end())
        here[reads] = cell->second;
    }
    return here[0] * all[1] / std::max(1.0, here[1] * all[0]);
  }
  double memory(const Worker& w) const {
    const double tokens = d_.kinds[static_cast<std::size_t>(w.kind)].memory_tokens;
    return tokens > 0 ? tokens : 1e9;  // not told: no bound
  }
  double fullness(const Worker& w) const {
    const RunningMean& mean = s_.mean_memory_share[static_cast<std::size_t>(w.role)];
    if (mean.samples == 0) return w.decode_tokens * d_.routers / memory(w);
    return drifted(w, w.reported_memory_share, mean, kMemory) + w.decode_tokens_since_report / memory(w);
  }
  // An unheard worker is as the average of those heard, and an old report drifts there.
  double drifted(const Worker& w, double reported, const RunningMean& mean, Nanos life) const {
    const double left = reported < 0 ? 0 : decay(now_ - w.reported_at, life);
    return mean.value + left * (reported - mean.value);
  }
  // Guards against states that mount at readers while writers are full: reads are held back while what this
  // router has on its way would not fit its part of the writers' free memory.
  bool has_room(const RequestState& q) const {
    if (in_flight() < least_limit()) return true;
    double room = 0, coming = stream_size(q);
    for (const int id : s_.active) {
      const Stage stage = sequence(id).stage;
      if (stage == Stage::prefilling || stage == Stage::prefilled) coming += stream_size(sequence(id));
    }
    const std::vector<int>& writers = s_.worker_counts.ready[0];
    for (std::size_t i = 0; i < writers.size() && room < coming; ++i) {
      const Worker& w = at(writers[i]);
      if (w.ejected_until <= now_) room += std::max(0.0, kRoom - fullness(w)) * memory(w) / d_.routers;
    }
    return coming <= room;
  }
  double stream_size(const RequestState& q) const { return q.prompt_tokens + q.max_output_tokens / 2; }

  // The one gate. Every send passes it, and every choice is made among what passes it.
  bool may_send(const RequestState& q, bool reads) const {
    if (static_cast<int>(q.attempts.size()) + (reads ? 2 : 1) > d_.max_attempts) return false;
    if (now_ >= q.deadline - 2 * d_.tick - kPulse) return false;  // rule 1
    return d_.allow_parallel_attempts || std::ranges::none_of(q.attempts, &Attempt::outstanding);
  }
  bool may_send(const RequestState& q, const Worker& w, bool reads) const {
    if (!listed(w)) return false;  // rule 3
    if (w.ejected_until > now_ && (w.connection_broken || enough_left(w))) return false;
    if (w.half_open && w.pending_attempts > 0) return false;
    if (w.backoff_until > now_) return false;
    if (cold(w) && !cold_turn(q, w)) return false;  // rule 4
    return reads || stays_in_group(q, w);           // rule 2
  }
  // Good until the next call: a rule's condition asks, and what it leads to chooses among the same.
  const std::vector<int>& candidates(const RequestState& q, bool reads) const {
    std::vector<int>& usable = usable_;
    usable.clear();
    if (!may_send(q, reads)) return usable;
    for (const int w : s_.worker_counts.ready[reads])
      if (may_send(q, at(w), reads)) usable.push_back(w);
    // Guards against workers that say full to one storefront or type only, though they have room, and against
    // those that answer some and leave others without a word.
    const auto turned_away = [&](int w) {
      return std::ranges::any_of(q.attempts,
                                 [&](const Attempt& a) { return a.rejected_or_timed_out && a.worker == w; });
    };
    const bool any = std::ranges::any_of(q.attempts, &Attempt::rejected_or_timed_out);
    if (any && !std::ranges::all_of(usable, turned_away)) std::erase_if(usable, turned_away);
    return usable;
  }
  bool may_have_run(const RequestState& q) const {
    return q.maybe_ran ||
           std::ranges::any_of(q.attempts, [](auto& a) { return a.outstanding && !a.is_prefill; });
  }
  Nanos repeat_until(const RequestState& q) const {
    return q.maybe_ran_since + type(q).window - 2 * d_.tick - kHeldUp;
  }
  // It may not run twice, or is not recognised as a repeat any more.
  bool repeat_closed(const RequestState& q) const {
    const Effect effect = type(q).effect;
    return effect == Effect::once_only || (effect == Effect::tokened && now_ > repeat_until(q));
  }
  bool stays_in_group(const RequestState& q, const Worker& w) const {
    const TrafficType& t = type(q);
    if (t.effect == Effect::repeatable || !may_have_run(q)) return true;
    if (repeat_closed(q)) return false;
    const Worker& first = at(q.maybe_ran_worker);
    return t.group == Group::all || (t.group == Group::zone ? w.zone == first.zone : w.cell == first.cell);
  }
  // Never so many aside that the rest tips over: the merely ill are called back when under half are left.
  bool enough_left(const Worker& w) const {
    int ready = 0, left = 0;
    for (const int i : s_.worker_counts.ready[w.role == Role::prefill])
      if (at(i).role == w.role) ++ready, left += at(i).ejected_until <= now_;
    return left * 2 >= ready;
  }

  void send(RequestState& q, int worker, bool reads) {
    Worker& w = at(worker);
    if (!may_send(q, reads) || !may_send(q, w, reads)) return;
    Attempt a{.worker = worker, .is_prefill = reads, .outstanding = true, .sent_at = now_};
    const bool repeats = !reads && may_have_run(q);
    // Rule 2, where connecting takes long: the decision is in the window, and the request's first byte is not.
    const Nanos begin_by = repeats && type(q).effect == Effect::tokened ? repeat_until(q) : kNever;
    if (reads) {
      const PrefixHolder held = promise(q, worker);
      a.expected_cached_tokens = held.tokens, a.prefix_recorded_at = held.recorded_at;
      a.load_tokens = q.prompt_tokens - a.expected_cached_tokens, a.queued_tokens_ahead = w.prefill_tokens;
      // A promise may fail: its tokens count once, or a flush would make all readers look dead.
      a.expected_duration = nanos(overhead() + wait(w, per_token(w)) +
                                  (a.load_tokens + a.expected_cached_tokens / kLate) * per_token(w));
      w.prefill_tokens += a.load_tokens;
    } else {
      a.load_tokens = stream_size(q);
      a.expected_duration = nanos(s_.mean_first_token_seconds);
      w.decode_tokens += a.load_tokens;
      w.decode_tokens_since_report += a.load_tokens;
      if (!repeats) q.maybe_ran_worker = worker, q.maybe_ran_since = now_;
    }
    ++s_.recent_sends[reads], ++w.pending_attempts;
    w.next_overdue_at = std::min(w.next_overdue_at, now_ + late_after(a));
    watch(worker);
    q.attempts.push_back(a);
    const bool last = static_cast<int>(q.attempts.size()) + (reads ? 2 : 1) > d_.max_attempts;
    out_.send(q.id, worker, {last ? 0 : late_after(a), runs_for(q, a), begin_by});
  }

  // The holder table.

  void hold(std::uint64_t key, int worker, double tokens) {
    if (key == 0 || tokens <= 0) return;
    std::vector<PrefixHolder>& list = s_.prefix_holders[key];
    for (PrefixHolder& h : list)
      if (h.worker == worker) return void(h = {worker, tokens, now_});
    list.push_back({worker, tokens, now_});
  }
  // The most that the table says this worker has kept of the prompt.
  PrefixHolder promise(const RequestState& q, int worker) const {
    PrefixHolder most{worker, 0, 0};
    for (const std::uint64_t key : {q.session, q.prefix_hash}) {
      const auto it = key == 0 ? s_.prefix_holders.end() : s_.prefix_holders.find(key);
      if (it == s_.prefix_holders.end()) continue;
      for (const PrefixHolder& h : it->second)
        if (h.worker == worker && h.recorded_at >= at(worker).cache_valid_since &&
            now_ - h.recorded_at < kKeptFor)
          if (h.tokens > most.tokens) most = {worker, std::min(h.tokens, q.prompt_tokens), h.recorded_at};
    }
    return most;
  }
  void sweep_holders() {
    if (now_ - s_.holders_swept_at < kKeptFor / 4) return;
    s_.holders_swept_at = now_;
    for (std::size_t i = 0; i < 2; ++i) s_.recent_sends[i] /= 2, s_.recent_answers[i] /= 2;
    std::erase_if(s_.prefix_holders, [&](const auto& entry) {
      return std::none_of(entry.second.begin(), entry.second.end(),
                          [&](const PrefixHolder& h) { return now_ - h.recorded_at < kKeptFor; });
    });
  }

  // Small helpers.

  // By chance, so that the smallest part of a share means something too.
  bool take_share(int tenant) {
    if (tenant >= static_cast<int>(d_.tenant_rates.size())) return true;
    const auto i = static_cast<std::size_t>(tenant);
    const double keep = decay(now_ - s_.tenant_updated_at[i], kKeptFor);
    s_.tenant_arrivals[i] = s_.tenant_arrivals[i] * keep + 1;
    s_.tenant_updated_at[i] = now_;
    return chance() * s_.tenant_arrivals[i] <= 1 + d_.tenant_rates[i] / d_.routers * seconds(kKeptFor);
  }
  double least_limit() const { return kLeastLimit * std::max(1.0, readers() / d_.routers); }
  void cut_limit() {
    if (now_ - s_.limit_cut_at >= kCutEvery)
      s_.in_flight_limit = std::max(least_limit(), s_.in_flight_limit * kCut), s_.limit_cut_at = now_;
  }
  double chance() {  // permuted congruential generator, 32 bits out
    const std::uint64_t old = s_.random_state;
    s_.random_state = old * 6364136223846793005u + s_.random_increment;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return static_cast<double>(mixed >> turn | mixed << ((32 - turn) & 31)) / 4294967296.0;
  }
  double in_flight() const { return s_.in_flight; }
  static bool flies(Stage stage) {
    return stage == Stage::prefilling || stage == Stage::prefilled || stage == Stage::decoding;
  }
  void enter(RequestState& q, Stage stage) {
    s_.in_flight += flies(stage) - flies(q.stage);
    q.stage = stage;
  }
  // Rule 5: for so long a read is taken as running and its state as not there yet. Only in a jam, until it is late: letting go
  // of it would void it, and the reads that are made in its place lengthen the jam. Never where the request may not be repeated.
  Nanos runs_for(const RequestState& q, const Attempt& a) const {
    if (type(q).effect == Effect::once_only) return 0;
    return a.expected_duration > d_.kv_hold_limit / 2 ? late_after(a) : 0;
  }
  Nanos late_after(const Attempt& a) const { return kGrace + nanos(kLate * seconds(a.expected_duration)); }
  bool open(const RequestState& q) const { return q.stage != Stage::streaming && q.stage != Stage::finished; }
  bool listed(const Worker& w) const { return w.known && w.status == WorkerStatus::ready; }
  bool serves(const Worker& w, bool reads) const { return reads == (w.role == Role::prefill); }
  double readers() const { return static_cast<double>(s_.worker_counts.ready[1].size()); }
  const TrafficType& type(const RequestState& q) const { return d_.types[static_cast<std::size_t>(q.type)]; }
  Worker& at(int worker) { return s_.workers[static_cast<std::size_t>(worker)]; }
  const Worker& at(int worker) const { return s_.workers[static_cast<std::size_t>(worker)]; }
  RequestState& sequence(int seq) { return s_.requests[static_cast<std::size_t>(seq)]; }
  const RequestState& sequence(int seq) const { return s_.requests[static_cast<std::size_t>(seq)]; }

  const PolicySettings d_;
  Actions& out_;
  Nanos now_;
  PolicyState s_;
  // Used again and again, for room: who may be sent to, who leads, who is near the best and its weight.
  mutable std::vector<int> usable_;
  std::vector<int> holders_;
  std::vector<std::pair<int, double>> near_;
};

}  // namespace

std::unique_ptr<Policy> make_policy(const PolicySettings& deployment, std::uint64_t seed, Nanos now,
                                    Actions& actions) {
  return std::make_unique<Router>(deployment, seed, now, actions);
}

}  // namespace cressrill
