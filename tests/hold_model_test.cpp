// Tests of the hold rule and of the model of held KV cache, and a short search for an order of events that
// breaks the rule. cressrill-explore searches further.
#include "rig/model/hold_model.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "rig/model/hold_explorer.h"

namespace cressrill::testing {

namespace {

using namespace rig;
using namespace rig::model;

constexpr Nanos kMs = 1'000'000;

// Applies an event, which has to be possible.
void apply_checked(HoldModel& model, const Event& event) {
  const std::vector<Event> possible = model.possible_events();
  const bool is_possible = event.type == EventType::time_passes || std::ranges::count(possible, event) > 0;
  CHECK_MESSAGE(is_possible, to_string(event.type));
  if (is_possible) model.apply(event);
}
void apply_to_attempt(HoldModel& model, int attempt, std::initializer_list<EventType> types) {
  for (const EventType type : types) apply_checked(model, {.type = type, .attempt = attempt});
}
void advance(HoldModel& model, Nanos duration) {
  apply_checked(model, {.type = EventType::time_passes, .duration = duration});
}

}  // namespace

TEST_CASE(
    "hold rule: held time counts only while no attempt is at a worker, until KV cache is taken or released") {
  using Kind = KvAction::Kind;
  const std::vector<AttemptSpan> attempts{{0, 10, 0, true}, {50, 90, 2, false}};
  SUBCASE("KV cache is never taken") {
    const auto spans = held_spans(attempts, {{Kind::held, 10, 0}}, 500);
    REQUIRE(spans.size() == 1);
    CHECK(spans[0].unattended == 410);
  }
  SUBCASE("KV cache is taken") {
    const auto spans = held_spans(attempts, {{Kind::held, 10, 0}, {Kind::taken, 60, 2}}, 500);
    CHECK(spans.at(0).until == 60);
    CHECK(spans.at(0).unattended == 40);
  }
  SUBCASE("a release that arrives while a decode attempt waits for KV cache does not free it") {
    const auto spans = held_spans(attempts, {{Kind::held, 10, 0}, {Kind::released, 60, 3}}, 500);
    CHECK(spans.at(0).until == 500);
  }
  SUBCASE("a release that arrives during a stream frees KV cache that was left after decode started") {
    const auto spans = held_spans(
        attempts, {{Kind::held, 10, 0}, {Kind::taken, 60, 2}, {Kind::held, 65, 1}, {Kind::released, 70, 3}},
        500);
    CHECK(spans.at(1).until == 70);
  }
  SUBCASE("a prefill during which a release arrives leaves nothing") {
    CHECK(held_spans(attempts, {{Kind::released, 5, 3}, {Kind::held, 10, 0}}, 500).empty());
  }
}

TEST_CASE("hold model: KV cache of a prefill that ends after decode took another prefill's is released") {
  HoldModel model({.limit = 500 * kMs});
  apply_checked(model, {.type = EventType::link_falls_silent, .worker = 0});
  apply_checked(model, {.type = EventType::prefill_written, .worker = 0});
  apply_checked(model, {.type = EventType::prefill_written, .worker = 1});
  apply_to_attempt(model, 1,
                   {EventType::request_arrives, EventType::prefill_ends, EventType::answer_arrives});
  apply_checked(model, {.type = EventType::decode_written, .worker = 2});
  apply_to_attempt(model, 2,
                   {EventType::request_arrives, EventType::decode_starts, EventType::answer_arrives,
                    EventType::stream_ends});
  apply_checked(model, {.type = EventType::link_passes, .worker = 0});
  apply_to_attempt(model, 0,
                   {EventType::request_arrives, EventType::prefill_ends, EventType::answer_arrives});
  advance(model, 6000 * kMs);
  CHECK(model.breach().value_or("") == "");
}

TEST_CASE("hold model: KV cache left by a prefill that ends earlier than expected is reported as a breach") {
  // The model's assumptions exclude an early end, so a search never chooses this event.
  HoldModel model({.limit = 1000 * kMs, .parallel = false});
  apply_checked(model, {.type = EventType::prefill_written, .worker = 0, .duration = 500 * kMs});
  apply_to_attempt(model, 0, {EventType::request_arrives});
  model.apply({.type = EventType::prefill_ends, .attempt = 0});
  apply_checked(model, {.type = EventType::link_falls_silent, .worker = 0});
  advance(model, 6000 * kMs);
  CHECK(model.breach().has_value());
}

TEST_CASE("hold model: no searched order of events leaves KV cache held past its limit") {
  for (const bool parallel : {true, false}) {
    const SearchResult search =
        search_breadth_first({.parallel = parallel, .cancelling = parallel}, 3, 100'000);
    CHECK(search.depth == 3);
    CHECK_MESSAGE(!search.counterexample, (search.counterexample ? timeline(*search.counterexample) : ""));
  }
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const SearchResult walks = search_random_walks(seed, 50'000, 60);
    CHECK_MESSAGE(!walks.counterexample, (walks.counterexample ? timeline(*walks.counterexample) : ""));
  }
}

}  // namespace cressrill::testing
