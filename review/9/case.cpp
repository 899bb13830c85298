// The discovery agent becomes slow: it answers each call 1.6 s late. Then a worker begins to drain.
#include "../6/stage.h"

using namespace stage;

namespace {

constexpr double kSlowMs = 1600;  // the pages: 2 s for a call that may wait, after its wait
constexpr double kToldAfterMs = 6000;
constexpr int kGraceMs = 500;
constexpr double kSlackMs = 50;
constexpr double kWatchMs = 15'000;  // after the drain

// Asks the agent as the router may: with a call that does not wait, and without giving it up.
void ask_agent(int port, double drained_at, std::atomic<double>& heard_after) {
  const int fd = connect_to(port);
  std::string buffer;
  if (fd < 0 || !send_all(fd, "GET /discovery/hosts HTTP/1.1\r\nHost: witness\r\n\r\n")) return;
  const Message answer = read_message(fd, buffer, now_ms() + 5000);
  if (answer.body.find("draining") != std::string::npos) heard_after = now_ms() - drained_at;
  note("witness: one call to the agent told of the drain %.0f ms after it", heard_after.load());
  ::close(fd);
}

int run() {
  auto& drained = *new Worker("s-reader-1", true);
  auto& other = *new Worker("s-reader-2", true);
  auto& writer = *new Worker("s-writer", false);
  static std::atomic<double> last_send{-1};  // first byte of the last request at the draining worker
  static std::atomic<int> late_sends{0};
  static std::atomic<double> drained_at{0};
  drained.answer = [](Worker& worker, int fd, const Message& message, int) {
    last_send = message.first_byte;
    late_sends += drained_at > 0 && message.first_byte > drained_at + kToldAfterMs + kGraceMs + kSlackMs;
    return worker.answer_soundly(fd, message);
  };
  auto& agent = *new Agent;
  for (Worker* worker : {&drained, &other, &writer}) {
    worker->start();
    agent.set(*worker, "up");
  }
  agent.start();
  Router router({.grace_ms = kGraceMs}, agent.port);
  router.start();
  if (!router.wait_until_up()) return verdict(kNotRun, "the router is not up");
  for (int i = 0; i < 10; ++i) ask(router.port, {.id = "a" + std::to_string(100 + i)});
  if (trouble()) {
    agent.slow_ms = kSlowMs;
    note("from now on the agent answers each call %.0f ms late", kSlowMs);
  }
  for (const double until = now_ms() + 5000; now_ms() < until; sleep_ms(50))
    ask(router.port, {.id = "w" + std::to_string(static_cast<int>(now_ms()))});
  agent.set(drained, "draining");
  drained_at = now_ms();
  std::atomic<double> heard_after{-1};
  std::thread witness([&] { ask_agent(agent.port, drained_at, heard_after); });
  int served = 0;
  int sent = 0;
  for (; now_ms() < drained_at + kWatchMs; sleep_ms(50), ++sent)
    served += ask(router.port, {.id = "b" + std::to_string(1000 + sent)}).status() == 200;
  witness.join();
  if (heard_after < 0) return verdict(kNotRun, "the agent could not be reached");
  char text[200];
  std::snprintf(text, sizeof text,
                "%d requests to a draining worker over %.2f s after discovery had it, the last %.2f s after",
                late_sends.load(), (kToldAfterMs + kGraceMs + kSlackMs) / 1000,
                (last_send - drained_at) / 1000);
  note("%d of %d requests served", served, sent);
  return verdict(late_sends > 0 ? kBroken : kHeld, text);
}

}  // namespace

int main() { std::_Exit(run()); }
