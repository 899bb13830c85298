// A stand-in for discovery: sends the complete worker list, and then changes, to every router that watches
// it. A change is published after a configurable delay. It knows only whether a worker runs, drains or is
// gone.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/worker_list.h"
#include "http/server.h"
#include "record.h"

namespace cressrill::rig {

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
  struct Watcher {
    explicit Watcher(io::Loop& loop) : published(loop) {}
    std::string router;
    std::size_t next_change{};
    io::Signal published;
  };
  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  // Streams the complete list and then each change, until the router closes the connection.
  io::Task<> watch(const std::string& router, http::ResponseWriter& answer);
  io::Task<> publish(core::ListedWorker worker, io::Nanos after);
  void record_sent(const std::string& router, const core::WorkerList& list);

  io::Loop& loop_;
  Recorder& record_;
  io::Nanos delay_{};
  std::map<std::string, core::ListedWorker> list_;  // as published
  std::vector<core::ListedWorker> changes_;         // in the order of publishing
  std::vector<Watcher*> watchers_;
  std::unique_ptr<http::Server> server_;
  io::Scope scope_;
};

}  // namespace cressrill::rig
