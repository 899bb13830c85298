// The load generator of a scenario: sessions start at random times, and send one request a turn and its
// retries. It is open-loop: new sessions start whether or not earlier requests are answered.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "client.h"
#include "scenario.h"

namespace cressrill::rig {

class LoadGenerator {
 public:
  // address_of returns the address at which a router is reached.
  LoadGenerator(io::Loop& loop, const Scenario& scenario, Recorder& record,
                std::function<io::Address(std::size_t router)> address_of);
  // Starts sessions until the scenario's length has passed, then waits up to 20 s for the sessions that are
  // still active.
  io::Task<> run();
  std::size_t attempts_sent() const { return attempts_sent_; }

  // Faults of the traffic. A factor of 1, or a share of 0, ends the fault.
  void set_rate_factor(double factor) { rate_factor_ = factor; }
  // This share of the new sessions starts with one prefix of this many words; each call chooses another
  // prefix.
  void set_hot_prefix(double share, int words) {
    hot_share_ = share;
    hot_words_ = words;
    ++hot_prefix_number_;
  }
  void set_long_prompt_factor(double factor) { long_prompt_factor_ = factor; }
  void set_timeout_factor(double factor) { timeout_factor_ = factor; }
  void router_stopped(std::size_t router) { stopped_at_[router] = loop_.now(); }
  void router_restarted(std::size_t router) { stopped_at_.erase(router); }

 private:
  struct Session {
    std::size_t traffic{};
    std::uint64_t number{};
    std::string zone;
    std::string prefix;
    std::vector<std::string> messages;  // of the user and the assistant, in turn
    int turns{};
  };
  io::Task<> run_session(std::unique_ptr<Session> session);
  // Sends a request and its retries. The generated text, if any, is added to the session's messages.
  io::Task<> run_turn(Session& session);
  // Random words of four letters; the same seed gives the same words.
  std::string make_words(int count, std::uint64_t seed) const;
  std::string request_body(const Session& session, const Traffic& traffic, int output_tokens,
                           bool stream) const;
  std::size_t pick_router(const std::string& zone);
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(generator_); }
  double exponential(double mean) { return mean * std::exponential_distribution<double>(1)(generator_); }

  io::Loop& loop_;
  const Scenario& scenario_;
  Recorder& record_;
  std::function<io::Address(std::size_t)> address_of_;
  std::mt19937_64 generator_;
  std::map<std::size_t, io::Nanos> stopped_at_;     // by router
  std::map<std::string, std::size_t> next_router_;  // round robin, by zone
  std::uint64_t sessions_started_{};
  std::uint64_t requests_started_{};
  std::size_t attempts_sent_{};
  std::size_t active_sessions_{};
  double rate_factor_{1};
  double hot_share_{};
  int hot_words_{};
  std::uint64_t hot_prefix_number_{};
  double long_prompt_factor_{1};
  double timeout_factor_{1};
  io::Nanos end_{};
  io::Signal session_ended_;
  io::Scope scope_;
};

}  // namespace cressrill::rig
