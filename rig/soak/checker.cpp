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

// Allowance for delays between processes on a busy machine.
constexpr Nanos kNetworkDelay = 30 * kMs;
// How long a router may hold back an event of a stream.
constexpr Nanos kMaxEventDelay = 300 * kMs;
// How long links that have recovered take to deliver what was buffered.
constexpr Nanos kLinkBacklogTime = 300 * kMs;
// How long a proxy may delay what a worker wrote: it delays responses until 200 ms after the start of the
// connection, and no worker responds within 5 ms.
constexpr Nanos kMaxProxyDelay = 195 * kMs;
// SIGKILL may cut off the streams of requests that were sent within this time after SIGTERM; later requests
// must get their whole stream.
constexpr Nanos kStreamCutGrace = 700 * kMs;
// While idle clients use up the descriptors, a router may close a new connection without reading it. The
// router may be suspended before it does.
constexpr Nanos kMaxUnreadCloseDelay = 150 * kMs + kNetworkDelay;
// End of a time span that has not ended. Adding kLinkBacklogTime to it does not overflow.
constexpr Nanos kNoEnd = std::numeric_limits<Nanos>::max() - kLinkBacklogTime;

// One attempt, as its worker recorded it.
struct Attempt {
  Nanos recorded_at{};
  Nanos arrived_at{};
  Nanos ended_at{};  // 0: still at the worker
  std::string worker;
  std::uint64_t number{};  // sequence number at that worker
  bool is_prefill{};
  bool rejected{};
  std::int64_t budget_ms{};
};

// One request, as its client and the workers recorded it. A time of 0 means that the event did not occur.
struct Request {
  Nanos started_at{};  // before the first byte was written; a client may record `sent_at` late
  Nanos sent_at{};
  Nanos deadline{};
  Nanos left_at{};
  Nanos response_at{};    // start of a response with status 200, end of any other
  Nanos crossed_at{};     // the router's close of the reused connection may have crossed the request
  Nanos stream_cut_at{};  // the stream ended without its last chunk
  int status{};
  std::string kind;
  std::string router;
  bool first_on_connection{};
  std::string failure;  // why there was no response
  Nanos failed_at{};
  std::vector<Attempt> attempts;
  std::vector<KvAction> kv_actions;                             // ordered by time
  std::map<int, std::pair<Nanos, std::string>> events_written;  // by event index: the time and the worker
  std::map<int, Nanos> events_read;
};

struct TimeSpan {
  Nanos from{};
  Nanos to{};
};

class Checker {
 public:
  Checker(std::vector<Recorder::Line> lines, const CheckerLimits& limits)
      : records_(std::move(lines)), limits_(limits) {}

  CheckResult run() {
    std::ranges::stable_sort(records_, {},
                             [](const Recorder::Line& line) { return line.at("t").get<Nanos>(); });
    for (const Recorder::Line& line : records_) read_line(line);
    for (const auto& [id, request] : requests_) check_request(id, request);
    return std::move(result_);
  }

 private:
  void read_line(const Recorder::Line& line) {
    const auto event = line.at("e").get<std::string>();
    const auto at = line.at("t").get<Nanos>();
    last_record_at_ = at;
    if (event == "stopped")
      suspensions_[line.at("process")].push_back({at, at + line.at("for").get<Nanos>()});
    if (event == "killed") kills_[line.at("process")].push_back(at);
    if (event == "soak_held_up") soak_halts_.push_back({at - line.at("for").get<Nanos>(), at});
    if (event == "draining") drain_starts_[line.at("worker")] = at;
    if (event == "discovery_silent") discovery_outages_.push_back({at, kNoEnd});
    if (event == "discovery_up" && !discovery_outages_.empty()) discovery_outages_.back().to = at;
    if (event == "links_cut") link_outages_[line.at("worker")].push_back({at, kNoEnd});
    if (event == "links_pass") link_outages_[line.at("worker")].back().to = at;
    if (event == "terminated") terminations_[line.at("router")].push_back({at, kNoEnd});
    if (event == "late_exit") terminations_[line.at("router")].back().to = at;
    if (event == "crowd_came") idle_crowds_.push_back({at, kNoEnd});
    if (event == "crowd_gone") idle_crowds_.back().to = at;
    if (event == "breach") add_breach(line.at("what"));
    if (event == "unanswered_disturber" && !killed_between(line.at("router"), at - 4 * kSecond, at))
      add_breach("a client that sent a malformed request got neither an error nor a close within 3.5 s");
    if (const auto id = line.find("id"); id != line.end() && !id->get<std::string>().empty())
      read_request_event(requests_[id->get<std::string>()], event, at, line);
  }

  void read_request_event(Request& request, const std::string& event, Nanos at, const Recorder::Line& line) {
    if (event == "sent") {
      request.sent_at = at;
      request.deadline = at + line.at("budget_ms").get<std::int64_t>() * kMs;
      request.kind = line.at("kind");
      request.router = line.at("router");
      request.started_at = line.at("began");
      request.first_on_connection = line.at("first");
    }
    if (event == "crossed") request.crossed_at = at;
    if (event == "stream_cut") request.stream_cut_at = at;
    if (event == "left") request.left_at = at;
    if (event == "answer") {
      request.response_at = at;
      request.status = line.at("status");
    }
    if (event == "no_answer") {
      request.failure = line.at("how");
      request.failed_at = at;
    }
    if (event == "post")
      request.attempts.push_back({at, line.at("came"), 0, line.at("worker"), line.at("number"),
                                  line.at("reads"), false, line.at("budget_ms")});
    if (event == "post_end" || event == "turned_away") end_attempt(request, event, at, line);
    if (event == "held")
      request.kv_actions.push_back({KvAction::Kind::held, at, worker_number(line.at("worker"))});
    if (event == "fetched")
      request.kv_actions.push_back({KvAction::Kind::taken, at, worker_number(line.at("worker"))});
    if (event == "released")
      request.kv_actions.push_back({KvAction::Kind::released, at, worker_number(line.at("worker"))});
    // The client receives only the stream that started last.
    if (event == "event" && line.at("index") == 0) request.events_written.clear();
    if (event == "event") request.events_written[line.at("index")] = {at, line.at("worker")};
    if (event == "event_read") request.events_read[line.at("index")] = at;
  }

  static void end_attempt(Request& request, const std::string& event, Nanos at, const Recorder::Line& line) {
    for (Attempt& attempt : request.attempts) {
      if (attempt.worker != line.at("worker") || attempt.number != line.at("number")) continue;
      if (event == "turned_away")
        attempt.rejected = true;
      else
        attempt.ended_at = at;
      return;
    }
  }

  void add_breach(std::string what) { result_.breaches.push_back(std::move(what)); }

  // Whether the process was suspended by SIGSTOP at about that time.
  bool suspended_around(const std::string& process, Nanos at) const {
    const auto spans = suspensions_.find(process);
    if (spans == suspensions_.end()) return false;
    return std::ranges::any_of(spans->second, [at](const TimeSpan& span) {
      return at >= span.from - 50 * kMs && at <= span.to + 300 * kMs;
    });
  }
  bool killed_between(const std::string& process, Nanos from, Nanos to) const {
    const auto kills = kills_.find(process);
    return kills != kills_.end() &&
           std::ranges::any_of(kills->second, [=](Nanos kill) { return kill >= from && kill <= to; });
  }
  // Whether data that arrived at a worker at that time may have been delayed by a silent link. Records of
  // links name the worker without "-<generation>", which changes each time it is replaced.
  bool link_was_silent(const std::string& worker, Nanos at) const {
    const auto outages = link_outages_.find(worker.substr(0, worker.rfind('-')));
    return outages != link_outages_.end() &&
           std::ranges::any_of(outages->second, [at](const TimeSpan& outage) {
             return at >= outage.from && at <= outage.to + kLinkBacklogTime;
           });
  }
  // Whether data that a worker wrote may still have been in its proxy when the worker's links fell silent.
  bool may_be_held_back_by_link(const std::string& worker, Nanos written) const {
    return link_was_silent(worker, written) || link_was_silent(worker, written + kMaxProxyDelay);
  }
  // The earliest time, not before `at`, at which discovery answered queries.
  Nanos discovery_reachable_from(Nanos at) const {
    for (const TimeSpan& outage : discovery_outages_)
      if (at >= outage.from && at < outage.to) return outage.to;
    return at;
  }

  void check_request(const std::string& id, const Request& request) {
    if (request.sent_at == 0) return;
    if (request.crossed_at > 0 || may_be_closed_unread(request)) return check_unread(id, request);
    ++result_.requests;
    if (killed_between(request.router, request.started_at, request.deadline + 500 * kMs + kNetworkDelay) &&
        request.response_at == 0) {
      ++result_.excused;
    } else {
      check_response(id, request);
    }
    for (const Attempt& attempt : request.attempts) check_attempt(id, request, attempt);
    check_repeats(id, request);
    check_held(id, request);
    check_stream(id, request);
    for (const auto& [index, event] : request.events_written) {
      const auto& [written, worker] = event;
      const auto read = request.events_read.find(index);
      if (read == request.events_read.end() || suspended_around(request.router, written)) continue;
      if (may_be_held_back_by_link(worker, written)) continue;
      const Nanos latest_write = latest_write_of(worker, written);
      const Nanos delay = read->second - latest_write - soak_halted_between(latest_write, read->second);
      if (delay > kMaxEventDelay + kNetworkDelay)
        add_breach(fmt::format("{}: event {} delayed for {} ms", id, index, delay / kMs));
    }
  }

  // By when a worker that recorded an event has written it: a worker records an event before it writes it, and
  // may be suspended in between.
  Nanos latest_write_of(const std::string& worker, Nanos recorded) const {
    const auto spans = suspensions_.find(worker);
    if (spans == suspensions_.end()) return recorded;
    Nanos latest = recorded;
    for (const TimeSpan& span : spans->second)
      if (recorded >= span.from - kNetworkDelay && recorded <= span.from + kNetworkDelay)
        latest = std::max(latest, span.to);
    return latest;
  }
  // For how long, within that time, the soak's own process with all clients was held up by the machine.
  Nanos soak_halted_between(Nanos from, Nanos to) const {
    Nanos halted = 0;
    for (const TimeSpan& halt : soak_halts_)
      halted += std::max<Nanos>(0, std::min(to, halt.to) - std::max(from, halt.from));
    return halted;
  }

  // Whether the router may have closed the new connection without reading it because idle clients used up
  // its descriptors.
  bool may_be_closed_unread(const Request& request) const {
    if (!request.first_on_connection || request.failure != "closed" ||
        request.failed_at - request.sent_at > kMaxUnreadCloseDelay)
      return false;
    return std::ranges::any_of(idle_crowds_, [&](const TimeSpan& crowd) {
      return request.started_at >= crowd.from && request.started_at <= crowd.to;
    });
  }

  // A router must not forward a request that it closes unread: the client resends it under a new id.
  void check_unread(const std::string& id, const Request& request) {
    if (request.attempts.empty() ||
        killed_between(request.router, request.started_at, std::max(request.crossed_at, request.failed_at)))
      return;
    add_breach(fmt::format("{}: lost at {}, which forwarded it and ended its connection unanswered", id,
                           request.router));
  }

  // Reports streams that SIGKILL cut off although their request was sent more than kStreamCutGrace after
  // SIGTERM.
  void check_stream(const std::string& id, const Request& request) {
    const auto spans = terminations_.find(request.router);
    if (request.stream_cut_at == 0 || spans == terminations_.end()) return;
    for (const TimeSpan& termination : spans->second) {
      const bool cut_by_kill = request.stream_cut_at >= termination.to - kNetworkDelay &&
                               request.stream_cut_at <= termination.to + kNetworkDelay;
      if (cut_by_kill && request.sent_at > termination.from + kStreamCutGrace)
        add_breach(fmt::format("{}: its stream was cut by the kill, {} ms after SIGTERM", id,
                               (termination.to - termination.from) / kMs));
    }
  }

  void check_response(const std::string& id, const Request& request) {
    if (request.left_at > 0) {
      ++result_.left;
      return;
    }
    if (request.response_at == 0) {
      if (request.sent_at + 6 * kSecond > last_record_at_ && request.failure.empty())
        return;  // the soak ended before the response was due
      add_breach(fmt::format("{}: lost at {} after {} ms ({})", id, request.router,
                             (last_record_at_ - request.sent_at) / kMs, request.failure));
      return;
    }
    const bool served = request.status == 200;
    ++(served                                           ? result_.served
       : request.status == 503 || request.status == 429 ? result_.refused
                                                        : result_.failed);
    if (!served && request.response_at > request.deadline + 500 * kMs + kNetworkDelay)
      add_breach(fmt::format("{}: answered {} ms after its deadline", id,
                             (request.response_at - request.deadline) / kMs));
  }

  void check_attempt(const std::string& id, const Request& request, const Attempt& attempt) {
    if (suspended_around(attempt.worker, attempt.recorded_at) ||
        link_was_silent(attempt.worker, attempt.recorded_at))
      return;
    if (request.left_at > 0 && attempt.arrived_at > request.left_at + 100 * kMs + kNetworkDelay)
      add_breach(fmt::format("{}: attempt at {} started {} ms after the client left", id, attempt.worker,
                             (attempt.arrived_at - request.left_at) / kMs));
    const Nanos budget = attempt.budget_ms * kMs;
    const Nanos time_left = request.deadline - attempt.arrived_at;
    if (budget > std::max<Nanos>(time_left, 0) + 150 * kMs + kNetworkDelay)
      add_breach(fmt::format("{}: {} was given a budget of {} ms where {} ms were left", id, attempt.worker,
                             attempt.budget_ms, time_left / kMs));
    const auto drain_start = drain_starts_.find(attempt.worker);
    if (drain_start == drain_starts_.end()) return;
    const Nanos notified_at = discovery_reachable_from(drain_start->second) + 6 * kSecond;
    if (attempt.arrived_at > notified_at + limits_.drain_grace + 50 * kMs + kNetworkDelay)
      add_breach(fmt::format("{}: sent to {} {} ms after the router was notified of its drain", id,
                             attempt.worker, (attempt.arrived_at - notified_at) / kMs));
  }

  // Requests with side effects: after a decode attempt that may have run, a second one is not allowed (kind
  // "pay"), or only within the window that starts with the first (kind "order").
  void check_repeats(const std::string& id, const Request& request) {
    if (request.kind == "chat") return;
    std::optional<Nanos> first_at;
    for (const Attempt& attempt : request.attempts) {
      if (attempt.is_prefill) continue;
      if (first_at && request.kind == "pay") add_breach(fmt::format("{}: sent to decode twice", id));
      if (first_at && request.kind == "order" && !link_was_silent(attempt.worker, attempt.recorded_at) &&
          attempt.arrived_at - *first_at > limits_.repeat_window + 50 * kMs + kNetworkDelay)
        add_breach(fmt::format("{}: repeated {} ms after the first decode attempt", id,
                               (attempt.arrived_at - *first_at) / kMs));
      if (!first_at && !attempt.rejected) first_at = attempt.arrived_at;
    }
  }

  void check_held(const std::string& id, const Request& request) {
    std::vector<AttemptSpan> attempts;
    for (const Attempt& attempt : request.attempts)
      attempts.push_back({attempt.arrived_at, attempt.ended_at == 0 ? kNever : attempt.ended_at,
                          worker_number(attempt.worker), attempt.is_prefill});
    for (const HeldSpan& span : held_spans(attempts, request.kv_actions, last_record_at_)) {
      const Nanos max_unattended = limits_.kv_hold_limit + 300 * kMs + kNetworkDelay;
      const Nanos unattended = unattended_until_kill(request, attempts, span);
      if (unattended <= max_unattended || any_worker_suspended(request)) continue;
      add_breach(fmt::format("{}: its KV cache was held for {} ms", id, unattended / kMs));
    }
  }
  // How long the KV cache was unattended until the first kill of the request's router or of one of its
  // workers. Time after that kill does not count.
  Nanos unattended_until_kill(const Request& request, const std::vector<AttemptSpan>& attempts,
                              const HeldSpan& span) const {
    const Nanos kill = first_kill(request, span.from, span.until);
    if (kill == kNever) return span.unattended;
    std::vector<KvAction> actions_before_kill = request.kv_actions;
    std::erase_if(actions_before_kill, [kill](const KvAction& action) { return action.at > kill; });
    for (const HeldSpan& span_until_kill : held_spans(attempts, actions_before_kill, kill))
      if (span_until_kill.from == span.from) return span_until_kill.unattended;
    return 0;
  }
  int worker_number(const std::string& worker) {
    return worker_numbers_.try_emplace(worker, static_cast<int>(worker_numbers_.size())).first->second;
  }
  // The first kill, from `from` to `until`, of the request's router or of a worker that it was sent to;
  // kNever if there was none.
  Nanos first_kill(const Request& request, Nanos from, Nanos until) const {
    Nanos first_kill_at = kNever;
    const auto consider = [&](const std::string& process) {
      const auto kills = kills_.find(process);
      if (kills == kills_.end()) return;
      for (const Nanos kill : kills->second)
        if (kill >= from && kill <= until) first_kill_at = std::min(first_kill_at, kill);
    };
    consider(request.router);
    for (const Attempt& attempt : request.attempts) consider(attempt.worker);
    return first_kill_at;
  }
  bool any_worker_suspended(const Request& request) const {
    return std::ranges::any_of(request.attempts, [&](const Attempt& attempt) {
      return suspended_around(attempt.worker, attempt.recorded_at);
    });
  }

  std::vector<Recorder::Line> records_;
  std::map<std::string, int> worker_numbers_;
  CheckerLimits limits_;
  CheckResult result_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::vector<TimeSpan>> suspensions_;
  std::vector<TimeSpan> soak_halts_;  // disjoint
  std::map<std::string, std::vector<Nanos>> kills_;
  // From SIGTERM to SIGKILL; kNoEnd where no SIGKILL was sent.
  std::map<std::string, std::vector<TimeSpan>> terminations_;
  std::vector<TimeSpan> idle_crowds_;  // while idle clients were connected
  std::map<std::string, Nanos> drain_starts_;
  std::vector<TimeSpan> discovery_outages_;
  std::map<std::string, std::vector<TimeSpan>> link_outages_;  // by worker name, without the generation
  Nanos last_record_at_{};
};

}  // namespace

CheckResult check(std::vector<Recorder::Line> lines, const CheckerLimits& limits) {
  return Checker(std::move(lines), limits).run();
}

}  // namespace cressrill::rig::soak
