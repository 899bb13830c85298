#include "engine_wire.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/well_formed.h"

namespace cressrill::router {

using nlohmann::json;
namespace od = simdjson::ondemand;

namespace {

json parsed(std::string_view text) { return json::parse(text, nullptr, false); }

std::string text_at(const json& from, const char* key) {
  return from.is_object() && from.contains(key) && from[key].is_string() ? from[key].get<std::string>() : "";
}

static_assert(http::kReadPaddingBytes >= simdjson::SIMDJSON_PADDING);

// The parser of this thread, and a document of it. False where the text is no JSON object.
bool begin_object(std::string_view text, od::document& document, od::object& object) {
  static thread_local od::parser parser;
  return !parser
              .iterate(simdjson::padded_string_view(text.data(), text.size(),
                                                    text.size() + http::kReadPaddingBytes))
              .get(document) &&
         !document.get_object().get(object);
}

// Calls take(key, value) for each member; false where the object is malformed or take says so.
template <class Take>
bool each_member(od::object object, Take take) {
  for (auto member : object) {
    std::string_view key;
    od::value value;
    if (member.unescaped_key().get(key) || member.value().get(value) || !take(key, value)) return false;
  }
  return true;
}

// A value of another kind than is looked for is left aside, as a member that is not there.
bool take_text(od::value value, std::string& to) {
  std::string_view text;
  if (!value.get_string().get(text)) to.append(text);
  return true;
}

struct Usage {
  double prompt_tokens{};
  double kept{};
};
bool read_usage(od::value value, Usage& to) {
  od::object counts;
  if (value.get_object().get(counts)) return true;  // null beside most events
  return each_member(counts, [&](std::string_view key, od::value v) {
    if (key == "prompt_tokens" && v.get_double().get(to.prompt_tokens)) to.prompt_tokens = 0;
    od::object details;
    if (key != "prompt_tokens_details" || v.get_object().get(details)) return true;
    return each_member(details, [&](std::string_view inner, od::value n) {
      if (inner == "cached_tokens" && n.get_double().get(to.kept)) to.kept = 0;
      return true;
    });
  });
}

}  // namespace

LoadReport parse_orca_load(const http::Head& head) {
  LoadReport out;
  const auto field = head.field("endpoint-load-metrics");
  if (!field || !field->starts_with("TEXT ")) return out;
  std::string_view rest = field->substr(5);
  double running = 0, waiting = 0;
  bool counted = false;
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
    if (end == digits.c_str() || !(value >= 0)) continue;
    if (name == "kv_cache_usage_perc") out.memory_share = value;
    if (name == "num_requests_running") running = value, counted = true;
    if (name == "num_requests_waiting") waiting = value, counted = true;
  }
  if (counted) out.requests = running + waiting;
  out.received = counted || out.memory_share >= 0;
  return out;
}

EngineError parse_error_response(int status, std::string_view body) {
  if (status == 429 || status == 503) return {Outcome::full, false};
  if (status == 409) {
    const json all = parsed(body);
    if (all.is_object() && all.contains("error") && text_at(all["error"], "code") == "kv_state_not_found")
      return {Outcome::kv_missing, false};
  }
  const bool fault_of_client = status == 400 || status == 404 || status == 413 || status == 422;
  return {Outcome::error, fault_of_client};
}

std::optional<PrefillResponse> parse_prefill_response(std::string_view body) {
  PrefillResponse out;
  Usage usage;
  od::document document;
  od::object object;
  if (!begin_object(body, document, object)) return std::nullopt;
  const bool well = each_member(object, [&](std::string_view key, od::value value) {
    if (key == "usage") return read_usage(value, usage);
    if (key != "kv_transfer_params") return core::validate_json(value) == core::JsonValidity::valid;
    od::json_type type{};
    if (value.type().get(type) || type != od::json_type::object) return false;
    // It goes to a writer as it came, so all of it must be JSON.
    const char* begins = std::string_view(value.raw_json_token()).data();
    if (core::validate_json(value) != core::JsonValidity::valid) return false;
    out.kv_transfer_params = core::text_since(begins, document);
    return true;
  });
  if (!well || !core::at_end(document) || out.kv_transfer_params.empty()) return std::nullopt;
  out.cached_tokens = usage.kept, out.prompt_tokens = usage.prompt_tokens;
  return out;
}

// An event of a stream comes for every token: read in one pass, without a tree.
class ChunkReader {
 public:
  ChunkReader(StreamChunk& chunk, CompletionBuilder* into) : out_(chunk), into_(into) {}

  bool member(std::string_view key, od::value value, od::document& document) {
    if (key == "error") out_.error = true;
    if (key == "choices") return choices(value);
    if (key == "usage") return usage(value, document);
    if (into_ == nullptr) return true;
    if (key == "id" && into_->id_.empty()) return take_text(value, into_->id_);
    if (key == "model" && into_->model_.empty()) return take_text(value, into_->model_);
    std::int64_t created = 0;
    if (key == "created" && into_->created_ == 0 && !value.get_int64().get(created))
      into_->created_ = created;
    return true;
  }
  bool uses() const { return uses_; }

 private:
  bool choices(od::value value) {
    od::array list;
    if (value.get_array().get(list)) return true;
    for (auto item : list) {
      const bool first = !std::exchange(out_.has_content, true);
      od::object choice;
      if (into_ == nullptr || !first) break;  // what is not looked at is skipped
      if (item.get_object().get(choice)) return true;
      if (!each_member(choice, [&](std::string_view key, od::value v) {
            if (key == "finish_reason") return finish(v);
            if (key == "text") return take_text(v, into_->text_);
            od::object delta;
            return key != "delta" || v.get_object().get(delta) || this->delta(delta);
          }))
        return false;
    }
    return true;
  }
  bool finish(od::value value) {
    std::string_view text;
    if (!value.get_string().get(text) && !text.empty()) into_->finish_ = text;
    return true;
  }
  bool delta(od::object object) {
    return each_member(object, [&](std::string_view key, od::value value) {
      if (key == "content") return take_text(value, into_->text_);
      od::array calls;
      if (key != "tool_calls" || value.get_array().get(calls)) return true;
      for (auto call : calls) {
        od::object object_of_call;
        if (!call.get_object().get(object_of_call) && !tool(object_of_call)) return false;
      }
      return true;
    });
  }
  // A call comes in parts, told together by its index, which stands first or is 0.
  bool tool(od::object call) {
    std::size_t index = 0;
    const auto at = [&]() -> CompletionBuilder::Tool& {
      if (into_->tools_.size() <= index) into_->tools_.resize(index + 1);
      return into_->tools_[index];
    };
    return each_member(call, [&](std::string_view key, od::value value) {
      std::uint64_t n = 0;
      if (key == "index" && !value.get_uint64().get(n)) index = n;
      if (index > 127) return true;
      if (key == "id") {
        std::string_view id;
        if (!value.get_string().get(id) && !id.empty()) at().id = id;
      }
      od::object function;
      if (key != "function" || value.get_object().get(function)) return true;
      return each_member(function, [&](std::string_view inner, od::value v) {
        if (inner == "name") return take_text(v, at().name);
        return inner != "arguments" || take_text(v, at().arguments);
      });
    });
  }
  bool usage(od::value value, od::document& document) {
    uses_ = true;
    Usage counts;
    od::json_type type{};
    if (value.type().get(type) || type != od::json_type::object) return true;
    const char* begins = std::string_view(value.raw_json_token()).data();
    if (!read_usage(value, counts)) return false;
    out_.cached_tokens = counts.kept, out_.prompt_tokens = counts.prompt_tokens;
    if (into_ != nullptr) into_->usage_ = core::text_since(begins, document);
    return true;
  }

  StreamChunk& out_;
  CompletionBuilder* into_;
  bool uses_{};
};

StreamChunk parse_chunk(std::string_view data, CompletionBuilder* into) {
  StreamChunk out;
  od::document document;
  od::object object;
  if (!begin_object(data, document, object)) return {};
  ChunkReader reader(out, into);
  if (!each_member(
          object, [&](std::string_view key, od::value value) { return reader.member(key, value, document); }))
    return {};
  out.usage_only = reader.uses() && !out.has_content;
  out.readable = true;
  return out;
}

std::string CompletionBuilder::body(bool chat) const {
  json choice{{"index", 0}, {"finish_reason", nullptr}, {"logprobs", nullptr}};
  if (!finish_.empty()) choice["finish_reason"] = finish_;
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
    for (const Tool& t : tools_)
      choice["message"]["tool_calls"].push_back(
          {{"id", t.id}, {"type", "function"}, {"function", {{"name", t.name}, {"arguments", t.arguments}}}});
  } else {
    choice["text"] = text_;
  }
  json out{{"id", id_},
           {"object", chat ? "chat.completion" : "text_completion"},
           {"created", created_},
           {"model", model_},
           {"choices", json::array({choice})}};
  if (!usage_.empty()) out["usage"] = parsed(usage_);
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace cressrill::router
