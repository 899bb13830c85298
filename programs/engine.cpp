// cressrill-engine: stand-in engines, many in one process, each on an address of its own.
#include "command_line.h"
#include "io/signals.h"
#include "rig/fleet_file.h"
#include "rig/roster.h"

using namespace cressrill;

namespace {

// POST /fault {"engine": name, "kind": ..., "size": ..., "for_ms": ..., "to": ...}
io::Task<> control(std::vector<std::unique_ptr<rig::Engine>>& engines, http::Request& request,
                   http::ResponseWriter& answer) {
  std::string wrong;
  try {
    const auto body = nlohmann::json::parse(request.body);
    const std::string name = body.at("engine");
    const rig::Fault fault{body.at("kind"), body.value("size", 0.0),
                           body.value("for_ms", std::int64_t{0}) * io::kMs, body.value("to", "")};
    bool found = false;
    for (auto& e : engines)
      if (e->make().name == name) e->apply(fault), found = true;
    if (!found) wrong = "no engine is named '" + name + "'";
  } catch (const std::exception& e) {
    wrong = e.what();
  }
  co_await answer.respond(wrong.empty() ? 200 : 400, "content-type: text/plain\r\n", wrong);
}

// Tells the roster what starts and stops; the roster is late by itself.
io::Task<> tell_roster(std::shared_ptr<http::Pool> pool, std::string roster, core::ListedWorker worker) {
  const std::string body = core::serialize_worker_list({0, false, {std::move(worker)}});
  co_await http::exchange(pool, http::format_request("POST", "/v1/workers", roster, "", body));
}

int run(const std::vector<rig::EngineMake>& makes, const std::string& record_path,
        const std::string& control_at, const std::string& roster) {
  io::Loop loop;
  rig::Recorder record(loop, record_path);
  std::vector<std::unique_ptr<rig::Engine>> engines;
  io::Scope scope(loop);
  std::shared_ptr<http::Pool> pool;
  if (!roster.empty()) pool = std::make_shared<http::Pool>(loop, *io::parse_address(roster));
  for (const rig::EngineMake& m : makes) {
    engines.push_back(std::make_unique<rig::Engine>(loop, m, record));
    rig::Engine* e = engines.back().get();
    const auto tell = [&loop, &scope, pool, roster, e](bool up) {
      if (!pool) return;
      core::ListedWorker w = rig::listed(*e, up ? WorkerStatus::ready : WorkerStatus::gone);
      if (e->started() > 0) w.started_at = e->started() + loop.wall_clock_offset();
      scope.spawn(tell_roster(pool, roster, std::move(w)));
    };
    e->on_change(tell);
    tell(true);
  }
  std::unique_ptr<http::Server> server;
  if (!control_at.empty())
    server = std::make_unique<http::Server>(
        loop, *io::parse_address(control_at),
        [&](http::Request& rq, http::ResponseWriter& a) { return control(engines, rq, a); });
  std::cerr << "cressrill-engine: " << engines.size() << " engines\n";
  io::run_until_stop_signal(loop);
  return kFine;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in engines, for trying a router.", "cressrill-engine"};
  std::string file, record, control_at, roster;
  app.add_option("--config", file, "TOML file with [[engine]] tables")->required();
  app.add_option("--record", record, "file that what crossed the sockets is added to (default: none kept)");
  app.add_option("--control", control_at, "address that takes faults");
  app.add_option("--roster", roster, "address of the roster that is told what runs");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors faults;
  const auto text = core::parse_toml_file(file, faults);
  std::vector<rig::EngineMake> makes;
  if (text) {
    core::TomlTable root(*text, "", file, faults);
    makes = rig::read_engines(root);
    root.report_unknown_keys();
    for (const rig::EngineMake& m : makes)
      if (!io::parse_address(m.address)) root.add_error("engine", "'" + m.name + "' has no address and port");
  }
  for (const auto* a : {&control_at, &roster})
    if (!a->empty() && !io::parse_address(*a))
      faults.push_back({"command line", 0, 0, "'" + *a + "' is not an address and port"});
  if (print_faults(faults)) return kUsage;
  return guarded("cressrill-engine",
                 [&] { return run(makes, record.empty() ? "/dev/null" : record, control_at, roster); });
}
