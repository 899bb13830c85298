// The rule on held KV cache, in one place for all checks: what a prefill leaves at its worker is taken or
// released within a limit. The limit counts only while no attempt of the request is at a running worker. The
// rule is applied to what the workers saw.
#pragma once

#include <vector>

#include "state.h"

namespace cressrill::rig {

// An attempt as its worker saw it.
struct AttemptSpan {
  Nanos arrived_at{};  // the last byte of the request arrived
  Nanos ended_at{};    // its response was written, or its connection was closed; kNever: still at the worker
  int worker{};
  bool prefill{};
};

// What a worker did with the KV cache of a request. A release may arrive at any worker, not only at the
// holder.
struct KvAction {
  enum class Kind { held, taken, released } kind{};
  Nanos at{};
  int worker{};
  bool operator==(const KvAction&) const = default;
};

// KV cache that was held from `from` until `until`, and the longest part of that time without an attempt at a
// worker.
struct HeldSpan {
  Nanos from{};
  Nanos until{};
  Nanos unattended{};
};

// The spans of one request, until `end`. Attempts are in order of arrival, marks in order of `at`. A release
// does not free KV cache that a decode attempt still waits for. A release that comes while a prefill is at
// its worker also frees what that prefill leaves.
std::vector<HeldSpan> held_spans(const std::vector<AttemptSpan>& attempts, const std::vector<KvAction>& marks,
                                 Nanos end);

}  // namespace cressrill::rig
