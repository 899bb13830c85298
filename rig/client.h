// A client of the router, for scenarios, tests and measurements: sends one request, reads the response, and
// records both.
#pragma once

#include <functional>
#include <string>

#include "http/client.h"
#include "record.h"

namespace cressrill::rig {

struct ClientRequest {
  std::string id;        // of this try
  std::string sequence;  // of the request: the same for all its tries
  std::string router;    // name of the router it is sent to
  io::Address address;   // address of that router
  std::string type;
  std::string api_key;          // bearer key of a tenant; empty: none
  std::string idempotency_key;  // idempotency key; empty: none
  std::string path = "/v1/chat/completions";
  std::string body;
  bool stream{true};
  io::Nanos time_limit{};          // time limit that is sent with the request
  io::Nanos slo{};                 // only recorded
  std::function<void()> on_first;  // called at the first token; may be empty
  io::Nanos
      leave_after_first{};  // the client closes the connection this long after the first token; 0: never
};

struct ClientResult {
  // The outcome: generated, rejected, aborted, broken (an error event ended the stream), refused (4xx), cut
  // (the connection ended before the response did), unreached (no connection), silent (no response in time),
  // left (the client closed the connection) or garbled (the response is malformed).
  std::string outcome;
  int status{};
  io::Nanos time_to_first_token{};  // from the start of the request to the first token; 0: none came
  io::Nanos elapsed{};
  io::Nanos retry_after{};
  std::size_t tokens{};
};

// Sends the request on a new connection and suspends until its response has ended or the client gives up.
// Each outcome is recorded as one "final" or "unreached" event.
io::Task<ClientResult> send_request(io::Loop& loop, Recorder& record, ClientRequest question);

}  // namespace cressrill::rig
