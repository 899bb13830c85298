// Counts what one request costs the router. The router runs on one event loop, the stand-ins and clients on
// another, both in one thread and on simulated time. The loops run in turn, so everything counted during the
// router's turn belongs to the router, and each run gives the same counts. Allocations and copies are counted
// by hooks that fill in `heap` (programs/cost.cpp).
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

// Filled in by the hooks while `on` is set.
struct Heap {
  bool on{};
  std::uint64_t allocations{};
  std::uint64_t bytes{};
  std::uint64_t copied{};  // bytes copied by memcpy and memmove
};
extern Heap heap;

struct Cost {
  double allocations{};
  double bytes{};   // allocated
  double copied{};  // bytes
  double calls{};   // system calls
  std::array<double, io::kSystemCallCount> calls_by_name{};
  double instructions{};  // 0 without callgrind
  Cost& operator+=(const Cost& other);
  Cost operator-(const Cost& other) const;
  Cost operator/(double n) const;
};

// What caused a turn of the router, in the order of an ordinary request. The last two stages are parts of the
// others: parse is the parsing of the request's body alone, and decide is the policy alone.
enum class Stage { accept, request, read, first, event, end, rest, parse, decide };
constexpr std::size_t kStages = 9;
const char* to_string(Stage stage);

struct Workload {
  std::string name;
  int events = 100;  // of each stream
  bool stream = true;
  std::size_t prompt_bytes = 1200;
  int failures = 0;           // prefill attempts that fail before one succeeds
  int concurrency = 1;        // requests in flight at once
  int idle_streams = 0;       // other streams that are open but send no events
  io::Nanos turn_interval{};  // interval between turns of the router; 0: it runs whenever it has work
  io::Nanos event_interval = 10 * io::kMs;  // between two events of a stream
  int rounds = 8;                           // measured rounds of requests, after four rounds to warm up
};

struct WorkloadCost {
  std::array<Cost, kStages> stages{};  // average of a request; the last two are parts of the others
  Cost all;                            // average of a request
  double events{};                     // of a request
  std::size_t failed{};                // requests without the expected answer
};

// For a tool that counts instructions: on_turn_begin and on_turn_end are called immediately around each turn
// of the router, then on_turn_stage with the stage of the turn, or with nothing if the turn had nothing to
// do.
struct Probe {
  std::function<void()> on_turn_begin;
  std::function<void()> on_turn_end;
  std::function<void(std::optional<Stage>)> on_turn_stage;
};

WorkloadCost measure_cost(const Workload& workload, const Probe& probe = {});

}  // namespace cressrill::rig
