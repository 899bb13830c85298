// The worker list as discovery publishes it (docs/design/engine-wire.md): a JSON object with all workers or
// with changes only.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "state.h"

namespace cressrill::core {

struct ListedWorker {
  std::string name;
  std::string address;
  WorkerStatus status{};
  std::int64_t started_at{};  // nanoseconds since the Unix epoch; 0: long ago
  std::string kind;
  std::string zone;
  std::string cell;
};

struct WorkerList {
  std::uint64_t version{};
  bool complete{};  // false: only the workers that have changed
  std::vector<ListedWorker> workers;
  // Where it came from: 0 for a list kept across a restart, then 1 and up for the discovery servers in the
  // order of their use. A later source may know less than an earlier one.
  int source{};
};

// Throws std::invalid_argument, whose text says which entry is wrong and why.
WorkerList parse_worker_list(std::string_view text);
std::string serialize_worker_list(const WorkerList& list);
const char* to_string(WorkerStatus status);

}  // namespace cressrill::core
