// Parses requests of the OpenAI API (POST /v1/chat/completions, /v1/completions) into what routing needs to
// know. The router and all tools that read such requests share this parser.
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

// chat: POST /v1/chat/completions; completion: POST /v1/completions.
enum class Api { chat, completion };

using HeaderFields = std::span<const std::pair<std::string_view, std::string_view>>;  // names in lower case
// Returns the value of the first header of that name.
std::optional<std::string_view> find_header(HeaderFields fields, std::string_view name);

// A part of the body, in bytes.
struct TextRange {
  std::size_t offset{};
  std::size_t size{};
};

struct ParsedRequest {
  Api api{};
  std::string model;
  std::string body;                          // as received
  std::vector<TextRange> forwarded_members;  // of the body: members that are forwarded to engines unchanged
  std::uint64_t session_hash{};              // of the session's id; 0: none
  std::uint64_t prefix_hash{};               // of the leading system messages; 0: none
  std::size_t prompt_bytes{};
  std::size_t prefix_bytes{};  // of the leading system messages
  std::size_t message_count{};
  std::optional<std::size_t> prompt_tokens;  // known only if the prompt is a list of token ids
  std::optional<std::size_t> max_output_tokens;
  bool stream{};
  bool include_usage{};
};

// A 4xx response in the error format of the OpenAI API.
struct RequestError {
  int status{};
  std::string code;
  std::string param;  // the member or header that is at fault, or empty
  std::string message;
  std::string body() const;
};

// Formats {"error": {...}} as the OpenAI API does; its type follows from the status.
std::string error_body(int status, std::string_view message, std::string_view code,
                       std::string_view param = "");

// Takes ownership of the body; if its capacity has room for simdjson::SIMDJSON_PADDING more bytes, it is not
// copied.
std::variant<ParsedRequest, RequestError> parse_request(Api api, std::string body, HeaderFields fields);

// The body of a request to an engine (docs/design/engine-wire.md), as parts that are sent one after the
// other. The parts are views of the parsed request and of tail, and are valid as long as both are unchanged.
struct EngineRequestBody {
  boost::container::small_vector<std::string_view, 12> parts;
  std::string tail;     // the members that the router adds, and the closing brace
  std::size_t bytes{};  // of all parts together
  std::string text() const;
};
void build_prefill_body(const ParsedRequest& request, EngineRequestBody& body);
// kv_transfer_params: as returned by the prefill worker; empty: none.
void build_decode_body(const ParsedRequest& request, std::string_view kv_transfer_params,
                       EngineRequestBody& body);

}  // namespace cressrill::core
