#include "verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cressrill::rig {

namespace {

using Line = Recorder::Line;

// The value of a string field; empty if the record has none.
std::string string_field(const Line& line, const char* key) { return line.value(key, std::string()); }
Nanos time_of(const Line& line) { return line.at("t").get<Nanos>(); }
// The part of an id before its last separator: "<try>-<attempt>" gives "<try>", "<request>.<try>" gives
// "<request>".
std::string prefix_before_last(const std::string& id, char separator) {
  return id.substr(0, id.rfind(separator));
}

class RuleChecker {
 public:
  RuleChecker(const std::vector<Line>& lines, const RuleSettings& settings)
      : lines_(lines), settings_(settings) {
    verdict_.rules = {{1, "every request gets one final answer in time", 0, 0, ""},
                      {2, "no effect happens twice", 0, 0, ""},
                      {3, "no request is sent to a draining worker", 0, 0, ""},
                      {4, "no cold worker is overloaded", 0, 0, ""},
                      {5, "no KV cache is held too long", 0, 0, ""}};
    for (const Line& line : lines_)
      if (string_field(line, "e") == "router_killed")
        router_kills_[string_field(line, "router")].push_back(time_of(line));
  }

  Verdict check() {
    check_responses();
    check_effects();
    check_drains();
    check_cold_starts();
    check_kv_holds();
    add_totals();
    return std::move(verdict_);
  }

 private:
  void count_checked(int rule) { ++verdict_.rules[static_cast<std::size_t>(rule - 1)].checked; }
  void add_violation(int rule, const std::string& what) {
    RuleResult& result = verdict_.rules[static_cast<std::size_t>(rule - 1)];
    if (result.violations++ == 0) result.first_violation = what;
  }
  bool router_killed_between(const std::string& router, Nanos from, Nanos to) const {
    const auto kills = router_kills_.find(router);
    return kills != router_kills_.end() &&
           std::ranges::any_of(kills->second, [&](Nanos time) { return time >= from && time <= to; });
  }

  void check_responses() {
    std::map<std::string, const Line*> sent_by_id;
    std::map<std::string, int> final_count;
    // By try: when a decode engine generated the first token.
    std::map<std::string, Nanos> first_token_at;
    for (const Line& line : lines_)
      if (string_field(line, "e") == "ran")
        first_token_at.try_emplace(prefix_before_last(string_field(line, "id"), '-'), time_of(line));
    for (const Line& line : lines_) {
      if (string_field(line, "e") == "asked") sent_by_id[string_field(line, "id")] = &line;
      if (string_field(line, "e") != "final") continue;
      const std::string id = string_field(line, "id");
      const std::string outcome = string_field(line, "how");
      const std::string router = string_field(line, "router");
      const auto sent = sent_by_id.find(id);
      if (sent == sent_by_id.end()) {
        add_violation(1, "an answer to a request that was not sent: " + line.dump());
        continue;
      }
      if (++final_count[id] > 1) add_violation(1, "a second answer: " + line.dump());
      count_checked(1);
      const Nanos time_limit = sent->second->value("abandon", Nanos{0});
      const Nanos elapsed = line.value("took", Nanos{0});
      const Nanos time_to_first_token = line.value("first", Nanos{0});
      // A router that was killed before the outcome, or up to 50 ms after it, cannot answer the request.
      if (outcome == "left" ||
          router_killed_between(router, time_of(*sent->second), time_of(line) + 50'000'000))
        continue;
      if (outcome == "silent" || outcome == "cut" || outcome == "garbled")
        add_violation(1, outcome + ": " + line.dump());
      else if (sent->second->value("whole", false) && first_token_at.contains(id) &&
               first_token_at[id] <= time_of(*sent->second) + time_limit)
        continue;  // the deadline applies to the first token, whose time this client does not see
      else if ((time_to_first_token > 0 ? time_to_first_token : elapsed) >
               time_limit + settings_.answer_slack)
        add_violation(1, "after the client's deadline: " + line.dump());
    }
    for (const auto& [id, line] : sent_by_id)
      if (!final_count.contains(id)) add_violation(1, "never ended: " + line->dump());
  }

  void check_effects() {
    struct Run {
      Nanos sent;
      std::string cell;
      std::string zone;
      std::string record;
    };
    std::map<std::string, std::vector<Run>> runs_of;              // by request
    std::map<std::string, std::string> type_of;                   // by request
    std::map<std::string, Nanos> sent_at;                         // by attempt: when it arrived at its engine
    std::map<std::string, std::set<std::string>> tries_that_ran;  // by request
    for (const Line& line : lines_) {
      const std::string event = string_field(line, "e");
      if (event == "asked") type_of[string_field(line, "sequence")] = string_field(line, "type");
      const std::string try_id = prefix_before_last(string_field(line, "id"), '-');
      const std::string request = prefix_before_last(try_id, '.');
      if (event == "in") sent_at[string_field(line, "id")] = time_of(line);
      if (event != "ran") continue;
      count_checked(2);
      const auto sent = sent_at.find(string_field(line, "id"));
      runs_of[request].push_back({sent == sent_at.end() ? time_of(line) : sent->second,
                                  string_field(line, "cell"), string_field(line, "zone"), line.dump()});
      tries_that_ran[request].insert(try_id);
    }
    for (const auto& [request, runs] : runs_of) {
      const auto rules = settings_.types.find(type_of[request]);
      if (rules == settings_.types.end()) continue;
      const RuleSettings::Type& type = rules->second;
      if (type.effect == Effect::once_only && runs.size() > 1)
        add_violation(2, "a once-only request ran again: " + runs[1].record);
      if (type.effect != Effect::tokened) continue;
      for (std::size_t i = 1; i < runs.size(); ++i) {
        const bool in_group =
            type.group == Group::all ||
            (type.group == Group::zone ? runs[i].zone == runs[0].zone : runs[i].cell == runs[0].cell);
        if (!in_group) add_violation(2, "a tokened request ran outside its group: " + runs[i].record);
        if (runs[i].sent > runs[0].sent + type.window)
          add_violation(2, "a tokened request was sent again after its window and ran: " + runs[i].record);
      }
    }
    for (const Line& line : lines_) {
      if (string_field(line, "e") != "final" || string_field(line, "how") != "rejected") continue;
      const auto rules = settings_.types.find(string_field(line, "type"));
      if (rules == settings_.types.end()) continue;
      const RuleSettings::Type& type = rules->second;
      const bool may_repeat =
          type.effect == Effect::repeatable || (type.effect == Effect::tokened && type.group == Group::all);
      if (!may_repeat && tries_that_ran[string_field(line, "sequence")].contains(string_field(line, "id")))
        add_violation(2, "rejected, but it had run: " + line.dump());
    }
  }

  void check_drains() {
    struct Notified {
      Nanos since;  // when the router was notified of this status
      bool ready;
    };
    std::map<std::string, std::map<std::string, Notified>> notified;  // by router and engine
    for (const Line& line : lines_) {
      const std::string event = string_field(line, "e");
      const std::string router = string_field(line, "router");
      if (event == "told") {
        auto& known = notified[router];
        const Line& workers = line.at("workers");
        if (line.value("complete", false))
          for (auto& [engine, worker] : known)
            if (!workers.contains(engine) && worker.ready) worker = {time_of(line), false};
        for (const auto& [engine, worker] : workers.items()) {
          const bool ready = worker == "ready";
          const auto entry = known.find(engine);
          if (entry == known.end() || entry->second.ready != ready) known[engine] = {time_of(line), ready};
        }
      }
      if (event != "in") continue;
      count_checked(3);
      const auto& known = notified[router];
      const auto entry = known.find(string_field(line, "engine"));
      if (entry != known.end() && !entry->second.ready &&
          time_of(line) - entry->second.since > settings_.drain_grace)
        add_violation(3, fmt::format("sent {} ms after the router was notified: {}",
                                     (time_of(line) - entry->second.since) / 1'000'000, line.dump()));
    }
  }

  void check_cold_starts() {
    for (const Line& line : lines_) {
      if (string_field(line, "e") == "up") count_checked(4);
      if (string_field(line, "e") == "fell") add_violation(4, line.dump());
    }
  }

  void check_kv_holds() {
    struct HeldKv {
      Nanos since{};  // the prefill's end, or the end of the last decode attempt that used it
      std::string router;
      std::set<std::string> decodes;  // decode attempts in flight that use it
      std::string engine;
    };
    std::map<std::string, HeldKv> held;  // by prefill attempt
    // By decode attempt: the prefill attempt whose KV cache it uses, and the decode engine.
    std::map<std::string, std::pair<std::string, std::string>> decodes;
    const auto check_hold_time = [&](const std::string& id, const HeldKv& kv, const Line& line) {
      if (!kv.decodes.empty() || time_of(line) - kv.since <= settings_.pin_limit + settings_.pin_slack)
        return;
      // A router that was killed since 30 s before the hold began cannot release the KV cache.
      if (router_killed_between(kv.router, kv.since - 30'000'000'000, time_of(line))) return;
      add_violation(5, fmt::format("KV cache {} was held {} ms: {}", id,
                                   (time_of(line) - kv.since) / 1'000'000, line.dump()));
    };
    const auto end_decode = [&](const std::string& attempt, Nanos time) {
      const auto decode = decodes.find(attempt);
      if (decode == decodes.end()) return;
      const auto kv = held.find(decode->second.first);
      if (kv != held.end()) {
        kv->second.decodes.erase(attempt);
        if (kv->second.decodes.empty()) kv->second.since = time;
      }
      decodes.erase(decode);
    };
    for (const Line& line : lines_) {
      const std::string event = string_field(line, "e");
      const std::string id = string_field(line, "id");
      const std::string engine = string_field(line, "engine");
      if (event == "held") {
        count_checked(5);
        held[id] = {time_of(line), string_field(line, "router"), {}, engine};
      } else if (event == "in" && !string_field(line, "state").empty()) {
        const std::string kv_id = string_field(line, "state");
        if (const auto kv = held.find(kv_id); kv != held.end()) {
          check_hold_time(kv_id, kv->second, line);
          kv->second.decodes.insert(id);
          decodes[id] = {kv_id, engine};
        }
      } else if (event == "out") {
        end_decode(id, time_of(line));
      } else if (event == "down") {  // the decode attempts at a stopped engine end
        std::vector<std::string> ended;
        for (const auto& [attempt, decode] : decodes)
          if (decode.second == engine) ended.push_back(attempt);
        for (const std::string& attempt : ended) end_decode(attempt, time_of(line));
      } else if (event == "taken" || event == "freed" || event == "lost" || event == "expired") {
        const auto kv = held.find(id);
        if (kv == held.end() || kv->second.engine != engine) continue;
        if (event != "lost") check_hold_time(id, kv->second, line);
        held.erase(kv);
      }
    }
    if (lines_.empty()) return;
    for (const auto& [id, kv] : held) check_hold_time(id, kv, lines_.back());
  }

  void add_totals() {
    struct RequestHistory {
      std::string type;
      std::string outcome;
      Nanos first_sent{};      // time of the first try
      Nanos first_token_at{};  // of the try that was served; 0: none
      Nanos slo{};             // latency SLO
    };
    std::map<std::string, RequestHistory> requests;
    std::map<std::string, Nanos> sent_at;  // by try
    for (const Line& line : lines_) {
      const std::string event = string_field(line, "e");
      if (event != "asked" && event != "unreached" && event != "final") continue;
      RequestHistory& history = requests[string_field(line, "sequence")];
      history.type = string_field(line, "type");
      if (event == "asked") {
        if (history.first_sent == 0) {
          history.first_sent = time_of(line);
          history.slo = line.value("slo", Nanos{0});
        }
        sent_at[string_field(line, "id")] = time_of(line);
      }
      if (event == "unreached" && history.outcome.empty()) history.outcome = "unreached";
      if (event == "final") {
        history.outcome = string_field(line, "how");
        if (history.outcome == "generated" || history.outcome == "left") {
          const Nanos time_to_first_token = line.value("first", Nanos{0});
          history.first_token_at = sent_at[string_field(line, "id")] + time_to_first_token;
        }
      }
    }
    for (const auto& [request, history] : requests) {
      TypeTotals& totals = verdict_.types[history.type];
      const auto rules = settings_.types.find(history.type);
      const RuleSettings::Type type = rules == settings_.types.end() ? RuleSettings::Type{} : rules->second;
      ++totals.requests;
      ++totals.outcomes[history.outcome.empty() ? "unended" : history.outcome];
      totals.possible_utility += type.utility;
      if (history.first_token_at == 0) continue;
      const Nanos time_to_first_token = history.first_token_at - history.first_sent;
      totals.times_to_first_token.push_back(time_to_first_token);
      const bool in_time = time_to_first_token <= history.slo;
      totals.in_slo += in_time;
      totals.earned_utility += type.utility * (in_time ? 1 : type.late_share);
    }
    for (auto& [name, totals] : verdict_.types) std::ranges::sort(totals.times_to_first_token);
  }

  const std::vector<Line>& lines_;
  const RuleSettings& settings_;
  std::map<std::string, std::vector<Nanos>> router_kills_;
  Verdict verdict_;
};

// fraction: 0.5 for the median.
double percentile_ms(const std::vector<Nanos>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[index]) / 1e6;
}

}  // namespace

bool Verdict::passed() const {
  return std::ranges::all_of(rules, [](const RuleResult& result) { return result.violations == 0; });
}

double Verdict::utility() const {
  double earned = 0;
  double possible = 0;
  for (const auto& [name, totals] : types) {
    earned += totals.earned_utility;
    possible += totals.possible_utility;
  }
  return possible == 0 ? 0 : earned / possible;
}

std::string Verdict::report() const {
  std::string report;
  for (const RuleResult& result : rules) {
    report += fmt::format("rule {}: {:<46} {:>6} checked, {:>4} violations  {}\n", result.rule, result.name,
                          result.checked, result.violations, result.violations == 0 ? "kept" : "BROKEN");
    if (result.violations > 0) report += "        first: " + result.first_violation + "\n";
  }
  static constexpr const char* kOutcomes[] = {"generated", "rejected", "aborted", "broken",
                                              "refused",   "left",     "cut",     "unreached"};
  report += fmt::format("\n{:<16}{:>9}", "traffic type", "asked");
  for (const char* outcome : kOutcomes) report += fmt::format("{:>10}", outcome);
  report += fmt::format("{:>9}{:>9}{:>9}{:>9}\n", "in SLO", "utility", "p50 ms", "p99 ms");
  for (const auto& [name, totals] : types) {
    report += fmt::format("{:<16}{:>9}", name, totals.requests);
    for (const char* outcome : kOutcomes)
      report += fmt::format("{:>10}", totals.outcomes.contains(outcome) ? totals.outcomes.at(outcome) : 0);
    report += fmt::format("{:>9}{:>9.3f}{:>9.0f}{:>9.0f}\n", totals.in_slo,
                          totals.possible_utility == 0 ? 0 : totals.earned_utility / totals.possible_utility,
                          percentile_ms(totals.times_to_first_token, 0.5),
                          percentile_ms(totals.times_to_first_token, 0.99));
  }
  report +=
      fmt::format("\nutility of answers within the latency SLO, late answers in part: {:.3f}\n", utility());
  return report;
}

Verdict check_rules(std::vector<Line> lines, const RuleSettings& settings) {
  std::ranges::stable_sort(lines, {}, [](const Line& line) { return time_of(line); });
  return RuleChecker(lines, settings).check();
}

}  // namespace cressrill::rig
