// What one router is told when it starts, from its TOML file: its place, its peers, its bounds, how requests are
// told apart, and the deployment for the decisions. Each key stands in docs/operators/router.md.
#pragma once

#include <string>
#include <vector>

#include "checked_toml.h"
#include "deployment.h"
#include "worker_list.h"

namespace cressrill::core {

// A request is of the first traffic type whose conditions all hold; an empty condition always holds.
struct TrafficTypeRule {
  std::string name;
  std::vector<std::string> models;
  std::vector<std::string> paths;
  std::string header;  // this field has this value
  std::string header_value;
  Nanos time_limit{};                  // for an empty prompt
  Nanos time_limit_per_1000_tokens{};  // added for each thousand prompt tokens
};

struct Tenant {
  std::string name;
  std::vector<std::string> api_keys;  // the bearer keys that are its own
};

struct RouterConfig {
  std::string name;
  std::string listen_address;
  std::string admin_address;      // empty: none
  std::string discovery_address;  // address of the worker list
  std::string last_list_path;     // file in which the last list is kept; empty: none
  std::string log_level;
  std::size_t max_body_bytes{};
  std::size_t max_head_bytes{};
  std::size_t max_connections{};
  int default_max_output_tokens{};  // tokens, where a request names none
  Nanos dial_timeout{};
  Nanos idle_timeout{};                      // engine connections are kept so long
  Nanos min_idle_before_reuse{};             // and not used again before
  std::size_t max_connections_per_engine{};  // to one engine
  std::size_t max_engine_connections{};      // to all of them; 0: no bound
  Nanos stall_timeout{};                     // a stream that stands still so long has broken
  Nanos drain_grace{};
  Nanos shutdown_timeout{};  // for what is in hand at SIGTERM
  std::vector<std::string> zones;
  std::vector<std::string> kind_names;
  ConfigErrors unused_kind_errors;          // a fault for each kind, for a list in which no worker is of it
  std::vector<TrafficTypeRule> type_rules;  // beside deployment.types
  std::vector<Tenant> tenants;              // beside deployment.tenant_rates
  PolicySettings settings;
};

// Nothing where any fault was found.
std::optional<RouterConfig> read_router_config(const std::string& path, ConfigErrors& faults);

// What does not fit between the file and a list of workers: a kind that no worker has, a worker of a kind or zone
// that the file does not name. For --check: in service a kind may have no worker for a while.
ConfigErrors check_worker_list(const RouterConfig& station, const WorkerList& list,
                               const std::string& list_path);

}  // namespace cressrill::core
