// Determines the tenant, the traffic type, the token counts and the time limit of a request. Does no I/O.
#pragma once

#include <variant>

#include "parsed_request.h"
#include "router_config.h"
#include "tokens.h"

namespace cressrill::core {

struct ClassifiedRequest {
  int type{};
  // Index into RouterConfig::tenants. If none are configured it is 0, and all traffic is within the share.
  int tenant{};
  double prompt_tokens{};
  double prefix_tokens{};  // of the prefix that the prompt shares with others
  double max_output_tokens{};
  Nanos time_limit{};  // from the arrival of the request on
};

// Returns the error to answer with if the API key is unknown, no traffic type matches or 'x-abandon-after-ms'
// is invalid. path: without the query. The header 'x-abandon-after-ms' can shorten the time limit of the
// traffic type, not extend it.
std::variant<ClassifiedRequest, RequestError> classify(const RouterConfig& config,
                                                       const TokenEstimator& estimator,
                                                       const ParsedRequest& request, std::string_view path,
                                                       HeaderFields fields);

}  // namespace cressrill::core
