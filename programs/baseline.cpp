// cressrill-baseline: the router's sockets with plain decisions in place of its own. For rigs only.
#include "rig/baseline.h"

#include "serve.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"A baseline to compare the router with; not for use.", "cressrill-baseline"};
  std::string file, policy;
  app.add_option("--config", file, "a router's TOML file")->required();
  app.add_option("--policy", policy, "random or fewest")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors faults;
  const std::optional<core::RouterConfig> station = core::read_router_config(file, faults);
  if (print_faults(faults)) return kUsage;
  return guarded("cressrill-baseline", [&] {
    return serve(*station, [&](const PolicySettings& d, std::uint64_t seed, Nanos, Actions& actions) {
      return rig::make_baseline(policy, d, seed, actions);
    });
  });
}
