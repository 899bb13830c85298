// The script of a day: a fleet, its routers, its traffic, and what goes wrong when. All from one TOML file, whose
// tables for rules, kinds, types and tenants are those of a router's own file.
#pragma once

#include <string>
#include <vector>

#include "core/router_config.h"
#include "fleet_file.h"
#include "verdict.h"

namespace cressrill::rig {

struct RouterPlace {
  std::string name;
  std::string zone;
};

// One sort of traffic: sessions whose prompts grow turn by turn behind a beginning that many share.
struct Traffic {
  std::string type;
  std::string model;
  double share{};
  double turns{};     // mean, a session
  io::Nanos think{};  // mean pause between an answer and the next turn
  int beginnings{};   // shared ones to choose from, by Zipf
  int beginning_words{};
  int turn_words{};     // mean words that a turn adds
  int out_tokens{};     // mean
  bool mark{};          // each sequence carries a mark by which a repeat is known
  double whole{};       // share that asks for a whole answer
  double late_share{};  // worth of an answer after its latency SLO
};

struct Trouble {
  io::Nanos at{};
  io::Nanos span{};
  std::string kind;
  std::vector<std::string> routers;
  std::vector<std::string> engines;  // names; one that ends in '*' is a beginning of names
  double size{};
  std::string to;
};

struct Clients {
  int retries = 1;
  io::Nanos backoff = 200 * io::kMs;
  double honour = 0.8;                 // share that waits as long as the answer asks
  double try_share = 0.9;              // a try is given up after this share of the abandon time
  double leave = 0;                    // share that leaves in mid-stream
  io::Nanos notice = 2 * io::kSecond;  // the front goes on sending to a dead router for so long
};

struct Day {
  std::string name;
  io::Nanos length{};
  std::uint64_t seed{};
  io::Nanos roster_late{};
  double rate{};  // sequences a second
  std::vector<RouterPlace> routers;
  std::vector<EngineMake> engines;
  std::vector<Traffic> traffic;
  std::vector<Trouble> troubles;
  Clients clients;
  core::RouterConfig station;  // what all routers share
  std::string shared;          // the same as TOML text, for their files
  RuleBook book;
};

std::optional<Day> read_day(const std::string& path, core::ConfigErrors& faults);
// The same day with one trouble alone, of the usual size of its kind, in the middle of the day. Throws
// std::invalid_argument for a kind that is not known.
void keep_only(Day& day, const std::string& kind);
std::vector<std::string> trouble_kinds();
// A router's own file.
std::string router_file(const Day& day, const RouterPlace& place, const std::string& listen,
                        const std::string& admin, const std::string& roster, const std::string& last_list);
std::string engines_file(const Day& day);
// The names that a pattern of a trouble means.
bool matches(const std::vector<std::string>& patterns, const std::string& name);

}  // namespace cressrill::rig
