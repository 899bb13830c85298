// What differs between the protocols that a host speaks: how a request is read, what an attempt sends, what comes
// back means, how a state is let go, and what the client gets in the end. No sockets: texts in, facts out. It
// decides nothing (docs/design/platform.md).
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "core/parsed_request.h"
#include "http/server.h"
#include "policy.h"

namespace cressrill::router {

// How a sequence ended for its client.
enum class RequestOutcome { none, generated, rejected, aborted, broken, engine_refused };
const char* to_string(RequestOutcome final);

// What the decisions are told of a sequence when it is taken.
struct RequestInfo {
  std::string id;
  int type{};
  int tenant{};
  std::uint64_t session{};      // 0: none
  std::uint64_t prefix_hash{};  // 0: none
  double prompt_tokens{};       // tokens, as the next two
  double prefix_tokens{};
  double max_output_tokens{};
  Nanos time_limit{};
};

// One schedule attempt, for the text of its request.
struct AttemptInfo {
  int number{};
  bool is_prefill{};
  std::string_view worker_address;  // its address
  std::string_view
      kv_transfer_params;  // of a write: what the read that it follows left, as its answer named it
  Nanos timeout{};         // how long it will be waited for
};
// body: views into the sequence's own texts and into what this holds; the head comes first among its parts.
struct RequestText {
  std::string head;
  core::EngineBody body;
};

// What an answer of a worker means that is no stream.
struct ResponseMeaning {
  Outcome outcome{};
  double cached_tokens{};
  std::string kv_transfer_params;  // of a read
  bool is_client_error{};          // the request itself is at fault: the client gets this answer
};

// What an event of a stream means.
struct StreamEvent {
  bool readable{true};
  bool has_content{};  // the answer has begun
  bool is_last{};
  bool usage_only{};
  double cached_tokens{};
};

// A whole answer of ours.
struct Reply {
  int status{};
  std::string fields;
  std::string body;
  bool is_refusal{};       // nothing is done; the connection ends after it,
  bool keep_connection{};  // unless what is sent behind may be sound
};

// How an answer to a client ends.
struct FinalResponse {
  Reply reply;            // where no stream has begun
  bool is_stream{};       // generated as a stream: begun or not, it ends as one
  std::string last_part;  // where a stream has begun: its last part
  bool truncate{};        // where a stream has begun: its connection ends without the last chunk
  bool close_after{};     // the connection is not kept
};

// One sequence as its protocol sees it, for as long as it is in hand.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void build_request(const AttemptInfo& attempt, RequestText& to) = 0;
  virtual ResponseMeaning interpret_response(const AttemptInfo& attempt, const http::Head& head,
                                             std::string body) = 0;
  // data: followed by http::kSlack readable bytes. bound: of the stream that the client gets, past its beginning.
  virtual StreamEvent interpret_event(std::string_view data, bool bound) = 0;
  // That event begins the stream that the client gets.
  virtual void stream_started(std::string_view) {}
  // Appends what the client gets of an event of the bound stream; raw: the event as it came.
  virtual void forward_event(std::string_view data, std::string_view raw, const StreamEvent& heard,
                             std::string& to) = 0;
  // Bytes kept of an answer that is to be passed on whole.
  virtual std::size_t buffered_bytes() const { return 0; }
  virtual FinalResponse final_response(RequestOutcome final, bool late, Nanos retry_after) = 0;
  // The request that lets go of what an attempt left at that worker.
  virtual std::string release_request(int attempt, std::string_view worker) = 0;
  // No attempt will need the request's body again.
  virtual void drop_body() = 0;
};

class Protocol {
 public:
  // Where protocols want other things of their host.
  struct Traits {
    bool single_release{};  // letting go frees all that is held for a sequence, at any worker, and is the
                            // decisions' alone; else each state is let go of where it lies
    bool partial_request_never_runs{};   // a request whose last byte was not written is known not to have run
    bool complete_without_last_event{};  // a stream is whole with its last chunk, whatever its last event
    std::size_t max_event_bytes{1024 * 1024};
  };
  virtual ~Protocol() = default;
  virtual Traits traits() const = 0;
  // A request that is taken (to is filled), or what it is answered with.
  virtual std::variant<std::unique_ptr<Exchange>, Reply> open_exchange(http::Request& request,
                                                                       RequestInfo& to) = 0;
  virtual std::string_view stream_fields() const = 0;
  // The load that a worker reports beside an answer, and in a comment line of a stream.
  virtual LoadReport parse_load_report(const http::Head& head) const = 0;
  virtual LoadReport parse_load_report(std::string_view comment) const = 0;
};

}  // namespace cressrill::router
