// What a starting instance is told, as lines of path=value, decoded into what the decisions read and what a host
// needs beside them. Free of libraries: both the simulator's adapter and the platform's front feed it.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "deployment.h"

namespace cressrill::profile {

struct ProfileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Profile {
  Deployment deployment;
  std::vector<std::string> types;  // names, by index; blanks and commas in them are _
  std::vector<std::string> tenants;
  std::vector<std::string> kinds;
  std::vector<std::string> zones;
  std::vector<std::string> columns;  // of a load report
  int sequences_column = -1;         // place in a load report; negative where it is not reported
  int memory_column = -1;
  Nanos dial_timeout{};
  Nanos idle_close{};  // a connection idle so long is closed by its worker
  Nanos drain_grace{};
};

// Throws ProfileError, which names the key.
Profile decode_profile(std::string_view text);
Nanos nanos(double ms);
double millis(Nanos ns);

}  // namespace cressrill::profile
