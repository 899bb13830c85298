#include "parsed_request.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "json_validation.h"

namespace cressrill::core {

namespace od = simdjson::ondemand;

std::optional<std::string_view> find_header(HeaderFields fields, std::string_view name) {
  for (const auto& [key, value] : fields)
    if (key == name) return value;
  return std::nullopt;
}

std::string error_body(int status, std::string_view message, std::string_view code, std::string_view param) {
  nlohmann::json error{{"message", message},
                       {"type", status < 500 ? "invalid_request_error" : "server_error"},
                       {"param", nullptr},
                       {"code", code}};
  if (!param.empty()) error["param"] = param;
  return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RequestError::body() const { return error_body(status, message, code, param); }

namespace {

// Never returns 0, which stands for "none".
std::uint64_t hash(std::string_view text, std::uint64_t seed = 0) {
  const std::uint64_t value = XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return value == 0 ? 1 : value;
}

// Thrown to stop parsing; parse_request() turns it into a RequestError.
struct ParseFailure {
  std::string code;
  std::string param;
  std::string message;
};

// param: the member of the body that is at fault, or empty.
[[noreturn]] void fail(std::string param, std::string message, std::string code = "invalid_value") {
  throw ParseFailure{std::move(code), std::move(param), std::move(message)};
}

// Returns the value of a result, or fails. expected: what the member has to be, for the message.
template <class T>
T require(simdjson::simdjson_result<T> result, const char* param, const char* expected) {
  T value;
  if (std::move(result).get(value) != simdjson::SUCCESS)
    fail(param, std::string("'") + param + "' must be " + expected + ".");
  return value;
}

std::size_t parse_token_count(od::value value, const char* param) {
  std::int64_t number = 0;
  if (value.get_int64().get(number) != simdjson::SUCCESS || number < 1 || number > 100'000'000)
    fail(param, std::string("'") + param + "' must be a whole number from 1 to 100000000.");
  return static_cast<std::size_t>(number);
}

[[noreturn]] void fail_invalid_json() { fail("", "The body is not valid JSON.", "invalid_json"); }

// depth: nesting depth of the value in the body.
void require_valid_json(od::value value, int depth) {
  const JsonValidity validity = validate_json(value, depth);
  if (validity == JsonValidity::too_deep) fail("", "The body is nested too deeply.", "invalid_json");
  if (validity == JsonValidity::invalid) fail_invalid_json();
}

// Buffers that a thread reuses from one request to the next, so that parsing a request allocates none.
struct ParserBuffers {
  od::parser parser;
  std::vector<std::string_view> keys;
  std::vector<std::string_view> texts;  // the texts of the message that is being parsed
};
// A parser that has grown beyond this is replaced.
constexpr std::size_t kMaxRetainedParserBytes = 256 * 1024;

// Returns the size in bytes of a message's content, a string or a list of parts, and appends its texts to the
// buffers.
std::size_t parse_content(od::value content, ParserBuffers& buffers) {
  const auto add_text = [&](std::string_view text) {
    buffers.texts.push_back(text);
    return text.size();
  };
  od::json_type type{};
  if (content.type().get(type) != simdjson::SUCCESS) fail("messages", "A message's content cannot be read.");
  if (type == od::json_type::string) return add_text(require(content.get_string(), "messages", "texts"));
  if (type == od::json_type::null) {
    require_valid_json(content, 4);
    return 0;
  }
  if (type != od::json_type::array)
    fail("messages", "A message's content must be a text or a list of parts.");
  std::size_t bytes = 0;
  for (auto part : require(content.get_array(), "messages", "a list")) {
    od::object object = require(part.get_object(), "messages", "a list of messages with lists of parts");
    for (auto member : object) {
      od::field entry = require(std::move(member), "messages", "well formed");
      const std::string_view key = require(entry.unescaped_key(), "messages", "well formed");
      if (key == "text") {
        bytes += add_text(require(entry.value().get_string(), "messages", "texts"));
      } else if (key == "type") {
        if (require(entry.value().get_string(), "messages", "texts") != "text")
          fail("messages", "Only parts of type 'text' are served.", "unsupported_value");
      } else {
        require_valid_json(entry.value(), 6);
      }
    }
  }
  return bytes;
}

// Adds the messages to the request's counts. Returns a hash of the leading system and developer messages: the
// part of a prompt that many sessions share.
std::uint64_t parse_messages(od::value value, ParsedRequest& request, ParserBuffers& buffers) {
  od::array list;
  if (value.get_array().get(list) != simdjson::SUCCESS)
    fail("messages", "'messages' must be a list of messages.");
  XXH3_state_t prefix_state;
  XXH3_64bits_reset(&prefix_state);
  bool in_prefix = true;
  for (auto item : list) {
    od::object message;
    if (item.get_object().get(message) != simdjson::SUCCESS)
      fail("messages", "Each of 'messages' must be an object.");
    std::string_view role;
    std::size_t bytes = 0;
    buffers.texts.clear();
    for (auto member : message) {
      od::field entry = require(std::move(member), "messages", "well formed");
      const std::string_view key = require(entry.unescaped_key(), "messages", "well formed");
      if (key == "role")
        role = require(entry.value().get_string(), "messages", "messages with a role");
      else if (key == "content")
        bytes += parse_content(entry.value(), buffers);
      else
        require_valid_json(entry.value(), 4);
    }
    if (role.empty()) fail("messages", "Each of 'messages' must have a role.");
    in_prefix = in_prefix && (role == "system" || role == "developer");
    if (in_prefix) {
      request.prefix_bytes += bytes;
      for (const std::string_view text : buffers.texts) {
        XXH3_64bits_update(&prefix_state, text.data(), text.size());
        XXH3_64bits_update(&prefix_state, "", 1);  // separates one text from the next
      }
    }
    request.prompt_bytes += bytes;
    ++request.message_count;
  }
  if (request.message_count == 0) fail("messages", "'messages' is empty.");
  return XXH3_64bits_digest(&prefix_state);
}

void parse_prompt(od::value prompt, ParsedRequest& request) {
  od::json_type type{};
  if (prompt.type().get(type) != simdjson::SUCCESS) fail("prompt", "'prompt' cannot be read.");
  if (type == od::json_type::string) {
    request.prompt_bytes = require(prompt.get_string(), "prompt", "a text").size();
  } else if (type == od::json_type::array) {
    std::size_t tokens = 0;
    bool is_string = false;
    for (auto item : require(prompt.get_array(), "prompt", "a list")) {
      od::value value = require(std::move(item), "prompt", "a list of token ids");
      std::int64_t id = 0;
      std::string_view text;
      if (value.get_int64().get(id) == simdjson::SUCCESS && id >= 0) {
        ++tokens;
      } else if (!is_string && tokens == 0 && value.get_string().get(text) == simdjson::SUCCESS) {
        is_string = true;
        request.prompt_bytes = text.size();
      } else {
        fail("prompt", "'prompt' must be a text or a list of token ids; one prompt a request.",
             "unsupported_value");
      }
    }
    if (is_string && tokens > 0) fail("prompt", "'prompt' mixes texts and token ids.");
    if (!is_string) {
      request.prompt_tokens = tokens;
      request.prompt_bytes = tokens * 4;  // an assumed size of 4 bytes per token
    }
  } else {
    fail("prompt", "'prompt' must be a text or a list of token ids.");
  }
  if (request.prompt_bytes == 0) fail("prompt", "'prompt' is empty.");
}

// Whether the value is null, which callers treat as a missing member.
bool is_null(od::value value) {
  od::json_type type{};
  if (value.type().get(type) != simdjson::SUCCESS || type != od::json_type::null) return false;
  require_valid_json(value, 2);
  return true;
}

void parse_stream_options(od::value value, ParsedRequest& request) {
  for (auto member : require(value.get_object(), "stream_options", "an object")) {
    od::field entry = require(std::move(member), "stream_options", "well formed");
    if (require(entry.unescaped_key(), "stream_options", "well formed") == "include_usage")
      request.include_usage =
          require(entry.value().get_bool(), "stream_options", "an object with true or false");
    else
      require_valid_json(entry.value(), 3);
  }
}

// Forwards a member unchanged. Members that follow each other in the body are merged into one range.
void forward_member(ParsedRequest& request, std::string_view member) {
  const auto offset = static_cast<std::size_t>(member.data() - request.body.data());
  if (!request.forwarded_members.empty()) {
    TextRange& last = request.forwarded_members.back();
    const std::string_view between =
        std::string_view(request.body).substr(last.offset + last.size, offset - last.offset - last.size);
    if (between.find_first_not_of(" \t\r\n,") == std::string_view::npos) {
      last.size = offset + member.size() - last.offset;
      return;
    }
  }
  request.forwarded_members.push_back({offset, member.size()});
}

void parse_body(ParsedRequest& request, HeaderFields fields, ParserBuffers& buffers) {
  const Api api = request.api;
  request.body.reserve(request.body.size() + simdjson::SIMDJSON_PADDING);
  buffers.keys.clear();
  od::document document;
  od::object object;
  if (buffers.parser
          .iterate(
              simdjson::padded_string_view(request.body.data(), request.body.size(), request.body.capacity()))
          .get(document) != simdjson::SUCCESS)
    fail_invalid_json();
  if (document.get_object().get(object) != simdjson::SUCCESS) {
    if (!nlohmann::json::accept(request.body)) fail_invalid_json();
    fail("", "The body must be a JSON object.", "invalid_json");
  }
  std::uint64_t messages_prefix_hash = 0;
  bool has_prompt = false;
  std::optional<std::string_view> cache_key;
  for (auto member : object) {
    od::field entry = require(std::move(member), "body", "well formed");
    const char* member_start = entry.key().raw() - 1;  // the opening quote of the key
    const std::string_view key = require(entry.unescaped_key(), "body", "well formed");
    buffers.keys.push_back(key);
    od::value value = entry.value();
    if (key == "stream") {
      request.stream = require(value.get_bool(), "stream", "true or false");
    } else if (key == "stream_options") {
      if (!is_null(value)) parse_stream_options(value, request);
    } else if (key == "max_tokens" || key == "max_completion_tokens") {
      if (!is_null(value))
        request.max_output_tokens =
            parse_token_count(value, key == "max_tokens" ? "max_tokens" : "max_completion_tokens");
    } else if (key == "kv_transfer_params") {
      fail("kv_transfer_params", "'kv_transfer_params' is the router's own.", "unsupported_value");
    } else if (key == "n" || key == "best_of") {
      std::int64_t number = 0;
      if (!is_null(value) && (value.get_int64().get(number) != simdjson::SUCCESS || number != 1))
        fail(std::string(key), "'" + std::string(key) + "' must be 1: one answer a request.",
             "unsupported_value");
    } else {
      if (key == "model")
        request.model = require(value.get_string(), "model", "a text");
      else if (key == "prompt_cache_key")
        cache_key = require(value.get_string(), "prompt_cache_key", "a text");
      else if (key == "messages" && api == Api::chat)
        messages_prefix_hash = parse_messages(value, request, buffers);
      else if (key == "prompt" && api == Api::completion) {
        has_prompt = true;
        parse_prompt(value, request);
      } else
        require_valid_json(value, 2);
      forward_member(request, text_since(member_start, document));
    }
  }
  if (!at_end(document)) fail_invalid_json();
  std::ranges::sort(buffers.keys);
  if (const auto duplicate = std::ranges::adjacent_find(buffers.keys); duplicate != buffers.keys.end())
    fail(std::string(*duplicate), "'" + std::string(*duplicate) + "' is told twice.", "duplicate_member");
  if (request.model.empty()) fail("model", "'model' is missing.", "missing_value");
  if (api == Api::chat && request.message_count == 0)
    fail("messages", "'messages' is missing.", "missing_value");
  if (api == Api::completion && !has_prompt) fail("prompt", "'prompt' is missing.", "missing_value");
  if (request.prefix_bytes > 0)
    request.prefix_hash = std::max<std::uint64_t>(1, messages_prefix_hash ^ hash(request.model));
  if (!cache_key) cache_key = find_header(fields, "x-session-id");
  if (cache_key && !cache_key->empty()) request.session_hash = hash(*cache_key, hash(request.model, 1));
}

}  // namespace

std::variant<ParsedRequest, RequestError> parse_request(Api api, std::string body, HeaderFields fields) {
  static thread_local ParserBuffers buffers;
  if (buffers.parser.capacity() > kMaxRetainedParserBytes) buffers.parser = od::parser();
  ParsedRequest request;
  request.api = api;
  request.body = std::move(body);
  try {
    parse_body(request, fields, buffers);
    return std::variant<ParsedRequest, RequestError>(std::move(request));
  } catch (const ParseFailure& failure) {
    // simdjson reads on demand, so another error may be found before a syntax error that follows it. Invalid
    // JSON takes precedence.
    if (failure.code != "invalid_json" && !nlohmann::json::accept(request.body))
      return RequestError{400, "invalid_json", "", "The body is not valid JSON."};
    return RequestError{400, failure.code, failure.param, failure.message};
  }
}

std::string EngineRequestBody::text() const {
  std::string out;
  out.reserve(bytes);
  for (const std::string_view part : parts) out += part;
  return out;
}

namespace {

// Sets the parts of the body: the forwarded members, then the tail.
void join_parts(const ParsedRequest& request, EngineRequestBody& body) {
  body.parts.clear();
  body.parts.push_back("{");
  for (const TextRange& range : request.forwarded_members) {
    body.parts.push_back(std::string_view(request.body).substr(range.offset, range.size));
    body.parts.push_back(",");
  }
  body.parts.push_back(body.tail);
  body.bytes = 0;
  for (const std::string_view part : body.parts) body.bytes += part.size();
}

}  // namespace

void build_prefill_body(const ParsedRequest& request, EngineRequestBody& body) {
  body.tail =
      R"("max_tokens":1,"stream":false,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false,)"
      R"("remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}})";
  join_parts(request, body);
}

void build_decode_body(const ParsedRequest& request, std::string_view kv_transfer_params,
                       EngineRequestBody& body) {
  body.tail.clear();
  if (request.max_output_tokens)
    body.tail.append("\"max_tokens\":").append(std::to_string(*request.max_output_tokens)).append(",");
  body.tail += R"("stream":true,"stream_options":{"include_usage":true})";
  if (!kv_transfer_params.empty()) body.tail.append(R"(,"kv_transfer_params":)").append(kv_transfer_params);
  body.tail += "}";
  join_parts(request, body);
}

}  // namespace cressrill::core
