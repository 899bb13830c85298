#include "scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cressrill::rig {

namespace {

constexpr double kHourMs = 3'600'000;

// A kind of fault, what it is injected into, and its size and duration when it is the only fault of a
// scenario. The sizes and durations are typical of faults recorded in fleets.
struct FaultKind {
  const char* name;
  enum class Targets { one_router, all_routers, one_engine, many_engines, none } targets;
  double size;
  int duration_ms;
};
using Targets = FaultKind::Targets;
constexpr FaultKind kFaultKinds[] = {
    {"crash", Targets::many_engines, 0, 6000},
    {"vanish", Targets::many_engines, 0, 8000},
    {"slow", Targets::many_engines, 5, 8000},
    {"throttle", Targets::many_engines, 0.8, 8000},
    {"flush", Targets::many_engines, 0, 0},
    {"fast_errors", Targets::many_engines, 0.7, 8000},
    {"handshake_slow", Targets::many_engines, 400, 8000},
    {"cut", Targets::one_engine, 0.5, 5000},
    {"ageing", Targets::one_engine, 8, 8000},
    {"drain", Targets::many_engines, 0, 8000},
    {"mass_restart", Targets::many_engines, 0, 4000},
    {"balancer_crash", Targets::one_router, 0, 3000},
    {"balancer_roll", Targets::all_routers, 800, 9000},
    {"discovery_stale", Targets::none, 5000, 10000},
    {"roster_gone", Targets::none, 0, 0},
    {"burst", Targets::none, 2, 6000},
    {"hot_key", Targets::none, 0.2, 8000},
    {"heavy_tail", Targets::none, 15, 10000},
    {"give_up", Targets::none, 0.4, 8000},
};

bool targets_routers(const FaultKind& kind) {
  return kind.targets == Targets::one_router || kind.targets == Targets::all_routers;
}
bool targets_engines(const FaultKind& kind) {
  return kind.targets == Targets::one_engine || kind.targets == Targets::many_engines;
}

const FaultKind* find_kind(const std::string& name) {
  const auto found =
      std::ranges::find_if(kFaultKinds, [&](const FaultKind& kind) { return name == kind.name; });
  return found == std::end(kFaultKinds) ? nullptr : found;
}

Traffic read_traffic(core::TomlTable& table) {
  Traffic traffic;
  traffic.type = table.string("type");
  traffic.model = table.string("model");
  traffic.share = table.number("share", 0, 1000);
  traffic.mean_turns = table.number("turns", 1, 1000, 2);
  traffic.mean_think_time = table.duration("think_ms", 0, kHourMs, 1500);
  traffic.prefixes = table.integer("beginnings", 0, 100'000, 8);
  traffic.prefix_words = table.integer("beginning_words", 0, 1'000'000, 400);
  traffic.mean_turn_words = table.integer("turn_words", 1, 1'000'000, 100);
  traffic.mean_output_tokens = table.integer("out_tokens", 1, 100'000, 40);
  traffic.idempotency_key = table.boolean("mark", false);
  traffic.complete_share = table.number("whole", 0, 1, 0);
  traffic.late_share = table.number("late_share", 0, 1, 0.2);
  table.report_unknown_keys();
  return traffic;
}

ScheduledFault read_fault(core::TomlTable& table, const Scenario& scenario) {
  ScheduledFault fault;
  fault.start = table.duration("at_ms", 0, 24 * kHourMs);
  fault.duration = table.duration("for_ms", 0, 24 * kHourMs, 0);
  fault.kind = table.string("kind");
  fault.routers = table.strings("routers");
  fault.engines = table.strings("engines");
  fault.size = table.number("size", 0, 1e9, 0);
  fault.target = table.string("to", "");
  table.report_unknown_keys();
  const FaultKind* kind = find_kind(fault.kind);
  if (kind == nullptr) {
    table.add_error("kind", "is '" + fault.kind + "', which is not known");
    return fault;
  }
  const bool router_found = std::ranges::any_of(
      scenario.routers, [&](auto& router) { return matches(fault.routers, router.name); });
  const bool engine_found = std::ranges::any_of(
      scenario.engines, [&](auto& engine) { return matches(fault.engines, engine.name); });
  if (targets_routers(*kind) && !router_found) table.add_error("routers", "names no router of this scenario");
  if (targets_engines(*kind) && !engine_found) table.add_error("engines", "names no engine of this scenario");
  return fault;
}

ClientSettings read_client_settings(core::TomlTable& table) {
  ClientSettings settings;
  settings.retries = table.integer("retries", 0, 100, settings.retries);
  settings.backoff = table.duration("backoff_ms", 0, kHourMs, 200);
  settings.honour_share = table.number("honour", 0, 1, settings.honour_share);
  settings.timeout_share = table.number("try_share", 0.1, 1, settings.timeout_share);
  settings.leave_share = table.number("leave", 0, 1, settings.leave_share);
  settings.failover_delay = table.duration("notice_ms", 0, kHourMs, 2000);
  table.report_unknown_keys();
  return settings;
}

// The tables of the scenario file that every router's configuration file contains, as text.
std::string shared_tables(const toml::table& file) {
  toml::table shared;
  for (const char* key : {"rules", "bounds", "kind", "traffic_type", "tenant"})
    if (const toml::node* node = file.get(key))
      node->visit([&](const auto& value) { shared.insert(key, value); });
  std::ostringstream text;
  text << toml::toml_formatter(shared);
  return text.str() + "\n";
}

}  // namespace

bool matches(const std::vector<std::string>& patterns, const std::string& name) {
  return std::ranges::any_of(patterns, [&](const std::string& pattern) {
    return pattern.ends_with('*') ? name.starts_with(std::string_view(pattern).substr(0, pattern.size() - 1))
                                  : pattern == name;
  });
}

std::vector<std::string> fault_kinds() {
  std::vector<std::string> names;
  for (const FaultKind& kind : kFaultKinds) names.emplace_back(kind.name);
  return names;
}

void keep_only_fault(Scenario& scenario, const std::string& name) {
  const FaultKind* kind = find_kind(name);
  if (kind == nullptr) throw std::invalid_argument("no kind of trouble is named '" + name + "'");
  ScheduledFault fault;
  fault.kind = name;
  fault.size = kind->size;
  fault.duration = kind->duration_ms * io::kMs;
  fault.start = scenario.length / 3;
  if (kind->targets == Targets::one_router) fault.routers = {scenario.routers.front().name};
  if (kind->targets == Targets::all_routers) fault.routers = {"*"};
  // A fault of one engine is injected into the second one, a flush into all, every other kind into a quarter
  // of the engines, spread over the fleet.
  const std::size_t step = kind->targets == Targets::one_engine ? scenario.engines.size() : 4;
  if (targets_engines(*kind))
    for (std::size_t i = 1 % scenario.engines.size(); i < scenario.engines.size(); i += step)
      fault.engines.push_back(scenario.engines[i].name);
  if (name == "flush") fault.engines = {"*"};
  scenario.faults = {fault};
  scenario.name += ", " + name + " alone";
}

std::string router_file(const Scenario& scenario, const RouterEntry& router,
                        const std::string& listen_address, const std::string& admin_address,
                        const std::string& discovery_address, const std::string& last_list_path) {
  std::string zones;
  for (const std::string& zone : scenario.config.zones)
    zones += (zones.empty() ? "\"" : ", \"") + zone + "\"";
  return fmt::format(
             "[router]\nname = \"{}\"\nlisten = \"{}\"\nadmin = \"{}\"\nroster = \"{}\"\nlast_list = "
             "\"{}\"\nzone = \"{}\"\n"
             "zones = [{}]\nrouters = {}\ntick_ms = {}\nlog_level = \"debug\"\n\n",
             router.name, listen_address, admin_address, discovery_address, last_list_path, router.zone,
             zones, scenario.routers.size(),
             static_cast<double>(scenario.config.settings.time_granularity) / 1e6) +
         scenario.shared_toml;
}

std::string engines_file(const Scenario& scenario) {
  std::string text;
  static constexpr const char* kRoles[] = {"reader", "writer", "mixed"};
  for (const EngineConfig& engine : scenario.engines)
    text += fmt::format(
        "[[engine]]\nname = \"{}\"\naddress = \"{}\"\nkind = \"{}\"\nrole = \"{}\"\nzone = \"{}\"\ncell = "
        "\"{}\"\n"
        "slots = {}\nqueue = {}\nmemory_tokens = {}\nread_per_s = {}\nread_overhead_ms = {}\nstep_ms = {}\n"
        "step_ms_per_sequence = {}\ntransfer_per_s = {}\nfar_factor = {}\nreport_ms = {}\ncold_from = "
        "{}\nramp_ms = {}\n"
        "fall_multiple = {}\nfall_ms = {}\nstate_expiry_ms = {}\n\n",
        engine.name, engine.address, engine.kind, kRoles[static_cast<int>(engine.role)], engine.zone,
        engine.cell, engine.slots, engine.queue, engine.memory_tokens, engine.read_per_s,
        engine.read_overhead_ms, engine.step_ms, engine.step_ms_per_sequence, engine.transfer_per_s,
        engine.far_factor, engine.report_ms, engine.cold_from, engine.ramp_ms, engine.fall_multiple,
        engine.fall_ms, engine.state_expiry_ms);
  return text;
}

std::optional<Scenario> read_scenario(const std::string& path, core::ConfigErrors& errors) {
  const auto file = core::parse_toml_file(path, errors);
  if (!file) return std::nullopt;
  const std::size_t errors_before = errors.size();
  Scenario scenario;
  core::TomlTable root(*file, "", path, errors);
  double tick_ms = 10;
  if (auto table = root.table("day", true)) {
    scenario.name = table->string("name");
    scenario.length = table->duration("length_ms", 100, 24 * kHourMs);
    scenario.seed = static_cast<std::uint64_t>(table->number("seed", 0, 1e15, 1));
    scenario.requests_per_s = table->number("sequences_per_s", 0.01, 1e6);
    scenario.discovery_delay = table->duration("roster_late_ms", 0, kHourMs, 300);
    tick_ms = table->number("tick_ms", 0.1, 1000, 10);
    scenario.config.zones = table->strings("zones", true);
    table->report_unknown_keys();
  }
  scenario.config.settings.time_granularity = static_cast<Nanos>(tick_ms * 1e6);
  for (core::TomlTable& table : root.tables("router", true)) {
    scenario.routers.push_back({table.string("name"), table.string("zone")});
    if (std::ranges::find(scenario.config.zones, scenario.routers.back().zone) == scenario.config.zones.end())
      table.add_error("zone", "is not among 'day.zones'");
    table.report_unknown_keys();
  }
  scenario.engines = read_engines(root);
  for (core::TomlTable& table : root.tables("traffic", true)) scenario.traffic.push_back(read_traffic(table));
  if (auto table = root.table("clients", false)) scenario.clients = read_client_settings(*table);
  for (core::TomlTable& table : root.tables("trouble", false))
    scenario.faults.push_back(read_fault(table, scenario));
  for (const char* key : {"rules", "bounds", "kind", "traffic_type", "tenant"}) root.ignore(key);
  root.report_unknown_keys();
  scenario.shared_toml = shared_tables(*file);
  if (errors.size() > errors_before || scenario.routers.empty()) return std::nullopt;

  // The router's own parser checks the shared tables in a temporary configuration file. Its line numbers
  // refer to that file, so they are left out of the errors.
  const std::string trial_path =
      fmt::format("/tmp/cressrill-day-{}.toml", static_cast<const void*>(&scenario));
  std::ofstream(trial_path) << router_file(scenario, scenario.routers.front(), "127.0.0.1:1", "",
                                           "127.0.0.1:2", "");
  core::ConfigErrors config_errors;
  const auto config = core::read_router_config(trial_path, config_errors);
  std::remove(trial_path.c_str());
  for (core::ConfigError& error : config_errors)
    errors.push_back({path, 0, 0, "in the tables shared by all routers: " + error.message});
  if (!config) return std::nullopt;
  scenario.config = *config;
  for (const EngineConfig& engine : scenario.engines)
    if (std::ranges::find(config->kind_names, engine.kind) == config->kind_names.end())
      errors.push_back(
          {path, 0, 0,
           "engine '" + engine.name + "' is of kind '" + engine.kind + "', which no [[kind]] names"});
  for (const std::string& kind : config->kind_names)
    if (std::ranges::none_of(scenario.engines,
                             [&](const EngineConfig& engine) { return engine.kind == kind; }))
      errors.push_back({path, 0, 0, "kind '" + kind + "' has no engine"});

  scenario.rule_settings.drain_grace = config->drain_grace;
  scenario.rule_settings.pin_limit = config->settings.kv_hold_limit;
  for (std::size_t i = 0; i < config->type_rules.size(); ++i) {
    const TrafficType& type = config->settings.types[i];
    RuleSettings::Type& rules = scenario.rule_settings.types[config->type_rules[i].name];
    rules = {type.effect, type.group, type.window, type.utility, 0.2};
    for (const Traffic& traffic : scenario.traffic)
      if (traffic.type == config->type_rules[i].name) rules.late_share = traffic.late_share;
  }
  for (const Traffic& traffic : scenario.traffic)
    if (!scenario.rule_settings.types.contains(traffic.type))
      errors.push_back(
          {path, 0, 0, "traffic of type '" + traffic.type + "', which no [[traffic_type]] names"});
  if (errors.size() > errors_before) return std::nullopt;
  return scenario;
}

}  // namespace cressrill::rig
