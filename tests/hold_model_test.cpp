// The model of held KV cache: that it judges by the rule, and that no order of events it tries breaks the rule. The release
// build searches further (cressrill-explore).
#include "rig/model/hold_model.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "rig/model/hold_explorer.h"

namespace cressrill::testing {

namespace {

using namespace rig;
using namespace rig::model;

constexpr Nanos kMs = 1'000'000;

// Applies an event that has to be possible.
void happens(HoldModel& model, const Event& event) {
  const std::vector<Event> possible = model.possible();
  const bool may_happen = event.what == Happening::time_passes || std::ranges::count(possible, event) > 0;
  CHECK_MESSAGE(may_happen, word(event.what));
  if (may_happen) model.apply(event);
}
void of_attempt(HoldModel& model, int attempt, std::initializer_list<Happening> all) {
  for (const Happening what : all) happens(model, {.what = what, .attempt = attempt});
}
void run_for(HoldModel& model, Nanos span) {
  happens(model, {.what = Happening::time_passes, .value = span});
}

}  // namespace

TEST_CASE("the rule: what is held counts while no attempt is at a worker, until it is taken or released") {
  using What = HoldMark::What;
  const std::vector<AttemptSpan> attempts{{0, 10, 0, true}, {50, 90, 2, false}};
  SUBCASE("nobody takes it") {
    const auto spans = held_spans(attempts, {{What::held, 10, 0}}, 500);
    REQUIRE(spans.size() == 1);
    CHECK(spans[0].unattended == 410);
  }
  SUBCASE("it is taken") {
    const auto spans = held_spans(attempts, {{What::held, 10, 0}, {What::taken, 60, 2}}, 500);
    CHECK(spans.at(0).until == 60);
    CHECK(spans.at(0).unattended == 40);
  }
  SUBCASE("a release comes while a decode attempt waits for it") {
    const auto spans = held_spans(attempts, {{What::held, 10, 0}, {What::released, 60, 3}}, 500);
    CHECK(spans.at(0).until == 500);
  }
  SUBCASE("a release comes while an answer flows: what came later is waited for by nobody") {
    const auto spans = held_spans(
        attempts, {{What::held, 10, 0}, {What::taken, 60, 2}, {What::held, 65, 1}, {What::released, 70, 3}},
        500);
    CHECK(spans.at(1).until == 70);
  }
  SUBCASE("a release comes while the prefill is under way") {
    CHECK(held_spans(attempts, {{What::released, 5, 3}, {What::held, 10, 0}}, 500).empty());
  }
}

TEST_CASE("the model: a prefill that ends after another one's KV cache was taken is released") {
  HoldModel model({.limit = 500 * kMs});
  happens(model, {.what = Happening::link_falls_silent, .worker = 0});
  happens(model, {.what = Happening::prefill_written, .worker = 0});
  happens(model, {.what = Happening::prefill_written, .worker = 1});
  of_attempt(model, 1, {Happening::request_arrives, Happening::prefill_ends, Happening::answer_arrives});
  happens(model, {.what = Happening::decode_written, .worker = 2});
  of_attempt(model, 2,
             {Happening::request_arrives, Happening::decode_takes, Happening::answer_arrives,
              Happening::stream_ends});
  happens(model, {.what = Happening::link_passes, .worker = 0});
  of_attempt(model, 0, {Happening::request_arrives, Happening::prefill_ends, Happening::answer_arrives});
  run_for(model, 6000 * kMs);
  CHECK(model.breach().value_or("") == "");
}

TEST_CASE("the model condemns what nobody can release: a prefill that ends sooner than is expected of it") {
  // Not possible by the model's assumptions, so that no search finds it.
  HoldModel model({.limit = 1000 * kMs, .parallel = false});
  happens(model, {.what = Happening::prefill_written, .worker = 0, .value = 500 * kMs});
  of_attempt(model, 0, {Happening::request_arrives});
  model.apply({.what = Happening::prefill_ends, .attempt = 0});
  happens(model, {.what = Happening::link_falls_silent, .worker = 0});
  run_for(model, 6000 * kMs);
  CHECK(model.breach().has_value());
}

TEST_CASE("no order of events that is tried leaves anything held for longer than the limit allows") {
  for (const bool parallel : {true, false}) {
    const SearchResult all = search_breadth_first({.parallel = parallel, .cancelling = parallel}, 3, 100'000);
    CHECK(all.depth == 3);
    CHECK_MESSAGE(!all.counterexample, (all.counterexample ? timeline(*all.counterexample) : ""));
  }
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const SearchResult walks = search_walks(seed, 50'000, 60);
    CHECK_MESSAGE(!walks.counterexample, (walks.counterexample ? timeline(*walks.counterexample) : ""));
  }
}

}  // namespace cressrill::testing
