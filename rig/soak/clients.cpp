#include "clients.h"

#include <fmt/format.h>

#include <climits>

namespace cressrill::rig::soak {

using io::kMs;

namespace {
constexpr io::Nanos kResponseTimeout = 9 * io::kSecond;  // of a client that does not leave early
}  // namespace

Clients::Clients(io::Loop& loop, Recorder& record, std::uint64_t seed, int longest_budget_ms,
                 std::function<std::optional<RouterEndpoint>()> pick_router)
    : loop_(loop),
      record_(record),
      random_(seed),
      pick_router_(std::move(pick_router)),
      longest_budget_ms_(longest_budget_ms),
      scope_(loop) {}

void Clients::start(int clients) {
  for (int i = 0; i < clients; ++i) scope_.spawn(client());
}

io::Task<> Clients::client() {
  ++running_;
  while (!stopping_) {
    co_await use_connection(pick_router_(), {.until_closed = random_int(0, 3) == 0});
    co_await loop_.sleep_for(random_int(5, 120) * kMs);
  }
  --running_;
}

void Clients::open_late_connections(const RouterEndpoint& router, int connections, io::Nanos duration) {
  for (int i = 0; i < connections; ++i) {
    const io::Nanos delay = random_int(0, static_cast<int>(duration / kMs)) * kMs;
    const io::Nanos initial_delay = random_int(0, 1) == 0 ? 0 : random_int(0, 2000) * kMs;
    scope_.spawn(run_late_connection(router, delay, {.until_closed = true, .initial_delay = initial_delay}));
  }
}

io::Task<> Clients::run_late_connection(RouterEndpoint router, io::Nanos delay, ConnectionUse use) {
  ++running_;
  co_await loop_.sleep_for(delay);
  if (!stopping_) co_await use_connection(router, use);
  --running_;
}

// Opens one connection and sends some requests on it.
io::Task<> Clients::use_connection(std::optional<RouterEndpoint> router, ConnectionUse use) {
  if (!router) co_return;
  io::Socket socket;
  const auto connected = co_await io::with_deadline(loop_, loop_.now() + 1000 * kMs,
                                                    io::connect(loop_, router->address, socket));
  if (!connected || !connected->ok()) co_return;  // refused: the load balancer would pick another router
  if (random_int(0, 19) == 0) {
    co_await send_malformed(socket, *router);
    co_return;
  }
  http::MessageReader reader(socket, http::MessageKind::response);
  co_await loop_.sleep_for(use.initial_delay);
  const int requests = use.until_closed ? INT_MAX : random_int(1, 4);
  for (int i = 0; i < requests && !stopping_; ++i) {
    const bool pauses = i > 0 && random_int(0, use.until_closed ? 19 : 4) == 0;
    if (pauses) co_await loop_.sleep_for(random_int(500, 6000) * kMs);
    if (!co_await send_request(socket, reader, *router, i == 0 && use.initial_delay == 0)) co_return;
  }
}

std::string Clients::format_chat_request(const std::string& id, const std::string& kind, int budget_ms) {
  const std::string body = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")" +
                           std::string(static_cast<std::size_t>(random_int(100, 6000)), 'w') + "\"}]}";
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n"
      "X-Caller: acme\r\nX-Route-Hash: {:x}\r\nX-Budget-Ms: {}\r\n"
      "X-Call-Info: prompt_len={},prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{}",
      id, kind, random_() % 50 + 1, budget_ms, body.size() / 4, body.size(), body);
}

// Returns whether the connection can be used again.
io::Task<bool> Clients::send_request(io::Socket& socket, http::MessageReader& reader,
                                     const RouterEndpoint& router, bool first_on_connection) {
  static constexpr const char* kKinds[] = {"chat", "chat", "order", "pay"};
  const std::string id = fmt::format("c{}", ++next_id_);
  const std::string kind = kKinds[random_int(0, 3)];
  const int budget_ms = random_int(400, longest_budget_ms_);
  const std::string request_text = format_chat_request(id, kind, budget_ms);
  const io::Nanos started_at = loop_.update_now();
  if (!co_await write(socket, request_text, random_int(0, 19) == 0)) {
    // The router closed the connection first; the request is resent elsewhere under a new id.
    co_return false;
  }
  record_.record("sent", {{"id", id},
                          {"kind", kind},
                          {"budget_ms", budget_ms},
                          {"router", router.name},
                          {"first", first_on_connection},
                          {"began", started_at}});
  Departure departure = draw_departure();
  const auto reusable =
      co_await wait_for_response_or_leave(id, departure, read_response(reader, id, first_on_connection));
  if (reusable) co_return *reusable;
  if (departure.leaves) {
    socket.close();
    loop_.update_now();
    record_.record("left", {{"id", id}, {"cue", std::string(1, static_cast<char>(departure.cue))}});
  } else {
    record_.record("no_answer", {{"id", id}, {"how", "nothing came"}});
  }
  co_return false;
}

// One client in twelve leaves after a random time. One in six leaves when a worker responds: half of these at
// once, the others up to 2 ms later.
Clients::Departure Clients::draw_departure() {
  static constexpr Cue kCues[] = {Cue::before_prefill_response, Cue::after_prefill_response,
                                  Cue::before_decode_response, Cue::after_decode_response};
  const int choice = random_int(0, 11);
  Departure departure{.leaves = choice == 0, .at = loop_.now() + kResponseTimeout};
  if (choice == 0) departure.at = loop_.now() + random_int(1, 400) * kMs;
  if (choice != 1 && choice != 2) return departure;
  departure.cue = kCues[random_int(0, 3)];
  departure.after_cue = random_int(0, 1) == 0 ? 0 : random_int(0, 2000) * io::kMicrosecond;
  return departure;
}

void Clients::on_cue(Cue cue, const std::string& id) {
  const auto wait = cue_waits_.find(id);
  if (wait != cue_waits_.end() && wait->second->departure.cue == cue) wait->second->received.notify();
}

// Returns whether the connection can be used again, or nothing if the client leaves or times out first.
io::Task<std::optional<bool>> Clients::wait_for_response_or_leave(const std::string& id, Departure& departure,
                                                                  io::Task<bool> response) {
  if (departure.cue == Cue::none)
    co_return co_await io::with_deadline(loop_, departure.at, std::move(response));
  std::optional<bool> reusable;
  io::Signal finished(loop_);
  CueWait wait{departure, io::Signal(loop_)};
  cue_waits_[id] = &wait;
  io::Scope waiting_tasks(loop_);
  waiting_tasks.spawn([](io::Task<bool> task, std::optional<bool>& result, io::Signal& done) -> io::Task<> {
    result = co_await std::move(task);
    done.notify();
  }(std::move(response), reusable, finished));
  waiting_tasks.spawn([](io::Loop& loop, CueWait& cue, io::Signal& done) -> io::Task<> {
    co_await cue.received.wait();
    if (cue.departure.after_cue > 0) co_await loop.sleep_for(cue.departure.after_cue);
    cue.departure.leaves = true;
    done.notify();
  }(loop_, wait, finished));
  co_await io::wait_until(loop_, finished, departure.at);
  waiting_tasks.cancel();
  cue_waits_.erase(id);
  co_return reusable;
}

io::Task<bool> Clients::write(io::Socket& socket, std::string_view text, bool in_parts) {
  if (!in_parts) co_return (co_await socket.write_all(text)).ok();
  while (!text.empty()) {
    const std::size_t part_bytes = std::min(text.size(), text.size() / 4 + 30);
    if (!(co_await socket.write_all(text.substr(0, part_bytes))).ok()) co_return false;
    text.remove_prefix(part_bytes);
    co_await loop_.sleep_for(random_int(20, 150) * kMs);
  }
  co_return true;
}

// Returns whether the response is complete and the connection can be used again.
io::Task<bool> Clients::read_response(http::MessageReader& reader, const std::string& id,
                                      bool first_on_connection) {
  http::Head head;
  http::MessageError error = co_await reader.read_head(head);
  if (error != http::MessageError::none) {
    // On a reused connection the router's close may have crossed the request, which it then has not read.
    const bool close_may_have_crossed = !first_on_connection && error == http::MessageError::closed;
    record_.record(close_may_have_crossed ? "crossed" : "no_answer",
                   {{"id", id}, {"how", http::to_string(error)}});
    co_return false;
  }
  const int status = head.status;
  if (status == 200) record_.record("answer", {{"id", id}, {"status", status}});
  http::SseParser events;
  int index = 0;
  while (reader.has_more()) {
    std::span<const std::string_view> pieces;
    error = co_await reader.read_body_pieces(pieces);
    for (const std::string_view piece : pieces) {
      events.feed(piece);
      while (events.next()) record_.record("event_read", {{"id", id}, {"index", index++}});
    }
    if (error != http::MessageError::none) break;
  }
  if (status != 200) record_.record("answer", {{"id", id}, {"status", status}});
  if (status == 200 && error != http::MessageError::none) record_.record("stream_cut", {{"id", id}});
  co_return error == http::MessageError::none&& head.keep_alive;
}

// Sends a malformed request. The router has to respond with an error or close the connection within 3.5 s.
io::Task<> Clients::send_malformed(io::Socket& socket, const RouterEndpoint& router) {
  static constexpr std::string_view kMalformedRequests[] = {
      "\x16\x03\x01 hello\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -4\r\n\r\nbody",
      "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-", "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"};
  const io::Nanos started_at = loop_.now();
  co_await socket.write_all(kMalformedRequests[static_cast<std::size_t>(random_int(0, 3))]);
  http::MessageReader reader(socket, http::MessageKind::response);
  http::Head head;
  const auto error = co_await io::with_deadline(loop_, started_at + 3500 * kMs, reader.read_head(head));
  if (!error) record_.record("unanswered_disturber", {{"router", router.name}});
}

}  // namespace cressrill::rig::soak
