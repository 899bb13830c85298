// A request whose KV cache is held, explored in simulated time: workers, links and a router that is driven by KvHold as the
// releaser drives it. What happens next is chosen from outside, one event after another, so that a search can try each order.
// Written from the protocol's description. Free of I/O.
//
// Assumed: one more worker is in reach throughout (with none, nothing can be released); a prefill runs at least for the time
// that is expected of it; bytes that a silent link has kept arrive at the latest as long after it passes again as it was
// silent while they waited, and it does not fall silent before; where an attempt is given up before its request has arrived,
// the end of its connection arrives right behind the request, before the worker has done anything.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kv_hold.h"
#include "rig/hold_rule.h"

namespace cressrill::rig::model {

struct ModelOptions {
  Nanos limit{1'000'000'000};
  bool parallel{true};    // whether attempts of one stage may be out beside each other
  bool cancelling{true};  // whether the router may give up an attempt before its time-out
  bool operator==(const ModelOptions&) const = default;
};

enum class Happening {
  time_passes,        // `value` is how long
  prefill_written,    // at `worker`; `value` is for how long it is expected to run
  decode_written,     // at `worker`
  request_arrives,    // of `attempt`, as all the next ones up to gives_up
  prefill_ends,       // with KV cache held, and its answer leaves
  prefill_fails,      // having left some, and its answer leaves
  prefill_refused,    // it has not run, and its answer leaves
  decode_takes,       // and the first byte of its answer leaves
  decode_refused,     // and its answer leaves
  decode_breaks,      // and the end of its connection leaves
  stream_ends,        // and no word of it reaches the router
  answer_arrives,     // at the router
  end_arrives,        // of its connection, at the worker
  gives_up,           // the router waits no longer for it
  connection_silent,  // for good, both ways, while others to its worker pass
  link_falls_silent,  // of `worker`, both ways
  link_passes,        // of `worker`
  worker_answers,     // a call of another request, at once
  release_wanted,     // by the decisions
  release_arrives,    // at a worker
  release_confirmed,  // at the router
  request_over,       // it has its final answer, or its client has left
};

struct Event {
  Happening what{};
  int attempt{-1};
  int worker{-1};
  Nanos value{};
  bool operator==(const Event&) const = default;
};

const char* word(Happening what);

class HoldModel {
 public:
  explicit HoldModel(const ModelOptions& options);

  // What may happen now.
  std::vector<Event> possible() const;
  // One of those. Whatever is due by itself happens before, as time passes.
  void apply(const Event& event);
  // The first thing that went wrong: the rule broken, or an event that KvHold says is not possible.
  const std::optional<std::string>& breach() const { return breach_; }
  Nanos now() const { return now_; }
  // One line for what stands now, for a printed trace.
  std::string describe() const;

  std::size_t hash() const;
  bool operator==(const HoldModel&) const = default;

 private:
  enum class Answer { none, done, failed, refused, missing, begun, broken };
  struct Attempt {
    int worker{};
    bool prefill{};
    Nanos written{};
    Nanos runs_for{};
    Nanos came{kNever};  // at its worker
    Nanos over{kNever};  // at its worker
    bool has_taken{};    // of a decode attempt
    bool voided{};       // of a prefill: a release came while it was under way
    Answer answer{};     // that has left its worker
    Nanos answer_sent{};
    bool answer_heard{};
    bool out{true};          // the router waits for it
    bool silent{};           // its connection
    Nanos given_up{kNever};  // by the router, so that the end of its connection is under way
    bool operator==(const Attempt&) const = default;
    bool arrived() const { return came != kNever; }
    bool at_worker() const { return arrived() && over == kNever; }
  };
  struct Link {
    bool silent{};
    Nanos since{};   // when it fell silent
    Nanos passed{};  // when it passed again
    bool operator==(const Link&) const = default;
  };
  struct ReleaseCall {
    bool out{};
    bool arrived{};
    Nanos written{};
    Nanos arrived_at{};
    bool operator==(const ReleaseCall&) const = default;
  };

  Link& link(const Attempt& attempt) { return links_[static_cast<std::size_t>(attempt.worker)]; }
  const Link& link(const Attempt& attempt) const { return links_[static_cast<std::size_t>(attempt.worker)]; }
  WorkerRef identity(int worker) const;
  Nanos arrives_by(const Attempt& attempt, Nanos sent) const;
  Nanos next_due() const;
  void pass_until(Nanos until);
  void happen_due();
  void happen_due(int attempt);
  void drive();

  void write(bool prefill, const Event& event);
  void request_arrives(int attempt);
  void leave(Attempt& attempt, Answer answer);
  void end_at_worker(Attempt& attempt);
  void answer_arrives(int attempt);
  void give_up(int attempt);
  void release_arrives();
  void release_confirmed();
  void note(HoldEvent event);
  void note_attempt(HoldEvent event, int attempt, Nanos runs_for = 0);
  void fail(std::string what);
  void judge();
  std::vector<Event> possible_of_router() const;
  void possible_of_attempt(int attempt, std::vector<Event>& out) const;
  void possible_of_link(int worker, std::vector<Event>& out) const;

  ModelOptions options_;
  KvHold hold_;
  Nanos now_{};
  std::vector<Attempt> attempts_;
  std::vector<Link> links_;
  std::vector<HoldMark> marks_;
  ReleaseCall release_;
  bool held_{};   // KV cache lies at a worker
  bool over_{};   // the request
  bool begun_{};  // its answer
  std::optional<std::string> breach_;
};

}  // namespace cressrill::rig::model
