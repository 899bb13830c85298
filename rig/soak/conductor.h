// Runs a randomized fault soak on loopback: real processes of the router, of workers and of proxies, clients
// that behave in different ways, and faults that overlap in time (signals, reloads, restarts, stopped and
// killed processes, failing system calls, steps of the wall clock, silent links, an unresponsive discovery).
// All random choices derive from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "checker.h"

namespace cressrill::rig::soak {

struct SoakOptions {
  std::uint64_t seed{};
  io::Nanos fault_duration{};  // how long new faults are started
  int routers = 4;
  int workers = 8;  // the first half are prefill workers, the others decode workers; each has its own proxy
  std::string folder;  // for records and logs
  std::string router_program;
  std::string soak_program;  // cressrill-soak, which has subcommands for workers and proxies
  std::string fault_shim;    // path of the fault shim's shared library
};

struct SoakResult {
  CheckResult check_result;
  std::uint64_t injected_call_faults{};  // system calls that the fault shim changed
  std::size_t faults_started{};
  std::size_t max_descriptors{};      // the most that any router had open
  std::size_t max_memory_kb{};        // the largest resident memory of any router
  std::uint64_t router_violations{};  // invariant violations that routers logged themselves
};

// Runs one soak and checks its records. Throws std::system_error or std::filesystem::filesystem_error if the
// soak cannot be set up.
SoakResult run_soak(const SoakOptions& options);

}  // namespace cressrill::rig::soak
