// The list of workers as the roster tells it (docs/design/engine-wire.md): one JSON object, whole or changes only.
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
  std::int64_t started_at{};  // nanoseconds since 1970; 0: long ago
  std::string kind;
  std::string zone;
  std::string cell;
};

struct WorkerList {
  std::uint64_t version{};
  bool complete{};
  std::vector<ListedWorker> workers;
  // Who told it: 0 for a list that was kept over a restart, then one number for each place that is asked, rising. A later
  // one may know less than the one before it.
  int source{};
};

// Throws std::invalid_argument with what is wrong and where.
WorkerList parse_worker_list(std::string_view text);
std::string serialize_worker_list(const WorkerList& list);
const char* to_string(WorkerStatus standing);

}  // namespace cressrill::core
