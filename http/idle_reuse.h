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
  void answered(std::int64_t stood, std::int64_t now) { note(stood, now).answered += 1; }
  void broke(std::int64_t stood, std::int64_t now) { note(stood, now).broke += 1; }
  // Whether one that has stood so long should be used. Where nothing is known, it is.
  bool worth_using(std::int64_t stood, std::int64_t now) const {
    Uses u = uses_[octave(stood)];
    age(u, now);
    return u.broke * kPrice <= u.answered + kPrice;
  }

 private:
  static constexpr double kPrice = 16;  // a lost request costs as much as so many new connections
  static constexpr std::int64_t kHalf = 10'000'000'000;  // what was seen counts half after this: peers change
  struct Uses {
    double answered{};
    double broke{};
    std::int64_t at{};
  };
  // Of two to the n milliseconds, about.
  static std::size_t octave(std::int64_t stood) {
    const auto ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, stood) >> 20);
    return std::min<std::size_t>(static_cast<std::size_t>(std::bit_width(ms)), kOctaves - 1);
  }
  static void age(Uses& u, std::int64_t now) {
    for (; now - u.at >= kHalf && (u.answered > 0.01 || u.broke > 0.01); u.at += kHalf)
      u.answered /= 2, u.broke /= 2;
  }
  Uses& note(std::int64_t stood, std::int64_t now) {
    Uses& u = uses_[octave(stood)];
    age(u, now);
    if (u.answered < 0.01 && u.broke < 0.01) u.at = now;
    return u;
  }
  static constexpr std::size_t kOctaves = 20;
  std::array<Uses, kOctaves> uses_{};
};

}  // namespace cressrill::http
