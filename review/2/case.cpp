// Decode workers send interim responses (102) ahead of some answers, while a request waits there for long.
// Every answer begins with the id of its request, so that a client can tell whose answer it got.
#include "stand_in.h"

using namespace review;

namespace {

constexpr int kRequests = 800;
constexpr double kRequestIntervalMs = 80;
constexpr double kInterimIntervalMs = 140;
constexpr double kUsualWaitMs = 700;  // until the first token
constexpr double kLongWaitMs = 2600;  // the same for one request in kLongWaitEvery
constexpr int kLongWaitEvery = 6;

std::atomic<int> writes{0};

bool write_after_wait(Worker& worker, int fd, const Message& request, bool interim_responses) {
  const std::string id = request.field("x-call-id");
  if (!worker.held().take(id)) {
    worker.record().line("%s: %s has no state", worker.name().c_str(), id.c_str());
    return send_all(fd, simple_answer(410, "Gone", "X-Rejected: 1\r\n", ""));
  }
  const bool waits_long = writes++ % kLongWaitEvery == 0;
  const double first_token_at = now_ms() + (waits_long ? kLongWaitMs : kUsualWaitMs);
  int interim = 0;
  for (; interim_responses && waits_long && first_token_at - now_ms() > kInterimIntervalMs; ++interim) {
    sleep_ms(kInterimIntervalMs);
    if (!send_all(fd, "HTTP/1.1 102 Processing\r\n\r\n")) return false;
  }
  sleep_ms(std::max(0.0, first_token_at - now_ms()));
  if (interim > 0)
    worker.record().line("%s: %s, %d interim responses sent", worker.name().c_str(), id.c_str(), interim);
  return worker.write_stream(fd, id);
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
  for (Worker* writer : {&writer_a, &writer_b})
    writer->on_request = [&](Worker& worker, int fd, Reader&, const Message& request) {
      return write_after_wait(worker, fd, request, test.trouble);
    };
  for (Worker* worker : {&reader_a, &reader_b, &writer_a, &writer_b}) discovery.set(worker->target());

  Router router(record, test.folder, test.root, test.run_command);
  if (!router.start(discovery.port(), Settings{}, discovery.whole_list())) finish(record, router, 2);

  std::mutex mutex;
  int served = 0;
  int foreign = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    sleep_ms(kRequestIntervalMs);
    clients.emplace_back([&, i] {
      RequestOptions options;
      options.id = "call" + std::to_string(1000 + i);
      options.type = "seller-draft";
      options.budget_ms = 12'000;
      const Answer answer = call(record, router.port(), options);
      const std::lock_guard lock(mutex);
      if (answer.status != 200) return;
      ++served;
      const std::size_t from = answer.body.find('<');
      const std::size_t to = answer.body.find('>');
      const std::string answered = from == std::string::npos || to == std::string::npos
                                       ? ""
                                       : answer.body.substr(from + 1, to - from - 1);
      if (answered.empty() || answered == options.id) return;
      ++foreign;
      record.line("client: %s GOT THE ANSWER OF %s", options.id.c_str(), answered.c_str());
    });
  }
  for (std::thread& client : clients) client.join();
  record.line("served %d of %d, %d of them with another request's answer", served, kRequests, foreign);
  if (!router.running()) finish(record, router, 1);
  if (served == 0) finish(record, router, 2);
  finish(record, router, foreign > 0 ? 1 : 0);
}
