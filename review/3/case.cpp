// A worker restarts and later drains; the router is told of both. Then a new configuration moves the router to
// another discovery agent, whose list is some seconds behind and shows the worker as it was before both.
#include "stand_in.h"

using namespace review;

namespace {

constexpr double kRestartAtMs = 1000;
constexpr double kDrainAtMs = 3000;
constexpr double kNewConfigurationAtMs = 4500;
constexpr double kCaughtUpAtMs = 7000;  // 2.5 s after SIGHUP: what discovery has counts as told after 4 s
constexpr double kEndAtMs = 9000;
constexpr double kRequestIntervalMs = 50;
constexpr double kGraceMs = 500 + 50;  // of the settings, and the addition of the protocol page

}  // namespace

int main(int argc, char** argv) {
  const Case test = case_from(argc, argv);
  Record record(test.record_path);
  HeldStates held;
  Discovery agent_1(record, 41);
  Discovery agent_2(record, 41);
  Worker reader_a(record, held, "reader-a", true);
  Worker reader_b(record, held, "reader-b", true);
  Worker writer_a(record, held, "writer-a", false);
  Worker writer_b(record, held, "writer-b", false);
  for (Worker* worker : {&reader_a, &reader_b, &writer_a, &writer_b}) {
    agent_1.set(worker->target());
    agent_2.set(worker->target());
  }
  std::atomic<double> drain_told_at{0};
  std::atomic<int> late_sends{0};
  std::atomic<int> sends{0};
  writer_a.on_request = [&](Worker& worker, int fd, Reader& reader, const Message& request) {
    ++sends;
    if (drain_told_at > 0 && now_ms() > drain_told_at + kGraceMs) {
      ++late_sends;
      record.line("writer-a: %s WAS SENT %.0f ms AFTER THE DRAIN WAS TOLD",
                  request.field("x-call-id").c_str(), now_ms() - drain_told_at);
    }
    return Worker::sound_write(worker, fd, reader, request);
  };

  Router router(record, test.folder, test.root, test.run_command);
  const Settings settings;
  if (!router.start(agent_1.port(), settings, agent_1.whole_list())) finish(record, router, 2);
  const double begin = now_ms();
  std::atomic<int> served{0};
  std::thread events([&] {
    const auto at = [&](double time) { sleep_ms(begin + time - now_ms()); };
    at(kRestartAtMs);
    const Target restarted = writer_a.target("up", unix_ms() - 200);
    Target draining = restarted;
    draining.state = "draining";
    agent_1.set(restarted);
    if (!test.trouble) agent_2.set(restarted);
    at(kDrainAtMs);
    agent_1.set(draining);
    if (!test.trouble) agent_2.set(draining);
    sleep_ms(100);  // the watch of the router is open, so the change has reached it
    drain_told_at = now_ms();
    at(kNewConfigurationAtMs);
    router.write_config(agent_2.port(), settings, agent_1.whole_list());
    record.line("platform: the configuration names the other agent; SIGHUP");
    router.signal(SIGHUP);
    at(kCaughtUpAtMs);
    if (test.trouble) {
      agent_2.set(restarted);
      agent_2.set(draining);
    }
  });
  std::vector<std::thread> clients;
  for (int i = 0; now_ms() < begin + kEndAtMs; ++i) {
    clients.emplace_back([&, i] {
      RequestOptions options;
      options.id = "call" + std::to_string(1000 + i);
      const Answer answer = call(record, router.port(), options);
      served += answer.status == 200 && answer.complete;
    });
    sleep_ms(kRequestIntervalMs);
  }
  for (std::thread& client : clients) client.join();
  events.join();
  record.line("served %d of %zu; %d requests sent to writer-a, %d of them after the grace of its drain",
              served.load(), clients.size(), sends.load(), late_sends.load());
  if (!router.running()) finish(record, router, 1);
  if (served == 0 || sends == 0) finish(record, router, 2);
  finish(record, router, late_sends > 0 ? 1 : 0);
}
