// Settings of the platform for a router among stand-ins, as its configuration file holds them.
#pragma once

#include <nlohmann/json.hpp>

namespace cressrill::rig {

inline nlohmann::json stand_in_settings() {
  return nlohmann::json::parse(R"({"azs":["east","west"],"models":["prefill","decode"],"locality":0,
    "granularityMs":2.0,"discovery":"automatic",
    "caps":{"attemptsCap":6,"cancelling":true,"parallelTries":true,"retryAfter":true,"maxRetryAfterMs":400.0,
            "connIdleMs":8000.0,"dialTimeoutMs":250.0},
    "familyInfo":{"dutyByKind":["read","write"],"memoryTokens":[100000,100000],"pinLimitMs":1000.0,
                  "aimUsPer1000PromptTokens":[40000.0,40000.0,40000.0],"reportX0":"share of memory that is held"},
    "obligations":{"coldFrom":0.25,"rampTimeMs":4000.0,"fallMultiple":4.0,"fallMs":3000.0,
                   "stopSendingWithinMs":500.0},
    "services":[{"effect":"retryable","group":"all","goalTimeMs":1500.0,"worth":1.0,"name":"chat"},
                {"effect":"dedup","group":"all","windowMs":1500.0,"goalTimeMs":1500.0,"worth":1.0,"name":"order"},
                {"effect":"fragile","group":"all","goalTimeMs":1500.0,"worth":1.0,"name":"pay"}],
    "stats":{"columns":["concurrent","x0"],"via":"inline"},
    "tenants":[{"allowancePerS":1000.0,"name":"acme"}]})");
}

}  // namespace cressrill::rig
