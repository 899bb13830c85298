// Writes the traces of requests to the log, one line per step, at a level that is on by default and
// rate-limited.
#pragma once

#include <string_view>

#include "core/log.h"
#include "fleet.h"
#include "request_trace.h"

namespace cressrill::router {

class TraceWriter {
 public:
  TraceWriter(io::Loop& loop, core::Log& log, const Fleet& fleet) : loop_(loop), log_(log), fleet_(fleet) {}
  // reason: why the trace is written. Beyond the rate limit a trace is only counted; the next one that is
  // written logs the count.
  void write(std::string_view request, const RequestTrace& trace, const char* reason);
  // Writes the trace regardless of the rate limit.
  void write_unthrottled(std::string_view request, const RequestTrace& trace, const char* reason);

 private:
  bool acquire_token();

  io::Loop& loop_;
  core::Log& log_;
  const Fleet& fleet_;
  double tokens_{kBurstTraces};
  io::Nanos refilled_at_{};
  std::size_t suppressed_{};
  static constexpr double kBurstTraces = 8;
  static constexpr double kTracesPerSecond = 1;
};

}  // namespace cressrill::router
