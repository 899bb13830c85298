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
void blend(Mean& m, double sample) { m.n += 1, m.value += std::max(kSmooth, 1 / m.n) * (sample - m.value); }

class Router final : public Policy {
 public:
  Router(const Deployment& deployment, std::uint64_t seed, Nanos now, Actions& actions)
      : d_(deployment), out_(actions), now_(now) {
    s_.chance = seed, s_.chance_step = seed << 1 | 1;
    s_.limit = kFirstLimit;
    s_.read_tokens = kPriorTokens;
    s_.first_wait = s_.read_wait = seconds(kGrace);
    s_.tenant_came.resize(d_.tenant_rates.size()), s_.tenant_at.resize(d_.tenant_rates.size());
    s_.list_asked = now - d_.must_ask_in;
  }

  void list_begins(Nanos now, bool complete) override {
    now_ = now;
    if (complete)
      for (Worker& w : s_.workers) w.standing = Standing::gone;
  }

  void worker_listed(int worker, std::uint64_t identity, Standing standing, Nanos started, int kind, int zone,
                     int cell) override {
    if (worker >= static_cast<int>(s_.workers.size()))
      s_.workers.resize(static_cast<std::size_t>(worker) + 1);
    Worker& w = at(worker);
    if (!w.known) {
      w = {.known = true, .identity = identity, .started = started, .void_before = now_};
      w.cold_since = started > 0 ? started : kNever;
    } else if (started > w.started) {  // restarted: empty, cold, and whatever ailed it is gone
      w.started = w.void_before = started;
      if (w.cold_since == kNever || w.cold_since < started) w.cold_since = started;
      if (w.aside_until > now_) w.aside_until = now_;
      w.memory_share = w.sequences = -1;
    }
    w.standing = standing, w.kind = kind, w.zone = zone, w.cell = cell;
    w.role = d_.kinds[static_cast<std::size_t>(kind)].role;
  }

  void list_ends() override {
    s_.census = {};
    for (int i = 0; i < static_cast<int>(s_.workers.size()); ++i) {
      Worker& w = at(i);
      if (w.standing != Standing::gone) w.gone_since = 0;
      if (w.known && w.standing == Standing::gone) forget_gone(i);
      if (!listed(w)) continue;
      const std::size_t reads = w.role == Role::reader;
      s_.census.ready[reads].push_back(i);
      ++s_.census.in_zone[reads][w.zone], ++s_.census.in_cell[reads][w.zone][w.cell];
    }
    while (!s_.queue.empty()) unparked(s_.queue.back());
    run();
  }

  void list_failed(Nanos now) override { now_ = now; }  // it is asked for again in time
  void sequence_came(Nanos now, int seq, int type, int tenant, std::uint64_t session, std::uint64_t beginning,
                     double prompt, double beginning_tokens, double max_out, Nanos abandon_at) override {
    now_ = now;
    if (seq >= static_cast<int>(s_.sequences.size())) s_.sequences.resize(static_cast<std::size_t>(seq) + 1);
    Sequence& q = s_.sequences[static_cast<std::size_t>(seq)];
    const TrafficType& t = d_.types[static_cast<std::size_t>(type)];
    q = Sequence{};
    q.id = seq, q.type = type, q.in_share = take_share(tenant), q.luck = chance();
    q.session = session, q.beginning = beginning, q.beginning_tokens = beginning_tokens;
    q.prompt = prompt, q.max_out = max_out, q.came = now, q.abandon_at = abandon_at;
    q.slo_at = now + t.slo + nanos(prompt / 1000 * seconds(t.slo_per_1000));
    q.pinned_since = kNever;
    q.to_read = to_read(q);
    q.order = s_.came++;
    s_.live.push_back(seq);
    run();
  }

  void client_left(Nanos now, int seq) override {
    now_ = now;
    finish(unparked(seq));
    run();
  }

  void stream_began(Nanos now, int seq, int attempt, Nanos took) override {
    now_ = now;
    Sequence& q = unparked(seq);
    Attempt& a = q.attempts[static_cast<std::size_t>(attempt)];
    Worker& w = at(a.worker);
    --w.pending, ++s_.answers[0];
    a.begun = true, a.given_up = false;  // it began after all: if it breaks, an answer is still owed
    answered(w), state_gone(q);
    smooth(s_.first_wait, seconds(took));
    if (q.stage == Stage::over) return run();
    // Guards against queues that build where no one says full (prompts not kept any more, long answers, lost
    // workers): what is sent should stream within its part of the latency SLO, the rest is for the line.
    s_.strain += kStrainWeight * (seconds(now - q.read_at) / seconds(q.slo_at - q.came) - s_.strain);
    if (s_.strain > kPart)
      cut_limit();
    else if (in_flight() * 2 >= s_.limit)
      s_.limit += 1 / s_.limit;  // by one for each limit's worth
    enter(q, Stage::streaming);
    run();
  }

  void attempt_ended(Nanos now, int seq, int attempt, Outcome outcome, Nanos took, bool closed, double kept,
                     const Report& report) override {
    now_ = now;
    Sequence& q = unparked(seq);
    Attempt& a = q.attempts[static_cast<std::size_t>(attempt)];
    Worker& w = at(a.worker);
    a.out = false;
    if (!a.begun) --w.pending;
    double& load = a.reads ? w.read_tokens : w.stream_tokens;
    load = std::max(0.0, load - a.tokens);
    const bool silent = w.heard < a.sent;
    a.failed_there = outcome == Outcome::full || outcome == Outcome::timed_out;
    if (report.heard) note_report(w, report);
    judge(w, outcome, silent, a.given_up);
    watch(a.worker);
    if (outcome == Outcome::read_done) read_ended(q, a, w, took, kept);
    // What was late would have taken so long at least: unlearned, time-outs stay too short in a jam.
    if (outcome == Outcome::timed_out && !a.reads) smooth(s_.first_wait, seconds(took));
    if (outcome == Outcome::timed_out && a.reads) learn_late_read(a, w, seconds(took));
    if (outcome == Outcome::error || outcome == Outcome::timed_out || outcome == Outcome::connection_lost ||
        outcome == Outcome::cancelled)
      (a.reads ? a.stray : q.maybe_ran) = true;
    if (outcome == Outcome::timed_out && !silent) cut_limit();
    if (closed) finish(q);
    if (q.stage != Stage::over && !a.given_up) go_back(q, a, outcome);
    // Rule 5: while connections fail to come up, the time that a state may wait keeps running.
    const bool reached = outcome != Outcome::connect_failed && outcome != Outcome::not_sent;
    if (q.pinned_since != kNever && reached) q.pinned_since = now;
    run();
  }

  void woke(Nanos now) override {
    now_ = now;
    run();
  }

  // A writer that is asked now would find no state, and a read that is out leaves none: the sequence is read anew. A write
  // that is out may have the state yet.
  void cache_released(Nanos now, int seq) override {
    now_ = now;
    Sequence& q = unparked(seq);
    state_gone(q);
    if (q.stage == Stage::reading) learn_from_voided(q), stop_asking(q);
    if (q.stage == Stage::reading || q.stage == Stage::read) enter(q, Stage::waiting);
    run();
  }
  Belief believed(int worker) const override { return {at(worker).pending, at(worker).states}; }

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
    static constexpr std::array<Rule<Sequence>, 8> sequence_rules{{
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
      for (const Rule<Sequence>& rule : sequence_rules) {
        const bool reads = rule.then == &Router::read;
        if (reads) call_first();
        for (std::size_t i = 0; i < s_.live.size(); ++i) {
          Sequence& q = sequence(s_.live[i]);
          if (!(this->*rule.when)(q)) continue;
          (this->*rule.then)(q), fired = true;
          if (reads) call_first();
        }
      }
    }
    std::erase_if(s_.watched, [&](int i) {
      Worker& w = at(i);
      return !(w.watched = w.pending > 0 || w.strikes >= kStrikesOut);
    });
    if (d_.asks_for_list && now_ - s_.list_asked > d_.must_ask_in / 2) s_.list_asked = now_, out_.subscribe();
    // No rule's matter, and thousands wait so: streams with no other attempt out, until something happens
    // there; those in line, until their time comes or, one at a time, their turn.
    s_.parked += std::erase_if(s_.live, [&](int id) {
      Sequence& q = sequence(id);
      const bool waits = q.stage == Stage::waiting;
      q.parked = (waits || q.stage == Stage::streaming) && std::ranges::none_of(q.attempts, unanswered);
      if (q.parked && waits) s_.queue.push_back(id), note_line(q);
      return q.parked;
    });
    if (s_.live.size() + s_.parked > 0 && s_.woken_at <= now_) s_.woken_at = now_ + kPulse, out_.wake(kPulse);
    sweep_holders();
  }

  // A sequence that something happened to is looked at again, in its place by arrival.
  Sequence& unparked(int seq) {
    Sequence& q = sequence(seq);
    if (!q.parked) return q;
    if (q.stage == Stage::waiting) s_.queue.erase(std::ranges::find(s_.queue, seq));
    q.parked = false, --s_.parked;
    const auto order = [&](int id) { return sequence(id).order; };
    s_.live.insert(std::ranges::lower_bound(s_.live, q.order, {}, order), seq);
    return q;
  }

  // The line: when a rule that waits for a time may act on one of it, at the earliest.
  void note_line(const Sequence& q) {
    s_.queue_due = std::min(s_.queue_due, patient_until(q));
    s_.queue_abandon = std::min(s_.queue_abandon, q.abandon_at);
  }
  Nanos patient_until(const Sequence& q) const {
    const auto patience = static_cast<Nanos>(kPatience * static_cast<double>(q.slo_at - q.came));
    return q.attempts.empty() ? q.came + patience - 1 : std::max(q.came + patience - 1, q.slo_at);
  }
  bool pressed(Nanos patient, Nanos abandon) const {
    const Nanos longest = nanos(s_.first_wait + (readers() > 0) * s_.read_wait);
    return now_ >= patient || now_ + longest > abandon || now_ >= abandon - 2 * d_.tick - kPulse;
  }
  bool line_quiet() const { return s_.queue.empty() || !pressed(s_.queue_due, s_.queue_abandon); }
  void call_due() {
    std::vector<int> due;
    s_.queue_due = s_.queue_abandon = kNever;
    for (const int id : s_.queue)
      pressed(patient_until(sequence(id)), sequence(id).abandon_at) ? due.push_back(id)
                                                                    : note_line(sequence(id));
    for (const int id : due) unparked(id);
  }
  // While another may be read: the first in line takes part, and all others come after it.
  void call_first() {
    if (s_.queue.empty() || in_flight() >= s_.limit) return;
    const auto first = [&](int a, int b) { return before(sequence(a), sequence(b)); };
    unparked(*std::ranges::min_element(s_.queue, first));
  }

  // Guards against memory that grows with workers that come under new ids: one that is gone for as long as a
  // holder entry lasts is forgotten. Harms one that comes back after that under its id: it counts as new.
  void forget_gone(int worker) {
    Worker& w = at(worker);
    if (w.gone_since == 0) w.gone_since = now_;
    if (now_ - w.gone_since < kKeptFor || w.watched) return;
    for (const Sequence& q : s_.sequences)
      for (const Attempt& a : q.attempts)
        if (a.worker == worker && (a.out || q.stage != Stage::over)) return;
    w = {};
    out_.forget_worker(worker);
  }

  // Workers: what ails them.

  // Guards against machines that vanish or hang and against cut links: attempts are overdue, and nothing was
  // heard since they were sent. Can harm a lone worker in one long step; it is back after its time aside.
  bool fell_silent(const Worker& w) const {
    if (w.pending == 0 || w.aside_until > now_ || now_ <= w.late_from) return false;
    w.late_from = kNever;
    for (const int id : s_.live)
      for (const Attempt& a : sequence(id).attempts)
        if (unanswered(a) && &at(a.worker) == &w && w.heard < a.sent)
          w.late_from = std::min(w.late_from, a.sent + late_after(a));
    return now_ > w.late_from;
  }
  // In order of index, as all workers were gone through before.
  void watch(int worker) {
    if (std::exchange(at(worker).watched, true)) return;
    s_.watched.insert(std::ranges::lower_bound(s_.watched, worker), worker);
  }
  void set_aside_and_leave(Worker& w) {
    set_aside(w);
    for (const int id : s_.live) {
      Sequence& q = sequence(id);
      for (Attempt& a : q.attempts)
        if (unanswered(a) && &at(a.worker) == &w && open(q)) {
          leave(q, a);
          go_back(q, a, Outcome::timed_out);
        }
    }
  }

  // Guards against workers that fail fast: errors, broken connections, refusals to connect.
  bool struck_out(const Worker& w) const { return w.strikes >= kStrikesOut && w.aside_until <= now_; }
  void set_aside(Worker& w) {
    w.aside_until = now_ + kAside + nanos(seconds(kAsideSpread) * chance());
    w.on_trial = true, w.strikes = 0;
  }

  bool cold(const Worker& w) const { return w.cold_since != kNever && now_ < w.cold_since + d_.ramp_time; }

  void judge(Worker& w, Outcome outcome, bool silent, bool given_up) {
    const bool lost = outcome == Outcome::connection_lost || outcome == Outcome::connect_failed;
    // Guards against attempts that are all spent at once where every other worker is set aside.
    if (outcome == Outcome::full || outcome == Outcome::connect_failed) w.full_until = now_ + kFullRest;
    if (outcome == Outcome::full || outcome == Outcome::no_state || outcome == Outcome::error) w.heard = now_;
    if (outcome == Outcome::read_done) ++s_.answers[1];
    if (outcome == Outcome::generated || outcome == Outcome::read_done) answered(w);
    // A connection breaks alone as well, and its worker is fine: a dead one refuses the next.
    const bool refused = outcome == Outcome::connect_failed && !given_up;
    if (outcome == Outcome::error || (lost && !given_up))
      w.strikes += w.on_trial || refused ? kStrikesOut : 1;
    if (outcome == Outcome::timed_out) w.strikes += silent ? kStrikesOut : 1;
    if (outcome == Outcome::connect_failed && w.broke) w.was_down = true;
    if (outcome == Outcome::connection_lost) w.broke = true;
  }

  void answered(Worker& w) {
    w.heard = now_, w.strikes /= 2, w.on_trial = false;
    if (w.aside_until > now_) w.aside_until = now_;
    // Guards rule 4 where the list is late: what was down and answers again has just started.
    if (w.was_down) w.cold_since = w.void_before = now_;
    w.broke = w.was_down = false;
  }

  void note_report(Worker& w, const Report& report) {
    w.reported = now_;
    w.sequences = report.sequences;
    w.memory_share = report.memory_share;
    w.own_at_report = w.pending + w.states;
    w.since_report = 0;
    const auto role = static_cast<std::size_t>(w.role);
    if (report.memory_share >= 0) blend(s_.memory_shares[role], report.memory_share);
    if (report.sequences >= 0) blend(s_.others[role], std::max(0.0, w.sequences - w.own_at_report));
  }

  // Guards rule 4 with any number of routers: each lets the same part of its own sends near a cold worker, by
  // chance and with nothing saved up, so that all together send it a part of what a warm one answers.
  double cold_part(const Worker& w) const {
    const double climbed = std::clamp(seconds(now_ - w.cold_since) / seconds(d_.ramp_time), 0.0, 1.0);
    const double capacity = d_.cold_from + (1 - d_.cold_from) * climbed * climbed;
    double warm = 0, all = 0;
    for (const int i : s_.census.ready[w.role == Role::reader])
      if (at(i).role == w.role) ++all, warm += !cold(at(i));
    const std::size_t reads = w.role == Role::reader;
    const double answers = (s_.answers[reads] + 1) / (s_.sends[reads] + 1);
    return std::min(1.0, kColdCare * d_.fall_multiple * capacity) * answers / (warm > 0 ? warm : all);
  }
  bool cold_turn(const Sequence& q, const Worker& w) const {
    // By its hash, as an identity of 64 bits leaves a double no fraction: the guard would let all through.
    const double drawn = q.luck + 0.618034 * static_cast<double>(q.attempts.size()) + mixed(0, w);
    return drawn - std::floor(drawn) < cold_part(w);
  }

  // Sequences: the ordinary path and its ends.

  bool still_asked(const Sequence& q) const {
    return !open(q) && std::ranges::any_of(q.attempts, unanswered);
  }
  void stop_asking(Sequence& q) {
    for (Attempt& a : q.attempts)
      if (unanswered(a)) leave(q, a);
  }
  static bool unanswered(const Attempt& a) { return a.out && !a.given_up && !a.begun; }
  void leave(Sequence& q, Attempt& a) {
    a.given_up = true;
    if (q.pinned_since != kNever) q.pinned_since = now_;
    if (d_.cancelling) out_.cancel(q.id, static_cast<int>(&a - q.attempts.data()));
  }

  bool done_with(const Sequence& q) const {
    return q.stage == Stage::over && std::ranges::none_of(q.attempts, &Attempt::out);
  }
  void forget(Sequence& q) {
    drop_strays(q);
    s_.live.erase(std::find(s_.live.begin(), s_.live.end(), q.id));
    out_.forget_sequence(q.id);
  }

  // Rule 5: the state of a read that was left, or whose answer was lost on its way, may have come after all.
  void drop_strays(Sequence& q) {
    if (std::ranges::any_of(q.attempts, [](auto& a) { return a.given_up || a.stray; })) out_.let_go(q.id);
  }

  // Rule 1: the last moment at which an answer is surely in time.
  bool nearly_abandoned(const Sequence& q) const {
    return open(q) && now_ >= q.abandon_at - 2 * d_.tick - kPulse;
  }
  // Rule 5, with half the limit as margin: no writer took the state.
  bool nearly_overdue(const Sequence& q) const {
    return q.stage == Stage::read && now_ - q.pinned_since >= d_.pin_limit / 2;
  }
  // No attempt left, or too little time even for what usually takes longest at the coming stage.
  bool hopeless(const Sequence& q) const {
    if (q.stage != Stage::waiting && q.stage != Stage::read) return false;
    const int needed = q.stage == Stage::waiting && readers() > 0 ? 2 : 1;
    return static_cast<int>(q.attempts.size()) + needed > d_.attempts_cap ||
           (q.maybe_ran && repeat_closed(q)) ||
           now_ + nanos(s_.first_wait + (needed - 1) * s_.read_wait) > q.abandon_at;
  }
  bool too_long_in_line(const Sequence& q) const {
    return q.stage == Stage::waiting &&
           static_cast<double>(now_ - q.came) > kPatience * static_cast<double>(q.slo_at - q.came) &&
           (q.attempts.empty() || now_ > q.slo_at);
  }

  void give_up(Sequence& q) {
    const TrafficType& t = type(q);
    const bool may_reject = t.effect == Effect::repeatable || !may_have_run(q) ||
                            (t.effect == Effect::tokened && t.group == Group::all);
    const double after = d_.retry_after ? seconds(d_.max_retry_after) * (0.5 + 0.5 * chance()) : 0;
    may_reject ? out_.reject(q.id, nanos(after)) : out_.abort(q.id);
    finish(q);
  }
  void finish(Sequence& q) {
    if (q.pinned_since != kNever) out_.let_go(q.id);
    state_gone(q);
    enter(q, Stage::over);
  }
  void state_gone(Sequence& q) {
    if (q.pinned_since != kNever) --at(q.reader).states;
    q.pinned_since = kNever;
  }

  // After an attempt that brought nothing: back in line or, while the state waits, to the choice of a writer.
  void go_back(Sequence& q, const Attempt& a, Outcome outcome) {
    if (outcome == Outcome::read_done || outcome == Outcome::generated) return;
    if (a.reads || outcome == Outcome::no_state || q.pinned_since == kNever) {
      state_gone(q);
      drop_strays(q);
      enter(q, Stage::waiting);
    } else {
      enter(q, Stage::read);
    }
  }

  void read_ended(Sequence& q, const Attempt& a, Worker& w, Nanos took, double kept) {
    const double read = std::max(1.0, q.prompt - kept);
    learn(w, a.ahead + read, seconds(took));
    smooth(s_.read_tokens, read);
    smooth(s_.read_wait, seconds(took));
    // Guards against leads that are gone (a flush, a full memory, a restart that no one told): where this key
    // was dropped, keys that were last read there before it are gone too.
    if (kept < a.promised / 2) w.void_before = std::max(w.void_before, a.promised_at + 1);
    hold(q.session, a.worker, q.prompt);
    hold(q.beginning, a.worker, q.beginning_tokens);
    // A read that was left for late may end first all the same: its state is as good, the other read stops.
    if (q.stage != Stage::reading && q.stage != Stage::waiting) return;
    stop_asking(q);
    enter(q, Stage::read);
    q.reader = a.worker, q.pinned_since = now_;
    ++w.states;
  }

  // The read: DESIGN's load pick and the holder's lead against it.

  bool ready_to_read(const Sequence& q) const {
    if (q.stage != Stage::waiting || in_flight() >= s_.limit || !has_room(q)) return false;
    for (const int id : s_.live)
      if (sequence(id).stage == Stage::waiting && before(sequence(id), q)) return false;
    return !candidates(q, readers() > 0).empty();
  }
  // By latency SLO; while readers are what is short, the least to read first, so that most are answered.
  bool before(const Sequence& a, const Sequence& b) const {
    if (a.in_share != b.in_share) return a.in_share;
    const bool readers_short = s_.strain > kPart / 2 && s_.read_wait > s_.first_wait;
    if (readers_short && a.to_read != b.to_read) return a.to_read < b.to_read;
    return a.slo_at != b.slo_at ? a.slo_at < b.slo_at : a.id < b.id;
  }
  double to_read(const Sequence& q) const {
    double most = 0;
    const int home = home_of(q);
    const auto look = [&](int w) {
      if (serves(at(w), true) && listed(at(w))) most = std::max(most, lead(q, w, home));
    };
    if (home >= 0) look(home);
    for (const std::uint64_t key : {q.session, q.beginning})
      if (const auto it = s_.holders.find(key); key != 0 && it != s_.holders.end())
        for (const Holding& h : it->second) look(h.worker);
    return q.prompt - most;
  }
  // The lead by worker: most have none, and neither table is asked for them.
  auto leads(const Sequence& q, int home) const {
    const auto listed_at = [&](std::uint64_t key) {
      const auto it = key == 0 ? s_.holders.end() : s_.holders.find(key);
      return it == s_.holders.end() ? nullptr : &it->second;
    };
    return [this, &q, home, own = listed_at(q.session), shared = listed_at(q.beginning)](int w) {
      const auto here = [w](const Holding& h) { return h.worker == w; };
      const bool any = w == home || (own != nullptr && std::ranges::any_of(*own, here)) ||
                       (shared != nullptr && std::ranges::any_of(*shared, here));
      return any ? lead(q, w, home) : 0;
    };
  }
  double lead(const Sequence& q, int w, int home) const {
    const double own = q.prompt - q.beginning_tokens;  // what only this session has
    return std::max(promise(q, w).tokens, w == home ? q.beginning_tokens + kHomeTrust * own : 0);
  }
  void read(Sequence& q) {
    if (readers() == 0) return write(q);  // mixed workers, or writers that read: one attempt does both
    const std::vector<int>& usable = usable_;
    const double pace = per_token();
    for (const int w : usable) at(w).pace = per_token(at(w)), at(w).ease = ease(at(w));
    const int by_load = sample(
        usable, [&](int w) { return at(w).ease; }, kNear * s_.read_tokens * pace);
    const int home = home_of(q);
    const auto lead_of = leads(q, home);
    const double lead_by_load = lead_of(by_load), ease_by_load = at(by_load).ease;
    holders_.clear();
    for (const int w : usable) {
      Worker& x = at(w);
      x.gain = (lead_of(w) - lead_by_load) * x.pace + x.ease - ease_by_load;
      if (x.gain > 0) holders_.push_back(w);
    }
    const auto gain = [&](int w) { return at(w).gain; };
    q.reader = holders_.empty() ? by_load : sample(holders_, gain, kNear * q.prompt * pace);
    enter(q, Stage::reading);
    q.read_at = now_;
    send(q, q.reader, true);
  }
  // Departure: a session that the table does not know may have been read through another router. All routers
  // name the same reader for it, by a hash, among a few that they name for its beginning: a large fleet
  // has more beginnings than one reader can keep. A home that is cold or set aside passes on to the next one.
  int home_of(const Sequence& q) const {
    if (q.session == 0 || s_.holders.contains(q.session)) return -1;
    const auto& zones = s_.census.in_zone[1];
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
    for (const int w : s_.census.ready[1]) {
      if (at(w).aside_until > now_ || cold(at(w))) continue;
      const bool shares = q.beginning == 0 || mixed(q.beginning, at(w)) * in(at(w).zone) < kHomes;
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
    const double keep = decay(now_ - w.paced_at), should = overhead() + tokens * per_token();
    w.took = w.took * keep + took;
    w.should_take = w.should_take * keep + should;
    w.paced_at = now_;
    const Line& l = s_.line;
    const double k = decay(now_ - l.at), xx = tokens * tokens, xt = tokens * took;
    s_.line = {l.n * k + 1, l.x * k + tokens, l.t * k + took, l.xx * k + xx, l.xt * k + xt, now_};
  }
  void learn_late_read(const Attempt& a, Worker& w, double took) {
    smooth(s_.read_wait, took);
    learn(w, a.ahead + a.tokens, took);
  }
  // A release has voided them; they would have taken so long at least.
  void learn_from_voided(const Sequence& q) {
    for (const Attempt& a : q.attempts)
      if (a.reads && unanswered(a)) learn_late_read(a, at(a.worker), seconds(now_ - a.sent));
  }
  double per_token() const {
    const Line& l = s_.line;  // two points ahead of the answers: nothing at once, kPriorTokens at kFirstRate
    const double n = l.n + 2, x = l.x + kPriorTokens, t = l.t + kPriorTokens / kFirstRate;
    const double xx = l.xx + kPriorTokens * kPriorTokens,
                 xt = l.xt + kPriorTokens * kPriorTokens / kFirstRate;
    return std::max(1e-6, (n * xt - x * t) / (n * xx - x * x));
  }
  double overhead() const { return std::max(0.0, (s_.line.t - per_token() * s_.line.x) / (s_.line.n + 1)); }
  double per_token(const Worker& w) const {
    // However much of it has decayed, it lies between this and 1.
    const double fresh = (w.took + kPriorSeconds) / (w.should_take + kPriorSeconds);
    if (fresh < 0.99 * kOddSpeed && fresh * 0.99 * kOddSpeed > 1) return per_token();
    const double keep = decay(now_ - w.paced_at);
    const double ratio = (w.took * keep + kPriorSeconds) / (w.should_take * keep + kPriorSeconds);
    return per_token() * (ratio > kOddSpeed || ratio * kOddSpeed < 1 ? ratio : 1);
  }
  // What others hold at a reader.
  double others(const Worker& w) const {
    const double reported = w.sequences < 0 ? -1 : std::max(0.0, w.sequences - w.own_at_report);
    return drifted(w, reported, s_.others[static_cast<std::size_t>(w.role)], kReportLife);
  }
  double ease(const Worker& w) const { return -wait(w, w.pace) - s_.read_tokens * w.pace - far(w); }
  double waiting(const Worker& w) const { return w.pending + kOthersRead * others(w); }
  double wait(const Worker& w, double pace) const {
    return (w.read_tokens + kOthersRead * others(w) * s_.read_tokens) * pace;
  }
  // Crossing zones costs a share of the utility: as much as so much waiting.
  double far(const Worker& w) const {
    return w.zone == d_.zone ? 0 : d_.cross_zone_price + kNear * s_.read_tokens * per_token();
  }

  // The write: DESIGN's pick by memory, after the read, with its tie order.

  bool ready_to_write(const Sequence& q) const {
    return q.stage == Stage::read && !candidates(q, false).empty();
  }
  void write(Sequence& q) {
    const std::vector<int>& usable = usable_;
    double best = 1e18;
    for (const int w : usable) best = std::min(best, at(w).full = fullness(at(w)));
    const int cell = q.reader < 0 ? -1 : at(q.reader).cell, zone = q.reader < 0 ? d_.zone : at(q.reader).zone;
    // Departure: where a cell's writers are few for its readers, only their even part stays in the cell.
    const bool stays = cell < 0 || chance() < even_part(at(q.reader));
    // What still ties goes by chance: by index, a hundred routers would all name the same writer.
    using Rank = std::tuple<bool, bool, bool, double, double>;
    int writer = -1;
    Rank first;
    for (const int w : usable) {
      const Worker& x = at(w);
      const bool misfit = stays ? x.cell != cell : x.zone != zone || even_part(x) <= 1;
      const Rank rank{x.full > best + kTieBand, misfit, x.zone != zone, x.stream_tokens, chance()};
      if (writer < 0 || rank < first) writer = w, first = rank;
    }
    enter(q, Stage::writing);
    send(q, writer, false);
  }
  // A cell's share of its zone's writers against its share of the zone's readers.
  double even_part(const Worker& in) const {
    double all[2]{}, here[2]{};
    for (std::size_t reads = 0; reads < 2; ++reads) {
      const auto zone = s_.census.in_cell[reads].find(in.zone);
      if (zone == s_.census.in_cell[reads].end()) continue;
      all[reads] = s_.census.in_zone[reads].at(in.zone);
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
    const Mean& mean = s_.memory_shares[static_cast<std::size_t>(w.role)];
    if (mean.n == 0) return w.stream_tokens * d_.routers / memory(w);
    return drifted(w, w.memory_share, mean, kMemory) + w.since_report / memory(w);
  }
  // An unheard worker is as the average of those heard, and an old report drifts there.
  double drifted(const Worker& w, double reported, const Mean& mean, Nanos life) const {
    const double left = reported < 0 ? 0 : decay(now_ - w.reported, life);
    return mean.value + left * (reported - mean.value);
  }
  // Guards against states that mount at readers while writers are full: reads are held back while what this
  // router has on its way would not fit its part of the writers' free memory.
  bool has_room(const Sequence& q) const {
    if (in_flight() < least_limit()) return true;
    double room = 0, coming = stream_size(q);
    for (const int id : s_.live) {
      const Stage stage = sequence(id).stage;
      if (stage == Stage::reading || stage == Stage::read) coming += stream_size(sequence(id));
    }
    const std::vector<int>& writers = s_.census.ready[0];
    for (std::size_t i = 0; i < writers.size() && room < coming; ++i) {
      const Worker& w = at(writers[i]);
      if (w.aside_until <= now_) room += std::max(0.0, kRoom - fullness(w)) * memory(w) / d_.routers;
    }
    return coming <= room;
  }
  double stream_size(const Sequence& q) const { return q.prompt + q.max_out / 2; }

  // The one gate. Every send passes it, and every choice is made among what passes it.
  bool may_send(const Sequence& q, bool reads) const {
    if (static_cast<int>(q.attempts.size()) + (reads ? 2 : 1) > d_.attempts_cap) return false;
    if (now_ >= q.abandon_at - 2 * d_.tick - kPulse) return false;  // rule 1
    return d_.second_copies || std::ranges::none_of(q.attempts, &Attempt::out);
  }
  bool may_send(const Sequence& q, const Worker& w, bool reads) const {
    if (!listed(w)) return false;  // rule 3
    if (w.aside_until > now_ && (w.broke || enough_left(w))) return false;
    if (w.on_trial && w.pending > 0) return false;
    if (w.full_until > now_) return false;
    if (cold(w) && !cold_turn(q, w)) return false;  // rule 4
    return reads || stays_in_group(q, w);           // rule 2
  }
  // Good until the next call: a rule's condition asks, and what it leads to chooses among the same.
  const std::vector<int>& candidates(const Sequence& q, bool reads) const {
    std::vector<int>& usable = usable_;
    usable.clear();
    if (!may_send(q, reads)) return usable;
    for (const int w : s_.census.ready[reads])
      if (may_send(q, at(w), reads)) usable.push_back(w);
    // Guards against workers that say full to one storefront or type only, though they have room, and against
    // those that answer some and leave others without a word.
    const auto turned_away = [&](int w) {
      return std::ranges::any_of(q.attempts,
                                 [&](const Attempt& a) { return a.failed_there && a.worker == w; });
    };
    const bool any = std::ranges::any_of(q.attempts, &Attempt::failed_there);
    if (any && !std::ranges::all_of(usable, turned_away)) std::erase_if(usable, turned_away);
    return usable;
  }
  bool may_have_run(const Sequence& q) const {
    return q.maybe_ran || std::ranges::any_of(q.attempts, [](auto& a) { return a.out && !a.reads; });
  }
  Nanos repeat_until(const Sequence& q) const {
    return q.maybe_ran_since + type(q).window - 2 * d_.tick - kHeldUp;
  }
  // It may not run twice, or is not recognised as a repeat any more.
  bool repeat_closed(const Sequence& q) const {
    const Effect effect = type(q).effect;
    return effect == Effect::once_only || (effect == Effect::tokened && now_ > repeat_until(q));
  }
  bool stays_in_group(const Sequence& q, const Worker& w) const {
    const TrafficType& t = type(q);
    if (t.effect == Effect::repeatable || !may_have_run(q)) return true;
    if (repeat_closed(q)) return false;
    const Worker& first = at(q.maybe_ran_at);
    return t.group == Group::all || (t.group == Group::zone ? w.zone == first.zone : w.cell == first.cell);
  }
  // Never so many aside that the rest tips over: the merely ill are called back when under half are left.
  bool enough_left(const Worker& w) const {
    int ready = 0, left = 0;
    for (const int i : s_.census.ready[w.role == Role::reader])
      if (at(i).role == w.role) ++ready, left += at(i).aside_until <= now_;
    return left * 2 >= ready;
  }

  void send(Sequence& q, int worker, bool reads) {
    Worker& w = at(worker);
    if (!may_send(q, reads) || !may_send(q, w, reads)) return;
    Attempt a{.worker = worker, .reads = reads, .out = true, .sent = now_};
    const bool repeats = !reads && may_have_run(q);
    // Rule 2, where connecting takes long: the decision is in the window, and the request's first byte is not.
    const Nanos begin_by = repeats && type(q).effect == Effect::tokened ? repeat_until(q) : kNever;
    if (reads) {
      const Holding held = promise(q, worker);
      a.promised = held.tokens, a.promised_at = held.at;
      a.tokens = q.prompt - a.promised, a.ahead = w.read_tokens;
      // A promise may fail: its tokens count once, or a flush would make all readers look dead.
      a.expected = nanos(overhead() + wait(w, per_token(w)) + (a.tokens + a.promised / kLate) * per_token(w));
      w.read_tokens += a.tokens;
    } else {
      a.tokens = stream_size(q);
      a.expected = nanos(s_.first_wait);
      w.stream_tokens += a.tokens;
      w.since_report += a.tokens;
      if (!repeats) q.maybe_ran_at = worker, q.maybe_ran_since = now_;
    }
    ++s_.sends[reads], ++w.pending;
    w.late_from = std::min(w.late_from, now_ + late_after(a));
    watch(worker);
    q.attempts.push_back(a);
    const bool last = static_cast<int>(q.attempts.size()) + (reads ? 2 : 1) > d_.attempts_cap;
    out_.send(q.id, worker, {last ? 0 : late_after(a), runs_for(q, a), begin_by});
  }

  // The holder table.

  void hold(std::uint64_t key, int worker, double tokens) {
    if (key == 0 || tokens <= 0) return;
    std::vector<Holding>& list = s_.holders[key];
    for (Holding& h : list)
      if (h.worker == worker) return void(h = {worker, tokens, now_});
    list.push_back({worker, tokens, now_});
  }
  // The most that the table says this worker has kept of the prompt.
  Holding promise(const Sequence& q, int worker) const {
    Holding most{worker, 0, 0};
    for (const std::uint64_t key : {q.session, q.beginning}) {
      const auto it = key == 0 ? s_.holders.end() : s_.holders.find(key);
      if (it == s_.holders.end()) continue;
      for (const Holding& h : it->second)
        if (h.worker == worker && h.at >= at(worker).void_before && now_ - h.at < kKeptFor)
          if (h.tokens > most.tokens) most = {worker, std::min(h.tokens, q.prompt), h.at};
    }
    return most;
  }
  void sweep_holders() {
    if (now_ - s_.holders_swept < kKeptFor / 4) return;
    s_.holders_swept = now_;
    for (std::size_t i = 0; i < 2; ++i) s_.sends[i] /= 2, s_.answers[i] /= 2;
    std::erase_if(s_.holders, [&](const auto& entry) {
      return std::none_of(entry.second.begin(), entry.second.end(),
                          [&](const Holding& h) { return now_ - h.at < kKeptFor; });
    });
  }

  // Small helpers.

  // By chance, so that the smallest part of a share means something too.
  bool take_share(int tenant) {
    if (tenant >= static_cast<int>(d_.tenant_rates.size())) return true;
    const auto i = static_cast<std::size_t>(tenant);
    const double keep = decay(now_ - s_.tenant_at[i], kKeptFor);
    s_.tenant_came[i] = s_.tenant_came[i] * keep + 1;
    s_.tenant_at[i] = now_;
    return chance() * s_.tenant_came[i] <= 1 + d_.tenant_rates[i] / d_.routers * seconds(kKeptFor);
  }
  double least_limit() const { return kLeastLimit * std::max(1.0, readers() / d_.routers); }
  void cut_limit() {
    if (now_ - s_.limit_cut >= kCutEvery)
      s_.limit = std::max(least_limit(), s_.limit * kCut), s_.limit_cut = now_;
  }
  double chance() {  // permuted congruential generator, 32 bits out
    const std::uint64_t old = s_.chance;
    s_.chance = old * 6364136223846793005u + s_.chance_step;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return static_cast<double>(mixed >> turn | mixed << ((32 - turn) & 31)) / 4294967296.0;
  }
  double in_flight() const { return s_.in_flight; }
  static bool flies(Stage stage) {
    return stage == Stage::reading || stage == Stage::read || stage == Stage::writing;
  }
  void enter(Sequence& q, Stage stage) {
    s_.in_flight += flies(stage) - flies(q.stage);
    q.stage = stage;
  }
  // Rule 5: for so long a read is taken as running and its state as not there yet. Only in a jam, until it is late: letting go
  // of it would void it, and the reads that are made in its place lengthen the jam. Never where the request may not be repeated.
  Nanos runs_for(const Sequence& q, const Attempt& a) const {
    if (type(q).effect == Effect::once_only) return 0;
    return a.expected > d_.pin_limit / 2 ? late_after(a) : 0;
  }
  Nanos late_after(const Attempt& a) const { return kGrace + nanos(kLate * seconds(a.expected)); }
  bool open(const Sequence& q) const { return q.stage != Stage::streaming && q.stage != Stage::over; }
  bool listed(const Worker& w) const { return w.known && w.standing == Standing::ready; }
  bool serves(const Worker& w, bool reads) const { return reads == (w.role == Role::reader); }
  double readers() const { return static_cast<double>(s_.census.ready[1].size()); }
  const TrafficType& type(const Sequence& q) const { return d_.types[static_cast<std::size_t>(q.type)]; }
  Worker& at(int worker) { return s_.workers[static_cast<std::size_t>(worker)]; }
  const Worker& at(int worker) const { return s_.workers[static_cast<std::size_t>(worker)]; }
  Sequence& sequence(int seq) { return s_.sequences[static_cast<std::size_t>(seq)]; }
  const Sequence& sequence(int seq) const { return s_.sequences[static_cast<std::size_t>(seq)]; }

  const Deployment d_;
  Actions& out_;
  Nanos now_;
  Instance s_;
  // Used again and again, for room: who may be sent to, who leads, who is near the best and its weight.
  mutable std::vector<int> usable_;
  std::vector<int> holders_;
  std::vector<std::pair<int, double>> near_;
};

}  // namespace

std::unique_ptr<Policy> make_policy(const Deployment& deployment, std::uint64_t seed, Nanos now,
                                    Actions& actions) {
  return std::make_unique<Router>(deployment, seed, now, actions);
}

}  // namespace cressrill
