#include "profile.h"

#include <cmath>
#include <cstdlib>
#include <map>
#include <optional>
#include <string>

namespace cressrill::profile {

namespace {

using Pairs = std::map<std::string, std::string, std::less<>>;

std::vector<std::string> items(const std::string& value) {
  std::vector<std::string> out;
  std::size_t from = 0;
  while (!value.empty() && from <= value.size()) {
    const std::size_t comma = std::min(value.find(',', from), value.size());
    out.push_back(value.substr(from, comma - from));
    from = comma + 1;
  }
  return out;
}

class Reader {
 public:
  explicit Reader(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      const std::string_view line = text.substr(0, end);
      const std::size_t equals = line.find('=');
      if (equals != std::string_view::npos)
        pairs_.emplace(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }

  std::optional<std::string> find(const std::string& key) const {
    const auto it = pairs_.find(key);
    if (it == pairs_.end()) return std::nullopt;
    return it->second;
  }
  std::string word(const std::string& key) const {
    if (auto value = find(key)) return *value;
    throw SettingsError("settings: '" + key + "' is missing");
  }
  double number(const std::string& key) const { return parse(key, word(key)); }
  double number_or_zero(const std::string& key) const {
    const auto value = find(key);
    return value ? parse(key, *value) : 0;
  }
  bool flag(const std::string& key) const { return find(key) == "true"; }
  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> out;
    if (const auto value = find(key))
      for (const std::string& item : items(*value)) out.push_back(parse(key, item));
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
  Pairs pairs_;
};

template <class Value>
Value choice(const Reader& from, const std::string& key, const std::map<std::string, Value>& choices) {
  const std::string word = from.word(key);
  const auto it = choices.find(word);
  if (it == choices.end())
    throw SettingsError("settings: '" + key + "' is '" + word + "', which is not known");
  return it->second;
}

double at(const std::vector<double>& values, std::size_t i) { return i < values.size() ? values[i] : 0; }

void decode_types(const Reader& from, PolicySettings& to) {
  const std::vector<double> per_1000 = from.numbers("familyInfo.aimUsPer1000PromptTokens");
  const auto count = static_cast<std::size_t>(from.number("services.count"));
  for (std::size_t i = 0; i < count; ++i) {
    const std::string base = "services." + std::to_string(i) + ".";
    TrafficType type;
    type.effect = choice<Effect>(
        from, base + "effect",
        {{"retryable", Effect::repeatable}, {"dedup", Effect::tokened}, {"fragile", Effect::once_only}});
    if (type.effect == Effect::tokened)
      type.group = choice<Group>(from, base + "group",
                                 {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
    type.window = nanos(from.number_or_zero(base + "windowMs"));
    type.slo = nanos(from.number(base + "goalTimeMs"));
    type.slo_per_1000_tokens = nanos(at(per_1000, i) / 1000.0);
    type.utility = from.number(base + "worth");
    to.types.push_back(type);
  }
}

void decode_kinds(const Reader& from, PolicySettings& to) {
  const std::vector<double> memory = from.numbers("familyInfo.memoryTokens");
  const std::vector<std::string> roles = items(from.word("familyInfo.dutyByKind"));
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
    kind.memory_tokens = at(memory, i);
    to.kinds.push_back(kind);
  }
}

void decode_report(const Reader& from, DeploymentSettings& to) {
  const std::vector<std::string> columns = items(from.find("stats.columns").value_or(""));
  const bool x0_is_memory = from.find("familyInfo.reportX0") == "share_of_memory_that_is_held";
  to.report_columns = columns;
  for (std::size_t i = 0; i < columns.size(); ++i) {
    if (columns[i] == "concurrent") to.requests_column = static_cast<int>(i);
    if (columns[i] == "x0" && x0_is_memory) to.memory_column = static_cast<int>(i);
  }
}

}  // namespace

Nanos nanos(double ms) { return std::llround(ms * 1e6); }
double millis(Nanos ns) { return static_cast<double>(ns) / 1e6; }

DeploymentSettings decode_settings(std::string_view text) {
  const Reader from(text);
  DeploymentSettings to;
  PolicySettings& d = to.settings;
  decode_types(from, d);
  for (std::size_t i = 0; i < d.types.size(); ++i)
    to.type_names.push_back(from.find("services." + std::to_string(i) + ".name").value_or(std::to_string(i)));
  decode_kinds(from, d);
  decode_report(from, to);
  const auto tenants = static_cast<std::size_t>(from.number_or_zero("tenants.count"));
  for (std::size_t i = 0; i < tenants; ++i) {
    d.tenant_rates.push_back(from.number("tenants." + std::to_string(i) + ".allowancePerS"));
    to.tenant_names.push_back(
        from.find("tenants." + std::to_string(i) + ".name").value_or(std::to_string(i)));
  }
  to.kind_names = items(from.find("models").value_or(""));
  to.zone_names = items(from.find("azs").value_or(""));
  to.dial_timeout = nanos(from.number_or_zero("caps.dialTimeoutMs"));
  to.worker_idle_timeout = nanos(from.number_or_zero("caps.connIdleMs"));
  to.drain_grace = nanos(from.number_or_zero("obligations.stopSendingWithinMs"));
  d.routers = static_cast<int>(from.number("instances"));
  d.zone = static_cast<int>(from.number_or_zero("locality"));
  d.tick = nanos(from.number("granularityMs"));
  d.max_attempts = static_cast<int>(from.number("caps.attemptsCap"));
  d.can_cancel = from.flag("caps.cancelling");
  d.allow_parallel_attempts = from.flag("caps.parallelTries");
  d.send_retry_after = from.flag("caps.retryAfter");
  d.max_retry_after = nanos(from.number_or_zero("caps.maxRetryAfterMs"));
  d.needs_subscription = from.find("discovery") == "subscribe";
  d.subscription_lifetime = nanos(from.number_or_zero("obligations.mustAskInMs"));
  d.cross_zone_price = from.number_or_zero("prices.crossZone");
  d.kv_hold_limit = nanos(from.number("familyInfo.pinLimitMs"));
  d.cold_start_capacity = from.number("obligations.coldFrom");
  d.ramp_time = nanos(from.number("obligations.rampTimeMs"));
  d.overload_factor = from.number("obligations.fallMultiple");
  d.overload_window = nanos(from.number("obligations.fallMs"));
  return to;
}

}  // namespace cressrill::profile
