#include "fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace cressrill::router {

namespace {
int index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::ranges::find(names, name);
  return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

// Connections reserved for releases, within the configured limits: one in kConnectionsPerReserved of those to
// all workers, up to kMaxReservedForAll, and kReservedPerWorker of those to each worker. A limit below
// kMinSharedLimit is too small to reserve any.
constexpr std::size_t kConnectionsPerReserved = 8;
constexpr std::size_t kMaxReservedForAll = 8;
constexpr std::size_t kReservedPerWorker = 1;
constexpr std::size_t kMinSharedLimit = 4;

std::size_t reserved_for_all(std::size_t limit) {
  if (limit < kMinSharedLimit) return 0;
  return std::clamp<std::size_t>(limit / kConnectionsPerReserved, 1, kMaxReservedForAll);
}
std::size_t reserved_per_worker(std::size_t limit) {
  return limit < kMinSharedLimit ? 0 : kReservedPerWorker;
}

}  // namespace

Fleet::Fleet(io::Loop& loop, const core::RouterConfig& config, core::Log& log)
    : loop_(loop), config_(config), log_(log) {
  const std::size_t max_connections = config.max_engine_connections > 0
                                          ? config.max_engine_connections
                                          : std::numeric_limits<std::size_t>::max();
  connection_budget_ =
      std::make_shared<http::ConnectionBudget>(max_connections, reserved_for_all(max_connections));
}

Role Fleet::role(int worker) const {
  const WorkerEntry& entry = *entries_[static_cast<std::size_t>(worker)];
  return config_.settings.kinds[static_cast<std::size_t>(entry.kind)].role;
}

WorkerEntry* Fleet::update_entry(const core::WorkerList& list, const core::ListedWorker& listed, int& index) {
  const auto address = io::parse_address(listed.address);
  const int kind = index_of(config_.kind_names, listed.kind);
  const int zone = index_of(config_.zones, listed.zone);
  const char* invalid_field = !address ? "address" : kind < 0 ? "kind" : zone < 0 ? "zone" : nullptr;
  if (invalid_field != nullptr) {
    log_.error("list entry refused", {{"worker", listed.name}, {"not_known", invalid_field}});
    return nullptr;
  }
  const auto [name_and_index, inserted] = index_by_name_.try_emplace(listed.name, -1);
  if (inserted) {
    if (free_indices_.empty()) {
      free_indices_.push_back(static_cast<int>(entries_.size()));
      entries_.emplace_back();
    }
    name_and_index->second = free_indices_.back();
    free_indices_.pop_back();
    entries_[static_cast<std::size_t>(name_and_index->second)] = std::make_unique<WorkerEntry>();
  }
  index = name_and_index->second;
  if (inserted) {
    at(index).identity = XXH3_64bits(listed.name.data(), listed.name.size());
  }
  WorkerEntry& entry = at(index);
  if (!entry.pool || entry.pool->peer() != *address) {
    entry.pool = std::make_shared<http::Pool>(
        loop_, *address,
        http::PoolLimits{config_.dial_timeout,
                         config_.idle_timeout,
                         256,
                         config_.max_connections_per_engine,
                         connection_budget_,
                         config_.min_idle_before_reuse,
                         reserved_per_worker(config_.max_connections_per_engine),
                         {.body_bytes = config_.max_response_bytes, .chunk_bytes = config_.max_chunk_bytes}});
  }
  entry.kind = kind;
  entry.zone = zone;
  entry.cell = cell_indices_.try_emplace(listed.cell, static_cast<int>(cell_indices_.size())).first->second;
  const WorkerStatus status = is_stale_ready(list, listed, entry) ? entry.listed.status : listed.status;
  record_start(list, listed.started_at, entry);
  entry.listed = listed;
  update_status(list, status, entry);
  return &entry;
}

// Whether `listed` gives a worker as ready only because its list is older than the one that reported the
// worker as draining or gone. This happens when another discovery agent lags behind the previous one or a
// list arrives late; accepting the entry would break rule 3 (no new requests to draining workers).
bool Fleet::is_stale_ready(const core::WorkerList& list, const core::ListedWorker& listed,
                           const WorkerEntry& entry) const {
  if (listed.status != WorkerStatus::ready || entry.not_ready_since == 0) return false;
  if (listed.started_at != entry.listed.started_at || entry.not_ready_source == 0) return false;
  const bool source_knows_change =
      list.source == entry.not_ready_source || list.version > source_first_version_;
  return !source_knows_change || list.version <= entry.not_ready_version;
}

// A start time other than the known one is a restart, even if the wall clock places it earlier. The exception
// is a list from an agent that lags behind the previous one and reports an older start.
void Fleet::record_start(const core::WorkerList& list, std::int64_t start_time, WorkerEntry& entry) {
  if (start_time == 0 || start_time == entry.listed.started_at) return;
  const bool lags = list.source != entry.start_source && list.version <= entry.start_version;
  if (lags && start_time < entry.listed.started_at) return;
  entry.started_at = std::max(entry.started_at + 1, start_times_.to_monotonic(start_time, loop_.now()));
  entry.start_version = list.version;
  entry.start_source = list.source;
}

void Fleet::update_status(const core::WorkerList& list, WorkerStatus status, WorkerEntry& entry) {
  entry.listed.status = status;
  if (status == WorkerStatus::ready) {
    entry.not_ready_since = 0;
  } else if (entry.not_ready_since == 0) {
    entry.not_ready_since = loop_.now();
    entry.not_ready_version = list.version;
    entry.not_ready_source = list.source;
  }
}

void Fleet::apply_list(const core::WorkerList& list, Policy& policy) {
  list_version_ = list.version;
  if (list.source != list_source_) {
    list_source_ = list.source;
    source_first_version_ = list.version;
  }
  start_times_.record_wall_offset(loop_.wall_clock_offset());
  policy.list_begins(loop_.now(), list.complete);
  if (list.complete) mark_unlisted_gone(list);
  for (const core::ListedWorker& listed : list.workers) {
    int index = -1;
    if (listed.status == WorkerStatus::gone && !index_by_name_.contains(listed.name))
      continue;  // unknown, or already forgotten
    const WorkerEntry* entry = update_entry(list, listed, index);
    if (entry == nullptr) continue;
    policy.worker_listed(index, entry->identity, entry->listed.status, entry->started_at, entry->kind,
                         entry->zone, entry->cell);
  }
  for (auto& entry : entries_)
    if (entry && entry->listed.status == WorkerStatus::gone) entry->pool->close_idle();
  if (list.source > 0) confirm_current();  // 0: a list kept across a restart, which is not confirmed
  policy.list_ends();
}

// Marks as gone the workers that a complete list does not contain.
void Fleet::mark_unlisted_gone(const core::WorkerList& list) {
  std::unordered_set<std::string_view> listed_names;
  for (const core::ListedWorker& listed : list.workers) listed_names.insert(listed.name);
  for (auto& entry : entries_)
    if (entry && !listed_names.contains(entry->listed.name)) update_status(list, WorkerStatus::gone, *entry);
}

void Fleet::forget(int worker) {
  auto& entry = entries_[static_cast<std::size_t>(worker)];
  index_by_name_.erase(entry->listed.name);
  entry.reset();
  free_indices_.push_back(worker);
}

std::vector<int> Fleet::ready_workers() const {
  std::vector<int> indices;
  for (std::size_t i = 0; i < entries_.size(); ++i)
    if (entries_[i] && entries_[i]->not_ready_since == 0) indices.push_back(static_cast<int>(i));
  return indices;
}

std::vector<int> Fleet::running_workers() const {
  std::vector<int> indices;
  for (std::size_t i = 0; i < entries_.size(); ++i)
    if (entries_[i] && entries_[i]->listed.status != WorkerStatus::gone)
      indices.push_back(static_cast<int>(i));
  return indices;
}

core::WorkerList Fleet::current_list() const {
  core::WorkerList list{list_version_, true, {}};
  for (const auto& entry : entries_)
    if (entry && entry->listed.status != WorkerStatus::gone) list.workers.push_back(entry->listed);
  return list;
}

}  // namespace cressrill::router
