// cressrill-cost: counts what one request costs the router, by stage: heap allocations, bytes allocated and
// copied, system calls by name and, under valgrind, instructions. The engines are stand-ins; see
// docs/measurements/ordinary-path.md for the method.
#include "rig/cost.h"

#include <dlfcn.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>
#include <valgrind/callgrind.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>

#include "command_line.h"

using namespace cressrill;
using rig::memory_counters;
using rig::ResourceUsage;
using rig::Stage;
using rig::Workload;
using rig::WorkloadCost;

// Hooks that replace the allocation and copy functions: they update the counters and call the real function.

namespace {
using CopyFunction = void* (*)(void*, const void*, std::size_t);
CopyFunction real_memcpy;
CopyFunction real_memmove;
// Until the constructor has run, and while dlsym looks up the real functions, bytes are copied one by one.
__attribute__((constructor)) void find_real_functions() {
  real_memcpy = reinterpret_cast<CopyFunction>(dlsym(RTLD_NEXT, "memcpy"));
  real_memmove = reinterpret_cast<CopyFunction>(dlsym(RTLD_NEXT, "memmove"));
}
void* copy_bytewise(void* to, const void* from, std::size_t size) {
  auto* target = static_cast<volatile char*>(to);
  const auto* source = static_cast<const volatile char*>(from);
  if (source < target)
    while (size-- > 0) target[size] = source[size];
  else
    for (std::size_t i = 0; i < size; ++i) target[i] = source[i];
  return to;
}

void* allocate(std::size_t size, std::size_t align = 0) {
  if (memory_counters.enabled) {
    ++memory_counters.allocations;
    memory_counters.heap_bytes += size;
  }
  void* memory = align == 0 ? std::malloc(size == 0 ? 1 : size)
                            : std::aligned_alloc(align, (size + align - 1) / align * align);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
}  // namespace

extern "C" void* memcpy(void* to, const void* from, std::size_t size) {
  if (memory_counters.enabled) memory_counters.copied += size;
  return (real_memcpy == nullptr ? copy_bytewise : real_memcpy)(to, from, size);
}
extern "C" void* memmove(void* to, const void* from, std::size_t size) {
  if (memory_counters.enabled) memory_counters.copied += size;
  return (real_memmove == nullptr ? copy_bytewise : real_memmove)(to, from, size);
}

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void* operator new(std::size_t size, std::align_val_t align) {
  return allocate(size, static_cast<std::size_t>(align));
}
void* operator new[](std::size_t size, std::align_val_t align) {
  return allocate(size, static_cast<std::size_t>(align));
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

// Exit status of the run under callgrind if a request was not answered.
constexpr int kUnansweredRequests = 3;

std::vector<Workload> workloads() {
  return {
      {.name = "stream"},
      {.name = "whole", .stream = false},
      {.name = "busy", .concurrency = 8, .turn_interval = io::kMs, .event_interval = io::kMs / 5},
      {.name = "busy-64",
       .concurrency = 64,
       .turn_interval = io::kMs,
       .event_interval = io::kMs / 5,
       .rounds = 2},
      {.name = "events-10000", .events = 10'000, .event_interval = io::kMs, .rounds = 2},
      {.name = "prompt-1MiB", .events = 2, .prompt_bytes = 1 << 20, .rounds = 4},
      {.name = "prompt-4MiB", .events = 2, .prompt_bytes = 4 << 20, .rounds = 4},
      {.name = "prompt-256KiB", .events = 2, .prompt_bytes = 256 << 10, .rounds = 4},
      {.name = "prompt-64KiB", .events = 2, .prompt_bytes = 64 << 10, .rounds = 4},
      {.name = "retried-five", .failures = 5},
      {.name = "idle-1000", .idle_streams = 1000, .event_interval = io::kMs},
  };
}

std::string row(const char* name, const ResourceUsage& usage) {
  std::string text = fmt::format("{:<10}{:>10.1f}{:>12.0f}{:>12.0f}{:>9.1f}", name, usage.allocations,
                                 usage.heap_bytes, usage.copied, usage.calls);
  if (usage.instructions > 0) text += fmt::format("{:>14.0f}", usage.instructions);
  text += "  ";
  for (std::size_t i = 0; i < io::kSystemCallCount; ++i)
    if (usage.calls_by_name[i] > 0.005)
      text += fmt::format(" {} {:.1f}", io::kSystemCallNames[i], usage.calls_by_name[i]);
  return text + "\n";
}

std::string table(const Workload& workload, const WorkloadCost& cost) {
  std::string text =
      fmt::format("{} ({} events, prompt of {} bytes)\n{:<10}{:>10}{:>12}{:>12}{:>9}{}  calls by name\n",
                  workload.name, workload.events, workload.prompt_bytes, "stage", "allocs", "heap bytes",
                  "copied", "calls", cost.all.instructions > 0 ? "  instructions" : "");
  for (std::size_t stage = 0; stage < rig::kStageCount; ++stage)
    text += row(to_string(static_cast<Stage>(stage)), cost.stages[stage]);
  text += row("all", cost.all);
  if (cost.events > 0)
    text += row("an event", cost.stages[static_cast<std::size_t>(Stage::event)] / cost.events);
  return text;
}

// The counts that are stored in the baseline file and compared with it, by name.
std::map<std::string, double> baseline_counts(const Workload& workload, const WorkloadCost& cost) {
  std::map<std::string, double> counts;
  const auto add = [&](const std::string& stage, const ResourceUsage& usage) {
    counts[fmt::format("{} {} allocations", workload.name, stage)] = usage.allocations;
    counts[fmt::format("{} {} heap-bytes", workload.name, stage)] = usage.heap_bytes;
    counts[fmt::format("{} {} copied", workload.name, stage)] = usage.copied;
    counts[fmt::format("{} {} calls", workload.name, stage)] = usage.calls;
    if (usage.instructions > 0)
      counts[fmt::format("{} {} instructions", workload.name, stage)] = usage.instructions;
  };
  add("all", cost.all);
  add("event", cost.stages[static_cast<std::size_t>(Stage::event)] / cost.events);
  add("parse", cost.stages[static_cast<std::size_t>(Stage::parse)]);
  add("decide", cost.stages[static_cast<std::size_t>(Stage::decide)]);
  return counts;
}

std::map<std::string, double> read_counts(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  std::map<std::string, double> counts;
  int line_number = 0;
  for (std::string line; std::getline(in, line);) {
    ++line_number;
    if (line.empty() || line.front() == '#') continue;
    const std::size_t space = line.rfind(' ');
    try {
      counts[line.substr(0, space)] = std::stod(line.substr(space + 1));
    } catch (const std::exception&) {
      throw std::runtime_error(fmt::format("{}:{}: no count at the end of the line", file, line_number));
    }
  }
  return counts;
}

// Returns the exit status. A count may exceed its baseline by a tenth; 0.01 more is allowed because a
// baseline can be 0.
int compare(const std::map<std::string, double>& now, const std::string& file) {
  const std::map<std::string, double> baseline = read_counts(file);
  std::size_t compared = 0;
  std::size_t risen = 0;
  for (const auto& [name, value] : now) {
    const auto entry = baseline.find(name);
    if (entry == baseline.end()) {
      ++risen;
      fmt::print("not in the baseline: {}\n", name);
      continue;
    }
    ++compared;
    if (value <= entry->second * 1.1 + 0.01) continue;
    ++risen;
    fmt::print("risen by more than a tenth: {} was {:.2f}, is {:.2f}\n", name, entry->second, value);
  }
  fmt::print("{} counts compared with {}, {} risen or missing there\n", compared, file, risen);
  return compared > 0 && risen == 0 ? kSuccess : kFailure;
}

// Null if no stage has this name.
ResourceUsage* usage_of_stage(WorkloadCost& cost, const std::string& name) {
  for (std::size_t stage = 0; stage < rig::kStageCount; ++stage)
    if (name == to_string(static_cast<Stage>(stage))) return &cost.stages[stage];
  return nullptr;
}

// The simdjson kernel of the run under callgrind, so that its counts do not depend on the processor's model.
#if defined(__aarch64__)
constexpr const char* kSimdjsonKernel = "arm64";
#else
constexpr const char* kSimdjsonKernel = "westmere";
#endif

// Runs this program again under callgrind for one workload, and adds the instructions of each stage from its
// dumps. Throws if the run failed, or if a request in it was not answered.
void add_instructions(const Workload& workload, WorkloadCost& cost, const std::string& this_program) {
  char folder_template[] = "/tmp/cressrill-cost-XXXXXX";
  if (mkdtemp(folder_template) == nullptr)
    throw std::runtime_error("cannot create a folder for callgrind's files");
  const std::string folder = folder_template;
  const std::string command = fmt::format(
      "SIMDJSON_FORCE_IMPLEMENTATION={3} valgrind --tool=callgrind --collect-atstart=no "
      "--callgrind-out-file={0}/out {1} --play {2} --dump "
      ">{0}/log 2>&1",
      folder, this_program, workload.name, kSimdjsonKernel);
  const int status = std::system(command.c_str());
  if (WIFEXITED(status) && WEXITSTATUS(status) == kUnansweredRequests)
    throw std::runtime_error(
        fmt::format("requests of {} were not answered under valgrind (simdjson kernel {}); nothing was "
                    "counted: {}/log",
                    workload.name, kSimdjsonKernel, folder));
  if (status != 0) throw std::runtime_error("valgrind failed to run " + workload.name + ": " + folder);
  const double requests = workload.rounds * workload.concurrency;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(entry.path());
    std::string stage;
    for (std::string line; std::getline(in, line);) {
      if (const std::size_t position = line.find("Client Request: "); position != std::string::npos)
        stage = line.substr(position + 16);
      if (!line.starts_with("summary: ") && !line.starts_with("totals: ")) continue;
      if (ResourceUsage* usage = usage_of_stage(cost, stage)) {
        const double instructions = std::stod(line.substr(line.find(' '))) / requests;
        usage->instructions += instructions;
        if (stage != to_string(Stage::parse)) cost.all.instructions += instructions;
      }
      break;
    }
  }
  if (std::getenv("CRESSRILL_KEEP_DUMPS") == nullptr) std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Counts what one request costs the router, by stage; all servers are stand-ins.",
               "cressrill-cost"};
  std::vector<std::string> selected;
  std::vector<std::string> with_instructions;
  std::string baseline_file;
  std::string output_file;
  bool dump = false;
  std::vector<std::string> known;
  for (const Workload& workload : workloads()) known.push_back(workload.name);
  app.add_option("--play", selected, "workloads to run (default: all)")->check(CLI::IsMember(known));
  app.add_option("--compare", baseline_file,
                 "a file of baseline counts: fails if a count rose by more than a tenth");
  app.add_option("--write", output_file, "writes the counts to a file, as a new baseline");
  app.add_option("--instructions-of", with_instructions,
                 "also count the instructions of these workloads, with callgrind (slow)")
      ->check(CLI::IsMember(known));
  app.add_flag("--dump", dump, "used by the run under callgrind")->group("");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  const auto run = [&] {
    rig::Probe probe;
    if (dump) {
      probe.on_turn_begin = [] { CALLGRIND_TOGGLE_COLLECT; };
      probe.on_turn_end = [] { CALLGRIND_TOGGLE_COLLECT; };
      probe.on_turn_stage = [](std::optional<Stage> stage) {
        if (!stage) {
          CALLGRIND_ZERO_STATS;
          return;
        }
        switch (*stage) {  // the macro needs a string literal
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
    for (const Workload& workload : workloads()) {
      if (!selected.empty() && std::ranges::find(selected, workload.name) == selected.end()) continue;
      WorkloadCost cost = rig::measure_cost(workload, probe);
      if (dump) return cost.failed == 0 ? kSuccess : kUnansweredRequests;
      if (std::ranges::find(with_instructions, workload.name) != with_instructions.end())
        add_instructions(workload, cost, std::filesystem::read_symlink("/proc/self/exe").string());
      fmt::print("{}\n", table(workload, cost));
      std::fflush(stdout);
      counts.merge(baseline_counts(workload, cost));
      if (cost.failed > 0) fmt::print("{} requests of {} were not answered\n", cost.failed, workload.name);
      failed += cost.failed;
    }
    if (!output_file.empty()) {
      std::ofstream out(output_file);
      out << "# Cost of a request at the router, written by cressrill-cost --write. "
             "A commit that changes a count states the reason.\n";
      for (const auto& [name, value] : counts) out << fmt::format("{} {:.2f}\n", name, value);
    }
    if (failed > 0) return kFailure;
    return baseline_file.empty() ? kSuccess : compare(counts, baseline_file);
  };
  // The router's log lines belong to its work, so they are written, but to /dev/null. Errors of this program
  // still go to the original standard error.
  const int original_stderr = ::dup(STDERR_FILENO);
  if (std::freopen("/dev/null", "w", stderr) == nullptr) return kFailure;
  return run_guarded("cressrill-cost", [&] {
    try {
      return run();
    } catch (const std::exception&) {
      ::dup2(original_stderr, STDERR_FILENO);
      throw;
    }
  });
}
