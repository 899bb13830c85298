// The product's rules as checks at run time. Guards decide before something is done (AttemptGuard in router/); an invariant
// is checked where it was done, against the rule's own limit, and a violation is counted and logged with the facts. None is
// expected ever: one that counts is a defect, or a process that was held up for longer than the rules allow for. Free of
// sockets and clocks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "counters.h"
#include "log.h"

namespace cressrill::core {

enum class Invariant : std::size_t {
  one_final_answer,        // each request taken gets exactly one, unless its client has left
  answer_in_time,          // and gets it half a second after its deadline at the latest
  read_is_answered,        // no connection is closed behind a request that was read and not answered
  client_is_there,         // no attempt begins more than 0.1 s after its client has left
  worker_takes_requests,   // none begins at a worker past the grace of its drain
  repeat_in_window,        // a repeat of what may have run begins while it is recognised
  deadline_within_budget,  // a worker is told no more time than the client has left, with 0.15 s of slack
  kv_released_in_time,  // KV cache that a worker said it holds is taken or confirmed as released within the limit
  kv_transition,        // what is held changes only in ways that the table of KvHold knows
  kv_has_owner,         // no request is forgotten while KV cache may be held for it that nobody will release
};
constexpr std::size_t kInvariantCount = 10;
constexpr std::array<const char*, kInvariantCount> kInvariantNames{
    "one_final_answer",      "answer_in_time",   "read_is_answered",       "client_is_there",
    "worker_takes_requests", "repeat_in_window", "deadline_within_budget", "kv_released_in_time",
    "kv_transition",         "kv_has_owner"};

class Invariants {
 public:
  Invariants(Log& log, Counters& counters) : log_(log), counters_(counters) {}

  // request: its id. by_ms: how far the limit was passed, where it is one of time.
  void check(Invariant invariant, bool holds, std::string_view request, std::int64_t by_ms = 0) {
    if (holds) return;
    const auto index = static_cast<std::size_t>(invariant);
    ++violations_[index];
    counters_.count_invariant_violation(kInvariantNames[index]);
    log_.error("invariant violated",
               {{"invariant", kInvariantNames[index]}, {"sequence", request}, {"by_ms", by_ms}});
  }
  std::uint64_t violations() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t n : violations_) sum += n;
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
