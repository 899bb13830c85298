// Runs a randomized fault soak: real processes of the router, of workers and of proxies on loopback; clients of all manners;
// and troubles that overlap in time (signals, reloads, restarts, stopped and killed processes, calls that fail, a wall
// clock that is stepped, discovery that is silent). All that is drawn comes from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "checker.h"

namespace cressrill::rig::soak {

struct SoakOptions {
  std::uint64_t seed{};
  io::Nanos length{};
  int routers = 4;
  int workers = 8;  // the first half prefills, the others decode; each behind a proxy of its own
  std::string folder;
  std::string router_program;
  std::string soak_program;  // with its subcommands for workers and proxies
  std::string shim;          // shared library of the fault shim
};

struct SoakResult {
  Judgement judgement;
  std::uint64_t faults_injected{};    // calls that were made to fail
  std::size_t troubles{};             // that were begun
  std::size_t most_descriptors{};     // of any router
  std::size_t most_memory_kb{};       // resident, of any router
  std::uint64_t router_violations{};  // that routers counted themselves
};

SoakResult run_soak(const SoakOptions& options);

}  // namespace cressrill::rig::soak
