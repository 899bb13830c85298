// Clients of a soak: some keep their connections, some leave early, write slowly, rest, or send what cannot be read. What
// each sent and got is recorded.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "cue.h"
#include "http/message.h"
#include "rig/record.h"

namespace cressrill::rig::soak {

// A router that takes new connections, as a front would deal them out.
struct Door {
  std::string router;
  io::Address address;
};

class Clients {
 public:
  // door: one of those that are open now; none where none is.
  // longest_budget_ms: the longest deadline of any request.
  Clients(io::Loop& loop, Recorder& record, std::uint64_t seed, int longest_budget_ms,
          std::function<std::optional<Door>()> door);
  // Runs so many side by side until told to stop; then those that are under way come to their ends.
  void start(int clients);
  void stop() { stopping_ = true; }
  // Opens so many more connections to a router that has been told to end, within the span in which its front still does;
  // requests are sent on them for as long as they stay open.
  void press(const Door& door, int connections, io::Nanos span);
  int running() const { return running_; }
  // A worker answers: a client that was to leave then does so.
  void cued(Cue cue, const std::string& id);

 private:
  // How long a client waits, and whether it leaves then or so long after a cue.
  struct Departure {
    bool leaves{};  // with a cue: once that has come
    io::Nanos at{};
    Cue cue{Cue::none};
    io::Nanos after_cue{};
  };
  struct CueWait {
    Departure& departure;
    io::Signal came;
  };

  io::Task<> client();
  // How a client uses a connection.
  struct Manner {
    bool stays{};           // goes on until the router ends it
    io::Nanos waits_for{};  // before its first request
  };
  io::Task<> visit(std::optional<Door> door, Manner manner);
  io::Task<> press_once(Door door, io::Nanos after, Manner manner);
  io::Task<bool> ask(io::Socket& socket, http::MessageReader& reader, const Door& door, bool first);
  Departure draw_departure();
  io::Task<std::optional<bool>> until_departure(const std::string& id, Departure& departure,
                                                io::Task<bool> answer);
  io::Task<bool> write(io::Socket& socket, std::string_view text, bool slowly);
  io::Task<bool> read_answer(http::MessageReader& reader, const std::string& id, bool first);
  io::Task<> disturb(io::Socket& socket, const Door& door);
  std::string request(const std::string& id, const std::string& kind, int budget_ms);
  int between(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }

  io::Loop& loop_;
  Recorder& record_;
  std::mt19937_64 random_;
  std::function<std::optional<Door>()> door_;
  std::uint64_t next_id_{};
  std::map<std::string, CueWait*> cue_waits_;  // by the id of the request
  bool stopping_{};
  int running_{};
  int longest_budget_ms_;
  io::Scope scope_;
};

}  // namespace cressrill::rig::soak
