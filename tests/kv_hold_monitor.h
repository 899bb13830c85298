// For tests of what workers hold: how long it is held, and the settings and requests that such tests share.
#pragma once

#include "platform_fixture.h"

namespace cressrill::testing {

constexpr io::Nanos kHoldLimitSlack = 300 * kMs;  // that the rule allows past the limit

// Notes for how long each request's KV cache is held at a worker.
class KvHoldMonitor {
 public:
  // Whether the time for which a decode attempt that has arrived waits for it counts as well.
  enum class Measure { total, unattended };
  explicit KvHoldMonitor(PlatformFixture& site, Measure counts = Measure::total)
      : site_(site), counts_(counts), scope_(site.loop) {
    scope_.spawn(watch());
  }
  io::Nanos longest_hold() const { return longest_; }

 private:
  io::Task<> watch() {
    for (;;) {
      const io::Nanos now = site_.loop.now();
      std::erase_if(since_, [&](const auto& entry) { return !site_.kv_entries.contains(entry.first); });
      for (const auto& [id, worker] : site_.kv_entries) {
        io::Nanos& since = since_.try_emplace(id, now).first->second;
        if (counts_ == Measure::unattended && site_.kv_entries.awaited_by_decode.contains(id)) since = now;
        longest_ = std::max(longest_, now - since);
      }
      co_await site_.loop.sleep_for(5 * kMs);
    }
  }
  PlatformFixture& site_;
  const Measure counts_;
  std::map<std::string, io::Nanos> since_;
  io::Nanos longest_{};
  io::Scope scope_;
};

inline json settings_with_hold_limit(int pin_limit_ms, bool parallel_tries = true, bool cancelling = true,
                                     bool holds = false) {
  json out = test_settings();
  out["familyInfo"]["pinLimitMs"] = pin_limit_ms;
  out["familyInfo"]["holdsAllowed"] = holds;
  out["caps"]["parallelTries"] = parallel_tries;
  out["caps"]["cancelling"] = cancelling;
  return out;
}

// Connections to all workers are made and kept.
inline void warm_up(PlatformFixture& s, int requests = 6) {
  for (int i = 0; i < requests; ++i)
    s.send("warm" + std::to_string(i), PlatformFixture::request("w" + std::to_string(i)));
  for (int i = 0; i < requests; ++i) REQUIRE(s.response("warm" + std::to_string(i)).status == 200);
  s.run_for(100);
}

// Sends so many requests, 20 ms apart.
inline void send_requests(PlatformFixture& s, int requests, const std::string& budget, io::Nanos leave = 0) {
  for (int i = 0; i < requests; ++i) {
    s.send("a" + std::to_string(i),
           PlatformFixture::request("a" + std::to_string(i), PlatformFixture::request_body(), budget), leave);
    s.run_for(20);
  }
}

inline void check_longest_hold(const KvHoldMonitor& watch, io::Nanos limit) {
  CHECK_MESSAGE(watch.longest_hold() <= limit + kHoldLimitSlack,
                "held for " << watch.longest_hold() / kMs << " ms");
}

}  // namespace cressrill::testing
