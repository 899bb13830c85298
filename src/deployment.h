// The settings of a routing policy, which its host fills in once, at start.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill {

struct TrafficType {
  Effect effect{};
  Group group{};
  Nanos window{};               // how long a repeat of a tokened request is recognised
  Nanos slo{};                  // latency SLO for an empty prompt
  Nanos slo_per_1000_tokens{};  // added for each thousand prompt tokens
  double utility{};
};

struct WorkerKind {
  Role role{};
  double memory_tokens{};  // capacity for KV cache; 0: not configured
};

struct PolicySettings {
  std::vector<TrafficType> types;
  std::vector<double> tenant_rates;  // requests per second within a tenant's share, over all routers
  std::vector<WorkerKind> kinds;
  int routers{};             // number of routers that share the workers
  int zone{};                // this router's
  Nanos time_granularity{};  // of the host
  int max_attempts{};
  bool can_cancel{};
  bool allow_parallel_attempts{};
  bool send_retry_after{};
  Nanos max_retry_after{};
  bool needs_subscription{};  // the worker list is sent only to subscribers
  Nanos subscription_lifetime{};
  double cross_zone_price{};  // cost of crossing zones: a share of the utility, counted as seconds of waiting
  Nanos kv_hold_limit{};
  double cold_start_capacity{};  // share of the capacity that a worker has when it starts
  Nanos ramp_time{};             // until a started worker has its full capacity
  double overload_factor{};  // multiple of its capacity that a cold worker withstands over overload_window
  Nanos overload_window{};
};

}  // namespace cressrill
