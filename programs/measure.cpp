// cressrill-measure: what the router adds, beside the plain relay, in one run; and what a waiting stream costs. The
// engines are stand-ins that answer as fast as they can. Prints tables; see docs/measurements/.
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

std::string folder;
std::string here;

io::Address at(std::uint32_t third, std::size_t fourth, std::uint16_t port) {
  return {127u << 24 | third << 8 | static_cast<std::uint32_t>(fourth), port};
}

std::string router_file(const std::string& name, std::uint16_t port, std::uint16_t roster, double memory) {
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
      name, port, port + 1, roster, memory, memory, memory);
}

// One group: a roster, engines, and a router in front of them.
struct Group {
  Group(const std::string& name, std::uint16_t port, int readers, int writers, int mixed, double step_ms,
        std::uint32_t net, const std::string& policy = "")
      : router_at(at(20, 1, port)) {
    const auto roster_port = static_cast<std::uint16_t>(port + 5);
    std::ofstream file(folder + "/" + name + "-engines.toml");
    const auto add = [&](const char* kind, const char* role, int count) {
      for (int i = 0; i < count; ++i) {
        addresses.push_back(at(net, 1 + addresses.size(), 19200).to_string());
        file << fmt::format(
            "[[engine]]\nname = \"{}-{}\"\naddress = \"{}\"\nkind = \"{}\"\nrole = \"{}\"\nzone = \"a\"\n"
            "cell = \"c\"\nslots = 20000\nqueue = 20000\nmemory_tokens = 1e9\nread_per_s = 1e9\n"
            "read_overhead_ms = 0\nstep_ms = {}\nstep_ms_per_sequence = 0\ntransfer_per_s = 1e9\n",
            role, i, addresses.back(), kind, role, step_ms);
      }
    };
    add("prefill", "reader", readers), add("decode", "writer", writers), add("both", "mixed", mixed);
    file.close();
    std::ofstream(folder + "/" + name + "-router.toml") << router_file(name, port, roster_port, 1e9);
    const std::string log = folder + "/" + name + ".log";
    roster = rig::Process({here + "roster", "--listen", at(20, 9, roster_port).to_string()}, log);
    ::usleep(200'000);
    engines = rig::Process({here + "engine", "--config", folder + "/" + name + "-engines.toml", "--roster",
                            at(20, 9, roster_port).to_string()},
                           log);
    std::vector<std::string> command{here + (policy.empty() ? "router" : "baseline")};
    if (!policy.empty()) command.insert(command.end(), {"--policy", policy});
    command.insert(command.end(), {"--config", folder + "/" + name + "-router.toml"});
    router = rig::Process(command, log);
    ::usleep(800'000);
  }
  io::Address router_at;
  std::vector<std::string> addresses;
  rig::Process roster, engines, router;
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

rig::Question question(const io::Address& to, std::size_t number, int out, int words) {
  rig::Question q;
  q.sequence = "q" + std::to_string(number), q.id = q.sequence + ".0", q.router = "r", q.type = "plain",
  q.at = to;
  q.abandon = 60 * io::kSecond;
  std::string text;
  for (int i = 0; i < words; ++i) text += "word ";
  q.body = nlohmann::json{
      {"model", "m"},
      {"messages", {{{"role", "user"}, {"content", text}}}},
      {"max_tokens", 100'000},
      {"metadata", {{"out", std::to_string(out)}}},
      {"stream",
       true}}.dump();
  return q;
}

struct Run {
  std::vector<double> first_ms;
  std::vector<double> gap_ms;  // mean time between tokens of each answer
  std::size_t failed{};
  double seconds{};
};

double percentile(std::vector<double> v, double p) {
  if (v.empty()) return 0;
  std::ranges::sort(v);
  return v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
}

// So many ask, one after the other each, until count were asked in all; with a pause between, for low load.
Run drive(const io::Address& to, std::size_t count, int at_once, int out, io::Nanos pause) {
  io::Loop loop;
  rig::Recorder nothing(loop, "/dev/null");
  io::Scope scope(loop);
  Run run;
  std::size_t next = 0;
  const io::Nanos began = loop.now();
  for (int i = 0; i < at_once; ++i)
    scope.spawn([](io::Loop& l, rig::Recorder& r, const io::Address& a, std::size_t& n, std::size_t all,
                   int tokens, io::Nanos wait, Run& result) -> io::Task<> {
      while (n < all) {
        const rig::Heard h = co_await rig::ask(l, r, question(a, ++n, tokens, 300));
        if (h.how == "generated") {
          result.first_ms.push_back(static_cast<double>(h.first) / 1e6);
          result.gap_ms.push_back(static_cast<double>(h.took - h.first) / 1e6 / std::max(1, tokens - 1));
        } else {
          ++result.failed;
        }
        if (wait > 0) co_await l.sleep_for(wait);
      }
    }(loop, nothing, to, next, count, out, pause, run));
  loop.run_until([&] { return scope.empty(); });
  run.seconds = static_cast<double>(loop.now() - began) / 1e9;
  return run;
}

int added(int engines, int rounds) {
  Group one("one", 20100, 0, 0, engines, 2, 21);
  Group two("two", 20200, engines / 2, engines - engines / 2, 0, 2, 22);
  std::vector<std::string> command{here + "relay", "--listen", "127.0.20.2:20300", "--to"};
  command.insert(command.end(), one.addresses.begin(), one.addresses.end());
  rig::Process relay(command, folder + "/relay.log");
  ::usleep(300'000);
  struct Path {
    const char* name;
    io::Address at;
    rig::Process& process;
    std::vector<double> first, gap;
    double cpu{};
    std::size_t done{}, failed{};
  };
  Path paths[] = {{"engine alone", *io::parse_address(one.addresses[0]), one.engines, {}, {}, 0, 0, 0},
                  {"plain relay", at(20, 2, 20300), relay, {}, {}, 0, 0, 0},
                  {"router, one stage", one.router_at, one.router, {}, {}, 0, 0, 0},
                  {"router, two stages", two.router_at, two.router, {}, {}, 0, 0, 0}};
  // What only the first sequences pay, connections and rooms of memory, is no part of the figures.
  for (Path& p : paths) drive(p.at, 200, 8, 20, 0);
  // In turn, so that a noisy moment of the machine meets all of them.
  for (int round = 0; round < rounds; ++round)
    for (Path& p : paths) {
      const Run low = drive(p.at, 60, 1, 20, 2 * io::kMs);
      p.first.insert(p.first.end(), low.first_ms.begin(), low.first_ms.end());
      p.gap.insert(p.gap.end(), low.gap_ms.begin(), low.gap_ms.end());
      const double before = cpu_seconds(p.process.pid());
      const Run full = drive(p.at, 400, 64, 20, 0);
      p.cpu += cpu_seconds(p.process.pid()) - before;
      p.done += full.first_ms.size(), p.failed += full.failed + low.failed;
    }
  fmt::print(
      "{} stand-in engines, {} rounds in turn; low load: one at a time; 20 tokens an answer, 2 ms a token\n",
      engines, rounds);
  fmt::print("{:<20}{:>14}{:>14}{:>14}{:>14}{:>16}{:>8}\n", "path", "first p50 ms", "first p99 ms",
             "event p50 ms", "event p99 ms", "seq/s a core", "failed");
  for (const Path& p : paths)
    fmt::print("{:<20}{:>14.3f}{:>14.3f}{:>14.3f}{:>14.3f}{:>16.0f}{:>8}\n", p.name, percentile(p.first, 0.5),
               percentile(p.first, 0.99), percentile(p.gap, 0.5), percentile(p.gap, 0.99),
               &p == &paths[0] || p.cpu == 0 ? 0 : static_cast<double>(p.done) / p.cpu, p.failed);
  const auto added_ms = [&](const Path& p, double q) {
    return percentile(p.first, q) - percentile(paths[0].first, q);
  };
  fmt::print("added to a first token, one stage / relay: p50 {:.3f} / {:.3f} ms, p99 {:.3f} / {:.3f} ms\n",
             added_ms(paths[2], 0.5), added_ms(paths[1], 0.5), added_ms(paths[2], 0.99),
             added_ms(paths[1], 0.99));
  fmt::print("throughput a core, router one stage / relay: {:.2f}\n",
             static_cast<double>(paths[2].done) / paths[2].cpu /
                 (static_cast<double>(paths[1].done) / paths[1].cpu));
  return paths[2].failed + paths[3].failed == 0 ? kFine : kFailed;
}

int memory(const std::vector<int>& sizes, const std::string& policy) {
  Group g("memory", 20400, 2, 8, 0, 400, 23, policy);
  const double empty = resident_mib(g.router.pid());
  const std::size_t open = descriptors(g.router.pid());
  fmt::print("{:<10}{:>14}{:>16}{:>18}{:>18}\n", "streams", "router MiB", "KiB a stream", "descriptors",
             "a stream");
  for (const int size : sizes) {
    io::Loop loop;
    rig::Recorder nothing(loop, "/dev/null");
    {
      io::Scope scope(loop);
      std::size_t begun = 0;
      for (int i = 0; i < size; ++i)
        scope.spawn(
            [](io::Loop& l, rig::Recorder& r, io::Address a, int n, std::size_t& count) -> io::Task<> {
              co_await l.sleep_for(n * 4 * io::kMs);
              for (bool streams = false; !streams;) {  // turned away while the limit grows: asked again
                rig::Question q = question(a, static_cast<std::size_t>(n), 100'000, 100);
                q.on_first = [&] { streams = true, ++count; };
                co_await rig::ask(l, r, std::move(q));
                if (!streams) co_await l.sleep_for(500 * io::kMs);
              }
            }(loop, nothing, g.router_at, i, begun));
      const io::Nanos until = loop.now() + 120 * io::kSecond;
      bool over = false;
      scope.spawn([](io::Loop& l, io::Nanos t, std::size_t& count, int all, bool& o) -> io::Task<> {
        while (l.now() < t && count < static_cast<std::size_t>(all)) co_await l.sleep_for(100 * io::kMs);
        co_await l.sleep_for(2 * io::kSecond);
        o = true;
      }(loop, until, begun, size, over));
      loop.run_until([&] { return over; });
      if (begun < static_cast<std::size_t>(size)) fmt::print("only {} of {} streams began\n", begun, size);
      const double mib = resident_mib(g.router.pid());
      const std::size_t fds = descriptors(g.router.pid());
      fmt::print("{:<10}{:>14.1f}{:>16.1f}{:>18}{:>18.2f}\n", size, mib, (mib - empty) * 1024 / size, fds,
                 static_cast<double>(fds - open) / size);
    }
    ::usleep(1'500'000);
  }
  return kFine;
}

int soak(int seconds) {
  Group g("soak", 20500, 2, 4, 0, 2, 24);
  fmt::print("{:<10}{:>14}{:>14}{:>14}\n", "seconds", "router MiB", "descriptors", "answered");
  std::size_t answered = 0, failed = 0;
  const int steps = 10;
  for (int step = 0; step <= steps; ++step) {
    fmt::print("{:<10}{:>14.1f}{:>14}{:>14}\n", step * seconds / steps, resident_mib(g.router.pid()),
               descriptors(g.router.pid()), answered);
    std::fflush(stdout);
    if (step == steps) break;
    const io::Nanos until = io::Loop().now() + seconds * io::kSecond / steps;
    while (io::Loop().now() < until) {
      const Run run = drive(g.router_at, 400, 16, 20, 0);
      answered += run.first_ms.size(), failed += run.failed;
    }
  }
  fmt::print("failed: {}\n", failed);
  return failed == 0 ? kFine : kFailed;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Measures the router beside a plain relay; all servers are stand-ins on loopback.",
               "cressrill-measure"};
  app.require_subcommand(1);
  int engines = 12, rounds = 6, seconds = 300;
  std::vector<int> sizes{100, 1000, 5000};
  CLI::App* a = app.add_subcommand(
      "added", "time added to a first token and an event, and sequences a second on one core");
  a->add_option("--engines", engines, "how many stand-ins")->check(CLI::Range(2, 200));
  a->add_option("--rounds", rounds, "how often each path is driven, in turn")->check(CLI::Range(1, 1000));
  CLI::App* m = app.add_subcommand("memory", "memory and descriptors of a waiting stream");
  m->add_option("--streams", sizes, "how many at once");
  std::string policy;
  m->add_option("--policy", policy, "a baseline in place of the router's decisions: random, fewest")
      ->check(CLI::IsMember({"random", "fewest"}));
  CLI::App* s = app.add_subcommand("soak", "memory over a long steady load");
  s->add_option("--seconds", seconds, "how long")->check(CLI::Range(10, 100'000));
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return guarded("cressrill-measure", [&] {
    here = std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/cressrill-";
    char name[] = "/tmp/cressrill-measure-XXXXXX";
    if (mkdtemp(name) == nullptr) throw std::runtime_error("no folder for the run's files");
    folder = name;
    const int code = a->parsed()   ? added(engines, rounds)
                     : m->parsed() ? memory(sizes, policy)
                                   : soak(seconds);
    std::filesystem::remove_all(folder);
    return code;
  });
}
