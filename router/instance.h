// A running router: its listeners, its host and its discovery client.
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
  // Stops accepting connections. is_idle() turns true once all active requests are answered.
  void stop() { server_.stop_accepting(); }
  bool is_idle() const { return host_.live_requests() == 0 && server_.open_connections() == 0; }
  // Breaks every connection, as if the process had been killed.
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
