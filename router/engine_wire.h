// Parses the responses of engines (docs/design/engine-wire.md). Works on texts only, without sockets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "state.h"

namespace cressrill::router {

// Largest figure of a load report that is believed. A report with a larger one counts as none.
constexpr double kMaxReportedLoad = 1e6;

// The load that an engine reports in the response header 'endpoint-load-metrics', in ORCA's TEXT format.
LoadReport parse_orca_load(const http::Head& head);

// The meaning of a status other than 200.
struct EngineError {
  Outcome outcome{};
  bool is_client_error{};  // the request itself is invalid: the client gets an error, without a retry
};
EngineError parse_error_response(int status, std::string_view body);

struct PrefillResponse {
  std::string kv_transfer_params;  // JSON text, passed unchanged to the decode worker
  double cached_tokens{};
  double prompt_tokens{};
};
// Returns nothing if body is not a valid prefill response. body must be followed by http::kReadPaddingBytes
// readable bytes.
std::optional<PrefillResponse> parse_prefill_response(std::string_view body);

// One chunk of a streamed completion.
struct StreamChunk {
  bool readable{};     // is valid JSON of the expected form
  bool has_content{};  // holds at least one choice
  bool usage_only{};   // has a usage member and no choice
  bool error{};        // reports an error
  double cached_tokens{};
  double prompt_tokens{};
};
class CompletionBuilder;
// data must be followed by http::kReadPaddingBytes readable bytes. If builder is given, the content of the
// chunk is appended to it.
StreamChunk parse_chunk(std::string_view data, CompletionBuilder* builder = nullptr);

// Assembles a complete (non-streamed) response from the chunks of a stream.
class CompletionBuilder {
 public:
  // The response's body. chat: in the format of chat completions.
  std::string body(bool chat) const;
  // The approximate size of the response so far.
  std::size_t bytes() const { return content_.size() + tool_calls_.size() * 64; }

 private:
  friend class ChunkReader;
  std::string id_;
  std::string model_;
  std::string content_;
  std::string finish_reason_;
  std::string usage_;    // JSON text
  long long created_{};  // Unix time in seconds
  struct ToolCall {
    std::string id;
    std::string name;
    std::string arguments;
  };
  std::vector<ToolCall> tool_calls_;
};

}  // namespace cressrill::router
