// The state of a routing policy as plain types, grouped by lifetime: an attempt, a request, a worker, the
// policy.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <unordered_map>
#include <vector>

namespace cressrill {

using Nanos = std::int64_t;
constexpr Nanos kNever = std::numeric_limits<Nanos>::max();

enum class Effect { repeatable, tokened, once_only };
enum class Group { all, zone, cell };
enum class Role { prefill, decode, mixed };
enum class WorkerStatus { gone, ready, draining };
enum class Stage { queued, prefilling, prefilled, decoding, streaming, finished };
enum class Outcome {
  generated,
  prefill_done,
  error,
  full,
  kv_missing,
  timed_out,
  connect_failed,
  connection_lost,
  cancelled,
  not_sent,
};

// The load that a worker reports with an answer.
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

// Decayed sums for a line fitted through points of (tokens, seconds).
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
  bool abandoned{};         // cancelled, or no longer waited for
  bool may_have_left_kv{};  // a prefill that may have left KV cache without reporting it
  Nanos sent_at{};
  Nanos expected_duration{};
  double load_tokens{};             // load that it adds to the worker
  double queued_tokens_ahead{};     // this router's tokens that were queued at the prefill worker before it
  double expected_cached_tokens{};  // by the table of prefix holders
  Nanos prefix_recorded_at{};       // time of the table entry behind expected_cached_tokens
};

struct RequestState {
  int id{};
  Stage stage{};
  int type{};
  bool within_tenant_share{};
  double admission_draw{};   // random, drawn once: decides which cold workers may get the request
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
  Nanos kv_held_since{};     // latest outcome while KV cache may be held; kNever: none is held
  int prefill_worker{-1};    // holds the KV cache
  int maybe_ran_worker{-1};  // decode worker of the first attempt that may have run
  Nanos maybe_ran_since{};   // when that attempt was sent
  bool maybe_ran{};          // a decode attempt has ended and may have run
  bool parked{};             // not among the active requests until an input concerns it or it is due
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
  Nanos cache_valid_since{};  // earlier entries of the table of prefix holders no longer count
  Nanos gone_since{};         // 0: it is listed
  Nanos cold_since{};         // its start, listed or inferred from failures; kNever: warm
  Nanos last_response_at{};
  bool connection_broken{};  // a connection has broken since the worker last answered
  bool was_unreachable{};    // after a connection had broken, another could not be opened
  Nanos ejected_until{};
  bool half_open{};         // back from ejection: one attempt at a time until it answers
  double failure_score{};   // rises with each failure, halved by each success
  Nanos backoff_until{};    // no sends before: it was full or could not be reached
  int pending_attempts{};   // this router's attempts that have neither ended nor started to stream
  int kv_entries{};         // this router's requests whose KV cache is held here
  double prefill_tokens{};  // this router's tokens that wait for their prefill here
  double decode_tokens{};   // this router's tokens held here or on their way here
  mutable Nanos next_overdue_at{kNever};  // no unanswered attempt here becomes overdue before
  bool watched{};                         // among the workers that a rule may act on
  double decode_tokens_since_report{};    // part of decode_tokens that was sent since the last load report
  Nanos reported_at{};
  double reported_requests{-1};
  double own_requests_at_report{};
  double reported_memory_share{-1};
  double measured_prefill_seconds{};   // decayed sum
  double predicted_prefill_seconds{};  // decayed sum, by the fit over all prefill workers
  Nanos speed_updated_at{};
  // Valid only while a choice among the workers is made.
  double seconds_per_token{}, load_score{}, cache_advantage{}, memory_fullness{};
};

// A worker that has cached the tokens of a session or shared prefix.
struct PrefixHolder {
  int worker{};
  double tokens{};
  Nanos recorded_at{};
};

// The ready workers, counted at the end of each worker list: [0] decode and mixed workers, [1] prefill
// workers.
struct WorkerCounts {
  std::vector<int> ready[2];  // indices, ascending
  std::unordered_map<int, double> in_zone[2];
  std::unordered_map<int, std::unordered_map<int, double>> in_cell[2];  // by zone, then cell
};

struct PolicyState {
  std::vector<RequestState> requests;  // by index
  std::vector<int> active;             // requests that a rule may act on, in order of arrival
  std::size_t parked{};                // number of requests that are not active
  std::vector<int> queue;              // parked requests that wait for a prefill
  Nanos queue_next_timeout{kNever};    // none in the queue exceeds its queue time before
  Nanos queue_next_deadline{kNever};   // none in the queue has an earlier deadline
  std::uint64_t arrivals{};
  int in_flight{};              // requests from the start of their prefill to their first token
  std::vector<Worker> workers;  // by index
  std::vector<int> watched;     // workers with pending attempts or enough failures to be ejected
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
  double recent_successes[2]{};         // decayed counts of those that brought a first token or a prefill
  std::vector<double> tenant_arrivals;  // decayed count of each tenant's requests
  std::vector<Nanos> tenant_updated_at;
  Nanos subscribed_at{};
  Nanos next_wakeup_at{};
  std::uint64_t random_state{};
  std::uint64_t random_increment{};
};

}  // namespace cressrill
