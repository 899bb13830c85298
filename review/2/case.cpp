// Bad clients send most of a request of the permitted size, all at once, and stop. The platform ends a router
// that uses more memory than its configuration permits. Usual clients send requests meanwhile.
#include "stand_in.h"

using namespace review;

namespace {

constexpr int kBadClients = 300;
constexpr int kBadBodyTokens = 65'000;  // 260 KB; a body holds 256 KiB at most
constexpr std::size_t kUnsentBytes = 200;
constexpr double kBadClientsAtMs = 2000;
constexpr int kRequests = 100;
constexpr double kRequestIntervalMs = 80;
constexpr double kMemoryCheckMs = 10;

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
  settings.memory_mb = 80;
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
  std::atomic<int> bad_answers{0};
  if (test.trouble)
    for (int i = 0; i < kBadClients; ++i)
      bad_clients.emplace_back([&, i] {
        sleep_ms(kBadClientsAtMs);
        RequestOptions options;
        options.id = "bad" + std::to_string(1000 + i);
        options.prompt_tokens = kBadBodyTokens;
        const int fd = connect_to(router.port());
        if (fd < 0) return;
        Reader reader(fd);
        const std::string text = request_text(options);
        send_all(fd, text.substr(0, text.size() - kUnsentBytes));
        bad_answers += read_answer(reader, now_ms() + 4000).status > 0;
        ::close(fd);
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
  record.line(
      "served %d requests of usual clients, %d ended without an answer; peak %.1f MB of %d MB; bad clients "
      "with an answer: %d",
      served, lost, peak.load(), settings.memory_mb, bad_answers.load());
  if (killed || !router.running()) finish(record, router, 1);
  finish(record, router, served > 0 ? 0 : 2);
}
