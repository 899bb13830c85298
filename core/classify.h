// What a request is to the deployment: whose, of which traffic type, how long it may take. Free of I/O.
#pragma once

#include <variant>

#include "parsed_request.h"
#include "router_config.h"
#include "tokens.h"

namespace cressrill::core {

struct Judged {
  int type{};
  int tenant{};        // past the last one: none is declared, all traffic is in its share
  double prompt{};     // tokens
  double beginning{};  // tokens
  double max_out{};    // tokens
  Nanos abandon_in{};
};

// path without its query; fields of the request. Header 'x-abandon-after-ms' shortens the abandon time.
std::variant<Judged, Refused> judge(const Station& station, const TokenEstimate& estimate, const Facts& facts,
                                    std::string_view path, Fields fields);

}  // namespace cressrill::core
