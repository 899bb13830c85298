// How a request of OpenAI's API (POST /v1/chat/completions, /v1/completions) is read into the facts that the
// decisions need. Anything that reads a request, router or tool, does it here.
#pragma once

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cressrill::core {

enum class Api { chat, completion };

using HeaderFields = std::span<const std::pair<std::string_view, std::string_view>>;  // names in lower case
std::optional<std::string_view> find_header(HeaderFields fields, std::string_view name);

// A part of a text.
struct TextRange {
  std::size_t offset{};
  std::size_t size{};
};

struct ParsedRequest {
  Api api{};
  std::string model;
  std::string body;  // as it came
  std::vector<TextRange>
      forwarded_members;         // its members that go to the engines as they came, "name":value,...
  std::uint64_t session_hash{};  // 0: none
  std::uint64_t prefix_hash{};   // 0: none
  std::size_t prompt_bytes{};
  std::size_t prefix_bytes{};
  std::size_t message_count{};
  std::optional<std::size_t> prompt_tokens;  // exact, where the prompt came as token ids
  std::optional<std::size_t> max_output_tokens;
  bool stream{};
  bool include_usage{};
};

// An answer of the 4xx kind, in the published form of an error.
struct RequestError {
  int status{};
  std::string code;
  std::string param;
  std::string message;
  std::string body() const;
};

// {"error": {...}} as published; type follows from the status.
std::string error_body(int status, std::string_view message, std::string_view code,
                       std::string_view param = "");

// body is kept in the facts; with room for simdjson::SIMDJSON_PADDING more bytes it is not copied.
std::variant<ParsedRequest, RequestError> parse_request(Api api, std::string body, HeaderFields fields);

// The body that an engine gets (docs/design/engine-wire.md): texts to be sent one after the other, views into the
// facts and into tail. state: kv_transfer_params as the reader named it.
struct EngineBody {
  boost::container::small_vector<std::string_view, 12> parts;
  std::string tail;
  std::size_t bytes{};
  std::string text() const;
};
void build_prefill_body(const ParsedRequest& facts, EngineBody& to);
void build_decode_body(const ParsedRequest& facts, std::string_view state, EngineBody& to);

}  // namespace cressrill::core
