// What a starting instance is told, as lines of path=value, decoded into what the decisions read and what a host
// needs beside them. Free of libraries: both the simulator's adapter and the platform's front feed it.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "deployment.h"

namespace cressrill::profile {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct DeploymentSettings {
  PolicySettings settings;
  std::vector<std::string> type_names;  // names, by index; blanks and commas in them are _
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;
  std::vector<std::string> report_columns;  // of a load report
  int requests_column = -1;                 // place in a load report; negative where it is not reported
  int memory_column = -1;
  Nanos dial_timeout{};
  Nanos worker_idle_timeout{};  // a connection idle so long is closed by its worker
  Nanos drain_grace{};
};

// Throws SettingsError, which names the key.
DeploymentSettings decode_settings(std::string_view text);
Nanos nanos(double ms);
double millis(Nanos ns);

}  // namespace cressrill::profile
