#include "router_config.h"

#include <algorithm>
#include <cstdio>

namespace cressrill::core {

namespace {

constexpr double kHourMs = 3'600'000;  // upper bound of most durations

// Checks the form "127.0.0.1:8080" only: this module is built without the socket code.
void check_address(TomlTable& table, const char* key, const std::string& text) {
  unsigned octet[4]{};
  unsigned port = 0;
  char trailing = 0;
  const int matched = std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &octet[0], &octet[1], &octet[2],
                                  &octet[3], &port, &trailing);
  const bool octets_fit = std::ranges::all_of(octet, [](unsigned value) { return value < 256; });
  if (!text.empty() && (matched != 5 || !octets_fit || port > 65535))
    table.add_error(key, "is '" + text + "', not an address and port");
}

void read_type(TomlTable& table, RouterConfig& config) {
  TrafficTypeRule rule;
  TrafficType type;
  rule.name = table.string("name");
  rule.models = table.strings("models");
  rule.paths = table.strings("paths");
  rule.header = table.string("header", "");
  rule.header_value = table.string("header_value", "");
  if (!rule.header.empty() && !table.has("header_value"))
    table.add_error("header", "requires 'header_value'");
  std::ranges::transform(rule.header, rule.header.begin(), [](unsigned char c) { return std::tolower(c); });
  type.effect = table.choice<Effect>(
      "effect",
      {{"repeatable", Effect::repeatable}, {"tokened", Effect::tokened}, {"once-only", Effect::once_only}});
  type.group = table.choice<Group>(
      "group", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}}, Group::all);
  type.window = table.duration("window_ms", 0, kHourMs, 0);
  if (type.effect == Effect::tokened && type.window == 0)
    table.add_error("window_ms", "must be told for a tokened type");
  type.slo = table.duration("slo_ms", 1, kHourMs);
  type.slo_per_1000_tokens = table.duration("slo_ms_per_1000", 0, kHourMs, 0);
  type.utility = table.number("utility", 0, 1e6, 1);
  rule.time_limit = table.duration("abandon_ms", 1, kHourMs);
  rule.time_limit_per_1000_tokens = table.duration("abandon_ms_per_1000", 0, kHourMs, 0);
  if (rule.time_limit <= type.slo) table.add_error("abandon_ms", "is not above 'slo_ms'");
  table.report_unknown_keys();
  config.type_rules.push_back(std::move(rule));
  config.settings.types.push_back(type);
}

void read_tenant(TomlTable& table, RouterConfig& config) {
  Tenant tenant;
  tenant.name = table.string("name");
  tenant.api_keys = table.strings("keys");
  config.settings.tenant_rates.push_back(table.number("sequences_per_s", 0, 1e9));
  table.report_unknown_keys();
  for (const Tenant& other : config.tenants)
    for (const std::string& key : tenant.api_keys)
      if (std::ranges::find(other.api_keys, key) != other.api_keys.end())
        table.add_error("keys", "contains a key that also belongs to '" + other.name + "'");
  config.tenants.push_back(std::move(tenant));
}

void read_kind(TomlTable& table, RouterConfig& config) {
  WorkerKind kind;
  const std::string name = table.string("name");
  if (std::ranges::find(config.kind_names, name) != config.kind_names.end())
    table.add_error("name", "is already used by another kind");
  config.kind_names.push_back(name);
  config.unused_kind_errors.push_back(
      table.error_at("name", "is '" + name + "', a kind that no worker of the last list has"));
  kind.role = table.choice<Role>(
      "role", {{"reader", Role::prefill}, {"writer", Role::decode}, {"mixed", Role::mixed}});
  kind.memory_tokens = table.number("memory_tokens", 0, 1e12, 0);
  table.report_unknown_keys();
  config.settings.kinds.push_back(kind);
}

void read_router(TomlTable& table, RouterConfig& config) {
  config.name = table.string("name");
  config.listen_address = table.string("listen");
  config.admin_address = table.string("admin", "");
  config.discovery_address = table.string("roster");
  check_address(table, "listen", config.listen_address);
  check_address(table, "admin", config.admin_address);
  check_address(table, "roster", config.discovery_address);
  if (config.listen_address.empty() && table.has("listen")) table.add_error("listen", "is empty");
  if (config.discovery_address.empty() && table.has("roster")) table.add_error("roster", "is empty");
  config.last_list_path = table.string("last_list", "");
  config.log_level = table.string("log_level", "info");
  const std::string zone = table.string("zone");
  config.zones = table.strings("zones", true);
  const auto position = std::ranges::find(config.zones, zone);
  if (position == config.zones.end()) table.add_error("zone", "is not among 'zones'");
  config.settings.zone = static_cast<int>(position - config.zones.begin());
  config.settings.routers = table.integer("routers", 1, 1'000'000);
  config.settings.time_granularity = table.duration("tick_ms", 0.1, 1000, 10);
  config.default_max_output_tokens = table.integer("default_max_out", 1, 10'000'000, 1024);
  config.shutdown_timeout = table.duration("stop_within_ms", 0, kHourMs, 30'000);
  table.report_unknown_keys();
}

void read_bounds(TomlTable& table, RouterConfig& config) {
  config.max_body_bytes = static_cast<std::size_t>(table.number("body_bytes", 1024, 1e9, 8 * 1024 * 1024));
  config.max_head_bytes = static_cast<std::size_t>(table.number("head_bytes", 256, 1e7, 64 * 1024));
  config.max_connections = static_cast<std::size_t>(table.number("connections", 1, 1e6, 20'000));
  config.dial_timeout = table.duration("dial_timeout_ms", 1, 60'000, 250);
  config.idle_timeout = table.duration("idle_ms", 1, kHourMs, 15'000);
  config.stall_timeout = table.duration("stall_ms", 100, kHourMs, 30'000);
  config.write_stall_timeout = config.stall_timeout;
  config.max_connections_per_engine =
      static_cast<std::size_t>(table.number("engine_connections", 1, 1e6, 1024));
  table.report_unknown_keys();
}

void read_rules(TomlTable& table, RouterConfig& config) {
  PolicySettings& settings = config.settings;
  config.drain_grace = table.duration("drain_grace_ms", 1, 60'000);
  settings.max_attempts = table.integer("attempts", 1, 100);
  settings.can_cancel = table.boolean("cancelling", true);
  settings.allow_parallel_attempts = table.boolean("second_copies", true);
  settings.send_retry_after = table.boolean("retry_after", true);
  settings.max_retry_after = table.duration("max_retry_after_ms", 0, kHourMs, 1000);
  settings.kv_hold_limit = table.duration("pin_limit_ms", 20, kHourMs);
  settings.cold_start_capacity = table.number("cold_from", 0.001, 1);
  settings.ramp_time = table.duration("ramp_ms", 1, kHourMs);
  settings.overload_factor = table.number("fall_multiple", 0.01, 1000);
  settings.overload_window = table.duration("fall_ms", 1, kHourMs);
  settings.cross_zone_price = table.number("cross_zone_price", 0, 1, 0);
  table.report_unknown_keys();
}

}  // namespace

ConfigErrors check_worker_list(const RouterConfig& config, const WorkerList& list,
                               const std::string& list_path) {
  ConfigErrors errors;
  for (std::size_t i = 0; i < config.kind_names.size(); ++i)
    if (std::ranges::none_of(list.workers,
                             [&](const auto& worker) { return worker.kind == config.kind_names[i]; }))
      errors.push_back(config.unused_kind_errors[i]);
  for (const ListedWorker& worker : list.workers) {
    if (std::ranges::find(config.kind_names, worker.kind) == config.kind_names.end())
      errors.push_back(
          {list_path, 0, 0,
           "worker '" + worker.name + "' is of kind '" + worker.kind + "', which no [[kind]] names"});
    if (std::ranges::find(config.zones, worker.zone) == config.zones.end())
      errors.push_back(
          {list_path, 0, 0,
           "worker '" + worker.name + "' is in zone '" + worker.zone + "', not among 'router.zones'"});
  }
  return errors;
}

std::optional<RouterConfig> read_router_config(const std::string& path, ConfigErrors& errors) {
  const std::optional<toml::table> file = parse_toml_file(path, errors);
  if (!file) return std::nullopt;
  const std::size_t errors_before = errors.size();
  TomlTable root(*file, "", path, errors);
  RouterConfig config;
  if (auto table = root.table("router", true)) read_router(*table, config);
  const toml::table no_keys;
  auto bounds = root.table("bounds", false);
  TomlTable default_bounds(no_keys, "bounds", path, errors);
  read_bounds(bounds ? *bounds : default_bounds, config);
  if (auto table = root.table("rules", true)) {
    read_rules(*table, config);
    // Rule 3: a connection that is being set up when a drain is announced may still carry a request, once it
    // is established.
    if (config.dial_timeout + config.settings.time_granularity >= config.drain_grace)
      table->add_error("drain_grace_ms",
                       "is not above 'bounds.dial_timeout_ms' and 'router.tick_ms' together");
  }
  for (TomlTable& table : root.tables("kind", true)) read_kind(table, config);
  for (TomlTable& table : root.tables("traffic_type", true)) read_type(table, config);
  for (TomlTable& table : root.tables("tenant", false)) read_tenant(table, config);
  root.report_unknown_keys();
  if (errors.size() > errors_before) return std::nullopt;
  return config;
}

}  // namespace cressrill::core
