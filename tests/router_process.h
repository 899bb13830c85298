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

class Program {
 public:
  Program()
      : reader(loop, "reader-0", true, states),
        writer(loop, "writer-0", false, states),
        agent(loop),
        path(fmt::format("/tmp/cressrill-program-{}-{}", ::getpid(), static_cast<const void*>(this))) {
    for (Worker* w : {&reader, &writer}) agent.put(Site::target(*w));
    {
      io::Listener port(loop, kAnyPort);
      address = port.address();
    }
    config = {{"name", "n0"},
              {"listen", address.text()},
              {"discovery", agent.address().text()},
              {"seed", "1"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
              {"settings", small_settings()}};
    write_config(config.dump());
  }
  ~Program() {
    process.kill();
    std::remove(path.c_str()), std::remove(log_path().c_str());
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  std::string log_path() const { return path + ".log"; }
  void write_config(const std::string& text) { std::ofstream(path) << text; }
  // log: where its standard error goes; its own log file where none is named.
  void start(const std::string& level = "warn", const std::string& log = "") {
    ::setenv("EDGE_CONFIG", path.c_str(), 1);
    process =
        rig::Process({ROUTER_PROGRAM, "--platform", "--log-level", level}, log.empty() ? log_path() : log);
  }
  bool until(const std::function<bool()>& done) {
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
  http::Exchange ask(const std::string& text) {
    http::Exchange out;
    bool over = false;
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l, io::Address to, std::string t, http::Exchange& o, bool& done) -> io::Task<> {
      o = co_await http::exchange(std::make_shared<http::Pool>(l, to), std::move(t));
      done = true;
    }(loop, address, text, out, over));
    until([&] { return over; });
    return out;
  }
  int up() { return ask(http::request_text("GET", "/up", "h", "", "")).head.status; }
  bool ready() {
    return until([&] { return up() == 200; });
  }

  io::Loop loop;
  States states;
  Worker reader, writer;
  Agent agent;
  io::Address address;
  json config;
  std::string path;
  rig::Process process;
};

}  // namespace cressrill::testing
