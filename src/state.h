// Plain types, grouped by how long they live: a schedule attempt, a sequence, a worker, the instance.
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

struct LoadReport {
  bool received{};
  double requests{-1};      // held by the worker, waiting states too; negative where not reported
  double memory_share{-1};  // negative where not reported
};

struct RunningMean {  // smoothed, the first samples in full
  double value{};
  double samples{};
};

struct LinearFit {  // decayed sums for a line through (tokens, seconds)
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
  bool stream_started{};         // its stream flows
  bool rejected_or_timed_out{};  // its worker was full, or kept it waiting too long
  bool abandoned{};              // cancelled, or no longer waited for
  bool may_have_left_kv{};       // a read that may have left a state without a word
  Nanos sent_at{};
  Nanos expected_duration{};        // how long it should take
  double load_tokens{};             // work it lays on the worker
  double queued_tokens_ahead{};     // own tokens that waited at the reader before it
  double expected_cached_tokens{};  // tokens that the table expected to be kept
  Nanos prefix_recorded_at{};
};

struct RequestState {
  int id{};
  Stage stage{};
  int type{};
  bool within_tenant_share{};
  double admission_draw{};   // drawn once, decides which cold workers it may go to
  double uncached_tokens{};  // tokens that no reader is thought to hold
  std::uint64_t session{};
  std::uint64_t prefix_hash{};
  double prompt_tokens{};
  double prefix_tokens{};
  double max_output_tokens{};
  Nanos arrived_at{};
  Nanos slo_deadline{};
  Nanos dequeued_at{};  // when it left the line
  Nanos deadline{};
  Nanos kv_held_since{};     // last outcome, while a state may be held; kNever: nothing held
  int prefill_worker{-1};    // where the state waits
  int maybe_ran_worker{-1};  // writer of the first attempt not proved idle
  Nanos maybe_ran_since{};
  bool maybe_ran{};               // some ended write attempt may have run
  bool parked{};                  // not among the live ones until something happens to it
  std::uint64_t arrival_order{};  // of arrival
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
  Nanos started_at{};         // as listed
  Nanos cache_valid_since{};  // what it kept before is not believed in
  Nanos gone_since{};         // 0: it is listed
  Nanos cold_since{};         // start by the list or guessed from symptoms; kNever: warm
  Nanos last_heard{};         // last sign of life
  bool connection_broken{};   // a connection broke since it was last heard,
  bool was_unreachable{};     // and then none could be made
  Nanos ejected_until{};
  bool half_open{};        // back from being aside, one sequence at a time until it answers
  double failure_score{};  // failures, ageing with every success
  Nanos backoff_until{};
  int pending_attempts{};                 // own attempts out, neither read nor begun to stream
  int kv_entries{};                       // own states that wait here
  double prefill_tokens{};                // own tokens waiting to be read here
  double decode_tokens{};                 // own tokens held or on their way here
  mutable Nanos next_overdue_at{kNever};  // no attempt that is out here and unheard is late before
  bool watched{};                         // among those that a rule may act on
  double decode_tokens_since_report{};    // of these, sent since the last report
  Nanos reported_at{};
  double reported_requests{-1};
  double own_requests_at_report{};
  double reported_memory_share{-1};
  double measured_prefill_seconds{};  // decayed sums: seconds its reads took, and should have taken
  double predicted_prefill_seconds{};
  Nanos speed_updated_at{};
  double seconds_per_token{}, load_score{}, cache_advantage{},
      memory_fullness{};  // while one choice among the workers is made
};

struct PrefixHolder {
  int worker{};
  double tokens{};
  Nanos recorded_at{};
};

// Who is listed, counted when a list ends: [0] for writers and mixed workers, [1] for readers.
struct WorkerCounts {
  std::vector<int> ready[2];  // by small index, ascending
  std::unordered_map<int, double> in_zone[2];
  std::unordered_map<int, std::unordered_map<int, double>> in_cell[2];  // by zone, then cell
};

struct PolicyState {
  std::vector<RequestState> requests;  // by small index
  std::vector<int> active;             // those that a rule may act on, in order of arrival
  std::size_t parked{};                // and how many more there are,
  std::vector<int> queue;              // of which these wait for a read,
  Nanos queue_next_timeout{kNever};    // none of them with its patience at an end before this,
  Nanos queue_next_deadline{kNever};   // or abandoned before this
  std::uint64_t arrivals{};
  int in_flight{};              // sequences that are reading, read or writing
  std::vector<Worker> workers;  // by small index
  std::vector<int> watched;     // those with attempts pending, or failures
  WorkerCounts worker_counts;
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> prefix_holders;
  double in_flight_limit{};            // sequences in flight before their first token
  RunningMean mean_memory_share[3];    // of the workers heard, by role,
  RunningMean mean_other_requests[3];  // and what other routers held there
  LinearFit prefill_time_fit{};        // what reads take, all readers
  double mean_prefill_tokens{};        // smoothed work of one read
  Nanos limit_cut_at{};
  double latency_pressure{};  // smoothed share of the latency SLO from the read's start to the first token
  Nanos holders_swept_at{};
  double mean_first_token_seconds{};    // smoothed wait for a first token at a writer
  double mean_prefill_seconds{};        // smoothed time of a read
  double recent_sends[2]{};             // ageing counts of sends to writers and to readers
  double recent_answers[2]{};           // and of those that brought a first token or a read
  std::vector<double> tenant_arrivals;  // ageing count of each tenant's sequences
  std::vector<Nanos> tenant_updated_at;
  Nanos subscribed_at{};
  Nanos next_wakeup_at{};
  std::uint64_t random_state{};
  std::uint64_t random_increment{};
};

}  // namespace cressrill
