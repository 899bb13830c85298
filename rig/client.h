// A client of the router, for scenarios, tests and measurements: sends one request, reads the response, and
// records both. A retry of a request is another try with an id of its own.
#pragma once

#include <functional>
#include <string>

#include "http/client.h"
#include "record.h"

namespace cressrill::rig {

struct ClientRequest {
  std::string id;               // of this try
  std::string sequence;         // id of the request: the same for all its tries
  std::string router;           // name of the router that it is sent to
  io::Address address;          // address of that router
  std::string type;             // traffic type, only recorded
  std::string api_key;          // bearer key of a tenant; empty: none
  std::string idempotency_key;  // empty: none
  std::string path = "/v1/chat/completions";
  std::string body;
  bool stream{true};
  io::Nanos time_limit{};                // time limit that is sent with the request
  io::Nanos slo{};                       // latency SLO, only recorded
  std::function<void()> on_first_token;  // called at the first token; may be empty
  // The client closes the connection this long after the first token; 0: never.
  io::Nanos disconnect_after_first_token{};
};

struct ClientResult {
  // The outcome: generated, rejected, aborted, broken (an error event ended the stream), refused (4xx), cut
  // (the connection ended before the response did), unreached (no connection), silent (no response in time),
  // left (the client closed the connection as it was told to, or after 60 s without data during a stream) or
  // garbled (the response is malformed).
  std::string outcome;
  int status{};
  // From the start of the request to the first token, or to the end of a response without a stream; 0: no
  // token came.
  io::Nanos time_to_first_token{};
  io::Nanos elapsed{};      // from the start of the request to its outcome
  io::Nanos retry_after{};  // how long the response asks to wait before a retry; 0: not given
  std::size_t tokens{};     // received
};

// Sends the request on a new connection and suspends until its response has ended or the client gives up.
// Each outcome is recorded as one "final" or "unreached" event.
io::Task<ClientResult> send_request(io::Loop& loop, Recorder& record, ClientRequest request);

}  // namespace cressrill::rig
