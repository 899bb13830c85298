// What only a process of its own can show: its start beside one that still ends, and a log that nobody can write.
#include <fcntl.h>

#include "router_process.h"

namespace cressrill::testing {

TEST_CASE("the program: an address that is still taken is waited for, and then served") {
  RouterProcess p;
  auto old_process = std::make_unique<io::Listener>(p.loop, p.address);
  p.start();
  CHECK(p.run_until([&] { return !p.process.running() || p.log_text().find("\n") != std::string::npos; }));
  REQUIRE(p.process.running());
  old_process.reset();
  REQUIRE(p.wait_until_ready());
  CHECK(p.send(PlatformFixture::request("a1")).head.status == 200);
}

TEST_CASE("the program: told to end while it waits for its address, it ends") {
  RouterProcess p;
  io::Listener old_process(p.loop, p.address);
  p.start();
  CHECK(p.run_until(
      [&] { return !p.process.running() || p.log_text().find("start waits") != std::string::npos; }));
  REQUIRE(p.process.running());
  p.process.terminate();
  CHECK(p.run_until([&] { return !p.process.running(); }));
  CHECK(p.process.status() == 0);
}

TEST_CASE("the program: a configuration that is being written as it starts is looked at again") {
  RouterProcess p;
  p.write_config(p.config.dump().substr(0, 200));
  p.start();
  CHECK(p.run_until([&] { return !p.process.running() || p.log_text().find("\n") != std::string::npos; }));
  REQUIRE(p.process.running());
  p.write_config(p.config.dump());
  REQUIRE(p.wait_until_ready());
}

TEST_CASE(
    "the program: a log that nobody reads, or whose reader has gone, or on a full disk, stops no service") {
  for (const char* log : {"nobody reads", "its reader has gone", "full disk"}) {
    CAPTURE(std::string(log));
    RouterProcess p;
    const std::string fifo = p.config_path + ".fifo";
    REQUIRE(::mkfifo(fifo.c_str(), 0600) == 0);
    int reader = ::open(fifo.c_str(), O_RDONLY | O_NONBLOCK);
    REQUIRE(reader >= 0);
    ::fcntl(reader, F_SETPIPE_SZ, 4096);
    const bool full_disk = std::string_view(log) == "full disk";
    p.start("debug", full_disk ? "/dev/full" : fifo);
    REQUIRE(p.wait_until_ready());
    if (std::string_view(log) == "its reader has gone") ::close(std::exchange(reader, -1));
    // Some lines a request: more than the pipe holds.
    for (int i = 0; i < 25; ++i) {
      CAPTURE(i);
      REQUIRE(p.send(PlatformFixture::request("a" + std::to_string(i))).head.status == 200);
    }
    CHECK(p.process.running());
    if (std::string_view(log) == "nobody reads") {
      std::string text;
      std::array<char, 64 * 1024> buffer;
      for (ssize_t n; (n = ::read(reader, buffer.data(), buffer.size())) > 0;)
        text.append(buffer.data(), static_cast<std::size_t>(n));
      REQUIRE(p.send(PlatformFixture::request("last")).head.status == 200);
      for (ssize_t n; (n = ::read(reader, buffer.data(), buffer.size())) > 0;)
        text.append(buffer.data(), static_cast<std::size_t>(n));
      CHECK(text.find("\"event\":\"log lines lost\"") != std::string::npos);
    }
    if (reader >= 0) ::close(reader);
    std::remove(fifo.c_str());
  }
}

}  // namespace cressrill::testing
