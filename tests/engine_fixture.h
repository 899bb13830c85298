// Test fixture for OpenAI-compatible engines: stand-in engines, a discovery stand-in, one router and clients
// in one process, over loopback and on simulated time. What engines and clients record is checked by the
// verdict, and can be printed as a short trace and compared with tests/traces/NAME.txt.
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

// A running router with its engines, discovery and clients. Members are public for tests to change.
class EngineFixture {
 public:
  // `adjust` is called with the options of each engine before it is created.
  explicit EngineFixture(int prefills = 2, int decodes = 2,
                         const router::PolicyFactory& policy_factory = make_policy,
                         const std::function<void(EngineConfig&)>& adjust = {})
      : recorder(loop),
        discovery(loop, kAnyPort, recorder),
        config(test_config(discovery.address().to_string())),
        log("r", "off") {
    for (int i = 0; i < prefills + decodes; ++i) {
      EngineConfig make;
      make.name = i < prefills ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - prefills);
      make.kind = i < prefills ? "prefill" : "decode";
      make.role = i < prefills ? Role::prefill : Role::decode;
      make.address = "127.0.0.1:0";
      make.zone = "east";
      make.cell = "e1";
      make.read_per_s = 10'000;
      make.step_ms = 20;
      make.memory_tokens = 100'000;
      if (adjust) adjust(make);
      engines.push_back(std::make_unique<Engine>(loop, make, recorder));
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
    rule_book.drain_grace = config.drain_grace;
    rule_book.pin_limit = config.settings.kv_hold_limit;
    for (std::size_t i = 0; i < config.type_rules.size(); ++i) {
      const TrafficType& type = config.settings.types[i];
      rule_book.types[config.type_rules[i].name] = {type.effect, type.group, type.window, type.utility, 0.2};
    }
    started_at = loop.now();
  }
  ~EngineFixture() {
    scope.cancel();
    router.reset();
    engines.clear();
  }

  Engine& engine(const std::string& name) {
    for (auto& e : engines)
      if (e->config().name == name) return *e;
    throw std::invalid_argument(name);
  }
  void run_for(std::int64_t ms) { testing::run_for(loop, ms); }
  // Runs long enough for events that are due now.
  void run_pending() { run_for(1); }
  // Runs until that event has been recorded `count` times in all.
  void run_until_recorded(const std::string& event, std::size_t count = 1) {
    const bool recorded = loop.run_until([&] {
      return static_cast<std::size_t>(std::ranges::count_if(
                 recorder.lines(), [&](const auto& line) { return line.value("e", "") == event; })) >= count;
    });
    CHECK_MESSAGE(recorded, "event never recorded: " << event);
  }

  // A client request with that name as its id, session and token; `out` is the number of tokens that it
  // generates.
  rig::ClientRequest request(const std::string& name, int out = 4, const std::string& model = "m",
                             bool stream = true, int words = 200) {
    rig::ClientRequest question;
    question.sequence = name;
    question.id = name + ".0";
    question.router = "r";
    question.address = router->address();
    question.stream = stream;
    question.type = model == "m" ? "plain" : model;
    if (model == "once") question.type = "once";
    if (model == "tokened") question.idempotency_key = "mark-" + name;
    question.time_limit = 5'000 * io::kMs;
    question.slo = 1'500 * io::kMs;
    std::string text;
    for (int i = 0; i < words; ++i) text += "word ";
    question.body = nlohmann::json{{"model", model},
                                   {"messages", {{{"role", "user"}, {"content", text}}}},
                                   {"prompt_cache_key", name},
                                   {"max_tokens", 400},
                                   {"metadata", {{"out", std::to_string(out)}}},
                                   {"stream", stream}}
                        .dump();
    return question;
  }
  // Sends a request and returns at once; its response is put into responses[name].
  void send(rig::ClientRequest question) {
    scope.spawn([](EngineFixture& fixture, rig::ClientRequest sent) -> io::Task<> {
      const std::string name = sent.sequence;
      fixture.responses[name] = co_await rig::send_request(fixture.loop, fixture.recorder, std::move(sent));
    }(*this, std::move(question)));
  }
  // Runs until that request has been answered.
  const rig::ClientResult& response(const std::string& name) {
    const bool received = loop.run_until([&] { return responses.contains(name); });
    CHECK_MESSAGE(received, "no response for " << name);
    return responses[name];
  }
  rig::Verdict verdict() const { return rig::check_rules(recorder.lines(), rule_book); }
  void check_rules_hold() const {
    const rig::Verdict result = verdict();
    CHECK_MESSAGE(result.passed(), result.text());
  }
  int count_events(const std::string& event, const std::string& engine = "") const {
    return static_cast<int>(std::ranges::count_if(recorder.lines(), [&](const auto& line) {
      return line.value("e", "") == event && (engine.empty() || line.value("engine", "") == engine);
    }));
  }
  // The events recorded since the fixture was ready, one a line, with their time in whole milliseconds.
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
  rig::RuleSettings rule_book;
  std::map<std::string, rig::ClientResult> responses;
  io::Nanos started_at{};
  io::Scope scope{loop};
};

}  // namespace cressrill::testing
