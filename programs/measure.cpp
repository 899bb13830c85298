// cressrill-measure: measures the latency and CPU time that the router adds, compared with those of a plain
// TCP relay in the same run, and the memory of an idle stream. The engines are stand-ins with fixed decode
// steps and almost no prefill time. Prints tables; see docs/measurements/.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "command_line.h"
#include "rig/client.h"
#include "rig/fleet_file.h"
#include "rig/process.h"

using namespace cressrill;

namespace {

std::string work_folder;     // for configuration files and logs
std::string program_prefix;  // path of the other programs, up to the last part of their names

io::Address loopback_address(std::uint32_t third, std::size_t fourth, std::uint16_t port) {
  return {127u << 24 | third << 8 | static_cast<std::uint32_t>(fourth), port};
}

// The text of a router's configuration file. The admin port is the one after `port`.
std::string router_file(const std::string& name, std::uint16_t port, std::uint16_t discovery_port,
                        double memory_tokens) {
  return fmt::format(
      "[router]\nname = \"{}\"\nlisten = \"127.0.20.1:{}\"\nadmin = \"127.0.20.1:{}\"\nroster = "
      "\"127.0.20.9:{}\"\n"
      "zone = \"a\"\nzones = [\"a\"]\nrouters = 1\nlog_level = \"off\"\n[rules]\ndrain_grace_ms = "
      "500\nattempts = 6\n"
      "pin_limit_ms = 1000\ncold_from = 0.25\nramp_ms = 8000\nfall_multiple = 3\nfall_ms = 2000\n"
      "[bounds]\nengine_connections = 20000\n"
      "[[kind]]\nname = \"prefill\"\nrole = \"reader\"\nmemory_tokens = {}\n"
      "[[kind]]\nname = \"decode\"\nrole = \"writer\"\nmemory_tokens = {}\n"
      "[[kind]]\nname = \"both\"\nrole = \"mixed\"\nmemory_tokens = {}\n"
      "[[traffic_type]]\nname = \"plain\"\neffect = \"repeatable\"\nslo_ms = 20000\nabandon_ms = 60000\n",
      name, port, port + 1, discovery_port, memory_tokens, memory_tokens, memory_tokens);
}

// A router, its discovery stand-in and its engines: three processes.
struct Deployment {
  Deployment(const std::string& name, std::uint16_t port, int prefill_engines, int decode_engines,
             int mixed_engines, double step_ms, std::uint32_t engine_third_byte,
             const std::string& policy = "")
      : router_address(loopback_address(20, 1, port)) {
    const auto discovery_port = static_cast<std::uint16_t>(port + 5);
    std::ofstream file(work_folder + "/" + name + "-engines.toml");
    const auto add_engines = [&](const char* kind, const char* role, int count) {
      for (int i = 0; i < count; ++i) {
        engine_addresses.push_back(
            loopback_address(engine_third_byte, 1 + engine_addresses.size(), 19200).to_string());
        file << fmt::format(
            "[[engine]]\nname = \"{}-{}\"\naddress = \"{}\"\nkind = \"{}\"\nrole = \"{}\"\nzone = \"a\"\n"
            "cell = \"c\"\nslots = 20000\nqueue = 20000\nmemory_tokens = 1e9\nread_per_s = 1e9\n"
            "read_overhead_ms = 0\nstep_ms = {}\nstep_ms_per_sequence = 0\ntransfer_per_s = 1e9\n",
            role, i, engine_addresses.back(), kind, role, step_ms);
      }
    };
    add_engines("prefill", "reader", prefill_engines);
    add_engines("decode", "writer", decode_engines);
    add_engines("both", "mixed", mixed_engines);
    file.close();
    std::ofstream(work_folder + "/" + name + "-router.toml") << router_file(name, port, discovery_port, 1e9);
    const std::string log = work_folder + "/" + name + ".log";
    discovery = rig::Process(
        {program_prefix + "roster", "--listen", loopback_address(20, 9, discovery_port).to_string()}, log);
    ::usleep(200'000);
    engines = rig::Process({program_prefix + "engine", "--config", work_folder + "/" + name + "-engines.toml",
                            "--roster", loopback_address(20, 9, discovery_port).to_string()},
                           log);
    std::vector<std::string> command{program_prefix + (policy.empty() ? "router" : "baseline")};
    if (!policy.empty()) command.insert(command.end(), {"--policy", policy});
    command.insert(command.end(), {"--config", work_folder + "/" + name + "-router.toml"});
    router = rig::Process(command, log);
    ::usleep(800'000);
  }
  io::Address router_address;
  std::vector<std::string> engine_addresses;
  rig::Process discovery;
  rig::Process engines;  // one process for all engines
  rig::Process router;
};

// User and system time of a process; the fields of /proc/PID/stat are numbered as in proc(5).
double cpu_seconds(int pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string value;
  std::string line;
  std::getline(file, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  double user_ticks = 0;
  double system_ticks = 0;
  for (int field = 3; field <= 15 && fields >> value; ++field) {
    if (field == 14) user_ticks = std::stod(value);
    if (field == 15) system_ticks = std::stod(value);
  }
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_memory_mib(int pid) {
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
  return 0;
}

std::size_t open_descriptors(int pid) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid)))
    ++count;
  return count;
}

rig::ClientRequest make_request(const io::Address& address, std::size_t number, int output_tokens,
                                int words) {
  rig::ClientRequest request;
  request.sequence = "q" + std::to_string(number);
  request.id = request.sequence + ".0";
  request.router = "r";
  request.type = "plain";
  request.address = address;
  request.time_limit = 60 * io::kSecond;
  std::string prompt;
  for (int i = 0; i < words; ++i) prompt += "word ";
  request.body = nlohmann::json{
      {"model", "m"},
      {"messages", {{{"role", "user"}, {"content", prompt}}}},
      {"max_tokens", 100'000},
      {"metadata", {{"out", std::to_string(output_tokens)}}},
      {"stream",
       true}}.dump();
  return request;
}

// What the clients of one load measured.
struct LoadResult {
  std::vector<double> first_ms;  // times to first token
  std::vector<double> gap_ms;    // mean time between two tokens, one value for each response
  std::size_t failed{};
  double seconds{};
};

double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Sends `count` requests from concurrent clients. Each client waits for its response, and then for the pause,
// before it sends the next request.
LoadResult run_load(const io::Address& address, std::size_t count, int clients, int output_tokens,
                    io::Nanos pause) {
  io::Loop loop;
  rig::Recorder no_record(loop, "/dev/null");
  io::Scope scope(loop);
  LoadResult result;
  std::size_t sent = 0;
  const io::Nanos started = loop.now();
  for (int i = 0; i < clients; ++i)
    scope.spawn([](io::Loop& client_loop, rig::Recorder& recorder, const io::Address& server,
                   std::size_t& last_number, std::size_t requests, int tokens, io::Nanos wait,
                   LoadResult& totals) -> io::Task<> {
      while (last_number < requests) {
        const rig::ClientResult response = co_await rig::send_request(
            client_loop, recorder, make_request(server, ++last_number, tokens, 300));
        if (response.outcome == "generated") {
          totals.first_ms.push_back(static_cast<double>(response.time_to_first_token) / 1e6);
          totals.gap_ms.push_back(static_cast<double>(response.elapsed - response.time_to_first_token) / 1e6 /
                                  std::max(1, tokens - 1));
        } else {
          ++totals.failed;
        }
        if (wait > 0) co_await client_loop.sleep_for(wait);
      }
    }(loop, no_record, address, sent, count, output_tokens, pause, result));
  loop.run_until([&] { return scope.empty(); });
  result.seconds = static_cast<double>(loop.now() - started) / 1e9;
  return result;
}

// Returns the exit status.
int measure_added_latency(int engines, int rounds) {
  Deployment one_stage("one", 20100, 0, 0, engines, 2, 21);
  Deployment two_stages("two", 20200, engines / 2, engines - engines / 2, 0, 2, 22);
  std::vector<std::string> command{program_prefix + "relay", "--listen", "127.0.20.2:20300", "--to"};
  command.insert(command.end(), one_stage.engine_addresses.begin(), one_stage.engine_addresses.end());
  rig::Process relay(command, work_folder + "/relay.log");
  ::usleep(300'000);
  struct Path {
    const char* name;
    io::Address address;
    rig::Process& process;
    std::vector<double> first_ms;
    std::vector<double> gap_ms;
    double cpu_seconds{};     // of the process under full load
    std::size_t succeeded{};  // requests under full load
    std::size_t failed{};     // requests under either load
  };
  Path paths[] = {
      {"engine alone", *io::parse_address(one_stage.engine_addresses[0]), one_stage.engines, {}, {}, 0, 0, 0},
      {"plain relay", loopback_address(20, 2, 20300), relay, {}, {}, 0, 0, 0},
      {"router, one stage", one_stage.router_address, one_stage.router, {}, {}, 0, 0, 0},
      {"router, two stages", two_stages.router_address, two_stages.router, {}, {}, 0, 0, 0}};
  // Warm-up: excludes the connections and the memory that only the first requests need from the figures.
  for (Path& path : paths) run_load(path.address, 200, 8, 20, 0);
  // The paths take turns, so that noise on the machine affects all of them.
  for (int round = 0; round < rounds; ++round)
    for (Path& path : paths) {
      const LoadResult low = run_load(path.address, 60, 1, 20, 2 * io::kMs);
      path.first_ms.insert(path.first_ms.end(), low.first_ms.begin(), low.first_ms.end());
      path.gap_ms.insert(path.gap_ms.end(), low.gap_ms.begin(), low.gap_ms.end());
      const double before = cpu_seconds(path.process.pid());
      const LoadResult full = run_load(path.address, 400, 64, 20, 0);
      path.cpu_seconds += cpu_seconds(path.process.pid()) - before;
      path.succeeded += full.first_ms.size();
      path.failed += full.failed + low.failed;
    }
  fmt::print(
      "{} stand-in engines, {} rounds in turn; low load: one at a time; 20 tokens an answer, 2 ms a token\n",
      engines, rounds);
  fmt::print("{:<20}{:>14}{:>14}{:>14}{:>14}{:>16}{:>8}\n", "path", "first p50 ms", "first p99 ms",
             "event p50 ms", "event p99 ms", "seq/s a core", "failed");
  for (const Path& path : paths)
    fmt::print("{:<20}{:>14.3f}{:>14.3f}{:>14.3f}{:>14.3f}{:>16.0f}{:>8}\n", path.name,
               percentile(path.first_ms, 0.5), percentile(path.first_ms, 0.99), percentile(path.gap_ms, 0.5),
               percentile(path.gap_ms, 0.99),
               &path == &paths[0] || path.cpu_seconds == 0
                   ? 0
                   : static_cast<double>(path.succeeded) / path.cpu_seconds,
               path.failed);
  const auto added_ms = [&](const Path& path, double fraction) {
    return percentile(path.first_ms, fraction) - percentile(paths[0].first_ms, fraction);
  };
  fmt::print("added to a first token, one stage / relay: p50 {:.3f} / {:.3f} ms, p99 {:.3f} / {:.3f} ms\n",
             added_ms(paths[2], 0.5), added_ms(paths[1], 0.5), added_ms(paths[2], 0.99),
             added_ms(paths[1], 0.99));
  fmt::print("throughput a core, router one stage / relay: {:.2f}\n",
             static_cast<double>(paths[2].succeeded) / paths[2].cpu_seconds /
                 (static_cast<double>(paths[1].succeeded) / paths[1].cpu_seconds));
  return paths[2].failed + paths[3].failed == 0 ? kSuccess : kFailure;
}

// Returns the exit status.
int measure_stream_memory(const std::vector<int>& sizes, const std::string& policy) {
  Deployment deployment("memory", 20400, 2, 8, 0, 400, 23, policy);
  const double initial_mib = resident_memory_mib(deployment.router.pid());
  const std::size_t initial_descriptors = open_descriptors(deployment.router.pid());
  fmt::print("{:<10}{:>14}{:>16}{:>18}{:>18}\n", "streams", "router MiB", "KiB a stream", "descriptors",
             "a stream");
  for (const int size : sizes) {
    io::Loop loop;
    rig::Recorder no_record(loop, "/dev/null");
    {
      io::Scope scope(loop);
      std::size_t streams_started = 0;
      for (int i = 0; i < size; ++i)
        scope.spawn([](io::Loop& client_loop, rig::Recorder& recorder, io::Address router, int number,
                       std::size_t& started_count) -> io::Task<> {
          co_await client_loop.sleep_for(number * 4 * io::kMs);
          // Retries, as the router rejects requests while its limits are still growing.
          for (bool started = false; !started;) {
            rig::ClientRequest request = make_request(router, static_cast<std::size_t>(number), 100'000, 100);
            request.on_first_token = [&] {
              started = true;
              ++started_count;
            };
            co_await rig::send_request(client_loop, recorder, std::move(request));
            if (!started) co_await client_loop.sleep_for(500 * io::kMs);
          }
        }(loop, no_record, deployment.router_address, i, streams_started));
      const io::Nanos deadline = loop.now() + 120 * io::kSecond;
      bool settled = false;
      scope.spawn([](io::Loop& client_loop, io::Nanos latest, std::size_t& started_count, int streams,
                     bool& finished) -> io::Task<> {
        while (client_loop.now() < latest && started_count < static_cast<std::size_t>(streams))
          co_await client_loop.sleep_for(100 * io::kMs);
        co_await client_loop.sleep_for(2 * io::kSecond);
        finished = true;
      }(loop, deadline, streams_started, size, settled));
      loop.run_until([&] { return settled; });
      if (streams_started < static_cast<std::size_t>(size))
        fmt::print("only {} of {} streams started\n", streams_started, size);
      const double mib = resident_memory_mib(deployment.router.pid());
      const std::size_t descriptors = open_descriptors(deployment.router.pid());
      fmt::print("{:<10}{:>14.1f}{:>16.1f}{:>18}{:>18.2f}\n", size, mib, (mib - initial_mib) * 1024 / size,
                 descriptors, static_cast<double>(descriptors - initial_descriptors) / size);
    }
    ::usleep(1'500'000);
  }
  return kSuccess;
}

// Returns the exit status.
int run_steady_load(int seconds) {
  Deployment deployment("soak", 20500, 2, 4, 0, 2, 24);
  fmt::print("{:<10}{:>14}{:>14}{:>14}\n", "seconds", "router MiB", "descriptors", "answered");
  std::size_t answered = 0;
  std::size_t failed = 0;
  const int steps = 10;
  for (int step = 0; step <= steps; ++step) {
    fmt::print("{:<10}{:>14.1f}{:>14}{:>14}\n", step * seconds / steps,
               resident_memory_mib(deployment.router.pid()), open_descriptors(deployment.router.pid()),
               answered);
    std::fflush(stdout);
    if (step == steps) break;
    const io::Nanos step_end = io::Loop().now() + seconds * io::kSecond / steps;
    while (io::Loop().now() < step_end) {
      const LoadResult load = run_load(deployment.router_address, 400, 16, 20, 0);
      answered += load.first_ms.size();
      failed += load.failed;
    }
  }
  fmt::print("failed: {}\n", failed);
  return failed == 0 ? kSuccess : kFailure;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Measures the router beside a plain relay; all servers are stand-ins on loopback.",
               "cressrill-measure"};
  app.require_subcommand(1);
  int engines = 12;
  int rounds = 6;
  int seconds = 300;
  std::vector<int> sizes{100, 1000, 5000};
  CLI::App* added_command = app.add_subcommand(
      "added", "time added to the first token and to an event, and requests a second on one core");
  added_command->add_option("--engines", engines, "number of stand-in engines")->check(CLI::Range(2, 200));
  added_command->add_option("--rounds", rounds, "number of rounds; the paths take turns")
      ->check(CLI::Range(1, 1000));
  CLI::App* memory_command = app.add_subcommand("memory", "memory and descriptors of an idle stream");
  memory_command->add_option("--streams", sizes, "numbers of concurrent streams");
  std::string policy;
  memory_command
      ->add_option("--policy", policy, "a baseline in place of the router's decisions: random, fewest")
      ->check(CLI::IsMember({"random", "fewest"}));
  CLI::App* soak_command = app.add_subcommand("soak", "memory during a long steady load");
  soak_command->add_option("--seconds", seconds, "how long")->check(CLI::Range(10, 100'000));
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return run_guarded("cressrill-measure", [&] {
    program_prefix = std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/cressrill-";
    char folder_template[] = "/tmp/cressrill-measure-XXXXXX";
    if (mkdtemp(folder_template) == nullptr)
      throw std::runtime_error("cannot create a folder for the files of the run");
    work_folder = folder_template;
    const int status = added_command->parsed()    ? measure_added_latency(engines, rounds)
                       : memory_command->parsed() ? measure_stream_memory(sizes, policy)
                                                  : run_steady_load(seconds);
    std::filesystem::remove_all(work_folder);
    return status;
  });
}
