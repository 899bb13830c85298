// Traces of the routing policy under each kind of failure, compared with the reviewed files in tests/traces.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "trace.h"

namespace cressrill::testing {

TEST_CASE("the ordinary path: a prefill, then the choice of a decode worker") {
  Trace trace("ordinary_path");
  trace.serve(0, 1, 4000);
  trace.serve(1, 1, 4300, 4000);  // goes to the prefix holder of its session
}

TEST_CASE("a prefix holder with too long a queue loses to the least loaded prefill worker") {
  Trace trace("holder_busy");
  trace.serve(0, 1, 4000);
  for (int request = 1; request <= 4; ++request)
    trace.arrive(request, 1, 8000);  // the cached prefix outweighs a short queue, but not a long one
}

TEST_CASE("a cached prefix that was gone invalidates the older entries of that prefill worker") {
  Trace trace("lead_gone");
  trace.serve(0, 1, 4000);
  trace.serve(1, 2, 4000);
  trace.serve(2, 3, 4000);
  trace.serve(3, 1, 4300, 0);
  trace.arrive(4, 2, 4300);
}

TEST_CASE(
    "decode workers are chosen by reported memory, with ties broken by cell, then by this router's decode "
    "tokens") {
  Trace trace("writer_order", small_settings(), 1, 3);
  trace.list_worker(3, WorkerStatus::ready, 1, 0, 5);
  trace.prefill(0, 0, 3000, 50);
  trace.advance_to(100);
  trace.end_attempt(0, 1, Outcome::error, 0, 0.9);  // worker 1 reports that it is nearly full
  trace.advance_to(150);
  trace.prefill(1, 0, 3000, 50);
}

TEST_CASE("a draining worker gets no new requests") {
  Trace trace("drain");
  trace.list_worker(0, WorkerStatus::draining, 0);
  trace.list_worker(2, WorkerStatus::gone, 1);
  trace.serve(0, 1, 3000);
  trace.list_worker(1, WorkerStatus::draining, 0);
  trace.arrive(1, 1, 3000);
  trace.advance_to(1000);
}

TEST_CASE("a cold worker gets a small share of the requests, spread over time") {
  Trace trace("cold_start", small_settings(), 2, 2);
  trace.list_worker(0, WorkerStatus::ready, 0, 1);
  for (int request = 0; request < 12; ++request) trace.serve(request, 0, 3000);
}

TEST_CASE(
    "with a hundred routers each sends a cold worker a hundredth of its share, and unused shares are not "
    "saved up") {
  PolicySettings settings = small_settings();
  settings.routers = 100;
  settings.kinds[1].memory_tokens = 0;  // no bound, so that all prefills start at once
  Trace trace("cold_hundred", settings, 1, 3);
  trace.advance_to(5000);
  trace.list_worker(2, WorkerStatus::ready, 1, 4000 * kMs);
  for (int request = 0; request < 6; ++request) trace.arrive(request, 0, 1000);
  trace.advance_to(5050);
  for (int request = 0; request < 6; ++request)
    trace.end_attempt(request, 0, Outcome::prefill_done);  // all go to decode workers at the same time
}

TEST_CASE("KV cache of an abandoned late prefill is used, or released once another prefill is outstanding") {
  Trace trace("late_read", small_settings(), 2, 1);
  trace.advance_to(100);
  trace.arrive(0, 0, 3000);
  trace.advance_to(1400);  // abandoned as overdue, sent to the other prefill worker
  trace.end_attempt(0, 0, Outcome::prefill_done);
  trace.advance_to(1450);
  trace.end_attempt(0, 2, Outcome::kv_missing);
  trace.advance_to(1460);
}

TEST_CASE("a client still gets a final answer if the stream of an abandoned attempt starts and then breaks") {
  Trace trace("late_stream", small_settings(), 1, 2);
  trace.advance_to(100);
  trace.arrive(0, 0, 3000, 3000);
  trace.advance_to(200);
  trace.end_attempt(0, 0, Outcome::prefill_done);
  trace.advance_to(1250);  // abandoned as overdue, sent to the other decode worker
  trace.start_stream(0, 1);
  trace.end_attempt(0, 2, Outcome::cancelled);
  trace.advance_to(1300);
  trace.end_attempt(0, 1, Outcome::cancelled);
  trace.advance_to(3200);
}

TEST_CASE("a decode worker that was full is not sent the same request again while another one is available") {
  Trace trace("full_to_one", small_settings(), 1, 3);
  trace.prefill(0, 0, 3000, 100);
  for (int attempt = 1; attempt < 4; ++attempt) {
    trace.advance_to(100 + 160 * attempt);
    trace.end_attempt(0, attempt, Outcome::full);
  }
}

TEST_CASE("a decode worker without a recent load report counts as average, not as empty") {
  Trace trace("unheard_writer", small_settings(), 1, 3);
  for (int request = 0; request < 2; ++request) {
    trace.prefill(request, 0, 3000, 50);
    trace.advance_to(trace.now_ms() + 50);
    trace.start_stream(request, 1);
    trace.end_attempt(request, 1, Outcome::generated, 0, request == 0 ? 0.2 : 0.9);
  }
  trace.advance_to(5000);
  for (int request = 2; request < 4; ++request) {  // the worker that was nearly empty is still chosen
    trace.prefill(request, 0, 3000, 50);
  }
}

TEST_CASE(
    "a worker that was unreachable and answers again counts as cold before the worker list shows its "
    "restart") {
  Trace trace("cold_guess", small_settings(), 2, 1);
  trace.list_worker(1, WorkerStatus::draining, 0);
  trace.arrive(0, 0, 3000);
  trace.advance_to(20);
  trace.end_attempt(0, 0, Outcome::connection_lost);
  trace.advance_to(30);
  trace.end_attempt(0, 1, Outcome::connect_failed);
  trace.advance_to(500);
  trace.leave(0);
  trace.advance_to(4000);
  trace.serve(1, 0, 3000);
  trace.arrive(2, 0, 3000);
  trace.arrive(3, 0, 3000);
}

TEST_CASE("after a single broken connection its worker is used again at once, and is not cold") {
  Trace trace("broke_alone", small_settings(), 1, 1);
  trace.arrive(0, 0, 3000);
  trace.advance_to(20);
  trace.end_attempt(0, 0, Outcome::connection_lost);
  trace.advance_to(60);
  trace.end_attempt(0, 1, Outcome::prefill_done);
  trace.advance_to(80);
  trace.leave(0);
  trace.end_attempt(0, 2, Outcome::cancelled);
  for (int request = 1; request < 4; ++request) trace.arrive(request, 0, 3000);
}

TEST_CASE("a worker that leaves some requests unanswered: those are sent elsewhere, and it is ejected") {
  Trace trace("answers_some", small_settings(), 1, 2);
  trace.prefill(0, 0, 3000, 50);
  trace.prefill(1, 0, 3000, 50);
  trace.advance_to(400);
  trace.start_stream(0, 1);
  trace.end_attempt(1, 1, Outcome::timed_out);  // it was sent to worker 2, which never answered
  trace.advance_to(450);
  trace.start_stream(1, 2);
}

TEST_CASE("a worker that refuses connections is not retried at once, which would spend all attempts") {
  Trace trace("refuses", small_settings(), 1, 1);
  trace.arrive(0, 0, 3000);
  trace.advance_to(20);
  trace.end_attempt(0, 0, Outcome::connect_failed);
  trace.advance_to(300);
}

TEST_CASE("a connection that is too slow to open does not make its worker cold when it answers") {
  Trace trace("slow_connection", small_settings(), 1, 1);
  trace.arrive(0, 0, 3000);
  trace.advance_to(250);
  trace.end_attempt(0, 0, Outcome::connect_failed);
  trace.advance_to(450);
  trace.leave(0);
  trace.end_attempt(0, 1, Outcome::cancelled);
  trace.advance_to(4000);
  trace.serve(1, 0, 3000);
  for (int request = 2; request < 6; ++request) trace.arrive(request, 0, 3000);  // all are sent at once
}

TEST_CASE("with all prefill workers cold, some requests are sent and the rest are rejected early") {
  Trace trace("all_cold", small_settings(), 2, 1);
  trace.advance_to(5000);
  for (int worker = 0; worker < 2; ++worker) trace.list_worker(worker, WorkerStatus::ready, 0, 4000 * kMs);
  for (int request = 0; request < 6; ++request) trace.arrive(request, 0, 1000);
  trace.advance_to(5600);
}

TEST_CASE("all requests that wait at a silent worker leave it at once") {
  Trace trace("silence", small_settings(), 1, 2);
  trace.prefill(0, 0, 3000, 100);
  trace.advance_to(2500);
  trace.end_attempt(0, 1, Outcome::cancelled);
}

TEST_CASE("a worker that fails fast is ejected and returns half-open") {
  Trace trace("fast_errors");
  for (int request = 0; request < 4; ++request) {
    trace.arrive(request, 0, 3000);
    trace.advance_to(trace.now_ms() + 20);
    trace.end_attempt(request, 0, Outcome::error);
    trace.advance_to(trace.now_ms() + 20);
    trace.leave(request);
    trace.end_attempt(request, 1, Outcome::cancelled);
  }
  trace.advance_to(4000);
  trace.arrive(4, 0, 3000);
  trace.arrive(5, 0, 3000);
  trace.arrive(6, 0, 3000);
}

TEST_CASE(
    "KV cache that no decode worker takes is released well before the limit, and the request is rejected") {
  Trace trace("pinned", small_settings(), 1, 1);
  trace.prefill(0, 0, 3000, 100);
  trace.advance_to(150);
  trace.list_worker(1, WorkerStatus::draining, 1);
  trace.end_attempt(0, 1, Outcome::full);
  trace.advance_to(600);
}

TEST_CASE(
    "KV cache is released in time if no decode worker can be reached: failed connections do not restart the "
    "limit") {
  PolicySettings settings = small_settings();
  settings.kv_hold_limit = 1000 * kMs;
  Trace trace("pinned_unreached", settings, 1, 3);
  trace.prefill(0, 0, 3000, 50);
  for (int attempt = 1; attempt <= 2; ++attempt) {
    trace.advance_to(trace.now_ms() + 250);
    trace.end_attempt(0, attempt, Outcome::connect_failed);
  }
}

TEST_CASE("full decode workers hold prefills back, and requests that queue for too long are rejected") {
  Trace trace("writers_full", small_settings(), 1, 1);
  for (int request = 0; request < 5; ++request) trace.arrive(request, 0, 30000);
  trace.advance_to(200);
  trace.end_attempt(0, 0, Outcome::prefill_done);
  trace.advance_to(210);
  trace.end_attempt(0, 1, Outcome::full);
  trace.advance_to(1200);
}

TEST_CASE("a once-only request that may have run is aborted, neither sent again nor rejected") {
  PolicySettings settings = small_settings();
  settings.types[0].effect = Effect::once_only;
  Trace trace("once_only", settings);
  trace.prefill(0, 0, 3000, 100);
  trace.advance_to(150);
  trace.end_attempt(0, 1, Outcome::full);  // it has not run, so another decode worker may get it
  trace.advance_to(180);
  trace.end_attempt(0, 2, Outcome::error);
  trace.advance_to(200);
}

TEST_CASE("a tokened request that may have run stays in its cell") {
  PolicySettings settings = small_settings();
  settings.types[0].effect = Effect::tokened;
  settings.types[0].group = Group::cell;
  settings.types[0].window = 2000 * kMs;
  Trace trace("tokened", settings, 1, 3);
  trace.list_worker(2, WorkerStatus::ready, 1, 0, 9);  // the others are in the prefill worker's cell
  trace.prefill(0, 0, 3000, 100);
  trace.advance_to(120);
  trace.end_attempt(0, 1, Outcome::error);
  trace.advance_to(140);
  trace.end_attempt(0, 2, Outcome::error);
  trace.advance_to(400);
}

TEST_CASE("a request is answered just before its deadline, and nothing follows") {
  PolicySettings settings = small_settings();
  settings.max_attempts = 2;
  Trace trace("last_moment", settings, 1, 1);
  trace.arrive(0, 0, 3000, 1000);
  trace.advance_to(700);
  trace.end_attempt(0, 0, Outcome::prefill_done);
  trace.advance_to(1100);
  trace.end_attempt(0, 1, Outcome::timed_out);
}

TEST_CASE("beyond its share a tenant's requests queue behind those of others") {
  PolicySettings settings = small_settings();
  settings.tenant_rates = {1, 1};
  Trace trace("tenant_share", settings, 1, 1);
  for (int request = 0; request < 12; ++request) trace.arrive(request, 0, 9000, 6000, 0, 0, 0, 0);
  trace.arrive(12, 0, 9000, 6000, 0, 0, 0, 1);
  trace.advance_to(100);
  trace.end_attempt(0, 0, Outcome::prefill_done);
}

TEST_CASE("a share of a hundredth of a request per second still admits a tenant's requests") {
  PolicySettings settings = small_settings();
  settings.tenant_rates = {1, 1};
  settings.routers = 100;
  settings.kinds[1].memory_tokens = 0;
  Trace trace("tenant_small_share", settings, 1, 1);
  for (int request = 0; request < 12; ++request) trace.arrive(request, 0, 900, 6000, 0, 0, 0, 0);
  trace.arrive(12, 0, 900, 6000, 0, 0, 0, 1);  // ahead of the other tenant's requests beyond its share
  trace.advance_to(50);
  trace.end_attempt(0, 0, Outcome::prefill_done);
  trace.advance_to(60);
  trace.start_stream(0, 1);
}

TEST_CASE("slow first tokens reduce the in-flight limit, and then the shortest prefill goes first") {
  Trace trace("read_bound", small_settings(), 1, 2);
  for (int request = 0; request < 8; ++request) trace.arrive(request, 0, 3000, 9000);
  for (int request = 0; request < 8; ++request) {
    trace.advance_to(1300 + 80 * request);
    trace.end_attempt(request, 0, Outcome::prefill_done);
    trace.advance_to(1320 + 80 * request);
    trace.start_stream(request, 1);
  }
  for (int request = 8; request < 16; ++request)
    trace.arrive(request, 0, 5000 - 300 * request, 9000);  // the last has the shortest prefill
  trace.advance_to(2000);
  trace.end_attempt(8, 0, Outcome::prefill_done);
  trace.advance_to(2020);
  trace.start_stream(8, 1);
}

TEST_CASE("a session from another router goes to its home worker, or to the next one if that is ejected") {
  Trace trace("home", small_settings(), 3, 1);
  for (int request = 0; request < 3; ++request)
    trace.serve(request, 77 + static_cast<std::uint64_t>(request), 5000, 4800);
  trace.arrive(3, 80, 5000);
  trace.end_attempt(3, 0, Outcome::connection_lost);
  trace.advance_to(trace.now_ms() + 50);
  trace.leave(3);
  trace.arrive(4, 80, 5000);
  trace.arrive(5, 81, 5000);
}

TEST_CASE("a zone with few prefill workers gives its remaining sessions a home in the other zone") {
  Trace trace("uneven_zones", small_settings(), 4, 1);
  for (int worker = 1; worker < 4; ++worker)
    trace.list_worker(worker, WorkerStatus::ready, 0, 0, 1, 1);  // one prefill worker here, three there
  for (int request = 0; request < 6; ++request)
    trace.serve(request, 90 + static_cast<std::uint64_t>(request), 5000, 4800);
}

TEST_CASE("a cell with few decode workers keeps only its proportional part of its prefilled requests") {
  Trace trace("uneven_cells", small_settings(), 3, 4);
  trace.list_worker(2, WorkerStatus::ready, 0, 0, 1);
  for (int worker = 4; worker < 7; ++worker)
    trace.list_worker(worker, WorkerStatus::ready, 1, 0,
                      1);  // 2 prefill workers and 1 decode worker; 1 prefill worker and 3 decode workers
  for (int request = 0; request < 8; ++request) trace.serve(request, 0, 3000);
}

TEST_CASE("a late prefill lengthens the next timeout") {
  Trace trace("late_learned", small_settings(), 1, 1);
  trace.advance_to(100);
  trace.arrive(0, 0, 3000);
  trace.advance_to(1240);
  trace.end_attempt(0, 0, Outcome::timed_out);
  trace.leave(0);
  trace.end_attempt(0, 1, Outcome::cancelled);
  trace.advance_to(4500);
  trace.arrive(1, 0, 3000);
}

TEST_CASE("without prefill workers, mixed workers do both phases in one attempt") {
  PolicySettings settings = small_settings();
  settings.kinds[1].role = Role::mixed;
  Trace trace("mixed_only", settings, 0, 2);
  trace.arrive(0, 0, 3000);
  trace.advance_to(100);
  trace.start_stream(0, 0);
  trace.end_attempt(0, 0, Outcome::generated);
}

TEST_CASE("with an empty worker list requests are rejected, and a subscription is renewed in time") {
  PolicySettings settings = small_settings();
  settings.needs_subscription = true;
  settings.subscription_lifetime = 1000 * kMs;
  settings.send_retry_after = true;
  Trace trace("empty_list", settings, 0, 0);
  trace.arrive(0, 0, 3000);
  trace.advance_to(1000);
}

}  // namespace cressrill::testing
