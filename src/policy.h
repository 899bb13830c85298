// The interface of the routing policy: calls into it (Policy) and its decisions (Actions). Times are whole
// nanoseconds on one clock. Requests and workers are identified by small indices, which the host assigns and
// may reuse once they are forgotten.
#pragma once

#include <cstdint>
#include <memory>

#include "deployment.h"
#include "state.h"

namespace cressrill {

// The times that bound one attempt.
struct AttemptLimits {
  Nanos timeout{};               // after the decision; 0: until the request's deadline
  Nanos assumed_run_time{};      // how long a prefill is assumed to run at its worker; 0: it may end at once
  Nanos write_deadline{kNever};  // a repeat that is written later is no longer recognised as one
};

// The decisions of a policy, which the host carries out.
class Actions {
 public:
  virtual ~Actions() = default;
  // Starts the request's next attempt. Attempts are numbered from 0 in this order.
  virtual void send(int request, int worker, AttemptLimits limits) = 0;
  // Asks for the release of the KV cache that workers may hold of the request. The host decides when it is
  // sent.
  virtual void release(int request) = 0;
  virtual void cancel(int request, int attempt) = 0;
  // Ends the request: tells the client that it was not served and may be repeated, after retry_after if
  // that is not 0.
  virtual void reject(int request, Nanos retry_after) = 0;
  // Ends the request without inviting the client to repeat it, as it may have run.
  virtual void abort(int request) = 0;
  // Subscribes to the worker list, or renews the subscription.
  virtual void subscribe() = 0;
  // Requests a call of Policy::on_wakeup() after that time.
  virtual void request_wakeup(Nanos after) = 0;
  virtual void forget_request(int request) = 0;  // its index may be reused
  virtual void forget_worker(int worker) = 0;    // its index may be reused
};

// What the policy expects to be at a worker, for comparison with the actual load.
struct ExpectedLoad {
  int attempts{};    // outstanding, without a finished prefill or a started stream
  int kv_entries{};  // requests whose KV cache is held there
};

// Decides on every input. Each call passes its decisions to Actions before it returns.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual ExpectedLoad expected_load(int) const { return {}; }
  // A worker list consists of list_begins(), worker_listed() for each worker, and list_ends(). complete:
  // workers that are not in the list are gone.
  virtual void list_begins(Nanos now, bool complete) = 0;
  // identity: a number that is the same at every router and has no other meaning. started_at: when the worker
  // started; 0: long ago. kind: index into PolicySettings::kinds.
  virtual void worker_listed(int worker, std::uint64_t identity, WorkerStatus status, Nanos started_at,
                             int kind, int zone, int cell) = 0;
  virtual void list_ends() = 0;
  virtual void discovery_unreachable(Nanos now) = 0;
  // type: index into PolicySettings::types. tenant: index into PolicySettings::tenant_rates, beyond which
  // shares are unlimited. session and prefix_hash are 0 if the request has none; prefix_tokens: length of
  // the shared prefix.
  virtual void request_arrived(Nanos now, int request, int type, int tenant, std::uint64_t session,
                               std::uint64_t prefix_hash, double prompt_tokens, double prefix_tokens,
                               double max_output_tokens, Nanos deadline) = 0;
  virtual void client_left(Nanos now, int request) = 0;
  // The response stream of an attempt has started. elapsed: since the decision to send it.
  virtual void stream_started(Nanos now, int request, int attempt, Nanos elapsed) = 0;
  // request_over: the client has its final response, or has left. cached_tokens: prompt tokens that a prefill
  // found in the worker's cache.
  virtual void attempt_ended(Nanos now, int request, int attempt, Outcome outcome, Nanos elapsed,
                             bool request_over, double cached_tokens, const LoadReport& report) = 0;
  virtual void on_wakeup(Nanos now) = 0;
  // A worker has confirmed a release that the policy did not ask for. Workers then hold no KV cache of the
  // request, except what a decode attempt that has already arrived waits for. A prefill that is still
  // outstanding will leave none.
  virtual void kv_released(Nanos, int /*request*/) {}
};

// seed: of the policy's random numbers. The policy refers to actions for its whole life.
std::unique_ptr<Policy> make_policy(const PolicySettings& settings, std::uint64_t seed, Nanos now,
                                    Actions& actions);

}  // namespace cressrill
