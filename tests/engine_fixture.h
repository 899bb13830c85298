// A whole path on loopback in one process and on handed time: engines, roster, one router, clients. What the ends
// noted is judged by the verdict, and can be printed as a short trace and compared with tests/traces/NAME.txt.
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
#include "rig/fleet_file.h"
#include "rig/roster.h"
#include "rig/verdict.h"
#include "router/instance.h"

namespace cressrill::testing {

using rig::Engine;
using rig::EngineMake;

// The text compared with the kept one; CRESSRILL_TRACES=write writes it anew.
inline void compare_trace(const std::string& name, const std::string& text) {
  const std::string path = std::string(TRACE_DIR) + "/" + name + ".txt";
  const char* mode = std::getenv("CRESSRILL_TRACES");
  if (mode != nullptr && std::string(mode) == "write") std::ofstream(path) << text;
  std::ostringstream kept;
  kept << std::ifstream(path).rdbuf();
  CHECK_MESSAGE(text == kept.str(), name << " now reads:\n" << text);
}

inline core::RouterConfig test_config(const std::string& roster, const std::string& more = "") {
  const std::string path = fmt::format("/tmp/cressrill-test-{}.toml", static_cast<const void*>(&roster));
  std::ofstream(path) << "[router]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nroster = \"" << roster << R"("
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
)" << more;
  core::ConfigErrors faults;
  const auto station = core::read_router_config(path, faults);
  std::remove(path.c_str());
  for (const auto& f : faults) FAIL_CHECK(f.to_string());
  return station.value();
}

class EngineFixture {
 public:
  explicit EngineFixture(int readers = 2, int writers = 2, const router::PolicyFactory& make = make_policy,
                         const std::function<void(EngineMake&)>& change = {})
      : recorder(loop),
        discovery(loop, kAnyPort, recorder),
        config(test_config(discovery.address().to_string())),
        log("r", "off") {
    for (int i = 0; i < readers + writers; ++i) {
      EngineMake m;
      m.name = i < readers ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - readers);
      m.kind = i < readers ? "prefill" : "decode";
      m.role = i < readers ? Role::prefill : Role::decode;
      m.address = "127.0.0.1:0", m.zone = "east", m.cell = "e1";
      m.read_per_s = 10'000, m.step_ms = 20, m.memory_tokens = 100'000;
      if (change) change(m);
      engines.push_back(std::make_unique<Engine>(loop, m, recorder));
      Engine* e = engines.back().get();
      discovery.change(rig::listed(*e, WorkerStatus::ready));
      e->on_change([this, e](bool up) {
        core::ListedWorker w = rig::listed(*e, up ? WorkerStatus::ready : WorkerStatus::gone);
        if (e->started() > 0) w.started_at = e->started() + loop.wall_clock_offset();
        discovery.change(w);
      });
    }
    run_pending();
    router = std::make_unique<router::Instance>(loop, config, log, 7, make);
    run_for(50);
    rule_book.drain_grace = config.drain_grace, rule_book.pin_limit = config.settings.kv_hold_limit;
    for (std::size_t i = 0; i < config.type_rules.size(); ++i) {
      const TrafficType& t = config.settings.types[i];
      rule_book.types[config.type_rules[i].name] = {t.effect, t.group, t.window, t.utility, 0.2};
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
      if (e->make().name == name) return *e;
    throw std::invalid_argument(name);
  }
  void run_for(std::int64_t ms) { testing::run_for(loop, ms); }
  void run_pending() { run_for(1); }
  // Runs until a line of that event was noted, count times in all.
  void run_until_recorded(const std::string& event, std::size_t count = 1) {
    const bool came = loop.run_until([&] {
      return static_cast<std::size_t>(std::ranges::count_if(
                 recorder.lines(), [&](const auto& l) { return l.value("e", "") == event; })) >= count;
    });
    CHECK_MESSAGE(came, "never noted: " << event);
  }

  rig::Question request(const std::string& name, int out = 4, const std::string& model = "m",
                        bool stream = true, int words = 200) {
    rig::Question q;
    q.sequence = name, q.id = name + ".0", q.router = "r", q.at = router->address(), q.stream = stream;
    q.type = model == "m" ? "plain" : model;
    if (model == "once") q.type = "once";
    if (model == "tokened") q.mark = "mark-" + name;
    q.abandon = 5'000 * io::kMs, q.slo = 1'500 * io::kMs;
    std::string text;
    for (int i = 0; i < words; ++i) text += "word ";
    q.body = nlohmann::json{{"model", model},
                            {"messages", {{{"role", "user"}, {"content", text}}}},
                            {"prompt_cache_key", name},
                            {"max_tokens", 400},
                            {"metadata", {{"out", std::to_string(out)}}},
                            {"stream", stream}}
                 .dump();
    return q;
  }
  // Asks and goes on; the answer stands in heard[sequence] once it came.
  void send(rig::Question q) {
    scope.spawn([](EngineFixture& w, rig::Question it) -> io::Task<> {
      const std::string name = it.sequence;
      w.responses[name] = co_await rig::ask(w.loop, w.recorder, std::move(it));
    }(*this, std::move(q)));
  }
  const rig::Heard& response(const std::string& sequence) {
    const bool came = loop.run_until([&] { return responses.contains(sequence); });
    CHECK_MESSAGE(came, "no answer to " << sequence);
    return responses[sequence];
  }
  rig::Verdict verdict() const { return rig::judge(recorder.lines(), rule_book); }
  void check_rules_hold() const {
    const rig::Verdict v = verdict();
    CHECK_MESSAGE(v.kept(), v.text());
  }
  int count_events(const std::string& event, const std::string& engine = "") const {
    return static_cast<int>(std::ranges::count_if(recorder.lines(), [&](const auto& l) {
      return l.value("e", "") == event && (engine.empty() || l.value("engine", "") == engine);
    }));
  }
  // What was noted since the start, a line each, with whole milliseconds.
  std::string trace() const {
    std::string out;
    for (const auto& l : recorder.lines()) {
      const std::string e = l.value("e", "");
      const io::Nanos t = l.at("t").template get<io::Nanos>();
      if (t < started_at || e == "told" || e == "up") continue;
      out += fmt::format("{:>5} ms: ", (t - started_at) / io::kMs);
      if (l.contains("engine")) out += l.value("engine", "") + " ";
      out += e;
      for (const char* key : {"id", "stage", "state", "how", "kind", "status", "tokens", "kept"})
        if (l.contains(key) && l[key] != "" && l[key] != 0)
          out += " " + (l[key].is_string() ? l.value(key, "") : l[key].dump());
      out += "\n";
    }
    return out;
  }

  io::Loop loop{io::Loop::Clock::simulated};
  rig::Recorder recorder;
  rig::Roster discovery;
  core::RouterConfig config;
  core::Log log;
  std::vector<std::unique_ptr<Engine>> engines;
  std::unique_ptr<router::Instance> router;
  rig::RuleBook rule_book;
  std::map<std::string, rig::Heard> responses;
  io::Nanos started_at{};
  io::Scope scope{loop};
};

}  // namespace cressrill::testing
