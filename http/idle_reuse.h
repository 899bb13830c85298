// Which kept connections are worth using again. Some peers close what stands idle without a word, and a request that is
// written to such a connection is lost, while a new connection costs a little time. Learned from uses, by how long the
// connection had stood: free of sockets and clocks.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace cressrill::http {

class IdleReuseTracker {
 public:
  // A connection that had stood so many nanoseconds answered, or broke without a byte of an answer.
  void record_response(std::int64_t stood, std::int64_t now) { counts_at(stood, now).answered += 1; }
  void record_loss(std::int64_t stood, std::int64_t now) { counts_at(stood, now).lost += 1; }
  // Whether one that has stood so long should be used. Where nothing is known, it is.
  bool worth_using(std::int64_t stood, std::int64_t now) const {
    UseCounts u = uses_[bucket(stood)];
    decay(u, now);
    return u.lost * kConnectionsPerLostRequest <= u.answered + kConnectionsPerLostRequest;
  }

 private:
  static constexpr double kConnectionsPerLostRequest =
      16;  // a lost request costs as much as so many new connections
  static constexpr std::int64_t kHalfLifeNs =
      10'000'000'000;  // what was seen counts half after this: peers change
  struct UseCounts {
    double answered{};
    double lost{};
    std::int64_t at{};
  };
  // Of two to the n milliseconds, about.
  static std::size_t bucket(std::int64_t stood) {
    const auto ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, stood) >> 20);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(ms)), kBuckets - 1);
  }
  static void decay(UseCounts& u, std::int64_t now) {
    for (; now - u.at >= kHalfLifeNs && (u.answered > 0.01 || u.lost > 0.01); u.at += kHalfLifeNs)
      u.answered /= 2, u.lost /= 2;
  }
  UseCounts& counts_at(std::int64_t stood, std::int64_t now) {
    UseCounts& u = uses_[bucket(stood)];
    decay(u, now);
    if (u.answered < 0.01 && u.lost < 0.01) u.at = now;
    return u;
  }
  static constexpr std::size_t kBuckets = 20;
  std::array<UseCounts, kBuckets> uses_{};
};

}  // namespace cressrill::http
