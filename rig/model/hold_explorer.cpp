#include "hold_explorer.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_set>

namespace cressrill::rig::model {

namespace {

constexpr Nanos kMs = 1'000'000;
// Simulated time after the last event, long enough for KV cache that is never released to break the rule.
constexpr Nanos kFinalWait = 6000 * kMs;

struct ModelHash {
  std::size_t operator()(const HoldModel& model) const { return model.hash(); }
};

// The breach that these events lead to; none if one of them is impossible or the rule is kept.
std::optional<std::string> find_breach(const ModelOptions& options, const std::vector<Event>& events) {
  HoldModel model(options);
  for (const Event& event : events) {
    const std::vector<Event> possible = model.possible_events();
    if (std::ranges::find(possible, event) == possible.end()) return std::nullopt;
    model.apply(event);
    if (model.breach()) return model.breach();
  }
  model.apply({.type = EventType::time_passes, .duration = kFinalWait});
  return model.breach();
}

// Draws random options and events. Time passes in two of five steps, because most breaches take few events
// over a long time. In the other steps, each possible event is equally likely.
class RandomWalker {
 public:
  explicit RandomWalker(std::uint64_t seed) : random_(seed) {}
  ModelOptions draw_options() {
    static constexpr Nanos kLimits[] = {300 * kMs, 500 * kMs, 1000 * kMs};
    return {.limit = kLimits[random_below(3)],
            .parallel = random_below(2) == 0,
            .cancelling = random_below(2) == 0};
  }
  Event draw_event(const HoldModel& model) {
    std::vector<Event> events = model.possible_events();
    const auto first_time_step = std::ranges::find(events, EventType::time_passes, &Event::type);
    const auto time_steps = static_cast<std::size_t>(events.end() - first_time_step);
    const std::size_t others = events.size() - time_steps;
    if (others == 0 || random_below(5) < 2) return events[others + random_below(time_steps)];
    return events[random_below(others)];
  }

 private:
  std::size_t random_below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  std::mt19937_64 random_;
};

}  // namespace

SearchResult search_breadth_first(const ModelOptions& options, int depth, std::uint64_t max_states) {
  struct Reached {
    HoldModel model;
    std::vector<Event> events;
  };
  SearchResult result;
  std::unordered_set<HoldModel, ModelHash> seen;
  std::deque<Reached> frontier{{HoldModel(options), {}}};
  for (; result.depth < depth; ++result.depth) {
    std::deque<Reached> next_frontier;
    for (const Reached& reached : frontier) {
      for (const Event& event : reached.model.possible_events()) {
        HoldModel model = reached.model;
        model.apply(event);
        if (!model.breach() && !seen.insert(model).second) continue;
        std::vector<Event> events = reached.events;
        events.push_back(event);
        if (model.breach()) {
          result.counterexample = minimized({options, std::move(events), *model.breach()});
          return result;
        }
        if (++result.states > max_states) return result;
        next_frontier.push_back({std::move(model), std::move(events)});
      }
    }
    frontier = std::move(next_frontier);
  }
  return result;
}

SearchResult search_random_walks(std::uint64_t seed, std::uint64_t steps, int length) {
  SearchResult result;
  RandomWalker walker(seed);
  while (result.states < steps) {
    const ModelOptions options = walker.draw_options();
    HoldModel model(options);
    std::vector<Event> events;
    for (int i = 0; i < length && !model.breach(); ++i) {
      events.push_back(walker.draw_event(model));
      model.apply(events.back());
      ++result.states;
    }
    if (!model.breach()) model.apply({.type = EventType::time_passes, .duration = kFinalWait});
    if (!model.breach()) continue;
    result.counterexample = minimized({options, std::move(events), *model.breach()});
    return result;
  }
  return result;
}

Counterexample minimized(Counterexample found) {
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t i = found.events.size(); i-- > 0;) {
      std::vector<Event> fewer = found.events;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      if (const auto breach = find_breach(found.options, fewer)) {
        found.events = std::move(fewer);
        found.breach = *breach;
        shorter = true;
      }
    }
  }
  return found;
}

std::string timeline(const Counterexample& found) {
  std::string out =
      fmt::format("limit {} ms, parallel tries {}, cancelling {}\n", found.options.limit / kMs,
                  found.options.parallel ? "on" : "off", found.options.cancelling ? "on" : "off");
  HoldModel model(found.options);
  for (const Event& event : found.events) {
    model.apply(event);
    std::string text = to_string(event.type);
    if (event.attempt >= 0) text += fmt::format(", attempt {}", event.attempt);
    if (event.worker >= 0) text += fmt::format(", worker {}", event.worker);
    if (event.duration > 0) text += fmt::format(", {} ms", event.duration / kMs);
    out += fmt::format("{:<44}{}\n", text, model.describe());
  }
  model.apply({.type = EventType::time_passes, .duration = kFinalWait});
  return out + fmt::format("{:<44}{}\n{}\n", "time passes", model.describe(), found.breach);
}

}  // namespace cressrill::rig::model
