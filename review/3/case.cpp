// A few bad clients each send one request of 60 MB: the line with the size of its first chunk never ends. The
// platform ends a router that uses more memory than its configuration permits. Usual clients send requests
// meanwhile.
#include <algorithm>

#include "stand_in.h"

using namespace review;

namespace {

constexpr int kBadClients = 5;
constexpr std::size_t kBadBytes = 60'000'000;
constexpr double kBadClientsAtMs = 2000;
constexpr double kBadClientMs = 6000;  // for its bytes and its answer
constexpr int kRequests = 100;
constexpr double kRequestIntervalMs = 80;
constexpr double kMemoryCheckMs = 10;

// Sends the request, as far as the router takes it.
void send_bad_request(Record& record, int router_port, int number) {
  RequestOptions options;
  options.id = "bad" + std::to_string(1000 + number);
  const std::string text = request_text(options);
  const int fd = connect_to(router_port);
  if (fd < 0) return;
  fcntl(fd, F_SETFL, O_NONBLOCK);
  std::string data = text.substr(0, text.find("Content-Length")) + "Transfer-Encoding: chunked\r\n\r\n1f;x=";
  data.append(1'000'000, 'x');
  const double end = now_ms() + kBadClientMs;
  std::size_t sent = 0;
  int status = 0;
  for (;;) {
    if (now_ms() >= end) break;
    if (sent >= kBadBytes) {
      Reader reader(fd);
      status = read_answer(reader, end).status;
      break;
    }
    const std::size_t from = sent < data.size() - 1'000'000 ? sent : data.size() - 1'000'000;
    const ssize_t n =
        ::send(fd, data.data() + from, std::min(data.size() - from, kBadBytes - sent), MSG_NOSIGNAL);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
    } else if (errno == EAGAIN) {
      sleep_ms(1);
    } else {
      break;
    }
  }
  ::close(fd);
  record.line("bad client %d: %zu MB sent, status %d", number, sent / 1'000'000, status);
}

}  // namespace

int main(int argc, char** argv) {
  const Case test = case_from(argc, argv);
  Record record(test.record_path);
  HeldStates held;
  Discovery discovery(record);
  Worker reader_a(record, held, "reader-a", true);
  Worker reader_b(record, held, "reader-b", true);
  Worker writer_a(record, held, "writer-a", false);
  Worker writer_b(record, held, "writer-b", false);
  for (Worker* worker : {&reader_a, &reader_b, &writer_a, &writer_b}) discovery.set(worker->target());

  Settings settings;
  settings.memory_mb = 192;
  settings.sockets = 1024;
  Router router(record, test.folder, test.root, test.run_command);
  if (!router.start(discovery.port(), settings, discovery.whole_list())) finish(record, router, 2);
  record.line("router: %.1f MB of %d MB in use when it is ready", router.memory_mb("RssAnon:"),
              settings.memory_mb);

  // The platform: a router over its limit on memory is killed.
  std::atomic<bool> killed{false};
  std::atomic<double> peak{0};
  std::atomic<bool> done{false};
  std::thread platform([&] {
    while (!done && !killed) {
      const double used = router.memory_mb("RssAnon:");
      peak = std::max(peak.load(), used);
      if (used > settings.memory_mb) {
        record.line("platform: the router uses %.1f MB of %d MB and is killed", used, settings.memory_mb);
        killed = true;
        router.signal(SIGKILL);
      }
      sleep_ms(kMemoryCheckMs);
    }
  });

  std::vector<std::thread> bad_clients;
  if (test.trouble)
    for (int i = 0; i < kBadClients; ++i)
      bad_clients.emplace_back([&, i] {
        sleep_ms(kBadClientsAtMs);
        send_bad_request(record, router.port(), i);
      });

  std::mutex mutex;
  int served = 0;
  int lost = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests && !killed; ++i) {
    sleep_ms(kRequestIntervalMs);
    clients.emplace_back([&, i] {
      RequestOptions options;
      options.id = "call" + std::to_string(1000 + i);
      const Answer answer = call(record, router.port(), options);
      const std::lock_guard lock(mutex);
      served += answer.status == 200 && answer.complete;
      lost += answer.closed && answer.sent_at > 0;
    });
  }
  for (std::thread& client : clients) client.join();
  for (std::thread& client : bad_clients) client.join();
  done = true;
  platform.join();
  record.line("served %d requests of usual clients, %d ended without an answer; peak %.1f MB of %d MB",
              served, lost, peak.load(), settings.memory_mb);
  if (killed || !router.running()) finish(record, router, 1);
  finish(record, router, served > 0 ? 0 : 2);
}
