// Decides whether an attempt, or the repeat of one, may still be written to its worker. Checked as its first
// byte is about to be written: the situation may have changed since the scheduling decision, while a
// connection was being made. Uses no sockets and reads no clock.
#pragma once

#include <algorithm>

#include "state.h"

namespace cressrill::router {

// The state of an attempt, its request and its worker. Times are on the monotonic clock.
struct BeginConditions {
  Nanos now{};
  Nanos decided_at{};            // when the policy decided on it
  Nanos deadline{};              // after which its response is no longer awaited
  Nanos write_deadline{kNever};  // of a repeat that its worker recognises only for a while
  Nanos not_ready_since{};       // when its worker was first listed as draining or gone; 0: it is ready
  Nanos drain_grace{};           // how long a draining worker may still be sent requests
  Nanos client_left_at{};        // 0: the client is connected
  bool ended{};                  // the attempt has ended in the meantime
  bool request_answered{};       // the request has its final outcome
};

enum class BeginRefusal { none, ended, answered, client_left, worker_drains, deadline_passed, window_passed };

inline const char* to_string(BeginRefusal refusal) {
  static constexpr const char* names[] = {"none",          "ended",           "answered",     "client_left",
                                          "worker_drains", "deadline_passed", "window_passed"};
  return names[static_cast<int>(refusal)];
}

// Returns why the attempt must not begin, or none. Half of the drain grace is kept as a margin for a process
// that is delayed between this check and the write.
inline BeginRefusal check_begin(const BeginConditions& conditions) {
  if (conditions.ended) return BeginRefusal::ended;
  if (conditions.request_answered) return BeginRefusal::answered;
  if (conditions.client_left_at > 0) return BeginRefusal::client_left;
  const bool draining = conditions.not_ready_since > conditions.decided_at;
  if (draining && conditions.now - conditions.not_ready_since > conditions.drain_grace / 2)
    return BeginRefusal::worker_drains;
  if (conditions.now >= conditions.deadline) return BeginRefusal::deadline_passed;
  if (conditions.now >= conditions.write_deadline) return BeginRefusal::window_passed;
  return BeginRefusal::none;
}

}  // namespace cressrill::router
