#include "worker.h"

#include <fmt/format.h>

namespace cressrill::rig::soak {

SoakWorker::SoakWorker(io::Loop& loop, const WorkerOptions& options, Recorder& record)
    : loop_(loop),
      options_(options),
      record_(record),
      random_(options.seed),
      cues_(loop, options.cues),
      server_(loop, options.address, [this](http::Request& request, http::ResponseWriter& response) {
        return serve(request, response);
      }) {
  record_event("worker_up", "");
}

void SoakWorker::record_event(const char* event, const std::string& id, Recorder::Line fields) {
  Recorder::Line line{{"worker", options_.name}, {"id", id}};
  line.update(fields);
  record_.record(event, std::move(line));
}

void SoakWorker::send_cue(Moment moment, const std::string& id) {
  const bool before = moment == Moment::before;
  if (options_.is_prefill)
    cues_.send(before ? Cue::before_prefill_response : Cue::after_prefill_response, id);
  else
    cues_.send(before ? Cue::before_decode_response : Cue::after_decode_response, id);
}

io::Task<> SoakWorker::serve(http::Request& request, http::ResponseWriter& response) {
  const std::string target(request.head.target);
  if (request.head.method == "DELETE") {
    record_event("released", target.substr(target.rfind('/') + 1));
    co_await response.respond(204, "", "");
    co_return;
  }
  const std::string id(request.head.field("x-call-id").value_or("none"));
  const std::string budget(request.head.field("x-budget-ms").value_or("0"));
  const std::uint64_t number = ++attempts_;
  Recorder::Line fields{{"number", number},
                        {"reads", options_.is_prefill},
                        {"budget_ms", std::stoll(budget)},
                        {"came", request.received_at}};
  record_event("post", id, std::move(fields));
  // The attempt ends when its connection is closed, even if its task still runs.
  bool ended = false;
  io::Scope connection_watch(loop_);
  connection_watch.spawn([](SoakWorker& worker, std::string request_id, std::uint64_t attempt_number,
                            http::ResponseWriter& watched_response, bool& has_ended) -> io::Task<> {
    co_await watched_response.wait_for_client_close();
    has_ended = true;
    worker.record_event("post_end", request_id, {{"number", attempt_number}});
  }(*this, id, number, response, ended));
  co_await handle_attempt(id, number, response);
  if (!ended) record_event("post_end", id, {{"number", number}});
}

io::Task<> SoakWorker::handle_attempt(const std::string& id, std::uint64_t number,
                                      http::ResponseWriter& response) {
  const bool failed = co_await maybe_fail(id, number, response);
  if (failed) co_return;
  if (options_.is_prefill)
    co_await prefill(id, response);
  else
    co_await decode(id, response);
}

io::Task<bool> SoakWorker::maybe_fail(const std::string& id, std::uint64_t number,
                                      http::ResponseWriter& response) {
  const double failure_draw = random_fraction() / options_.failure_share;
  if (failure_draw >= 1) co_return false;
  const io::Nanos delay = random_delay(0, 40);
  co_await loop_.sleep_for(delay);
  send_cue(Moment::before, id);
  if (failure_draw < 0.4) {
    record_event("turned_away", id, {{"number", number}});
    co_await response.respond(503, "X-Rejected: 1\r\n", "");
  } else if (failure_draw < 0.6) {
    co_await response.respond(500, "", "");
  } else if (failure_draw < 0.8) {
    response.abort();
  } else {
    co_await loop_.sleep_for(4 * io::kSecond);
    response.abort();
  }
  send_cue(Moment::after, id);
  co_return true;
}

io::Task<> SoakWorker::prefill(const std::string& id, http::ResponseWriter& response) {
  const io::Nanos run_time = random_delay(5, 40);
  co_await loop_.sleep_for(run_time);
  if (response.socket().peer_closed())
    co_return;  // the router gave up: a cancelled prefill leaves no KV cache
  record_event("held", id);
  send_cue(Moment::before, id);
  co_await response.respond(202, "X-Load-Report: concurrent=1,x0=0.2\r\n", "{\"cached_tokens\":128}");
  send_cue(Moment::after, id);
}

io::Task<> SoakWorker::decode(const std::string& id, http::ResponseWriter& response) {
  const io::Nanos run_time = random_delay(5, 60);
  co_await loop_.sleep_for(run_time);
  if (response.socket().peer_closed()) co_return;
  record_event("fetched", id);
  send_cue(Moment::before, id);
  if (!co_await response.begin_stream(200, "content-type: text/event-stream\r\n")) co_return;
  const int events = static_cast<int>(random_delay(2, 12) / io::kMs);
  for (int i = 0; i < events; ++i) {
    Recorder::Line index{{"index", i}};
    record_event("event", id, std::move(index));
    const std::string event =
        fmt::format("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{}\"}}}}]}}\n\n", i);
    if (!co_await response.write_chunk(event)) co_return;
    if (i == 0) send_cue(Moment::after, id);
    const io::Nanos event_interval = random_delay(5, 40);
    co_await loop_.sleep_for(event_interval);
  }
  co_await response.end_stream("data: [DONE]\n\n");
}

}  // namespace cressrill::rig::soak
