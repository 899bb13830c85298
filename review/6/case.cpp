// Readers send load reports that cannot be read, beside sound answers. Does the router's process stay up?
#include "stage.h"

using namespace stage;

namespace {

// The sizes of the deployments, which run side by side, each with a router of its own: 9 to 11 workers, as on the
// users' page. What the router does wrong depends on what lies in its memory, so that one alone says little.
struct Size {
  int readers;
  int writers;
};
constexpr Size kSizes[] = {{4, 5}, {4, 6}, {5, 4}, {5, 5}, {5, 6}, {6, 3},
                           {6, 4}, {6, 5}, {7, 2}, {7, 3}, {7, 4}, {3, 6}};
// They are played twice, with workers' ids of another length.
constexpr std::size_t kRounds = 2;
constexpr const char* kIdStarts[kRounds] = {"s", "s-5be2a07c-"};
constexpr int kRequests = 240;
constexpr int kSoundRequests = 60;    // sent before the first bad report
constexpr double kRequestGapMs = 25;  // 40 requests a second for each router
constexpr int kBadReportOneIn = 20;   // of the answers of the readers
constexpr const char* kSoundReport = "X-Load-Report: concurrent=2,x0=0.3\r\n";
constexpr const char* kBadReport = "X-Load-Report: concurrent=999999999999999999999999999999,x0=0.3\r\n";

struct Result {
  bool up{};
  std::string ended;  // how the router's process ended, if it did
  int served{};
  int other{};
  int unanswered{};
};

Result run_deployment(int number, const Size& size, const std::string& id_start) {
  auto& agent = *new Agent;
  auto& bad_reports = *new std::atomic<bool>{false};
  const std::string prefix = id_start + std::to_string(10 + number);
  for (int i = 0; i < size.readers + size.writers; ++i) {
    const bool reads = i < size.readers;
    auto& worker = *new Worker(prefix + (reads ? "-reader" : "-writer") + std::to_string(i), reads);
    if (reads)
      worker.answer = [&bad_reports](Worker& self, int fd, const Message&, int count) {
        sleep_ms(self.read_ms);
        const bool bad = bad_reports && count % kBadReportOneIn == 0;
        if (bad) note("%s sends a bad report", self.name.c_str());
        return send_all(fd, response(202, bad ? kBadReport : kSoundReport, "{\"cached_tokens\":0}"));
      };
    worker.start();
    agent.set(worker, "up");
  }
  agent.start();
  Router router({}, agent.port);
  router.start();
  Result result;
  result.up = router.wait_until_up();
  if (!result.up) return result;
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  std::atomic<int> unanswered{0};
  Clients clients;
  for (int i = 0; i < kRequests && router.runs(); ++i) {
    if (i == kSoundRequests && trouble()) bad_reports = true;
    clients.run([&, i] {
      const Message answer =
          ask(router.port, {.id = prefix + "r" + std::to_string(1000 + i), .prompt_bytes = 12'000});
      ++(answer.status() == 0 ? unanswered : answer.status() == 200 && answer.complete ? served : other);
    });
    sleep_ms(kRequestGapMs);
  }
  clients.wait();
  if (!router.runs()) result.ended = router.ended;
  result.served = served;
  result.other = other;
  result.unanswered = unanswered;
  note("deployment %d (%d readers, %d writers): served %d, other answers %d, unanswered %d, router %s",
       number, size.readers, size.writers, result.served, result.other, result.unanswered,
       result.ended.empty() ? "runs" : result.ended.c_str());
  return result;
}

int run() {
  constexpr std::size_t count = kRounds * std::size(kSizes);
  std::vector<Result> results(count);
  for (std::size_t round = 0; round < kRounds; ++round) {
    std::vector<std::thread> deployments;
    for (std::size_t i = 0; i < std::size(kSizes); ++i)
      deployments.emplace_back([&, i, number = round * std::size(kSizes) + i] {
        results[number] = run_deployment(static_cast<int>(number), kSizes[i], kIdStarts[round]);
      });
    for (std::thread& deployment : deployments) deployment.join();
  }
  int ended = 0;
  int unanswered = 0;
  int served = 0;
  std::string how;
  for (const Result& result : results) {
    if (!result.up) return verdict(kNotRun, "a router is not up");
    ended += !result.ended.empty();
    unanswered += result.unanswered;
    served += result.served;
    if (how.empty()) how = result.ended;
  }
  if (served == 0) return verdict(kNotRun, "nothing was served");
  const std::string text = std::to_string(ended) + " of " + std::to_string(count) + " routers ended" +
                           (how.empty() ? "" : " (" + how + ")") + ", " + std::to_string(unanswered) +
                           " requests unanswered";
  return verdict(ended > 0 ? kBroken : kHeld, text);
}

}  // namespace

int main() { std::_Exit(run()); }
