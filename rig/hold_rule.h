// The rule on held KV cache, for all checks: the KV cache that a prefill leaves at its worker is taken or
// released within a limit. Only time without an attempt of the request at a running worker counts. The rule
// is applied to what the workers saw.
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

// What a worker did with the KV cache of a request.
struct KvAction {
  // held: a prefill left it; taken: a decode worker fetched it; released: a release arrived, at this or any
  // other worker.
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

// The spans of one request, until `end`. Attempts are in order of arrival, actions in order of `at`. A
// release does not free KV cache that a decode attempt still waits for. A release that comes while a prefill
// is at its worker also frees the KV cache that this prefill leaves.
std::vector<HeldSpan> held_spans(const std::vector<AttemptSpan>& attempts,
                                 const std::vector<KvAction>& actions, Nanos end);

}  // namespace cressrill::rig
