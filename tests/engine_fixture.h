// Test fixture for OpenAI-compatible engines: stand-in engines, a discovery stand-in, one router and clients
// in one process, over loopback and on simulated time. rig::check_rules() checks what engines and clients
// record, which can also be printed as a short trace and compared with tests/traces/NAME.txt.
#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#include "loopback.h"
#include "rig/client.h"
#include "rig/discovery_stand_in.h"
#include "rig/fleet_file.h"
#include "rig/verdict.h"
#include "router/instance.h"

namespace cressrill::testing {

using rig::Engine;
using rig::EngineConfig;

// Compares a trace with the expected one in tests/traces/; CRESSRILL_TRACES=write overwrites the expected one
// first.
inline void compare_trace(const std::string& name, const std::string& text) {
  const std::string path = std::string(TRACE_DIR) + "/" + name + ".txt";
  const char* mode = std::getenv("CRESSRILL_TRACES");
  if (mode != nullptr && std::string(mode) == "write") std::ofstream(path) << text;
  std::ostringstream expected;
  expected << std::ifstream(path).rdbuf();
  CHECK_MESSAGE(text == expected.str(), name << " now reads:\n" << text);
}

// The configuration of the tests, with `extra` appended to its text; read from a file that is removed again.
inline core::RouterConfig test_config(const std::string& discovery_address, const std::string& extra = "") {
  const std::string path =
      fmt::format("/tmp/cressrill-test-{}.toml", static_cast<const void*>(&discovery_address));
  std::ofstream(path) << "[router]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nroster = \"" << discovery_address
                      << R"("
zone = "east"
zones = ["east", "west"]
routers = 1
tick_ms = 2
log_level = "off"
[bounds]
body_bytes = 20000
head_bytes = 2000
[rules]
drain_grace_ms = 500
attempts = 6
pin_limit_ms = 1000
cold_from = 0.25
ramp_ms = 8000
fall_multiple = 3
fall_ms = 2000
[[kind]]
name = "prefill"
role = "reader"
memory_tokens = 100000
[[kind]]
name = "decode"
role = "writer"
memory_tokens = 100000
[[traffic_type]]
name = "plain"
models = ["m"]
effect = "repeatable"
slo_ms = 1500
abandon_ms = 6000
[[traffic_type]]
name = "tokened"
models = ["tokened"]
effect = "tokened"
window_ms = 5000
slo_ms = 1500
abandon_ms = 6000
[[traffic_type]]
name = "once"
models = ["once"]
effect = "once-only"
slo_ms = 1500
abandon_ms = 6000
)" << extra;
  core::ConfigErrors errors;
  const auto config = core::read_router_config(path, errors);
  std::remove(path.c_str());
  for (const auto& error : errors) FAIL_CHECK(error.to_string());
  return config.value();
}

// A running router with its engines, discovery and clients. Prefill engines are named reader-0, reader-1 and
// so on, decode engines writer-0 and so on. Members are public for tests to change.
class EngineFixture {
 public:
  // `adjust` is called with the configuration of each engine before the engine is created.
  explicit EngineFixture(int prefills = 2, int decodes = 2,
                         const router::PolicyFactory& policy_factory = make_policy,
                         const std::function<void(EngineConfig&)>& adjust = {})
      : recorder(loop),
        discovery(loop, kAnyPort, recorder),
        config(test_config(discovery.address().to_string())),
        log("r", "off") {
    for (int i = 0; i < prefills + decodes; ++i) {
      EngineConfig engine_config;
      engine_config.name =
          i < prefills ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - prefills);
      engine_config.kind = i < prefills ? "prefill" : "decode";
      engine_config.role = i < prefills ? Role::prefill : Role::decode;
      engine_config.address = "127.0.0.1:0";
      engine_config.zone = "east";
      engine_config.cell = "e1";
      engine_config.read_per_s = 10'000;
      engine_config.step_ms = 20;
      engine_config.memory_tokens = 100'000;
      if (adjust) adjust(engine_config);
      engines.push_back(std::make_unique<Engine>(loop, engine_config, recorder));
      Engine* engine = engines.back().get();
      discovery.publish_change(rig::listed(*engine, WorkerStatus::ready));
      engine->on_change([this, engine](bool up) {
        core::ListedWorker listed = rig::listed(*engine, up ? WorkerStatus::ready : WorkerStatus::gone);
        if (engine->started() > 0) listed.started_at = engine->started() + loop.wall_clock_offset();
        discovery.publish_change(listed);
      });
    }
    run_pending();
    router = std::make_unique<router::Instance>(loop, config, log, 7, policy_factory);
    run_for(50);
    rule_settings.drain_grace = config.drain_grace;
    rule_settings.pin_limit = config.settings.kv_hold_limit;
    for (std::size_t i = 0; i < config.type_rules.size(); ++i) {
      const TrafficType& type = config.settings.types[i];
      rule_settings.types[config.type_rules[i].name] = {type.effect, type.group, type.window, type.utility,
                                                        0.2};
    }
    started_at = loop.now();
  }
  ~EngineFixture() {
    scope.cancel();
    router.reset();
    engines.clear();
  }

  Engine& engine(const std::string& name) {
    for (auto& candidate : engines)
      if (candidate->config().name == name) return *candidate;
    throw std::invalid_argument(name);
  }
  void run_for(std::int64_t ms) { testing::run_for(loop, ms); }
  // Runs long enough for events that are due now.
  void run_pending() { run_for(1); }
  // Runs until that event has been recorded `count` times, including those recorded before the call.
  void run_until_recorded(const std::string& event, std::size_t count = 1) {
    const bool recorded = loop.run_until([&] {
      return static_cast<std::size_t>(std::ranges::count_if(
                 recorder.lines(), [&](const auto& line) { return line.value("e", "") == event; })) >= count;
    });
    CHECK_MESSAGE(recorded, "event never recorded: " << event);
  }

  // A client request whose sequence, session and idempotency key are derived from `name`. The engine
  // generates `output_tokens` tokens in response.
  rig::ClientRequest request(const std::string& name, int output_tokens = 4, const std::string& model = "m",
                             bool stream = true, int prompt_words = 200) {
    rig::ClientRequest client_request;
    client_request.sequence = name;
    client_request.id = name + ".0";
    client_request.router = "r";
    client_request.address = router->address();
    client_request.stream = stream;
    client_request.type = model == "m" ? "plain" : model;
    if (model == "once") client_request.type = "once";
    if (model == "tokened") client_request.idempotency_key = "mark-" + name;
    client_request.time_limit = 5'000 * io::kMs;
    client_request.slo = 1'500 * io::kMs;
    std::string text;
    for (int i = 0; i < prompt_words; ++i) text += "word ";
    client_request.body = nlohmann::json{
        {"model", model},
        {"messages", {{{"role", "user"}, {"content", text}}}},
        {"prompt_cache_key", name},
        {"max_tokens", 400},
        {"metadata", {{"out", std::to_string(output_tokens)}}},
        {"stream", stream}}.dump();
    return client_request;
  }
  // Sends a request and returns at once. Its result is stored in `responses` under its sequence.
  void send(rig::ClientRequest client_request) {
    scope.spawn([](EngineFixture& fixture, rig::ClientRequest sent_request) -> io::Task<> {
      const std::string name = sent_request.sequence;
      fixture.responses[name] =
          co_await rig::send_request(fixture.loop, fixture.recorder, std::move(sent_request));
    }(*this, std::move(client_request)));
  }
  // Runs until the response to that request has ended, and returns its result.
  const rig::ClientResult& response(const std::string& name) {
    const bool received = loop.run_until([&] { return responses.contains(name); });
    CHECK_MESSAGE(received, "no response for " << name);
    return responses[name];
  }
  // Checks the five rules on everything recorded so far.
  rig::Verdict verdict() const { return rig::check_rules(recorder.lines(), rule_settings); }
  void check_rules_hold() const {
    const rig::Verdict result = verdict();
    CHECK_MESSAGE(result.passed(), result.report());
  }
  // The number of events of that kind recorded so far, at that engine or, if it is empty, anywhere.
  int count_events(const std::string& event, const std::string& engine = "") const {
    return static_cast<int>(std::ranges::count_if(recorder.lines(), [&](const auto& line) {
      return line.value("e", "") == event && (engine.empty() || line.value("engine", "") == engine);
    }));
  }
  // The events recorded since the fixture was ready, one per line, with their time in whole milliseconds.
  std::string trace() const {
    std::string out;
    for (const auto& line : recorder.lines()) {
      const std::string event = line.value("e", "");
      const io::Nanos at = line.at("t").template get<io::Nanos>();
      if (at < started_at || event == "told" || event == "up") continue;
      out += fmt::format("{:>5} ms: ", (at - started_at) / io::kMs);
      if (line.contains("engine")) out += line.value("engine", "") + " ";
      out += event;
      for (const char* key : {"id", "stage", "state", "how", "kind", "status", "tokens", "kept"})
        if (line.contains(key) && line[key] != "" && line[key] != 0)
          out += " " + (line[key].is_string() ? line.value(key, "") : line[key].dump());
      out += "\n";
    }
    return out;
  }

  io::Loop loop{io::Loop::Clock::simulated};
  rig::Recorder recorder;
  rig::DiscoveryStandIn discovery;
  core::RouterConfig config;
  core::Log log;
  std::vector<std::unique_ptr<Engine>> engines;
  std::unique_ptr<router::Instance> router;
  rig::RuleSettings rule_settings;
  std::map<std::string, rig::ClientResult> responses;
  io::Nanos started_at{};
  io::Scope scope{loop};
};

}  // namespace cressrill::testing
