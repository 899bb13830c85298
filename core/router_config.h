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
struct TypeRule {
  std::string name;
  std::vector<std::string> models;
  std::vector<std::string> paths;
  std::string header;  // this field has this value
  std::string header_value;
  Nanos abandon{};           // for an empty prompt
  Nanos abandon_per_1000{};  // added for each thousand prompt tokens
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;  // the bearer keys that are its own
};

struct Station {
  std::string name;
  std::string listen;
  std::string admin;      // empty: none
  std::string roster;     // address of the worker list
  std::string last_list;  // file in which the last list is kept; empty: none
  std::string log_level;
  std::size_t body_bytes{};
  std::size_t head_bytes{};
  std::size_t connections{};
  int default_max_out{};  // tokens, where a request names none
  Nanos dial_timeout{};
  Nanos idle_for{};                      // engine connections are kept so long
  Nanos rest_for{};                      // and not used again before
  std::size_t engine_connections{};      // to one engine
  std::size_t all_engine_connections{};  // to all of them; 0: no bound
  Nanos stall{};                         // a stream that stands still so long has broken
  Nanos drain_grace{};
  Nanos stop_within{};  // for what is in hand at SIGTERM
  std::vector<std::string> zones;
  std::vector<std::string> kind_names;
  FileFaults kinds_unheld;      // a fault for each kind, for a list in which no worker is of it
  std::vector<TypeRule> types;  // beside deployment.types
  std::vector<Tenant> tenants;  // beside deployment.tenant_rates
  Deployment deployment;
};

// Nothing where any fault was found.
std::optional<Station> read_station(const std::string& path, FileFaults& faults);

// What does not fit between the file and a list of workers: a kind that no worker has, a worker of a kind or zone
// that the file does not name. For --check: in service a kind may have no worker for a while.
FileFaults compare_with_list(const Station& station, const WorkerList& list, const std::string& list_path);

}  // namespace cressrill::core
