#include "trace_writer.h"

#include <algorithm>

namespace cressrill::router {

bool TraceWriter::acquire_token() {
  const io::Nanos now = loop_.now();
  const double seconds = static_cast<double>(now - refilled_at_) / static_cast<double>(io::kSecond);
  tokens_ = std::min(kBurstTraces, tokens_ + seconds * kTracesPerSecond);
  refilled_at_ = now;
  if (tokens_ < 1) {
    ++suppressed_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void TraceWriter::write(std::string_view request, const RequestTrace& trace, const char* reason) {
  if (acquire_token()) write_unthrottled(request, trace, reason);
}

void TraceWriter::write_unthrottled(std::string_view request, const RequestTrace& trace, const char* reason) {
  log_.warn("request trace", {{"request", request},
                              {"reason", reason},
                              {"steps_dropped", trace.dropped()},
                              {"traces_withheld", std::exchange(suppressed_, 0)}});
  const io::Nanos now = loop_.now();
  trace.for_each([&](const TraceEntry& entry) {
    const WorkerEntry* worker = entry.worker < 0 ? nullptr : fleet_.find(entry.worker);
    log_.warn("request step", {{"request", request},
                               {"ms_ago", (now - entry.at) / io::kMs},
                               {"step", kStepNames[static_cast<std::size_t>(entry.step)]},
                               {"detail", entry.detail},
                               {"kv", to_string(entry.kv)},
                               {"attempt", entry.attempt},
                               {"worker", worker == nullptr ? std::string_view{} : worker->listed.name},
                               {"worker_heard_ms_ago", worker == nullptr || worker->last_response_at == 0
                                                           ? -1
                                                           : (now - worker->last_response_at) / io::kMs},
                               {"connection_stood_ms", entry.idle_time < 0 ? -1 : entry.idle_time / io::kMs},
                               {"bytes", entry.bytes}});
  });
}

}  // namespace cressrill::router
