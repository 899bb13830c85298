#include "client.h"

#include <fmt/format.h>

namespace cressrill::rig {

using nlohmann::json;

namespace {

constexpr io::Nanos kPatience =
    400 * io::kMs;  // how long past its time a client listens, to catch a late answer
constexpr io::Nanos kWholeTakes =
    30 * io::kSecond;  // a whole answer comes at its end: its first token is not seen

// Checks that the stand-ins' tokens come whole and in order: "t0 t1 t2 ".
class TokenCheck {
 public:
  void add(std::string_view text) {
    while (!text.empty()) {
      const std::string want = "t" + std::to_string(count_) + " ";
      if (!text.starts_with(want)) {
        ok_ = false;
        return;
      }
      text.remove_prefix(want.size());
      ++count_;
    }
  }
  std::size_t count() const { return count_; }
  bool ok() const { return ok_; }

 private:
  std::size_t count_{};
  bool ok_{true};
};

std::string text_of(const json& choice) {
  if (choice.contains("text")) return choice.value("text", "");
  for (const char* part : {"delta", "message"})
    if (choice.contains(part)) return choice[part].value("content", "");
  return "";
}

void take_event(std::string_view data, Heard& to, TokenCheck& check, bool& ended) {
  if (data == "[DONE]") {
    if (to.how.empty()) to.how = "generated";
    ended = true;
    return;
  }
  const json all = json::parse(data, nullptr, false);
  if (all.is_object() && all.contains("error")) {
    to.how = ended ? "garbled" : "broken";
    ended = true;
    return;
  }
  if (ended || !all.is_object() || !all.contains("choices")) {
    to.how = "garbled";
    return;
  }
  for (const json& choice : all["choices"]) check.add(text_of(choice));
}

}  // namespace

io::Task<Heard> ask(io::Loop& loop, Recorder& record, Question q) {
  const io::Nanos asked = loop.now();
  Heard out;
  const auto done = [&](const char* how, Recorder::Line more = Recorder::Line::object()) {
    out.how = how;
    out.took = loop.now() - asked;
    Recorder::Line line{
        {"id", q.id},          {"sequence", q.sequence}, {"router", q.router}, {"type", q.type},
        {"how", how},          {"status", out.status},   {"first", out.first}, {"took", out.took},
        {"tokens", out.tokens}};
    line.update(more);
    record.note("final", std::move(line));
    return out;
  };
  io::Socket socket;
  const auto connected =
      co_await io::with_deadline(loop, asked + io::kSecond, io::connect(loop, q.at, socket));
  if (!connected || !connected->ok()) {
    out.took = loop.now() - asked;
    out.how = "unreached";
    record.note("unreached",
                {{"id", q.id}, {"sequence", q.sequence}, {"router", q.router}, {"type", q.type}});
    co_return out;
  }
  std::string fields =
      fmt::format("content-type: application/json\r\nx-request-id: {}\r\nx-abandon-after-ms: {}\r\n", q.id,
                  q.abandon / io::kMs);
  if (!q.key.empty()) fields += "authorization: Bearer " + q.key + "\r\n";
  if (!q.mark.empty()) fields += "idempotency-key: " + q.mark + "\r\n";
  const std::string text = http::format_request("POST", q.path, q.at.to_string(), fields, q.body);
  record.note("asked", {{"id", q.id},
                        {"sequence", q.sequence},
                        {"router", q.router},
                        {"type", q.type},
                        {"mark", q.mark},
                        {"whole", !q.stream},
                        {"abandon", q.abandon},
                        {"slo", q.slo}});
  http::MessageReader reader(socket, http::MessageKind::response);
  const io::IoResult moved = co_await socket.write_all(text);
  if (!moved.ok()) co_return done("cut");
  const io::Nanos deadline = asked + q.abandon + kPatience + (q.stream ? 0 : kWholeTakes);
  http::Head head;
  const auto headed = co_await io::with_deadline(loop, deadline, reader.read_head(head));
  if (!headed) co_return done("silent");
  if (*headed != http::MessageError::none) co_return done("cut");
  out.status = head.status;
  if (const auto after = head.field("retry-after-ms"))
    out.retry_after = std::atoll(std::string(*after).c_str()) * io::kMs;
  TokenCheck check;
  if (head.status == 200 && q.stream) {
    http::SseParser events;
    bool ended = false;
    io::Nanos leave_at = INT64_MAX;
    while (reader.has_more()) {
      std::span<const std::string_view> pieces;
      const io::Nanos until = out.first == 0 ? deadline : std::min(leave_at, loop.now() + 60 * io::kSecond);
      const auto got = co_await io::with_deadline(loop, until, reader.read_body_pieces(pieces));
      if (!got) {
        out.tokens = check.count();
        co_return done(out.first == 0 ? "silent" : "left");
      }
      if (out.first == 0 && !pieces.empty()) {
        out.first = loop.now() - asked;
        if (q.on_first) q.on_first();
        if (q.leave_after_first > 0) leave_at = loop.now() + q.leave_after_first;
      }
      for (const std::string_view piece : pieces) {
        events.feed(piece);
        while (const auto data = events.next()) take_event(*data, out, check, ended);
      }
      if (*got != http::MessageError::none && out.how.empty()) {
        out.tokens = check.count();
        co_return done("cut");
      }
      if (*got != http::MessageError::none) break;
    }
    out.tokens = check.count();
    if (events.pending_bytes() > 0 || reader.has_leftover() || !check.ok()) co_return done("garbled");
    co_return done(out.how.empty() ? "cut" : std::string(out.how).c_str());
  }
  std::string body;
  const auto rest = co_await io::with_deadline(loop, deadline + 60 * io::kSecond, reader.read_body(body));
  if (!rest || *rest != http::MessageError::none) co_return done("cut");
  const json all = json::parse(body, nullptr, false);
  if (head.status == 200) {
    out.first = loop.now() - asked;
    if (all.is_object() && all.contains("choices"))
      for (const json& choice : all["choices"]) check.add(text_of(choice));
    out.tokens = check.count();
    co_return done(check.ok() && check.count() > 0 && !reader.has_leftover() ? "generated" : "garbled");
  }
  const std::string code = all.is_object() && all.contains("error") && all["error"].is_object()
                               ? all["error"].value("code", "")
                               : "";
  if (reader.has_leftover() || code.empty()) co_return done("garbled");
  if (head.status == 503) co_return done("rejected");
  co_return done(head.status < 500 ? "refused" : "aborted", {{"code", code}});
}

}  // namespace cressrill::rig
