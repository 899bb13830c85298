#include "parsed_request.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "well_formed.h"

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

std::uint64_t hash(std::string_view text, std::uint64_t seed = 0) {
  const std::uint64_t h = XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return h == 0 ? 1 : h;
}

// A fault that ends the reading; becomes a Refused at the door.
struct Bad {
  std::string code, param, message;
};

[[noreturn]] void bad(std::string param, std::string message, std::string code = "invalid_value") {
  throw Bad{std::move(code), std::move(param), std::move(message)};
}

template <class T>
T must(simdjson::simdjson_result<T> got, const char* param, const char* want) {
  T value;
  if (std::move(got).get(value) != simdjson::SUCCESS)
    bad(param, std::string("'") + param + "' must be " + want + ".");
  return value;
}

std::size_t count_of(od::value value, const char* param) {
  std::int64_t n = 0;
  if (value.get_int64().get(n) != simdjson::SUCCESS || n < 1 || n > 100'000'000)
    bad(param, std::string("'") + param + "' must be a whole number from 1 to 100000000.");
  return static_cast<std::size_t>(n);
}

[[noreturn]] void not_json() { bad("", "The body is not valid JSON.", "invalid_json"); }

void must_be_formed(od::value value, int depth) {
  const JsonValidity f = validate_json(value, depth);
  if (f == JsonValidity::too_deep) bad("", "The body is nested too deeply.", "invalid_json");
  if (f == JsonValidity::invalid) not_json();
}

// What is read again and again on one thread, with its room kept from one request to the next.
struct Scratch {
  od::parser parser;
  std::vector<std::string_view> keys;
  std::vector<std::string_view> texts;  // of the message that is read
};
constexpr std::size_t kScratch = 256 * 1024;  // room past this is given back

// The bytes of one message's content, plain or in parts; its texts go to the scratch.
std::size_t read_content(od::value content, Scratch& scratch) {
  const auto note = [&](std::string_view text) {
    scratch.texts.push_back(text);
    return text.size();
  };
  od::json_type type{};
  if (content.type().get(type) != simdjson::SUCCESS) bad("messages", "A message's content cannot be read.");
  if (type == od::json_type::string) return note(must(content.get_string(), "messages", "texts"));
  if (type == od::json_type::null) {
    must_be_formed(content, 4);
    return 0;
  }
  if (type != od::json_type::array) bad("messages", "A message's content must be a text or a list of parts.");
  std::size_t bytes = 0;
  for (auto part : must(content.get_array(), "messages", "a list")) {
    od::object object = must(part.get_object(), "messages", "a list of messages with lists of parts");
    for (auto member : object) {
      od::field f = must(std::move(member), "messages", "well formed");
      const std::string_view key = must(f.unescaped_key(), "messages", "well formed");
      if (key == "text") {
        bytes += note(must(f.value().get_string(), "messages", "texts"));
      } else if (key == "type") {
        if (must(f.value().get_string(), "messages", "texts") != "text")
          bad("messages", "Only parts of type 'text' are served.", "unsupported_value");
      } else {
        must_be_formed(f.value(), 6);
      }
    }
  }
  return bytes;
}

// The hash of what the system messages at the front say: what many sessions begin with.
std::uint64_t read_messages(od::value value, ParsedRequest& to, Scratch& scratch) {
  od::array list;
  if (value.get_array().get(list) != simdjson::SUCCESS)
    bad("messages", "'messages' must be a list of messages.");
  XXH3_state_t leading;
  XXH3_64bits_reset(&leading);
  bool in_front = true;
  for (auto item : list) {
    od::object message;
    if (item.get_object().get(message) != simdjson::SUCCESS)
      bad("messages", "Each of 'messages' must be an object.");
    std::string_view role;
    std::size_t bytes = 0;
    scratch.texts.clear();
    for (auto member : message) {
      od::field f = must(std::move(member), "messages", "well formed");
      const std::string_view key = must(f.unescaped_key(), "messages", "well formed");
      if (key == "role")
        role = must(f.value().get_string(), "messages", "messages with a role");
      else if (key == "content")
        bytes += read_content(f.value(), scratch);
      else
        must_be_formed(f.value(), 4);
    }
    if (role.empty()) bad("messages", "Each of 'messages' must have a role.");
    in_front = in_front && (role == "system" || role == "developer");
    if (in_front) {
      to.prefix_bytes += bytes;
      for (const std::string_view text : scratch.texts) {
        XXH3_64bits_update(&leading, text.data(), text.size());
        XXH3_64bits_update(&leading, "", 1);  // where one text ends and the next begins
      }
    }
    to.prompt_bytes += bytes;
    ++to.message_count;
  }
  if (to.message_count == 0) bad("messages", "'messages' is empty.");
  return XXH3_64bits_digest(&leading);
}

void read_prompt(od::value prompt, ParsedRequest& to) {
  od::json_type type{};
  if (prompt.type().get(type) != simdjson::SUCCESS) bad("prompt", "'prompt' cannot be read.");
  if (type == od::json_type::string) {
    to.prompt_bytes = must(prompt.get_string(), "prompt", "a text").size();
  } else if (type == od::json_type::array) {
    std::size_t tokens = 0;
    bool texts = false;
    for (auto item : must(prompt.get_array(), "prompt", "a list")) {
      od::value value = must(std::move(item), "prompt", "a list of token ids");
      std::int64_t id = 0;
      std::string_view text;
      if (value.get_int64().get(id) == simdjson::SUCCESS && id >= 0) {
        ++tokens;
      } else if (!texts && tokens == 0 && value.get_string().get(text) == simdjson::SUCCESS) {
        texts = true, to.prompt_bytes = text.size();
      } else {
        bad("prompt", "'prompt' must be a text or a list of token ids; one prompt a request.",
            "unsupported_value");
      }
    }
    if (texts && tokens > 0) bad("prompt", "'prompt' mixes texts and token ids.");
    if (!texts) to.prompt_tokens = tokens, to.prompt_bytes = tokens * 4;
  } else {
    bad("prompt", "'prompt' must be a text or a list of token ids.");
  }
  if (to.prompt_bytes == 0) bad("prompt", "'prompt' is empty.");
}

// null stands for a member that was left out.
bool left_out(od::value value) {
  od::json_type type{};
  if (value.type().get(type) != simdjson::SUCCESS || type != od::json_type::null) return false;
  must_be_formed(value, 2);
  return true;
}

void read_stream_options(od::value value, ParsedRequest& to) {
  for (auto member : must(value.get_object(), "stream_options", "an object")) {
    od::field f = must(std::move(member), "stream_options", "well formed");
    if (must(f.unescaped_key(), "stream_options", "well formed") == "include_usage")
      to.include_usage = must(f.value().get_bool(), "stream_options", "an object with true or false");
    else
      must_be_formed(f.value(), 3);
  }
}

// A member goes on as it came; beside the one before it, both are one part.
void pass_on(ParsedRequest& to, std::string_view member) {
  const auto at = static_cast<std::size_t>(member.data() - to.body.data());
  if (!to.forwarded_members.empty()) {
    TextRange& last = to.forwarded_members.back();
    const std::string_view between =
        std::string_view(to.body).substr(last.offset + last.size, at - last.offset - last.size);
    if (between.find_first_not_of(" \t\r\n,") == std::string_view::npos) {
      last.size = at + member.size() - last.offset;
      return;
    }
  }
  to.forwarded_members.push_back({at, member.size()});
}

void read(ParsedRequest& to, HeaderFields fields, Scratch& scratch) {
  const Api api = to.api;
  to.body.reserve(to.body.size() + simdjson::SIMDJSON_PADDING);
  scratch.keys.clear();
  od::document document;
  od::object object;
  if (scratch.parser.iterate(simdjson::padded_string_view(to.body.data(), to.body.size(), to.body.capacity()))
          .get(document) != simdjson::SUCCESS)
    not_json();
  if (document.get_object().get(object) != simdjson::SUCCESS) {
    if (!nlohmann::json::accept(to.body)) not_json();
    bad("", "The body must be a JSON object.", "invalid_json");
  }
  std::uint64_t leading = 0;
  bool prompted = false;
  std::optional<std::string_view> cache_key;
  for (auto member : object) {
    od::field f = must(std::move(member), "body", "well formed");
    const char* begins = f.key().raw() - 1;
    const std::string_view key = must(f.unescaped_key(), "body", "well formed");
    scratch.keys.push_back(key);
    od::value value = f.value();
    if (key == "stream") {
      to.stream = must(value.get_bool(), "stream", "true or false");
    } else if (key == "stream_options") {
      if (!left_out(value)) read_stream_options(value, to);
    } else if (key == "max_tokens" || key == "max_completion_tokens") {
      if (!left_out(value))
        to.max_output_tokens = count_of(value, key == "max_tokens" ? "max_tokens" : "max_completion_tokens");
    } else if (key == "kv_transfer_params") {
      bad("kv_transfer_params", "'kv_transfer_params' is the router's own.", "unsupported_value");
    } else if (key == "n" || key == "best_of") {
      std::int64_t n = 0;
      if (!left_out(value) && (value.get_int64().get(n) != simdjson::SUCCESS || n != 1))
        bad(std::string(key), "'" + std::string(key) + "' must be 1: one answer a request.",
            "unsupported_value");
    } else {
      if (key == "model")
        to.model = must(value.get_string(), "model", "a text");
      else if (key == "prompt_cache_key")
        cache_key = must(value.get_string(), "prompt_cache_key", "a text");
      else if (key == "messages" && api == Api::chat)
        leading = read_messages(value, to, scratch);
      else if (key == "prompt" && api == Api::completion)
        prompted = true, read_prompt(value, to);
      else
        must_be_formed(value, 2);
      pass_on(to, text_since(begins, document));
    }
  }
  if (!at_end(document)) not_json();
  std::ranges::sort(scratch.keys);
  if (const auto twice = std::ranges::adjacent_find(scratch.keys); twice != scratch.keys.end())
    bad(std::string(*twice), "'" + std::string(*twice) + "' is told twice.", "duplicate_member");
  if (to.model.empty()) bad("model", "'model' is missing.", "missing_value");
  if (api == Api::chat && to.message_count == 0) bad("messages", "'messages' is missing.", "missing_value");
  if (api == Api::completion && !prompted) bad("prompt", "'prompt' is missing.", "missing_value");
  if (to.prefix_bytes > 0) to.prefix_hash = std::max<std::uint64_t>(1, leading ^ hash(to.model));
  if (!cache_key) cache_key = find_header(fields, "x-session-id");
  if (cache_key && !cache_key->empty()) to.session_hash = hash(*cache_key, hash(to.model, 1));
}

}  // namespace

std::variant<ParsedRequest, RequestError> parse_request(Api api, std::string body, HeaderFields fields) {
  static thread_local Scratch scratch;
  if (scratch.parser.capacity() > kScratch) scratch.parser = od::parser();
  ParsedRequest facts;
  facts.api = api, facts.body = std::move(body);
  try {
    read(facts, fields, scratch);
    return std::variant<ParsedRequest, RequestError>(std::move(facts));
  } catch (const Bad& b) {
    // A text that is not JSON is told of as such, wherever the reading stumbled over it.
    if (b.code != "invalid_json" && !nlohmann::json::accept(facts.body))
      return RequestError{400, "invalid_json", "", "The body is not valid JSON."};
    return RequestError{400, b.code, b.param, b.message};
  }
}

std::string EngineBody::text() const {
  std::string out;
  out.reserve(bytes);
  for (const std::string_view part : parts) out += part;
  return out;
}

namespace {

void fill(const ParsedRequest& facts, EngineBody& to) {
  to.parts.clear();
  to.parts.push_back("{");
  for (const TextRange& s : facts.forwarded_members) {
    to.parts.push_back(std::string_view(facts.body).substr(s.offset, s.size));
    to.parts.push_back(",");
  }
  to.parts.push_back(to.tail);
  to.bytes = 0;
  for (const std::string_view part : to.parts) to.bytes += part.size();
}

}  // namespace

void build_prefill_body(const ParsedRequest& facts, EngineBody& to) {
  to.tail =
      R"("max_tokens":1,"stream":false,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false,)"
      R"("remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}})";
  fill(facts, to);
}

void build_decode_body(const ParsedRequest& facts, std::string_view state, EngineBody& to) {
  to.tail.clear();
  if (facts.max_output_tokens)
    to.tail.append("\"max_tokens\":").append(std::to_string(*facts.max_output_tokens)).append(",");
  to.tail += R"("stream":true,"stream_options":{"include_usage":true})";
  if (!state.empty()) to.tail.append(R"(,"kv_transfer_params":)").append(state);
  to.tail += "}";
  fill(facts, to);
}

}  // namespace cressrill::core
