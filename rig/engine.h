// A stand-in for a prefill, decode or mixed engine, listening on a socket of its own. It runs prefills in
// order of arrival, caches prefixes, holds the KV cache of a prefill until a decode engine fetches it, and
// decodes its running requests in steps. Slots, queue and memory are bounded, it starts cold after a restart,
// and faults can be injected. Its timing is a model, not a measurement of a real engine.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "record.h"
#include "state.h"

namespace cressrill::rig {

// The settings of one engine: an [[engine]] table.
struct EngineConfig {
  std::string name;
  std::string address;  // address and port to listen on
  std::string kind;
  Role role{};
  std::string zone;
  std::string cell;
  int slots = 8;                      // requests that are decoded at once
  int queue = 32;                     // further requests that may wait
  double memory_tokens = 150'000;     // tokens of KV cache that fit into memory
  double read_per_s = 20'000;         // prompt tokens a second in a prefill
  double read_overhead_ms = 5;        // added to each prefill
  double step_ms = 12;                // a decode step: one token for every running request
  double step_ms_per_sequence = 0.1;  // added to a step for each running request
  double transfer_per_s = 250'000;    // tokens of KV cache a second, sent by this engine
  double far_factor = 2;              // a transfer to another cell takes this many times as long
  double report_ms = 200;             // interval at which the load report is refreshed
  double cold_from = 0.3;             // share of its capacity that a cold engine starts with
  double ramp_ms = 10'000;            // from a cold start to full capacity
  double fall_multiple = 3;           // a cold engine crashes if the work that arrives within fall_ms ...
  double fall_ms = 2'000;             // ... exceeds fall_multiple times its present capacity
  double state_expiry_ms = 6'000;     // KV cache that was not fetched is dropped after this time
};

// A fault that is injected into an engine.
struct Fault {
  std::string kind;  // crash, vanish, slow, throttle, flush, fast_errors, handshake_slow, cut, ageing
  double size{};  // slow, ageing: factor; throttle, fast_errors, cut: share; handshake_slow: ms a connection
  io::Nanos duration{};  // the fault ends after this time; 0: it does not end
  std::string to;        // throttle: the tenant or traffic type concerned; empty: all
};

// The tokens of a prompt. A token is up to five letters or digits, or one other character; spaces are
// skipped. Prefixes are identified by chained hashes of blocks of kTokensPerBlock tokens.
struct Tokens {
  std::size_t count{};
  // One hash for each full block; it covers all tokens up to the end of the block.
  std::vector<std::uint64_t> blocks;
};
constexpr std::size_t kTokensPerBlock = 16;
Tokens tokenize(std::string_view text);

// Starts to listen in the constructor, which throws std::invalid_argument if the address cannot be parsed.
// Requests, KV cache and prefix cache are lost when a fault stops the engine.
class Engine {
 public:
  Engine(io::Loop& loop, EngineConfig config, Recorder& record);
  ~Engine();
  const EngineConfig& config() const { return config_; }
  const io::Address& address() const { return address_; }
  bool up() const { return server_ != nullptr; }
  io::Nanos started() const { return started_; }  // time of the last restart; 0: never restarted
  void apply(const Fault& fault);
  // The callback is called after every restart and stop, so that the worker list can be updated.
  void on_change(std::function<void(bool up)> callback) { on_change_ = std::move(callback); }
  std::size_t kv_entries() const { return kv_entries_.size(); }
  std::size_t requests_in_progress() const {
    return prefill_queue_.size() + decode_queue_.size() + running_.size();
  }

 private:
  // One attempt of a request at this engine.
  struct Job {
    explicit Job(io::Loop& loop) : updated(loop) {}
    std::string id;
    std::string router;
    std::string type;
    std::string tenant;
    std::string idempotency_key;
    Tokens tokens;                   // of the prompt
    std::size_t output_tokens{};     // tokens to generate
    std::size_t generated_tokens{};  // tokens generated so far
    std::string kv_id;               // prefill attempt whose KV cache is to be fetched; empty: none
    std::string kv_address;          // address of the prefill engine that holds it
    std::string kv_cell;
    std::size_t cached_tokens{};
    bool cancelled{};
    bool done{};
    bool kv_missing{};  // the KV cache could not be fetched
    bool fetched{};
    double reserved_tokens{};  // memory of a decode engine
    io::Signal updated;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct KvEntry {
    double tokens{};
    std::string cell;
    bool transferring{};     // a transfer is in progress: the entry can neither expire nor be released
    std::uint64_t serial{};  // tells this entry from a later one with the same id
  };

  void start();
  void stop(const char* reason);
  double ramped_capacity() const;  // share of the full capacity that the cold start has reached
  double speed() const;  // share of the full speed: the cold start and the faults that slow the engine down
  // Adds the work of a request, in seconds at full capacity, and returns whether it makes the engine crash.
  bool overloads(double work_s);
  double random();  // from 0 to 1

  io::Task<> serve(http::Request& request, http::ResponseWriter& response);
  io::Task<> serve_completion(http::Request& request, http::ResponseWriter& response, bool chat);
  // Cancels the job when its client closes the connection.
  static io::Task<> cancel_on_client_close(http::ResponseWriter& response, JobPtr job);
  io::Task<> serve_prefill(JobPtr job, http::ResponseWriter& response, bool chat);
  io::Task<> serve_decode(JobPtr job, http::ResponseWriter& response, bool chat);
  io::Task<> serve_kv_fetch(const std::string& id, const std::string& cell, http::ResponseWriter& response);
  io::Task<> fetch_kv(JobPtr job);
  io::Task<> run_prefills();
  io::Task<> run_decode_steps();
  io::Task<> expire_kv(std::string id, std::uint64_t serial);
  io::Task<> wait_while_silent();  // a "vanish" fault makes the engine silent
  // Takes requests from the decode queue while slots and memory are free.
  void admit();
  void preempt();
  // Caches the blocks of a prompt and returns how many of its leading tokens were cached before.
  std::size_t cache_prefix(const Tokens& tokens);
  // event: taken, freed or expired, as the record names it.
  void release_kv(const std::string& id, const char* event);
  std::string load_header();
  void record_job(const char* event, const Job& job, Recorder::Line more = Recorder::Line::object());
  io::Task<> respond_with_error(http::ResponseWriter& response, const Job& job, int status, const char* code);
  io::Task<> run_after(io::Nanos delay, std::function<void()> action);

  io::Loop& loop_;
  EngineConfig config_;
  Recorder& record_;
  io::Address address_;
  std::function<void(bool)> on_change_;
  std::unique_ptr<http::Server> server_;
  io::Nanos started_{};
  bool cold_{};
  std::uint64_t random_state_;

  double slowdown_{1};
  double error_share_{};
  double throttle_share_{};
  std::string throttle_target_;
  double cut_share_{};
  bool silent_{};
  io::Signal silence_ended_;

  std::deque<JobPtr> prefill_queue_;
  std::deque<JobPtr> decode_queue_;  // waiting for a slot and memory
  std::vector<JobPtr> fetching_;     // admitted; their KV cache is being fetched
  std::vector<JobPtr> running_;      // in order of admission
  std::unordered_map<std::string, KvEntry> kv_entries_;
  std::list<std::uint64_t> cache_order_;  // blocks, most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_blocks_;
  std::unordered_map<std::string, io::Nanos> seen_idempotency_keys_;  // with the time of the first run
  double kv_tokens_held_{};
  double decode_tokens_{};                                // reserved by fetching_ and running_
  std::deque<std::pair<io::Nanos, double>> recent_work_;  // while cold: arrival time and seconds of work
  std::uint64_t last_serial_{};
  std::string load_header_;
  io::Nanos load_header_made_at_{};
  io::Signal prefill_queued_;
  io::Signal decode_ready_;
  std::unordered_map<std::string, std::shared_ptr<http::Pool>> peers_;
  io::Scope faults_;
  io::Scope work_;
};

}  // namespace cressrill::rig
