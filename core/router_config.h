// The configuration that a router reads from its TOML file: its addresses and limits, how requests are
// classified, and the settings of the policy. docs/operators/router.md describes each key.
#pragma once

#include <string>
#include <vector>

#include "checked_toml.h"
#include "deployment.h"
#include "worker_list.h"

namespace cressrill::core {

// A request belongs to the first traffic type whose conditions it meets; an empty condition is always met.
struct TrafficTypeRule {
  std::string name;
  std::vector<std::string> models;
  std::vector<std::string> paths;
  std::string header;                  // name in lower case
  std::string header_value;            // the value that the header must have
  Nanos time_limit{};                  // of a request with an empty prompt
  Nanos time_limit_per_1000_tokens{};  // added to it per 1000 prompt tokens
};

struct Tenant {
  std::string name;
  std::vector<std::string> api_keys;  // accepted as bearer tokens in 'authorization'
};

// All durations in nanoseconds.
struct RouterConfig {
  std::string name;
  std::string listen_address;
  std::string admin_address;      // empty: none
  std::string discovery_address;  // where the worker list is fetched from
  std::string last_list_path;     // file that keeps the last worker list across restarts; empty: none
  std::string log_level;
  std::size_t max_body_bytes{};
  std::size_t max_head_bytes{};
  std::size_t max_connections{};
  int default_max_output_tokens{};           // assumed if a request sets no limit
  Nanos dial_timeout{};                      // for connecting to an engine
  Nanos idle_timeout{};                      // after which an idle engine connection is closed
  Nanos min_idle_before_reuse{};             // idle time before an engine connection may be used again
  std::size_t max_connections_per_engine{};  // to each engine
  std::size_t max_engine_connections{};      // to all engines together; 0: unlimited
  Nanos stall_timeout{};                     // after which a stream without progress counts as broken
  Nanos write_stall_timeout{};               // after which a client that accepts no byte is disconnected
  std::size_t max_response_bytes = 8 * 1024 * 1024;  // of an engine's response that is no stream
  std::size_t max_chunk_bytes = 8 * 1024 * 1024;     // of one chunk of an engine's response
  std::size_t memory_bytes{};                        // of the process; 0: no limit
  Nanos drain_grace{};                               // how long a draining worker may still be sent requests
  Nanos shutdown_timeout{};                          // for requests in progress at SIGTERM
  std::vector<std::string> zones;
  std::vector<std::string> kind_names;
  ConfigErrors unused_kind_errors;          // one per kind, reported if a list has no worker of that kind
  std::vector<TrafficTypeRule> type_rules;  // same indices as settings.types
  std::vector<Tenant> tenants;              // same indices as settings.tenant_rates
  PolicySettings settings;
};

// Returns nothing if the file has any error; all of them are added to errors.
std::optional<RouterConfig> read_router_config(const std::string& path, ConfigErrors& errors);

// Reports where the configuration and a worker list disagree: kinds without workers, and workers of a kind or
// in a zone that the configuration does not name. Used by --check only, because in operation a kind may have
// no worker for a while.
ConfigErrors check_worker_list(const RouterConfig& config, const WorkerList& list,
                               const std::string& list_path);

}  // namespace cressrill::core
