// Hosts one Policy on sockets: tells it every input in the order in which things happened, and carries out every
// action. It decides nothing. Inputs wait in one queue that one coroutine empties, so that actions never run
// inside the coroutine of an attempt and may cancel any.
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

using PolicyFactory =
    std::function<std::unique_ptr<Policy>(const PolicySettings&, std::uint64_t seed, Nanos now, Actions&)>;

class Host final : private Actions {
 public:
  Host(io::Loop& loop, const core::RouterConfig& station, core::Log& log, core::Counters& counters,
       Protocol& protocol, std::uint64_t seed, const PolicyFactory& make);
  ~Host() override;

  // One request of a client, from its reading to its last byte.
  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  void update_list(const core::WorkerList& list);
  // Discovery was heard, and had nothing new.
  void confirm_list() { fleet_.confirm_current(); }
  void list_failed();
  const Fleet& fleet() const { return fleet_; }
  std::size_t live_requests() const { return live_; }
  // Whether KV cache is being released that nobody else will release, should this process end before.
  bool has_pending_releases() const { return releaser_.owes_release() || releaser_.has_open_calls(); }
  // The process ends soon: releases that go on until more is known follow each other closely.
  void expedite_releases() { releaser_.expedite(); }
  // The last steps of the requests in hand, to the log.
  void log_traces();
  core::Invariants& invariants() { return invariants_; }
  const core::Invariants& invariants() const { return invariants_; }
  // For each worker, what the decisions believe to be out there beside what is out on sockets. The two are the same
  // whenever no input waits to be told.
  struct WorkerLoad {
    std::string worker;
    ExpectedLoad expected;
    int in_flight{};  // attempts whose answer has not begun
  };
  std::vector<WorkerLoad> worker_loads() const;

 private:
  // State of one schedule attempt.
  struct ActiveAttempt {
    ActiveAttempt(io::Loop& loop, int w, bool r) : worker(w), reads(r), scope(loop) {}
    int worker;
    bool reads;
    bool out{true};      // the decisions have not been told of its end
    bool ended{};        // its end is in the queue, or told
    bool written{};      // some of its request may have left; whether it has arrived, only an answer tells
    bool whole{};        // all of it has left
    bool answered{};     // the head of an answer has come, or what cannot be read
    bool begun{};        // its stream flows
    bool holds_state{};  // a read whose state waits at the reader
    int takes{-1};       // a write: the read whose state it fetches
    std::string state;   // of a read, as its answer named it
    io::Nanos sent{};
    io::Nanos write_began{};
    io::Nanos deadline{};
    io::Nanos begin_by{kNever};  // its request must have been written by then
    io::Nanos runs_for{};        // so long it is taken as running
    io::Nanos first{};           // its first event; 0: none yet
    io::Nanos stood{-1};         // how long its connection had been kept unused; negative: a new one
    io::Nanos heard{};           // last whole event of its stream
    bool held_back{};            // its stream is not read on until the client has taken what waits for it
    io::Scope scope;
  };
  // State of one sequence.
  struct ActiveRequest {
    ActiveRequest(io::Loop& loop, RequestInfo b, KvReleaser& releaser, std::shared_ptr<KvLease> lease)
        : brief(std::move(b)), kv(releaser, std::move(lease)), news(loop), drained(loop) {}
    int seq{};
    RequestInfo brief;
    KvLeaseHandle kv;
    Exchange& talk() { return *kv->exchange; }
    io::Nanos came{};
    io::Nanos abandon_at{};
    io::Signal news;      // for the client's coroutine
    io::Signal drained;   // for the attempt that fills outbox
    std::string outbox;   // events that wait for the client,
    std::string sending;  // and those that are on their way to it
    RequestOutcome final{RequestOutcome::none};
    bool client_left{};
    io::Nanos client_left_at{};
    Nanos retry_after{};
    bool engine_refused{};  // with an answer that is the client's
    int bound{-1};          // the attempt whose stream the client gets
    int state_run{-1};      // the latest read that left a state
    std::vector<std::unique_ptr<ActiveAttempt>> runs;
  };
  struct Input {
    enum class What { list, list_failed, came, client_left, began, ended, cache_released, woke } what;
    std::shared_ptr<ActiveRequest> ask;
    int attempt{};
    Outcome outcome{};
    double kept{};
    LoadReport report{};
    std::shared_ptr<const core::WorkerList> list;
  };

  void send(int seq, int worker, AttemptLimits limits) override;
  void release(int seq) override;
  void cancel(int seq, int attempt) override;
  void reject(int seq, Nanos retry_after) override;
  void abort(int seq) override;
  void subscribe() override {}  // the roster pushes to all that watch it
  void request_wakeup(Nanos after) override;
  void forget_request(int seq) override;
  void forget_worker(int worker) override { fleet_.forget(worker); }

  void put(Input input);
  io::Task<> pump();
  void tell(Input& input);
  void tell_or_end(Input& input) noexcept;
  void tell_ended(ActiveRequest& ask, const Input& input);
  std::shared_ptr<ActiveRequest> take(RequestInfo brief, std::unique_ptr<Exchange> talk, io::Nanos came);
  io::Task<> converse(std::shared_ptr<ActiveRequest> ask, http::ResponseWriter& answer);
  io::Task<> watch_client(std::shared_ptr<ActiveRequest> ask, http::ResponseWriter& answer);
  bool leave(const std::shared_ptr<ActiveRequest>& ask);
  void client_left(const std::shared_ptr<ActiveRequest>& ask, http::ResponseWriter& answer);
  io::Task<> conclude(ActiveRequest& ask, http::ResponseWriter& answer, bool begun);
  void settle(ActiveRequest& ask, RequestOutcome final);
  const std::string& type_name(const ActiveRequest& ask) const;

  void end(ActiveRequest& ask, int k, Outcome outcome, double kept = 0, const LoadReport& report = {});
  io::Task<> attempt(std::shared_ptr<ActiveRequest> ask, int k);
  io::Task<> contained(std::shared_ptr<ActiveRequest> ask, int k, io::Task<> work);
  AttemptFacts facts(const ActiveRequest& ask, const ActiveAttempt& run) const;
  bool may_begin(const ActiveRequest& ask, const ActiveAttempt& run);
  void check_begun(const ActiveRequest& ask, const ActiveAttempt& run, io::Nanos told);
  io::Nanos answer_margin() const;
  AttemptInfo described(const ActiveRequest& ask, int k) const;
  io::Task<io::IoResult> send_to(ActiveRequest& ask, int k, http::Connection& connection);
  io::Task<> out_of_time(std::shared_ptr<ActiveRequest> ask, int k);
  io::Task<> out_of_life(std::shared_ptr<ActiveRequest> ask, int k);
  void answered(ActiveRequest& ask, int k, const http::Head& head, std::string body,
                const LoadReport& report);
  io::Task<bool> stream(ActiveRequest& ask, int k, http::Connection& connection, const LoadReport& report);
  io::Task<> wait_for_client(ActiveRequest& ask, ActiveAttempt& run);
  void release_prefill(ActiveRequest& ask, int k);
  void note_kv(ActiveRequest& ask, HoldEvent event, int k = -1);
  void end_lease(ActiveRequest& ask);
  void trace(ActiveRequest& ask, TraceStep step, int k = -1, const char* detail = "", std::size_t bytes = 0);
  void cache_released(const KvLease& lease);

  io::Loop& loop_;
  const core::RouterConfig& station_;
  core::Log& log_;
  core::Counters& counters_;
  Protocol& protocol_;
  const Protocol::Traits manner_;
  core::Invariants invariants_;
  Fleet fleet_;
  TraceWriter traces_;
  KvReleaser releaser_;                               // outlives the requests, which report to it as they go
  std::vector<std::shared_ptr<ActiveRequest>> asks_;  // by small index
  std::vector<int> free_;
  std::size_t live_{};
  std::vector<Input> inbox_;
  std::vector<Input> telling_;  // taken from the inbox; its room goes back there
  io::Signal posted_;
  std::unique_ptr<Policy> policy_;
  io::Scope errands_;  // wakes
  io::Scope pump_;
};

}  // namespace cressrill::router
