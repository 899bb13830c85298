// The interface of the decision module: calls in (Policy) and decisions out (Actions). Times are whole
// nanoseconds on one clock; sequences and workers are small indices that the host hands out and takes back.
#pragma once

#include <cstdint>
#include <memory>

#include "deployment.h"
#include "state.h"

namespace cressrill {

// The times that bound one attempt.
struct AttemptLimits {
  Nanos timeout{};  // after its decision; 0: until the client gives up
  Nanos
      assumed_run_time{};  // so long it is taken as running, by what is known of its worker; 0: it may end at once
  Nanos write_deadline{
      kNever};  // its request must have been written by then: a repeat is not recognised later
};

class Actions {
 public:
  virtual ~Actions() = default;
  virtual void send(int seq, int worker, AttemptLimits limits) = 0;
  virtual void release(int seq) = 0;
  virtual void cancel(int seq, int attempt) = 0;
  virtual void reject(int seq, Nanos retry_after) = 0;
  virtual void abort(int seq) = 0;
  virtual void subscribe() = 0;
  virtual void request_wakeup(Nanos after) = 0;
  virtual void forget_request(int seq) = 0;  // the index may be handed out again
  virtual void forget_worker(int worker) = 0;
};

// What is believed to be out and held at a worker, for a check against what is so.
struct ExpectedLoad {
  int attempts{};    // attempts out, neither read nor begun to stream
  int kv_entries{};  // that wait there
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual ExpectedLoad expected_load(int) const { return {}; }
  virtual void list_begins(Nanos now, bool complete) = 0;
  // identity: the same number at every router, with no meaning of its own.
  virtual void worker_listed(int worker, std::uint64_t identity, WorkerStatus standing, Nanos started,
                             int kind, int zone, int cell) = 0;
  virtual void list_ends() = 0;
  virtual void list_failed(Nanos now) = 0;
  virtual void request_arrived(Nanos now, int seq, int type, int tenant, std::uint64_t session,
                               std::uint64_t beginning, double prompt, double beginning_tokens,
                               double max_out, Nanos abandon_at) = 0;
  virtual void client_left(Nanos now, int seq) = 0;
  virtual void stream_started(Nanos now, int seq, int attempt, Nanos took) = 0;
  virtual void attempt_ended(Nanos now, int seq, int attempt, Outcome outcome, Nanos took, bool closed,
                             double kept, const LoadReport& report) = 0;
  virtual void on_wakeup(Nanos now) = 0;
  // A worker has confirmed a release that the decisions did not order: nothing is held for that sequence, unless a write
  // that is out has arrived and waits for it; and a read that is out will leave nothing.
  virtual void kv_released(Nanos, int /*seq*/) {}
};

std::unique_ptr<Policy> make_policy(const PolicySettings& deployment, std::uint64_t seed, Nanos now,
                                    Actions& actions);

}  // namespace cressrill
