// cressrill-engine: stand-in engines, any number in one process, each on an address of its own.
#include "command_line.h"
#include "io/signals.h"
#include "rig/discovery_stand_in.h"
#include "rig/fleet_file.h"

using namespace cressrill;

namespace {

// Injects a fault. The body of the request is {"engine": ..., "kind": ..., "size": ..., "for_ms": ...,
// "to": ...}; "size", "for_ms" and "to" may be left out.
io::Task<> handle_control_request(std::vector<std::unique_ptr<rig::Engine>>& engines, http::Request& request,
                                  http::ResponseWriter& response) {
  std::string error;
  try {
    const auto body = nlohmann::json::parse(request.body);
    const std::string name = body.at("engine");
    const rig::Fault fault{body.at("kind"), body.value("size", 0.0),
                           body.value("for_ms", std::int64_t{0}) * io::kMs, body.value("to", "")};
    bool found = false;
    for (auto& engine : engines)
      if (engine->config().name == name) {
        engine->apply(fault);
        found = true;
      }
    if (!found) error = "no engine is named '" + name + "'";
  } catch (const std::exception& e) {
    error = e.what();
  }
  co_await response.respond(error.empty() ? 200 : 400, "content-type: text/plain\r\n", error);
}

// Notifies the discovery stand-in that an engine started or stopped; the stand-in adds its delay itself.
io::Task<> notify_discovery(std::shared_ptr<http::Pool> pool, std::string discovery_address,
                            core::ListedWorker worker) {
  const std::string body = core::serialize_worker_list({0, false, {std::move(worker)}});
  co_await http::exchange(pool, http::format_request("POST", "/v1/workers", discovery_address, "", body));
}

// Runs the engines until a stop signal and returns the exit status. Empty addresses: no control server, no
// notices to discovery.
int run(const std::vector<rig::EngineConfig>& configs, const std::string& record_path,
        const std::string& control_address, const std::string& discovery_address) {
  io::Loop loop;
  rig::Recorder recorder(loop, record_path);
  std::vector<std::unique_ptr<rig::Engine>> engines;
  io::Scope scope(loop);
  std::shared_ptr<http::Pool> pool;
  if (!discovery_address.empty())
    pool = std::make_shared<http::Pool>(loop, *io::parse_address(discovery_address));
  for (const rig::EngineConfig& config : configs) {
    engines.push_back(std::make_unique<rig::Engine>(loop, config, recorder));
    rig::Engine* engine = engines.back().get();
    const auto notify = [&loop, &scope, pool, discovery_address, engine](bool up) {
      if (!pool) return;
      core::ListedWorker worker = rig::listed(*engine, up ? WorkerStatus::ready : WorkerStatus::gone);
      if (engine->started() > 0) worker.started_at = engine->started() + loop.wall_clock_offset();
      scope.spawn(notify_discovery(pool, discovery_address, std::move(worker)));
    };
    engine->on_change(notify);
    notify(true);
  }
  std::unique_ptr<http::Server> server;
  if (!control_address.empty())
    server = std::make_unique<http::Server>(loop, *io::parse_address(control_address),
                                            [&](http::Request& request, http::ResponseWriter& response) {
                                              return handle_control_request(engines, request, response);
                                            });
  std::cerr << "cressrill-engine: " << engines.size() << " engines\n";
  io::run_until_stop_signal(loop);
  return kSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in engines for tests of a router.", "cressrill-engine"};
  std::string path;
  std::string record_path;
  std::string control_address;
  std::string discovery_address;
  app.add_option("--config", path, "TOML file with [[engine]] tables")->required();
  app.add_option("--record", record_path,
                 "file to which records of the traffic are appended (default: none)");
  app.add_option("--control", control_address, "address that accepts faults to inject");
  app.add_option("--roster", discovery_address,
                 "address of the discovery stand-in that is notified of starts and stops");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors errors;
  const auto document = core::parse_toml_file(path, errors);
  std::vector<rig::EngineConfig> configs;
  if (document) {
    core::TomlTable root(*document, "", path, errors);
    configs = rig::read_engines(root);
    root.report_unknown_keys();
    for (const rig::EngineConfig& config : configs)
      if (!io::parse_address(config.address))
        root.add_error("engine", "'" + config.name + "' has no address and port");
  }
  for (const auto* address : {&control_address, &discovery_address})
    if (!address->empty() && !io::parse_address(*address))
      errors.push_back({"command line", 0, 0, "'" + *address + "' is not an address and port"});
  if (print_errors(errors)) return kUsageError;
  return run_guarded("cressrill-engine", [&] {
    return run(configs, record_path.empty() ? "/dev/null" : record_path, control_address, discovery_address);
  });
}
