// The workers named by the worker lists: assigns them small indices, which the policy uses, and holds the
// connections to each.
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

// A worker as listed last, and its connections. All times are on the monotonic clock.
struct WorkerEntry {
  core::ListedWorker listed;
  int kind{};                             // index into RouterConfig::kind_names
  int zone{};                             // index into RouterConfig::zones
  int cell{};                             // index that the fleet assigns to each cell name
  std::uint64_t identity{};               // hash of its name
  io::Nanos not_ready_since{};            // when it was first listed as draining or gone; 0: it is ready
  std::uint64_t not_ready_version{};      // version of the list that first reported it so
  int not_ready_source{};                 // discovery agent that sent that list
  io::Nanos started_at{};                 // 0: unknown, assumed to be long ago
  std::uint64_t start_version{};          // version of the list that reported this start
  int start_source{};                     // discovery agent that sent that list
  io::Nanos last_response_at{};           // when its latest response was received
  io::Nanos responded_call_written_at{};  // when the latest call that it has responded to was written
  std::shared_ptr<http::Pool> pool;  // shared with attempts, which keep the pool of a former address alive

  void record_response(io::Nanos call_written_at, io::Nanos now) {
    last_response_at = now;
    responded_call_written_at = std::max(responded_call_written_at, call_written_at);
  }
};

// All known workers. An index stays valid until forget().
class Fleet {
 public:
  Fleet(io::Loop& loop, const core::RouterConfig& config, core::Log& log);
  // Applies a list and passes it on to the policy. Invalid entries are logged and skipped.
  void apply_list(const core::WorkerList& list, Policy& policy);
  // Records that discovery has confirmed the current list as up to date.
  void confirm_current() { start_times_.record_current(loop_.now()); }
  WorkerEntry& at(int worker) { return *entries_[static_cast<std::size_t>(worker)]; }
  const WorkerEntry& at(int worker) const { return *entries_[static_cast<std::size_t>(worker)]; }
  // Null if that worker was forgotten.
  const WorkerEntry* find(int worker) const { return entries_[static_cast<std::size_t>(worker)].get(); }
  // Removes a worker that will not be listed again; its index is reused.
  void forget(int worker);
  // Workers that are listed as ready.
  std::vector<int> ready_workers() const;
  // Workers that are listed as ready or draining, whose processes should be running.
  std::vector<int> running_workers() const;
  // By index; null where a worker was forgotten.
  const std::vector<std::unique_ptr<WorkerEntry>>& entries() const { return entries_; }
  Role role(int worker) const;
  // The complete list of the workers that are not gone.
  core::WorkerList current_list() const;

 private:
  WorkerEntry* update_entry(const core::WorkerList& list, const core::ListedWorker& listed, int& index);
  bool is_stale_ready(const core::WorkerList& list, const core::ListedWorker& listed,
                      const WorkerEntry& entry) const;
  void record_start(const core::WorkerList& list, std::int64_t start_time, WorkerEntry& entry);
  void update_status(const core::WorkerList& list, WorkerStatus status, WorkerEntry& entry);
  void mark_unlisted_gone(const core::WorkerList& list);
  io::Loop& loop_;
  const core::RouterConfig& config_;
  core::Log& log_;
  StartTimes start_times_;
  std::uint64_t list_version_{};
  int list_source_{};                                          // discovery agent that sent the latest list
  std::uint64_t source_first_version_{};                       // version of the first list from that agent
  std::shared_ptr<http::ConnectionBudget> connection_budget_;  // shared by the pools of all workers
  std::vector<std::unique_ptr<WorkerEntry>> entries_;
  std::vector<int> free_indices_;
  std::unordered_map<std::string, int> index_by_name_;
  std::unordered_map<std::string, int> cell_indices_;
};

}  // namespace cressrill::router
