#include "profile.h"

#include <cmath>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>

namespace cressrill::profile {

namespace {

using KeyValues = std::map<std::string, std::string, std::less<>>;

std::vector<std::string> split_list(const std::string& value) {
  std::vector<std::string> out;
  std::size_t start = 0;
  while (!value.empty() && start <= value.size()) {
    const std::size_t comma = std::min(value.find(',', start), value.size());
    out.push_back(value.substr(start, comma - start));
    start = comma + 1;
  }
  return out;
}

// Looks up settings by their key. Throws SettingsError if a number is invalid or a required setting is
// missing.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      const std::string_view line = text.substr(0, end);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos)
        values_.emplace(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }

  std::optional<std::string> find(const std::string& key) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return std::nullopt;
    return it->second;
  }
  std::string required_string(const std::string& key) const {
    if (auto value = find(key)) return *value;
    throw SettingsError("settings: '" + key + "' is missing");
  }
  double number(const std::string& key) const { return parse(key, required_string(key)); }
  double number_or_zero(const std::string& key) const {
    const auto value = find(key);
    return value ? parse(key, *value) : 0;
  }
  bool flag(const std::string& key) const { return find(key) == "true"; }
  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> out;
    if (const auto value = find(key))
      for (const std::string& item : split_list(*value)) out.push_back(parse(key, item));
    return out;
  }

 private:
  static double parse(const std::string& key, const std::string& value) {
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (value.empty() || *end != '\0' || !std::isfinite(number))
      throw SettingsError("settings: '" + key + "' is '" + value + "', not a number");
    return number;
  }
  KeyValues values_;
};

template <class Value>
Value choice(const SettingsReader& reader, const std::string& key,
             const std::map<std::string, Value>& choices) {
  const std::string name = reader.required_string(key);
  const auto it = choices.find(name);
  if (it == choices.end())
    throw SettingsError("settings: '" + key + "' is '" + name + "', which is not known");
  return it->second;
}

double value_or_zero(const std::vector<double>& values, std::size_t i) {
  return i < values.size() ? values[i] : 0;
}

void decode_types(const SettingsReader& reader, PolicySettings& result) {
  const std::vector<double> slo_us_per_1000 = reader.numbers("familyInfo.aimUsPer1000PromptTokens");
  const auto type_count = static_cast<std::size_t>(reader.number("services.count"));
  for (std::size_t i = 0; i < type_count; ++i) {
    const std::string prefix = "services." + std::to_string(i) + ".";
    TrafficType type;
    type.effect = choice<Effect>(
        reader, prefix + "effect",
        {{"retryable", Effect::repeatable}, {"dedup", Effect::tokened}, {"fragile", Effect::once_only}});
    if (type.effect == Effect::tokened)
      type.group = choice<Group>(reader, prefix + "group",
                                 {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    type.window = nanos_from_ms(reader.number_or_zero(prefix + "windowMs"));
    type.slo = nanos_from_ms(reader.number(prefix + "goalTimeMs"));
    type.slo_per_1000_tokens = nanos_from_ms(value_or_zero(slo_us_per_1000, i) / 1000.0);  // from us to ms
    type.utility = reader.number(prefix + "worth");
    result.types.push_back(type);
  }
}

void decode_kinds(const SettingsReader& reader, PolicySettings& result) {
  const std::vector<double> memory_tokens = reader.numbers("familyInfo.memoryTokens");
  const std::vector<std::string> roles = split_list(reader.required_string("familyInfo.dutyByKind"));
  for (std::size_t i = 0; i < roles.size(); ++i) {
    WorkerKind kind;
    if (roles[i] == "read") {
      kind.role = Role::prefill;
    } else if (roles[i] == "write") {
      kind.role = Role::decode;
    } else if (roles[i] == "both") {
      kind.role = Role::mixed;
    } else {
      throw SettingsError("settings: 'familyInfo.dutyByKind' has '" + roles[i] + "', which is not known");
    }
    kind.memory_tokens = value_or_zero(memory_tokens, i);
    result.kinds.push_back(kind);
  }
}

// Finds the columns of a load report that hold the number of requests and the share of memory.
void decode_report(const SettingsReader& reader, DeploymentSettings& result) {
  const std::vector<std::string> columns = split_list(reader.find("stats.columns").value_or(""));
  const bool x0_is_memory = reader.find("familyInfo.reportX0") == "share_of_memory_that_is_held";
  result.report_columns = columns;
  for (std::size_t i = 0; i < columns.size(); ++i) {
    if (columns[i] == "concurrent") result.requests_column = static_cast<int>(i);
    if (columns[i] == "x0" && x0_is_memory) result.memory_column = static_cast<int>(i);
  }
}

}  // namespace

Nanos nanos_from_ms(double ms) { return std::llround(ms * 1e6); }
double ms_from_nanos(Nanos ns) { return static_cast<double>(ns) / 1e6; }

DeploymentSettings decode_settings(std::string_view text) {
  const SettingsReader reader(text);
  DeploymentSettings result;
  PolicySettings& policy = result.settings;
  decode_types(reader, policy);
  for (std::size_t i = 0; i < policy.types.size(); ++i)
    result.type_names.push_back(
        reader.find("services." + std::to_string(i) + ".name").value_or(std::to_string(i)));
  decode_kinds(reader, policy);
  decode_report(reader, result);
  const auto tenant_count = static_cast<std::size_t>(reader.number_or_zero("tenants.count"));
  for (std::size_t i = 0; i < tenant_count; ++i) {
    policy.tenant_rates.push_back(reader.number("tenants." + std::to_string(i) + ".allowancePerS"));
    result.tenant_names.push_back(
        reader.find("tenants." + std::to_string(i) + ".name").value_or(std::to_string(i)));
  }
  result.kind_names = split_list(reader.find("models").value_or(""));
  result.zone_names = split_list(reader.find("azs").value_or(""));
  result.dial_timeout = nanos_from_ms(reader.number_or_zero("caps.dialTimeoutMs"));
  result.worker_idle_timeout = nanos_from_ms(reader.number_or_zero("caps.connIdleMs"));
  result.drain_grace = nanos_from_ms(reader.number_or_zero("obligations.stopSendingWithinMs"));
  policy.routers = static_cast<int>(reader.number("instances"));
  policy.zone = static_cast<int>(reader.number_or_zero("locality"));
  policy.time_granularity = nanos_from_ms(reader.number("granularityMs"));
  policy.max_attempts = static_cast<int>(reader.number("caps.attemptsCap"));
  policy.can_cancel = reader.flag("caps.cancelling");
  policy.allow_parallel_attempts = reader.flag("caps.parallelTries");
  policy.send_retry_after = reader.flag("caps.retryAfter");
  policy.max_retry_after = nanos_from_ms(reader.number_or_zero("caps.maxRetryAfterMs"));
  policy.needs_subscription = reader.find("discovery") == "subscribe";
  policy.subscription_lifetime = nanos_from_ms(reader.number_or_zero("obligations.mustAskInMs"));
  policy.cross_zone_price = reader.number_or_zero("prices.crossZone");
  policy.kv_hold_limit = nanos_from_ms(reader.number("familyInfo.pinLimitMs"));
  policy.cold_start_capacity = reader.number("obligations.coldFrom");
  policy.ramp_time = nanos_from_ms(reader.number("obligations.rampTimeMs"));
  policy.overload_factor = reader.number("obligations.fallMultiple");
  policy.overload_window = nanos_from_ms(reader.number("obligations.fallMs"));
  return result;
}

}  // namespace cressrill::profile
