// The types that the policy shares with its host, and the state of a routing policy as plain types, grouped
// by lifetime: an attempt, a request, a worker, the policy.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <unordered_map>
#include <vector>

namespace cressrill {

using Nanos = std::int64_t;
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

// Whether a request that may have run may be sent again: at any time; if workers recognise the repeat by its
// token, which they do for a limited time; or never.
enum class Effect { repeatable, tokened, once_only };
// Which workers recognise a repeat of a request that was first sent to another worker: all, those of the
// first worker's zone, or those of its cell.
enum class Group { all, zone, cell };
enum class Role { prefill, decode, mixed };
enum class WorkerStatus { gone, ready, draining };
enum class Stage { queued, prefilling, prefilled, decoding, streaming, finished };
// How an attempt ended.
enum class Outcome {
  generated,        // its final response is complete, possibly an error that the client caused
  prefill_done,     // its KV cache is held
  error,            // the worker responded with an error, or invalidly
  full,             // the worker reported being full
  kv_missing,       // the worker found no KV cache to decode from
  timed_out,        // no result within AttemptLimits::timeout or the deadline of the request
  connect_failed,   // no connection could be opened, or the request could not be written and cannot have run
  connection_lost,  // the connection broke or stalled before the result, after the attempt may have begun
  cancelled,        // by the router, also when the client has left
  not_sent,         // its request was not completely sent, and cannot have run
};

// The load that a worker reports with a response.
struct LoadReport {
  bool received{};
  double requests{-1};      // at the worker, including those whose KV cache is held; negative: not reported
  double memory_share{-1};  // negative: not reported
};

// An exponentially smoothed mean; the first samples have equal weight.
struct RunningMean {
  double value{};
  double samples{};
};

// Decayed sums for a line fitted through points (x, y) = (tokens, seconds).
struct LinearFit {
  double weight{};
  double sum_x{};
  double sum_y{};
  double sum_xx{};
  double sum_xy{};
  Nanos updated_at{};
};

struct Attempt {
  int worker{};
  bool is_prefill{};
  bool outstanding{};
  bool stream_started{};
  bool full_or_timed_out{};
  bool abandoned{};         // no longer waited for; cancelled, if the host can cancel
  bool may_have_left_kv{};  // a prefill without a result, which may have left KV cache
  Nanos sent_at{};
  Nanos expected_duration{};
  double load_tokens{};             // added to the worker's prefill or decode tokens until it ends
  double queued_tokens_ahead{};     // this router's tokens that were queued at the prefill worker before it
  double expected_cached_tokens{};  // by the table of prefix holders
  Nanos prefix_recorded_at{};       // time of the table entry behind expected_cached_tokens
};

// A request that has arrived. The host assigns its id, which is its index.
struct RequestState {
  int id{};
  Stage stage{};
  int type{};
  bool within_tenant_share{};
  double admission_draw{};   // random in [0, 1), drawn once: decides which cold workers may get the request
  double uncached_tokens{};  // prompt tokens that no prefill worker is expected to have cached
  std::uint64_t session{};
  std::uint64_t prefix_hash{};
  double prompt_tokens{};
  double prefix_tokens{};
  double max_output_tokens{};
  Nanos arrived_at{};
  Nanos slo_deadline{};
  Nanos dequeued_at{};  // when its latest prefill was started
  Nanos deadline{};
  Nanos kv_held_since{};   // latest end or abandonment of an attempt; kNever: no KV cache is held
  int prefill_worker{-1};  // worker of the latest prefill; holds the KV cache unless kv_held_since is kNever
  int maybe_ran_worker{-1};  // decode worker of the first attempt that may have run
  Nanos maybe_ran_since{};   // when that attempt was sent
  bool maybe_ran{};          // a decode attempt has ended and may have run
  bool parked{};             // not among PolicyState::active, as no transition applies to it for now
  std::uint64_t arrival_order{};
  std::vector<Attempt> attempts{};
};

struct Worker {
  bool known{};
  std::uint64_t identity{};
  WorkerStatus status{};
  Role role{};
  int kind{};
  int zone{};
  int cell{};
  Nanos started_at{};         // by the worker list
  Nanos cache_valid_since{};  // prefix holder entries that were recorded earlier no longer count
  Nanos gone_since{};         // 0: it is listed
  Nanos cold_since{};         // its start, listed or inferred from failures; kNever: warm
  Nanos last_response_at{};
  bool connection_broken{};  // a connection has broken since the worker's latest success
  bool was_unreachable{};    // after a connection had broken, another could not be opened
  Nanos ejected_until{};
  bool half_open{};         // after an ejection: only one attempt at a time until a success
  double failure_score{};   // rises with each failure, halved by each success
  Nanos backoff_until{};    // no sends before this time, as it was full or could not be reached
  int pending_attempts{};   // this router's attempts that have neither ended nor started to stream
  int kv_entries{};         // this router's requests whose KV cache is held here
  double prefill_tokens{};  // this router's tokens that wait for their prefill here
  double decode_tokens{};   // this router's tokens held here or on their way here
  mutable Nanos next_overdue_at{kNever};  // no awaited attempt here becomes overdue before this time
  bool watched{};                         // among PolicyState::watched
  double decode_tokens_since_report{};    // part of decode_tokens that was sent since the last load report
  Nanos reported_at{};
  double reported_requests{-1};        // negative: not reported
  double own_requests_at_report{};     // part of reported_requests that came from this router
  double reported_memory_share{-1};    // negative: not reported
  double measured_prefill_seconds{};   // decayed sum
  double predicted_prefill_seconds{};  // decayed sum, by the fit over all prefill workers
  Nanos speed_updated_at{};
  // Valid only while a choice among the workers is made.
  double seconds_per_token{};
  double load_score{};
  double cache_advantage{};
  double memory_fullness{};
};

// A worker that has cached the tokens of a session or shared prefix.
struct PrefixHolder {
  int worker{};
  double tokens{};
  Nanos recorded_at{};
};

// The ready workers as of the latest worker list: [0] decode and mixed workers, [1] prefill workers.
struct WorkerCounts {
  std::vector<int> ready[2];  // indices, ascending
  std::unordered_map<int, double> in_zone[2];
  std::unordered_map<int, std::unordered_map<int, double>> in_cell[2];  // by zone, then cell
};

struct PolicyState {
  std::vector<RequestState> requests;  // by index
  std::vector<int> active;             // requests that a transition may act on, in order of arrival
  std::size_t parked{};                // number of requests that are not active
  std::vector<int> queue;              // parked requests that wait for a prefill
  Nanos queue_next_timeout{kNever};    // no request in the queue exceeds its queue time before this time
  Nanos queue_next_deadline{kNever};   // no request in the queue has an earlier deadline
  std::uint64_t arrivals{};            // number of requests so far
  int in_flight{};                     // requests from the start of their prefill to their first token
  std::vector<Worker> workers;         // by index
  std::vector<int> watched;            // workers with pending attempts or enough failures to be ejected
  WorkerCounts worker_counts;
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> prefix_holders;  // by session or prefix hash
  double in_flight_limit{};
  RunningMean mean_memory_share[3];    // reported, by role
  RunningMean mean_other_requests[3];  // requests of other routers at a worker, by role
  LinearFit prefill_time_fit{};        // over all prefill workers
  double mean_prefill_tokens{};        // smoothed uncached tokens of a prefill
  Nanos in_flight_limit_reduced_at{};
  // Smoothed share of the latency SLO that passes from the start of the prefill to the first token.
  double latency_pressure{};
  Nanos holders_expired_at{};
  double mean_first_token_seconds{};    // smoothed wait for the first token at a decode worker
  double mean_prefill_seconds{};        // smoothed duration of a prefill
  double recent_sends[2]{};             // decayed counts of attempts sent: [0] decode, [1] prefill
  double recent_successes[2]{};         // decayed counts of first tokens [0] and finished prefills [1]
  std::vector<double> tenant_arrivals;  // decayed count of each tenant's requests
  std::vector<Nanos> tenant_updated_at;
  Nanos subscribed_at{};
  Nanos next_wakeup_at{};
  std::uint64_t random_state{};
  std::uint64_t random_increment{};
};

}  // namespace cressrill
