// The parts of the host that depend on the protocol: how a client's request is parsed, what an attempt sends,
// what a worker's response means, how KV cache is released, and what the client gets in the end. Works on
// texts only, without sockets, and makes no scheduling decisions (docs/design/platform.md).
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
const char* to_string(RequestOutcome outcome);

// The properties of a request that the policy is given on arrival.
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

// A schedule attempt, as needed to build its request.
struct AttemptInfo {
  int number{};
  bool is_prefill{};
  std::string_view worker_address;
  std::string_view
      kv_transfer_params;  // of a decode attempt: from the response of the prefill that it follows
  Nanos timeout{};         // how long its response is awaited
};
// A request to a worker. The parts of body are views into head, which comes first, into the rest of body, and
// into texts of the exchange.
struct RequestText {
  std::string head;
  core::EngineBody body;
};

// The meaning of a worker's response that is not a stream.
struct ResponseMeaning {
  Outcome outcome{};
  double cached_tokens{};
  std::string kv_transfer_params;  // of a prefill
  bool is_client_error{};          // the request itself is invalid: the client gets an error, without a retry
};

// The meaning of one event of a stream.
struct StreamEvent {
  bool readable{true};
  bool has_content{};  // part of the generated response
  bool is_last{};
  bool usage_only{};
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
  std::string last_part;  // of a started stream
  bool truncate{};        // the connection of a started stream closes without the last chunk
  bool close_after{};     // the connection closes after the response
};

// The protocol's state of one request. Lives until the request and its KV cache lease are finished.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void build_request(const AttemptInfo& attempt, RequestText& to) = 0;
  virtual ResponseMeaning interpret_response(const AttemptInfo& attempt, const http::Head& head,
                                             std::string body) = 0;
  // data is followed by http::kReadPaddingBytes readable bytes. started: the event belongs to the client's
  // stream, after the event with which that stream started.
  virtual StreamEvent interpret_event(std::string_view data, bool started) = 0;
  // Called with the event with which the client's stream starts, after interpret_event().
  virtual void stream_started(std::string_view /*data*/) {}
  // Appends what the client gets for an event of its stream. raw: the event as received.
  virtual void forward_event(std::string_view data, std::string_view raw, const StreamEvent& event,
                             std::string& to) = 0;
  // Bytes buffered of a response that is sent to the client only once it is complete.
  virtual std::size_t buffered_bytes() const { return 0; }
  // late: the deadline has come or is close.
  virtual FinalResponse final_response(RequestOutcome outcome, bool late, Nanos retry_after) = 0;
  // The text of the request that releases the KV cache an attempt left at a worker. worker: its address.
  virtual std::string release_request(int attempt, std::string_view worker) = 0;
  // Frees the request's body, which no further attempt will need.
  virtual void drop_body() = 0;
};

// A protocol between clients, router and workers. Creates an Exchange for each request; must outlive them.
class Protocol {
 public:
  // How the host has to act for this protocol.
  struct Traits {
    // One release, sent to any worker, frees all KV cache held for a request, and KvHold decides when it is
    // sent. Otherwise each prefill's KV cache is released at its own worker.
    bool single_release{};
    bool partial_request_never_runs{};   // a request whose last byte was not written is known not to have run
    bool complete_without_last_event{};  // the last chunk completes a stream, whatever its last event was
    std::size_t max_event_bytes{1024 * 1024};
  };
  virtual ~Protocol() = default;
  virtual Traits traits() const = 0;
  // Parses a client's request. Returns an exchange and fills to if the request is accepted, or else the reply
  // to it.
  virtual std::variant<std::unique_ptr<Exchange>, Reply> open_exchange(http::Request& request,
                                                                       RequestInfo& to) = 0;
  // Header lines of a streamed response.
  virtual std::string_view stream_fields() const = 0;
  // The load that a worker reports in the head of a response, or in a comment line of a stream.
  virtual LoadReport parse_load_report(const http::Head& head) const = 0;
  virtual LoadReport parse_load_report(std::string_view comment) const = 0;
};

}  // namespace cressrill::router
