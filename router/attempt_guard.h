// The one place at which an attempt's request may begin to leave, and at which a repeat may: asked as the first byte is about
// to be written, since much may have happened since the decision while a connection was being made. Free of sockets and
// clocks.
#pragma once

#include <algorithm>

#include "state.h"

namespace cressrill::router {

// What is known of an attempt, its request and its worker. Times are on the monotonic clock.
struct AttemptFacts {
  Nanos now{};
  Nanos decided{};          // when the module decided for it
  Nanos deadline{};         // after which it is not waited for
  Nanos begin_by{kNever};   // of a repeat that is recognised for a while only
  Nanos not_ready_since{};  // its worker was told to drain or to be gone; 0: it is ready
  Nanos drain_grace{};      // for which it may still be sent to
  Nanos client_left{};      // 0: the client is there
  bool ended{};             // the attempt has been ended meanwhile
  bool answered{};          // the request has its final answer
};

enum class BeginRefusal { none, ended, answered, client_left, worker_drains, deadline_passed, window_passed };

inline const char* to_string(BeginRefusal refusal) {
  static constexpr const char* words[] = {"none",          "ended",           "answered",     "client_left",
                                          "worker_drains", "deadline_passed", "window_passed"};
  return words[static_cast<int>(refusal)];
}

// Half of a drain's grace is left to a process that is held up between this and its write.
inline BeginRefusal refuses_to_begin(const AttemptFacts& facts) {
  if (facts.ended) return BeginRefusal::ended;
  if (facts.answered) return BeginRefusal::answered;
  if (facts.client_left > 0) return BeginRefusal::client_left;
  const bool drains = facts.not_ready_since > facts.decided;
  if (drains && facts.now - facts.not_ready_since > facts.drain_grace / 2) return BeginRefusal::worker_drains;
  if (facts.now >= facts.deadline) return BeginRefusal::deadline_passed;
  if (facts.now >= facts.begin_by) return BeginRefusal::window_passed;
  return BeginRefusal::none;
}

}  // namespace cressrill::router
