// The parts of the host that depend on the protocol: how a client's request is parsed, what an attempt sends,
// what a worker's response means, how KV cache is released, and what the final response to the client is.
// Works on texts only, without sockets, and makes no scheduling decisions (docs/design/platform.md).
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "core/parsed_request.h"
#include "http/server.h"
#include "policy.h"

namespace cressrill::router {

// How a request ended for its client.
enum class RequestOutcome { none, generated, rejected, aborted, broken, engine_refused };
// Returns the enumerator's name.
const char* to_string(RequestOutcome outcome);

// The properties of a request that the host passes to the policy on its arrival, and its id.
struct RequestInfo {
  std::string id;
  int type{};
  int tenant{};
  std::uint64_t session{};      // 0: none
  std::uint64_t prefix_hash{};  // 0: none
  double prompt_tokens{};
  double prefix_tokens{};
  double max_output_tokens{};
  Nanos time_limit{};  // from arrival to the deadline
};

// The properties of an attempt that its request to the worker depends on.
struct AttemptInfo {
  int number{};
  bool is_prefill{};
  std::string_view worker_address;
  // For a decode attempt, from the response of the prefill whose KV cache it fetches.
  std::string_view kv_transfer_params;
  Nanos timeout{};  // how long its response is awaited
};
// The text of a request to a worker. body.parts, which are written in that order, are views: the first one of
// head, the others of the rest of body and of texts of the exchange.
struct RequestText {
  std::string head;
  core::EngineRequestBody body;
};

// The meaning of a worker's response that is not a stream.
struct ResponseMeaning {
  Outcome outcome{};
  double cached_tokens{};
  std::string kv_transfer_params;  // from the response to a prefill
  bool is_client_error{};          // the request itself is invalid: the client gets an error, without a retry
};

// The meaning of one event of a stream.
struct StreamEvent {
  bool readable{true};  // false: cannot be parsed, or reports an error
  bool has_content{};   // holds a part of the generated response
  bool is_last{};
  bool usage_only{};  // has a usage member and no content
  double cached_tokens{};
};

// A complete response that the router itself sends to a client.
struct Reply {
  int status{};
  std::string fields;  // header lines
  std::string body;
  bool is_refusal{};  // the request is not processed, and the connection closes unless keep_connection is set
  bool keep_connection{};  // further requests on the connection may be valid
};

// How the response to a client ends.
struct FinalResponse {
  Reply reply;            // the response, if no stream has started
  bool is_stream{};       // the response is a stream and ends as one, even if no part of it has been sent
  std::string last_part;  // what a started stream ends with
  bool truncate{};        // the connection of a started stream closes without the last HTTP chunk
  bool close_after{};     // the connection closes after the response
};

// The protocol's state of one request. Lives until the request and its KV cache lease are finished.
class Exchange {
 public:
  virtual ~Exchange() = default;
  // Fills text with the request to the attempt's worker.
  virtual void build_request(const AttemptInfo& attempt, RequestText& text) = 0;
  // Interprets a complete response that is not a stream.
  virtual ResponseMeaning interpret_response(const AttemptInfo& attempt, const http::Head& head,
                                             std::string body) = 0;
  // Interprets an event of a stream. data is followed by http::kReadPaddingBytes readable bytes. started: the
  // event belongs to the client's stream, after the event with which that stream started.
  virtual StreamEvent interpret_event(std::string_view data, bool started) = 0;
  // Called with the event with which the client's stream starts, after interpret_event().
  virtual void stream_started(std::string_view /*data*/) {}
  // Appends to output what the client gets for an event of its stream. raw: the event as received.
  virtual void forward_event(std::string_view data, std::string_view raw, const StreamEvent& event,
                             std::string& output) = 0;
  // The number of bytes buffered of a response that is sent to the client only once it is complete.
  virtual std::size_t buffered_bytes() const { return 0; }
  // Returns the end of the response to the client. late: the deadline has passed or is close.
  virtual FinalResponse final_response(RequestOutcome outcome, bool late, Nanos retry_after) = 0;
  // The text of the request that releases the KV cache that an attempt left at a worker. worker: its address.
  virtual std::string release_request(int attempt, std::string_view worker) = 0;
  // Size of the request as it is kept for further attempts.
  virtual std::size_t request_bytes() const { return 0; }
  // Frees the request's body, which no further attempt will need.
  virtual void drop_body() = 0;
};

// A protocol between clients, router and workers. Creates an Exchange for each request, and must outlive it.
class Protocol {
 public:
  // Properties of the protocol that determine how the host acts.
  struct Traits {
    // One release, sent to any worker, frees all KV cache held for a request, and KvHold decides when it is
    // sent. Otherwise each prefill's KV cache is released at its own worker.
    bool single_release{};
    bool partial_request_never_runs{};  // a request whose last byte was not written is known not to have run
    // The last HTTP chunk completes a stream, whatever its last event was.
    bool complete_without_last_event{};
    std::size_t max_event_bytes{1024 * 1024};
  };
  virtual ~Protocol() = default;
  virtual Traits traits() const = 0;
  // Parses a client's request. Returns an exchange and fills info if the request is accepted, or else returns
  // the response to it.
  virtual std::variant<std::unique_ptr<Exchange>, Reply> begin_exchange(http::Request& request,
                                                                        RequestInfo& info) = 0;
  // Header lines of a streamed response.
  virtual std::string_view stream_fields() const = 0;
  // The load that a worker reports in the head of a response, or in a comment line of a stream.
  virtual LoadReport parse_load_report(const http::Head& head) const = 0;
  virtual LoadReport parse_load_report(std::string_view comment) const = 0;
};

}  // namespace cressrill::router
