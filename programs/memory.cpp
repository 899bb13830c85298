// cressrill-memory: measures the router's private resident memory while bad peers hold what they can, beside
// usual requests. Prints a row of a table for each play; exits with 1 if a play broke a bound.
#include <fmt/format.h>

#include <filesystem>

#include "command_line.h"
#include "io/signals.h"
#include "rig/memory_load.h"

using namespace cressrill;

namespace {

// Share of the limit that the router may use at any sample.
constexpr int kMaxPercent = 90;

bool play(const rig::MemoryLoadOptions& options) {
  const rig::MemoryLoadResult result = rig::run_memory_load(options);
  const double peak_mb = static_cast<double>(result.peak_kb) / 1024;
  const bool kept = peak_mb * 100 <= options.memory_mb * kMaxPercent && result.lost == 0 && result.exits == 0;
  const auto ms = [](io::Nanos time) { return time / io::kMs; };
  std::cout << fmt::format("| {}{}{} | {} | {} | {} | {:.1f} | {} / {} / {} | {} / {} / {} | {} | {} |\n",
                           to_string(options.kind), options.from_start ? ", from the first accept" : "",
                           options.come_again ? ", again and again" : "", options.memory_mb,
                           options.descriptors, options.bad_peers, peak_mb, result.answered, result.refused,
                           result.lost, ms(result.median), ms(result.p99), ms(result.longest), result.exits,
                           kept ? "kept" : "BROKEN");
  std::cout.flush();
  return kept;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Measures the router's memory under bad peers, on real processes and loopback.",
               "cressrill-memory"};
  rig::MemoryLoadOptions options;
  options.router_program =
      std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/cressrill-router";
  std::vector<std::string> kinds;
  std::vector<int> limits{32};
  int seconds = 8;
  options.folder = "found/memory";
  app.add_option("--kind", kinds, "kinds of bad peers; all if not given")->delimiter(',');
  app.add_option("--memory-mb", limits, "memory limits")->delimiter(',');
  app.add_option("--descriptors", options.descriptors)->check(CLI::Range(64, 4096));
  app.add_option("--peers", options.bad_peers, "number of bad peers")->check(CLI::Range(1, 2000));
  app.add_option("--seconds", seconds, "of usual requests in each play")->check(CLI::Range(1, 600));
  app.add_option("--folder", options.folder, "directory for the configuration and the log");
  app.add_option("--router-program", options.router_program, "path of the router program");
  app.add_flag("--from-start", options.from_start, "bad peers come before the router, which is killed once");
  app.add_flag("--again", options.come_again, "bad peers come again when their connection ends");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return run_guarded("cressrill-memory", [&] {
    io::ignore_sigpipe();
    std::filesystem::create_directories(options.folder);
    options.duration = seconds * io::kSecond;
    std::cout << "| bad peers | limit MB | descriptors | peers | peak MB | usual: answered / refused / lost "
                 "| ms: median / p99 / longest | exits | |\n|---|---|---|---|---|---|---|---|---|\n";
    bool kept = true;
    for (const int limit : limits) {
      options.memory_mb = limit;
      for (std::size_t i = 0; i < rig::kBadPeerCount; ++i) {
        options.kind = static_cast<rig::BadPeer>(i);
        if (kinds.empty() || std::ranges::find(kinds, to_string(options.kind)) != kinds.end())
          kept &= play(options);
      }
    }
    return kept ? kSuccess : kFailure;
  });
}
