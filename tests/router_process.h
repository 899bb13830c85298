// The router's program as a process of its own on loopback, beside stand-ins of this process and on real time. Tests wait
// on what happens, for so long at most that only a program that hangs reaches it.
#pragma once

#include <signal.h>
#include <sys/stat.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>

#include "platform_fixture.h"
#include "rig/process.h"

namespace cressrill::testing {

class RouterProcess {
 public:
  RouterProcess()
      : prefill_worker(loop, "reader-0", true, kv_entries),
        decode_worker(loop, "writer-0", false, kv_entries),
        discovery(loop),
        config_path(fmt::format("/tmp/cressrill-program-{}-{}", ::getpid(), static_cast<const void*>(this))) {
    for (FakeWorker* w : {&prefill_worker, &decode_worker}) discovery.update(PlatformFixture::target(*w));
    {
      io::Listener port(loop, kAnyPort);
      address = port.address();
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
    std::remove(config_path.c_str()), std::remove(log_path().c_str());
  }
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  std::string log_path() const { return config_path + ".log"; }
  void write_config(const std::string& text) { std::ofstream(config_path) << text; }
  // log: where its standard error goes; its own log file where none is named.
  void start(const std::string& level = "warn", const std::string& log = "") {
    ::setenv("EDGE_CONFIG", config_path.c_str(), 1);
    process =
        rig::Process({ROUTER_PROGRAM, "--platform", "--log-level", level}, log.empty() ? log_path() : log);
  }
  bool run_until(const std::function<bool()>& done) {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l) -> io::Task<> {
      for (;;) co_await l.sleep_for(5 * kMs);
    }(loop));
    const io::Nanos last = loop.now() + 20 * io::kSecond;
    loop.run_until([&] { return done() || loop.now() > last; });
    return done();
  }
  std::string log_text() const {
    std::ifstream log(log_path());
    return std::string(std::istreambuf_iterator<char>(log), {});
  }
  // Asks once; status 0 where there was no answer.
  http::ExchangeResult send(const std::string& text) {
    http::ExchangeResult out;
    bool over = false;
    io::Scope scope(loop);
    scope.spawn(
        [](io::Loop& l, io::Address to, std::string t, http::ExchangeResult& o, bool& done) -> io::Task<> {
          o = co_await http::exchange(std::make_shared<http::Pool>(l, to), std::move(t));
          done = true;
        }(loop, address, text, out, over));
    run_until([&] { return over; });
    return out;
  }
  int up_status() { return send(http::format_request("GET", "/up", "h", "", "")).head.status; }
  bool wait_until_ready() {
    return run_until([&] { return up_status() == 200; });
  }

  io::Loop loop;
  KvEntries kv_entries;
  FakeWorker prefill_worker, decode_worker;
  FakeDiscovery discovery;
  io::Address address;
  json config;
  std::string config_path;
  rig::Process process;
};

}  // namespace cressrill::testing
