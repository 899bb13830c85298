// A stand-in for an engine of two-stage serving, on a socket of its own. It reads prompts first come first, keeps
// texts, holds states until they are fetched, writes tokens in steps, is bounded in slots, queue and memory,
// starts cold, and fails as it is told to. A model, not a measurement of any real engine.
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

struct EngineMake {
  std::string name;
  std::string address;
  std::string kind;
  Role role{};
  std::string zone;
  std::string cell;
  int slots = 8;
  int queue = 32;
  double memory_tokens = 150'000;
  double read_per_s = 20'000;  // prompt tokens a second
  double read_overhead_ms = 5;
  double step_ms = 12;  // one token for every running answer
  double step_ms_per_sequence = 0.1;
  double transfer_per_s = 250'000;  // tokens of state a second, from this reader
  double far_factor = 2;            // slower to another cell
  double report_ms = 200;
  double cold_from = 0.3;
  double ramp_ms = 10'000;
  double fall_multiple = 3;
  double fall_ms = 2'000;
  double state_expiry_ms = 6'000;  // states that nobody fetched are dropped
};

// What an engine is told to do wrong.
struct Fault {
  std::string kind;  // crash, vanish, slow, throttle, flush, fast_errors, handshake_slow, cut, ageing
  double size{};     // slow: factor; throttle, fast_errors, cut: share; handshake_slow: ms a connection
  io::Nanos span{};  // ends by itself after so long
  std::string to;    // throttle: one tenant or traffic type; empty: all
};

// Tokens of the stand-ins: words of up to five letters, and single signs. Prefixes are known by chained hashes of
// blocks of sixteen.
struct Tokens {
  std::size_t count{};
  std::vector<std::uint64_t> blocks;
};
constexpr std::size_t kBlock = 16;
Tokens tokenize(std::string_view text);

class Engine {
 public:
  Engine(io::Loop& loop, EngineMake make, Recorder& record);
  ~Engine();
  const EngineMake& make() const { return make_; }
  const io::Address& address() const { return address_; }
  bool up() const { return server_ != nullptr; }
  io::Nanos started() const { return started_; }
  void apply(const Fault& fault);
  // Told after every start and stop, so that a list can follow.
  void on_change(std::function<void(bool up)> told) { told_ = std::move(told); }
  std::size_t states() const { return states_.size(); }
  std::size_t in_hand() const { return reads_.size() + writes_.size() + running_.size(); }

 private:
  struct Job {
    explicit Job(io::Loop& loop) : news(loop) {}
    std::string id, router, type, tenant, mark;
    Tokens tokens;
    std::size_t out{};  // tokens to write
    std::size_t written{};
    std::string state_id;  // what is to be fetched
    std::string state_at;  // address of its reader
    std::string state_cell;
    std::size_t kept{};
    bool dropped{};
    bool done{};
    bool lost{};  // the state was not there
    bool fetched{};
    double memory{};
    io::Signal news;
  };
  using JobRef = std::shared_ptr<Job>;
  struct State {
    double tokens{};
    std::string cell;
    bool moving{};
    std::uint64_t serial{};
  };

  void start();
  void stop(const char* why);
  double climbed() const;
  double speed() const;
  bool falls(double work_s);
  double chance();

  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  io::Task<> complete(http::Request& request, http::ResponseWriter& answer, bool chat);
  static io::Task<> drop_when_gone(http::ResponseWriter& answer, JobRef job);
  io::Task<> read(JobRef job, http::ResponseWriter& answer, bool chat);
  io::Task<> write(JobRef job, http::ResponseWriter& answer, bool chat);
  io::Task<> fetch(const std::string& id, const std::string& cell, http::ResponseWriter& answer);
  io::Task<> fetch_for(JobRef job);
  io::Task<> reader();
  io::Task<> writer();
  io::Task<> expire(std::string id, std::uint64_t serial);
  io::Task<> unsilenced();
  void admit();
  void preempt();
  std::size_t keep(const Tokens& tokens);
  void free_state(const std::string& id, const char* how);
  std::string load();
  void note(const char* event, const Job& job, Recorder::Line more = Recorder::Line::object());
  io::Task<> refuse(http::ResponseWriter& answer, const Job& job, int status, const char* code);
  io::Task<> later(io::Nanos span, std::function<void()> then);

  io::Loop& loop_;
  EngineMake make_;
  Recorder& record_;
  io::Address address_;
  std::function<void(bool)> told_;
  std::unique_ptr<http::Server> server_;
  io::Nanos started_{};
  bool cold_{};
  std::uint64_t chance_;

  double slow_{1};
  double errors_{};
  double throttle_{};
  std::string throttle_to_;
  double cut_{};
  bool silent_{};
  io::Signal loud_;

  std::deque<JobRef> reads_;
  std::deque<JobRef> writes_;  // wait for a slot and memory
  std::vector<JobRef> fetching_;
  std::vector<JobRef> running_;  // oldest first
  std::unordered_map<std::string, State> states_;
  std::list<std::uint64_t> kept_order_;  // blocks, latest first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> kept_;
  std::unordered_map<std::string, io::Nanos> marks_;  // tokened work that ran here
  double state_tokens_{};
  double write_tokens_{};
  std::deque<std::pair<io::Nanos, double>> arrived_;  // work in seconds, while cold
  std::uint64_t serial_{};
  std::string load_;
  io::Nanos load_at_{};
  io::Signal read_came_;
  io::Signal write_came_;
  std::unordered_map<std::string, std::shared_ptr<http::Pool>> peers_;
  io::Scope faults_;
  io::Scope work_;
};

}  // namespace cressrill::rig
