#include "classify.h"

#include <algorithm>
#include <charconv>

namespace cressrill::core {

namespace {

bool among(const std::vector<std::string>& list, std::string_view what) {
  return list.empty() || std::ranges::find(list, what) != list.end();
}

int type_of(const Station& station, const Facts& facts, std::string_view path, Fields fields) {
  for (std::size_t i = 0; i < station.types.size(); ++i) {
    const TypeRule& r = station.types[i];
    if (!among(r.models, facts.model) || !among(r.paths, path)) continue;
    if (!r.header.empty() && field(fields, r.header) != r.header_value) continue;
    return static_cast<int>(i);
  }
  return -1;
}

int tenant_of(const Station& station, Fields fields) {
  const std::string_view bearer = field(fields, "authorization").value_or("");
  const std::string_view key = bearer.starts_with("Bearer ") ? bearer.substr(7) : std::string_view{};
  for (std::size_t i = 0; i < station.tenants.size(); ++i) {
    const std::vector<std::string>& keys = station.tenants[i].keys;
    if (std::ranges::find(keys, key) != keys.end()) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace

std::variant<Judged, Refused> judge(const Station& station, const TokenEstimate& estimate, const Facts& facts,
                                    std::string_view path, Fields fields) {
  Judged to;
  to.tenant = tenant_of(station, fields);
  if (to.tenant < 0 && !station.tenants.empty())
    return Refused{401, "invalid_api_key", "", "The key is none of a known tenant."};
  if (to.tenant < 0) to.tenant = 0;
  to.type = type_of(station, facts, path, fields);
  if (to.type < 0)
    return Refused{404, "model_not_found", "model",
                   "No traffic type serves model '" + facts.model + "' here."};
  const double bytes = static_cast<double>(std::max<std::size_t>(1, facts.prompt_bytes));
  to.prompt = facts.prompt_tokens ? static_cast<double>(*facts.prompt_tokens)
                                  : estimate.tokens(facts.model, facts.prompt_bytes, facts.messages);
  to.beginning = to.prompt * static_cast<double>(facts.beginning_bytes) / bytes;
  to.max_out = static_cast<double>(facts.max_out.value_or(static_cast<std::size_t>(station.default_max_out)));
  const TypeRule& rule = station.types[static_cast<std::size_t>(to.type)];
  to.abandon_in =
      rule.abandon + static_cast<Nanos>(to.prompt / 1000 * static_cast<double>(rule.abandon_per_1000));
  if (const auto header = field(fields, "x-abandon-after-ms")) {
    long long ms = 0;
    const auto [end, error] = std::from_chars(header->data(), header->data() + header->size(), ms);
    if (error != std::errc{} || end != header->data() + header->size() || ms < 1 || ms > 86'400'000)
      return Refused{400, "invalid_value", "x-abandon-after-ms",
                     "The field must be a number of milliseconds from 1 on."};
    to.abandon_in = std::min<Nanos>(to.abandon_in, ms * 1'000'000);
  }
  return to;
}

}  // namespace cressrill::core
