// Watches the worker list of the discovery service (setting 'roster'). Starts with the list saved by an
// earlier process, then applies the updates that the service pushes, and reconnects whenever the connection
// is lost.
#pragma once

#include "host.h"

namespace cressrill::router {

class DiscoveryClient {
 public:
  DiscoveryClient(io::Loop& loop, const core::RouterConfig& config, core::Log& log, Host& host);

 private:
  io::Task<> run();
  // Applies updates until the connection is lost.
  io::Task<> watch(http::Connection& connection);
  // Applies one line of the response, which is a complete list or a change, as JSON.
  void handle_line(const std::string& line);
  void load_saved_list();
  void save_list();
  io::Loop& loop_;
  const core::RouterConfig& config_;
  core::Log& log_;
  Host& host_;
  core::WorkerList known_list_;  // the complete list with all updates applied
  std::shared_ptr<http::Pool> pool_;
  io::Scope scope_;
};

}  // namespace cressrill::router
