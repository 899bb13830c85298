#include "hold_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace cressrill::rig::model {

namespace {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kTransit = 30 * kMs;    // of bytes on a link that passes, at the most
constexpr Nanos kSlack = 300 * kMs;     // that the rule allows past the limit
constexpr Nanos kTimeout = 3000 * kMs;  // of an attempt: the router waits no longer
constexpr Nanos kBetweenEvents = 1;     // so that their order is known from their times
constexpr int kPrefillWorkers = 2;
constexpr int kDecodeWorkers = 2;
constexpr std::size_t kMostAttempts = 5;
constexpr std::uint64_t kFirstIdentity = 100;

}  // namespace

const char* word(Happening what) {
  static constexpr const char* words[] = {
      "time passes",       "prefill written", "decode written", "request arrives", "prefill ends",
      "prefill fails",     "prefill refused", "decode takes",   "decode refused",  "decode breaks",
      "stream ends",       "answer arrives",  "end arrives",    "gives up",        "connection silent",
      "link falls silent", "link passes",     "worker answers", "release wanted",  "release arrives",
      "release confirmed", "request over"};
  return words[static_cast<int>(what)];
}

HoldModel::HoldModel(const ModelOptions& options)
    : options_(options), hold_(options.limit), links_(kPrefillWorkers + kDecodeWorkers) {}

WorkerRef HoldModel::identity(int worker) const {
  return {worker, kFirstIdentity + static_cast<std::uint64_t>(worker)};
}

// What may happen.

std::vector<Event> HoldModel::possible() const {
  std::vector<Event> out = possible_of_router();
  for (std::size_t i = 0; i < attempts_.size(); ++i) possible_of_attempt(static_cast<int>(i), out);
  for (std::size_t w = 0; w < links_.size(); ++w) possible_of_link(static_cast<int>(w), out);
  for (const int part : {20, 4, 2, 1})
    out.push_back({.what = Happening::time_passes, .value = options_.limit / part});
  return out;
}

std::vector<Event> HoldModel::possible_of_router() const {
  std::vector<Event> out;
  if (release_.out)
    out.push_back({release_.arrived ? Happening::release_confirmed : Happening::release_arrives});
  if (over_) return out;
  const auto out_now = [this](bool prefill) {
    return std::ranges::any_of(attempts_, [=](const Attempt& a) { return a.out && a.prefill == prefill; });
  };
  const bool may_write = attempts_.size() < kMostAttempts && !begun_;
  if (may_write && (!out_now(true) || options_.parallel) && hold_.state() != HoldState::held)
    for (int worker = 0; worker < kPrefillWorkers; ++worker)
      for (const Nanos runs_for : {Nanos{0}, options_.limit / 2})
        out.push_back({.what = Happening::prefill_written, .worker = worker, .value = runs_for});
  if (may_write && (!out_now(false) || options_.parallel) && hold_.state() == HoldState::held)
    for (int worker = kPrefillWorkers; worker < kPrefillWorkers + kDecodeWorkers; ++worker)
      out.push_back({.what = Happening::decode_written, .worker = worker});
  if (hold_.needs_release() && !hold_.release_wanted()) out.push_back({Happening::release_wanted});
  if (!attempts_.empty()) out.push_back({Happening::request_over});
  return out;
}

void HoldModel::possible_of_attempt(int attempt, std::vector<Event>& out) const {
  const Attempt& a = attempts_[static_cast<std::size_t>(attempt)];
  const auto add = [&](Happening what) { out.push_back({.what = what, .attempt = attempt}); };
  if (!link(a).silent && !a.silent) {
    if (!a.arrived()) add(Happening::request_arrives);
    if (a.answer != Answer::none && !a.answer_heard && a.out) add(Happening::answer_arrives);
    if (a.at_worker() && a.given_up != kNever) add(Happening::end_arrives);
  }
  if (a.at_worker() && a.prefill) {
    if (now_ - a.came >= a.runs_for) {
      add(Happening::prefill_ends);
      add(Happening::prefill_fails);
    }
    add(Happening::prefill_refused);
  }
  if (a.at_worker() && !a.prefill) {
    if (a.has_taken) {
      add(Happening::stream_ends);
    } else {
      add(Happening::decode_takes);
      add(Happening::decode_refused);
      add(Happening::decode_breaks);
    }
  }
  if (a.out && options_.cancelling) add(Happening::gives_up);
  if (!a.silent && (a.out || a.at_worker())) add(Happening::connection_silent);
}

void HoldModel::possible_of_link(int worker, std::vector<Event>& out) const {
  const Link& at = links_[static_cast<std::size_t>(worker)];
  const Nanos caught_up = at.passed + (at.passed - at.since) + kTransit;
  if (at.silent)
    out.push_back({.what = Happening::link_passes, .worker = worker});
  else if (at.passed == 0 || now_ >= caught_up)
    out.push_back({.what = Happening::link_falls_silent, .worker = worker});
  const bool waits = std::ranges::any_of(
      attempts_, [worker](const Attempt& a) { return a.worker == worker && a.given_up != kNever; });
  if (!at.silent && waits) out.push_back({.what = Happening::worker_answers, .worker = worker});
}

// What happens.

void HoldModel::apply(const Event& event) {
  now_ += kBetweenEvents;
  switch (event.what) {
    case Happening::time_passes:
      pass_until(now_ + event.value);
      break;
    case Happening::prefill_written:
    case Happening::decode_written:
      write(event.what == Happening::prefill_written, event);
      break;
    case Happening::link_falls_silent:
      links_[static_cast<std::size_t>(event.worker)] = {.silent = true, .since = now_};
      break;
    case Happening::link_passes: {
      Link& at = links_[static_cast<std::size_t>(event.worker)];
      at = {.silent = false, .since = at.since, .passed = now_};
      break;
    }
    case Happening::worker_answers:
      hold_.worker_answered({identity(event.worker).identity, now_, now_});
      break;
    case Happening::release_wanted:
      note(HoldEvent::release_wanted);
      break;
    case Happening::release_arrives:
      release_arrives();
      break;
    case Happening::release_confirmed:
      release_confirmed();
      break;
    case Happening::request_over:
      over_ = true;
      note(HoldEvent::request_over);
      break;
    case Happening::request_arrives:
      request_arrives(event.attempt);
      break;
    case Happening::answer_arrives:
      answer_arrives(event.attempt);
      break;
    case Happening::gives_up:
      give_up(event.attempt);
      break;
    case Happening::connection_silent:
      attempts_[static_cast<std::size_t>(event.attempt)].silent = true;
      break;
    default: {
      Attempt& attempt = attempts_[static_cast<std::size_t>(event.attempt)];
      if (event.what == Happening::prefill_ends) leave(attempt, Answer::done);
      if (event.what == Happening::prefill_fails) leave(attempt, Answer::failed);
      if (event.what == Happening::prefill_refused) leave(attempt, Answer::refused);
      if (event.what == Happening::decode_takes) leave(attempt, held_ ? Answer::begun : Answer::missing);
      if (event.what == Happening::decode_refused) leave(attempt, Answer::refused);
      if (event.what == Happening::decode_breaks) leave(attempt, Answer::broken);
      if (event.what == Happening::stream_ends || event.what == Happening::end_arrives)
        end_at_worker(attempt);
    }
  }
  drive();
  judge();
}

void HoldModel::write(bool prefill, const Event& event) {
  attempts_.push_back({.worker = event.worker, .prefill = prefill, .written = now_, .runs_for = event.value});
  note_attempt(prefill ? HoldEvent::prefill_written : HoldEvent::decode_written,
               static_cast<int>(attempts_.size()) - 1, event.value);
}

void HoldModel::request_arrives(int attempt) {
  Attempt& arrived = attempts_[static_cast<std::size_t>(attempt)];
  arrived.came = now_;
  if (arrived.given_up != kNever) end_at_worker(arrived);
}

// The worker answers, which ends the attempt there, but for a stream that begins.
void HoldModel::leave(Attempt& attempt, Answer answer) {
  attempt.answer = answer;
  attempt.answer_sent = now_;
  if (answer == Answer::begun) {
    marks_.push_back({HoldMark::What::taken, now_, attempt.worker});
    attempt.has_taken = true;
    held_ = false;
    return;
  }
  if (answer == Answer::done || answer == Answer::failed) {
    marks_.push_back({HoldMark::What::held, now_, attempt.worker});
    held_ = held_ || !attempt.voided;
  }
  end_at_worker(attempt);
}

void HoldModel::end_at_worker(Attempt& attempt) { attempt.over = now_; }

void HoldModel::answer_arrives(int attempt) {
  Attempt& a = attempts_[static_cast<std::size_t>(attempt)];
  a.answer_heard = true;
  if (a.answer == Answer::begun) {
    begun_ = true;
    return note_attempt(HoldEvent::decode_begun, attempt);
  }
  a.out = false;
  switch (a.answer) {
    case Answer::done:
      return note_attempt(HoldEvent::prefill_done, attempt);
    case Answer::failed:
      return note_attempt(HoldEvent::prefill_failed, attempt);
    case Answer::refused:
      return note_attempt(a.prefill ? HoldEvent::prefill_refused : HoldEvent::decode_answered, attempt);
    case Answer::missing:
      return note_attempt(HoldEvent::cache_missing, attempt);
    default:
      return note_attempt(HoldEvent::decode_lost, attempt);
  }
}

void HoldModel::give_up(int attempt) {
  Attempt& a = attempts_[static_cast<std::size_t>(attempt)];
  a.out = false;
  a.given_up = now_;
  const bool streams = a.answer == Answer::begun && a.answer_heard;
  if (!streams) note_attempt(a.prefill ? HoldEvent::prefill_lost : HoldEvent::decode_lost, attempt);
}

// At the worker that is in reach. A prefill that is under way leaves nothing then, and what a decode attempt waits for stays.
void HoldModel::release_arrives() {
  release_.arrived = true;
  release_.arrived_at = now_;
  marks_.push_back({HoldMark::What::released, now_, -1});
  const bool awaited = std::ranges::any_of(
      attempts_, [](const Attempt& a) { return !a.prefill && a.at_worker() && !a.has_taken; });
  if (!awaited) held_ = false;
  for (Attempt& attempt : attempts_) attempt.voided |= attempt.prefill && attempt.at_worker();
}

void HoldModel::release_confirmed() {
  release_.out = false;
  if (hold_.state() == HoldState::releasing) hold_.release_confirmed(release_.written);
}

// The router notes what it sees, and asks for releases as the releaser does.
void HoldModel::note(HoldEvent event) {
  if (!hold_.record(event, now_)) fail(fmt::format("not possible: {}", cressrill::to_string(event)));
}

void HoldModel::note_attempt(HoldEvent event, int attempt, Nanos runs_for) {
  const Attempt& a = attempts_[static_cast<std::size_t>(attempt)];
  if (!hold_.record_attempt(event, now_, attempt, identity(a.worker), runs_for))
    fail(fmt::format("not possible: {} of attempt {}", cressrill::to_string(event), attempt));
}

void HoldModel::drive() {
  if (!hold_.needs_release() || hold_.release_due() > now_) return;
  if (hold_.state() == HoldState::releasing && release_.out) return;
  if (hold_.state() != HoldState::releasing) note(HoldEvent::release_asked);
  release_ = {.out = true, .written = now_};
}

// Time. Whatever is under way arrives in time on links that pass.

Nanos HoldModel::arrives_by(const Attempt& attempt, Nanos sent) const {
  const Link& at = link(attempt);
  if (at.silent || attempt.silent) return kNever;
  const Nanos waited = std::max<Nanos>(at.passed - std::max(at.since, sent), 0);
  return std::max(sent, at.passed) + std::max(waited, kTransit);
}

Nanos HoldModel::next_due() const {
  Nanos next = kNever;
  for (const Attempt& a : attempts_) {
    if (!a.arrived()) next = std::min(next, arrives_by(a, a.written));
    if (a.out && a.answer != Answer::none && !a.answer_heard)
      next = std::min(next, arrives_by(a, a.answer_sent));
    if (a.at_worker() && a.given_up != kNever) next = std::min(next, arrives_by(a, a.given_up));
    if (a.out) next = std::min(next, a.written + kTimeout);
  }
  if (release_.out)
    next = std::min(next, (release_.arrived ? release_.arrived_at : release_.written) + kTransit);
  const bool asked = hold_.state() == HoldState::releasing && release_.out;
  return asked ? next : std::min(next, hold_.release_due());
}

void HoldModel::pass_until(Nanos until) {
  constexpr int kMostAtOnce = 1000;
  for (int i = 0; !breach_; ++i) {
    const Nanos next = next_due();
    if (next > until) break;
    if (i > kMostAtOnce) return fail("no end of events");
    now_ = std::max(now_, next);
    happen_due();
    drive();
    judge();
  }
  now_ = until;
}

void HoldModel::happen_due() {
  for (std::size_t i = 0; i < attempts_.size(); ++i) happen_due(static_cast<int>(i));
  if (!release_.out) return;
  if (!release_.arrived && release_.written + kTransit <= now_) return release_arrives();
  if (release_.arrived && release_.arrived_at + kTransit <= now_) release_confirmed();
}

void HoldModel::happen_due(int attempt) {
  Attempt& a = attempts_[static_cast<std::size_t>(attempt)];
  if (!a.arrived() && arrives_by(a, a.written) <= now_) request_arrives(attempt);
  const bool answer_under_way = a.out && a.answer != Answer::none && !a.answer_heard;
  if (answer_under_way && arrives_by(a, a.answer_sent) <= now_) answer_arrives(attempt);
  if (a.at_worker() && a.given_up != kNever && arrives_by(a, a.given_up) <= now_) end_at_worker(a);
  if (a.out && a.written + kTimeout <= now_) give_up(attempt);
}

// The rule.

void HoldModel::fail(std::string what) {
  if (!breach_) breach_ = std::move(what);
}

void HoldModel::judge() {
  std::vector<AttemptSpan> spans;
  for (const Attempt& a : attempts_)
    if (a.arrived()) spans.push_back({a.came, a.over, a.worker, a.prefill});
  std::ranges::sort(spans, {}, &AttemptSpan::came);
  for (const HeldSpan& span : held_spans(spans, marks_, now_))
    if (span.unattended > options_.limit + kSlack)
      fail(fmt::format("held for {} ms where {} are allowed", span.unattended / kMs,
                       (options_.limit + kSlack) / kMs));
}

std::string HoldModel::describe() const {
  const Nanos due = hold_.release_due();
  return fmt::format("{:>5} ms  {:<10} release due {}", now_ / kMs, cressrill::to_string(hold_.state()),
                     due == kNever ? "never" : fmt::format("at {} ms", due / kMs));
}

std::size_t HoldModel::hash() const {
  std::size_t out = 0;
  const auto add = [&out](auto value) {
    out = out * 1'000'003 + std::hash<std::int64_t>{}(static_cast<std::int64_t>(value));
  };
  add(now_);
  add(hold_.release_due());
  add(static_cast<int>(hold_.state()));
  for (const Attempt& a : attempts_) {
    add(a.worker), add(a.came), add(a.over), add(a.written);
    add(static_cast<int>(a.answer) * 8 + a.out * 4 + a.answer_heard * 2 + a.voided + a.silent * 128);
  }
  for (const Link& at : links_) add(at.silent ? at.since + 1 : -at.passed);
  for (const HoldMark& mark : marks_) add(mark.at * 3 + static_cast<int>(mark.what));
  add(release_.out * 4 + release_.arrived * 2 + over_);
  return out;
}

}  // namespace cressrill::rig::model
