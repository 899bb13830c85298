#include "openai.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "engine_wire.h"

namespace cressrill::router {

namespace {

constexpr std::string_view kJson = "content-type: application/json\r\n";

// Strips characters that are not allowed in a header line and limits the length.
std::string sanitize(std::string_view text, std::size_t max_length = 128) {
  std::string sanitized;
  for (const char character : text.substr(0, max_length))
    if (character > ' ' && character < 127) sanitized.push_back(character);
  return sanitized;
}

Reply make_refusal(const core::RequestError& error) {
  return {error.status, std::string(kJson), error.body(), true};
}

}  // namespace

class OpenAi::CompletionExchange final : public Exchange {
 public:
  CompletionExchange(OpenAi& protocol, core::ParsedRequest request, std::string id, std::string engine_fields)
      : protocol_(protocol),
        request_(std::move(request)),
        id_(std::move(id)),
        engine_fields_(std::move(engine_fields)) {}

  void build_request(const AttemptInfo& attempt, RequestText& text) override {
    if (attempt.is_prefill)
      core::build_prefill_body(request_, text.body);
    else
      core::build_decode_body(request_, attempt.kv_transfer_params, text.body);
    const std::string fields = fmt::format("{}x-request-id: {}-{}\r\nx-attempt: {}\r\n", engine_fields_, id_,
                                           attempt.number, attempt.number);
    const char* path = request_.api == core::Api::chat ? "/v1/chat/completions" : "/v1/completions";
    text.head = http::format_request_head("POST", path, attempt.worker_address, fields, text.body.bytes);
    text.body.parts.insert(text.body.parts.begin(), text.head);
  }

  ResponseMeaning interpret_response(const AttemptInfo& attempt, const http::Head& head,
                                     std::string body) override {
    if (head.status != 200) {
      const EngineError error = parse_error_response(head.status, body);
      if (error.is_client_error && engine_status_ == 0) {
        engine_status_ = head.status;
        engine_body_ = std::move(body);
      }
      return {error.outcome, 0, {}, error.is_client_error};
    }
    if (!attempt.is_prefill) return {Outcome::error, 0, {}, false};
    std::optional<PrefillResponse> response = parse_prefill_response(body);
    if (!response) return {Outcome::error, 0, {}, false};
    if (!request_.prompt_tokens)
      protocol_.token_estimator_.learn(request_.model, request_.prompt_bytes, request_.message_count,
                                       response->prompt_tokens);
    return {Outcome::prefill_done, response->cached_tokens, std::move(response->kv_transfer_params), false};
  }

  StreamEvent interpret_event(std::string_view data, bool started) override {
    if (data == "[DONE]") return {.is_last = true};
    // A non-streamed response is assembled from the events of the client's stream alone.
    const StreamChunk chunk = parse_chunk(data, started && !request_.stream ? &builder_ : nullptr);
    return {chunk.readable && !chunk.error, chunk.has_content, false, chunk.usage_only, chunk.cached_tokens};
  }

  void stream_started(std::string_view data) override {
    if (!request_.stream) parse_chunk(data, &builder_);
  }

  void forward_event(std::string_view data, std::string_view, const StreamEvent& event,
                     std::string& output) override {
    if (event.is_last || !request_.stream || (event.usage_only && !request_.include_usage)) return;
    output.append("data: ").append(data).append("\n\n");
  }

  std::size_t buffered_bytes() const override { return builder_.bytes(); }

  FinalResponse final_response(RequestOutcome outcome, bool late, Nanos retry_after) override {
    FinalResponse response;
    response.reply.fields = fmt::format("{}x-request-id: {}\r\n", kJson, id_);
    if (outcome == RequestOutcome::generated) {
      response.is_stream = request_.stream;
      response.last_part = "data: [DONE]\n\n";
      if (!request_.stream) {
        response.reply.status = 200;
        response.reply.body = builder_.body(request_.api == core::Api::chat);
      }
      return response;
    }
    if (outcome == RequestOutcome::engine_refused) {
      response.reply.status = engine_status_;
      response.reply.body = engine_body_;
      return response;
    }
    const int status = outcome == RequestOutcome::rejected          ? 503
                       : late && outcome == RequestOutcome::aborted ? 504
                                                                    : 502;
    const char* code = outcome == RequestOutcome::rejected ? "rejected"
                       : outcome == RequestOutcome::broken ? "stream_broken"
                                                           : "aborted";
    const char* message = outcome == RequestOutcome::rejected
                              ? "Not taken now; nothing was done, and trying again is harmless."
                          : outcome == RequestOutcome::broken ? "The answer broke off."
                                                              : "Given up; it may have been carried out.";
    response.reply.status = status;
    response.reply.body = core::error_body(status, message, code);
    response.last_part = "data: " + response.reply.body + "\n\n";
    response.close_after = true;
    if (retry_after > 0)
      response.reply.fields +=
          fmt::format("retry-after: {}\r\nretry-after-ms: {}\r\n",
                      (retry_after + io::kSecond - 1) / io::kSecond, (retry_after + io::kMs - 1) / io::kMs);
    return response;
  }

  std::string release_request(int attempt, std::string_view worker) override {
    const std::string body = nlohmann::json{{"request_id", fmt::format("{}-{}", id_, attempt)}}.dump();
    return http::format_request("POST", "/v1/kv/release", worker, kJson, body);
  }

  void drop_body() override {
    request_.forwarded_members.clear();
    std::string().swap(request_.body);
  }

 private:
  OpenAi& protocol_;
  core::ParsedRequest request_;
  std::string id_;
  std::string engine_fields_;  // header lines sent with every attempt
  CompletionBuilder builder_;
  int engine_status_{};      // status of the first client error from an engine; 0: none
  std::string engine_body_;  // body of that response
};

std::string_view OpenAi::stream_fields() const {
  return "content-type: text/event-stream\r\ncache-control: no-cache\r\n";
}

LoadReport OpenAi::parse_load_report(const http::Head& head) const { return parse_orca_load(head); }

std::string OpenAi::models() const {
  nlohmann::json list = nlohmann::json::array();
  std::vector<std::string> listed_models;
  for (const core::TrafficTypeRule& rule : config_.type_rules)
    for (const std::string& model : rule.models)
      if (std::ranges::find(listed_models, model) == listed_models.end()) {
        listed_models.push_back(model);
        list.push_back({{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", "cressrill"}});
      }
  return nlohmann::json{{"object", "list"}, {"data", list}}.dump();
}

std::variant<std::unique_ptr<Exchange>, Reply> OpenAi::begin_exchange(http::Request& request,
                                                                      RequestInfo& info) {
  const http::Head& head = request.head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool chat = path == "/v1/chat/completions";
  const bool completion = path == "/v1/completions";
  if (path == "/v1/models" && head.method == "GET") return Reply{200, std::string(kJson), models(), false};
  if (!chat && !completion)
    return make_refusal({404, "unknown_url", "", "Nothing is served at " + sanitize(path) + "."});
  if (head.method != "POST")
    return make_refusal({405, "method_not_allowed", "", "Only POST is served here."});
  auto parse_result = core::parse_request(chat ? core::Api::chat : core::Api::completion,
                                          std::move(request.body), head.fields);
  if (const auto* request_error = std::get_if<core::RequestError>(&parse_result))
    return make_refusal(*request_error);
  auto& parsed = std::get<core::ParsedRequest>(parse_result);
  const auto classification = core::classify(config_, token_estimator_, parsed, path, head.fields);
  if (const auto* request_error = std::get_if<core::RequestError>(&classification))
    return make_refusal(*request_error);
  const auto& classified = std::get<core::ClassifiedRequest>(classification);

  info.id = sanitize(head.field("x-request-id").value_or(""), 64);
  if (info.id.empty())
    info.id = fmt::format("{}-{:x}-{}", config_.name, request.received_at, ++request_count_);
  info.type = classified.type;
  info.tenant = classified.tenant;
  info.session = parsed.session_hash;
  info.prefix_hash = parsed.prefix_hash;
  info.prompt_tokens = classified.prompt_tokens;
  info.prefix_tokens = classified.prefix_tokens;
  info.max_output_tokens = classified.max_output_tokens;
  info.time_limit = classified.time_limit;
  std::string engine_fields = fmt::format(
      "content-type: application/json\r\nendpoint-load-metrics-format: TEXT\r\nx-router: "
      "{}\r\nx-traffic-type: {}\r\n",
      sanitize(config_.name), sanitize(config_.type_rules[static_cast<std::size_t>(classified.type)].name));
  if (!config_.tenants.empty())
    engine_fields += fmt::format("x-tenant: {}\r\n",
                                 sanitize(config_.tenants[static_cast<std::size_t>(classified.tenant)].name));
  if (const auto key = head.field("idempotency-key"))
    engine_fields += fmt::format("idempotency-key: {}\r\n", sanitize(*key, 256));
  return std::make_unique<CompletionExchange>(*this, std::move(parsed), info.id, std::move(engine_fields));
}

}  // namespace cressrill::router
