// What a router is told of its deployment when it starts. Filled once, by whoever hosts the decisions.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct TrafficType {
  Effect effect{};
  Group group{};
  Nanos window{};               // how long a tokened repeat is recognised
  Nanos slo{};                  // latency SLO for an empty prompt
  Nanos slo_per_1000_tokens{};  // added to it for each thousand prompt tokens
  double utility{};
};

struct WorkerKind {
  Role role{};
  double memory_tokens{};  // 0 where it is not told
};

struct PolicySettings {
  std::vector<TrafficType> types;
  std::vector<double> tenant_rates;  // sequences a second within a tenant's share, all routers together
  std::vector<WorkerKind> kinds;
  int routers{};
  int zone{};
  Nanos tick{};
  int max_attempts{};
  bool can_cancel{};
  bool allow_parallel_attempts{};
  bool send_retry_after{};
  Nanos max_retry_after{};
  bool needs_subscription{};  // the list comes only to those that subscribe
  Nanos subscription_lifetime{};
  double cross_zone_price{};
  Nanos kv_hold_limit{};
  double cold_start_capacity{};
  Nanos ramp_time{};
  double overload_factor{};
  Nanos overload_window{};
};

}  // namespace cressrill
