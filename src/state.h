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
enum class Role { reader, writer, mixed };
enum class Standing { gone, ready, draining };
enum class Stage { waiting, reading, read, writing, streaming, over };
enum class Outcome {
  generated,
  read_done,
  error,
  full,
  no_state,
  timed_out,
  connect_failed,
  connection_lost,
  cancelled,
  not_sent,
};

struct Report {
  bool heard{};
  double sequences{-1};     // held by the worker, waiting states too; negative where not reported
  double memory_share{-1};  // negative where not reported
};

struct Mean {  // smoothed, the first samples in full
  double value{};
  double n{};
};

struct Line {  // decayed sums for a line through (tokens, seconds)
  double n{};
  double x{};
  double t{};
  double xx{};
  double xt{};
  Nanos at{};
};

struct Attempt {
  int worker{};
  bool reads{};
  bool out{};
  bool begun{};         // its stream flows
  bool failed_there{};  // its worker was full, or kept it waiting too long
  bool given_up{};      // cancelled, or no longer waited for
  bool stray{};         // a read that may have left a state without a word
  Nanos sent{};
  Nanos expected{};   // how long it should take
  double tokens{};    // work it lays on the worker
  double ahead{};     // own tokens that waited at the reader before it
  double promised{};  // tokens that the table expected to be kept
  Nanos promised_at{};
};

struct Sequence {
  int id{};
  Stage stage{};
  int type{};
  bool in_share{};
  double luck{};     // drawn once, decides which cold workers it may go to
  double to_read{};  // tokens that no reader is thought to hold
  std::uint64_t session{};
  std::uint64_t beginning{};
  double prompt{};
  double beginning_tokens{};
  double max_out{};
  Nanos came{};
  Nanos slo_at{};
  Nanos read_at{};  // when it left the line
  Nanos abandon_at{};
  Nanos pinned_since{};  // last outcome, while a state may be held; kNever: nothing held
  int reader{-1};        // where the state waits
  int maybe_ran_at{-1};  // writer of the first attempt not proved idle
  Nanos maybe_ran_since{};
  bool maybe_ran{};       // some ended write attempt may have run
  bool parked{};          // not among the live ones until something happens to it
  std::uint64_t order{};  // of arrival
  std::vector<Attempt> attempts{};
};

struct Worker {
  bool known{};
  std::uint64_t identity{};
  Standing standing{};
  Role role{};
  int kind{};
  int zone{};
  int cell{};
  Nanos started{};      // as listed
  Nanos void_before{};  // what it kept before is not believed in
  Nanos gone_since{};   // 0: it is listed
  Nanos cold_since{};   // start by the list or guessed from symptoms; kNever: warm
  Nanos heard{};        // last sign of life
  bool broke{};         // a connection broke since it was last heard,
  bool was_down{};      // and then none could be made
  Nanos aside_until{};
  bool on_trial{};   // back from being aside, one sequence at a time until it answers
  double strikes{};  // failures, ageing with every success
  Nanos full_until{};
  int pending{};                    // own attempts out, neither read nor begun to stream
  int states{};                     // own states that wait here
  double read_tokens{};             // own tokens waiting to be read here
  double stream_tokens{};           // own tokens held or on their way here
  mutable Nanos late_from{kNever};  // no attempt that is out here and unheard is late before
  bool watched{};                   // among those that a rule may act on
  double since_report{};            // of these, sent since the last report
  Nanos reported{};
  double sequences{-1};
  double own_at_report{};
  double memory_share{-1};
  double took{};  // decayed sums: seconds its reads took, and should have taken
  double should_take{};
  Nanos paced_at{};
  double pace{}, ease{}, gain{}, full{};  // while one choice among the workers is made
};

struct Holding {
  int worker{};
  double tokens{};
  Nanos at{};
};

// Who is listed, counted when a list ends: [0] for writers and mixed workers, [1] for readers.
struct Census {
  std::vector<int> ready[2];  // by small index, ascending
  std::unordered_map<int, double> in_zone[2];
  std::unordered_map<int, std::unordered_map<int, double>> in_cell[2];  // by zone, then cell
};

struct Instance {
  std::vector<Sequence> sequences;  // by small index
  std::vector<int> live;            // those that a rule may act on, in order of arrival
  std::size_t parked{};             // and how many more there are,
  std::vector<int> queue;           // of which these wait for a read,
  Nanos queue_due{kNever};          // none of them with its patience at an end before this,
  Nanos queue_abandon{kNever};      // or abandoned before this
  std::uint64_t came{};
  int in_flight{};              // sequences that are reading, read or writing
  std::vector<Worker> workers;  // by small index
  std::vector<int> watched;     // those with attempts pending, or failures
  Census census;
  std::unordered_map<std::uint64_t, std::vector<Holding>> holders;
  double limit{};         // sequences in flight before their first token
  Mean memory_shares[3];  // of the workers heard, by role,
  Mean others[3];         // and what other routers held there
  Line line{};            // what reads take, all readers
  double read_tokens{};   // smoothed work of one read
  Nanos limit_cut{};
  double strain{};  // smoothed share of the latency SLO from the read's start to the first token
  Nanos holders_swept{};
  double first_wait{};              // smoothed wait for a first token at a writer
  double read_wait{};               // smoothed time of a read
  double sends[2]{};                // ageing counts of sends to writers and to readers
  double answers[2]{};              // and of those that brought a first token or a read
  std::vector<double> tenant_came;  // ageing count of each tenant's sequences
  std::vector<Nanos> tenant_at;
  Nanos list_asked{};
  Nanos woken_at{};
  std::uint64_t chance{};
  std::uint64_t chance_step{};
};

}  // namespace cressrill
