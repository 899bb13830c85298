#include "day.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cressrill::rig {

namespace {

constexpr double kHour = 3'600'000;

// What the kinds strike, and how hard and long they do where a trouble is played alone: about the middle of what
// fleets have recorded.
struct Kind {
  const char* word;
  enum class Strikes { one_router, all_routers, one_engine, many_engines, no_one } strikes;
  double size;
  int span_ms;
};
using Strikes = Kind::Strikes;
constexpr Kind kKinds[] = {
    {"crash", Strikes::many_engines, 0, 6000},
    {"vanish", Strikes::many_engines, 0, 8000},
    {"slow", Strikes::many_engines, 5, 8000},
    {"throttle", Strikes::many_engines, 0.8, 8000},
    {"flush", Strikes::many_engines, 0, 0},
    {"fast_errors", Strikes::many_engines, 0.7, 8000},
    {"handshake_slow", Strikes::many_engines, 400, 8000},
    {"cut", Strikes::one_engine, 0.5, 5000},
    {"ageing", Strikes::one_engine, 8, 8000},
    {"drain", Strikes::many_engines, 0, 8000},
    {"mass_restart", Strikes::many_engines, 0, 4000},
    {"balancer_crash", Strikes::one_router, 0, 3000},
    {"balancer_roll", Strikes::all_routers, 800, 9000},
    {"discovery_stale", Strikes::no_one, 5000, 10000},
    {"roster_gone", Strikes::no_one, 0, 0},
    {"burst", Strikes::no_one, 2, 6000},
    {"hot_key", Strikes::no_one, 0.2, 8000},
    {"heavy_tail", Strikes::no_one, 15, 10000},
    {"give_up", Strikes::no_one, 0.4, 8000},
};

bool strikes_routers(const Kind& k) {
  return k.strikes == Strikes::one_router || k.strikes == Strikes::all_routers;
}
bool strikes_engines(const Kind& k) {
  return k.strikes == Strikes::one_engine || k.strikes == Strikes::many_engines;
}

const Kind* find_kind(const std::string& word) {
  const auto it = std::ranges::find_if(kKinds, [&](const Kind& k) { return word == k.word; });
  return it == std::end(kKinds) ? nullptr : it;
}

Traffic read_traffic(core::TomlTable& t) {
  Traffic to;
  to.type = t.string("type");
  to.model = t.string("model");
  to.share = t.number("share", 0, 1000);
  to.turns = t.number("turns", 1, 1000, 2);
  to.think = t.duration("think_ms", 0, kHour, 1500);
  to.beginnings = t.integer("beginnings", 0, 100'000, 8);
  to.beginning_words = t.integer("beginning_words", 0, 1'000'000, 400);
  to.turn_words = t.integer("turn_words", 1, 1'000'000, 100);
  to.out_tokens = t.integer("out_tokens", 1, 100'000, 40);
  to.mark = t.boolean("mark", false);
  to.whole = t.number("whole", 0, 1, 0);
  to.late_share = t.number("late_share", 0, 1, 0.2);
  t.report_unknown_keys();
  return to;
}

Trouble read_trouble(core::TomlTable& t, const Day& day) {
  Trouble to;
  to.at = t.duration("at_ms", 0, 24 * kHour);
  to.span = t.duration("for_ms", 0, 24 * kHour, 0);
  to.kind = t.string("kind");
  to.routers = t.strings("routers");
  to.engines = t.strings("engines");
  to.size = t.number("size", 0, 1e9, 0);
  to.to = t.string("to", "");
  t.report_unknown_keys();
  const Kind* kind = find_kind(to.kind);
  if (kind == nullptr) {
    t.add_error("kind", "is '" + to.kind + "', which is not known");
    return to;
  }
  const bool router_found =
      std::ranges::any_of(day.routers, [&](auto& r) { return matches(to.routers, r.name); });
  const bool engine_found =
      std::ranges::any_of(day.engines, [&](auto& e) { return matches(to.engines, e.name); });
  if (strikes_routers(*kind) && !router_found) t.add_error("routers", "names no router of this day");
  if (strikes_engines(*kind) && !engine_found) t.add_error("engines", "names no engine of this day");
  return to;
}

Clients read_clients(core::TomlTable& t) {
  Clients to;
  to.retries = t.integer("retries", 0, 100, to.retries);
  to.backoff = t.duration("backoff_ms", 0, kHour, 200);
  to.honour = t.number("honour", 0, 1, to.honour);
  to.try_share = t.number("try_share", 0.1, 1, to.try_share);
  to.leave = t.number("leave", 0, 1, to.leave);
  to.notice = t.duration("notice_ms", 0, kHour, 2000);
  t.report_unknown_keys();
  return to;
}

// The tables of a router's file that the whole day shares, once more as text.
std::string shared_text(const toml::table& file) {
  toml::table out;
  for (const char* key : {"rules", "bounds", "kind", "traffic_type", "tenant"})
    if (const toml::node* node = file.get(key)) node->visit([&](const auto& n) { out.insert(key, n); });
  std::ostringstream text;
  text << toml::toml_formatter(out);
  return text.str() + "\n";
}

}  // namespace

bool matches(const std::vector<std::string>& patterns, const std::string& name) {
  return std::ranges::any_of(patterns, [&](const std::string& p) {
    return p.ends_with('*') ? name.starts_with(std::string_view(p).substr(0, p.size() - 1)) : p == name;
  });
}

std::vector<std::string> trouble_kinds() {
  std::vector<std::string> out;
  for (const Kind& k : kKinds) out.emplace_back(k.word);
  return out;
}

void keep_only(Day& day, const std::string& word) {
  const Kind* kind = find_kind(word);
  if (kind == nullptr) throw std::invalid_argument("no trouble is named '" + word + "'");
  Trouble t;
  t.kind = word, t.size = kind->size, t.span = kind->span_ms * io::kMs, t.at = day.length / 3;
  if (kind->strikes == Strikes::one_router) t.routers = {day.routers.front().name};
  if (kind->strikes == Strikes::all_routers) t.routers = {"*"};
  // A quarter of the engines, spread over the fleet; all of them forget, or one alone fails in its own way.
  const std::size_t step = kind->strikes == Strikes::one_engine ? day.engines.size() : 4;
  if (strikes_engines(*kind))
    for (std::size_t i = 1 % day.engines.size(); i < day.engines.size(); i += step)
      t.engines.push_back(day.engines[i].name);
  if (word == "flush") t.engines = {"*"};
  day.troubles = {t};
  day.name += ", " + word + " alone";
}

std::string router_file(const Day& day, const RouterPlace& place, const std::string& listen,
                        const std::string& admin, const std::string& roster, const std::string& last_list) {
  std::string zones;
  for (const std::string& z : day.station.zones) zones += (zones.empty() ? "\"" : ", \"") + z + "\"";
  return fmt::format(
             "[router]\nname = \"{}\"\nlisten = \"{}\"\nadmin = \"{}\"\nroster = \"{}\"\nlast_list = "
             "\"{}\"\nzone = \"{}\"\n"
             "zones = [{}]\nrouters = {}\ntick_ms = {}\nlog_level = \"debug\"\n\n",
             place.name, listen, admin, roster, last_list, place.zone, zones, day.routers.size(),
             static_cast<double>(day.station.settings.tick) / 1e6) +
         day.shared;
}

std::string engines_file(const Day& day) {
  std::string out;
  static constexpr const char* kRoles[] = {"reader", "writer", "mixed"};
  for (const EngineMake& m : day.engines)
    out += fmt::format(
        "[[engine]]\nname = \"{}\"\naddress = \"{}\"\nkind = \"{}\"\nrole = \"{}\"\nzone = \"{}\"\ncell = "
        "\"{}\"\n"
        "slots = {}\nqueue = {}\nmemory_tokens = {}\nread_per_s = {}\nread_overhead_ms = {}\nstep_ms = {}\n"
        "step_ms_per_sequence = {}\ntransfer_per_s = {}\nfar_factor = {}\nreport_ms = {}\ncold_from = "
        "{}\nramp_ms = {}\n"
        "fall_multiple = {}\nfall_ms = {}\nstate_expiry_ms = {}\n\n",
        m.name, m.address, m.kind, kRoles[static_cast<int>(m.role)], m.zone, m.cell, m.slots, m.queue,
        m.memory_tokens, m.read_per_s, m.read_overhead_ms, m.step_ms, m.step_ms_per_sequence,
        m.transfer_per_s, m.far_factor, m.report_ms, m.cold_from, m.ramp_ms, m.fall_multiple, m.fall_ms,
        m.state_expiry_ms);
  return out;
}

std::optional<Day> read_day(const std::string& path, core::ConfigErrors& faults) {
  const auto file = core::parse_toml_file(path, faults);
  if (!file) return std::nullopt;
  const std::size_t before = faults.size();
  Day to;
  core::TomlTable root(*file, "", path, faults);
  double tick_ms = 10;
  if (auto t = root.table("day", true)) {
    to.name = t->string("name");
    to.length = t->duration("length_ms", 100, 24 * kHour);
    to.seed = static_cast<std::uint64_t>(t->number("seed", 0, 1e15, 1));
    to.rate = t->number("sequences_per_s", 0.01, 1e6);
    to.roster_late = t->duration("roster_late_ms", 0, kHour, 300);
    tick_ms = t->number("tick_ms", 0.1, 1000, 10);
    to.station.zones = t->strings("zones", true);
    t->report_unknown_keys();
  }
  to.station.settings.tick = static_cast<Nanos>(tick_ms * 1e6);
  for (core::TomlTable& t : root.tables("router", true)) {
    to.routers.push_back({t.string("name"), t.string("zone")});
    if (std::ranges::find(to.station.zones, to.routers.back().zone) == to.station.zones.end())
      t.add_error("zone", "is not among 'day.zones'");
    t.report_unknown_keys();
  }
  to.engines = read_engines(root);
  for (core::TomlTable& t : root.tables("traffic", true)) to.traffic.push_back(read_traffic(t));
  if (auto t = root.table("clients", false)) to.clients = read_clients(*t);
  for (core::TomlTable& t : root.tables("trouble", false)) to.troubles.push_back(read_trouble(t, to));
  for (const char* key : {"rules", "bounds", "kind", "traffic_type", "tenant"}) root.ignore(key);
  root.report_unknown_keys();
  to.shared = shared_text(*file);
  if (faults.size() > before || to.routers.empty()) return std::nullopt;

  // The routers' own reader judges the tables that they share, by their places in a file of its own.
  const std::string trial = fmt::format("/tmp/cressrill-day-{}.toml", static_cast<const void*>(&to));
  std::ofstream(trial) << router_file(to, to.routers.front(), "127.0.0.1:1", "", "127.0.0.1:2", "");
  core::ConfigErrors inner;
  const auto station = core::read_router_config(trial, inner);
  std::remove(trial.c_str());
  for (core::ConfigError& f : inner)
    faults.push_back({path, 0, 0, "in the tables that the routers share: " + f.message});
  if (!station) return std::nullopt;
  to.station = *station;
  for (const EngineMake& m : to.engines)
    if (std::ranges::find(station->kind_names, m.kind) == station->kind_names.end())
      faults.push_back(
          {path, 0, 0, "engine '" + m.name + "' is of kind '" + m.kind + "', which no [[kind]] names"});
  for (const std::string& kind : station->kind_names)
    if (std::ranges::none_of(to.engines, [&](const EngineMake& m) { return m.kind == kind; }))
      faults.push_back({path, 0, 0, "kind '" + kind + "' has no engine"});

  to.book.drain_grace = station->drain_grace;
  to.book.pin_limit = station->settings.kv_hold_limit;
  for (std::size_t i = 0; i < station->type_rules.size(); ++i) {
    const TrafficType& t = station->settings.types[i];
    RuleBook::Type& type = to.book.types[station->type_rules[i].name];
    type = {t.effect, t.group, t.window, t.utility, 0.2};
    for (const Traffic& traffic : to.traffic)
      if (traffic.type == station->type_rules[i].name) type.late_share = traffic.late_share;
  }
  for (const Traffic& traffic : to.traffic)
    if (!to.book.types.contains(traffic.type))
      faults.push_back(
          {path, 0, 0, "traffic of type '" + traffic.type + "', which no [[traffic_type]] names"});
  if (faults.size() > before) return std::nullopt;
  return to;
}

}  // namespace cressrill::rig
