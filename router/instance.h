// A running router: its HTTP servers for clients and for administration, its host and its discovery client.
#pragma once

#include "discovery_client.h"
#include "openai.h"

namespace cressrill::router {

class Instance {
 public:
  Instance(io::Loop& loop, const core::RouterConfig& config, core::Log& log, std::uint64_t seed,
           const PolicyFactory& create_policy);
  const io::Address& address() const { return server_.address(); }
  Host& host() { return host_; }
  // Stops accepting connections.
  void stop() { server_.stop_accepting(); }
  // Whether no request is active and no client connection is open.
  bool is_idle() const { return host_.active_requests() == 0 && server_.open_connections() == 0; }
  // Closes every client connection abruptly, as if the process had been killed.
  void kill() { server_.kill(); }

 private:
  io::Task<> handle_admin_request(http::Request& request, http::ResponseWriter& response);
  const core::RouterConfig& config_;
  core::Counters counters_;
  OpenAi protocol_;
  Host host_;
  DiscoveryClient discovery_client_;
  http::Server server_;
  std::unique_ptr<http::Server> admin_server_;
};

}  // namespace cressrill::router
