// The last steps of one request, in a bounded ring: kept at no cost in the log, and written out where the request ends
// wrongly, was held too long, or an operator asks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "io/loop.h"
#include "kv_hold.h"

namespace cressrill::router {

enum class TraceStep : std::uint8_t {
  taken,
  decided,        // an attempt at a worker
  connected,      // stood: how long its connection had been kept unused; negative: a new one
  written,        // bytes of its request
  answered,       // the head of its answer has come
  ended,          // detail: its outcome
  kv_event,       // detail: the event
  release_told,   // a worker
  release_heard,  // by that worker
  client_left,
  settled,  // detail: the final answer
};
constexpr std::array<const char*, 11> kStepNames{"taken",         "decided",     "connected", "written",
                                                 "answered",      "ended",       "kv_event",  "release_told",
                                                 "release_heard", "client_left", "settled"};

struct TraceEntry {
  io::Nanos at{};
  TraceStep step{};
  HoldState kv{};  // after it
  std::int16_t attempt{-1};
  int worker{-1};
  io::Nanos idle_time{};
  std::size_t bytes{};
  const char* detail{""};  // a literal
};

class RequestTrace {
 public:
  void add(const TraceEntry& entry) {
    entries_[added_ % kKept] = entry;
    ++added_;
  }
  std::size_t dropped() const { return added_ > kKept ? added_ - kKept : 0; }
  // Calls take with each entry, the oldest first.
  template <class Take>
  void for_each(Take take) const {
    for (std::size_t i = dropped(); i < added_; ++i) take(entries_[i % kKept]);
  }

 private:
  static constexpr std::size_t kKept = 24;
  std::array<TraceEntry, kKept> entries_{};
  std::size_t added_{};
};

}  // namespace cressrill::router
