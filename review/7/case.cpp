// Readers send spoilt answers that never end. What does the router's process keep of them, beside the limit that its
// configuration states?
#include "../6/stage.h"

using namespace stage;

namespace {

constexpr int kMemoryMb = 64;  // the pages: 32 to 192 MB
constexpr int kSockets = 512;  // the pages: 256 to 1,024
constexpr int kWorkersOfARole = 4;
constexpr int kRequestsPerSecond = 40;
constexpr int kSeconds = 10;
constexpr int kSpoiltOneIn = 3;
constexpr double kSpoiltBytesPerMs = 18'000;

// Private memory of a process in MB; file pages are left out.
double private_memory_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("RssAnon:")) return std::atof(line.c_str() + 8) / 1024;
  return -1;
}

// An answer with one chunk that is said to have 3 GB and keeps coming, until the router gives it up.
bool answer_without_end(Worker& worker, int fd, const Message& message) {
  sleep_ms(worker.read_ms);
  send_all(fd, "HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\nc0000000\r\n");
  const std::string noise(32 * 1024, '#');
  const double start = now_ms();
  double sent = 0;
  while (send_all(fd, noise)) {
    sent += static_cast<double>(noise.size());
    sleep_ms(start + sent / kSpoiltBytesPerMs - now_ms());
  }
  note("%s: the spoilt answer to %s was given up after %.1f MB and %.0f ms", worker.name.c_str(),
       message.field("x-call-id").c_str(), sent / 1e6, now_ms() - start);
  return false;
}

int run() {
  auto& agent = *new Agent;
  for (int i = 0; i < 2 * kWorkersOfARole; ++i) {
    const bool reads = i < kWorkersOfARole;
    auto& worker = *new Worker((reads ? "s-reader" : "s-writer") + std::to_string(i), reads);
    if (reads && trouble())
      worker.answer = [](Worker& self, int fd, const Message& message, int number) {
        return number % kSpoiltOneIn == 0 ? answer_without_end(self, fd, message)
                                          : self.answer_soundly(fd, message);
      };
    worker.start();
    agent.set(worker, "up");
  }
  agent.start();
  Router router({.memory_mb = kMemoryMb, .sockets = kSockets}, agent.port);
  router.start();
  if (!router.wait_until_up()) return verdict(kNotRun, "the router is not up");
  note("private memory at the start: %.1f MB", private_memory_mb(router.pid));

  std::atomic<bool> over{false};
  std::atomic<double> peak{0};
  std::atomic<bool> done{false};
  const pid_t pid = router.pid;
  // The platform: over its limit the router is killed.
  std::thread platform([&] {
    for (; !done && !over; sleep_ms(2)) {
      const double memory = private_memory_mb(pid);
      peak = std::max(peak.load(), memory);
      if (memory <= kMemoryMb) continue;
      over = true;
      note("platform: the router holds %.1f MB, its limit is %d MB: killed", memory, kMemoryMb);
      ::kill(pid, SIGKILL);
    }
  });
  std::atomic<int> served{0};
  std::atomic<int> answered{0};
  std::atomic<int> unanswered{0};
  Clients clients;
  for (int i = 0; i < kRequestsPerSecond * kSeconds && !over; ++i) {
    clients.run([&, i] {
      const Message answer = ask(router.port, {.id = "a" + std::to_string(1000 + i)});
      if (answer.status() == 0)
        ++unanswered;
      else
        ++answered;
      served += answer.status() == 200 && answer.complete;
    });
    sleep_ms(1000.0 / kRequestsPerSecond);
  }
  clients.wait();
  done = true;
  platform.join();
  const bool ended = !router.runs();
  note("served %d, answered %d, unanswered %d, highest private memory %.1f MB", served.load(),
       answered.load(), unanswered.load(), peak.load());
  char text[200];
  std::snprintf(text, sizeof text,
                "private memory rose to %.1f MB, the limit is %d MB; %d requests unanswered", peak.load(),
                kMemoryMb, unanswered.load());
  return verdict(over || ended ? kBroken : kHeld, text);
}

}  // namespace

int main() { std::_Exit(run()); }
