// A stand-in for a worker of the platform, run in a process of its own. It serves prefill or decode attempts,
// fails a share of them, and records for the checker what it receives and does.
#pragma once

#include <random>
#include <string>

#include "cue.h"
#include "http/server.h"
#include "rig/record.h"

namespace cressrill::rig::soak {

struct WorkerOptions {
  std::string name;
  bool is_prefill{};  // false: serves decode attempts
  io::Address address;
  std::uint64_t seed{};
  io::Address cues;            // where it sends cues about its responses; port 0: nowhere
  double failure_share{0.06};  // share of the attempts that it rejects, fails, aborts or does not respond to
};

class SoakWorker {
 public:
  SoakWorker(io::Loop& loop, const WorkerOptions& options, Recorder& record);

 private:
  io::Task<> serve(http::Request& request, http::ResponseWriter& response);
  io::Task<> handle_attempt(const std::string& id, std::uint64_t number, http::ResponseWriter& response);
  // Fails the attempt at random; returns whether it did.
  io::Task<bool> maybe_fail(const std::string& id, std::uint64_t number, http::ResponseWriter& response);
  io::Task<> prefill(const std::string& id, http::ResponseWriter& response);
  io::Task<> decode(const std::string& id, http::ResponseWriter& response);
  double random_fraction() { return std::uniform_real_distribution<double>()(random_); }
  io::Nanos random_delay(int from_ms, int to_ms) {
    return std::uniform_int_distribution<std::int64_t>(from_ms, to_ms)(random_) * io::kMs;
  }
  enum class Moment { before, after };
  // Notifies the clients that a response is about to be written, or has just been written.
  void send_cue(Moment moment, const std::string& id);
  void record_event(const char* event, const std::string& id,
                    Recorder::Line fields = Recorder::Line::object());

  io::Loop& loop_;
  WorkerOptions options_;
  Recorder& record_;
  std::mt19937_64 random_;
  std::uint64_t attempts_{};
  CueSender cues_;
  http::Server server_;
};

}  // namespace cressrill::rig::soak
