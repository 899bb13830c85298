// A stand-in for a worker of the platform, as a process of its own: reads prompts or writes streams, fails now and then,
// and records what came and what it did, so that the checker can judge from the workers' side.
#pragma once

#include <random>
#include <string>

#include "cue.h"
#include "http/server.h"
#include "rig/record.h"

namespace cressrill::rig::soak {

struct WorkerOptions {
  std::string name;
  bool reads{};
  io::Address address;
  std::uint64_t seed{};
  io::Address cues;      // where clients are told of its answers; port 0: nowhere
  double failing{0.06};  // share of the requests that it turns away, fails, breaks or leaves without a word
};

class SoakWorker {
 public:
  SoakWorker(io::Loop& loop, const WorkerOptions& options, Recorder& record);

 private:
  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  io::Task<> call(const std::string& id, std::uint64_t number, http::ResponseWriter& answer);
  io::Task<bool> fail(const std::string& id, std::uint64_t number, http::ResponseWriter& answer);
  io::Task<> read(const std::string& id, http::ResponseWriter& answer);
  io::Task<> write(const std::string& id, http::ResponseWriter& answer);
  double chance() { return std::uniform_real_distribution<double>()(random_); }
  io::Nanos between(int from_ms, int to_ms) {
    return std::uniform_int_distribution<std::int64_t>(from_ms, to_ms)(random_) * io::kMs;
  }
  enum class Moment { before, after };
  void cue(Moment moment, const std::string& id);
  void note(const char* event, const std::string& id, Recorder::Line more = Recorder::Line::object());

  io::Loop& loop_;
  WorkerOptions options_;
  Recorder& record_;
  std::mt19937_64 random_;
  std::uint64_t posts_{};
  CueSender cues_;
  http::Server server_;
};

}  // namespace cressrill::rig::soak
