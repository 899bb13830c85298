#include "openai.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "engine_wire.h"

namespace cressrill::router {

namespace {

constexpr std::string_view kJson = "content-type: application/json\r\n";

// A value that may stand in a header line of ours.
std::string clean(std::string_view text, std::size_t most = 128) {
  std::string out;
  for (const char c : text.substr(0, most))
    if (c > ' ' && c < 127) out.push_back(c);
  return out;
}

Reply refusal(const core::RequestError& refused) {
  return {refused.status, std::string(kJson), refused.body(), true};
}

}  // namespace

class OpenAi::CompletionExchange final : public Exchange {
 public:
  CompletionExchange(OpenAi& of, core::ParsedRequest facts, std::string id, std::string engine_fields)
      : of_(of), facts_(std::move(facts)), id_(std::move(id)), engine_fields_(std::move(engine_fields)) {}

  void build_request(const AttemptInfo& attempt, RequestText& to) override {
    if (attempt.is_prefill)
      core::build_prefill_body(facts_, to.body);
    else
      core::build_decode_body(facts_, attempt.kv_transfer_params, to.body);
    const std::string fields = fmt::format("{}x-request-id: {}-{}\r\nx-attempt: {}\r\n", engine_fields_, id_,
                                           attempt.number, attempt.number);
    const char* path = facts_.api == core::Api::chat ? "/v1/chat/completions" : "/v1/completions";
    to.head = http::format_request_head("POST", path, attempt.worker_address, fields, to.body.bytes);
    to.body.parts.insert(to.body.parts.begin(), to.head);
  }

  ResponseMeaning interpret_response(const AttemptInfo& attempt, const http::Head& head,
                                     std::string body) override {
    if (head.status != 200) {
      const EngineError refusal = parse_error_response(head.status, body);
      if (refusal.is_client_error && engine_status_ == 0)
        engine_status_ = head.status, engine_body_ = std::move(body);
      return {refusal.outcome, 0, {}, refusal.is_client_error};
    }
    if (!attempt.is_prefill) return {Outcome::error, 0, {}, false};
    std::optional<PrefillResponse> answer = parse_prefill_response(body);
    if (!answer) return {Outcome::error, 0, {}, false};
    if (!facts_.prompt_tokens)
      of_.estimate_.learn(facts_.model, facts_.prompt_bytes, facts_.message_count, answer->prompt_tokens);
    return {Outcome::prefill_done, answer->cached_tokens, std::move(answer->kv_transfer_params), false};
  }

  StreamEvent interpret_event(std::string_view data, bool bound) override {
    if (data == "[DONE]") return {.is_last = true};
    // A whole answer is put together from the one stream that it is bound to.
    const StreamChunk chunk = parse_chunk(data, bound && !facts_.stream ? &whole_ : nullptr);
    return {chunk.readable && !chunk.error, chunk.has_content, false, chunk.usage_only, chunk.cached_tokens};
  }

  void stream_started(std::string_view data) override {
    if (!facts_.stream) parse_chunk(data, &whole_);
  }

  void forward_event(std::string_view data, std::string_view, const StreamEvent& heard,
                     std::string& to) override {
    if (heard.is_last || !facts_.stream || (heard.usage_only && !facts_.include_usage)) return;
    to.append("data: ").append(data).append("\n\n");
  }

  std::size_t buffered_bytes() const override { return whole_.bytes(); }

  FinalResponse final_response(RequestOutcome final, bool late, Nanos retry_after) override {
    FinalResponse out;
    out.reply.fields = fmt::format("{}x-request-id: {}\r\n", kJson, id_);
    if (final == RequestOutcome::generated) {
      out.is_stream = facts_.stream;
      out.last_part = "data: [DONE]\n\n";
      if (!facts_.stream) out.reply.status = 200, out.reply.body = whole_.body(facts_.api == core::Api::chat);
      return out;
    }
    if (final == RequestOutcome::engine_refused) {
      out.reply.status = engine_status_, out.reply.body = engine_body_;
      return out;
    }
    const int status = final == RequestOutcome::rejected          ? 503
                       : late && final == RequestOutcome::aborted ? 504
                                                                  : 502;
    const char* code = final == RequestOutcome::rejected ? "rejected"
                       : final == RequestOutcome::broken ? "stream_broken"
                                                         : "aborted";
    const char* message = final == RequestOutcome::rejected
                              ? "Not taken now; nothing was done, and trying again is harmless."
                          : final == RequestOutcome::broken ? "The answer broke off."
                                                            : "Given up; it may have been carried out.";
    out.reply.status = status;
    out.reply.body = core::error_body(status, message, code);
    out.last_part = "data: " + out.reply.body + "\n\n";
    out.close_after = true;
    if (retry_after > 0)
      out.reply.fields +=
          fmt::format("retry-after: {}\r\nretry-after-ms: {}\r\n",
                      (retry_after + io::kSecond - 1) / io::kSecond, (retry_after + io::kMs - 1) / io::kMs);
    return out;
  }

  std::string release_request(int attempt, std::string_view worker) override {
    const std::string body = nlohmann::json{{"request_id", fmt::format("{}-{}", id_, attempt)}}.dump();
    return http::format_request("POST", "/v1/kv/release", worker, kJson, body);
  }

  void drop_body() override {
    facts_.forwarded_members.clear();
    std::string().swap(facts_.body);
  }

 private:
  OpenAi& of_;
  core::ParsedRequest facts_;
  std::string id_;
  std::string engine_fields_;  // header lines that every attempt carries
  CompletionBuilder whole_;
  int engine_status_{};
  std::string engine_body_;
};

std::string_view OpenAi::stream_fields() const {
  return "content-type: text/event-stream\r\ncache-control: no-cache\r\n";
}

LoadReport OpenAi::parse_load_report(const http::Head& head) const { return parse_orca_load(head); }

std::string OpenAi::models() const {
  nlohmann::json list = nlohmann::json::array();
  std::vector<std::string> seen;
  for (const core::TrafficTypeRule& t : station_.type_rules)
    for (const std::string& m : t.models)
      if (std::ranges::find(seen, m) == seen.end()) {
        seen.push_back(m);
        list.push_back({{"id", m}, {"object", "model"}, {"created", 0}, {"owned_by", "cressrill"}});
      }
  return nlohmann::json{{"object", "list"}, {"data", list}}.dump();
}

std::variant<std::unique_ptr<Exchange>, Reply> OpenAi::open_exchange(http::Request& request,
                                                                     RequestInfo& to) {
  const http::Head& head = request.head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool chat = path == "/v1/chat/completions", completion = path == "/v1/completions";
  if (path == "/v1/models" && head.method == "GET") return Reply{200, std::string(kJson), models(), false};
  if (!chat && !completion)
    return refusal({404, "unknown_url", "", "Nothing is served at " + clean(path) + "."});
  if (head.method != "POST") return refusal({405, "method_not_allowed", "", "Only POST is served here."});
  auto read = core::parse_request(chat ? core::Api::chat : core::Api::completion, std::move(request.body),
                                  head.fields);
  if (const auto* refused = std::get_if<core::RequestError>(&read)) return refusal(*refused);
  auto& facts = std::get<core::ParsedRequest>(read);
  const auto judgement = core::classify(station_, estimate_, facts, path, head.fields);
  if (const auto* refused = std::get_if<core::RequestError>(&judgement)) return refusal(*refused);
  const auto& judged = std::get<core::ClassifiedRequest>(judgement);

  to.id = clean(head.field("x-request-id").value_or(""), 64);
  if (to.id.empty()) to.id = fmt::format("{}-{:x}-{}", station_.name, request.received_at, ++serial_);
  to.type = judged.type, to.tenant = judged.tenant;
  to.session = facts.session_hash, to.prefix_hash = facts.prefix_hash;
  to.prompt_tokens = judged.prompt_tokens, to.prefix_tokens = judged.prefix_tokens,
  to.max_output_tokens = judged.max_output_tokens;
  to.time_limit = judged.time_limit;
  std::string engine_fields = fmt::format(
      "content-type: application/json\r\nendpoint-load-metrics-format: TEXT\r\nx-router: "
      "{}\r\nx-traffic-type: {}\r\n",
      clean(station_.name), clean(station_.type_rules[static_cast<std::size_t>(judged.type)].name));
  if (!station_.tenants.empty())
    engine_fields += fmt::format("x-tenant: {}\r\n",
                                 clean(station_.tenants[static_cast<std::size_t>(judged.tenant)].name));
  if (const auto mark = head.field("idempotency-key"))
    engine_fields += fmt::format("idempotency-key: {}\r\n", clean(*mark, 256));
  return std::make_unique<CompletionExchange>(*this, std::move(facts), to.id, std::move(engine_fields));
}

}  // namespace cressrill::router
