#include "engine_wire.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/json_validation.h"

namespace cressrill::router {

using nlohmann::json;
namespace od = simdjson::ondemand;

namespace {

json parse_json(std::string_view text) { return json::parse(text, nullptr, false); }

std::string string_member(const json& object, const char* key) {
  return object.is_object() && object.contains(key) && object[key].is_string()
             ? object[key].get<std::string>()
             : "";
}

static_assert(http::kReadPaddingBytes >= simdjson::SIMDJSON_PADDING);

// Starts parsing text with the parser of this thread. Returns false if text is not a JSON object.
bool open_object(std::string_view text, od::document& document, od::object& object) {
  static thread_local od::parser parser;
  return !parser
              .iterate(simdjson::padded_string_view(text.data(), text.size(),
                                                    text.size() + http::kReadPaddingBytes))
              .get(document) &&
         !document.get_object().get(object);
}

// Calls visit(key, value) for each member. Returns false if the object is malformed or visit returns false.
template <class Visit>
bool for_each_member(od::object object, Visit visit) {
  for (auto member : object) {
    std::string_view key;
    od::value value;
    if (member.unescaped_key().get(key) || member.value().get(value) || !visit(key, value)) return false;
  }
  return true;
}

// Appends a string value to output. A value of another type is ignored, as if the member were missing. Always
// returns true, for use in for_each_member().
bool append_string(od::value value, std::string& output) {
  std::string_view text;
  if (!value.get_string().get(text)) output.append(text);
  return true;
}

struct Usage {
  double prompt_tokens{};
  double cached_tokens{};
};
// Reads token counts into usage. Returns false if value is a malformed object.
bool parse_usage(od::value value, Usage& usage) {
  od::object counts;
  if (value.get_object().get(counts)) return true;  // null in most events
  return for_each_member(counts, [&](std::string_view key, od::value member_value) {
    if (key == "prompt_tokens" && member_value.get_double().get(usage.prompt_tokens)) usage.prompt_tokens = 0;
    od::object details;
    if (key != "prompt_tokens_details" || member_value.get_object().get(details)) return true;
    return for_each_member(details, [&](std::string_view detail_key, od::value detail_value) {
      if (detail_key == "cached_tokens" && detail_value.get_double().get(usage.cached_tokens))
        usage.cached_tokens = 0;
      return true;
    });
  });
}

}  // namespace

LoadReport parse_orca_load(const http::Head& head) {
  LoadReport report;
  const auto field = head.field("endpoint-load-metrics");
  if (!field || !field->starts_with("TEXT ")) return report;
  std::string_view rest = field->substr(5);
  double running = 0;
  double waiting = 0;
  bool has_request_count = false;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view pair = rest.substr(0, comma);
    rest.remove_prefix(std::min(comma + 1, rest.size()));
    while (pair.starts_with(' ')) pair.remove_prefix(1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view name = pair.substr(0, equals);
    if (name.starts_with("named_metrics.")) name.remove_prefix(14);
    const std::string digits(pair.substr(equals + 1));
    char* end = nullptr;
    const double value = std::strtod(digits.c_str(), &end);
    if (end == digits.c_str() || !(value >= 0 && value <= kMaxReportedLoad)) continue;
    if (name == "kv_cache_usage_perc") report.memory_share = value;
    if (name == "num_requests_running") {
      running = value;
      has_request_count = true;
    }
    if (name == "num_requests_waiting") {
      waiting = value;
      has_request_count = true;
    }
  }
  if (has_request_count) report.requests = running + waiting;
  report.received = has_request_count || report.memory_share >= 0;
  return report;
}

EngineError parse_error_response(int status, std::string_view body) {
  if (status == 429 || status == 503) return {Outcome::full, false};
  if (status == 409) {
    const json response = parse_json(body);
    if (response.is_object() && response.contains("error") &&
        string_member(response["error"], "code") == "kv_state_not_found")
      return {Outcome::kv_missing, false};
  }
  const bool client_error = status == 400 || status == 404 || status == 413 || status == 422;
  return {Outcome::error, client_error};
}

std::optional<PrefillResponse> parse_prefill_response(std::string_view body) {
  PrefillResponse response;
  Usage usage;
  od::document document;
  od::object object;
  if (!open_object(body, document, object)) return std::nullopt;
  const bool well_formed = for_each_member(object, [&](std::string_view key, od::value value) {
    if (key == "usage") return parse_usage(value, usage);
    if (key != "kv_transfer_params") return core::validate_json(value) == core::JsonValidity::valid;
    od::json_type type{};
    if (value.type().get(type) || type != od::json_type::object) return false;
    // This text is passed unchanged to a decode worker, so all of it must be valid JSON.
    const char* json_begin = std::string_view(value.raw_json_token()).data();
    if (core::validate_json(value) != core::JsonValidity::valid) return false;
    response.kv_transfer_params = core::text_since(json_begin, document);
    return true;
  });
  if (!well_formed || !core::at_end(document) || response.kv_transfer_params.empty()) return std::nullopt;
  response.cached_tokens = usage.cached_tokens;
  response.prompt_tokens = usage.prompt_tokens;
  return response;
}

// Parses one event of a stream. As there is an event for every token, each is parsed in one pass, without
// building a JSON tree. The read functions return false if the value is malformed.
class ChunkReader {
 public:
  ChunkReader(StreamChunk& chunk, CompletionBuilder* builder) : chunk_(chunk), builder_(builder) {}

  bool read_member(std::string_view key, od::value value, od::document& document) {
    if (key == "error") chunk_.error = true;
    if (key == "choices") return read_choices(value);
    if (key == "usage") return read_usage(value, document);
    if (builder_ == nullptr) return true;
    if (key == "id" && builder_->id_.empty()) return append_string(value, builder_->id_);
    if (key == "model" && builder_->model_.empty()) return append_string(value, builder_->model_);
    std::int64_t created = 0;
    if (key == "created" && builder_->created_ == 0 && !value.get_int64().get(created))
      builder_->created_ = created;
    return true;
  }
  bool has_usage() const { return has_usage_; }

 private:
  bool read_choices(od::value value) {
    od::array list;
    if (value.get_array().get(list)) return true;
    for (auto item : list) {
      const bool first = !std::exchange(chunk_.has_content, true);
      od::object choice;
      if (builder_ == nullptr || !first) break;  // the parser skips the rest
      if (item.get_object().get(choice)) return true;
      if (!for_each_member(choice, [&](std::string_view key, od::value choice_value) {
            if (key == "finish_reason") return read_finish_reason(choice_value);
            if (key == "text") return append_string(choice_value, builder_->content_);
            od::object delta;
            return key != "delta" || choice_value.get_object().get(delta) || this->read_delta(delta);
          }))
        return false;
    }
    return true;
  }
  bool read_finish_reason(od::value value) {
    std::string_view text;
    if (!value.get_string().get(text) && !text.empty()) builder_->finish_reason_ = text;
    return true;
  }
  bool read_delta(od::object object) {
    return for_each_member(object, [&](std::string_view key, od::value value) {
      if (key == "content") return append_string(value, builder_->content_);
      od::array calls;
      if (key != "tool_calls" || value.get_array().get(calls)) return true;
      for (auto call : calls) {
        od::object tool_call;
        if (!call.get_object().get(tool_call) && !read_tool_call(tool_call)) return false;
      }
      return true;
    });
  }
  // A tool call arrives in parts that carry the same index, as their first member. Without an index, it is 0.
  bool read_tool_call(od::object call) {
    std::size_t index = 0;
    const auto tool_call_at_index = [&]() -> CompletionBuilder::ToolCall& {
      if (builder_->tool_calls_.size() <= index) builder_->tool_calls_.resize(index + 1);
      return builder_->tool_calls_[index];
    };
    return for_each_member(call, [&](std::string_view key, od::value value) {
      std::uint64_t parsed_index = 0;
      if (key == "index" && !value.get_uint64().get(parsed_index)) index = parsed_index;
      if (index > 127) return true;  // ignored, so that a large index does not allocate much memory
      if (key == "id") {
        std::string_view id;
        if (!value.get_string().get(id) && !id.empty()) tool_call_at_index().id = id;
      }
      od::object function;
      if (key != "function" || value.get_object().get(function)) return true;
      return for_each_member(function, [&](std::string_view function_key, od::value function_value) {
        if (function_key == "name") return append_string(function_value, tool_call_at_index().name);
        return function_key != "arguments" || append_string(function_value, tool_call_at_index().arguments);
      });
    });
  }
  bool read_usage(od::value value, od::document& document) {
    has_usage_ = true;
    Usage counts;
    od::json_type type{};
    if (value.type().get(type) || type != od::json_type::object) return true;
    const char* json_begin = std::string_view(value.raw_json_token()).data();
    if (!parse_usage(value, counts)) return false;
    chunk_.cached_tokens = counts.cached_tokens;
    chunk_.prompt_tokens = counts.prompt_tokens;
    if (builder_ != nullptr) builder_->usage_ = core::text_since(json_begin, document);
    return true;
  }

  StreamChunk& chunk_;
  CompletionBuilder* builder_;
  bool has_usage_{};
};

StreamChunk parse_chunk(std::string_view data, CompletionBuilder* builder) {
  StreamChunk chunk;
  od::document document;
  od::object object;
  if (!open_object(data, document, object)) return {};
  ChunkReader reader(chunk, builder);
  if (!for_each_member(object, [&](std::string_view key, od::value value) {
        return reader.read_member(key, value, document);
      }))
    return {};
  chunk.usage_only = reader.has_usage() && !chunk.has_content;
  chunk.readable = true;
  return chunk;
}

std::string CompletionBuilder::body(bool chat) const {
  json choice{{"index", 0}, {"finish_reason", nullptr}, {"logprobs", nullptr}};
  if (!finish_reason_.empty()) choice["finish_reason"] = finish_reason_;
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", content_}};
    for (const ToolCall& call : tool_calls_)
      choice["message"]["tool_calls"].push_back(
          {{"id", call.id},
           {"type", "function"},
           {"function", {{"name", call.name}, {"arguments", call.arguments}}}});
  } else {
    choice["text"] = content_;
  }
  json response{{"id", id_},
                {"object", chat ? "chat.completion" : "text_completion"},
                {"created", created_},
                {"model", model_},
                {"choices", json::array({choice})}};
  if (!usage_.empty()) response["usage"] = parse_json(usage_);
  return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cressrill::router
