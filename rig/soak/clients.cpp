#include "clients.h"

#include <fmt/format.h>

#include <climits>

namespace cressrill::rig::soak {

using io::kMs;

namespace {
constexpr io::Nanos kPatience = 9 * io::kSecond;  // of a client that does not leave
}  // namespace

Clients::Clients(io::Loop& loop, Recorder& record, std::uint64_t seed, int longest_budget_ms,
                 std::function<std::optional<Door>()> door)
    : loop_(loop),
      record_(record),
      random_(seed),
      door_(std::move(door)),
      longest_budget_ms_(longest_budget_ms),
      scope_(loop) {}

void Clients::start(int clients) {
  for (int i = 0; i < clients; ++i) scope_.spawn(client());
}

io::Task<> Clients::client() {
  ++running_;
  while (!stopping_) {
    co_await visit(door_(), {.stays = between(0, 3) == 0});
    co_await loop_.sleep_for(between(5, 120) * kMs);
  }
  --running_;
}

void Clients::press(const Door& door, int connections, io::Nanos span) {
  for (int i = 0; i < connections; ++i) {
    const io::Nanos after = between(0, static_cast<int>(span / kMs)) * kMs;
    const io::Nanos waits_for = between(0, 1) == 0 ? 0 : between(0, 2000) * kMs;
    scope_.spawn(press_once(door, after, {.stays = true, .waits_for = waits_for}));
  }
}

io::Task<> Clients::press_once(Door door, io::Nanos after, Manner manner) {
  ++running_;
  co_await loop_.sleep_for(after);
  if (!stopping_) co_await visit(door, manner);
  --running_;
}

// One connection, with some requests on it.
io::Task<> Clients::visit(std::optional<Door> door, Manner manner) {
  if (!door) co_return;
  io::Socket socket;
  const auto made =
      co_await io::with_deadline(loop_, loop_.now() + 1000 * kMs, io::connect(loop_, door->address, socket));
  if (!made || !made->ok()) co_return;  // refused: its front deals it out again
  if (between(0, 19) == 0) {
    co_await disturb(socket, *door);
    co_return;
  }
  http::MessageReader reader(socket, http::MessageKind::response);
  co_await loop_.sleep_for(manner.waits_for);
  const int requests = manner.stays ? INT_MAX : between(1, 4);
  for (int i = 0; i < requests && !stopping_; ++i) {
    const bool rests = i > 0 && between(0, manner.stays ? 19 : 4) == 0;
    if (rests) co_await loop_.sleep_for(between(500, 6000) * kMs);
    if (!co_await ask(socket, reader, *door, i == 0 && manner.waits_for == 0)) co_return;
  }
}

std::string Clients::request(const std::string& id, const std::string& kind, int budget_ms) {
  const std::string body = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")" +
                           std::string(static_cast<std::size_t>(between(100, 6000)), 'w') + "\"}]}";
  return fmt::format(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n"
      "X-Caller: acme\r\nX-Route-Hash: {:x}\r\nX-Budget-Ms: {}\r\n"
      "X-Call-Info: prompt_len={},prefix_len=0,max_out=50\r\nContent-Length: {}\r\n\r\n{}",
      id, kind, random_() % 50 + 1, budget_ms, body.size() / 4, body.size(), body);
}

// Whether the connection can be used again.
io::Task<bool> Clients::ask(io::Socket& socket, http::MessageReader& reader, const Door& door, bool first) {
  static constexpr const char* kKinds[] = {"chat", "chat", "order", "pay"};
  const std::string id = fmt::format("c{}", ++next_id_), kind = kKinds[between(0, 3)];
  const int budget_ms = between(400, longest_budget_ms_);
  const std::string text = request(id, kind, budget_ms);
  const io::Nanos began = loop_.update_now();
  if (!co_await write(socket, text, between(0, 19) == 0)) {
    co_return false;  // the router ended the connection first: it is sent elsewhere, under a new id
  }
  record_.note("sent", {{"id", id},
                        {"kind", kind},
                        {"budget_ms", budget_ms},
                        {"router", door.router},
                        {"first", first},
                        {"began", began}});
  Departure departure = draw_departure();
  const auto whole = co_await until_departure(id, departure, read_answer(reader, id, first));
  if (whole) co_return *whole;
  if (departure.leaves) {
    socket.close();
    loop_.update_now();
    record_.note("left", {{"id", id}, {"cue", std::string(1, static_cast<char>(departure.cue))}});
  } else {
    record_.note("no_answer", {{"id", id}, {"how", "nothing came"}});
  }
  co_return false;
}

// One in twelve leaves by chance; one in six as a worker answers, half of these a moment after.
Clients::Departure Clients::draw_departure() {
  static constexpr Cue kCues[] = {Cue::before_prefill_answer, Cue::after_prefill_answer,
                                  Cue::before_decode_answer, Cue::after_decode_answer};
  const int manner = between(0, 11);
  Departure out{.leaves = manner == 0, .at = loop_.now() + kPatience};
  if (manner == 0) out.at = loop_.now() + between(1, 400) * kMs;
  if (manner != 1 && manner != 2) return out;
  out.cue = kCues[between(0, 3)];
  out.after_cue = between(0, 1) == 0 ? 0 : between(0, 2000) * io::kMicrosecond;
  return out;
}

void Clients::cued(Cue cue, const std::string& id) {
  const auto wait = cue_waits_.find(id);
  if (wait != cue_waits_.end() && wait->second->departure.cue == cue) wait->second->came.notify();
}

// Whether the connection can be used again, or nothing where its client leaves first.
io::Task<std::optional<bool>> Clients::until_departure(const std::string& id, Departure& departure,
                                                       io::Task<bool> answer) {
  if (departure.cue == Cue::none)
    co_return co_await io::with_deadline(loop_, departure.at, std::move(answer));
  std::optional<bool> whole;
  io::Signal over(loop_);
  CueWait wait{departure, io::Signal(loop_)};
  cue_waits_[id] = &wait;
  io::Scope both(loop_);
  both.spawn([](io::Task<bool> task, std::optional<bool>& to, io::Signal& done) -> io::Task<> {
    to = co_await std::move(task);
    done.notify();
  }(std::move(answer), whole, over));
  both.spawn([](io::Loop& loop, CueWait& cue, io::Signal& done) -> io::Task<> {
    co_await cue.came.wait();
    if (cue.departure.after_cue > 0) co_await loop.sleep_for(cue.departure.after_cue);
    cue.departure.leaves = true;
    done.notify();
  }(loop_, wait, over));
  co_await io::wait_until(loop_, over, departure.at);
  both.cancel();
  cue_waits_.erase(id);
  co_return whole;
}

io::Task<bool> Clients::write(io::Socket& socket, std::string_view text, bool slowly) {
  if (!slowly) co_return (co_await socket.write_all(text)).ok();
  while (!text.empty()) {
    const std::size_t some = std::min(text.size(), text.size() / 4 + 30);
    if (!(co_await socket.write_all(text.substr(0, some))).ok()) co_return false;
    text.remove_prefix(some);
    co_await loop_.sleep_for(between(20, 150) * kMs);
  }
  co_return true;
}

// Whether it came to its end, and more may be asked.
io::Task<bool> Clients::read_answer(http::MessageReader& reader, const std::string& id, bool first) {
  http::Head head;
  http::MessageError fault = co_await reader.read_head(head);
  if (fault != http::MessageError::none) {
    // On a kept connection the router's end may have crossed the request, which it has not read then.
    const bool may_have_crossed = !first && fault == http::MessageError::closed;
    record_.note(may_have_crossed ? "crossed" : "no_answer", {{"id", id}, {"how", http::to_string(fault)}});
    co_return false;
  }
  const int status = head.status;
  if (status == 200) record_.note("answer", {{"id", id}, {"status", status}});
  http::SseParser events;
  int index = 0;
  while (reader.has_more()) {
    std::span<const std::string_view> pieces;
    fault = co_await reader.read_body_pieces(pieces);
    for (const std::string_view piece : pieces) {
      events.feed(piece);
      while (events.next()) record_.note("event_read", {{"id", id}, {"index", index++}});
    }
    if (fault != http::MessageError::none) break;
  }
  if (status != 200) record_.note("answer", {{"id", id}, {"status", status}});
  if (status == 200 && fault != http::MessageError::none) record_.note("stream_cut", {{"id", id}});
  co_return fault == http::MessageError::none&& head.keep_alive;
}

// Owed an error or a close within 3 s.
io::Task<> Clients::disturb(io::Socket& socket, const Door& door) {
  static constexpr std::string_view kTexts[] = {
      "\x16\x03\x01 hello\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -4\r\n\r\nbody",
      "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-", "GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n"};
  const io::Nanos began = loop_.now();
  co_await socket.write_all(kTexts[static_cast<std::size_t>(between(0, 3))]);
  http::MessageReader reader(socket, http::MessageKind::response);
  http::Head head;
  const auto fault = co_await io::with_deadline(loop_, began + 3500 * kMs, reader.read_head(head));
  if (!fault) record_.note("unanswered_disturber", {{"router", door.router}});
}

}  // namespace cressrill::rig::soak
