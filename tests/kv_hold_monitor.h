// Monitors how long workers hold KV cache. Also the settings, requests and checks that tests of it share.
#pragma once

#include "platform_fixture.h"

namespace cressrill::testing {

constexpr io::Nanos kHoldLimitSlack = 300 * kMs;  // tolerance past the KV hold limit

// Samples every 5 ms which requests' KV cache is held at a worker, and keeps the longest time for which any
// was held.
class KvHoldMonitor {
 public:
  // unattended: leaves out the time in which a decode attempt that has arrived waits for the KV cache.
  enum class Measure { total, unattended };
  explicit KvHoldMonitor(PlatformFixture& fixture, Measure measure = Measure::total)
      : fixture_(fixture), measure_(measure), scope_(fixture.loop) {
    scope_.spawn(sample());
  }
  io::Nanos longest_hold() const { return longest_hold_; }

 private:
  io::Task<> sample() {
    for (;;) {
      const io::Nanos now = fixture_.loop.now();
      std::erase_if(held_since_,
                    [&](const auto& entry) { return !fixture_.kv_entries.contains(entry.first); });
      for (const auto& [id, worker] : fixture_.kv_entries) {
        io::Nanos& held_since = held_since_.try_emplace(id, now).first->second;
        if (measure_ == Measure::unattended && fixture_.kv_entries.awaited_by_decode.contains(id))
          held_since = now;
        longest_hold_ = std::max(longest_hold_, now - held_since);
      }
      co_await fixture_.loop.sleep_for(5 * kMs);
    }
  }
  PlatformFixture& fixture_;
  const Measure measure_;
  std::map<std::string, io::Nanos> held_since_;
  io::Nanos longest_hold_{};
  io::Scope scope_;
};

// Returns test_settings() with these values in place of its own.
inline json settings_with_hold_limit(int limit_ms, bool parallel = true, bool cancelling = true,
                                     bool holds_allowed = false) {
  json settings = test_settings();
  settings["familyInfo"]["pinLimitMs"] = limit_ms;
  settings["familyInfo"]["holdsAllowed"] = holds_allowed;
  settings["caps"]["parallelTries"] = parallel;
  settings["caps"]["cancelling"] = cancelling;
  return settings;
}

// Sends requests so that the router has idle connections to all workers.
inline void warm_up(PlatformFixture& fixture, int requests = 6) {
  for (int i = 0; i < requests; ++i)
    fixture.send("warm" + std::to_string(i), PlatformFixture::request("w" + std::to_string(i)));
  for (int i = 0; i < requests; ++i) REQUIRE(fixture.response("warm" + std::to_string(i)).status == 200);
  fixture.run_for(100);
}

// Sends that many requests, 20 ms apart, with a time budget in milliseconds; each client leaves after
// `leave_after`, if that is not 0.
inline void send_requests(PlatformFixture& fixture, int requests, const std::string& budget,
                          io::Nanos leave_after = 0) {
  for (int i = 0; i < requests; ++i) {
    fixture.send("a" + std::to_string(i),
                 PlatformFixture::request("a" + std::to_string(i), PlatformFixture::request_body(), budget),
                 leave_after);
    fixture.run_for(20);
  }
}

inline void check_longest_hold(const KvHoldMonitor& monitor, io::Nanos limit) {
  CHECK_MESSAGE(monitor.longest_hold() <= limit + kHoldLimitSlack,
                "held for " << monitor.longest_hold() / kMs << " ms");
}

}  // namespace cressrill::testing
