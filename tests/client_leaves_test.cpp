// Clients that leave just as a worker's response reaches the router: one poll of the sockets reports both.
#include "kv_hold_monitor.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

enum class Order { response_first, close_first };

// Sends one request whose client leaves as the worker responds, and checks that its KV cache is released
// within the limit.
void leave_during_response(PlatformFixture& fixture, FakeWorker& worker, Order order, int limit_ms) {
  KvHoldMonitor monitor(fixture, KvHoldMonitor::Measure::unattended);
  RawClient client(fixture.node->address());
  (order == Order::response_first ? worker.after_response : worker.before_response) = [&] { client.close(); };
  client.write(PlatformFixture::request("a1"));
  fixture.run_for(3000);
  check_longest_hold(monitor, limit_ms * kMs);
  CHECK(fixture.kv_entries.empty());
  CHECK(fixture.node->host().active_requests() == 0);
  CHECK(fixture.node->host().invariants().violations() == 0);
}

ScriptedResponse prefill_fails() {
  return {.response = http::format_response(500, "", "", true),
          .delay = 20 * kMs,
          .use_default = false,
          .leaves_kv = true};
}
ScriptedResponse prefill_closes() { return {"", ScriptedResponse::Finish::close, 20 * kMs, false, true}; }
ScriptedResponse decode_rejects() {
  return {http::format_response(503, "X-Rejected: 1\r\n", "", true), ScriptedResponse::Finish::keep_alive,
          20 * kMs};
}
ScriptedResponse decode_resets() { return {"", ScriptedResponse::Finish::reset, 20 * kMs}; }

}  // namespace

TEST_CASE("KV cache of a client that leaves as a worker responds is released in time") {
  for (const int limit_ms : {300, 1000})
    for (const Order order : {Order::response_first, Order::close_first}) {
      CAPTURE(limit_ms);
      CAPTURE(static_cast<int>(order));
      PlatformFixture fixture(1, 1, settings_with_hold_limit(limit_ms));
      warm_up(fixture);
      FakeWorker& prefill_worker = fixture.worker("reader-0");
      FakeWorker& decode_worker = fixture.worker("writer-0");
      SUBCASE("the prefill succeeds") { leave_during_response(fixture, prefill_worker, order, limit_ms); }
      SUBCASE("the prefill fails") {
        prefill_worker.script = {prefill_fails()};
        leave_during_response(fixture, prefill_worker, order, limit_ms);
      }
      SUBCASE("the connection of the prefill closes") {
        prefill_worker.script = {prefill_closes()};
        leave_during_response(fixture, prefill_worker, order, limit_ms);
      }
      SUBCASE("the decode attempt is rejected") {
        decode_worker.script = {decode_rejects()};
        leave_during_response(fixture, decode_worker, order, limit_ms);
      }
      SUBCASE("the connection of the decode attempt is reset") {
        decode_worker.script = {decode_resets()};
        leave_during_response(fixture, decode_worker, order, limit_ms);
      }
      SUBCASE("the decode attempt starts its stream") {
        leave_during_response(fixture, decode_worker, order, limit_ms);
      }
    }
}

}  // namespace cressrill::testing
