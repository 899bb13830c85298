// One running router: its ports, its host, its view of the roster.
#pragma once

#include "openai.h"
#include "roster_client.h"

namespace cressrill::router {

class Instance {
 public:
  Instance(io::Loop& loop, const core::RouterConfig& station, core::Log& log, std::uint64_t seed,
           const PolicyFactory& make);
  const io::Address& address() const { return server_.address(); }
  Host& host() { return host_; }
  // Takes nothing new; true from settled() once all that was in hand is answered.
  void stop() { server_.stop_accepting(); }
  bool is_idle() const { return host_.live_requests() == 0 && server_.open_connections() == 0; }
  // As a kill: every connection breaks.
  void kill() { server_.kill(); }

 private:
  io::Task<> admin(http::Request& request, http::ResponseWriter& answer);
  const core::RouterConfig& station_;
  core::Counters counters_;
  OpenAi protocol_;
  Host host_;
  RosterClient roster_;
  http::Server server_;
  std::unique_ptr<http::Server> admin_;
};

}  // namespace cressrill::router
