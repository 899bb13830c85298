// A scenario: a fleet, its routers, its traffic, and the faults that are injected at fixed times. It is read
// from one TOML file; its tables for rules, bounds, kinds, traffic types and tenants are those of a router's
// configuration file.
#pragma once

#include <string>
#include <vector>

#include "core/router_config.h"
#include "fleet_file.h"
#include "verdict.h"

namespace cressrill::rig {

// A router of the scenario: a [[router]] table.
struct RouterEntry {
  std::string name;
  std::string zone;
};

// Traffic of one type, a [[traffic]] table: sessions whose prompts grow turn by turn after a prefix that many
// sessions share.
struct Traffic {
  std::string type;
  std::string model;
  double share{};               // weight among all traffic of the scenario
  double mean_turns{};          // of a session
  io::Nanos mean_think_time{};  // between a response and the next turn
  int prefixes{};               // number of shared prefixes; the choice among them follows Zipf's law
  int prefix_words{};
  int mean_turn_words{};  // words that a turn adds
  int mean_output_tokens{};
  bool idempotency_key{};   // each request carries an idempotency key
  double complete_share{};  // share of requests that do not ask for a stream
  double late_share{};      // share of the utility that a response after its latency SLO still earns
};

// A fault that is injected at a fixed time of a scenario: a [[trouble]] table.
struct ScheduledFault {
  io::Nanos start{};
  io::Nanos duration{};
  std::string kind;
  std::vector<std::string> routers;  // names; a trailing '*' matches every name with that prefix
  std::vector<std::string> engines;  // likewise
  double size{};                     // its meaning depends on the kind
  std::string target;                // throttle: the tenant or traffic type concerned; empty: all
};

// How clients behave: the [clients] table.
struct ClientSettings {
  int retries = 1;                    // of one request
  io::Nanos backoff = 200 * io::kMs;  // before a retry that does not wait as long as the response asks
  double honour_share = 0.8;          // share of retries that wait as long as the response asks
  double timeout_share = 0.9;         // a client's own time limit, as a share of the traffic type's
  double leave_share = 0;             // share of requests whose client disconnects during the stream
  // How long the load balancer keeps sending to a stopped router.
  io::Nanos failover_delay = 2 * io::kSecond;
};

struct Scenario {
  std::string name;
  io::Nanos length{};
  std::uint64_t seed{};
  io::Nanos discovery_delay{};  // between a change of the fleet and its publication
  double requests_per_s{};      // without retries
  std::vector<RouterEntry> routers;
  std::vector<EngineConfig> engines;
  std::vector<Traffic> traffic;
  std::vector<ScheduledFault> faults;
  ClientSettings clients;
  core::RouterConfig config;  // the settings that all routers share
  std::string shared_toml;    // the tables that all routers share, as text for their configuration files
  RuleSettings rule_settings;
};

// Returns nothing and appends to the errors if the file cannot be read or is invalid.
std::optional<Scenario> read_scenario(const std::string& path, core::ConfigErrors& errors);
// Replaces all faults of a scenario by one of this kind, of the kind's default size, after a third of the
// scenario. Throws std::invalid_argument if the kind is unknown.
void keep_only_fault(Scenario& scenario, const std::string& kind);
// The names of all kinds of faults.
std::vector<std::string> fault_kinds();
// The text of a router's configuration file.
std::string router_file(const Scenario& scenario, const RouterEntry& router,
                        const std::string& listen_address, const std::string& admin_address,
                        const std::string& discovery_address, const std::string& last_list_path);
// The text of the file with all engines of the scenario.
std::string engines_file(const Scenario& scenario);
// Whether a name matches one of the patterns. A pattern that ends in '*' matches every name with that prefix.
bool matches(const std::vector<std::string>& patterns, const std::string& name);

}  // namespace cressrill::rig
