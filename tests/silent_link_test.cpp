// Held KV cache while links are silent: connections stay open, new ones are accepted, and nothing that is written arrives.
// Whatever is out on such a link, what a read left behind has to be taken or released within the limit (issue 37).
#include "site.h"

namespace cressrill::testing {

namespace {

constexpr io::Nanos kSlack = 300 * kMs;  // that the rule allows past the limit

// Notes for how long each request's KV cache is held at a worker.
class HoldWatch {
 public:
  explicit HoldWatch(Site& site) : site_(site), scope_(site.loop) { scope_.spawn(watch()); }
  io::Nanos longest() const { return longest_; }

 private:
  io::Task<> watch() {
    for (;;) {
      const io::Nanos now = site_.loop.now();
      std::erase_if(since_, [&](const auto& entry) { return !site_.states.contains(entry.first); });
      for (const auto& [id, worker] : site_.states) {
        const io::Nanos since = since_.try_emplace(id, now).first->second;
        longest_ = std::max(longest_, now - since);
      }
      co_await site_.loop.sleep_for(5 * kMs);
    }
  }
  Site& site_;
  std::map<std::string, io::Nanos> since_;
  io::Nanos longest_{};
  io::Scope scope_;
};

json with_limit(int pin_limit_ms, bool parallel_tries = true, bool cancelling = true, bool holds = false) {
  json out = small_settings();
  out["familyInfo"]["pinLimitMs"] = pin_limit_ms;
  out["familyInfo"]["holdsAllowed"] = holds;
  out["caps"]["parallelTries"] = parallel_tries;
  out["caps"]["cancelling"] = cancelling;
  return out;
}

// Connections to all workers are made and kept.
void warm(Site& s, int requests = 6) {
  for (int i = 0; i < requests; ++i) s.send("warm" + std::to_string(i), Site::call("w" + std::to_string(i)));
  for (int i = 0; i < requests; ++i) REQUIRE(s.answer("warm" + std::to_string(i)).status == 200);
  s.pass(100);
}

void cut_writers(Site& s) {
  for (auto& w : s.workers) w->cut = !w->reads;
}

// Sends so many requests, 20 ms apart.
void send_some(Site& s, int requests, const std::string& budget, io::Nanos leave = 0) {
  for (int i = 0; i < requests; ++i) {
    s.send("a" + std::to_string(i), Site::call("a" + std::to_string(i), Site::prompt(), budget), leave);
    s.pass(20);
  }
}

void check_held(const HoldWatch& watch, io::Nanos limit) {
  CHECK_MESSAGE(watch.longest() <= limit + kSlack, "held for " << watch.longest() / kMs << " ms");
}

}  // namespace

TEST_CASE("links to all writers are silent: what reads left is released within the limit") {
  for (const int limit_ms : {300, 500, 1000})
    for (const char* budget : {"400", "1200", "3000", "4800", "8000"})
      for (const bool parallel : {true, false}) {
        CAPTURE(limit_ms);
        CAPTURE(std::string(budget));
        CAPTURE(parallel);
        Site s(4, 4, with_limit(limit_ms, parallel, parallel, !parallel));
        warm(s);
        cut_writers(s);
        HoldWatch watch(s);
        send_some(s, 12, budget);
        s.pass(9000);
        check_held(watch, limit_ms * kMs);
        CHECK(s.states.empty());
      }
}

TEST_CASE("a reader whose link falls silent after its read: what it holds is released within the limit") {
  for (const int limit_ms : {300, 500, 1000})
    for (const char* budget : {"400", "1200", "4800"}) {
      CAPTURE(limit_ms);
      CAPTURE(std::string(budget));
      Site s(2, 2, with_limit(limit_ms));
      warm(s);
      HoldWatch watch(s);
      const Act read_and_silent{"", Act::Then::hold, 20 * kMs, false, true};
      for (auto& w : s.workers)
        if (w->reads) w->acts = {read_and_silent};
      send_some(s, 1, budget);
      s.pass(9000);
      check_held(watch, limit_ms * kMs);
      CHECK(s.states.empty());
    }
}

TEST_CASE(
    "a reader's answer is lost and the next reader's link is silent: a later attempt stops no release") {
  for (const int limit_ms : {300, 500, 1000}) {
    CAPTURE(limit_ms);
    Site s(2, 1, with_limit(limit_ms));
    warm(s);
    HoldWatch watch(s);
    const Act answer_lost{"", Act::Then::reset, 20 * kMs, false, true};
    for (auto& w : s.workers)
      if (w->reads) w->acts = {answer_lost};
    s.send("a", Site::call("a1"));
    s.until([&] { return !s.states.empty(); });
    for (auto& w : s.workers)
      if (w->reads) w->cut = true;
    s.pass(6000);
    check_held(watch, limit_ms * kMs);
    CHECK(s.states.empty());
  }
}

}  // namespace cressrill::testing
