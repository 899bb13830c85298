#include "scenario_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace cressrill::rig {

using nlohmann::json;
namespace files = std::filesystem;

namespace {

constexpr const char* kRecordFiles[] = {"clients.jsonl", "engines.jsonl", "roster.jsonl"};

class ScenarioRunner {
 public:
  ScenarioRunner(const Scenario& scenario, const Programs& programs, const std::string& folder,
                 int second_byte)
      : scenario_(scenario),
        programs_(programs),
        folder_(folder),
        second_byte_(static_cast<std::uint32_t>(second_byte)),
        record_(loop_, folder + "/clients.jsonl"),
        scope_(loop_),
        load_(loop_, scenario_, record_, [this](std::size_t router) { return router_address(router); }) {
    // Each engine has an address of its own. Ports are fixed, so two scenarios with the same second byte of
    // the addresses cannot run at the same time.
    for (std::size_t i = 0; i < scenario_.engines.size(); ++i)
      scenario_.engines[i].address =
          address(static_cast<std::uint32_t>(11 + i / 200), 1 + i % 200, 19100).to_string();
  }

  std::vector<std::string> run() {
    bool done = false;
    scope_.spawn(run_all(done));
    loop_.run_until([&] { return done; });
    return failures_;
  }

 private:
  io::Address address(std::uint32_t third, std::size_t fourth, std::uint16_t port) const {
    return {127u << 24 | second_byte_ << 16 | third << 8 | static_cast<std::uint32_t>(fourth), port};
  }
  io::Address router_address(std::size_t router) const { return address(10, 1 + router, 18080); }
  io::Address admin_address(std::size_t router) const { return address(10, 1 + router, 18081); }
  io::Address discovery_address() const { return address(9, 1, 17000); }
  io::Address control_address() const { return address(9, 2, 17001); }

  void start_router(std::size_t router) {
    routers_[router] = Process(router_commands_[router],
                               fmt::format("{}/log-{}.txt", folder_, scenario_.routers[router].name));
  }

  // Sends a request on a new connection. Without a response within 2 s the result is not ok().
  io::Task<http::ExchangeResult> exchange(io::Address server, std::string method, std::string target,
                                          std::string body) {
    auto pool = std::make_shared<http::Pool>(loop_, server);
    const std::string request = http::format_request(method, target, server.to_string(), "", body);
    auto response =
        co_await io::with_deadline(loop_, loop_.now() + 2 * io::kSecond, http::exchange(pool, request));
    co_return response ? std::move(*response) : http::ExchangeResult{};
  }

  // Polls until the body of a response satisfies the predicate; false after 15 s.
  io::Task<bool> poll_until(io::Address server, std::string target,
                            std::function<bool(const std::string&)> predicate) {
    const io::Nanos deadline = loop_.now() + 15 * io::kSecond;
    while (loop_.now() < deadline) {
      const http::ExchangeResult response = co_await exchange(server, "GET", target, "");
      if (response.ok() && response.head.status == 200 && predicate(response.body)) co_return true;
      co_await loop_.sleep_for(30 * io::kMs);
    }
    co_return false;
  }

  // Starts discovery, engines and routers in this order, each when the one before is ready.
  io::Task<bool> start_all() {
    std::ofstream(folder_ + "/engines.toml") << engines_file(scenario_);
    discovery_ = Process({programs_.discovery, "--listen", discovery_address().to_string(), "--record",
                          folder_ + "/roster.jsonl"},
                         folder_ + "/log-roster.txt");
    if (!co_await poll_until(discovery_address(), "/v1/workers", [](const std::string&) { return true; })) {
      failures_.push_back("the discovery stand-in did not start");
      co_return false;
    }
    engines_ = Process(
        {programs_.engine, "--config", folder_ + "/engines.toml", "--record", folder_ + "/engines.jsonl",
         "--roster", discovery_address().to_string(), "--control", control_address().to_string()},
        folder_ + "/log-engines.txt");
    const auto lists_all_engines = [this](const std::string& body) {
      return json::parse(body, nullptr, false)["workers"].size() == scenario_.engines.size();
    };
    if (!co_await poll_until(discovery_address(), "/v1/workers", lists_all_engines)) {
      failures_.push_back("the engines did not start");
      co_return false;
    }
    routers_.resize(scenario_.routers.size());
    for (std::size_t i = 0; i < scenario_.routers.size(); ++i) {
      const std::string path_prefix = fmt::format("{}/{}", folder_, scenario_.routers[i].name);
      std::ofstream(path_prefix + ".toml") << router_file(
          scenario_, scenario_.routers[i], router_address(i).to_string(), admin_address(i).to_string(),
          discovery_address().to_string(), path_prefix + ".last-list");
      router_commands_.push_back(programs_.router);
      router_commands_.back().insert(router_commands_.back().end(), {"--config", path_prefix + ".toml"});
      start_router(i);
    }
    for (std::size_t i = 0; i < scenario_.routers.size(); ++i)
      if (!co_await poll_until(admin_address(i), "/workers", lists_all_engines)) {
        failures_.push_back("router " + scenario_.routers[i].name + " did not start");
        co_return false;
      }
    const http::ExchangeResult response = co_await exchange(
        discovery_address(), "POST", fmt::format("/late?ms={}", scenario_.discovery_delay / io::kMs), "");
    co_return response.ok();
  }

  io::Task<> run_all(bool& done) {
    if (co_await start_all()) {
      record_.record("begins", {{"day", scenario_.name}});
      for (const ScheduledFault& fault : scenario_.faults) scope_.spawn(inject(fault));
      co_await load_.run();
      record_.record("ends", {{"day", scenario_.name}});
      co_await stop_all();
    }
    done = true;
  }

  // Sends SIGTERM to the routers, then to the engines and discovery. A router has to exit with status 0 in
  // time. Of the others only an exit status is checked, except of discovery if a fault has killed it.
  io::Task<> stop_all() {
    for (Process& process : routers_) process.terminate();
    const io::Nanos deadline = loop_.now() + 10 * io::kSecond;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      while (routers_[i].running() && loop_.now() < deadline) co_await loop_.sleep_for(20 * io::kMs);
      if (routers_[i].running())
        failures_.push_back("router " + scenario_.routers[i].name + " did not stop after SIGTERM");
      else if (routers_[i].status() != 0)
        failures_.push_back(
            fmt::format("router {} ended with {}", scenario_.routers[i].name, routers_[i].status()));
    }
    // Gives the engines time to handle the last releases, so that the records show how KV cache was freed.
    co_await loop_.sleep_for(200 * io::kMs);
    for (Process* process : {&engines_, &discovery_}) {
      process->terminate();
      while (process->running() && loop_.now() < deadline + 5 * io::kSecond)
        co_await loop_.sleep_for(20 * io::kMs);
      if (process->status() != 0 && !(process == &discovery_ && discovery_killed_))
        failures_.push_back(fmt::format("the {} ended with {}", process == &discovery_ ? "roster" : "engines",
                                        process->status()));
    }
  }

  core::ListedWorker list_entry(const EngineConfig& engine, WorkerStatus status) const {
    return {engine.name, engine.address, status, 0, engine.kind, engine.zone, engine.cell};
  }

  io::Task<> restart_router(std::size_t router, io::Nanos downtime) {
    record_.record("router_killed", {{"router", scenario_.routers[router].name}});
    routers_[router].kill();
    load_.router_stopped(router);
    co_await loop_.sleep_for(downtime);
    start_router(router);
    if (co_await poll_until(admin_address(router), "/health", [](const std::string&) { return true; })) {
      load_.router_restarted(router);
      record_.record("router_up", {{"router", scenario_.routers[router].name}});
    } else {
      failures_.push_back("router " + scenario_.routers[router].name + " did not start again");
    }
  }

  // Lists the engine as draining, and after the duration as ready again; 0: it stays draining.
  io::Task<> drain(const EngineConfig& engine, io::Nanos duration) {
    const std::string draining =
        core::serialize_worker_list({0, false, {list_entry(engine, WorkerStatus::draining)}});
    co_await exchange(discovery_address(), "POST", "/v1/workers", draining);
    if (duration == 0) co_return;
    co_await loop_.sleep_for(duration);
    const std::string ready =
        core::serialize_worker_list({0, false, {list_entry(engine, WorkerStatus::ready)}});
    co_await exchange(discovery_address(), "POST", "/v1/workers", ready);
  }

  io::Task<> inject_into_engine(std::string engine, ScheduledFault fault) {
    const std::string body = json{
        {"engine", engine},
        {"kind", fault.kind},
        {"size", fault.size},
        {"for_ms", fault.duration / io::kMs},
        {"to", fault.target}}.dump();
    const http::ExchangeResult response = co_await exchange(control_address(), "POST", "/fault", body);
    if (!response.ok() || response.head.status != 200)
      failures_.push_back("trouble " + fault.kind + " at " + engine + ": " + response.body);
  }

  io::Task<> inject(ScheduledFault fault) {
    co_await loop_.sleep_for(fault.start);
    record_.record("trouble", {{"kind", fault.kind}});
    std::vector<std::size_t> routers;
    std::vector<const EngineConfig*> engines;
    for (std::size_t i = 0; i < scenario_.routers.size(); ++i)
      if (matches(fault.routers, scenario_.routers[i].name)) routers.push_back(i);
    for (const EngineConfig& engine : scenario_.engines)
      if (matches(fault.engines, engine.name)) engines.push_back(&engine);
    if (fault.kind == "balancer_crash") {
      for (const std::size_t i : routers) scope_.spawn(restart_router(i, fault.duration));
    } else if (fault.kind == "balancer_roll") {  // one router after another, each down for `size` ms
      for (const std::size_t i : routers) {
        scope_.spawn(restart_router(i, static_cast<io::Nanos>(fault.size * 1e6)));
        co_await loop_.sleep_for(fault.duration / static_cast<io::Nanos>(routers.size()));
      }
    } else if (fault.kind == "mass_restart") {  // all engines at once; they restart cold
      fault.kind = "crash";
      for (const EngineConfig* engine : engines) scope_.spawn(inject_into_engine(engine->name, fault));
    } else if (fault.kind == "drain") {
      for (const EngineConfig* engine : engines) scope_.spawn(drain(*engine, fault.duration));
    } else if (fault.kind == "discovery_stale") {
      co_await exchange(discovery_address(), "POST",
                        fmt::format("/late?ms={}", static_cast<long>(fault.size)), "");
      co_await loop_.sleep_for(fault.duration);
      co_await exchange(discovery_address(), "POST",
                        fmt::format("/late?ms={}", scenario_.discovery_delay / io::kMs), "");
    } else if (fault.kind == "roster_gone") {
      discovery_killed_ = true;
      discovery_.kill();
    } else if (fault.kind == "burst") {
      load_.set_rate_factor(fault.size);
      co_await loop_.sleep_for(fault.duration);
      load_.set_rate_factor(1);
    } else if (fault.kind == "hot_key") {
      load_.set_hot_prefix(fault.size, 1500);
      co_await loop_.sleep_for(fault.duration);
      load_.set_hot_prefix(0, 0);
    } else if (fault.kind == "heavy_tail") {
      load_.set_long_prompt_factor(fault.size);
      co_await loop_.sleep_for(fault.duration);
      load_.set_long_prompt_factor(1);
    } else if (fault.kind == "give_up") {
      load_.set_timeout_factor(fault.size);
      co_await loop_.sleep_for(fault.duration);
      load_.set_timeout_factor(1);
    } else {
      for (const EngineConfig* engine : engines) scope_.spawn(inject_into_engine(engine->name, fault));
    }
  }

  Scenario scenario_;
  const Programs& programs_;
  std::string folder_;
  std::uint32_t second_byte_;  // of the loopback addresses
  io::Loop loop_;
  Recorder record_;
  std::vector<std::string> failures_;
  std::vector<std::vector<std::string>> router_commands_;
  Process discovery_;
  Process engines_;          // one process for all engines
  bool discovery_killed_{};  // by a fault
  std::vector<Process> routers_;
  io::Scope scope_;
  LoadGenerator load_;
};

}  // namespace

void write_rule_settings(const RuleSettings& settings, const std::string& folder) {
  json stored{{"answer_slack", settings.answer_slack},
              {"drain_grace", settings.drain_grace},
              {"pin_limit", settings.pin_limit},
              {"pin_slack", settings.pin_slack},
              {"types", json::object()}};
  for (const auto& [name, type] : settings.types)
    stored["types"][name] = {{"effect", static_cast<int>(type.effect)},
                             {"group", static_cast<int>(type.group)},
                             {"window", type.window},
                             {"utility", type.utility},
                             {"late_share", type.late_share}};
  std::ofstream(folder + "/rules.json") << stored.dump(2) << '\n';
}

RuleSettings read_rule_settings(const std::string& folder) {
  std::ifstream file(folder + "/rules.json");
  if (!file) throw std::invalid_argument(folder + "/rules.json cannot be read");
  const json stored = json::parse(file);
  RuleSettings settings;
  stored.at("answer_slack").get_to(settings.answer_slack);
  stored.at("drain_grace").get_to(settings.drain_grace);
  stored.at("pin_limit").get_to(settings.pin_limit);
  stored.at("pin_slack").get_to(settings.pin_slack);
  for (const auto& [name, type] : stored.at("types").items())
    settings.types[name] = {type.at("effect").get<Effect>(), type.at("group").get<Group>(),
                            type.at("window").get<Nanos>(), type.at("utility").get<double>(),
                            type.at("late_share").get<double>()};
  return settings;
}

std::vector<Recorder::Line> read_records(const std::string& folder) {
  std::vector<Recorder::Line> records;
  for (const char* name : kRecordFiles) {
    std::ifstream file(folder + "/" + name);
    if (!file) throw std::invalid_argument(folder + "/" + name + " cannot be read");
    std::size_t line_number = 0;
    for (std::string line; std::getline(file, line);) {
      ++line_number;
      auto parsed = Recorder::Line::parse(line, nullptr, false);
      if (!parsed.is_object() || !parsed.contains("t") || !parsed.contains("e"))
        throw std::invalid_argument(fmt::format("{}/{}:{}: not a record", folder, name, line_number));
      records.push_back(std::move(parsed));
    }
  }
  return records;
}

std::vector<std::string> run_scenario(const Scenario& scenario, const Programs& programs,
                                      const std::string& folder, int second_byte) {
  files::create_directories(folder);
  for (const auto& entry : files::directory_iterator(folder))
    throw std::invalid_argument("folder " + folder + " is not empty: it holds " +
                                entry.path().filename().string());
  write_rule_settings(scenario.rule_settings, folder);
  return ScenarioRunner(scenario, programs, folder, second_byte).run();
}

}  // namespace cressrill::rig
