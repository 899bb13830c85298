// Decides whether an idle connection is worth reusing. Some peers drop idle connections silently: a request
// written to such a connection is lost, while a new connection only costs a little time. The decision is
// learned from the outcomes of earlier uses, by how long the connection had been idle. Uses neither sockets
// nor clocks.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace cressrill::http {

// Times are in nanoseconds. The decision is made separately for each range of idle times.
class IdleReuseTracker {
 public:
  // Outcome of a use of a connection that had been idle for idle_time ns: a response, or a break before its
  // first byte.
  void record_response(std::int64_t idle_time, std::int64_t now) { counts_at(idle_time, now).responses += 1; }
  void record_loss(std::int64_t idle_time, std::int64_t now) { counts_at(idle_time, now).losses += 1; }
  // Whether a connection that has been idle for idle_time ns should be reused; true if nothing is known.
  bool worth_using(std::int64_t idle_time, std::int64_t now) const {
    UseCounts counts = counts_[bucket(idle_time)];
    decay(counts, now);
    return counts.losses * kConnectionsPerLostRequest <= counts.responses + kConnectionsPerLostRequest;
  }

 private:
  static constexpr double kConnectionsPerLostRequest = 16;  // cost of a lost request, in new connections
  // Half-life of a recorded use: old uses lose weight, as the behaviour of peers changes.
  static constexpr std::int64_t kHalfLifeNs = 10'000'000'000;
  struct UseCounts {
    double responses{};
    double losses{};
    std::int64_t at{};  // time up to which the counts have decayed
  };
  // Buckets double in width: bucket n holds idle times of about 2^(n-1) to 2^n ms, and the last one
  // all longer times as well.
  static std::size_t bucket(std::int64_t idle_time) {
    const auto ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, idle_time) >> 20);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(ms)), kBuckets - 1);
  }
  // Counts below 0.01 are negligible and do not decay further.
  static void decay(UseCounts& counts, std::int64_t now) {
    for (; now - counts.at >= kHalfLifeNs && (counts.responses > 0.01 || counts.losses > 0.01);
         counts.at += kHalfLifeNs) {
      counts.responses /= 2;
      counts.losses /= 2;
    }
  }
  UseCounts& counts_at(std::int64_t idle_time, std::int64_t now) {
    UseCounts& counts = counts_[bucket(idle_time)];
    decay(counts, now);
    if (counts.responses < 0.01 && counts.losses < 0.01) counts.at = now;
    return counts;
  }
  static constexpr std::size_t kBuckets = 20;
  std::array<UseCounts, kBuckets> counts_{};
};

}  // namespace cressrill::http
