// Determines the tenant, the traffic type, the token counts and the time limit of a request. Does no I/O.
#pragma once

#include <variant>

#include "parsed_request.h"
#include "router_config.h"
#include "tokens.h"

namespace cressrill::core {

struct ClassifiedRequest {
  int type{};
  // Index into RouterConfig::tenants; 0 if none are configured, and then every request is within the share.
  int tenant{};
  double prompt_tokens{};
  double prefix_tokens{};  // of the prefix that the prompt may share with others
  double max_output_tokens{};
  Nanos time_limit{};  // from the arrival of the request on
};

// Returns an error response if the API key is unknown, no traffic type matches or 'x-abandon-after-ms' is
// invalid. That header can shorten the time limit of the traffic type, not extend it. path: without query.
std::variant<ClassifiedRequest, RequestError> classify(const RouterConfig& config,
                                                       const TokenEstimator& estimator,
                                                       const ParsedRequest& request, std::string_view path,
                                                       HeaderFields fields);

}  // namespace cressrill::core
