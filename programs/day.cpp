// cressrill-day: runs a scenario on the real router with stand-ins for engines and discovery, and checks the
// rules.
#include <filesystem>

#include "command_line.h"
#include "rig/scenario_runner.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Runs a scenario on routers, engines and a discovery stand-in that it starts on loopback.",
               "cressrill-day"};
  app.require_subcommand(1);
  std::string path;
  std::string folder;
  std::string policy;
  std::string only_fault;
  int second_byte = 0;
  CLI::App* play = app.add_subcommand("play", "runs a scenario, records its traffic, and checks the rules");
  play->add_option("DAY", path, "TOML file of the scenario")->required();
  play->add_option("--record", folder, "an empty or new folder for the records")->required();
  play->add_option("--policy", policy, "a baseline in place of the router's own decisions: random, fewest")
      ->check(CLI::IsMember({"random", "fewest"}));
  play->add_option("--only", only_fault,
                   "inject only a fault of this kind, of its default size, after a third of the scenario")
      ->check(CLI::IsMember(rig::fault_kinds()));
  play->add_option("--net", second_byte,
                   "second byte of the loopback addresses: scenarios with different ones can run at once")
      ->check(CLI::Range(0, 255));
  CLI::App* check = app.add_subcommand("check", "only reads the scenario and prints its errors");
  check->add_option("DAY", path, "TOML file of the scenario")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors errors;
  auto scenario = rig::read_scenario(path, errors);
  if (print_errors(errors) || !scenario) return kUsageError;
  if (check->parsed()) {
    std::cout << path << ": nothing wrong\n";
    return kSuccess;
  }
  return run_guarded("cressrill-day", [&] {
    if (!only_fault.empty()) rig::keep_only_fault(*scenario, only_fault);
    const std::string program_prefix =
        std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/cressrill-";
    rig::Programs programs{{program_prefix + "router"}, program_prefix + "engine", program_prefix + "roster"};
    if (!policy.empty()) programs.router = {program_prefix + "baseline", "--policy", policy};
    std::cout << "day " << scenario->name << ": " << scenario->routers.size() << " routers, "
              << scenario->engines.size() << " stand-in engines, " << scenario->faults.size() << " troubles, "
              << scenario->length / io::kSecond << " s\n"
              << std::flush;
    const std::vector<std::string> failures = rig::run_scenario(*scenario, programs, folder, second_byte);
    const rig::Verdict verdict = rig::check_rules(rig::read_records(folder), scenario->rule_settings);
    std::cout << verdict.report();
    for (const std::string& failure : failures) std::cout << "failed: " << failure << '\n';
    return verdict.passed() && failures.empty() ? kSuccess : kFailure;
  });
}
