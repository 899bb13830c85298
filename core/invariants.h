// Run-time checks of the rules that the router has to keep. A guard (router/attempt_guard.h) decides before
// an action; an invariant is checked after it against the rule's own limit, and a violation is counted and
// logged. A violation means a defect, or a process that was stopped for longer than the rules allow for. Uses
// no sockets and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "counters.h"
#include "log.h"

namespace cressrill::core {

enum class Invariant : std::size_t {
  // Each accepted request gets exactly one final response, unless its client has disconnected.
  one_final_answer,
  // The final response is sent no later than 0.5 s after the deadline of the request.
  answer_in_time,
  // No connection is closed while a request that was read from it is unanswered.
  read_is_answered,
  // No attempt starts more than 0.1 s after its client has disconnected.
  client_is_there,
  // No attempt starts at a worker after the grace period of its drain.
  worker_takes_requests,
  // An attempt that repeats one that may have run starts within the window in which workers recognize it.
  repeat_in_window,
  // The time budget sent to a worker exceeds the time left to the client by 0.15 s at most.
  deadline_within_budget,
  // KV cache that a worker reported is consumed or confirmed as released within the limit.
  kv_released_in_time,
  // KvHold takes only transitions that its table lists.
  kv_transition,
  // No request is forgotten while KV cache may be held for it and no release of it is pending.
  kv_has_owner,
};
constexpr std::size_t kInvariantCount = 10;
constexpr std::array<const char*, kInvariantCount> kInvariantNames{
    "one_final_answer",      "answer_in_time",   "read_is_answered",       "client_is_there",
    "worker_takes_requests", "repeat_in_window", "deadline_within_budget", "kv_released_in_time",
    "kv_transition",         "kv_has_owner"};

// Counts violations. The log and the counters must outlive this object.
class Invariants {
 public:
  Invariants(Log& log, Counters& counters) : log_(log), counters_(counters) {}

  // Counts and logs a violation unless satisfied. request: its id. by_ms: by how much a time limit was
  // exceeded.
  void check(Invariant invariant, bool satisfied, std::string_view request, std::int64_t by_ms = 0) {
    if (satisfied) return;
    const auto index = static_cast<std::size_t>(invariant);
    ++violations_[index];
    counters_.count_invariant_violation(kInvariantNames[index]);
    log_.error("invariant violated",
               {{"invariant", kInvariantNames[index]}, {"sequence", request}, {"by_ms", by_ms}});
  }
  std::uint64_t violations() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : violations_) sum += count;
    return sum;
  }
  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }

 private:
  Log& log_;
  Counters& counters_;
  std::array<std::uint64_t, kInvariantCount> violations_{};
};

}  // namespace cressrill::core
