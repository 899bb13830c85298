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

struct WorkerEntry {
  core::ListedWorker listed;
  int kind{};
  int zone{};
  int cell{};
  std::uint64_t identity{};
  io::Nanos not_ready_since{};        // told that it drains or is gone; 0: it is ready
  std::uint64_t not_ready_version{};  // of the list that told it, and who told that
  int not_ready_source{};
  io::Nanos started_at{};         // on the monotonic clock; 0: long ago
  std::uint64_t start_version{};  // of the list that told that start, and who told it
  int start_source{};
  io::Nanos last_heard{};                // an answer came last, and
  io::Nanos answered_call_written_at{};  // the latest call that was answered had been written
  std::shared_ptr<http::Pool> pool;      // attempts that are out keep an old address's pool alive

  void record_answer(io::Nanos call_written, io::Nanos now) {
    last_heard = now;
    answered_call_written_at = std::max(answered_call_written_at, call_written);
  }
};

class Fleet {
 public:
  Fleet(io::Loop& loop, const core::RouterConfig& station, core::Log& log);
  // Takes a list and tells the decisions. Entries that cannot be used are logged and left out.
  void apply_list(const core::WorkerList& list, Policy& policy);
  // Discovery was heard, and the list in force is current.
  void confirm_current() { start_times_.record_current(loop_.now()); }
  WorkerEntry& at(int worker) { return *links_[static_cast<std::size_t>(worker)]; }
  const WorkerEntry& at(int worker) const { return *links_[static_cast<std::size_t>(worker)]; }
  // Null where that worker is forgotten.
  const WorkerEntry* find(int worker) const { return links_[static_cast<std::size_t>(worker)].get(); }
  // That worker is gone for good; its index is used again.
  void forget(int worker);
  // Those that are listed as ready.
  std::vector<int> ready_workers() const;
  // Those that are listed as ready or draining: by the list, their processes run.
  std::vector<int> running_workers() const;
  // Null where a worker was forgotten.
  const std::vector<std::unique_ptr<WorkerEntry>>& entries() const { return links_; }
  Role role(int worker) const;
  // The whole list as it is now known.
  core::WorkerList current_list() const;

 private:
  WorkerEntry* update_entry(const core::WorkerList& list, const core::ListedWorker& listed, int& index);
  bool takes_back(const core::WorkerList& list, const core::ListedWorker& listed,
                  const WorkerEntry& link) const;
  void note_start(const core::WorkerList& list, std::int64_t boot, WorkerEntry& link);
  void note_standing(const core::WorkerList& list, WorkerStatus standing, WorkerEntry& link);
  void drop_unlisted(const core::WorkerList& list);
  io::Loop& loop_;
  const core::RouterConfig& station_;
  core::Log& log_;
  StartTimes start_times_;
  std::uint64_t version_{};
  int source_{};                                    // of the last list,
  std::uint64_t source_version_{};                  // and the version of the first that it told
  std::shared_ptr<http::ConnectionBudget> budget_;  // for the connections to all workers
  std::vector<std::unique_ptr<WorkerEntry>> links_;
  std::vector<int> free_;  // indices of workers that were forgotten
  std::unordered_map<std::string, int> index_;
  std::unordered_map<std::string, int> cells_;
};

}  // namespace cressrill::router
