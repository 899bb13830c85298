#include "client.h"

#include <fmt/format.h>

namespace cressrill::rig {

using nlohmann::json;

namespace {

// How long a client goes on reading after its time limit, so that a late response is recorded.
constexpr io::Nanos kLateResponseGrace = 400 * io::kMs;
// Added to the time limit of a response without a stream: it comes after its last token, and the limit
// applies to the first.
constexpr io::Nanos kCompleteResponseGrace = 30 * io::kSecond;

// Checks that the text of the stand-in engines, "t0 t1 t2 ", arrives complete and in order, and counts its
// tokens.
class TokenCheck {
 public:
  void add(std::string_view text) {
    while (!text.empty()) {
      const std::string expected = "t" + std::to_string(count_) + " ";
      if (!text.starts_with(expected)) {
        ok_ = false;
        return;
      }
      text.remove_prefix(expected.size());
      ++count_;
    }
  }
  std::size_t count() const { return count_; }
  bool ok() const { return ok_; }

 private:
  std::size_t count_{};
  bool ok_{true};
};

// The text of a choice, in any form of OpenAI's API: completion, chat chunk or chat completion.
std::string text_of(const json& choice) {
  if (choice.contains("text")) return choice.value("text", "");
  for (const char* part : {"delta", "message"})
    if (choice.contains(part)) return choice[part].value("content", "");
  return "";
}

// Handles one event of a stream. `ended` is set by the last event: "[DONE]" or an error.
void handle_event(std::string_view data, ClientResult& result, TokenCheck& check, bool& ended) {
  if (data == "[DONE]") {
    if (result.outcome.empty()) result.outcome = "generated";
    ended = true;
    return;
  }
  const json event = json::parse(data, nullptr, false);
  if (event.is_object() && event.contains("error")) {
    result.outcome = ended ? "garbled" : "broken";
    ended = true;
    return;
  }
  if (ended || !event.is_object() || !event.contains("choices")) {
    result.outcome = "garbled";
    return;
  }
  for (const json& choice : event["choices"]) check.add(text_of(choice));
}

}  // namespace

io::Task<ClientResult> send_request(io::Loop& loop, Recorder& record, ClientRequest request) {
  const io::Nanos started = loop.now();
  ClientResult result;
  const auto finish = [&](const char* outcome, Recorder::Line more = Recorder::Line::object()) {
    result.outcome = outcome;
    result.elapsed = loop.now() - started;
    Recorder::Line line{{"id", request.id},
                        {"sequence", request.sequence},
                        {"router", request.router},
                        {"type", request.type},
                        {"how", outcome},
                        {"status", result.status},
                        {"first", result.time_to_first_token},
                        {"took", result.elapsed},
                        {"tokens", result.tokens}};
    line.update(more);
    record.record("final", std::move(line));
    return result;
  };
  io::Socket socket;
  const auto connected =
      co_await io::with_deadline(loop, started + io::kSecond, io::connect(loop, request.address, socket));
  if (!connected || !connected->ok()) {
    result.elapsed = loop.now() - started;
    result.outcome = "unreached";
    record.record("unreached", {{"id", request.id},
                                {"sequence", request.sequence},
                                {"router", request.router},
                                {"type", request.type}});
    co_return result;
  }
  std::string header_fields =
      fmt::format("content-type: application/json\r\nx-request-id: {}\r\nx-abandon-after-ms: {}\r\n",
                  request.id, request.time_limit / io::kMs);
  if (!request.api_key.empty()) header_fields += "authorization: Bearer " + request.api_key + "\r\n";
  if (!request.idempotency_key.empty())
    header_fields += "idempotency-key: " + request.idempotency_key + "\r\n";
  const std::string message =
      http::format_request("POST", request.path, request.address.to_string(), header_fields, request.body);
  record.record("asked", {{"id", request.id},
                          {"sequence", request.sequence},
                          {"router", request.router},
                          {"type", request.type},
                          {"mark", request.idempotency_key},
                          {"whole", !request.stream},
                          {"abandon", request.time_limit},
                          {"slo", request.slo}});
  http::MessageReader reader(socket, http::MessageKind::response);
  const io::IoResult written = co_await socket.write_all(message);
  if (!written.ok()) co_return finish("cut");
  const io::Nanos deadline =
      started + request.time_limit + kLateResponseGrace + (request.stream ? 0 : kCompleteResponseGrace);
  http::Head head;
  const auto head_error = co_await io::with_deadline(loop, deadline, reader.read_head(head));
  if (!head_error) co_return finish("silent");
  if (*head_error != http::MessageError::none) co_return finish("cut");
  result.status = head.status;
  if (const auto retry_after_ms = head.field("retry-after-ms"))
    result.retry_after = std::atoll(std::string(*retry_after_ms).c_str()) * io::kMs;
  TokenCheck check;
  if (head.status == 200 && request.stream) {
    http::SseParser events;
    bool ended = false;
    io::Nanos leave_at = INT64_MAX;
    while (reader.has_more()) {
      std::span<const std::string_view> pieces;
      const io::Nanos until =
          result.time_to_first_token == 0 ? deadline : std::min(leave_at, loop.now() + 60 * io::kSecond);
      const auto body_error = co_await io::with_deadline(loop, until, reader.read_body_pieces(pieces));
      if (!body_error) {
        result.tokens = check.count();
        co_return finish(result.time_to_first_token == 0 ? "silent" : "left");
      }
      if (result.time_to_first_token == 0 && !pieces.empty()) {
        result.time_to_first_token = loop.now() - started;
        if (request.on_first_token) request.on_first_token();
        if (request.disconnect_after_first_token > 0)
          leave_at = loop.now() + request.disconnect_after_first_token;
      }
      for (const std::string_view piece : pieces) {
        events.feed(piece);
        while (const auto data = events.next()) handle_event(*data, result, check, ended);
      }
      if (*body_error != http::MessageError::none && result.outcome.empty()) {
        result.tokens = check.count();
        co_return finish("cut");
      }
      if (*body_error != http::MessageError::none) break;
    }
    result.tokens = check.count();
    if (events.pending_bytes() > 0 || reader.has_leftover() || !check.ok()) co_return finish("garbled");
    co_return finish(result.outcome.empty() ? "cut" : std::string(result.outcome).c_str());
  }
  std::string body;
  const auto body_error =
      co_await io::with_deadline(loop, deadline + 60 * io::kSecond, reader.read_body(body));
  if (!body_error || *body_error != http::MessageError::none) co_return finish("cut");
  const json response = json::parse(body, nullptr, false);
  if (head.status == 200) {
    result.time_to_first_token = loop.now() - started;
    if (response.is_object() && response.contains("choices"))
      for (const json& choice : response["choices"]) check.add(text_of(choice));
    result.tokens = check.count();
    co_return finish(check.ok() && check.count() > 0 && !reader.has_leftover() ? "generated" : "garbled");
  }
  const std::string code = response.is_object() && response.contains("error") && response["error"].is_object()
                               ? response["error"].value("code", "")
                               : "";
  if (reader.has_leftover() || code.empty()) co_return finish("garbled");
  if (head.status == 503) co_return finish("rejected");
  co_return finish(head.status < 500 ? "refused" : "aborted", {{"code", code}});
}

}  // namespace cressrill::rig
