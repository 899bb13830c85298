#include "verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cressrill::rig {

namespace {

using Line = Recorder::Line;

std::string text(const Line& l, const char* key) { return l.value(key, std::string()); }
Nanos at(const Line& l) { return l.at("t").get<Nanos>(); }
// The part before the last separator: "<try>-<attempt>" to "<try>", "<request>.<try>" to "<request>".
std::string before_last(const std::string& s, char mark) { return s.substr(0, s.rfind(mark)); }

class RuleChecker {
 public:
  RuleChecker(const std::vector<Line>& lines, const RuleSettings& book) : lines_(lines), book_(book) {
    verdict_.rules = {{1, "every request gets one final answer in time", 0, 0, ""},
                      {2, "no effect happens twice", 0, 0, ""},
                      {3, "no request is sent to a draining worker", 0, 0, ""},
                      {4, "no cold worker is overloaded", 0, 0, ""},
                      {5, "no KV cache is held too long", 0, 0, ""}};
    for (const Line& l : lines_)
      if (text(l, "e") == "router_killed") router_kills_[text(l, "router")].push_back(at(l));
  }

  Verdict check() {
    check_answers();
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
    RuleResult& finding = verdict_.rules[static_cast<std::size_t>(rule - 1)];
    if (finding.violations++ == 0) finding.first_violation = what;
  }
  bool killed_between(const std::string& router, Nanos from, Nanos to) const {
    const auto it = router_kills_.find(router);
    return it != router_kills_.end() &&
           std::ranges::any_of(it->second, [&](Nanos t) { return t >= from && t <= to; });
  }

  void check_answers() {
    std::map<std::string, const Line*> sent_by_id;
    std::map<std::string, int> finals;
    std::map<std::string, Nanos> first_token_at;  // by try: when a decode engine generated its first token
    for (const Line& l : lines_)
      if (text(l, "e") == "ran") first_token_at.try_emplace(before_last(text(l, "id"), '-'), at(l));
    for (const Line& l : lines_) {
      if (text(l, "e") == "asked") sent_by_id[text(l, "id")] = &l;
      if (text(l, "e") != "final") continue;
      const std::string id = text(l, "id"), how = text(l, "how"), router = text(l, "router");
      const auto it = sent_by_id.find(id);
      if (it == sent_by_id.end()) {
        add_violation(1, "an answer to a request that was not sent: " + l.dump());
        continue;
      }
      if (++finals[id] > 1) add_violation(1, "a second answer: " + l.dump());
      count_checked(1);
      const Nanos abandon = it->second->value("abandon", Nanos{0}), took = l.value("took", Nanos{0});
      const Nanos first = l.value("first", Nanos{0});
      if (how == "left" || killed_between(router, at(*it->second), at(l) + 50'000'000)) continue;
      if (how == "silent" || how == "cut" || how == "garbled")
        add_violation(1, how + ": " + l.dump());
      else if (it->second->value("whole", false) && first_token_at.contains(id) &&
               first_token_at[id] <= at(*it->second) + abandon)
        continue;  // no deadline after the first token, which the client of a complete answer does not see
      else if ((first > 0 ? first : took) > abandon + book_.answer_slack)
        add_violation(1, "after the client's deadline: " + l.dump());
    }
    for (const auto& [id, line] : sent_by_id)
      if (!finals.contains(id)) add_violation(1, "never ended: " + line->dump());
  }

  void check_effects() {
    struct Ran {
      Nanos sent;
      std::string cell, zone, id;
    };
    std::map<std::string, std::vector<Ran>> ran;  // by request
    std::map<std::string, std::string> type_of;   // by request
    std::map<std::string, Nanos> sent;            // by attempt
    std::map<std::string, std::set<std::string>> tries_that_ran;
    for (const Line& l : lines_) {
      const std::string e = text(l, "e");
      if (e == "asked") type_of[text(l, "sequence")] = text(l, "type");
      const std::string try_id = before_last(text(l, "id"), '-'), request = before_last(try_id, '.');
      if (e == "in") sent[text(l, "id")] = at(l);
      if (e != "ran") continue;
      count_checked(2);
      const auto in = sent.find(text(l, "id"));
      ran[request].push_back(
          {in == sent.end() ? at(l) : in->second, text(l, "cell"), text(l, "zone"), l.dump()});
      tries_that_ran[request].insert(try_id);
    }
    for (const auto& [request, list] : ran) {
      const auto rules = book_.types.find(type_of[request]);
      if (rules == book_.types.end()) continue;
      const RuleSettings::Type& type = rules->second;
      if (type.effect == Effect::once_only && list.size() > 1)
        add_violation(2, "a once-only request ran again: " + list[1].id);
      if (type.effect != Effect::tokened) continue;
      for (std::size_t i = 1; i < list.size(); ++i) {
        const bool in_group =
            type.group == Group::all ||
            (type.group == Group::zone ? list[i].zone == list[0].zone : list[i].cell == list[0].cell);
        if (!in_group) add_violation(2, "a tokened request ran outside its group: " + list[i].id);
        if (list[i].sent > list[0].sent + type.window)
          add_violation(2, "a tokened request was sent again after its window and ran: " + list[i].id);
      }
    }
    for (const Line& l : lines_) {
      if (text(l, "e") != "final" || text(l, "how") != "rejected") continue;
      const auto rules = book_.types.find(text(l, "type"));
      if (rules == book_.types.end()) continue;
      const RuleSettings::Type& type = rules->second;
      const bool harmless =
          type.effect == Effect::repeatable || (type.effect == Effect::tokened && type.group == Group::all);
      if (!harmless && tries_that_ran[text(l, "sequence")].contains(text(l, "id")))
        add_violation(2, "rejected, but it had run: " + l.dump());
    }
  }

  void check_drains() {
    struct Notified {
      Nanos at;
      bool ready;
    };
    std::map<std::string, std::map<std::string, Notified>> notified;  // by router and engine
    for (const Line& l : lines_) {
      const std::string e = text(l, "e"), router = text(l, "router");
      if (e == "told") {
        auto& known = notified[router];
        const Line& workers = l.at("workers");
        if (l.value("complete", false))
          for (auto& [engine, worker] : known)
            if (!workers.contains(engine) && worker.ready) worker = {at(l), false};
        for (const auto& [engine, worker] : workers.items()) {
          const bool ready = worker == "ready";
          const auto it = known.find(engine);
          if (it == known.end() || it->second.ready != ready) known[engine] = {at(l), ready};
        }
      }
      if (e != "in") continue;
      count_checked(3);
      const auto& known = notified[router];
      const auto it = known.find(text(l, "engine"));
      if (it != known.end() && !it->second.ready && at(l) - it->second.at > book_.drain_grace)
        add_violation(3, fmt::format("sent {} ms after the router was notified: {}",
                                     (at(l) - it->second.at) / 1'000'000, l.dump()));
    }
  }

  void check_cold_starts() {
    for (const Line& l : lines_) {
      if (text(l, "e") == "up") count_checked(4);
      if (text(l, "e") == "fell") add_violation(4, l.dump());
    }
  }

  void check_kv_holds() {
    struct HeldKv {
      Nanos since{};
      std::string router;
      std::set<std::string> decodes;  // decode attempts in flight that name it
      std::string engine;
    };
    std::map<std::string, HeldKv> held;
    // By decode attempt: the request whose KV cache it uses, and the engine.
    std::map<std::string, std::pair<std::string, std::string>> decodes;
    const auto check_hold_time = [&](const std::string& id, const HeldKv& kv, const Line& l) {
      if (!kv.decodes.empty() || at(l) - kv.since <= book_.pin_limit + book_.pin_slack) return;
      // A router that was killed cannot release what its requests left.
      if (killed_between(kv.router, kv.since - 30'000'000'000, at(l))) return;
      add_violation(
          5, fmt::format("KV cache {} was held {} ms: {}", id, (at(l) - kv.since) / 1'000'000, l.dump()));
    };
    const auto decode_ended = [&](const std::string& attempt, Nanos when) {
      const auto decode = decodes.find(attempt);
      if (decode == decodes.end()) return;
      const auto it = held.find(decode->second.first);
      if (it != held.end()) {
        it->second.decodes.erase(attempt);
        if (it->second.decodes.empty()) it->second.since = when;
      }
      decodes.erase(decode);
    };
    for (const Line& l : lines_) {
      const std::string e = text(l, "e"), id = text(l, "id"), engine = text(l, "engine");
      if (e == "held") {
        count_checked(5);
        held[id] = {at(l), text(l, "router"), {}, engine};
      } else if (e == "in" && !text(l, "state").empty()) {
        const std::string kv_id = text(l, "state");
        if (const auto it = held.find(kv_id); it != held.end()) {
          check_hold_time(kv_id, it->second, l);
          it->second.decodes.insert(id);
          decodes[id] = {kv_id, engine};
        }
      } else if (e == "out") {
        decode_ended(id, at(l));
      } else if (e == "down") {  // the decode attempts at a stopped engine end
        std::vector<std::string> over;
        for (const auto& [attempt, decode] : decodes)
          if (decode.second == engine) over.push_back(attempt);
        for (const std::string& attempt : over) decode_ended(attempt, at(l));
      } else if (e == "taken" || e == "freed" || e == "lost" || e == "expired") {
        const auto it = held.find(id);
        if (it == held.end() || it->second.engine != engine) continue;
        if (e != "lost") check_hold_time(id, it->second, l);
        held.erase(it);
      }
    }
    if (lines_.empty()) return;
    for (const auto& [id, kv] : held) check_hold_time(id, kv, lines_.back());
  }

  void add_totals() {
    struct RequestHistory {
      std::string type, outcome;
      Nanos first_sent{}, answered{}, slo{};
    };
    std::map<std::string, RequestHistory> requests;
    std::map<std::string, Nanos> sent_by_id;
    for (const Line& l : lines_) {
      const std::string e = text(l, "e");
      if (e != "asked" && e != "unreached" && e != "final") continue;
      RequestHistory& history = requests[text(l, "sequence")];
      history.type = text(l, "type");
      if (e == "asked") {
        if (history.first_sent == 0) {
          history.first_sent = at(l);
          history.slo = l.value("slo", Nanos{0});
        }
        sent_by_id[text(l, "id")] = at(l);
      }
      if (e == "unreached" && history.outcome.empty()) history.outcome = "unreached";
      if (e == "final") {
        history.outcome = text(l, "how");
        if (history.outcome == "generated" || history.outcome == "left") {
          const Nanos first = l.value("first", Nanos{0});
          history.answered = sent_by_id[text(l, "id")] + first;
        }
      }
    }
    for (const auto& [id, history] : requests) {
      TypeTotals& totals = verdict_.types[history.type];
      const auto rules = book_.types.find(history.type);
      const RuleSettings::Type type = rules == book_.types.end() ? RuleSettings::Type{} : rules->second;
      ++totals.requests;
      ++totals.outcomes[history.outcome.empty() ? "unended" : history.outcome];
      totals.possible_utility += type.utility;
      if (history.answered == 0) continue;
      const Nanos first = history.answered - history.first_sent;
      totals.first.push_back(first);
      const bool in_time = first <= history.slo;
      totals.in_slo += in_time;
      totals.earned_utility += type.utility * (in_time ? 1 : type.late_share);
    }
    for (auto& [name, totals] : verdict_.types) std::ranges::sort(totals.first);
  }

  const std::vector<Line>& lines_;
  const RuleSettings& book_;
  std::map<std::string, std::vector<Nanos>> router_kills_;
  Verdict verdict_;
};

double percentile_ms(const std::vector<Nanos>& sorted, double p) {
  if (sorted.empty()) return 0;
  const auto i = static_cast<std::size_t>(p * static_cast<double>(sorted.size() - 1));
  return static_cast<double>(sorted[i]) / 1e6;
}

}  // namespace

bool Verdict::passed() const {
  return std::ranges::all_of(rules, [](const RuleResult& finding) { return finding.violations == 0; });
}

double Verdict::utility() const {
  double earned = 0, possible = 0;
  for (const auto& [name, totals] : types) {
    earned += totals.earned_utility;
    possible += totals.possible_utility;
  }
  return possible == 0 ? 0 : earned / possible;
}

std::string Verdict::text() const {
  std::string out;
  for (const RuleResult& finding : rules) {
    out += fmt::format("rule {}: {:<46} {:>6} checked, {:>4} violations  {}\n", finding.rule, finding.name,
                       finding.checked, finding.violations, finding.violations == 0 ? "kept" : "BROKEN");
    if (finding.violations > 0) out += "        first: " + finding.first_violation + "\n";
  }
  static constexpr const char* kOutcomes[] = {"generated", "rejected", "aborted", "broken",
                                              "refused",   "left",     "cut",     "unreached"};
  out += fmt::format("\n{:<16}{:>9}", "traffic type", "asked");
  for (const char* outcome : kOutcomes) out += fmt::format("{:>10}", outcome);
  out += fmt::format("{:>9}{:>9}{:>9}{:>9}\n", "in SLO", "utility", "p50 ms", "p99 ms");
  for (const auto& [name, totals] : types) {
    out += fmt::format("{:<16}{:>9}", name, totals.requests);
    for (const char* outcome : kOutcomes)
      out += fmt::format("{:>10}", totals.outcomes.contains(outcome) ? totals.outcomes.at(outcome) : 0);
    out += fmt::format("{:>9}{:>9.3f}{:>9.0f}{:>9.0f}\n", totals.in_slo,
                       totals.possible_utility == 0 ? 0 : totals.earned_utility / totals.possible_utility,
                       percentile_ms(totals.first, 0.5), percentile_ms(totals.first, 0.99));
  }
  out +=
      fmt::format("\nutility of answers within the latency SLO, late answers in part: {:.3f}\n", utility());
  return out;
}

Verdict check_rules(std::vector<Line> lines, const RuleSettings& book) {
  std::ranges::stable_sort(lines, {}, [](const Line& l) { return at(l); });
  return RuleChecker(lines, book).check();
}

}  // namespace cressrill::rig
