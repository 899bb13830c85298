// cressrill-verdict: checks the five rules on the records that a run of cressrill-day left in a folder.
#include "command_line.h"
#include "rig/scenario_runner.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Checks the rules on the records of clients, engines and the discovery stand-in.",
               "cressrill-verdict"};
  std::string folder;
  app.add_option("DIR", folder, "the folder with the records of cressrill-day")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return run_guarded("cressrill-verdict", [&] {
    const rig::Verdict verdict = rig::check_rules(rig::read_records(folder), rig::read_rule_settings(folder));
    std::cout << verdict.report();
    return verdict.passed() ? kSuccess : kFailure;
  });
}
