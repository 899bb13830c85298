#include "checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

#include "rig/hold_rule.h"

namespace cressrill::rig::soak {

namespace {

using io::kMs;
using io::kSecond;
using io::Nanos;

constexpr Nanos kNetwork = 30 * kMs;      // between processes of a busy machine
constexpr Nanos kCutBacklog = 300 * kMs;  // links that pass again bring what was buffered
// For which a proxy may hold back what was written: 200 ms from its connection's start, and no worker answers within 5 ms.
constexpr Nanos kProxyLate = 195 * kMs;
constexpr Nanos kOwedPastTerm = 700 * kMs;  // what comes later after SIGTERM is owed its end, SIGKILL or not
// While idle clients fill the descriptors a new connection may be shut unread; a router may be held up before it reads.
constexpr Nanos kShutUnread = 150 * kMs + kNetwork;
constexpr Nanos kStillOpen = std::numeric_limits<Nanos>::max() - kCutBacklog;

struct Post {
  Nanos at{};
  Nanos came{};
  Nanos ended{};
  std::string worker;
  std::uint64_t number{};  // at that worker
  bool reads{};
  bool turned_away{};
  std::int64_t budget_ms{};
};

struct Request {
  Nanos began{};  // before its first byte: its client may note late that it was sent
  Nanos sent{};
  Nanos deadline{};
  Nanos left{};
  Nanos answered{};
  Nanos crossed{};     // the end of its connection crossed it, and it was sent elsewhere, under a new id
  Nanos stream_cut{};  // its stream ended without the last chunk
  int status{};
  std::string kind;
  std::string router;
  bool first{};     // on its connection
  std::string end;  // how it ended where there was no answer
  Nanos ended{};
  std::vector<Post> posts;
  std::vector<HoldMark> holds;                                  // of its KV cache, in order of time
  std::map<int, std::pair<Nanos, std::string>> events_written;  // when, and by which worker
  std::map<int, Nanos> events_read;
};

struct Span {
  Nanos from{};
  Nanos to{};
};

class Checker {
 public:
  Checker(std::vector<Recorder::Line> lines, const CheckerLimits& limits)
      : lines_(std::move(lines)), limits_(limits) {}

  Judgement run() {
    std::ranges::stable_sort(lines_, {}, [](const Recorder::Line& l) { return l.at("t").get<Nanos>(); });
    for (const Recorder::Line& line : lines_) take(line);
    for (const auto& [id, request] : requests_) judge(id, request);
    return std::move(out_);
  }

 private:
  void take(const Recorder::Line& line) {
    const auto event = line.at("e").get<std::string>();
    const auto at = line.at("t").get<Nanos>();
    last_ = at;
    if (event == "stopped") stops_[line.at("process")].push_back({at, at + line.at("for").get<Nanos>()});
    if (event == "killed") kills_[line.at("process")].push_back(at);
    if (event == "draining") drains_[line.at("worker")] = at;
    if (event == "discovery_silent") discovery_silent_.push_back({at, kStillOpen});
    if (event == "discovery_up" && !discovery_silent_.empty()) discovery_silent_.back().to = at;
    if (event == "links_cut") cuts_[line.at("worker")].push_back({at, kStillOpen});
    if (event == "links_pass") cuts_[line.at("worker")].back().to = at;
    if (event == "terminated") terminations_[line.at("router")].push_back({at, kStillOpen});
    if (event == "late_exit") terminations_[line.at("router")].back().to = at;
    if (event == "crowd_came") crowds_.push_back({at, kStillOpen});
    if (event == "crowd_gone") crowds_.back().to = at;
    if (event == "breach") breach(line.at("what"));
    if (event == "unanswered_disturber" && !killed_between(line.at("router"), at - 4 * kSecond, at))
      breach("a client that sent what cannot be read got neither an error nor a close within 3.5 s");
    if (const auto id = line.find("id"); id != line.end() && !id->get<std::string>().empty())
      take_of(requests_[id->get<std::string>()], event, at, line);
  }

  void take_of(Request& r, const std::string& event, Nanos at, const Recorder::Line& line) {
    if (event == "sent") {
      r.sent = at, r.deadline = at + line.at("budget_ms").get<std::int64_t>() * kMs;
      r.kind = line.at("kind"), r.router = line.at("router");
      r.began = line.at("began"), r.first = line.at("first");
    }
    if (event == "crossed") r.crossed = at;
    if (event == "stream_cut") r.stream_cut = at;
    if (event == "left") r.left = at;
    if (event == "answer") r.answered = at, r.status = line.at("status");
    if (event == "no_answer") r.end = line.at("how"), r.ended = at;
    if (event == "post")
      r.posts.push_back({at, line.at("came"), 0, line.at("worker"), line.at("number"), line.at("reads"),
                         false, line.at("budget_ms")});
    if (event == "post_end" || event == "turned_away") end_post(r, event, at, line);
    if (event == "held") r.holds.push_back({HoldMark::What::held, at, number_of(line.at("worker"))});
    if (event == "fetched") r.holds.push_back({HoldMark::What::taken, at, number_of(line.at("worker"))});
    if (event == "released") r.holds.push_back({HoldMark::What::released, at, number_of(line.at("worker"))});
    // A client gets one stream, the last that begins.
    if (event == "event" && line.at("index") == 0) r.events_written.clear();
    if (event == "event") r.events_written[line.at("index")] = {at, line.at("worker")};
    if (event == "event_read") r.events_read[line.at("index")] = at;
  }

  static void end_post(Request& r, const std::string& event, Nanos at, const Recorder::Line& line) {
    for (Post& p : r.posts) {
      if (p.worker != line.at("worker") || p.number != line.at("number")) continue;
      if (event == "turned_away")
        p.turned_away = true;
      else
        p.ended = at;
      return;
    }
  }

  void breach(std::string what) { out_.breaches.push_back(std::move(what)); }

  bool stopped_around(const std::string& process, Nanos at) const {
    const auto spans = stops_.find(process);
    if (spans == stops_.end()) return false;
    return std::ranges::any_of(
        spans->second, [at](const Span& s) { return at >= s.from - 50 * kMs && at <= s.to + 300 * kMs; });
  }
  bool killed_between(const std::string& process, Nanos from, Nanos to) const {
    const auto kills = kills_.find(process);
    return kills != kills_.end() &&
           std::ranges::any_of(kills->second, [=](Nanos k) { return k >= from && k <= to; });
  }
  // Whether what came to a worker may have waited on silent links before: its id less the generation names the links.
  bool cut_before(const std::string& worker, Nanos at) const {
    const auto cuts = cuts_.find(worker.substr(0, worker.rfind('-')));
    return cuts != cuts_.end() && std::ranges::any_of(cuts->second, [at](const Span& cut) {
             return at >= cut.from && at <= cut.to + kCutBacklog;
           });
  }
  // Whether what a worker wrote may have waited at its proxy until its links fell silent.
  bool held_back_by_link(const std::string& worker, Nanos written) const {
    return cut_before(worker, written) || cut_before(worker, written + kProxyLate);
  }
  // From when on discovery's agents could be asked for what it had then.
  Nanos reachable_from(Nanos at) const {
    for (const Span& silent : discovery_silent_)
      if (at >= silent.from && at < silent.to) return silent.to;
    return at;
  }

  void judge(const std::string& id, const Request& r) {
    if (r.sent == 0) return;
    if (r.crossed > 0 || shut_unread(r)) return judge_crossed(id, r);
    ++out_.requests;
    if (killed_between(r.router, r.began, r.deadline + 500 * kMs + kNetwork) && r.answered == 0) {
      ++out_.excused;
    } else {
      judge_answer(id, r);
    }
    for (const Post& p : r.posts) judge_post(id, r, p);
    judge_repeats(id, r);
    judge_held(id, r);
    judge_stream(id, r);
    for (const auto& [index, event] : r.events_written) {
      const auto& [written, worker] = event;
      const auto read = r.events_read.find(index);
      if (read == r.events_read.end() || stopped_around(r.router, written)) continue;
      if (held_back_by_link(worker, written)) continue;
      if (read->second - written > 300 * kMs + kNetwork)
        breach(fmt::format("{}: event {} held back for {} ms", id, index, (read->second - written) / kMs));
    }
  }

  // Whether its new connection may have been shut as it came, to make room among idle clients.
  bool shut_unread(const Request& r) const {
    if (!r.first || r.end != "closed" || r.ended - r.sent > kShutUnread) return false;
    return std::ranges::any_of(crowds_, [&](const Span& c) { return r.began >= c.from && r.began <= c.to; });
  }

  // Its client sends it elsewhere, under a new id: its router must not have read it.
  void judge_crossed(const std::string& id, const Request& r) {
    if (r.posts.empty() || killed_between(r.router, r.began, std::max(r.crossed, r.ended))) return;
    breach(
        fmt::format("{}: lost at {}, which forwarded it and ended its connection unanswered", id, r.router));
  }

  // What SIGKILL cuts off is lost where it was sent well after SIGTERM.
  void judge_stream(const std::string& id, const Request& r) {
    const auto spans = terminations_.find(r.router);
    if (r.stream_cut == 0 || spans == terminations_.end()) return;
    for (const Span& ending : spans->second) {
      const bool by_kill = r.stream_cut >= ending.to - kNetwork && r.stream_cut <= ending.to + kNetwork;
      if (by_kill && r.sent > ending.from + kOwedPastTerm)
        breach(fmt::format("{}: its stream was cut by the kill, {} ms after SIGTERM", id,
                           (ending.to - ending.from) / kMs));
    }
  }

  void judge_answer(const std::string& id, const Request& r) {
    if (r.left > 0) {
      ++out_.left;
      return;
    }
    if (r.answered == 0) {
      if (r.sent + 6 * kSecond > last_ && r.end.empty()) return;  // the soak ended first
      breach(fmt::format("{}: lost at {} after {} ms ({})", id, r.router, (last_ - r.sent) / kMs, r.end));
      return;
    }
    const bool served = r.status == 200;
    ++(served ? out_.served : r.status == 503 || r.status == 429 ? out_.refused : out_.failed);
    if (!served && r.answered > r.deadline + 500 * kMs + kNetwork)
      breach(fmt::format("{}: answered {} ms after its deadline", id, (r.answered - r.deadline) / kMs));
  }

  void judge_post(const std::string& id, const Request& r, const Post& p) {
    if (stopped_around(p.worker, p.at) || cut_before(p.worker, p.at)) return;
    if (r.left > 0 && p.came > r.left + 100 * kMs + kNetwork)
      breach(fmt::format("{}: attempt at {} began {} ms after its client left", id, p.worker,
                         (p.came - r.left) / kMs));
    const Nanos budget = p.budget_ms * kMs, left = r.deadline - p.came;
    if (budget > std::max<Nanos>(left, 0) + 150 * kMs + kNetwork)
      breach(fmt::format("{}: {} was told {} ms where {} were left", id, p.worker, p.budget_ms, left / kMs));
    const auto drain = drains_.find(p.worker);
    if (drain == drains_.end()) return;
    const Nanos told = reachable_from(drain->second) + 6 * kSecond;
    if (p.came > told + limits_.drain_grace + 50 * kMs + kNetwork)
      breach(
          fmt::format("{}: sent to {} {} ms after its drain was told", id, p.worker, (p.came - told) / kMs));
  }

  // Requests with an effect: of those writes that may have run, no second one, or within the window of the first.
  void judge_repeats(const std::string& id, const Request& r) {
    if (r.kind == "chat") return;
    std::optional<Nanos> first;
    for (const Post& p : r.posts) {
      if (p.reads) continue;
      if (first && r.kind == "pay") breach(fmt::format("{}: written twice", id));
      if (first && r.kind == "order" && !cut_before(p.worker, p.at) &&
          p.came - *first > limits_.window + 50 * kMs + kNetwork)
        breach(fmt::format("{}: repeated {} ms after the first", id, (p.came - *first) / kMs));
      if (!first && !p.turned_away) first = p.came;
    }
  }

  void judge_held(const std::string& id, const Request& r) {
    std::vector<AttemptSpan> attempts;
    for (const Post& p : r.posts)
      attempts.push_back({p.came, p.ended == 0 ? kNever : p.ended, number_of(p.worker), p.reads});
    for (const HeldSpan& span : held_spans(attempts, r.holds, last_)) {
      const Nanos most = limits_.held_for + 300 * kMs + kNetwork;
      const Nanos unattended = unattended_until_kill(r, attempts, span);
      if (unattended <= most || stood_still(r)) continue;
      breach(fmt::format("{}: its state was held for {} ms", id, unattended / kMs));
    }
  }
  // A kill of its router, or of a worker of the request, excuses what was held from then on, and nothing before.
  Nanos unattended_until_kill(const Request& r, const std::vector<AttemptSpan>& attempts,
                              const HeldSpan& span) const {
    const Nanos kill = first_kill(r, span.from, span.until);
    if (kill == kNever) return span.unattended;
    std::vector<HoldMark> before = r.holds;
    std::erase_if(before, [kill](const HoldMark& mark) { return mark.at > kill; });
    for (const HeldSpan& shorter : held_spans(attempts, before, kill))
      if (shorter.from == span.from) return shorter.unattended;
    return 0;
  }
  int number_of(const std::string& worker) {
    return worker_numbers_.try_emplace(worker, static_cast<int>(worker_numbers_.size())).first->second;
  }
  // Of its router, or of a worker that it was sent to; kNever where none was killed in that time.
  Nanos first_kill(const Request& r, Nanos from, Nanos until) const {
    Nanos first = kNever;
    const auto look_at = [&](const std::string& process) {
      const auto kills = kills_.find(process);
      if (kills == kills_.end()) return;
      for (const Nanos kill : kills->second)
        if (kill >= from && kill <= until) first = std::min(first, kill);
    };
    look_at(r.router);
    for (const Post& p : r.posts) look_at(p.worker);
    return first;
  }
  bool stood_still(const Request& r) const {
    return std::ranges::any_of(r.posts, [&](const Post& p) { return stopped_around(p.worker, p.at); });
  }

  std::vector<Recorder::Line> lines_;
  std::map<std::string, int> worker_numbers_;
  CheckerLimits limits_;
  Judgement out_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::vector<Span>> stops_;
  std::map<std::string, std::vector<Nanos>> kills_;
  std::map<std::string, std::vector<Span>> terminations_;  // from SIGTERM to SIGKILL, where that had to come
  std::vector<Span> crowds_;                               // of idle clients
  std::map<std::string, Nanos> drains_;
  std::vector<Span> discovery_silent_;
  std::map<std::string, std::vector<Span>> cuts_;  // by the worker's name without its generation
  Nanos last_{};
};

}  // namespace

Judgement check(std::vector<Recorder::Line> lines, const CheckerLimits& limits) {
  return Checker(std::move(lines), limits).run();
}

}  // namespace cressrill::rig::soak
