// Measures a router's memory while bad peers hold as much of it as they can, beside usual requests: real
// processes over loopback, with stand-ins for workers and discovery.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "io/loop.h"

namespace cressrill::rig {

// What the bad peers do.
enum class BadPeer {
  none,
  unfinished_body,  // stops 200 bytes short of a large body
  slow_body,        // writes a large body a piece each 0.4 s
  many_fields,      // sends a head of 15,500 very short fields
  some_fields,      // sends a head of 2,000 very short fields and no end
  slow_reader,      // takes 100 bytes of a large response each 0.2 s
  mixed,            // a fifth each of the five kinds above
  endless_prefill,  // usual clients whose prefill workers' responses do not end
  large_events,     // usual clients whose decode workers never end an event
};
constexpr std::size_t kBadPeerCount = 9;
// Name of the value on the command line and in the table.
const char* to_string(BadPeer kind);

struct MemoryLoadOptions {
  std::string router_program;
  std::string folder;  // for the configuration and the log; must exist
  BadPeer kind{BadPeer::unfinished_body};
  int memory_mb = 32;
  int descriptors = 1024;
  int bad_peers = 341;
  bool from_start{};  // the bad peers are there before the router starts, and the router is killed once
  bool come_again{};  // a bad peer whose connection ends connects again
  int usual_requests_per_second = 20;
  io::Nanos duration = 8 * io::kSecond;
};

struct MemoryLoadResult {
  std::size_t peak_kb{};  // private resident memory
  int answered{};         // usual requests that were served whole
  int refused{};          // with 429 or 503
  int lost{};             // without a final answer in time, or with any other
  int exits{};            // of the router, by itself
  io::Nanos median{};     // time to the last byte of the usual requests that were answered
  io::Nanos p99{};
  io::Nanos longest{};
};

MemoryLoadResult run_memory_load(const MemoryLoadOptions& options);

}  // namespace cressrill::rig
