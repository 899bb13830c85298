// The settings text of a starting instance, decoded into what the decisions read, and how to read its
// reports.
#pragma once

#include <string_view>

#include "deployment.h"

namespace cressrill::simhost {

struct Profile {
  Deployment deployment;
  int sequences_column = -1;  // place in a load report; negative where it is not reported
  int memory_column = -1;
};

Profile decode_profile(std::string_view text);
Nanos nanos(double ms);
double millis(Nanos ns);

}  // namespace cressrill::simhost
