// A stand-in for an engine with separate prefill and decode, listening on a socket of its own. It runs
// prefills in order of arrival, caches prefixes, holds the KV cache of a prefill until a decode engine
// fetches it, and decodes its running requests in steps. Slots, queue and memory are bounded, it starts cold
// after a restart, and faults can be injected. Its timing is a model, not a measurement of a real engine.
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

struct EngineConfig {
  std::string name;
  std::string address;
  std::string kind;
  Role role{};
  std::string zone;
  std::string cell;
  int slots = 8;
  int queue = 32;
  double memory_tokens = 150'000;
  double read_per_s = 20'000;         // prompt tokens a second in a prefill
  double read_overhead_ms = 5;        // added to each prefill
  double step_ms = 12;                // a decode step: one token for every running request
  double step_ms_per_sequence = 0.1;  // added to a step for each running request
  double transfer_per_s = 250'000;    // tokens of KV cache a second, sent by this engine
  double far_factor = 2;              // a transfer to another cell takes this many times as long
  double report_ms = 200;             // interval at which the load report is refreshed
  double cold_from = 0.3;             // share of its capacity that a cold engine starts with
  double ramp_ms = 10'000;            // from a cold start to full capacity
  double fall_multiple = 3;        // a cold engine crashes beyond this multiple of its present capacity ...
  double fall_ms = 2'000;          // ... over this span
  double state_expiry_ms = 6'000;  // KV cache that nobody fetched is dropped after this time
};

// A fault that is injected into an engine.
struct Fault {
  std::string kind;  // crash, vanish, slow, throttle, flush, fast_errors, handshake_slow, cut, ageing
  double size{};  // slow, ageing: factor; throttle, fast_errors, cut: share; handshake_slow: ms a connection
  io::Nanos span{};  // the fault ends after this time; 0: it lasts
  std::string to;    // throttle: the tenant or traffic type concerned; empty: all
};

// The tokenizer of the stand-ins: a token is up to five letters or digits, or one other character; spaces are
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
  io::Nanos started() const { return started_; }
  void apply(const Fault& fault);
  // Called after every restart and stop, so that the worker list can follow.
  void on_change(std::function<void(bool up)> callback) { on_change_ = std::move(callback); }
  std::size_t kv_entries() const { return kv_entries_.size(); }
  std::size_t requests_in_progress() const {
    return prefill_queue_.size() + decode_queue_.size() + running_.size();
  }

 private:
  struct Job {
    explicit Job(io::Loop& loop) : updated(loop) {}
    std::string id, router, type, tenant, idempotency_key;
    Tokens tokens;
    std::size_t output_tokens{};  // tokens to generate
    std::size_t generated{};      // tokens generated so far
    std::string kv_id;            // request whose KV cache is to be fetched
    std::string kv_address;       // address of the prefill engine that holds it
    std::string kv_cell;
    std::size_t cached_tokens{};
    bool cancelled{};
    bool done{};
    bool kv_missing{};  // the KV cache could not be fetched
    bool fetched{};
    double reserved_memory{};  // tokens
    io::Signal updated;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct KvEntry {
    double tokens{};
    std::string cell;
    bool transferring{};     // a transfer is under way: it can neither expire nor be released
    std::uint64_t serial{};  // tells this entry from a later one with the same id
  };

  void start();
  void stop(const char* why);
  double ramped_capacity() const;  // share of the full capacity that the cold start has reached
  double speed() const;
  bool overloads(double work_s);
  double random();

  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  io::Task<> serve_completion(http::Request& request, http::ResponseWriter& answer, bool chat);
  // Cancels the job when its client closes the connection.
  static io::Task<> cancel_on_client_close(http::ResponseWriter& answer, JobPtr job);
  io::Task<> serve_prefill(JobPtr job, http::ResponseWriter& answer, bool chat);
  io::Task<> serve_decode(JobPtr job, http::ResponseWriter& answer, bool chat);
  io::Task<> serve_kv_fetch(const std::string& id, const std::string& cell, http::ResponseWriter& answer);
  io::Task<> fetch_kv(JobPtr job);
  io::Task<> run_prefills();
  io::Task<> run_decode_steps();
  io::Task<> expire_kv(std::string id, std::uint64_t serial);
  io::Task<> wait_while_silent();
  void admit();
  void preempt();
  // Returns how many leading tokens were cached before.
  std::size_t cache_prefix(const Tokens& tokens);
  void release_kv(const std::string& id, const char* how);
  std::string load_header();
  void record_job(const char* event, const Job& job, Recorder::Line more = Recorder::Line::object());
  io::Task<> refuse(http::ResponseWriter& answer, const Job& job, int status, const char* code);
  io::Task<> run_after(io::Nanos span, std::function<void()> then);

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
  std::vector<JobPtr> fetching_;
  std::vector<JobPtr> running_;  // oldest first
  std::unordered_map<std::string, KvEntry> kv_entries_;
  std::list<std::uint64_t> cache_order_;  // blocks, most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_blocks_;
  std::unordered_map<std::string, io::Nanos> seen_idempotency_keys_;  // with the time of the first run
  double kv_tokens_held_{};
  double decode_tokens_{};
  std::deque<std::pair<io::Nanos, double>> recent_work_;  // arrival time and seconds of work, while cold
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
