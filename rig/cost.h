// Counts what one request costs the router. The router runs on one event loop, the stand-ins and clients on
// another, both in one thread and on simulated time. The loops run in turn, so everything counted during the
// router's turn belongs to the router, and each run gives the same counts. Allocations and copies are counted
// by the hooks in programs/cost.cpp.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "io/loop.h"

namespace cressrill::rig {

// Updated by the hooks of the allocation and copy functions while `enabled` is set.
struct MemoryCounters {
  bool enabled{};
  std::uint64_t allocations{};
  std::uint64_t heap_bytes{};  // allocated
  std::uint64_t copied{};      // bytes copied by memcpy and memmove
};
extern MemoryCounters memory_counters;

// What the router used: a sum, a difference or an average of the counts.
struct ResourceUsage {
  double allocations{};
  double heap_bytes{};  // allocated
  double copied{};      // bytes copied by memcpy and memmove
  double calls{};       // system calls
  std::array<double, io::kSystemCallCount> calls_by_name{};
  double instructions{};  // 0 without callgrind
  ResourceUsage& operator+=(const ResourceUsage& other);
  ResourceUsage operator-(const ResourceUsage& other) const;
  ResourceUsage operator/(double divisor) const;
};

// The stages of a request, by what caused a turn of the router. The last two are parts of the others.
enum class Stage {
  accept,   // a connection was accepted
  request,  // a request arrived
  read,     // a prefill completed, or an attempt failed
  first,    // a decode engine started its stream
  event,    // an event of the stream was forwarded
  end,      // the stream ended
  rest,     // any other turn
  parse,    // parsing the request's body alone
  decide    // the policy alone
};
constexpr std::size_t kStageCount = 9;
const char* to_string(Stage stage);

// The requests of one measurement.
struct Workload {
  std::string name;
  int events = 100;  // of each stream
  bool stream = true;
  std::size_t prompt_bytes = 1200;
  int failures = 0;           // prefill attempts of a round that fail before the others succeed
  int concurrency = 1;        // requests in flight at once
  int idle_streams = 0;       // other streams that are open but send no events
  io::Nanos turn_interval{};  // interval between turns of the router; 0: it runs whenever it has work
  io::Nanos event_interval = 10 * io::kMs;  // between two events of a stream
  int rounds = 8;                           // measured rounds of requests, after four rounds to warm up
};

// The average cost of one request.
struct WorkloadCost {
  std::array<ResourceUsage, kStageCount> stages{};
  ResourceUsage all;     // sum of the stages without parse and decide, which are parts of the others
  double events{};       // of a request
  std::size_t failed{};  // requests without the expected response
};

// For a tool that counts instructions: on_turn_begin and on_turn_end are called immediately around each
// measured turn of the router and each measured parse, then on_turn_stage with the stage, or with nothing if
// the turn had nothing to do.
struct Probe {
  std::function<void()> on_turn_begin;
  std::function<void()> on_turn_end;
  std::function<void(std::optional<Stage>)> on_turn_stage;
};

WorkloadCost measure_cost(const Workload& workload, const Probe& probe = {});

}  // namespace cressrill::rig
