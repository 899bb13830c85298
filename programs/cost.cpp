// cressrill-cost: what one sequence costs the router, counted by stage: heap allocations, bytes asked for and copied,
// calls of the kernel by name and, under valgrind, instructions. The engines are stand-ins; see
// docs/measurements/ordinary-path.md for how each is taken.
#include "rig/cost.h"

#include <dlfcn.h>
#include <fmt/format.h>
#include <unistd.h>
#include <valgrind/callgrind.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>

#include "command_line.h"

using namespace cressrill;
using rig::Cost;
using rig::Counted;
using rig::heap;
using rig::Play;
using rig::Stage;

// The hooks. They call what they stand for and add to the counts.

namespace {
using Copy = void* (*)(void*, const void*, std::size_t);
Copy real_memcpy, real_memmove;
// Until then, and while the loader looks for them, bytes go one by one.
__attribute__((constructor)) void find_real() {
  real_memcpy = reinterpret_cast<Copy>(dlsym(RTLD_NEXT, "memcpy"));
  real_memmove = reinterpret_cast<Copy>(dlsym(RTLD_NEXT, "memmove"));
}
void* by_bytes(void* to, const void* from, std::size_t size) {
  auto* out = static_cast<volatile char*>(to);
  const auto* in = static_cast<const volatile char*>(from);
  if (in < out)
    while (size-- > 0) out[size] = in[size];
  else
    for (std::size_t i = 0; i < size; ++i) out[i] = in[i];
  return to;
}

void* taken(std::size_t size, std::size_t align = 0) {
  if (heap.on) ++heap.allocations, heap.bytes += size;
  void* p = align == 0 ? std::malloc(size == 0 ? 1 : size)
                       : std::aligned_alloc(align, (size + align - 1) / align * align);
  if (p == nullptr) throw std::bad_alloc();
  return p;
}
}  // namespace

extern "C" void* memcpy(void* to, const void* from, std::size_t size) {
  if (heap.on) heap.copied += size;
  return (real_memcpy == nullptr ? by_bytes : real_memcpy)(to, from, size);
}
extern "C" void* memmove(void* to, const void* from, std::size_t size) {
  if (heap.on) heap.copied += size;
  return (real_memmove == nullptr ? by_bytes : real_memmove)(to, from, size);
}

void* operator new(std::size_t size) { return taken(size); }
void* operator new[](std::size_t size) { return taken(size); }
void* operator new(std::size_t size, std::align_val_t align) {
  return taken(size, static_cast<std::size_t>(align));
}
void* operator new[](std::size_t size, std::align_val_t align) {
  return taken(size, static_cast<std::size_t>(align));
}
void operator delete(void* p) noexcept { std::free(p); }
void operator delete[](void* p) noexcept { std::free(p); }
void operator delete(void* p, std::size_t) noexcept { std::free(p); }
void operator delete[](void* p, std::size_t) noexcept { std::free(p); }
void operator delete(void* p, std::align_val_t) noexcept { std::free(p); }
void operator delete[](void* p, std::align_val_t) noexcept { std::free(p); }
void operator delete(void* p, std::size_t, std::align_val_t) noexcept { std::free(p); }
void operator delete[](void* p, std::size_t, std::align_val_t) noexcept { std::free(p); }

namespace {

std::vector<Play> plays() {
  return {
      {.name = "stream"},
      {.name = "whole", .stream = false},
      {.name = "busy", .at_once = 8, .busy = io::kMs, .step = io::kMs / 5},
      {.name = "busy-64", .at_once = 64, .busy = io::kMs, .step = io::kMs / 5, .sequences = 2},
      {.name = "events-10000", .events = 10'000, .step = io::kMs, .sequences = 2},
      {.name = "prompt-1MiB", .events = 2, .prompt_bytes = 1 << 20, .sequences = 4},
      {.name = "prompt-4MiB", .events = 2, .prompt_bytes = 4 << 20, .sequences = 4},
      {.name = "prompt-256KiB", .events = 2, .prompt_bytes = 256 << 10, .sequences = 4},
      {.name = "prompt-64KiB", .events = 2, .prompt_bytes = 64 << 10, .sequences = 4},
      {.name = "retried-five", .failures = 5},
      {.name = "idle-1000", .idle_streams = 1000, .step = io::kMs},
  };
}

std::string row(const char* name, const Cost& c) {
  std::string out = fmt::format("{:<10}{:>10.1f}{:>12.0f}{:>12.0f}{:>9.1f}", name, c.allocations, c.bytes,
                                c.copied, c.calls);
  if (c.instructions > 0) out += fmt::format("{:>14.0f}", c.instructions);
  out += "  ";
  for (std::size_t i = 0; i < io::kSystemCallCount; ++i)
    if (c.by_name[i] > 0.005) out += fmt::format(" {} {:.1f}", io::kSystemCallNames[i], c.by_name[i]);
  return out + "\n";
}

std::string table(const Play& play, const Counted& counted) {
  std::string out =
      fmt::format("{} ({} events, prompt of {} bytes)\n{:<10}{:>10}{:>12}{:>12}{:>9}{}  calls by name\n",
                  play.name, play.events, play.prompt_bytes, "stage", "allocs", "heap bytes", "copied",
                  "calls", counted.all.instructions > 0 ? "  instructions" : "");
  for (std::size_t s = 0; s < rig::kStages; ++s) out += row(word(static_cast<Stage>(s)), counted.stages[s]);
  out += row("all", counted.all);
  if (counted.events > 0)
    out += row("an event", counted.stages[static_cast<std::size_t>(Stage::event)] / counted.events);
  return out;
}

// What is kept and compared: a name and a count a line.
std::map<std::string, double> kept_counts(const Play& play, const Counted& counted) {
  std::map<std::string, double> out;
  const auto add = [&](const std::string& stage, const Cost& c) {
    out[fmt::format("{} {} allocations", play.name, stage)] = c.allocations;
    out[fmt::format("{} {} heap-bytes", play.name, stage)] = c.bytes;
    out[fmt::format("{} {} copied", play.name, stage)] = c.copied;
    out[fmt::format("{} {} calls", play.name, stage)] = c.calls;
    if (c.instructions > 0) out[fmt::format("{} {} instructions", play.name, stage)] = c.instructions;
  };
  add("all", counted.all);
  add("event", counted.stages[static_cast<std::size_t>(Stage::event)] / counted.events);
  add("parse", counted.stages[static_cast<std::size_t>(Stage::parse)]);
  add("decide", counted.stages[static_cast<std::size_t>(Stage::decide)]);
  return out;
}

std::map<std::string, double> read_counts(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  std::map<std::string, double> out;
  int line = 0;
  for (std::string text; std::getline(in, text);) {
    ++line;
    if (text.empty() || text.front() == '#') continue;
    const std::size_t space = text.rfind(' ');
    try {
      out[text.substr(0, space)] = std::stod(text.substr(space + 1));
    } catch (const std::exception&) {
      throw std::runtime_error(fmt::format("{}:{}: no count at the end of the line", file, line));
    }
  }
  return out;
}

// A count may be a tenth higher than the kept one, or by a hundredth of one where the kept one is nothing.
int compare(const std::map<std::string, double>& now, const std::string& file) {
  const std::map<std::string, double> kept = read_counts(file);
  std::size_t compared = 0, risen = 0;
  for (const auto& [name, value] : now) {
    const auto it = kept.find(name);
    if (it == kept.end()) {
      ++risen;
      fmt::print("not kept yet: {}\n", name);
      continue;
    }
    ++compared;
    if (value <= it->second * 1.1 + 0.01) continue;
    ++risen;
    fmt::print("risen by more than a tenth: {} was {:.2f}, is {:.2f}\n", name, it->second, value);
  }
  fmt::print("{} counts compared with {}, {} risen or not kept\n", compared, file, risen);
  return compared > 0 && risen == 0 ? kFine : kFailed;
}

// Runs this program again under callgrind, once a play, and reads what each stage took from its dumps.
Cost* of(Counted& counted, const std::string& stage) {
  for (std::size_t s = 0; s < rig::kStages; ++s)
    if (stage == word(static_cast<Stage>(s))) return &counted.stages[s];
  return nullptr;
}
void add_instructions(const Play& play, Counted& counted, const std::string& self) {
  char name[] = "/tmp/cressrill-cost-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no folder for callgrind's files");
  const std::string folder = name;
  const std::string command = fmt::format(
      "SIMDJSON_FORCE_IMPLEMENTATION=westmere valgrind --tool=callgrind --collect-atstart=no "
      "--callgrind-out-file={0}/out {1} --play {2} --dump "
      ">{0}/log 2>&1",
      folder, self, play.name);
  if (std::system(command.c_str()) != 0)
    throw std::runtime_error("valgrind could not run " + play.name + ": " + folder);
  const double n = play.sequences * play.at_once;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(entry.path());
    std::string stage;
    for (std::string text; std::getline(in, text);) {
      if (const std::size_t at = text.find("Client Request: "); at != std::string::npos)
        stage = text.substr(at + 16);
      if (!text.starts_with("summary: ") && !text.starts_with("totals: ")) continue;
      if (Cost* cost = of(counted, stage)) {
        const double spent = std::stod(text.substr(text.find(' '))) / n;
        cost->instructions += spent;
        if (stage != word(Stage::parse)) counted.all.instructions += spent;
      }
      break;
    }
  }
  if (std::getenv("CRESSRILL_KEEP_DUMPS") == nullptr) std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Counts what one sequence costs the router, by stage; all servers are stand-ins.",
               "cressrill-cost"};
  std::vector<std::string> names, with_instructions;
  std::string compared, written;
  bool dump = false;
  std::vector<std::string> known;
  for (const Play& p : plays()) known.push_back(p.name);
  app.add_option("--play", names, "which kinds of sequence; all when none is named")
      ->check(CLI::IsMember(known));
  app.add_option("--compare", compared, "a file of kept counts: fails where one rose by more than a tenth");
  app.add_option("--write", written, "writes the counts to a file, to be kept");
  app.add_option("--instructions-of", with_instructions,
                 "also instructions of these, by valgrind's callgrind (slow)")
      ->check(CLI::IsMember(known));
  app.add_flag("--dump", dump, "for the run under callgrind")->group("");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  const auto run = [&] {
    rig::Probe probe;
    if (dump) {
      probe.begins = [] { CALLGRIND_TOGGLE_COLLECT; };
      probe.ends = [] { CALLGRIND_TOGGLE_COLLECT; };
      probe.was = [](std::optional<Stage> stage) {
        if (!stage) {
          CALLGRIND_ZERO_STATS;
          return;
        }
        switch (*stage) {  // the name must be a literal
          case Stage::accept:
            CALLGRIND_DUMP_STATS_AT("accept");
            break;
          case Stage::request:
            CALLGRIND_DUMP_STATS_AT("request");
            break;
          case Stage::read:
            CALLGRIND_DUMP_STATS_AT("read");
            break;
          case Stage::first:
            CALLGRIND_DUMP_STATS_AT("first");
            break;
          case Stage::event:
            CALLGRIND_DUMP_STATS_AT("event");
            break;
          case Stage::end:
            CALLGRIND_DUMP_STATS_AT("end");
            break;
          case Stage::parse:
            CALLGRIND_DUMP_STATS_AT("parse");
            break;
          default:
            CALLGRIND_DUMP_STATS_AT("rest");
            break;
        }
      };
    }
    std::map<std::string, double> counts;
    std::size_t failed = 0;
    for (const Play& play : plays()) {
      if (!names.empty() && std::ranges::find(names, play.name) == names.end()) continue;
      Counted counted = rig::count(play, probe);
      if (dump) return kFine;
      if (std::ranges::find(with_instructions, play.name) != with_instructions.end())
        add_instructions(play, counted, std::filesystem::read_symlink("/proc/self/exe").string());
      fmt::print("{}\n", table(play, counted));
      std::fflush(stdout);
      counts.merge(kept_counts(play, counted));
      if (counted.failed > 0) fmt::print("{} sequences of {} were not answered\n", counted.failed, play.name);
      failed += counted.failed;
    }
    if (!written.empty()) {
      std::ofstream out(written);
      out << "# What a sequence costs the router; cressrill-cost --write. Moved only by a commit that says "
             "why.\n";
      for (const auto& [name, value] : counts) out << fmt::format("{} {:.2f}\n", name, value);
    }
    if (failed > 0) return kFailed;
    return compared.empty() ? kFine : compare(counts, compared);
  };
  // The router's own log lines are part of what it does, and of no use here; what goes wrong is told all the same.
  const int told = ::dup(STDERR_FILENO);
  if (std::freopen("/dev/null", "w", stderr) == nullptr) return kFailed;
  return guarded("cressrill-cost", [&] {
    try {
      return run();
    } catch (const std::exception&) {
      ::dup2(told, STDERR_FILENO);
      throw;
    }
  });
}
