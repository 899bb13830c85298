// What a request is to the deployment: whose, of which traffic type, how long it may take. Free of I/O.
#pragma once

#include <variant>

#include "parsed_request.h"
#include "router_config.h"
#include "tokens.h"

namespace cressrill::core {

struct ClassifiedRequest {
  int type{};
  int tenant{};                // past the last one: none is declared, all traffic is in its share
  double prompt_tokens{};      // tokens
  double prefix_tokens{};      // tokens
  double max_output_tokens{};  // tokens
  Nanos time_limit{};
};

// path without its query; fields of the request. Header 'x-abandon-after-ms' shortens the abandon time.
std::variant<ClassifiedRequest, RequestError> classify(const RouterConfig& station,
                                                       const TokenEstimator& estimate,
                                                       const ParsedRequest& facts, std::string_view path,
                                                       HeaderFields fields);

}  // namespace cressrill::core
