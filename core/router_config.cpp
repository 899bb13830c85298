#include "router_config.h"

#include <algorithm>
#include <cstdio>

namespace cressrill::core {

namespace {

constexpr double kHour = 3'600'000;

// "127.0.0.1:8080": core knows no sockets, so the form is looked at here and no more.
void check_address(TomlTable& t, const char* key, const std::string& text) {
  unsigned part[4]{}, port = 0;
  char rest = 0;
  const int got = std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &part[0], &part[1], &part[2], &part[3],
                              &port, &rest);
  const bool small = std::ranges::all_of(part, [](unsigned p) { return p < 256; });
  if (!text.empty() && (got != 5 || !small || port > 65535))
    t.add_error(key, "is '" + text + "', not an address and port");
}

void read_type(TomlTable& t, RouterConfig& to) {
  TrafficTypeRule rule;
  TrafficType type;
  rule.name = t.string("name");
  rule.models = t.strings("models");
  rule.paths = t.strings("paths");
  rule.header = t.string("header", "");
  rule.header_value = t.string("header_value", "");
  if (!rule.header.empty() && !t.has("header_value")) t.add_error("header", "needs 'header_value' beside it");
  std::ranges::transform(rule.header, rule.header.begin(), [](unsigned char c) { return std::tolower(c); });
  type.effect = t.choice<Effect>(
      "effect",
      {{"repeatable", Effect::repeatable}, {"tokened", Effect::tokened}, {"once-only", Effect::once_only}});
  type.group = t.choice<Group>("group", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}},
                               Group::all);
  type.window = t.duration("window_ms", 0, kHour, 0);
  if (type.effect == Effect::tokened && type.window == 0)
    t.add_error("window_ms", "must be told for a tokened type");
  type.slo = t.duration("slo_ms", 1, kHour);
  type.slo_per_1000_tokens = t.duration("slo_ms_per_1000", 0, kHour, 0);
  type.utility = t.number("utility", 0, 1e6, 1);
  rule.time_limit = t.duration("abandon_ms", 1, kHour);
  rule.time_limit_per_1000_tokens = t.duration("abandon_ms_per_1000", 0, kHour, 0);
  if (rule.time_limit <= type.slo) t.add_error("abandon_ms", "is not above 'slo_ms'");
  t.report_unknown_keys();
  to.type_rules.push_back(std::move(rule));
  to.settings.types.push_back(type);
}

void read_tenant(TomlTable& t, RouterConfig& to) {
  Tenant tenant;
  tenant.name = t.string("name");
  tenant.api_keys = t.strings("keys");
  to.settings.tenant_rates.push_back(t.number("sequences_per_s", 0, 1e9));
  t.report_unknown_keys();
  for (const Tenant& other : to.tenants)
    for (const std::string& key : tenant.api_keys)
      if (std::ranges::find(other.api_keys, key) != other.api_keys.end())
        t.add_error("keys", "holds a key that is also one of '" + other.name + "'");
  to.tenants.push_back(std::move(tenant));
}

void read_kind(TomlTable& t, RouterConfig& to) {
  WorkerKind kind;
  const std::string name = t.string("name");
  if (std::ranges::find(to.kind_names, name) != to.kind_names.end())
    t.add_error("name", "is taken by another kind");
  to.kind_names.push_back(name);
  to.unused_kind_errors.push_back(
      t.error_at("name", "is '" + name + "', a kind that no worker of the last list has"));
  kind.role =
      t.choice<Role>("role", {{"reader", Role::prefill}, {"writer", Role::decode}, {"mixed", Role::mixed}});
  kind.memory_tokens = t.number("memory_tokens", 0, 1e12, 0);
  t.report_unknown_keys();
  to.settings.kinds.push_back(kind);
}

void read_router(TomlTable& t, RouterConfig& to) {
  to.name = t.string("name");
  to.listen_address = t.string("listen");
  to.admin_address = t.string("admin", "");
  to.discovery_address = t.string("roster");
  check_address(t, "listen", to.listen_address);
  check_address(t, "admin", to.admin_address);
  check_address(t, "roster", to.discovery_address);
  if (to.listen_address.empty() && t.has("listen")) t.add_error("listen", "is empty");
  if (to.discovery_address.empty() && t.has("roster")) t.add_error("roster", "is empty");
  to.last_list_path = t.string("last_list", "");
  to.log_level = t.string("log_level", "info");
  const std::string zone = t.string("zone");
  to.zones = t.strings("zones", true);
  const auto at = std::ranges::find(to.zones, zone);
  if (at == to.zones.end()) t.add_error("zone", "is not among 'zones'");
  to.settings.zone = static_cast<int>(at - to.zones.begin());
  to.settings.routers = t.integer("routers", 1, 1'000'000);
  to.settings.tick = t.duration("tick_ms", 0.1, 1000, 10);
  to.default_max_output_tokens = t.integer("default_max_out", 1, 10'000'000, 1024);
  to.shutdown_timeout = t.duration("stop_within_ms", 0, kHour, 30'000);
  t.report_unknown_keys();
}

void read_bounds(TomlTable& t, RouterConfig& to) {
  to.max_body_bytes = static_cast<std::size_t>(t.number("body_bytes", 1024, 1e9, 8 * 1024 * 1024));
  to.max_head_bytes = static_cast<std::size_t>(t.number("head_bytes", 256, 1e7, 64 * 1024));
  to.max_connections = static_cast<std::size_t>(t.number("connections", 1, 1e6, 20'000));
  to.dial_timeout = t.duration("dial_timeout_ms", 1, 60'000, 250);
  to.idle_timeout = t.duration("idle_ms", 1, kHour, 15'000);
  to.stall_timeout = t.duration("stall_ms", 100, kHour, 30'000);
  to.max_connections_per_engine = static_cast<std::size_t>(t.number("engine_connections", 1, 1e6, 1024));
  t.report_unknown_keys();
}

void read_rules(TomlTable& t, RouterConfig& to) {
  PolicySettings& d = to.settings;
  to.drain_grace = t.duration("drain_grace_ms", 1, 60'000);
  d.max_attempts = t.integer("attempts", 1, 100);
  d.can_cancel = t.boolean("cancelling", true);
  d.allow_parallel_attempts = t.boolean("second_copies", true);
  d.send_retry_after = t.boolean("retry_after", true);
  d.max_retry_after = t.duration("max_retry_after_ms", 0, kHour, 1000);
  d.kv_hold_limit = t.duration("pin_limit_ms", 20, kHour);
  d.cold_start_capacity = t.number("cold_from", 0.001, 1);
  d.ramp_time = t.duration("ramp_ms", 1, kHour);
  d.overload_factor = t.number("fall_multiple", 0.01, 1000);
  d.overload_window = t.duration("fall_ms", 1, kHour);
  d.cross_zone_price = t.number("cross_zone_price", 0, 1, 0);
  t.report_unknown_keys();
}

}  // namespace

ConfigErrors check_worker_list(const RouterConfig& station, const WorkerList& list,
                               const std::string& list_path) {
  ConfigErrors out;
  for (std::size_t i = 0; i < station.kind_names.size(); ++i)
    if (std::ranges::none_of(list.workers, [&](const auto& w) { return w.kind == station.kind_names[i]; }))
      out.push_back(station.unused_kind_errors[i]);
  for (const ListedWorker& w : list.workers) {
    if (std::ranges::find(station.kind_names, w.kind) == station.kind_names.end())
      out.push_back(
          {list_path, 0, 0, "worker '" + w.name + "' is of kind '" + w.kind + "', which no [[kind]] names"});
    if (std::ranges::find(station.zones, w.zone) == station.zones.end())
      out.push_back(
          {list_path, 0, 0, "worker '" + w.name + "' is in zone '" + w.zone + "', not among 'router.zones'"});
  }
  return out;
}

std::optional<RouterConfig> read_router_config(const std::string& path, ConfigErrors& faults) {
  const std::optional<toml::table> file = parse_toml_file(path, faults);
  if (!file) return std::nullopt;
  const std::size_t before = faults.size();
  TomlTable root(*file, "", path, faults);
  RouterConfig to;
  if (auto t = root.table("router", true)) read_router(*t, to);
  const toml::table none;
  auto bounds = root.table("bounds", false);
  TomlTable empty(none, "bounds", path, faults);
  read_bounds(bounds ? *bounds : empty, to);
  if (auto t = root.table("rules", true)) {
    read_rules(*t, to);
    // Rule 3: a connection that is being made when a drain is told may still carry work once it stands.
    if (to.dial_timeout + to.settings.tick >= to.drain_grace)
      t->add_error("drain_grace_ms", "is not above 'bounds.dial_timeout_ms' and 'router.tick_ms' together");
  }
  for (TomlTable& t : root.tables("kind", true)) read_kind(t, to);
  for (TomlTable& t : root.tables("traffic_type", true)) read_type(t, to);
  for (TomlTable& t : root.tables("tenant", false)) read_tenant(t, to);
  root.report_unknown_keys();
  if (faults.size() > before) return std::nullopt;
  return to;
}

}  // namespace cressrill::core
