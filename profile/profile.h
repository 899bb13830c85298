// Decodes the settings that a router instance gets at start, lines of path=value, into the settings of the
// policy and those of its host. Used by both the simulator adapter and the platform front end, so it depends
// on no other library.
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
  std::vector<std::string> type_names;  // by index; they arrive with spaces and commas replaced by _
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;
  std::vector<std::string> report_columns;  // the columns of a load report
  int requests_column = -1;                 // index in report_columns; negative: not reported
  int memory_column = -1;                   // likewise
  Nanos dial_timeout{};
  Nanos worker_idle_timeout{};  // after which a worker closes an idle connection
  Nanos drain_grace{};
};

// Throws SettingsError, whose text names the key.
DeploymentSettings decode_settings(std::string_view text);
// Converts from and to milliseconds.
Nanos nanos(double ms);
double millis(Nanos ns);

}  // namespace cressrill::profile
