// The workers that the list has named: small indices for their names, and the connections to each.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/log.h"
#include "core/router_config.h"
#include "core/worker_list.h"
#include "http/client.h"
#include "policy.h"
#include "start_times.h"

namespace cressrill::router {

struct Link {
  core::ListedWorker listed;
  int kind{};
  int zone{};
  int cell{};
  std::uint64_t identity{};
  io::Nanos not_ready_since{};        // told that it drains or is gone; 0: it is ready
  std::uint64_t not_ready_version{};  // of the list that told it, and who told that
  int not_ready_source{};
  io::Nanos started{};            // on the monotonic clock; 0: long ago
  std::uint64_t start_version{};  // of the list that told that start, and who told it
  int start_source{};
  io::Nanos heard{};                 // an answer came last, and
  io::Nanos answered_call{};         // the latest call that was answered had been written
  std::shared_ptr<http::Pool> pool;  // attempts that are out keep an old address's pool alive

  void answered(io::Nanos call_written, io::Nanos now) {
    heard = now;
    answered_call = std::max(answered_call, call_written);
  }
};

class Fleet {
 public:
  Fleet(io::Loop& loop, const core::Station& station, core::Log& log);
  // Takes a list and tells the decisions. Entries that cannot be used are logged and left out.
  void take(const core::WorkerList& list, Policy& policy);
  // Discovery was heard, and the list in force is current.
  void confirm() { start_times_.note_current(loop_.now()); }
  Link& at(int worker) { return *links_[static_cast<std::size_t>(worker)]; }
  const Link& at(int worker) const { return *links_[static_cast<std::size_t>(worker)]; }
  // Null where that worker is forgotten.
  const Link* find(int worker) const { return links_[static_cast<std::size_t>(worker)].get(); }
  // That worker is gone for good; its index is used again.
  void forget(int worker);
  // Those that are listed as ready.
  std::vector<int> ready() const;
  // Those that are listed as ready or draining: by the list, their processes run.
  std::vector<int> running() const;
  // Null where a worker was forgotten.
  const std::vector<std::unique_ptr<Link>>& links() const { return links_; }
  Role role(int worker) const;
  // The whole list as it is now known.
  core::WorkerList whole() const;

 private:
  Link* entry(const core::WorkerList& list, const core::ListedWorker& listed, int& index);
  bool takes_back(const core::WorkerList& list, const core::ListedWorker& listed, const Link& link) const;
  void note_start(const core::WorkerList& list, std::int64_t boot, Link& link);
  void note_standing(const core::WorkerList& list, Standing standing, Link& link);
  void drop_unlisted(const core::WorkerList& list);
  io::Loop& loop_;
  const core::Station& station_;
  core::Log& log_;
  StartTimes start_times_;
  std::uint64_t version_{};
  int source_{};                                    // of the last list,
  std::uint64_t source_version_{};                  // and the version of the first that it told
  std::shared_ptr<http::ConnectionBudget> budget_;  // for the connections to all workers
  std::vector<std::unique_ptr<Link>> links_;
  std::vector<int> free_;  // indices of workers that were forgotten
  std::unordered_map<std::string, int> index_;
  std::unordered_map<std::string, int> cells_;
};

}  // namespace cressrill::router
