// Runs one Policy on real connections: delivers inputs to it in the order in which the events occurred and
// carries out its actions. The host makes no scheduling decisions. Inputs are queued and delivered by a
// single coroutine, so that actions never run inside an attempt's coroutine and may cancel any attempt.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "attempt_guard.h"
#include "core/counters.h"
#include "core/invariants.h"
#include "core/log.h"
#include "fleet.h"
#include "http/server.h"
#include "kv_releaser.h"
#include "protocol.h"
#include "trace_writer.h"

namespace cressrill::router {

// Creates the policy of a host, which carries out the policy's actions.
using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const PolicySettings&, std::uint64_t seed, Nanos now, Actions&)>;

// Owns the requests in progress, their attempts, the fleet's connections and the policy. loop, log, counters,
// config and protocol must outlive it.
class Host final : private Actions {
 public:
  Host(io::Loop& loop, const core::RouterConfig& config, core::Log& log, core::Counters& counters,
       Protocol& protocol, std::uint64_t seed, const PolicyFactory& create_policy);
  ~Host() override;

  // Serves one client request until its response is written or the client has left.
  io::Task<> serve(http::Request& http_request, http::ResponseWriter& response);
  // Queues a worker list, to be applied and passed to the policy after the inputs queued before it.
  void update_list(const core::WorkerList& list);
  // Records that discovery has confirmed the current list as up to date.
  void confirm_worker_list() { fleet_.confirm_current(); }
  // Queues an input that tells the policy that discovery could not be reached.
  void discovery_unreachable();
  const Fleet& fleet() const { return fleet_; }
  // The number of requests that the policy has not forgotten yet.
  std::size_t active_requests() const { return live_count_; }
  // Whether a release of KV cache is pending, which no other process would complete if this one exited now.
  bool has_pending_releases() const { return releaser_.has_pending_release() || releaser_.has_open_calls(); }
  // Shortens the pauses between repeated releases, as the process is about to exit.
  void expedite_releases() { releaser_.expedite(); }
  // Writes the traces of the active requests to the log, up to a limit.
  void log_traces();
  // Charges what requests hold to a budget. Call it before the first request; the budget must outlive the host.
  void set_memory_budget(memory::Budget& budget) { budget_ = &budget; }
  core::Invariants& invariants() { return invariants_; }
  const core::Invariants& invariants() const { return invariants_; }
  // The load of one worker as the policy expects it and as counted on connections. The two agree whenever the
  // input queue is empty.
  struct WorkerLoad {
    std::string worker;
    ExpectedLoad expected;
    int in_flight{};  // attempts whose stream has not started
  };
  std::vector<WorkerLoad> worker_loads() const;

 private:
  // State of one attempt, a request for prefill or decode sent to one worker.
  struct ActiveAttempt {
    ActiveAttempt(io::Loop& loop, int worker_index, bool prefill)
        : worker(worker_index), is_prefill(prefill), scope(loop) {}
    int worker;
    bool is_prefill;
    bool outstanding{true};    // its end has not been delivered to the policy
    bool end_queued{};         // its end has been queued as an input, or delivered
    bool write_started{};      // part of its request may have been sent; only a response proves its arrival
    bool fully_written{};      // the whole request has been sent
    bool response_received{};  // the head of a response, or bytes that cannot be parsed, came back
    bool stream_started{};     // its stream is the one relayed to the client
    bool holds_kv{};           // of a prefill: its KV cache is held at the prefill worker
    int kv_source{-1};         // of a decode attempt: the prefill attempt whose KV cache it fetches
    std::string kv_transfer_params;  // of a prefill, as returned in its response
    io::Nanos decided_at{};
    io::Nanos write_started_at{};
    io::Nanos deadline{};
    io::Nanos write_deadline{kNever};    // by when its request must have been written
    io::Nanos assumed_run_time{};        // how long a prefill whose end is unknown is assumed to run
    io::Nanos first_event_at{};          // 0: no event with content yet
    io::Nanos connection_idle_time{-1};  // idle time of its connection before use; negative: a new connection
    io::Nanos last_event_at{};           // when an event was last received, or reading resumed after a pause
    bool paused_for_client{};            // reading is paused until the client has taken the buffered events
    std::size_t event_under_way{};       // bytes received of an event that is not complete
    io::Nanos event_grew_at{};           // when bytes of it were last received
    io::Scope scope;
  };
  // State of one client request.
  struct ActiveRequest {
    ActiveRequest(io::Loop& loop, memory::Budget* budget, RequestInfo request_info, KvReleaser& releaser,
                  std::shared_ptr<KvLease> lease)
        : info(std::move(request_info)),
          kv_lease(releaser, std::move(lease)),
          account(budget, memory::PeerKind::request, loop.now()),
          memory_charge(account),
          updated(loop),
          outbox_drained(loop) {}
    int index{};
    RequestInfo info;
    KvLeaseHandle kv_lease;
    Exchange& exchange() { return *kv_lease->exchange; }
    memory::Account account;
    memory::Charge memory_charge;  // of all that the request holds
    // Records what the request holds now; parser_bytes: in the parsers of its attempts.
    void update_memory_charge(std::size_t parser_bytes = 0);
    io::Nanos arrived_at{};
    io::Nanos deadline{};
    io::Signal updated;         // wakes the client's coroutine
    io::Signal outbox_drained;  // wakes the attempt that fills outbox
    std::string outbox;         // events not yet handed to the client's connection
    std::string sending;        // events that are being written to the client
    RequestOutcome outcome{RequestOutcome::none};
    bool client_left{};
    io::Nanos client_left_at{};
    Nanos retry_after{};
    bool engine_refused{};      // a worker found the request invalid; the client gets that error response
    int streaming_attempt{-1};  // the attempt whose stream is relayed to the client
    int last_kv_attempt{-1};    // the latest prefill that completed and left KV cache
    std::vector<std::unique_ptr<ActiveAttempt>> attempts;
  };
  // An event that is queued until it is delivered to the policy.
  struct Input {
    enum class Kind {
      list,
      discovery_unreachable,
      arrived,
      client_left,
      stream_started,
      attempt_ended,
      kv_released,
      wakeup
    } kind;
    std::shared_ptr<ActiveRequest> request;
    int attempt_index{};
    Outcome outcome{};
    double cached_tokens{};
    LoadReport report{};
    std::shared_ptr<const core::WorkerList> list;
  };

  void send(int request_index, int worker, AttemptLimits limits) override;
  void release(int request_index) override;
  void cancel(int request_index, int attempt_index) override;
  void reject(int request_index, Nanos retry_after) override;
  void abort(int request_index) override;
  void subscribe() override {}  // discovery pushes to every client that watches it
  void request_wakeup(Nanos after) override;
  void forget_request(int request_index) override;
  void forget_worker(int worker) override { fleet_.forget(worker); }

  void enqueue(Input input);
  io::Task<> process_inputs();
  void deliver(Input& input);
  void deliver_or_terminate(Input& input) noexcept;
  void deliver_attempt_end(ActiveRequest& request, const Input& input);
  std::shared_ptr<ActiveRequest> add_request(RequestInfo info, std::unique_ptr<Exchange> exchange,
                                             io::Nanos arrived_at);
  io::Task<> serve_client(std::shared_ptr<ActiveRequest> request, http::ResponseWriter& response);
  io::Task<> watch_client(std::shared_ptr<ActiveRequest> request, http::ResponseWriter& response);
  bool mark_client_left(const std::shared_ptr<ActiveRequest>& request);
  void handle_client_left(const std::shared_ptr<ActiveRequest>& request, http::ResponseWriter& response);
  io::Task<> send_final_response(ActiveRequest& request, http::ResponseWriter& response, bool stream_started);
  void set_outcome(ActiveRequest& request, RequestOutcome outcome);
  const std::string& type_name(const ActiveRequest& request) const;

  void end_attempt(ActiveRequest& request, int attempt_index, Outcome outcome, double cached_tokens = 0,
                   const LoadReport& report = {});
  io::Task<> run_attempt(std::shared_ptr<ActiveRequest> request, int attempt_index);
  io::Task<> run_contained(std::shared_ptr<ActiveRequest> request, int attempt_index, io::Task<> work);
  BeginConditions begin_conditions(const ActiveRequest& request, const ActiveAttempt& attempt) const;
  bool may_begin(const ActiveRequest& request, const ActiveAttempt& attempt);
  void check_begin_invariants(const ActiveRequest& request, const ActiveAttempt& attempt, io::Nanos timeout);
  io::Nanos response_margin() const;
  AttemptInfo attempt_info(const ActiveRequest& request, int attempt_index) const;
  io::Task<io::IoResult> write_request(ActiveRequest& request, int attempt_index,
                                       http::Connection& connection);
  io::Task<> enforce_deadline(std::shared_ptr<ActiveRequest> request, int attempt_index);
  io::Task<> enforce_stall_timeout(std::shared_ptr<ActiveRequest> request, int attempt_index);
  void handle_response(ActiveRequest& request, int attempt_index, const http::Head& head, std::string body,
                       const LoadReport& report);
  io::Task<bool> relay_stream(ActiveRequest& request, int attempt_index, http::Connection& connection,
                              const LoadReport& report);
  io::Task<> wait_for_client(ActiveRequest& request, ActiveAttempt& attempt);
  void record_progress(ActiveAttempt& attempt, const http::SseParser& parser, bool event_completed);
  io::Task<> enforce_final_answers();
  void end_overdue(ActiveRequest& request);
  void release_prefill(ActiveRequest& request, int attempt_index);
  void record_kv_event(ActiveRequest& request, HoldEvent event, int attempt_index = -1);
  void report_request_over(ActiveRequest& request);
  void add_trace_entry(ActiveRequest& request, TraceStep step, int attempt_index = -1,
                       const char* detail = "", std::size_t bytes = 0);
  void handle_kv_released(const KvLease& lease);

  io::Loop& loop_;
  const core::RouterConfig& config_;
  core::Log& log_;
  core::Counters& counters_;
  Protocol& protocol_;
  const Protocol::Traits traits_;
  core::Invariants invariants_;
  Fleet fleet_;
  TraceWriter trace_writer_;
  KvReleaser releaser_;  // outlives the requests, whose lease handles refer to it
  std::vector<std::shared_ptr<ActiveRequest>> requests_;  // by index; null where an index is free
  std::vector<int> free_indices_;
  std::size_t live_count_{};
  std::vector<Input> input_queue_;
  std::vector<Input> input_batch_;  // being delivered; swapped with the queue to reuse its capacity
  io::Signal input_queued_;
  std::unique_ptr<Policy> policy_;
  memory::Budget* budget_{};
  io::Scope wakeups_;
  io::Scope input_task_;
  io::Scope deadline_task_;  // empty while no request is active
};

}  // namespace cressrill::router
