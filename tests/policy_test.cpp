// The decisions, each failure with a short trace that is kept in tests/traces and read by people.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "trace.h"

namespace cressrill::testing {

TEST_CASE("the ordinary path: read, then the writer is chosen") {
  Trace t("ordinary_path");
  t.whole(0, 1, 4000);
  t.whole(1, 1, 4300, 4000);  // the session's holder reads again
}

TEST_CASE("a holder with too much waiting loses to the load pick") {
  Trace t("holder_busy");
  t.whole(0, 1, 4000);
  for (int seq = 1; seq <= 4; ++seq) t.came(seq, 1, 8000);  // the lead pays for some waiting, not for any
}

TEST_CASE("a lead that was gone voids what that reader promised") {
  Trace t("lead_gone");
  t.whole(0, 1, 4000);
  t.whole(1, 2, 4000);
  t.whole(2, 3, 4000);
  t.whole(3, 1, 4300, 0);
  t.came(4, 2, 4300);
}

TEST_CASE("writers by reported memory, ties by cell, then by own stream tokens") {
  Trace t("writer_order", small_deployment(), 1, 3);
  t.listed(3, WorkerStatus::ready, 1, 0, 5);
  t.read(0, 0, 3000, 50);
  t.until(100);
  t.ended(0, 1, Outcome::error, 0, 0.9);  // worker 1 says that it is nearly full
  t.until(150);
  t.read(1, 0, 3000, 50);
}

TEST_CASE("a draining worker gets nothing new") {
  Trace t("drain");
  t.listed(0, WorkerStatus::draining, 0);
  t.listed(2, WorkerStatus::gone, 1);
  t.whole(0, 1, 3000);
  t.listed(1, WorkerStatus::draining, 0);
  t.came(1, 1, 3000);
  t.until(1000);
}

TEST_CASE("a cold worker gets a small share, spread over time") {
  Trace t("cold_start", small_deployment(), 2, 2);
  t.listed(0, WorkerStatus::ready, 0, 1);
  for (int seq = 0; seq < 12; ++seq) t.whole(seq, 0, 3000);
}

TEST_CASE("among a hundred routers a cold worker gets a hundredth, and nothing is saved up for it") {
  PolicySettings d = small_deployment();
  d.routers = 100;
  d.kinds[1].memory_tokens = 0;  // no bound, so that all are read at once
  Trace t("cold_hundred", d, 1, 3);
  t.until(5000);
  t.listed(2, WorkerStatus::ready, 1, 4000 * kMs);
  for (int seq = 0; seq < 6; ++seq) t.came(seq, 0, 1000);
  t.until(5050);
  for (int seq = 0; seq < 6; ++seq) t.ended(seq, 0, Outcome::prefill_done);  // all at once to writers
}

TEST_CASE("a state from a read that was left for late is used, or let go once another waits") {
  Trace t("late_read", small_deployment(), 2, 1);
  t.until(100);
  t.came(0, 0, 3000);
  t.until(1400);  // left for late, sent to the other reader
  t.ended(0, 0, Outcome::prefill_done);
  t.until(1450);
  t.ended(0, 2, Outcome::kv_missing);
  t.until(1460);
}

TEST_CASE("a stream that began after its attempt was left, and broke, still gets a final answer") {
  Trace t("late_stream", small_deployment(), 1, 2);
  t.until(100);
  t.came(0, 0, 3000, 3000);
  t.until(200);
  t.ended(0, 0, Outcome::prefill_done);
  t.until(1250);  // left for late, sent to the other writer
  t.began(0, 1);
  t.ended(0, 2, Outcome::cancelled);
  t.until(1300);
  t.ended(0, 1, Outcome::cancelled);
  t.until(3200);
}

TEST_CASE("a writer that said full to a sequence is not asked again while another is there") {
  Trace t("full_to_one", small_deployment(), 1, 3);
  t.read(0, 0, 3000, 100);
  for (int attempt = 1; attempt < 4; ++attempt) {
    t.until(100 + 160 * attempt);
    t.ended(0, attempt, Outcome::full);
  }
}

TEST_CASE("a writer not heard of for long is as the average, not empty") {
  Trace t("unheard_writer", small_deployment(), 1, 3);
  for (int seq = 0; seq < 2; ++seq) {
    t.read(seq, 0, 3000, 50);
    t.until(t.now_ms() + 50);
    t.began(seq, 1);
    t.ended(seq, 1, Outcome::generated, 0, seq == 0 ? 0.2 : 0.9);
  }
  t.until(5000);
  for (int seq = 2; seq < 4; ++seq) {  // the nearly empty one is still taken
    t.read(seq, 0, 3000, 50);
  }
}

TEST_CASE("what was down and answers again counts as cold before the list tells") {
  Trace t("cold_guess", small_deployment(), 2, 1);
  t.listed(1, WorkerStatus::draining, 0);
  t.came(0, 0, 3000);
  t.until(20);
  t.ended(0, 0, Outcome::connection_lost);
  t.until(30);
  t.ended(0, 1, Outcome::connect_failed);
  t.until(500);
  t.left(0);
  t.until(4000);
  t.whole(1, 0, 3000);
  t.came(2, 0, 3000);
  t.came(3, 0, 3000);
}

TEST_CASE("a connection that broke alone: its worker is asked again at once, and is not cold") {
  Trace t("broke_alone", small_deployment(), 1, 1);
  t.came(0, 0, 3000);
  t.until(20);
  t.ended(0, 0, Outcome::connection_lost);
  t.until(60);
  t.ended(0, 1, Outcome::prefill_done);
  t.until(80);
  t.left(0);
  t.ended(0, 2, Outcome::cancelled);
  for (int seq = 1; seq < 4; ++seq) t.came(seq, 0, 3000);
}

TEST_CASE(
    "a worker that answers some and leaves others without a word: those go elsewhere, and it is set aside") {
  Trace t("answers_some", small_deployment(), 1, 2);
  t.read(0, 0, 3000, 50);
  t.read(1, 0, 3000, 50);
  t.until(400);
  t.began(0, 1);
  t.ended(1, 1, Outcome::timed_out);  // to 2, whose silence ends with it
  t.until(450);
  t.began(1, 2);
}

TEST_CASE("a worker that refuses connections is let be for a while: the attempts are not all spent at once") {
  Trace t("refuses", small_deployment(), 1, 1);
  t.came(0, 0, 3000);
  t.until(20);
  t.ended(0, 0, Outcome::connect_failed);
  t.until(300);
}

TEST_CASE("a connection that was slow to open is no death: the worker is not cold when it answers") {
  Trace t("slow_connection", small_deployment(), 1, 1);
  t.came(0, 0, 3000);
  t.until(250);
  t.ended(0, 0, Outcome::connect_failed);
  t.until(450);
  t.left(0);
  t.ended(0, 1, Outcome::cancelled);
  t.until(4000);
  t.whole(1, 0, 3000);
  for (int seq = 2; seq < 6; ++seq) t.came(seq, 0, 3000);  // all are sent at once
}

TEST_CASE("all readers cold at once: a part is sent, the rest is answered at once") {
  Trace t("all_cold", small_deployment(), 2, 1);
  t.until(5000);
  for (int w = 0; w < 2; ++w) t.listed(w, WorkerStatus::ready, 0, 4000 * kMs);
  for (int seq = 0; seq < 6; ++seq) t.came(seq, 0, 1000);
  t.until(5600);
}

TEST_CASE("a silent worker is left at once by all that wait there") {
  Trace t("silence", small_deployment(), 1, 2);
  t.read(0, 0, 3000, 100);
  t.until(2500);
  t.ended(0, 1, Outcome::cancelled);
}

TEST_CASE("a worker that fails fast is set aside and comes back on trial") {
  Trace t("fast_errors");
  for (int seq = 0; seq < 4; ++seq) {
    t.came(seq, 0, 3000);
    t.until(t.now_ms() + 20);
    t.ended(seq, 0, Outcome::error);
    t.until(t.now_ms() + 20);
    t.left(seq);
    t.ended(seq, 1, Outcome::cancelled);
  }
  t.until(4000);
  t.came(4, 0, 3000);
  t.came(5, 0, 3000);
  t.came(6, 0, 3000);
}

TEST_CASE("a state that no writer takes is let go well before the limit, and answered at once") {
  Trace t("pinned", small_deployment(), 1, 1);
  t.read(0, 0, 3000, 100);
  t.until(150);
  t.listed(1, WorkerStatus::draining, 1);
  t.ended(0, 1, Outcome::full);
  t.until(600);
}

TEST_CASE(
    "a state whose writers cannot be reached is let go of in time: failed connections do not restart its "
    "time") {
  PolicySettings d = small_deployment();
  d.kv_hold_limit = 1000 * kMs;
  Trace t("pinned_unreached", d, 1, 3);
  t.read(0, 0, 3000, 50);
  for (int attempt = 1; attempt <= 2; ++attempt) {
    t.until(t.now_ms() + 250);
    t.ended(0, attempt, Outcome::connect_failed);
  }
}

TEST_CASE("full writers hold reads back, and a line that stands too long is answered at once") {
  Trace t("writers_full", small_deployment(), 1, 1);
  for (int seq = 0; seq < 5; ++seq) t.came(seq, 0, 30000);
  t.until(200);
  t.ended(0, 0, Outcome::prefill_done);
  t.until(210);
  t.ended(0, 1, Outcome::full);
  t.until(1200);
}

TEST_CASE("a once-only sequence that may have run is aborted, not sent or rejected") {
  PolicySettings d = small_deployment();
  d.types[0].effect = Effect::once_only;
  Trace t("once_only", d);
  t.read(0, 0, 3000, 100);
  t.until(150);
  t.ended(0, 1, Outcome::full);  // proved idle: another writer may have it
  t.until(180);
  t.ended(0, 2, Outcome::error);
  t.until(200);
}

TEST_CASE("a tokened sequence that may have run stays in its cell") {
  PolicySettings d = small_deployment();
  d.types[0].effect = Effect::tokened;
  d.types[0].group = Group::cell;
  d.types[0].window = 2000 * kMs;
  Trace t("tokened", d, 1, 3);
  t.listed(2, WorkerStatus::ready, 1, 0, 9);  // the others are in the reader's cell
  t.read(0, 0, 3000, 100);
  t.until(120);
  t.ended(0, 1, Outcome::error);
  t.until(140);
  t.ended(0, 2, Outcome::error);
  t.until(400);
}

TEST_CASE("the last moment: an answer before the client gives up, and nothing after it") {
  PolicySettings d = small_deployment();
  d.max_attempts = 2;
  Trace t("last_moment", d, 1, 1);
  t.came(0, 0, 3000, 1000);
  t.until(700);
  t.ended(0, 0, Outcome::prefill_done);
  t.until(1100);
  t.ended(0, 1, Outcome::timed_out);
}

TEST_CASE("past its share a tenant waits behind the others") {
  PolicySettings d = small_deployment();
  d.tenant_rates = {1, 1};
  Trace t("tenant_share", d, 1, 1);
  for (int seq = 0; seq < 12; ++seq) t.came(seq, 0, 9000, 6000, 0, 0, 0, 0);
  t.came(12, 0, 9000, 6000, 0, 0, 0, 1);
  t.until(100);
  t.ended(0, 0, Outcome::prefill_done);
}

TEST_CASE("a share of a hundredth of a sequence a second still lets a storefront in") {
  PolicySettings d = small_deployment();
  d.tenant_rates = {1, 1};
  d.routers = 100;
  d.kinds[1].memory_tokens = 0;
  Trace t("tenant_small_share", d, 1, 1);
  for (int seq = 0; seq < 12; ++seq) t.came(seq, 0, 900, 6000, 0, 0, 0, 0);
  t.came(12, 0, 900, 6000, 0, 0, 0, 1);  // before what is past the other's share
  t.until(50);
  t.ended(0, 0, Outcome::prefill_done);
  t.until(60);
  t.began(0, 1);
}

TEST_CASE("slow first tokens cut the limit; then the least to read goes first") {
  Trace t("read_bound", small_deployment(), 1, 2);
  for (int seq = 0; seq < 8; ++seq) t.came(seq, 0, 3000, 9000);
  for (int seq = 0; seq < 8; ++seq) {
    t.until(1300 + 80 * seq);
    t.ended(seq, 0, Outcome::prefill_done);
    t.until(1320 + 80 * seq);
    t.began(seq, 1);
  }
  for (int seq = 8; seq < 16; ++seq) t.came(seq, 0, 5000 - 300 * seq, 9000);  // the last has least to read
  t.until(2000);
  t.ended(8, 0, Outcome::prefill_done);
  t.until(2020);
  t.began(8, 1);
}

TEST_CASE("a session of another router goes to its home, or to the next one where that is aside") {
  Trace t("home", small_deployment(), 3, 1);
  for (int seq = 0; seq < 3; ++seq) t.whole(seq, 77 + static_cast<std::uint64_t>(seq), 5000, 4800);
  t.came(3, 80, 5000);
  t.ended(3, 0, Outcome::connection_lost);
  t.until(t.now_ms() + 50);
  t.left(3);
  t.came(4, 80, 5000);
  t.came(5, 81, 5000);
}

TEST_CASE("a zone with few readers leaves the rest of its sessions a home in the other zone") {
  Trace t("uneven_zones", small_deployment(), 4, 1);
  for (int w = 1; w < 4; ++w) t.listed(w, WorkerStatus::ready, 0, 0, 1, 1);  // one reader here, three there
  for (int seq = 0; seq < 6; ++seq) t.whole(seq, 90 + static_cast<std::uint64_t>(seq), 5000, 4800);
}

TEST_CASE("a cell with few writers keeps only an even part of what its readers feed") {
  Trace t("uneven_cells", small_deployment(), 3, 4);
  t.listed(2, WorkerStatus::ready, 0, 0, 1);
  for (int w = 4; w < 7; ++w)
    t.listed(w, WorkerStatus::ready, 1, 0, 1);  // 2 readers, 1 writer; 1 reader, 3 writers
  for (int seq = 0; seq < 8; ++seq) t.whole(seq, 0, 3000);
}

TEST_CASE("a read that was late makes the next time-out longer") {
  Trace t("late_learned", small_deployment(), 1, 1);
  t.until(100);
  t.came(0, 0, 3000);
  t.until(1240);
  t.ended(0, 0, Outcome::timed_out);
  t.left(0);
  t.ended(0, 1, Outcome::cancelled);
  t.until(4500);
  t.came(1, 0, 3000);
}

TEST_CASE("no readers: mixed workers do both with one attempt") {
  PolicySettings d = small_deployment();
  d.kinds[1].role = Role::mixed;
  Trace t("mixed_only", d, 0, 2);
  t.came(0, 0, 3000);
  t.until(100);
  t.began(0, 0);
  t.ended(0, 0, Outcome::generated);
}

TEST_CASE("an empty list, and a list that must be asked for") {
  PolicySettings d = small_deployment();
  d.needs_subscription = true;
  d.subscription_lifetime = 1000 * kMs;
  d.send_retry_after = true;
  Trace t("empty_list", d, 0, 0);
  t.came(0, 0, 3000);
  t.until(1000);
}

}  // namespace cressrill::testing
