// A stand-in for discovery: sends the complete worker list, and then each change, to every router that
// watches it. A change is published after a configurable delay. A worker is listed as ready, as draining or
// as gone.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/worker_list.h"
#include "http/server.h"
#include "record.h"

namespace cressrill::rig {

// Serves GET /v1/workers (the complete list), GET /v1/workers?watch=ROUTER (a stream of the list and its
// changes), POST /v1/workers (publishes changes) and POST /late?ms=N (sets the delay).
class DiscoveryStandIn {
 public:
  DiscoveryStandIn(io::Loop& loop, io::Address address, Recorder& record);
  ~DiscoveryStandIn();
  const io::Address& address() const { return server_->address(); }
  void set_delay(io::Nanos delay) { delay_ = delay; }
  // Publishes a change after the delay that is set now.
  void publish_change(core::ListedWorker worker);
  // Closes the server for good: watchers are disconnected and no connection is accepted.
  void shut_down();

 private:
  // A router that watches the list.
  struct Watcher {
    explicit Watcher(io::Loop& loop) : published(loop) {}
    std::string router;
    std::size_t next_change{};  // index in changes_ of the first one that is not sent yet
    io::Signal published;
  };
  io::Task<> serve(http::Request& request, http::ResponseWriter& response);
  // Streams the complete list and then each change until the router closes the connection.
  io::Task<> watch(const std::string& router, http::ResponseWriter& response);
  io::Task<> publish(core::ListedWorker worker, io::Nanos delay);
  void record_sent(const std::string& router, const core::WorkerList& list);

  io::Loop& loop_;
  Recorder& record_;
  io::Nanos delay_{};
  std::map<std::string, core::ListedWorker> workers_;  // as published, by name
  std::vector<core::ListedWorker> changes_;            // in the order of publishing
  std::vector<Watcher*> watchers_;
  std::unique_ptr<http::Server> server_;
  io::Scope scope_;
};

}  // namespace cressrill::rig
