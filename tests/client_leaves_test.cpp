// Clients that leave in the moment in which a worker's answer reaches the router: both are found by one look at the sockets.
#include "kv_hold_monitor.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

enum class Order { answer_first, end_first };

// One request whose client leaves as that worker answers; whatever it left has to be gone within the limit.
void leave_as_it_answers(Site& s, Worker& worker, Order order, int limit_ms) {
  HoldWatch watch(s, HoldWatch::While::unattended);
  RawClient client(s.node->address());
  (order == Order::answer_first ? worker.has_answered : worker.answers) = [&] { client.close(); };
  client.write(Site::call("a1"));
  s.pass(3000);
  check_held(watch, limit_ms * kMs);
  CHECK(s.states.empty());
  CHECK(s.node->host().live() == 0);
  CHECK(s.node->host().invariants().violations() == 0);
}

Act prefill_fails() {
  return {.text = http::response_text(500, "", "", true), .after = 20 * kMs, .usual = false, .leaves = true};
}
Act prefill_breaks() { return {"", Act::Then::close, 20 * kMs, false, true}; }
Act decode_refused() {
  return {http::response_text(503, "X-Rejected: 1\r\n", "", true), Act::Then::keep, 20 * kMs};
}
Act decode_breaks() { return {"", Act::Then::reset, 20 * kMs}; }

}  // namespace

TEST_CASE("a client that leaves as a worker answers: what its request left at a worker is released in time") {
  for (const int limit_ms : {300, 1000})
    for (const Order order : {Order::answer_first, Order::end_first}) {
      CAPTURE(limit_ms);
      CAPTURE(static_cast<int>(order));
      Site s(1, 1, with_limit(limit_ms));
      warm(s);
      Worker& prefill = s.worker("reader-0");
      Worker& decode = s.worker("writer-0");
      SUBCASE("a prefill is done") { leave_as_it_answers(s, prefill, order, limit_ms); }
      SUBCASE("a prefill has failed") {
        prefill.acts = {prefill_fails()};
        leave_as_it_answers(s, prefill, order, limit_ms);
      }
      SUBCASE("the connection of a prefill ends") {
        prefill.acts = {prefill_breaks()};
        leave_as_it_answers(s, prefill, order, limit_ms);
      }
      SUBCASE("a decode attempt is refused") {
        decode.acts = {decode_refused()};
        leave_as_it_answers(s, decode, order, limit_ms);
      }
      SUBCASE("the connection of a decode attempt breaks") {
        decode.acts = {decode_breaks()};
        leave_as_it_answers(s, decode, order, limit_ms);
      }
      SUBCASE("a decode attempt begins its answer") { leave_as_it_answers(s, decode, order, limit_ms); }
    }
}

}  // namespace cressrill::testing
