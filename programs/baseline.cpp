// cressrill-baseline: the router with a baseline policy in place of its own, for comparisons only.
#include "rig/baseline.h"

#include "serve.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"A router with a baseline policy, for comparisons only; not for production.",
               "cressrill-baseline"};
  std::string file;
  std::string policy;
  app.add_option("--config", file, "a router's TOML file")->required();
  app.add_option("--policy", policy, "random or fewest")->required();
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  core::ConfigErrors errors;
  const std::optional<core::RouterConfig> config = core::read_router_config(file, errors);
  if (print_errors(errors)) return kUsageError;
  return run_guarded("cressrill-baseline", [&] {
    return serve(*config, [&](const PolicySettings& settings, std::uint64_t seed, Nanos, Actions& actions) {
      return rig::make_baseline(policy, settings, seed, actions);
    });
  });
}
