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

// A setting is missing or invalid.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The decoded settings of a deployment: those of the policy, and what its host needs.
struct DeploymentSettings {
  PolicySettings settings;
  std::vector<std::string> type_names;  // by index; they arrive with spaces and commas replaced by _
  std::vector<std::string> tenant_names;
  std::vector<std::string> kind_names;
  std::vector<std::string> zone_names;
  std::vector<std::string> report_columns;  // the columns of a load report
  int requests_column = -1;                 // index in report_columns; negative: not reported
  int memory_column = -1;                   // likewise
  Nanos dial_timeout{};                     // for connecting to a worker
  Nanos worker_idle_timeout{};              // after which a worker closes an idle connection
  Nanos drain_grace{};                      // how long a draining worker may still be sent requests
};

// Throws SettingsError, whose text names the key.
DeploymentSettings decode_settings(std::string_view text);
// Milliseconds to nanoseconds.
Nanos nanos_from_ms(double ms);
// Nanoseconds to milliseconds.
double ms_from_nanos(Nanos ns);

}  // namespace cressrill::profile
