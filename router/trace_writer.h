// Writes the traces of requests to the log: one line a step, at the default level, and no more of them than a log takes.
#pragma once

#include <string_view>

#include "core/log.h"
#include "fleet.h"
#include "request_trace.h"

namespace cressrill::router {

class TraceWriter {
 public:
  TraceWriter(io::Loop& loop, core::Log& log, const Fleet& fleet) : loop_(loop), log_(log), fleet_(fleet) {}
  // reason: why it is written. Past a rate of traces it is only counted, and the next one tells how many were.
  void write(std::string_view request, const RequestTrace& trace, const char* reason);
  // At an operator's asking: not bounded by the rate.
  void write_unthrottled(std::string_view request, const RequestTrace& trace, const char* reason);

 private:
  bool admit();

  io::Loop& loop_;
  core::Log& log_;
  const Fleet& fleet_;
  double tokens_{kBurst};
  io::Nanos filled_{};
  std::size_t withheld_{};
  static constexpr double kBurst = 8;
  static constexpr double kEachSecond = 1;
};

}  // namespace cressrill::router
