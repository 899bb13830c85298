// One stream of one decode worker comes spoilt: after its first event, a chunk that is said to have 3 GB and
// keeps coming. Usual clients send requests all the time; everything else is sound.
#include "stand_in.h"

using namespace review;

namespace {

constexpr int kRequests = 160;
constexpr double kRequestIntervalMs = 50;
constexpr int kBudgetMs = 3000;
constexpr double kLateMs = 500 + 50;  // later than this after its time, a request is lost
constexpr double kWaitMs = 12'000;    // a client's patience, in this test
constexpr int kSpoiltWrite = 30;      // the number of the stream that comes spoilt
constexpr unsigned kSpoiltChunkBytes = 3'000'000'000;

bool spoilt_stream(Worker& worker, int fd, Reader& reader, const std::string& id) {
  std::string filler;  // comment lines, as they keep a stream open
  while (filler.size() < 1'000'000) filler += ":\n\n";
  worker.record().line("%s: %s THE STREAM IS SPOILT", worker.name().c_str(), id.c_str());
  char size_line[32];
  std::snprintf(size_line, sizeof size_line, "%x\r\n", kSpoiltChunkBytes);
  bool sent = send_all(fd, stream_head() + content_event("<" + id + ">") + size_line);
  std::size_t bytes = 0;
  for (; sent && bytes + filler.size() < kSpoiltChunkBytes; bytes += filler.size())
    sent = send_all(fd, filler);
  worker.record().line("%s: %s, %zu MB of the chunk sent", worker.name().c_str(), id.c_str(),
                       bytes / 1'000'000);
  std::string rest;
  reader.line(rest, 1e12);  // the connection stays open until the router ends it
  return false;
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
  std::atomic<int> writes{0};
  std::mutex mutex;
  std::string spoilt_id;
  for (Worker* writer : {&writer_a, &writer_b})
    writer->on_request = [&](Worker& worker, int fd, Reader& reader, const Message& request) {
      const std::string id = request.field("x-call-id");
      if (!test.trouble || writes++ != kSpoiltWrite) return Worker::sound_write(worker, fd, reader, request);
      worker.held().take(id);
      {
        const std::lock_guard lock(mutex);
        spoilt_id = id;
      }
      return spoilt_stream(worker, fd, reader, id);
    };
  for (Worker* worker : {&reader_a, &reader_b, &writer_a, &writer_b}) discovery.set(worker->target());

  Router router(record, test.folder, test.root, test.run_command);
  if (!router.start(discovery.port(), Settings{}, discovery.whole_list())) finish(record, router, 2);

  int served = 0;
  int other_answers = 0;
  int late = 0;
  int unanswered = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      RequestOptions options;
      options.id = "call" + std::to_string(1000 + i);
      options.budget_ms = kBudgetMs;
      options.wait_ms = kWaitMs;
      const Answer answer = call(record, router.port(), options);
      const double took = answer.ended_at - answer.sent_at;
      const std::lock_guard lock(mutex);
      if (options.id == spoilt_id) return;  // this one has failed and is not lost
      if (answer.status == 0) {
        ++unanswered;
        record.line("client: %s NOT ANSWERED within %.0f ms", options.id.c_str(), took);
      } else if (took > kBudgetMs + kLateMs) {
        ++late;
        record.line("client: %s ANSWERED AFTER %.0f ms", options.id.c_str(), took);
      } else {
        answer.status == 200 && answer.complete ? ++served : ++other_answers;
      }
    });
    sleep_ms(kRequestIntervalMs);
  }
  for (std::thread& client : clients) client.join();
  record.line(
      "served %d of %d in time, %d other answers in time; %d answers over %.0f ms after the client's time, "
      "%d requests without any answer",
      served, kRequests, other_answers, late, kLateMs, unanswered);
  if (!router.running()) finish(record, router, 1);
  if (served == 0) finish(record, router, 2);
  finish(record, router, late + unanswered > 0 ? 1 : 0);
}
