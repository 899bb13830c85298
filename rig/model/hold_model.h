// A model, in simulated time, of one request whose KV cache may be held at a worker. It consists of the
// workers, the links to them and a router that drives KvHold as KvReleaser does. The caller picks each next
// event, so that a search can try every order of events. The model is written from the description of the
// protocol, not from the router's code, and does no I/O.
//
// Assumptions:
// - A further worker, which only takes release calls, stays reachable throughout; without a reachable worker
//   nothing could be released.
// - A prefill runs at least for its expected run time.
// - Once a silent link recovers, the bytes that it delayed arrive within the time for which they were
//   delayed, and the link does not fall silent again before that.
// - If the router gives up an attempt before its request has arrived, the close of the connection arrives
//   directly after the request, before the worker has acted on it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kv_hold.h"
#include "rig/hold_rule.h"

namespace cressrill::rig::model {

struct ModelOptions {
  Nanos limit{1'000'000'000};  // how long KV cache may be held
  bool parallel{true};         // whether several attempts of one stage may be in flight at a time
  bool cancelling{true};       // whether the router may give up an attempt before its timeout
  bool operator==(const ModelOptions&) const = default;
};

enum class EventType {
  time_passes,      // for `duration` nanoseconds
  prefill_written,  // the router writes a prefill to `worker`, expected to run for `duration` nanoseconds
  decode_written,   // the router writes a decode attempt to `worker`
  // The events from here to connection_falls_silent are of `attempt`.
  request_arrives,  // the request arrives at its worker
  prefill_ends,     // the worker holds the KV cache and sends its response
  prefill_fails,    // the worker holds some KV cache and sends an error
  prefill_refused,  // the worker sends a refusal without running the prefill
  decode_starts,    // the worker takes the KV cache and starts its response; sends an error if none is held
  decode_refused,   // the worker sends a refusal
  decode_breaks,    // the worker closes the connection without a response
  stream_ends,      // the stream ends at the worker; the router is not notified
  answer_arrives,   // the worker's response, or its start, arrives at the router
  close_arrives,    // the router's close of the connection arrives at the worker
  router_gives_up,  // the router stops waiting for the attempt
  connection_falls_silent,  // permanently, in both directions; other connections to its worker still work
  link_falls_silent,        // in both directions, for all connections to `worker`
  link_passes,              // the link to `worker` recovers
  worker_answers,           // the router gets a response from `worker` to a call of another request
  release_wanted,           // the policy requests a release
  release_arrives,          // the release call arrives at a worker
  release_confirmed,        // the confirmation arrives at the router
  request_over,             // the client has its final response, or has left
};

struct Event {
  EventType type{};
  int attempt{-1};
  int worker{-1};
  Nanos duration{};
  bool operator==(const Event&) const = default;
};

const char* to_string(EventType type);

class HoldModel {
 public:
  explicit HoldModel(const ModelOptions& options);

  // The events that can occur in the current state.
  std::vector<Event> possible_events() const;
  // Applies one of possible(). For time_passes, everything that falls due in that time is applied in order.
  void apply(const Event& event);
  // The first error: a breach of the hold rule, or an event that KvHold rejected in its current state.
  const std::optional<std::string>& breach() const { return breach_; }
  Nanos now() const { return now_; }
  // The current state in one line, for a printed timeline.
  std::string describe() const;

  std::size_t hash() const;
  bool operator==(const HoldModel&) const = default;

 private:
  enum class Response { none, done, failed, refused, kv_missing, started, broken };
  struct Attempt {
    int worker{};
    bool is_prefill{};
    Nanos written_at{};
    Nanos expected_run_time{};      // expected duration of a prefill
    Nanos arrived_at{kNever};       // when its request arrived at the worker
    Nanos ended_at{kNever};         // when it ended at the worker
    bool has_taken_kv{};            // a decode attempt has taken the KV cache
    bool released_while_running{};  // a release arrived while this prefill ran: it leaves no KV cache
    Response response{};            // what its worker has sent
    Nanos response_sent_at{};
    bool response_received{};
    bool in_flight{true};       // the router still waits for it
    bool silent{};              // its connection has fallen silent
    Nanos given_up_at{kNever};  // when the router gave it up and closed its connection
    bool operator==(const Attempt&) const = default;
    bool arrived() const { return arrived_at != kNever; }
    bool at_worker() const { return arrived() && ended_at == kNever; }
  };
  struct Link {
    bool silent{};
    Nanos silent_since{};  // when it last fell silent
    Nanos recovered_at{};  // when it last recovered; 0 if it never has
    bool operator==(const Link&) const = default;
  };
  struct ReleaseCall {
    bool in_flight{};
    bool arrived{};
    Nanos written_at{};
    Nanos arrived_at{};
    bool operator==(const ReleaseCall&) const = default;
  };

  Link& link(const Attempt& attempt) { return links_[static_cast<std::size_t>(attempt.worker)]; }
  const Link& link(const Attempt& attempt) const { return links_[static_cast<std::size_t>(attempt.worker)]; }
  WorkerRef worker_ref(int worker) const;
  // The latest time at which bytes sent at `sent_at` on the attempt's connection arrive; kNever while it is
  // silent.
  Nanos arrives_by(const Attempt& attempt, Nanos sent_at) const;
  // The time of the next event that occurs without being chosen.
  Nanos next_due() const;
  void advance_until(Nanos until);
  void apply_due_events();
  void apply_due_events_of(int attempt_index);
  // Starts a release call if KvHold has one due.
  void start_due_release();

  void write_attempt(bool is_prefill, const Event& event);
  void request_arrives(int attempt_index);
  void send_response(Attempt& attempt, Response response);
  void end_at_worker(Attempt& attempt);
  void answer_arrives(int attempt_index);
  void give_up(int attempt_index);
  void release_arrives();
  void release_confirmed();
  void record(HoldEvent event);
  void record_attempt(HoldEvent event, int attempt_index, Nanos expected_run_time = 0);
  // Only the first one is kept.
  void report_breach(std::string breach);
  void check_rule();
  std::vector<Event> possible_router_events() const;
  void add_possible_attempt_events(int attempt_index, std::vector<Event>& events) const;
  void add_possible_link_events(int worker, std::vector<Event>& events) const;

  ModelOptions options_;
  KvHold hold_;
  Nanos now_{};
  std::vector<Attempt> attempts_;
  std::vector<Link> links_;
  std::vector<KvAction> kv_actions_;
  ReleaseCall release_;
  bool held_{};  // a worker holds KV cache
  bool request_over_{};
  bool final_response_started_{};  // the router has received the start of the final response
  std::optional<std::string> breach_;
};

}  // namespace cressrill::rig::model
