// What engines answer, decoded (docs/design/engine-wire.md). No sockets: texts in, facts out.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "state.h"

namespace cressrill::router {

// The load that an engine reports beside an answer: field 'endpoint-load-metrics', the TEXT form of ORCA.
Report read_load(const http::Head& head);

// What a status other than 200 says of the attempt.
struct Refusal {
  Outcome outcome{};
  bool for_client{};  // the request itself is at fault: the client gets this answer
};
Refusal read_refusal(int status, std::string_view body);

struct ReadAnswer {
  std::string state;  // kv_transfer_params, as it goes to the writer
  double kept{};
  double prompt_tokens{};
};
// Nothing where it is no answer to a read. body must be followed by http::kSlack readable bytes.
std::optional<ReadAnswer> read_read_answer(std::string_view body);

struct StreamChunk {
  bool readable{};
  bool content{};  // holds a choice: the stream flows
  bool usage_only{};
  bool error{};
  double kept{};
  double prompt_tokens{};
};
class Whole;
// data must be followed by http::kSlack readable bytes. Where into is given, what the chunk holds is added to it.
StreamChunk read_chunk(std::string_view data, Whole* into = nullptr);

// A whole answer, put together from the chunks of a stream.
class Whole {
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
