#include "classify.h"

#include <algorithm>
#include <charconv>

namespace cressrill::core {

namespace {

// Whether the list of values that a rule accepts contains the value; an empty list accepts all.
bool empty_or_contains(const std::vector<std::string>& list, std::string_view value) {
  return list.empty() || std::ranges::find(list, value) != list.end();
}

// Returns the index of the first rule that matches, or -1.
int find_type(const RouterConfig& config, const ParsedRequest& request, std::string_view path,
              HeaderFields fields) {
  for (std::size_t i = 0; i < config.type_rules.size(); ++i) {
    const TrafficTypeRule& rule = config.type_rules[i];
    if (!empty_or_contains(rule.models, request.model) || !empty_or_contains(rule.paths, path)) continue;
    if (!rule.header.empty() && find_header(fields, rule.header) != rule.header_value) continue;
    return static_cast<int>(i);
  }
  return -1;
}

// Returns the index of the tenant whose API key the request carries, or -1.
int find_tenant(const RouterConfig& config, HeaderFields fields) {
  const std::string_view bearer = find_header(fields, "authorization").value_or("");
  const std::string_view key = bearer.starts_with("Bearer ") ? bearer.substr(7) : std::string_view{};
  for (std::size_t i = 0; i < config.tenants.size(); ++i) {
    const std::vector<std::string>& keys = config.tenants[i].api_keys;
    if (std::ranges::find(keys, key) != keys.end()) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

std::variant<ClassifiedRequest, RequestError> classify(const RouterConfig& config,
                                                       const TokenEstimator& estimator,
                                                       const ParsedRequest& request, std::string_view path,
                                                       HeaderFields fields) {
  ClassifiedRequest result;
  result.tenant = find_tenant(config, fields);
  if (result.tenant < 0 && !config.tenants.empty())
    return RequestError{401, "invalid_api_key", "", "The key is none of a known tenant."};
  if (result.tenant < 0) result.tenant = 0;
  result.type = find_type(config, request, path, fields);
  if (result.type < 0)
    return RequestError{404, "model_not_found", "model",
                        "No traffic type serves model '" + request.model + "' here."};
  const double bytes = static_cast<double>(std::max<std::size_t>(1, request.prompt_bytes));
  result.prompt_tokens = request.prompt_tokens
                             ? static_cast<double>(*request.prompt_tokens)
                             : estimator.estimate(request.model, request.prompt_bytes, request.message_count);
  result.prefix_tokens = result.prompt_tokens * static_cast<double>(request.prefix_bytes) / bytes;
  result.max_output_tokens = static_cast<double>(
      request.max_output_tokens.value_or(static_cast<std::size_t>(config.default_max_output_tokens)));
  const TrafficTypeRule& rule = config.type_rules[static_cast<std::size_t>(result.type)];
  result.time_limit =
      rule.time_limit +
      static_cast<Nanos>(result.prompt_tokens / 1000 * static_cast<double>(rule.time_limit_per_1000_tokens));
  if (const auto header = find_header(fields, "x-abandon-after-ms")) {
    long long limit_ms = 0;
    const auto [end, error] = std::from_chars(header->data(), header->data() + header->size(), limit_ms);
    if (error != std::errc{} || end != header->data() + header->size() || limit_ms < 1 ||
        limit_ms > 86'400'000)  // a day
      return RequestError{400, "invalid_value", "x-abandon-after-ms",
                          "The field must be a number of milliseconds from 1 on."};
    result.time_limit = std::min<Nanos>(result.time_limit, limit_ms * 1'000'000);
  }
  return result;
}

}  // namespace cressrill::core
