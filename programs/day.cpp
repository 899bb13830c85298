// cressrill-day: plays a scripted day on the real router and its stand-ins, and judges it.
#include <filesystem>

#include "command_line.h"
#include "rig/player.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Plays a day on routers, engines and a roster that it starts on loopback.", "cressrill-day"};
  app.require_subcommand(1);
  std::string script, folder, policy, only;
  int net = 0;
  CLI::App* play = app.add_subcommand("play", "plays a day, records what crossed the sockets, and judges it");
  play->add_option("DAY", script, "the day's TOML file")->required();
  play->add_option("--record", folder, "an empty or new folder for the record")->required();
  play->add_option("--policy", policy, "a baseline in place of the router's own decisions: random, fewest")
      ->check(CLI::IsMember({"random", "fewest"}));
  play->add_option("--only", only, "this kind of trouble alone, of its usual size, in the middle of the day")
      ->check(CLI::IsMember(rig::trouble_kinds()));
  play->add_option("--net", net,
                   "second number of the loopback addresses: days with different ones run at once")
      ->check(CLI::Range(0, 255));
  CLI::App* check = app.add_subcommand("check", "only reads the script and prints what is wrong with it");
  check->add_option("DAY", script, "the day's TOML file")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors faults;
  auto day = rig::read_day(script, faults);
  if (print_faults(faults) || !day) return kUsage;
  if (check->parsed()) {
    std::cout << script << ": nothing wrong\n";
    return kFine;
  }
  return guarded("cressrill-day", [&] {
    if (!only.empty()) rig::keep_only(*day, only);
    const std::string here =
        std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/cressrill-";
    rig::Programs programs{{here + "router"}, here + "engine", here + "roster"};
    if (!policy.empty()) programs.router = {here + "baseline", "--policy", policy};
    std::cout << "day " << day->name << ": " << day->routers.size() << " routers, " << day->engines.size()
              << " stand-in engines, " << day->troubles.size() << " troubles, " << day->length / io::kSecond
              << " s\n"
              << std::flush;
    const std::vector<std::string> wrong = rig::play(*day, programs, folder, net);
    const rig::Verdict verdict = rig::judge(rig::read_records(folder), day->book);
    std::cout << verdict.text();
    for (const std::string& w : wrong) std::cout << "failed: " << w << '\n';
    return verdict.kept() && wrong.empty() ? kFine : kFailed;
  });
}
