// cressrill-router: runs the router, or checks its configuration file. With --platform it runs a node of the
// platform, configured by the file that EDGE_CONFIG names.
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "platform/node.h"
#include "serve.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Routes requests for language models to prefill engines and decode engines.",
               "cressrill-router"};
  std::string path;
  bool check = false;
  auto* config_option = app.add_option("--config", path, "the router's TOML file");
  bool platform = false;
  std::string log_level = "warn";
  auto* platform_option = app.add_flag(
      "--platform", platform, "speak the platform's protocol, configured by the file that EDGE_CONFIG names");
  platform_option->excludes(config_option);
  app.add_option("--log-level", log_level, "of --platform: trace, debug, info, warn, error, off")
      ->needs(platform_option);
  app.add_flag("--check", check, "only read the file and print its errors");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  if (platform) {
    const char* node_config_path = std::getenv("EDGE_CONFIG");
    if (node_config_path == nullptr || *node_config_path == '\0') {
      std::cerr << "cressrill-router: EDGE_CONFIG names no file\n";
      return kUsageError;
    }
    return run_guarded("cressrill-router", [&] {
      cressrill::platform::run_node(node_config_path, log_level);
      return kSuccess;
    });
  }
  if (config_option->empty()) {
    std::cerr << "cressrill-router: --config or --platform is needed\n";
    return kUsageError;
  }
  core::ConfigErrors errors;
  const std::optional<core::RouterConfig> config = core::read_router_config(path, errors);
  if (print_errors(errors)) return kUsageError;
  if (check) {
    if (std::ifstream list_file(config->last_list_path); !config->last_list_path.empty() && list_file) {
      const std::string last_list((std::istreambuf_iterator<char>(list_file)), {});
      try {
        errors = core::check_worker_list(*config, core::parse_worker_list(last_list), config->last_list_path);
      } catch (const std::invalid_argument& error) {
        errors.push_back({config->last_list_path, 0, 0, error.what()});
      }
      if (print_errors(errors)) return kUsageError;
    }
    std::cout << path << ": nothing wrong\n";
    return kSuccess;
  }
  return run_guarded("cressrill-router", [&] { return serve(*config, make_policy); });
}
