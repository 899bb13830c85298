// cressrill-roster: a stand-in for discovery.
#include "command_line.h"
#include "io/signals.h"
#include "rig/discovery_stand_in.h"

using namespace cressrill;

int main(int argc, char** argv) {
  CLI::App app{"Discovery stand-in: sends the worker list and its changes, with a delay.",
               "cressrill-roster"};
  std::string listen;
  std::string record_path;
  double delay_ms = 0;
  app.add_option("--listen", listen, "address and port")->required();
  app.add_option("--record", record_path, "file to which records of what was sent are appended");
  app.add_option("--late-ms", delay_ms, "delay of changes")->check(CLI::NonNegativeNumber);
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  const auto address = io::parse_address(listen);
  if (!address) {
    std::cerr << "cressrill-roster: '" << listen << "' is not an address and port\n";
    return kUsageError;
  }
  return run_guarded("cressrill-roster", [&] {
    io::Loop loop;
    rig::Recorder recorder(loop, record_path.empty() ? "/dev/null" : record_path);
    rig::DiscoveryStandIn discovery(loop, *address, recorder);
    discovery.set_delay(static_cast<io::Nanos>(delay_ms * 1e6));
    io::run_until_stop_signal(loop);
    return kSuccess;
  });
}
