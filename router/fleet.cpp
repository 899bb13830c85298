#include "fleet.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace cressrill::router {

namespace {
int place(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// Connections that ordinary work leaves to releases, inside the bounds: of those to all workers one in so many, and of those
// to each worker some. A bound of a few has none to spare.
constexpr std::size_t kOneForReleasesIn = 8, kMostForReleases = 8;
constexpr std::size_t kForReleasesToEach = 1;
constexpr std::size_t kLeastShared = 4;

std::size_t for_releases_to_all(std::size_t most) {
  if (most < kLeastShared) return 0;
  return std::clamp<std::size_t>(most / kOneForReleasesIn, 1, kMostForReleases);
}
std::size_t for_releases_to_each(std::size_t most) { return most < kLeastShared ? 0 : kForReleasesToEach; }

}  // namespace

Fleet::Fleet(io::Loop& loop, const core::RouterConfig& station, core::Log& log)
    : loop_(loop), station_(station), log_(log) {
  const std::size_t most = station.max_engine_connections > 0 ? station.max_engine_connections
                                                              : std::numeric_limits<std::size_t>::max();
  budget_ = std::make_shared<http::ConnectionBudget>(most, for_releases_to_all(most));
}

Role Fleet::role(int worker) const {
  const WorkerEntry& l = *links_[static_cast<std::size_t>(worker)];
  return station_.settings.kinds[static_cast<std::size_t>(l.kind)].role;
}

WorkerEntry* Fleet::update_entry(const core::WorkerList& list, const core::ListedWorker& listed, int& index) {
  const auto address = io::parse_address(listed.address);
  const int kind = place(station_.kind_names, listed.kind), zone = place(station_.zones, listed.zone);
  const char* wrong = !address ? "address" : kind < 0 ? "kind" : zone < 0 ? "zone" : nullptr;
  if (wrong != nullptr) {
    log_.error("list entry refused", {{"worker", listed.name}, {"not_known", wrong}});
    return nullptr;
  }
  const auto [it, fresh] = index_.try_emplace(listed.name, -1);
  if (fresh) {
    if (free_.empty()) {
      free_.push_back(static_cast<int>(links_.size()));
      links_.emplace_back();
    }
    it->second = free_.back();
    free_.pop_back();
    links_[static_cast<std::size_t>(it->second)] = std::make_unique<WorkerEntry>();
  }
  index = it->second;
  if (fresh) {
    at(index).identity = XXH3_64bits(listed.name.data(), listed.name.size());
  }
  WorkerEntry& link = at(index);
  if (!link.pool || link.pool->peer() != *address) {
    link.pool = std::make_shared<http::Pool>(
        loop_, *address,
        http::PoolLimits{station_.dial_timeout, station_.idle_timeout, 256,
                         station_.max_connections_per_engine, budget_, station_.min_idle_before_reuse,
                         for_releases_to_each(station_.max_connections_per_engine)});
  }
  link.kind = kind, link.zone = zone;
  link.cell = cells_.try_emplace(listed.cell, static_cast<int>(cells_.size())).first->second;
  const WorkerStatus standing = takes_back(list, listed, link) ? link.listed.status : listed.status;
  note_start(list, listed.started_at, link);
  link.listed = listed;
  note_standing(list, standing, link);
  return &link;
}

// Whether an entry would make a worker ready again that is known to drain or to be gone, without knowing of that. Guards
// rule 3 where another agent of discovery lags behind the one before it, or a list comes late.
bool Fleet::takes_back(const core::WorkerList& list, const core::ListedWorker& listed,
                       const WorkerEntry& link) const {
  if (listed.status != WorkerStatus::ready || link.not_ready_since == 0) return false;
  if (listed.started_at != link.listed.started_at || link.not_ready_source == 0) return false;
  const bool knows = list.source == link.not_ready_source || list.version > source_version_;
  return !knows || list.version <= link.not_ready_version;
}

// A start that differs from the known one is a restart, also where the wall clock places it earlier; only an agent that
// lags behind the one before it tells of an old one.
void Fleet::note_start(const core::WorkerList& list, std::int64_t boot, WorkerEntry& link) {
  if (boot == 0 || boot == link.listed.started_at) return;
  const bool lags = list.source != link.start_source && list.version <= link.start_version;
  if (lags && boot < link.listed.started_at) return;
  link.started_at = std::max(link.started_at + 1, start_times_.to_monotonic(boot, loop_.now()));
  link.start_version = list.version;
  link.start_source = list.source;
}

void Fleet::note_standing(const core::WorkerList& list, WorkerStatus standing, WorkerEntry& link) {
  link.listed.status = standing;
  if (standing == WorkerStatus::ready) {
    link.not_ready_since = 0;
  } else if (link.not_ready_since == 0) {
    link.not_ready_since = loop_.now();
    link.not_ready_version = list.version;
    link.not_ready_source = list.source;
  }
}

void Fleet::apply_list(const core::WorkerList& list, Policy& policy) {
  version_ = list.version;
  if (list.source != source_) source_ = list.source, source_version_ = list.version;
  start_times_.record_wall_offset(loop_.wall_clock_offset());
  policy.list_begins(loop_.now(), list.complete);
  if (list.complete) drop_unlisted(list);
  for (const core::ListedWorker& w : list.workers) {
    int index = -1;
    if (w.status == WorkerStatus::gone && !index_.contains(w.name)) continue;  // never told of, or forgotten
    const WorkerEntry* link = update_entry(list, w, index);
    if (link == nullptr) continue;
    policy.worker_listed(index, link->identity, link->listed.status, link->started_at, link->kind, link->zone,
                         link->cell);
  }
  for (auto& link : links_)
    if (link && link->listed.status == WorkerStatus::gone) link->pool->close_idle();
  if (list.source > 0) confirm_current();
  policy.list_ends();
}

// A worker that a complete list does not name is gone.
void Fleet::drop_unlisted(const core::WorkerList& list) {
  std::unordered_set<std::string_view> named;
  for (const core::ListedWorker& w : list.workers) named.insert(w.name);
  for (auto& link : links_)
    if (link && !named.contains(link->listed.name)) note_standing(list, WorkerStatus::gone, *link);
}

void Fleet::forget(int worker) {
  auto& link = links_[static_cast<std::size_t>(worker)];
  index_.erase(link->listed.name);
  link.reset();
  free_.push_back(worker);
}

std::vector<int> Fleet::ready_workers() const {
  std::vector<int> out;
  for (std::size_t i = 0; i < links_.size(); ++i)
    if (links_[i] && links_[i]->not_ready_since == 0) out.push_back(static_cast<int>(i));
  return out;
}

std::vector<int> Fleet::running_workers() const {
  std::vector<int> out;
  for (std::size_t i = 0; i < links_.size(); ++i)
    if (links_[i] && links_[i]->listed.status != WorkerStatus::gone) out.push_back(static_cast<int>(i));
  return out;
}

core::WorkerList Fleet::current_list() const {
  core::WorkerList out{version_, true, {}};
  for (const auto& link : links_)
    if (link && link->listed.status != WorkerStatus::gone) out.workers.push_back(link->listed);
  return out;
}

}  // namespace cressrill::router
