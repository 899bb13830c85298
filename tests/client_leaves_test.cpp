// Clients that leave in the moment in which a worker's answer reaches the router: both are found by one look at the sockets.
#include "kv_hold_monitor.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

enum class Order { answer_first, end_first };

// One request whose client leaves as that worker answers; whatever it left has to be gone within the limit.
void leave_as_it_answers(PlatformFixture& s, FakeWorker& worker, Order order, int limit_ms) {
  KvHoldMonitor watch(s, KvHoldMonitor::Measure::unattended);
  RawClient client(s.node->address());
  (order == Order::answer_first ? worker.after_response : worker.before_response) = [&] { client.close(); };
  client.write(PlatformFixture::request("a1"));
  s.run_for(3000);
  check_longest_hold(watch, limit_ms * kMs);
  CHECK(s.kv_entries.empty());
  CHECK(s.node->host().live_requests() == 0);
  CHECK(s.node->host().invariants().violations() == 0);
}

ScriptedResponse prefill_fails() {
  return {.response = http::format_response(500, "", "", true),
          .delay = 20 * kMs,
          .use_default = false,
          .leaves_kv = true};
}
ScriptedResponse prefill_breaks() { return {"", ScriptedResponse::Finish::close, 20 * kMs, false, true}; }
ScriptedResponse decode_refused() {
  return {http::format_response(503, "X-Rejected: 1\r\n", "", true), ScriptedResponse::Finish::keep_alive,
          20 * kMs};
}
ScriptedResponse decode_breaks() { return {"", ScriptedResponse::Finish::reset, 20 * kMs}; }

}  // namespace

TEST_CASE("a client that leaves as a worker answers: what its request left at a worker is released in time") {
  for (const int limit_ms : {300, 1000})
    for (const Order order : {Order::answer_first, Order::end_first}) {
      CAPTURE(limit_ms);
      CAPTURE(static_cast<int>(order));
      PlatformFixture s(1, 1, settings_with_hold_limit(limit_ms));
      warm_up(s);
      FakeWorker& prefill = s.worker("reader-0");
      FakeWorker& decode = s.worker("writer-0");
      SUBCASE("a prefill is done") { leave_as_it_answers(s, prefill, order, limit_ms); }
      SUBCASE("a prefill has failed") {
        prefill.script = {prefill_fails()};
        leave_as_it_answers(s, prefill, order, limit_ms);
      }
      SUBCASE("the connection of a prefill ends") {
        prefill.script = {prefill_breaks()};
        leave_as_it_answers(s, prefill, order, limit_ms);
      }
      SUBCASE("a decode attempt is refused") {
        decode.script = {decode_refused()};
        leave_as_it_answers(s, decode, order, limit_ms);
      }
      SUBCASE("the connection of a decode attempt breaks") {
        decode.script = {decode_breaks()};
        leave_as_it_answers(s, decode, order, limit_ms);
      }
      SUBCASE("a decode attempt begins its answer") { leave_as_it_answers(s, decode, order, limit_ms); }
    }
}

}  // namespace cressrill::testing
