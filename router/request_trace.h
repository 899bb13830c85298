// The latest steps of one request, in a ring buffer of fixed size. They are written to the log only when the
// request ends without a result, when its KV cache is held too long, or when an operator asks for them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "io/loop.h"
#include "kv_hold.h"

namespace cressrill::router {

enum class TraceStep : std::uint8_t {
  taken,          // the request was accepted from its client
  decided,        // the policy decided on an attempt at a worker
  connected,      // the attempt has a connection; see idle_time
  written,        // the request was written, completely or in part; see bytes
  answered,       // the head of the response was received
  ended,          // the attempt has ended; detail: its outcome
  kv_event,       // detail: the event
  release_told,   // a release was sent to a worker
  release_heard,  // that worker confirmed it
  client_left,
  settled,  // the request has its final outcome; detail: that outcome
};
// As written to the log; indexed by TraceStep.
constexpr std::array<const char*, 11> kStepNames{"taken",         "decided",     "connected", "written",
                                                 "answered",      "ended",       "kv_event",  "release_told",
                                                 "release_heard", "client_left", "settled"};

struct TraceEntry {
  io::Nanos at{};
  TraceStep step{};
  HoldState kv{};  // state of the request's KV cache after this step
  std::int16_t attempt{-1};
  int worker{-1};
  io::Nanos idle_time{};   // of the connection before this use; negative: a new connection
  std::size_t bytes{};     // number of bytes written
  const char* detail{""};  // must be a string literal
};

class RequestTrace {
 public:
  void add(const TraceEntry& entry) {
    entries_[added_count_ % kMaxEntries] = entry;
    ++added_count_;
  }
  // The number of entries that newer ones have overwritten.
  std::size_t dropped() const { return added_count_ > kMaxEntries ? added_count_ - kMaxEntries : 0; }
  // Calls visit with each entry, oldest first.
  template <class Visit>
  void for_each(Visit visit) const {
    for (std::size_t i = dropped(); i < added_count_; ++i) visit(entries_[i % kMaxEntries]);
  }

 private:
  static constexpr std::size_t kMaxEntries = 24;
  std::array<TraceEntry, kMaxEntries> entries_{};
  std::size_t added_count_{};
};

}  // namespace cressrill::router
