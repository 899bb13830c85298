// A client sends many requests at once on one connection and closes it. Does the router begin attempts for it
// afterwards?
#include "../6/stage.h"

using namespace stage;

namespace {

constexpr int kMoreRequests = 300;
constexpr std::size_t kPromptBytes = 20'000;
constexpr double kReadMs = 600;       // a read's time at the reader
constexpr double kCloseAfterMs = 50;  // after the last byte that the client's machine took
constexpr double kAllowedMs = 100;
constexpr double kSlackMs = 50;
constexpr int kClients = 5;

// Sends as much as the client's machine takes at once, for up to that many requests, and closes the connection.
// Returns when it closed it, or -1.
double send_and_go(int port, const std::string& id) {
  const int fd = connect_to(port);
  if (fd < 0 || !send_all(fd, request_text({.id = id}))) return -1;
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  std::size_t bytes = 0;
  int requests = 0;
  for (; trouble() && requests < kMoreRequests; ++requests) {
    const std::string text =
        request_text({.id = id + "x" + std::to_string(100 + requests), .prompt_bytes = kPromptBytes});
    const ssize_t sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent > 0) bytes += static_cast<std::size_t>(sent);
    if (sent != static_cast<ssize_t>(text.size())) break;
  }
  sleep_ms(kCloseAfterMs);
  ::close(fd);
  const double closed_at = now_ms();
  note("client sent %s and %d more requests (%zu bytes), and closed its connection", id.c_str(), requests,
       bytes);
  return closed_at;
}

int run() {
  static std::mutex mutex;
  static std::map<std::string, std::vector<double>> begun;  // first bytes of attempts, by the client's id
  const auto answer = [](Worker& worker, int fd, const Message& message, int) {
    {
      const std::lock_guard lock(mutex);
      const std::string id = message.field("x-call-id");
      begun[id.substr(0, id.find('x'))].push_back(message.first_byte);
    }
    return worker.answer_soundly(fd, message);
  };
  auto& reader = *new Worker("s-reader", true);
  auto& writer = *new Worker("s-writer", false);
  reader.read_ms = kReadMs;
  auto& agent = *new Agent;
  for (Worker* worker : {&reader, &writer}) {
    worker->answer = answer;
    worker->start();
    agent.set(*worker, "up");
  }
  agent.start();
  Router router({}, agent.port);
  router.start();
  if (!router.wait_until_up()) return verdict(kNotRun, "the router is not up");
  int late = 0;
  int left = 0;
  double worst = 0;
  for (int i = 0; i < kClients; ++i) {
    const std::string id = "a" + std::to_string(100 + i);
    const double closed_at = send_and_go(router.port, id);
    if (closed_at < 0) return verdict(kNotRun, "the router cannot be reached");
    ++left;
    sleep_ms(4000);
    const std::lock_guard lock(mutex);
    for (const double first_byte : begun[id]) {
      if (first_byte <= closed_at + kAllowedMs + kSlackMs) continue;
      ++late;
      worst = std::max(worst, first_byte - closed_at);
      note("an attempt for %s began %.0f ms after the close", id.c_str(), first_byte - closed_at);
    }
  }
  if (!router.runs()) return verdict(kBroken, "the router " + router.ended);
  char text[200];
  std::snprintf(text, sizeof text,
                "%d attempts began over 0.1 s after the close, for %d clients that left; at most "
                "%.0f ms after",
                late, left, worst);
  return verdict(late > 0 ? kBroken : kHeld, text);
}

}  // namespace

int main() { std::_Exit(run()); }
