#include "host.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cressrill::router {

namespace {

constexpr std::size_t kOutbox = 64 * 1024;       // bytes that may wait for one client
constexpr std::size_t kEvent = 1024 * 1024;      // bytes of one event
constexpr std::size_t kWhole = 8 * 1024 * 1024;  // bytes of a whole answer
constexpr std::string_view kJson = "content-type: application/json\r\n";
constexpr std::string_view kEvents = "content-type: text/event-stream\r\ncache-control: no-cache\r\n";

const char* word(Outcome outcome) {
  static constexpr const char* words[] = {"generated", "read",      "error",          "full",
                                          "no_state",  "timed_out", "connect_failed", "connection_lost",
                                          "cancelled", "not_sent"};
  return words[static_cast<int>(outcome)];
}

// A value that may stand in a header line of ours.
std::string clean(std::string_view text, std::size_t most = 128) {
  std::string out;
  for (const char c : text.substr(0, most))
    if (c > ' ' && c < 127) out.push_back(c);
  return out;
}

}  // namespace

const char* word(Final final) {
  static constexpr const char* words[] = {"none",    "generated", "rejected",
                                          "aborted", "broken",    "engine_refused"};
  return words[static_cast<int>(final)];
}

Host::Host(io::Loop& loop, const core::Station& station, core::Log& log, core::Counters& counters,
           std::uint64_t seed, const MakePolicy& make)
    : loop_(loop),
      station_(station),
      log_(log),
      counters_(counters),
      fleet_(loop, station, log),
      posted_(loop),
      policy_(make(station.deployment, seed, loop.now(), *this)),
      errands_(loop),
      pump_(loop) {
  pump_.spawn(pump());
}

Host::~Host() {
  pump_.cancel();
  errands_.cancel();
  for (const auto& ask : asks_)
    if (ask)
      for (const auto& run : ask->runs) run->scope.cancel();
}

// Inputs.

void Host::put(Input input) {
  inbox_.push_back(std::move(input));
  posted_.notify();
}

io::Task<> Host::pump() {
  for (;;) {
    co_await posted_.wait();
    while (!inbox_.empty()) {
      std::swap(inbox_, telling_);
      for (Input& input : telling_) tell(input);
      telling_.clear();
    }
  }
}

void Host::tell(Input& input) {
  const Nanos now = loop_.now();
  switch (input.what) {
    case Input::What::list:
      return fleet_.take(*input.list, *policy_);
    case Input::What::list_failed:
      return policy_->list_failed(now);
    case Input::What::woke:
      return policy_->woke(now);
    default:
      break;
  }
  Ask& ask = *input.ask;
  if (asks_[static_cast<std::size_t>(ask.seq)].get() != &ask) return;  // forgotten meanwhile
  switch (input.what) {
    case Input::What::came:
      policy_->sequence_came(now, ask.seq, ask.judged.type, ask.judged.tenant, ask.facts.session,
                             ask.facts.beginning, ask.judged.prompt, ask.judged.beginning, ask.judged.max_out,
                             ask.abandon_at);
      break;
    case Input::What::client_left:
      policy_->client_left(now, ask.seq);
      // A stream that nobody reads ends; no one can cancel it but its host.
      if (ask.bound >= 0) end(ask, ask.bound, Outcome::cancelled);
      break;
    case Input::What::began: {
      const Run& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
      // The fetch took the state; what else is held for the sequence is of no more use.
      for (std::size_t k = 0; k < ask.runs.size(); ++k) {
        if (static_cast<int>(k) == run.takes) ask.runs[k]->holds_state = false;
        if (ask.runs[k]->holds_state) release(ask, static_cast<int>(k));
      }
      // No further attempt will need the body; another that is still out may be writing it.
      if (std::ranges::none_of(ask.runs, [&](const auto& r) { return r->out && r.get() != &run; })) {
        ask.facts.passed_on.clear();
        std::string().swap(ask.facts.body);
      }
      policy_->stream_began(now, ask.seq, input.attempt, now - run.sent);
      if (ask.client_left) end(ask, input.attempt, Outcome::cancelled);
      break;
    }
    case Input::What::ended:
      tell_ended(ask, input);
      break;
    default:
      break;
  }
}

void Host::tell_ended(Ask& ask, const Input& input) {
  Run& run = *ask.runs[static_cast<std::size_t>(input.attempt)];
  if (!run.out) return;
  run.out = false;
  run.scope.cancel();
  const bool refused_by_engine = ask.engine_status != 0 && ask.final == Final::none;
  if (ask.bound == input.attempt)
    settle(ask, input.outcome == Outcome::generated ? Final::generated : Final::broken);
  else if (refused_by_engine)
    settle(ask, Final::engine_refused);
  // A read that was left may leave a state behind that no one will be told of.
  if (run.reads && (input.outcome == Outcome::cancelled || input.outcome == Outcome::timed_out))
    release(ask, input.attempt);
  counters_.attempt(run.reads ? "read" : "write", word(input.outcome));
  log_.debug("attempt ended", {{"sequence", ask.id},
                               {"attempt", input.attempt},
                               {"worker", fleet_.at(run.worker).listed.name},
                               {"stage", run.reads ? "read" : "write"},
                               {"outcome", word(input.outcome)},
                               {"took_ms", (loop_.now() - run.sent) / io::kMs},
                               {"kept", input.kept}});
  policy_->attempt_ended(loop_.now(), ask.seq, input.attempt, input.outcome, loop_.now() - run.sent,
                         ask.final != Final::none || ask.client_left, input.kept, input.report);
}

void Host::listed(const core::WorkerList& list) {
  put({.what = Input::What::list, .ask = {}, .list = std::make_shared<const core::WorkerList>(list)});
}
void Host::list_failed() { put({.what = Input::What::list_failed, .ask = {}, .list = {}}); }

// Actions.

void Host::send(int seq, int worker, Nanos timeout) {
  const std::shared_ptr<Ask>& ask = asks_[static_cast<std::size_t>(seq)];
  const int k = static_cast<int>(ask->runs.size());
  ask->runs.push_back(std::make_unique<Run>(loop_, worker, fleet_.role(worker) == Role::reader));
  Run& run = *ask->runs.back();
  run.sent = loop_.now();
  run.deadline = timeout > 0 ? std::min(ask->abandon_at, run.sent + timeout) : ask->abandon_at;
  if (!run.reads && ask->state_run >= 0 && ask->runs[static_cast<std::size_t>(ask->state_run)]->holds_state)
    run.takes = ask->state_run;
  run.scope.spawn(attempt(ask, k));
  run.scope.spawn(out_of_time(ask, k));
}

void Host::let_go(int seq) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  for (std::size_t k = 0; k < ask.runs.size(); ++k) {
    const bool awaited = std::ranges::any_of(
        ask.runs, [&](const auto& r) { return r->out && !r->ended && r->takes == static_cast<int>(k); });
    if (ask.runs[k]->holds_state && !awaited) release(ask, static_cast<int>(k));
  }
}

void Host::cancel(int seq, int attempt) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  const Run& run = *ask.runs[static_cast<std::size_t>(attempt)];
  if (!run.begun) end(ask, attempt, Outcome::cancelled);
}

void Host::reject(int seq, Nanos retry_after) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  ask.retry_after = retry_after;
  if (ask.bound < 0) settle(ask, Final::rejected);  // once a stream flows, it is the answer
}

void Host::abort(int seq) {
  Ask& ask = *asks_[static_cast<std::size_t>(seq)];
  if (ask.bound < 0) settle(ask, Final::aborted);
}

void Host::wake(Nanos after) {
  errands_.spawn([](Host& host, Nanos at) -> io::Task<> {
    co_await host.loop_.sleep_until(at);
    host.put({.what = Input::What::woke, .ask = {}, .list = {}});
  }(*this, loop_.now() + after));
}

void Host::forget_sequence(int seq) {
  asks_[static_cast<std::size_t>(seq)].reset();
  free_.push_back(seq);
  counters_.live(--live_);
}

const std::string& Host::type_name(const Ask& ask) const {
  return station_.types[static_cast<std::size_t>(ask.judged.type)].name;
}

void Host::settle(Ask& ask, Final final) {
  if (ask.final != Final::none) return;
  ask.final = final;
  ask.news.notify();
  counters_.answered(type_name(ask), word(final));
  log_.info("answered", {{"sequence", ask.id},
                         {"answer", word(final)},
                         {"type", type_name(ask)},
                         {"attempts", ask.runs.size()},
                         {"took_ms", (loop_.now() - ask.came) / io::kMs}});
}

// Attempts.

void Host::end(Ask& ask, int k, Outcome outcome, double kept, const Report& report) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  if (run.ended) return;
  run.ended = true;
  put({Input::What::ended, asks_[static_cast<std::size_t>(ask.seq)], k, outcome, kept, report, {}});
}

io::Task<> Host::out_of_time(std::shared_ptr<Ask> ask, int k) {
  const Run& run = *ask->runs[static_cast<std::size_t>(k)];
  co_await loop_.sleep_until(run.deadline);
  if (!run.begun) co_return end(*ask, k, Outcome::timed_out);
  // A stream has no deadline, but one that stands still has broken: its engine hangs, or its client reads nothing.
  while (loop_.now() - run.heard < station_.stall) co_await loop_.sleep_until(run.heard + station_.stall);
  end(*ask, k, Outcome::connection_lost);
}

io::Task<> Host::attempt(std::shared_ptr<Ask> ask, int k) {
  Run& run = *ask->runs[static_cast<std::size_t>(k)];
  Link& link = fleet_.at(run.worker);
  for (;;) {
    http::Lease lease(link.pool);
    if (!co_await lease.take()) co_return end(*ask, k, Outcome::connect_failed);
    // Rule 3, for a drain that was told after the decision, while the connection was being made.
    if (link.not_ready_since > run.sent && loop_.now() - link.not_ready_since > station_.drain_grace / 2)
      co_return end(*ask, k, Outcome::not_sent);
    const io::Moved moved = co_await send_to(*ask, k, *lease);
    if (!moved.ok()) {
      // Nothing left this machine: a kept connection was stale, and another is made. Else it may be running.
      if (moved.bytes == 0 && lease->used_before) continue;
      co_return end(*ask, k, moved.bytes == 0 ? Outcome::connect_failed : Outcome::connection_lost);
    }
    http::Head head;
    http::Fault fault = co_await lease->reader->head(head);
    if (fault != http::Fault::none) co_return end(*ask, k, Outcome::connection_lost);
    const Report report = read_load(head);
    if (run.reads || head.status != 200) {
      std::string body;
      fault = co_await lease->reader->rest(body);
      if (fault != http::Fault::none) co_return end(*ask, k, Outcome::connection_lost);
      if (head.keep_alive) lease.keep();
      co_return read_answered(*ask, k, head.status, body, report);
    }
    const bool whole = co_await stream(*ask, k, *lease, report);
    if (whole && head.keep_alive) lease.keep();
    co_return;
  }
}

// In a coroutine of its own: what it builds is gone while the stream flows.
io::Task<io::Moved> Host::send_to(Ask& ask, int k, http::Connection& connection) {
  const Run& run = *ask.runs[static_cast<std::size_t>(k)];
  core::EngineBody body;
  if (run.reads)
    core::read_body(ask.facts, body);
  else
    core::write_body(
        ask.facts, run.takes < 0 ? std::string_view() : ask.runs[static_cast<std::size_t>(run.takes)]->state,
        body);
  const std::string fields =
      fmt::format("{}x-request-id: {}-{}\r\nx-attempt: {}\r\n", ask.engine_fields, ask.id, k, k);
  const char* path = ask.facts.api == core::Api::chat ? "/v1/chat/completions" : "/v1/completions";
  const std::string head =
      http::request_head("POST", path, fleet_.at(run.worker).listed.address, fields, body.bytes);
  body.parts.insert(body.parts.begin(), head);
  co_return co_await connection.socket.write_all(body.parts);
}

void Host::read_answered(Ask& ask, int k, int status, const std::string& body, const Report& report) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  if (status != 200) {
    const Refusal refusal = read_refusal(status, body);
    if (refusal.for_client && ask.final == Final::none && ask.bound < 0) {
      ask.engine_status = status, ask.engine_body = body;
      return end(ask, k, Outcome::generated, 0, report);
    }
    if (refusal.outcome == Outcome::no_state && run.takes >= 0)
      ask.runs[static_cast<std::size_t>(run.takes)]->holds_state = false;
    return end(ask, k, refusal.outcome, 0, report);
  }
  const std::optional<ReadAnswer> answer = read_read_answer(body);
  if (!answer) return end(ask, k, Outcome::error, 0, report);
  if (run.ended) return;
  run.holds_state = true;
  run.state = answer->state, ask.state_run = k;
  if (!ask.facts.prompt_tokens)
    estimate_.learn(ask.facts.model, ask.facts.prompt_bytes, ask.facts.messages, answer->prompt_tokens);
  end(ask, k, Outcome::read_done, answer->kept, report);
}

// Passes a stream on. True when it came to its proper end.
io::Task<bool> Host::stream(Ask& ask, int k, http::Connection& connection, const Report& report) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  http::Events events;
  double kept = 0;
  bool done = false;
  while (connection.reader->more()) {
    std::span<const std::string_view> pieces;
    const http::Fault fault = co_await connection.reader->pieces(pieces);
    run.heard = loop_.now();
    for (const std::string_view piece : pieces) {
      events.feed(piece);
      while (const auto data = events.next()) {
        if (*data == "[DONE]") {
          done = true;
          continue;
        }
        // A whole answer is put together from the one stream that it is bound to.
        const StreamChunk chunk = read_chunk(*data, run.begun && !ask.facts.stream ? &ask.whole : nullptr);
        if (!chunk.readable || chunk.error || ask.whole.bytes() > kWhole) {
          end(ask, k, Outcome::error, 0, report);
          co_return false;
        }
        if (chunk.kept > 0) kept = chunk.kept;
        if (chunk.content && !run.begun) {
          if (run.ended || ask.bound >= 0 || ask.final != Final::none || ask.client_left) {
            end(ask, k, Outcome::cancelled);
            co_return false;
          }
          ask.bound = k, run.begun = true;
          counters_.first_token(
              type_name(ask), static_cast<double>(loop_.now() - ask.came) / static_cast<double>(io::kSecond));
          put({Input::What::began, asks_[static_cast<std::size_t>(ask.seq)], k, {}, 0, {}, {}});
          if (!ask.facts.stream) read_chunk(*data, &ask.whole);
        }
        if (ask.facts.stream && (!chunk.usage_only || ask.facts.include_usage)) {
          ask.outbox.append("data: ").append(*data).append("\n\n");
          ask.news.notify();
        }
      }
      if (events.partial() > kEvent) {
        end(ask, k, Outcome::error, 0, report);
        co_return false;
      }
    }
    if (fault != http::Fault::none) break;
    while (ask.outbox.size() > kOutbox) co_await ask.drained.wait();
  }
  const bool whole = done && !connection.reader->more();
  end(ask, k, whole && run.begun ? Outcome::generated : Outcome::connection_lost, kept, report);
  co_return whole;
}

// Tells a reader to let go of what a read left there.
void Host::release(Ask& ask, int k) {
  Run& run = *ask.runs[static_cast<std::size_t>(k)];
  run.holds_state = false;
  Link& link = fleet_.at(run.worker);
  const std::string body = nlohmann::json{{"request_id", fmt::format("{}-{}", ask.id, k)}}.dump();
  counters_.let_go();
  errands_.spawn(
      release_at(link.pool, http::request_text("POST", "/v1/kv/release", link.listed.address, kJson, body)));
}

io::Task<> Host::release_at(std::shared_ptr<http::Pool> pool, std::string text) {
  // Told again for a while: a reader that cannot be reached may be busy, or gone with all that it held.
  for (int i = 0; i < 4; ++i) {
    const auto told = co_await io::within(loop_, loop_.now() + station_.deployment.pin_limit / 4,
                                          http::exchange(pool, text));
    if (told && told->ok()) co_return;
    co_await loop_.sleep_for(station_.deployment.pin_limit / 20);
  }
}

// Clients.

std::string Host::models() const {
  nlohmann::json list = nlohmann::json::array();
  std::vector<std::string> seen;
  for (const core::TypeRule& t : station_.types)
    for (const std::string& m : t.models)
      if (std::ranges::find(seen, m) == seen.end()) {
        seen.push_back(m);
        list.push_back({{"id", m}, {"object", "model"}, {"created", 0}, {"owned_by", "cressrill"}});
      }
  return nlohmann::json{{"object", "list"}, {"data", list}}.dump();
}

io::Task<> Host::serve(http::Request& request, http::Answer& answer) {
  const http::Head& head = request.head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool chat = path == "/v1/chat/completions", completion = path == "/v1/completions";
  if (path == "/v1/models" && head.method == "GET") {
    co_await answer.whole(200, kJson, models());
    co_return;
  }
  std::optional<core::Refused> refused;
  std::optional<core::Facts> facts;
  std::optional<core::Judged> judged;
  if (!chat && !completion) {
    refused = core::Refused{404, "unknown_url", "", "Nothing is served at " + clean(path) + "."};
  } else if (head.method != "POST") {
    refused = core::Refused{405, "method_not_allowed", "", "Only POST is served here."};
  } else {
    auto read = core::read_sequence(chat ? core::Api::chat : core::Api::completion, std::move(request.body),
                                    head.fields);
    if (auto* r = std::get_if<core::Refused>(&read)) refused = std::move(*r);
    if (auto* f = std::get_if<core::Facts>(&read)) facts = std::move(*f);
  }
  if (facts) {
    auto j = core::judge(station_, estimate_, *facts, path, head.fields);
    if (auto* r = std::get_if<core::Refused>(&j)) refused = std::move(*r);
    if (auto* g = std::get_if<core::Judged>(&j)) judged = *g;
  }
  if (refused) {
    counters_.refused(refused->status);
    const std::string body = refused->body();
    answer.close_after();
    co_await answer.whole(refused->status, kJson, body);
    co_return;
  }
  std::shared_ptr<Ask> ask = take(std::move(*facts), *judged, head);
  Ask& it = *ask;
  co_await converse(it, answer, std::move(ask));
}

std::shared_ptr<Host::Ask> Host::take(core::Facts facts, const core::Judged& judged, const http::Head& head) {
  auto ask = std::make_shared<Ask>(loop_, std::move(facts), judged);
  if (free_.empty()) {
    free_.push_back(static_cast<int>(asks_.size()));
    asks_.emplace_back();
  }
  ask->seq = free_.back();
  free_.pop_back();
  ask->id = clean(head.field("x-request-id").value_or(""), 64);
  if (ask->id.empty()) ask->id = fmt::format("{}-{:x}-{}", station_.name, loop_.now(), ++serial_);
  ask->engine_fields = fmt::format(
      "content-type: application/json\r\nendpoint-load-metrics-format: TEXT\r\nx-router: "
      "{}\r\nx-traffic-type: {}\r\n",
      clean(station_.name), clean(type_name(*ask)));
  if (!station_.tenants.empty())
    ask->engine_fields += fmt::format("x-tenant: {}\r\n",
                                      clean(station_.tenants[static_cast<std::size_t>(judged.tenant)].name));
  if (const auto mark = head.field("idempotency-key"))
    ask->engine_fields += fmt::format("idempotency-key: {}\r\n", clean(*mark, 256));
  ask->came = loop_.now();
  ask->abandon_at = ask->came + judged.abandon_in;
  asks_[static_cast<std::size_t>(ask->seq)] = ask;
  counters_.live(++live_);
  put({Input::What::came, ask, 0, {}, 0, {}, {}});
  return ask;
}

io::Task<> Host::converse(Ask& ask, http::Answer& answer, std::shared_ptr<Ask> self) {
  io::Scope watch(loop_);
  watch.spawn([](Ask& a, http::Answer& to) -> io::Task<> {
    co_await to.peer_gone();
    a.client_left = true;
    a.news.notify();
  }(ask, answer));
  bool begun = false;
  for (;;) {
    if (ask.client_left || answer.broken()) {
      ask.client_left = true;
      ask.drained.notify();
      counters_.answered(type_name(ask), "left");
      log_.info("client left", {{"sequence", ask.id}, {"answer", word(ask.final)}});
      put({Input::What::client_left, std::move(self), 0, {}, 0, {}, {}});
      answer.break_off();
      co_return;
    }
    if (!ask.outbox.empty()) {
      if (!std::exchange(begun, true)) answer.begin_with_part(200, kEvents);
      // The two texts change places, each with its room.
      std::swap(ask.outbox, ask.sending);
      co_await answer.part(ask.sending);
      ask.sending.clear();
      ask.drained.notify();
      continue;
    }
    if (ask.final != Final::none) break;
    co_await ask.news.wait();
  }
  watch.cancel();
  co_await conclude(ask, answer, begun);
}

io::Task<> Host::conclude(Ask& ask, http::Answer& answer, bool begun) {
  const std::string id = fmt::format("x-request-id: {}\r\n", ask.id);
  std::string fields(kJson);
  fields += id;
  if (ask.final == Final::generated) {
    if (!ask.facts.stream) {
      const std::string body = ask.whole.body(ask.facts.api == core::Api::chat);
      co_await answer.whole(200, fields, body);
      co_return;
    }
    if (!begun) answer.begin_with_part(200, kEvents);
    co_await answer.end("data: [DONE]\n\n");
    co_return;
  }
  if (ask.final == Final::engine_refused) {
    co_await answer.whole(ask.engine_status, fields, ask.engine_body);
    co_return;
  }
  const bool late = loop_.now() + station_.deployment.tick * 4 >= ask.abandon_at;
  const int status = ask.final == Final::rejected ? 503 : late && ask.final == Final::aborted ? 504 : 502;
  const char* code = ask.final == Final::rejected ? "rejected"
                     : ask.final == Final::broken ? "stream_broken"
                                                  : "aborted";
  const char* message = ask.final == Final::rejected
                            ? "Not taken now; nothing was done, and trying again is harmless."
                        : ask.final == Final::broken ? "The answer broke off."
                                                     : "Given up; it may have been carried out.";
  const std::string body = core::error_body(status, message, code);
  if (begun) {
    const std::string event = "data: " + body + "\n\n";
    answer.close_after();
    co_await answer.end(event);
    answer.socket().close();
    co_return;
  }
  if (ask.retry_after > 0)
    fields += fmt::format("retry-after: {}\r\nretry-after-ms: {}\r\n",
                          (ask.retry_after + io::kSecond - 1) / io::kSecond,
                          (ask.retry_after + io::kMs - 1) / io::kMs);
  co_await answer.whole(status, fields, body);
}

}  // namespace cressrill::router
