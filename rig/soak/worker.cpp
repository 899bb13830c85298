#include "worker.h"

#include <fmt/format.h>

namespace cressrill::rig::soak {

SoakWorker::SoakWorker(io::Loop& loop, const WorkerOptions& options, Recorder& record)
    : loop_(loop),
      options_(options),
      record_(record),
      random_(options.seed),
      cues_(loop, options.cues),
      server_(loop, options.address,
              [this](http::Request& r, http::ResponseWriter& a) { return serve(r, a); }) {
  note("worker_up", "");
}

void SoakWorker::note(const char* event, const std::string& id, Recorder::Line more) {
  Recorder::Line line{{"worker", options_.name}, {"id", id}};
  line.update(more);
  record_.note(event, std::move(line));
}

// Tells of an answer that is about to be written, or has just been.
void SoakWorker::cue(Moment moment, const std::string& id) {
  const bool before = moment == Moment::before;
  if (options_.reads)
    cues_.send(before ? Cue::before_prefill_answer : Cue::after_prefill_answer, id);
  else
    cues_.send(before ? Cue::before_decode_answer : Cue::after_decode_answer, id);
}

io::Task<> SoakWorker::serve(http::Request& request, http::ResponseWriter& answer) {
  const std::string target(request.head.target);
  if (request.head.method == "DELETE") {
    note("released", target.substr(target.rfind('/') + 1));
    co_await answer.respond(204, "", "");
    co_return;
  }
  const std::string id(request.head.field("x-call-id").value_or("none"));
  const std::string budget(request.head.field("x-budget-ms").value_or("0"));
  const std::uint64_t number = ++posts_;
  Recorder::Line facts{{"number", number},
                       {"reads", options_.reads},
                       {"budget_ms", std::stoll(budget)},
                       {"came", request.received_at}};
  note("post", id, std::move(facts));
  // Its attempt ends as soon as its connection does, whatever it does then.
  bool ended = false;
  io::Scope watch(loop_);
  watch.spawn([](SoakWorker& worker, std::string of, std::uint64_t n, http::ResponseWriter& to,
                 bool& over) -> io::Task<> {
    co_await to.wait_for_client_close();
    over = true;
    worker.note("post_end", of, {{"number", n}});
  }(*this, id, number, answer, ended));
  co_await call(id, number, answer);
  if (!ended) note("post_end", id, {{"number", number}});
}

io::Task<> SoakWorker::call(const std::string& id, std::uint64_t number, http::ResponseWriter& answer) {
  const bool failed = co_await fail(id, number, answer);
  if (failed) co_return;
  if (options_.reads)
    co_await read(id, answer);
  else
    co_await write(id, answer);
}

// Whether it failed this request.
io::Task<bool> SoakWorker::fail(const std::string& id, std::uint64_t number, http::ResponseWriter& answer) {
  const double drawn = chance() / options_.failing;
  if (drawn >= 1) co_return false;
  const io::Nanos delay = between(0, 40);
  co_await loop_.sleep_for(delay);
  cue(Moment::before, id);
  if (drawn < 0.4) {
    note("turned_away", id, {{"number", number}});
    co_await answer.respond(503, "X-Rejected: 1\r\n", "");
  } else if (drawn < 0.6) {
    co_await answer.respond(500, "", "");
  } else if (drawn < 0.8) {
    answer.abort();
  } else {
    co_await loop_.sleep_for(4 * io::kSecond);
    answer.abort();
  }
  cue(Moment::after, id);
  co_return true;
}

io::Task<> SoakWorker::read(const std::string& id, http::ResponseWriter& answer) {
  const io::Nanos work = between(5, 40);
  co_await loop_.sleep_for(work);
  if (answer.socket().peer_closed()) co_return;  // given up: a read stops at a cancel
  note("held", id);
  cue(Moment::before, id);
  co_await answer.respond(202, "X-Load-Report: concurrent=1,x0=0.2\r\n", "{\"cached_tokens\":128}");
  cue(Moment::after, id);
}

io::Task<> SoakWorker::write(const std::string& id, http::ResponseWriter& answer) {
  const io::Nanos work = between(5, 60);
  co_await loop_.sleep_for(work);
  if (answer.socket().peer_closed()) co_return;
  note("fetched", id);
  cue(Moment::before, id);
  if (!co_await answer.begin_stream(200, "content-type: text/event-stream\r\n")) co_return;
  const int events = static_cast<int>(between(2, 12) / io::kMs);
  for (int i = 0; i < events; ++i) {
    Recorder::Line index{{"index", i}};
    note("event", id, std::move(index));
    const std::string event =
        fmt::format("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{}\"}}}}]}}\n\n", i);
    if (!co_await answer.write_chunk(event)) co_return;
    if (i == 0) cue(Moment::after, id);
    const io::Nanos step = between(5, 40);
    co_await loop_.sleep_for(step);
  }
  co_await answer.end_stream("data: [DONE]\n\n");
}

}  // namespace cressrill::rig::soak
