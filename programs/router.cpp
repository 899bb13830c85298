// cressrill-router: serves, or checks its file. With --platform it serves by the file that EDGE_CONFIG names.
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "platform/node.h"
#include "serve.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Routes language-model sequences to engines that read and engines that write.",
               "cressrill-router"};
  std::string file;
  bool check = false;
  auto* config = app.add_option("--config", file, "the router's TOML file");
  bool platform = false;
  std::string log_level = "warn";
  auto* on_platform = app.add_flag("--platform", platform,
                                   "speak the platform's protocol, by the file that EDGE_CONFIG names");
  on_platform->excludes(config);
  app.add_option("--log-level", log_level, "of --platform: trace, debug, info, warn, error, off")
      ->needs(on_platform);
  app.add_flag("--check", check, "only read the file and print what is wrong with it");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  if (platform) {
    const char* path = std::getenv("EDGE_CONFIG");
    if (path == nullptr || *path == '\0') {
      std::cerr << "cressrill-router: EDGE_CONFIG names no file\n";
      return kUsage;
    }
    return guarded("cressrill-router", [&] {
      cressrill::platform::run_node(path, log_level);
      return kFine;
    });
  }
  if (config->empty()) {
    std::cerr << "cressrill-router: --config or --platform is needed\n";
    return kUsage;
  }
  core::ConfigErrors faults;
  const std::optional<core::RouterConfig> station = core::read_router_config(file, faults);
  if (print_faults(faults)) return kUsage;
  if (check) {
    if (std::ifstream list(station->last_list_path); !station->last_list_path.empty() && list) {
      const std::string text((std::istreambuf_iterator<char>(list)), {});
      try {
        faults = core::check_worker_list(*station, core::parse_worker_list(text), station->last_list_path);
      } catch (const std::invalid_argument& e) {
        faults.push_back({station->last_list_path, 0, 0, e.what()});
      }
      if (print_faults(faults)) return kUsage;
    }
    std::cout << file << ": nothing wrong\n";
    return kFine;
  }
  return guarded("cressrill-router", [&] { return serve(*station, make_policy); });
}
