// Watches the roster: the list that was kept first, then what the roster pushes, for as long as it can be reached.
#pragma once

#include "host.h"

namespace cressrill::router {

class RosterClient {
 public:
  RosterClient(io::Loop& loop, const core::RouterConfig& station, core::Log& log, Host& host);

 private:
  io::Task<> watch();
  io::Task<> follow(http::Connection& connection);
  void took(const std::string& line);
  void read_last();
  void keep_last();
  io::Loop& loop_;
  const core::RouterConfig& station_;
  core::Log& log_;
  Host& host_;
  core::WorkerList last_;
  std::shared_ptr<http::Pool> pool_;
  io::Scope scope_;
};

}  // namespace cressrill::router
