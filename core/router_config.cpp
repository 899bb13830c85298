#include "router_config.h"

#include <algorithm>
#include <cstdio>

namespace cressrill::core {

namespace {

constexpr double kHour = 3'600'000;

// "127.0.0.1:8080": core knows no sockets, so the form is looked at here and no more.
void check_address(Table& t, const char* key, const std::string& text) {
  unsigned part[4]{}, port = 0;
  char rest = 0;
  const int got = std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &part[0], &part[1], &part[2], &part[3],
                              &port, &rest);
  const bool small = std::ranges::all_of(part, [](unsigned p) { return p < 256; });
  if (!text.empty() && (got != 5 || !small || port > 65535))
    t.fault(key, "is '" + text + "', not an address and port");
}

void read_type(Table& t, Station& to) {
  TypeRule rule;
  TrafficType type;
  rule.name = t.text("name");
  rule.models = t.texts("models");
  rule.paths = t.texts("paths");
  rule.header = t.text("header", "");
  rule.header_value = t.text("header_value", "");
  if (!rule.header.empty() && !t.has("header_value")) t.fault("header", "needs 'header_value' beside it");
  std::ranges::transform(rule.header, rule.header.begin(), [](unsigned char c) { return std::tolower(c); });
  type.effect = t.choice<Effect>(
      "effect",
      {{"repeatable", Effect::repeatable}, {"tokened", Effect::tokened}, {"once-only", Effect::once_only}});
  type.group = t.choice<Group>("group", {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}},
                               Group::all);
  type.window = t.span("window_ms", 0, kHour, 0);
  if (type.effect == Effect::tokened && type.window == 0)
    t.fault("window_ms", "must be told for a tokened type");
  type.slo = t.span("slo_ms", 1, kHour);
  type.slo_per_1000 = t.span("slo_ms_per_1000", 0, kHour, 0);
  type.utility = t.number("utility", 0, 1e6, 1);
  rule.abandon = t.span("abandon_ms", 1, kHour);
  rule.abandon_per_1000 = t.span("abandon_ms_per_1000", 0, kHour, 0);
  if (rule.abandon <= type.slo) t.fault("abandon_ms", "is not above 'slo_ms'");
  t.finish();
  to.types.push_back(std::move(rule));
  to.deployment.types.push_back(type);
}

void read_tenant(Table& t, Station& to) {
  Tenant tenant;
  tenant.name = t.text("name");
  tenant.keys = t.texts("keys");
  to.deployment.tenant_rates.push_back(t.number("sequences_per_s", 0, 1e9));
  t.finish();
  for (const Tenant& other : to.tenants)
    for (const std::string& key : tenant.keys)
      if (std::ranges::find(other.keys, key) != other.keys.end())
        t.fault("keys", "holds a key that is also one of '" + other.name + "'");
  to.tenants.push_back(std::move(tenant));
}

void read_kind(Table& t, Station& to) {
  WorkerKind kind;
  const std::string name = t.text("name");
  if (std::ranges::find(to.kind_names, name) != to.kind_names.end())
    t.fault("name", "is taken by another kind");
  to.kind_names.push_back(name);
  to.kinds_unheld.push_back(t.place("name", "is '" + name + "', a kind that no worker of the last list has"));
  kind.role =
      t.choice<Role>("role", {{"reader", Role::reader}, {"writer", Role::writer}, {"mixed", Role::mixed}});
  kind.memory_tokens = t.number("memory_tokens", 0, 1e12, 0);
  t.finish();
  to.deployment.kinds.push_back(kind);
}

void read_router(Table& t, Station& to) {
  to.name = t.text("name");
  to.listen = t.text("listen");
  to.admin = t.text("admin", "");
  to.roster = t.text("roster");
  check_address(t, "listen", to.listen);
  check_address(t, "admin", to.admin);
  check_address(t, "roster", to.roster);
  if (to.listen.empty() && t.has("listen")) t.fault("listen", "is empty");
  if (to.roster.empty() && t.has("roster")) t.fault("roster", "is empty");
  to.last_list = t.text("last_list", "");
  to.log_level = t.text("log_level", "info");
  const std::string zone = t.text("zone");
  to.zones = t.texts("zones", true);
  const auto at = std::ranges::find(to.zones, zone);
  if (at == to.zones.end()) t.fault("zone", "is not among 'zones'");
  to.deployment.zone = static_cast<int>(at - to.zones.begin());
  to.deployment.routers = t.whole("routers", 1, 1'000'000);
  to.deployment.tick = t.span("tick_ms", 0.1, 1000, 10);
  to.default_max_out = t.whole("default_max_out", 1, 10'000'000, 1024);
  to.stop_within = t.span("stop_within_ms", 0, kHour, 30'000);
  t.finish();
}

void read_bounds(Table& t, Station& to) {
  to.body_bytes = static_cast<std::size_t>(t.number("body_bytes", 1024, 1e9, 8 * 1024 * 1024));
  to.head_bytes = static_cast<std::size_t>(t.number("head_bytes", 256, 1e7, 64 * 1024));
  to.connections = static_cast<std::size_t>(t.number("connections", 1, 1e6, 20'000));
  to.dial_timeout = t.span("dial_timeout_ms", 1, 60'000, 250);
  to.idle_for = t.span("idle_ms", 1, kHour, 15'000);
  to.stall = t.span("stall_ms", 100, kHour, 30'000);
  to.engine_connections = static_cast<std::size_t>(t.number("engine_connections", 1, 1e6, 1024));
  t.finish();
}

void read_rules(Table& t, Station& to) {
  Deployment& d = to.deployment;
  to.drain_grace = t.span("drain_grace_ms", 1, 60'000);
  d.attempts_cap = t.whole("attempts", 1, 100);
  d.cancelling = t.flag("cancelling", true);
  d.second_copies = t.flag("second_copies", true);
  d.retry_after = t.flag("retry_after", true);
  d.max_retry_after = t.span("max_retry_after_ms", 0, kHour, 1000);
  d.pin_limit = t.span("pin_limit_ms", 20, kHour);
  d.cold_from = t.number("cold_from", 0.001, 1);
  d.ramp_time = t.span("ramp_ms", 1, kHour);
  d.fall_multiple = t.number("fall_multiple", 0.01, 1000);
  d.fall_span = t.span("fall_ms", 1, kHour);
  d.cross_zone_price = t.number("cross_zone_price", 0, 1, 0);
  t.finish();
}

}  // namespace

FileFaults compare_with_list(const Station& station, const WorkerList& list, const std::string& list_path) {
  FileFaults out;
  for (std::size_t i = 0; i < station.kind_names.size(); ++i)
    if (std::ranges::none_of(list.workers, [&](const auto& w) { return w.kind == station.kind_names[i]; }))
      out.push_back(station.kinds_unheld[i]);
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

std::optional<Station> read_station(const std::string& path, FileFaults& faults) {
  const std::optional<toml::table> file = read_toml(path, faults);
  if (!file) return std::nullopt;
  const std::size_t before = faults.size();
  Table root(*file, "", path, faults);
  Station to;
  if (auto t = root.table("router", true)) read_router(*t, to);
  const toml::table none;
  auto bounds = root.table("bounds", false);
  Table empty(none, "bounds", path, faults);
  read_bounds(bounds ? *bounds : empty, to);
  if (auto t = root.table("rules", true)) {
    read_rules(*t, to);
    // Rule 3: a connection that is being made when a drain is told may still carry work once it stands.
    if (to.dial_timeout + to.deployment.tick >= to.drain_grace)
      t->fault("drain_grace_ms", "is not above 'bounds.dial_timeout_ms' and 'router.tick_ms' together");
  }
  for (Table& t : root.tables("kind", true)) read_kind(t, to);
  for (Table& t : root.tables("traffic_type", true)) read_type(t, to);
  for (Table& t : root.tables("tenant", false)) read_tenant(t, to);
  root.finish();
  if (faults.size() > before) return std::nullopt;
  return to;
}

}  // namespace cressrill::core
