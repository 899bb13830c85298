// cressrill-measure: measures the latency and CPU time that the router adds, beside those of a plain TCP
// relay in the same run, and the memory of an idle stream. The engines are stand-ins that answer as fast as
// they can. Prints tables; see docs/measurements/.
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

std::string work_folder;
std::string program_prefix;

io::Address loopback_address(std::uint32_t third, std::size_t fourth, std::uint16_t port) {
  return {127u << 24 | third << 8 | static_cast<std::uint32_t>(fourth), port};
}

std::string router_file(const std::string& name, std::uint16_t port, std::uint16_t discovery_port,
                        double memory) {
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
      name, port, port + 1, discovery_port, memory, memory, memory);
}

// A router with its engines and its discovery stand-in, each a process of its own.
struct Group {
  Group(const std::string& name, std::uint16_t port, int prefill_engines, int decode_engines,
        int mixed_engines, double step_ms, std::uint32_t net, const std::string& policy = "")
      : router_address(loopback_address(20, 1, port)) {
    const auto discovery_port = static_cast<std::uint16_t>(port + 5);
    std::ofstream file(work_folder + "/" + name + "-engines.toml");
    const auto add = [&](const char* kind, const char* role, int count) {
      for (int i = 0; i < count; ++i) {
        addresses.push_back(loopback_address(net, 1 + addresses.size(), 19200).to_string());
        file << fmt::format(
            "[[engine]]\nname = \"{}-{}\"\naddress = \"{}\"\nkind = \"{}\"\nrole = \"{}\"\nzone = \"a\"\n"
            "cell = \"c\"\nslots = 20000\nqueue = 20000\nmemory_tokens = 1e9\nread_per_s = 1e9\n"
            "read_overhead_ms = 0\nstep_ms = {}\nstep_ms_per_sequence = 0\ntransfer_per_s = 1e9\n",
            role, i, addresses.back(), kind, role, step_ms);
      }
    };
    add("prefill", "reader", prefill_engines);
    add("decode", "writer", decode_engines);
    add("both", "mixed", mixed_engines);
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
  std::vector<std::string> addresses;
  rig::Process discovery, engines, router;
};

double cpu_seconds(int pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string word, rest;
  std::getline(file, rest);
  std::istringstream words(rest.substr(rest.rfind(')') + 2));
  double user = 0, system = 0;
  for (int i = 3; i <= 15 && words >> word; ++i) {
    if (i == 14) user = std::stod(word);
    if (i == 15) system = std::stod(word);
  }
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mib(int pid) {
  std::ifstream file(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("VmRSS:")) return std::atof(line.c_str() + 6) / 1024;
  return 0;
}

std::size_t descriptors(int pid) {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& e : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid)))
    ++n;
  return n;
}

rig::ClientRequest make_request(const io::Address& to, std::size_t number, int out, int words) {
  rig::ClientRequest request;
  request.sequence = "q" + std::to_string(number);
  request.id = request.sequence + ".0";
  request.router = "r";
  request.type = "plain";
  request.address = to;
  request.time_limit = 60 * io::kSecond;
  std::string text;
  for (int i = 0; i < words; ++i) text += "word ";
  request.body = nlohmann::json{
      {"model", "m"},
      {"messages", {{{"role", "user"}, {"content", text}}}},
      {"max_tokens", 100'000},
      {"metadata", {{"out", std::to_string(out)}}},
      {"stream",
       true}}.dump();
  return request;
}

struct LoadResult {
  std::vector<double> first_ms;
  std::vector<double> gap_ms;  // mean time between tokens, one value for each answer
  std::size_t failed{};
  double seconds{};
};

double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// Sends `count` requests from concurrent clients. Each client waits for its answer, and then for the pause,
// before it sends the next request.
LoadResult drive(const io::Address& to, std::size_t count, int clients, int out, io::Nanos pause) {
  io::Loop loop;
  rig::Recorder no_record(loop, "/dev/null");
  io::Scope scope(loop);
  LoadResult run;
  std::size_t next = 0;
  const io::Nanos started = loop.now();
  for (int i = 0; i < clients; ++i)
    scope.spawn([](io::Loop& l, rig::Recorder& r, const io::Address& a, std::size_t& n, std::size_t all,
                   int tokens, io::Nanos wait, LoadResult& result) -> io::Task<> {
      while (n < all) {
        const rig::ClientResult response =
            co_await rig::send_request(l, r, make_request(a, ++n, tokens, 300));
        if (response.outcome == "generated") {
          result.first_ms.push_back(static_cast<double>(response.time_to_first_token) / 1e6);
          result.gap_ms.push_back(static_cast<double>(response.elapsed - response.time_to_first_token) / 1e6 /
                                  std::max(1, tokens - 1));
        } else {
          ++result.failed;
        }
        if (wait > 0) co_await l.sleep_for(wait);
      }
    }(loop, no_record, to, next, count, out, pause, run));
  loop.run_until([&] { return scope.empty(); });
  run.seconds = static_cast<double>(loop.now() - started) / 1e9;
  return run;
}

int measure_added_latency(int engines, int rounds) {
  Group mixed_group("one", 20100, 0, 0, engines, 2, 21);
  Group split_group("two", 20200, engines / 2, engines - engines / 2, 0, 2, 22);
  std::vector<std::string> command{program_prefix + "relay", "--listen", "127.0.20.2:20300", "--to"};
  command.insert(command.end(), mixed_group.addresses.begin(), mixed_group.addresses.end());
  rig::Process relay(command, work_folder + "/relay.log");
  ::usleep(300'000);
  struct Path {
    const char* name;
    io::Address address;
    rig::Process& process;
    std::vector<double> first, gap;
    double cpu{};
    std::size_t done{}, failed{};
  };
  Path paths[] = {
      {"engine alone", *io::parse_address(mixed_group.addresses[0]), mixed_group.engines, {}, {}, 0, 0, 0},
      {"plain relay", loopback_address(20, 2, 20300), relay, {}, {}, 0, 0, 0},
      {"router, one stage", mixed_group.router_address, mixed_group.router, {}, {}, 0, 0, 0},
      {"router, two stages", split_group.router_address, split_group.router, {}, {}, 0, 0, 0}};
  // Warm-up: connections and memory that only the first requests allocate are not part of the figures.
  for (Path& path : paths) drive(path.address, 200, 8, 20, 0);
  // The paths take turns, so that noise on the machine affects all of them.
  for (int round = 0; round < rounds; ++round)
    for (Path& path : paths) {
      const LoadResult low = drive(path.address, 60, 1, 20, 2 * io::kMs);
      path.first.insert(path.first.end(), low.first_ms.begin(), low.first_ms.end());
      path.gap.insert(path.gap.end(), low.gap_ms.begin(), low.gap_ms.end());
      const double before = cpu_seconds(path.process.pid());
      const LoadResult full = drive(path.address, 400, 64, 20, 0);
      path.cpu += cpu_seconds(path.process.pid()) - before;
      path.done += full.first_ms.size();
      path.failed += full.failed + low.failed;
    }
  fmt::print(
      "{} stand-in engines, {} rounds in turn; low load: one at a time; 20 tokens an answer, 2 ms a token\n",
      engines, rounds);
  fmt::print("{:<20}{:>14}{:>14}{:>14}{:>14}{:>16}{:>8}\n", "path", "first p50 ms", "first p99 ms",
             "event p50 ms", "event p99 ms", "seq/s a core", "failed");
  for (const Path& path : paths)
    fmt::print(
        "{:<20}{:>14.3f}{:>14.3f}{:>14.3f}{:>14.3f}{:>16.0f}{:>8}\n", path.name, percentile(path.first, 0.5),
        percentile(path.first, 0.99), percentile(path.gap, 0.5), percentile(path.gap, 0.99),
        &path == &paths[0] || path.cpu == 0 ? 0 : static_cast<double>(path.done) / path.cpu, path.failed);
  const auto added_ms = [&](const Path& path, double fraction) {
    return percentile(path.first, fraction) - percentile(paths[0].first, fraction);
  };
  fmt::print("added to a first token, one stage / relay: p50 {:.3f} / {:.3f} ms, p99 {:.3f} / {:.3f} ms\n",
             added_ms(paths[2], 0.5), added_ms(paths[1], 0.5), added_ms(paths[2], 0.99),
             added_ms(paths[1], 0.99));
  fmt::print("throughput a core, router one stage / relay: {:.2f}\n",
             static_cast<double>(paths[2].done) / paths[2].cpu /
                 (static_cast<double>(paths[1].done) / paths[1].cpu));
  return paths[2].failed + paths[3].failed == 0 ? kSuccess : kFailure;
}

int measure_stream_memory(const std::vector<int>& sizes, const std::string& policy) {
  Group group("memory", 20400, 2, 8, 0, 400, 23, policy);
  const double initial_mib = resident_mib(group.router.pid());
  const std::size_t initial_descriptors = descriptors(group.router.pid());
  fmt::print("{:<10}{:>14}{:>16}{:>18}{:>18}\n", "streams", "router MiB", "KiB a stream", "descriptors",
             "a stream");
  for (const int size : sizes) {
    io::Loop loop;
    rig::Recorder no_record(loop, "/dev/null");
    {
      io::Scope scope(loop);
      std::size_t streams_started = 0;
      for (int i = 0; i < size; ++i)
        scope.spawn(
            [](io::Loop& l, rig::Recorder& r, io::Address a, int n, std::size_t& count) -> io::Task<> {
              co_await l.sleep_for(n * 4 * io::kMs);
              // The router rejects requests while its limits are still growing: they are sent again.
              for (bool streams = false; !streams;) {
                rig::ClientRequest request = make_request(a, static_cast<std::size_t>(n), 100'000, 100);
                request.on_first = [&] {
                  streams = true;
                  ++count;
                };
                co_await rig::send_request(l, r, std::move(request));
                if (!streams) co_await l.sleep_for(500 * io::kMs);
              }
            }(loop, no_record, group.router_address, i, streams_started));
      const io::Nanos until = loop.now() + 120 * io::kSecond;
      bool settled = false;
      scope.spawn([](io::Loop& l, io::Nanos t, std::size_t& count, int all, bool& o) -> io::Task<> {
        while (l.now() < t && count < static_cast<std::size_t>(all)) co_await l.sleep_for(100 * io::kMs);
        co_await l.sleep_for(2 * io::kSecond);
        o = true;
      }(loop, until, streams_started, size, settled));
      loop.run_until([&] { return settled; });
      if (streams_started < static_cast<std::size_t>(size))
        fmt::print("only {} of {} streams started\n", streams_started, size);
      const double mib = resident_mib(group.router.pid());
      const std::size_t fds = descriptors(group.router.pid());
      fmt::print("{:<10}{:>14.1f}{:>16.1f}{:>18}{:>18.2f}\n", size, mib, (mib - initial_mib) * 1024 / size,
                 fds, static_cast<double>(fds - initial_descriptors) / size);
    }
    ::usleep(1'500'000);
  }
  return kSuccess;
}

int run_steady_load(int seconds) {
  Group group("soak", 20500, 2, 4, 0, 2, 24);
  fmt::print("{:<10}{:>14}{:>14}{:>14}\n", "seconds", "router MiB", "descriptors", "answered");
  std::size_t answered = 0, failed = 0;
  const int steps = 10;
  for (int step = 0; step <= steps; ++step) {
    fmt::print("{:<10}{:>14.1f}{:>14}{:>14}\n", step * seconds / steps, resident_mib(group.router.pid()),
               descriptors(group.router.pid()), answered);
    std::fflush(stdout);
    if (step == steps) break;
    const io::Nanos until = io::Loop().now() + seconds * io::kSecond / steps;
    while (io::Loop().now() < until) {
      const LoadResult run = drive(group.router_address, 400, 16, 20, 0);
      answered += run.first_ms.size();
      failed += run.failed;
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
  int engines = 12, rounds = 6, seconds = 300;
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
    char name[] = "/tmp/cressrill-measure-XXXXXX";
    if (mkdtemp(name) == nullptr) throw std::runtime_error("cannot create a folder for the files of the run");
    work_folder = name;
    const int code = added_command->parsed()    ? measure_added_latency(engines, rounds)
                     : memory_command->parsed() ? measure_stream_memory(sizes, policy)
                                                : run_steady_load(seconds);
    std::filesystem::remove_all(work_folder);
    return code;
  });
}
