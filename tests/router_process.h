// Test fixture that runs the router program as a child process over loopback, in real time, with fake workers
// and a fake discovery agent in the test's own process. Tests wait for conditions, with a timeout that only a
// hung program reaches.
#pragma once

#include <signal.h>
#include <sys/stat.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>

#include "platform_fixture.h"
#include "rig/process.h"
#include "rig/shared_fault_plan.h"

namespace cressrill::testing {

// The router program with one prefill and one decode worker. Each object uses files of its own under /tmp.
class RouterProcess {
 public:
  RouterProcess()
      : prefill_worker(loop, "reader-0", true, kv_entries),
        decode_worker(loop, "writer-0", false, kv_entries),
        discovery(loop),
        config_path(fmt::format("/tmp/cressrill-program-{}-{}", ::getpid(), static_cast<const void*>(this))) {
    for (FakeWorker* worker : {&prefill_worker, &decode_worker})
      discovery.update(PlatformFixture::target(*worker));
    {
      io::Listener free_port(loop, kAnyPort);
      address = free_port.address();
    }
    config = {{"name", "n0"},
              {"listen", address.to_string()},
              {"discovery", discovery.address().to_string()},
              {"seed", "1"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
              {"settings", test_settings()}};
    write_config(config.dump());
  }
  ~RouterProcess() {
    process.kill();
    std::remove(config_path.c_str());
    std::remove(log_path().c_str());
  }
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  std::string log_path() const { return config_path + ".log"; }
  void write_config(const std::string& text) { std::ofstream(config_path) << text; }
  // Starts the program; its standard error goes to the file `log`, or to log_path() if that is empty.
  void start(const std::string& log_level = "warn", const std::string& log = "") {
    ::setenv("EDGE_CONFIG", config_path.c_str(), 1);
    process = rig::Process({ROUTER_PROGRAM, "--platform", "--log-level", log_level},
                           log.empty() ? log_path() : log);
  }
  // Starts the program with the fault shim, which follows the plan.
  void start_with_faults(const rig::SharedFaultPlan& plan) {
    const std::pair<const char*, const char*> variables[] = {{"LD_PRELOAD", FAULT_SHIM},
                                                             {"ASAN_OPTIONS", "verify_asan_link_order=0"},
                                                             {rig::kFaultPlanVariable, plan.path().c_str()}};
    for (const auto& [name, value] : variables) ::setenv(name, value, 1);
    start();
    for (const auto& [name, value] : variables) ::unsetenv(name);
  }
  // Runs until `done` holds, for at most 20 s; returns whether it holds.
  bool run_until(const std::function<bool()>& done) {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& event_loop) -> io::Task<> {
      for (;;) co_await event_loop.sleep_for(5 * kMs);
    }(loop));
    const io::Nanos deadline = loop.now() + 20 * io::kSecond;
    loop.run_until([&] { return done() || loop.now() > deadline; });
    return done();
  }
  std::string log_text() const {
    std::ifstream log(log_path());
    return std::string(std::istreambuf_iterator<char>(log), {});
  }
  // Sends one request on a new connection. The status of the result is 0 if there was no response.
  http::ExchangeResult send(const std::string& text) {
    http::ExchangeResult result;
    bool finished = false;
    io::Scope scope(loop);
    scope.spawn([](io::Loop& event_loop, io::Address server, std::string request,
                   http::ExchangeResult& response, bool& done) -> io::Task<> {
      response =
          co_await http::exchange(std::make_shared<http::Pool>(event_loop, server), std::move(request));
      done = true;
    }(loop, address, text, result, finished));
    run_until([&] { return finished; });
    return result;
  }
  // Status of GET /up; 0 if there was no response.
  int up_status() { return send(http::format_request("GET", "/up", "h", "", "")).head.status; }
  bool wait_until_ready() {
    return run_until([&] { return up_status() == 200; });
  }

  io::Loop loop;
  KvEntries kv_entries;
  FakeWorker prefill_worker;
  FakeWorker decode_worker;
  FakeDiscovery discovery;
  io::Address address;
  json config;
  std::string config_path;
  rig::Process process;
};

}  // namespace cressrill::testing
