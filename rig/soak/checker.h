// Checks the records of a soak's clients, workers and conductor against the routing rules, without relying on
// what the routers report about themselves. All timestamps are of the machine's monotonic clock, which the
// processes share.
#pragma once

#include <string>
#include <vector>

#include "rig/record.h"

namespace cressrill::rig::soak {

struct CheckerLimits {
  io::Nanos drain_grace = 500 * io::kMs;     // how long a draining worker may still get requests
  io::Nanos kv_hold_limit = 1000 * io::kMs;  // how long KV cache may be held with no attempt at a worker
  io::Nanos repeat_window = 1500 * io::kMs;  // how long after its first decode an "order" may be repeated
};

struct CheckResult {
  std::vector<std::string> breaches;  // one line each
  std::size_t requests{};             // without those that a router closed unread
  std::size_t served{};               // status 200
  std::size_t refused{};              // status 429 or 503
  std::size_t failed{};               // any other status
  std::size_t left{};                 // the client left before the response
  std::size_t excused{};              // without a response, because the router was killed
};

// Checks records that are given in any order. Throws nlohmann::json::exception if one lacks a required field.
CheckResult check(std::vector<Recorder::Line> lines, const CheckerLimits& limits);

}  // namespace cressrill::rig::soak
