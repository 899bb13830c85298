// What a router is told of its deployment when it starts. Filled once, by whoever hosts the decisions.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct TrafficType {
  Effect effect{};
  Group group{};
  Nanos window{};        // how long a tokened repeat is recognised
  Nanos slo{};           // latency SLO for an empty prompt
  Nanos slo_per_1000{};  // added to it for each thousand prompt tokens
  double utility{};
};

struct WorkerKind {
  Role role{};
  double memory_tokens{};  // 0 where it is not told
};

struct Deployment {
  std::vector<TrafficType> types;
  std::vector<double> tenant_rates;  // sequences a second within a tenant's share, all routers together
  std::vector<WorkerKind> kinds;
  int routers{};
  int zone{};
  Nanos tick{};
  int attempts_cap{};
  bool cancelling{};
  bool second_copies{};
  bool retry_after{};
  Nanos max_retry_after{};
  bool asks_for_list{};  // the list comes only to those that subscribe
  Nanos must_ask_in{};
  double cross_zone_price{};
  Nanos pin_limit{};
  double cold_from{};
  Nanos ramp_time{};
  double fall_multiple{};
  Nanos fall_span{};
};

}  // namespace cressrill
