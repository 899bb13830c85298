#include "classify.h"

#include <algorithm>
#include <charconv>

namespace cressrill::core {

namespace {

bool among(const std::vector<std::string>& list, std::string_view what) {
  return list.empty() || std::ranges::find(list, what) != list.end();
}

int type_of(const RouterConfig& station, const ParsedRequest& facts, std::string_view path,
            HeaderFields fields) {
  for (std::size_t i = 0; i < station.type_rules.size(); ++i) {
    const TrafficTypeRule& r = station.type_rules[i];
    if (!among(r.models, facts.model) || !among(r.paths, path)) continue;
    if (!r.header.empty() && find_header(fields, r.header) != r.header_value) continue;
    return static_cast<int>(i);
  }
  return -1;
}

int tenant_of(const RouterConfig& station, HeaderFields fields) {
  const std::string_view bearer = find_header(fields, "authorization").value_or("");
  const std::string_view key = bearer.starts_with("Bearer ") ? bearer.substr(7) : std::string_view{};
  for (std::size_t i = 0; i < station.tenants.size(); ++i) {
    const std::vector<std::string>& keys = station.tenants[i].api_keys;
    if (std::ranges::find(keys, key) != keys.end()) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

std::variant<ClassifiedRequest, RequestError> classify(const RouterConfig& station,
                                                       const TokenEstimator& estimate,
                                                       const ParsedRequest& facts, std::string_view path,
                                                       HeaderFields fields) {
  ClassifiedRequest to;
  to.tenant = tenant_of(station, fields);
  if (to.tenant < 0 && !station.tenants.empty())
    return RequestError{401, "invalid_api_key", "", "The key is none of a known tenant."};
  if (to.tenant < 0) to.tenant = 0;
  to.type = type_of(station, facts, path, fields);
  if (to.type < 0)
    return RequestError{404, "model_not_found", "model",
                        "No traffic type serves model '" + facts.model + "' here."};
  const double bytes = static_cast<double>(std::max<std::size_t>(1, facts.prompt_bytes));
  to.prompt_tokens = facts.prompt_tokens
                         ? static_cast<double>(*facts.prompt_tokens)
                         : estimate.estimate(facts.model, facts.prompt_bytes, facts.message_count);
  to.prefix_tokens = to.prompt_tokens * static_cast<double>(facts.prefix_bytes) / bytes;
  to.max_output_tokens = static_cast<double>(
      facts.max_output_tokens.value_or(static_cast<std::size_t>(station.default_max_output_tokens)));
  const TrafficTypeRule& rule = station.type_rules[static_cast<std::size_t>(to.type)];
  to.time_limit = rule.time_limit + static_cast<Nanos>(to.prompt_tokens / 1000 *
                                                       static_cast<double>(rule.time_limit_per_1000_tokens));
  if (const auto header = find_header(fields, "x-abandon-after-ms")) {
    long long ms = 0;
    const auto [end, error] = std::from_chars(header->data(), header->data() + header->size(), ms);
    if (error != std::errc{} || end != header->data() + header->size() || ms < 1 || ms > 86'400'000)
      return RequestError{400, "invalid_value", "x-abandon-after-ms",
                          "The field must be a number of milliseconds from 1 on."};
    to.time_limit = std::min<Nanos>(to.time_limit, ms * 1'000'000);
  }
  return to;
}

}  // namespace cressrill::core
