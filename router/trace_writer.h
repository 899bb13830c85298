// Writes the traces of requests to the log, one line per step, as warnings, which are logged by default.
// The rate is limited.
#pragma once

#include <string_view>

#include "core/log.h"
#include "fleet.h"
#include "request_trace.h"

namespace cressrill::router {

class TraceWriter {
 public:
  TraceWriter(io::Loop& loop, core::Log& log, const Fleet& fleet) : loop_(loop), log_(log), fleet_(fleet) {}
  // Writes a trace unless the rate limit is exceeded. A trace that is not written is counted, and the count
  // is logged with the next one.
  void write(std::string_view request, const RequestTrace& trace, const char* reason);
  // Writes the trace regardless of the rate limit.
  void write_unthrottled(std::string_view request, const RequestTrace& trace, const char* reason);

 private:
  // Takes a token from the token bucket of the rate limit. Returns false, and counts the trace, if it is
  // empty.
  bool acquire_token();

  io::Loop& loop_;
  core::Log& log_;
  const Fleet& fleet_;
  double tokens_{kBurstTraces};
  io::Nanos refilled_at_{};
  std::size_t suppressed_{};  // number of traces not written since the last one that was
  static constexpr double kBurstTraces = 8;
  static constexpr double kTracesPerSecond = 1;
};

}  // namespace cressrill::router
