// What engines answer, decoded (docs/design/engine-wire.md). No sockets: texts in, facts out.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "state.h"

namespace cressrill::router {

// The load that an engine reports beside an answer: field 'endpoint-load-metrics', the TEXT form of ORCA.
LoadReport parse_orca_load(const http::Head& head);

// What a status other than 200 says of the attempt.
struct EngineError {
  Outcome outcome{};
  bool is_client_error{};  // the request itself is at fault: the client gets this answer
};
EngineError parse_error_response(int status, std::string_view body);

struct PrefillResponse {
  std::string kv_transfer_params;  // kv_transfer_params, as it goes to the writer
  double cached_tokens{};
  double prompt_tokens{};
};
// Nothing where it is no answer to a read. body must be followed by http::kSlack readable bytes.
std::optional<PrefillResponse> parse_prefill_response(std::string_view body);

struct StreamChunk {
  bool readable{};
  bool has_content{};  // holds a choice: the stream flows
  bool usage_only{};
  bool error{};
  double cached_tokens{};
  double prompt_tokens{};
};
class CompletionBuilder;
// data must be followed by http::kSlack readable bytes. Where into is given, what the chunk holds is added to it.
StreamChunk parse_chunk(std::string_view data, CompletionBuilder* into = nullptr);

// A whole answer, put together from the chunks of a stream.
class CompletionBuilder {
 public:
  std::string body(bool chat) const;
  std::size_t bytes() const { return text_.size() + tools_.size() * 64; }

 private:
  friend class ChunkReader;
  std::string id_, model_, text_, finish_, usage_;
  long long created_{};
  struct Tool {
    std::string id, name, arguments;
  };
  std::vector<Tool> tools_;
};

}  // namespace cressrill::router
