// cressrill-soak: a randomized fault soak of the router on real processes. The stand-ins for workers and the
// proxies in front of them are subcommands.
#include <signal.h>
#include <unistd.h>

#include <filesystem>

#include "command_line.h"
#include "io/signals.h"
#include "rig/soak/conductor.h"
#include "rig/soak/proxy.h"
#include "rig/soak/worker.h"

using namespace cressrill;
namespace soak = rig::soak;

namespace {

io::Address parse_address(const std::string& text) {
  const auto address = io::parse_address(text);
  if (!address) throw std::invalid_argument("'" + text + "' is not an address and port");
  return *address;
}

int run_worker(const soak::WorkerOptions& options, const std::string& record) {
  io::Loop loop;
  rig::Recorder recorder(loop, record);
  soak::SoakWorker worker(loop, options, recorder);
  io::run_until_stop_signal(loop);
  return kSuccess;
}

// SIGUSR1 permanently silences the connections that are open. SIGUSR2 silences all connections until SIGHUP.
io::Task<> handle_signals(io::Loop& loop, io::SignalSet& signals, soak::Proxy& proxy) {
  for (;;) {
    const int number = co_await signals.wait();
    if (number == SIGTERM || number == SIGINT) break;
    if (number == SIGUSR1) proxy.silence_open_connections();
    if (number == SIGUSR2) proxy.set_all_silent(true);
    if (number == SIGHUP) proxy.set_all_silent(false);
  }
  loop.stop();
}

int run_proxy(const std::string& listen, const std::string& target, std::uint64_t seed) {
  io::Loop loop;
  io::ignore_sigpipe();
  soak::Proxy proxy(loop, parse_address(listen), parse_address(target), seed);
  io::SignalSet signals(loop, {SIGTERM, SIGINT, SIGUSR1, SIGUSR2, SIGHUP});
  io::Scope scope(loop, io::Scope::OnException::end_process);
  scope.spawn(handle_signals(loop, signals, proxy));
  loop.run();
  return kSuccess;
}

int run(soak::SoakOptions options, std::uint64_t first_seed, int seeds, int seconds) {
  int failed = 0;
  for (int i = 0; i < seeds; ++i) {
    options.seed = first_seed + static_cast<std::uint64_t>(i);
    options.fault_duration = seconds * io::kSecond;
    const std::string parent = options.folder;
    options.folder = parent + "/seed-" + std::to_string(options.seed);
    std::filesystem::remove_all(options.folder);
    const soak::SoakResult result = soak::run_soak(options);
    options.folder = parent;
    const soak::CheckResult& check_result = result.check_result;
    const bool passed =
        check_result.breaches.empty() && result.injected_call_faults > 0 && check_result.served > 0;
    failed += !passed;
    std::cout << "seed " << options.seed << ": " << (passed ? "kept" : "BROKEN") << ", "
              << check_result.requests << " requests, " << check_result.served << " served, "
              << check_result.refused << " refused, " << check_result.failed << " failed, "
              << check_result.left << " left, " << check_result.excused << " excused; "
              << result.faults_started << " troubles, " << result.injected_call_faults
              << " calls failed; at most " << result.max_descriptors << " descriptors, "
              << result.max_memory_kb << " KB\n";
    for (const std::string& breach : check_result.breaches) std::cout << "  " << breach << '\n';
    std::cout.flush();
  }
  std::cout << seeds - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? kSuccess : kFailure;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Randomized fault soak of the router, on real processes and loopback.", "cressrill-soak"};
  app.require_subcommand(1);
  soak::SoakOptions options;
  std::uint64_t seed = 1;
  int seeds = 1;
  int seconds = 20;
  const std::string program_folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  options.soak_program = program_folder + "/cressrill-soak";
  options.router_program = program_folder + "/cressrill-router";
  options.fault_shim = program_folder + "/libcressrill_fault_shim.so";
  options.folder = "found/soak";
  auto* run_command =
      app.add_subcommand("run", "run one soak for each seed, one after another, and check its records");
  run_command->add_option("--seed", seed, "the first seed");
  run_command->add_option("--seeds", seeds, "number of seeds")->check(CLI::Range(1, 10'000));
  run_command->add_option("--seconds", seconds, "time for which faults are started, for each seed")
      ->check(CLI::Range(1, 3600));
  run_command->add_option("--routers", options.routers, "number of router processes")
      ->check(CLI::Range(1, 16));
  run_command->add_option("--workers", options.workers, "number of worker processes, each with a proxy")
      ->check(CLI::Range(2, 24));
  run_command->add_option("--folder", options.folder, "directory for records and logs");
  run_command->add_option("--router-program", options.router_program, "path of the router program");
  soak::WorkerOptions worker;
  std::string listen;
  std::string target;
  std::string record;
  std::string cues;
  bool prefill = false;
  bool decode = false;
  auto* worker_command = app.add_subcommand("worker", "a stand-in for a worker");
  worker_command->add_option("--name", worker.name)->required();
  worker_command->add_option("--listen", listen)->required();
  worker_command->add_option("--record", record)->required();
  worker_command->add_option("--seed", worker.seed)->required();
  worker_command->add_option("--cues", cues, "address that gets a datagram for each response");
  worker_command->add_flag("--prefill", prefill);
  worker_command->add_flag("--decode", decode);
  auto* proxy_command =
      app.add_subcommand("proxy", "a proxy in front of a worker that simulates network faults");
  proxy_command->add_option("--listen", listen)->required();
  proxy_command->add_option("--target", target)->required();
  proxy_command->add_option("--seed", seed)->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return run_guarded("cressrill-soak", [&] {
    if (worker_command->parsed()) {
      worker.is_prefill = prefill;
      worker.address = parse_address(listen);
      if (!cues.empty()) worker.cues = parse_address(cues);
      return run_worker(worker, record);
    }
    if (proxy_command->parsed()) return run_proxy(listen, target, seed);
    return run(options, seed, seeds, seconds);
  });
}
