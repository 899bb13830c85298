// cressrill-explore: searches a model of workers and links for an order of events in which held KV cache is
// not released in time. Prints the minimized counterexample, or how much was searched.
#include <fmt/format.h>

#include "command_line.h"
#include "rig/model/hold_explorer.h"

using namespace cressrill;
namespace model = rig::model;

namespace {

int print_result(const std::string& search, const model::SearchResult& result) {
  if (!result.counterexample) {
    fmt::print("{}: kept, {} states\n", search, result.states);
    return kSuccess;
  }
  fmt::print("{}: BROKEN after {} states, by {} events\n{}", search, result.states,
             result.counterexample->events.size(), timeline(*result.counterexample));
  return kFailure;
}

int run(std::uint64_t seed, std::uint64_t steps, int length, int depth, std::uint64_t max_states) {
  int status = kSuccess;
  for (const bool parallel : {true, false}) {
    const model::ModelOptions options{.parallel = parallel, .cancelling = parallel};
    const model::SearchResult result = search_breadth_first(options, depth, max_states);
    const std::string name =
        fmt::format("all orders of {} events, parallel tries {}", result.depth, parallel ? "on" : "off");
    status = std::max(status, print_result(name, result));
  }
  return std::max(status, print_result(fmt::format("walks, seed {}", seed),
                                       model::search_random_walks(seed, steps, length)));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("searches for an order of events in which held KV cache is not released in time",
               "cressrill-explore");
  std::uint64_t seed = 1;
  std::uint64_t steps = 1'000'000;
  std::uint64_t max_states = 200'000;
  int length = 60;
  int depth = 8;
  app.add_option("--seed", seed, "of the random walks");
  app.add_option("--steps", steps, "number of events of all random walks together");
  app.add_option("--length", length, "of each walk, in events")->check(CLI::Range(1, 1000));
  app.add_option("--depth", depth, "of the breadth-first search, in events")->check(CLI::Range(0, 30));
  app.add_option("--states", max_states, "maximum number of states of a breadth-first search");
  if (const auto code = read_command_line(app, argc, argv)) return *code;
  return run_guarded("cressrill-explore", [&] { return run(seed, steps, length, depth, max_states); });
}
