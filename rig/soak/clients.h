// Clients of a soak: some keep their connections open, some leave before the response, write slowly, pause
// between requests or send malformed requests. What each one sends and receives is recorded.
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

// A router that accepts new connections.
struct RouterEndpoint {
  std::string name;
  io::Address address;
};

class Clients {
 public:
  // pick_router: returns a router that accepts connections now, if any, in place of a load balancer.
  // longest_budget_ms: the longest time budget of any request.
  Clients(io::Loop& loop, Recorder& record, std::uint64_t seed, int longest_budget_ms,
          std::function<std::optional<RouterEndpoint>()> pick_router);
  // Runs that many concurrent clients until stop(). Requests that are in flight at stop() run to their end.
  void start(int clients);
  void stop() { stopping_ = true; }
  // Opens further connections to a router that is shutting down, spread over `duration`, as a load balancer
  // does until it notices the shutdown. Requests are sent on them for as long as they stay open.
  void open_late_connections(const RouterEndpoint& router, int connections, io::Nanos duration);
  int running() const { return running_; }
  // Makes the client of this request leave if it waits for this cue.
  void on_cue(Cue cue, const std::string& id);

 private:
  // When a client stops waiting for its response.
  struct Departure {
    bool leaves{};          // false: it times out; with a cue, set once the cue has been received
    io::Nanos at{};         // time at which the client leaves or times out
    Cue cue{Cue::none};     // the client leaves at this cue
    io::Nanos after_cue{};  // delay between the cue and leaving
  };
  struct CueWait {
    Departure& departure;
    io::Signal received;
  };

  io::Task<> client();
  // How a client uses a connection.
  struct ConnectionUse {
    bool until_closed{};        // sends requests until the router closes the connection
    io::Nanos initial_delay{};  // before the first request
  };
  io::Task<> use_connection(std::optional<RouterEndpoint> router, ConnectionUse use);
  io::Task<> run_late_connection(RouterEndpoint router, io::Nanos delay, ConnectionUse use);
  // `first_on_connection`: the request follows the connect at once, on a new connection.
  io::Task<bool> send_request(io::Socket& socket, http::MessageReader& reader, const RouterEndpoint& router,
                              bool first_on_connection);
  Departure draw_departure();
  io::Task<std::optional<bool>> wait_for_response_or_leave(const std::string& id, Departure& departure,
                                                           io::Task<bool> response);
  io::Task<bool> write(io::Socket& socket, std::string_view text, bool in_parts);
  io::Task<bool> read_response(http::MessageReader& reader, const std::string& id, bool first_on_connection);
  io::Task<> send_malformed(io::Socket& socket, const RouterEndpoint& router);
  std::string format_chat_request(const std::string& id, const std::string& kind, int budget_ms);
  int random_int(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }

  io::Loop& loop_;
  Recorder& record_;
  std::mt19937_64 random_;
  std::function<std::optional<RouterEndpoint>()> pick_router_;
  std::uint64_t next_id_{};
  std::map<std::string, CueWait*> cue_waits_;  // by request id
  bool stopping_{};
  int running_{};
  int longest_budget_ms_;
  io::Scope scope_;
};

}  // namespace cressrill::rig::soak
