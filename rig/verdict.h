// Checks the five rules on the records of clients, engines and the discovery stand-in alone. It uses neither
// sockets nor a clock.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "deployment.h"
#include "record.h"

namespace cressrill::rig {

// The limits that the rules are checked with.
struct RuleSettings {
  Nanos answer_slack = 8'000'000;  // how late a client may see a response that was sent in time
  Nanos drain_grace{};  // how long requests may still arrive after their router was notified of a drain
  Nanos pin_limit{};    // how long KV cache may be held while no decode attempt uses it
  Nanos pin_slack = 8'000'000;  // tolerance of pin_limit
  struct Type {
    Effect effect{};
    Group group{};
    Nanos window{};          // Effect::tokened: a repeat may be sent this long after the first attempt
    double utility{1};       // what a response within its latency SLO is worth
    double late_share{0.2};  // share of the utility that a response after its latency SLO still earns
  };
  std::map<std::string, Type> types;  // by name
};

// The result of one rule.
struct RuleResult {
  int rule{};
  std::string name;
  std::size_t checked{};  // events that the rule applied to
  std::size_t violations{};
  std::string first_violation;  // the first violation in full
};

// Totals of one traffic type.
struct TypeTotals {
  std::map<std::string, std::size_t> outcomes;  // requests by their final outcome
  std::size_t requests{};
  std::size_t in_slo{};
  double earned_utility{};                  // of the responses
  double possible_utility{};                // if every request were answered within its SLO
  std::vector<Nanos> times_to_first_token;  // sorted
};

// The results of all rules and the totals of all traffic types.
struct Verdict {
  std::vector<RuleResult> rules;
  std::map<std::string, TypeTotals> types;  // by name
  bool passed() const;
  double utility() const;      // earned share of the possible utility of all types
  std::string report() const;  // a report for people, with two tables
};

// Takes the records in any order: they are sorted by their timestamps.
Verdict check_rules(std::vector<Recorder::Line> lines, const RuleSettings& settings);

}  // namespace cressrill::rig
