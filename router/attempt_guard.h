// Decides whether an attempt, or the repeat of one, may still be written to its worker. Checked just before
// its first byte is written: the state may have changed since the scheduling decision, while a connection was
// being made. Uses no sockets and reads no clock.
#pragma once

#include <algorithm>

#include "state.h"

namespace cressrill::router {

// The state of an attempt, its request and its worker. Times are on the monotonic clock.
struct BeginConditions {
  Nanos now{};
  Nanos decided_at{};            // when the policy decided on it
  Nanos deadline{};              // when the wait for its response ends
  Nanos write_deadline{kNever};  // of a repeat, which its worker recognises as such only for a limited time
  Nanos not_ready_since{};       // when its worker was first listed as draining or gone; 0: it is ready
  Nanos drain_grace{};           // how long a draining worker may still be sent requests
  Nanos client_left_at{};        // 0: the client is connected
  bool ended{};                  // the attempt has ended in the meantime
  bool has_final_outcome{};      // the request has its final outcome
};

// Why an attempt must not begin. answered: the request has its final outcome; window_passed: its worker may
// no longer recognise the repeat.
enum class BeginRefusal { none, ended, answered, client_left, worker_drains, deadline_passed, window_passed };

inline const char* to_string(BeginRefusal refusal) {
  static constexpr const char* names[] = {"none",          "ended",           "answered",     "client_left",
                                          "worker_drains", "deadline_passed", "window_passed"};
  return names[static_cast<int>(refusal)];
}

// Returns why the attempt must not begin, or none. Only half of the drain grace is used, as this process may
// be delayed between this check and the write.
inline BeginRefusal check_begin(const BeginConditions& conditions) {
  if (conditions.ended) return BeginRefusal::ended;
  if (conditions.has_final_outcome) return BeginRefusal::answered;
  if (conditions.client_left_at > 0) return BeginRefusal::client_left;
  const bool draining = conditions.not_ready_since > conditions.decided_at;
  if (draining && conditions.now - conditions.not_ready_since > conditions.drain_grace / 2)
    return BeginRefusal::worker_drains;
  if (conditions.now >= conditions.deadline) return BeginRefusal::deadline_passed;
  if (conditions.now >= conditions.write_deadline) return BeginRefusal::window_passed;
  return BeginRefusal::none;
}

}  // namespace cressrill::router
