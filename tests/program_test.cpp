// Tests that need the router as a process: a start while another process still has its address, a
// configuration file that is still being written, and a log that cannot be written.
#include <fcntl.h>

#include "router_process.h"

namespace cressrill::testing {

TEST_CASE("the program: waits for an address that is still in use, and then serves") {
  RouterProcess router;
  auto old_listener = std::make_unique<io::Listener>(router.loop, router.address);
  router.start();
  CHECK(router.run_until(
      [&] { return !router.process.running() || router.log_text().find("\n") != std::string::npos; }));
  REQUIRE(router.process.running());
  old_listener.reset();
  REQUIRE(router.wait_until_ready());
  CHECK(router.send(PlatformFixture::request("a1")).head.status == 200);
}

TEST_CASE("the program: starts although its first sockets cannot be registered with epoll") {
  RouterProcess router;
  const std::string plan_path = router.config_path + ".plan";
  {
    rig::SharedFaultPlan plan(plan_path);
    rig::CallFault& fault = plan->of(rig::FaultyCall::epoll_add);
    fault.max_injected = 3;
    fault.error = ENOMEM;
    router.start_with_faults(plan);
    CHECK(router.run_until([&] { return !router.process.running() || router.up_status() == 200; }));
    CHECK(router.process.running());
    CHECK(plan.injected() == 3);
  }
  std::remove(plan_path.c_str());
}

TEST_CASE("the program: exits on SIGTERM while it waits for its address") {
  RouterProcess router;
  io::Listener old_listener(router.loop, router.address);
  router.start();
  CHECK(router.run_until([&] {
    return !router.process.running() || router.log_text().find("start waits") != std::string::npos;
  }));
  REQUIRE(router.process.running());
  router.process.terminate();
  CHECK(router.run_until([&] { return !router.process.running(); }));
  CHECK(router.process.status() == 0);
}

TEST_CASE("the program: reads a configuration again that was still being written at its start") {
  RouterProcess router;
  router.write_config(router.config.dump().substr(0, 200));
  router.start();
  CHECK(router.run_until(
      [&] { return !router.process.running() || router.log_text().find("\n") != std::string::npos; }));
  REQUIRE(router.process.running());
  router.write_config(router.config.dump());
  REQUIRE(router.wait_until_ready());
}

TEST_CASE(
    "the program: a log that nobody reads, whose reader has gone, or on a full disk does not stop service") {
  for (const char* log_kind : {"nobody reads", "its reader has gone", "full disk"}) {
    CAPTURE(std::string(log_kind));
    RouterProcess router;
    const std::string fifo = router.config_path + ".fifo";
    REQUIRE(::mkfifo(fifo.c_str(), 0600) == 0);
    int pipe_reader = ::open(fifo.c_str(), O_RDONLY | O_NONBLOCK);
    REQUIRE(pipe_reader >= 0);
    ::fcntl(pipe_reader, F_SETPIPE_SZ, 4096);
    const bool full_disk = std::string_view(log_kind) == "full disk";
    router.start("debug", full_disk ? "/dev/full" : fifo);
    REQUIRE(router.wait_until_ready());
    if (std::string_view(log_kind) == "its reader has gone") ::close(std::exchange(pipe_reader, -1));
    // Each request logs some lines: more in all than the pipe holds.
    for (int i = 0; i < 25; ++i) {
      CAPTURE(i);
      REQUIRE(router.send(PlatformFixture::request("a" + std::to_string(i))).head.status == 200);
    }
    CHECK(router.process.running());
    if (std::string_view(log_kind) == "nobody reads") {
      std::string text;
      std::array<char, 64 * 1024> buffer;
      for (ssize_t bytes; (bytes = ::read(pipe_reader, buffer.data(), buffer.size())) > 0;)
        text.append(buffer.data(), static_cast<std::size_t>(bytes));
      REQUIRE(router.send(PlatformFixture::request("last")).head.status == 200);
      for (ssize_t bytes; (bytes = ::read(pipe_reader, buffer.data(), buffer.size())) > 0;)
        text.append(buffer.data(), static_cast<std::size_t>(bytes));
      CHECK(text.find("\"event\":\"log lines lost\"") != std::string::npos);
    }
    if (pipe_reader >= 0) ::close(pipe_reader);
    std::remove(fifo.c_str());
  }
}

}  // namespace cressrill::testing
