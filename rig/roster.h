// A stand-in for the list of workers: pushes the whole list and then changes to every router that watches, each
// change so much later than it happened. It knows only whether a process runs, drains or is gone.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/worker_list.h"
#include "http/server.h"
#include "record.h"

namespace cressrill::rig {

class Roster {
 public:
  Roster(io::Loop& loop, io::Address address, Recorder& record);
  ~Roster();
  const io::Address& address() const { return server_->address(); }
  void late_by(io::Nanos span) { late_ = span; }
  // A change that has just happened; it is published after the lateness of this moment.
  void change(core::ListedWorker worker);
  // No list any more: watchers are cut off and no one is let in.
  void go_away();

 private:
  struct Watcher {
    explicit Watcher(io::Loop& loop) : news(loop) {}
    std::string router;
    std::size_t told{};
    io::Signal news;
  };
  io::Task<> serve(http::Request& request, http::ResponseWriter& answer);
  io::Task<> watch(const std::string& router, http::ResponseWriter& answer);
  io::Task<> publish(core::ListedWorker worker, io::Nanos after);
  void note(const std::string& router, const core::WorkerList& list);

  io::Loop& loop_;
  Recorder& record_;
  io::Nanos late_{};
  std::map<std::string, core::ListedWorker> list_;  // as published
  std::vector<core::ListedWorker> changes_;         // in the order of publishing
  std::vector<Watcher*> watchers_;
  std::unique_ptr<http::Server> server_;
  io::Scope scope_;
};

}  // namespace cressrill::rig
