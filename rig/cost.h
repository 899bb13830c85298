// What one sequence costs the router: stand-ins, clients and a router on two schedulers in one thread and on handed
// time, run in step, so that all that is counted while the router's one runs is the router's own, and a run
// counts the same each time. Heap and copies are counted by whoever fills in Heap (programs/cost.cpp).
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

// Filled by hooks while on is set.
struct Heap {
  bool on{};
  std::uint64_t allocations{};
  std::uint64_t bytes{};
  std::uint64_t copied{};  // bytes that memcpy and memmove were called for
};
extern Heap heap;

struct Cost {
  double allocations{};
  double bytes{};
  double copied{};
  double calls{};
  std::array<double, io::kSystemCallCount> by_name{};
  double instructions{};  // where the tool told them
  Cost& operator+=(const Cost& other);
  Cost operator-(const Cost& other) const;
  Cost operator/(double n) const;
};

// What the router's turns are caused by, in the order of an ordinary sequence. The last two are parts of the others:
// parse, the reading of the request's body alone, and decide, the module alone.
enum class Stage { accept, request, read, first, event, end, rest, parse, decide };
constexpr std::size_t kStages = 9;
const char* word(Stage stage);

struct Play {
  std::string name;
  int events = 100;  // of each stream
  bool stream = true;
  std::size_t prompt_bytes = 1200;
  int failures = 0;               // reads that fail before one is answered
  int at_once = 1;                // sequences asked together
  int idle_streams = 0;           // streams that stand open, without an event, meanwhile
  io::Nanos busy{};               // the router gets a turn only so often; 0: whenever anything can run
  io::Nanos step = 10 * io::kMs;  // between two events of a stream
  int sequences = 8;              // counted, after four that are not
};

struct Counted {
  std::array<Cost, kStages> stages{};  // of one sequence, on average; the last two are part of the others
  Cost all;                            // of one sequence
  double events{};                     // that one sequence got
  std::size_t failed{};                // sequences not answered as they should be
};

// For a tool that counts instructions: begins and ends are called close around each of the router's turns, and then
// was, with what the turn was; nothing where it was none.
struct Probe {
  std::function<void()> begins;
  std::function<void()> ends;
  std::function<void(std::optional<Stage>)> was;
};

Counted count(const Play& play, const Probe& probe = {});

}  // namespace cressrill::rig
