#include "trace_writer.h"

#include <algorithm>

namespace cressrill::router {

bool TraceWriter::admit() {
  const io::Nanos now = loop_.now();
  const double seconds = static_cast<double>(now - filled_) / static_cast<double>(io::kSecond);
  tokens_ = std::min(kBurst, tokens_ + seconds * kEachSecond);
  filled_ = now;
  if (tokens_ < 1) return ++withheld_, false;
  tokens_ -= 1;
  return true;
}

void TraceWriter::write(std::string_view request, const RequestTrace& trace, const char* reason) {
  if (admit()) write_all_the_same(request, trace, reason);
}

void TraceWriter::write_all_the_same(std::string_view request, const RequestTrace& trace,
                                     const char* reason) {
  log_.warn("request trace", {{"request", request},
                              {"reason", reason},
                              {"steps_dropped", trace.dropped()},
                              {"traces_withheld", std::exchange(withheld_, 0)}});
  const io::Nanos now = loop_.now();
  trace.each([&](const TraceEntry& entry) {
    const Link* link = entry.worker < 0 ? nullptr : fleet_.find(entry.worker);
    log_.warn("request step", {{"request", request},
                               {"ms_ago", (now - entry.at) / io::kMs},
                               {"step", kStepNames[static_cast<std::size_t>(entry.step)]},
                               {"detail", entry.detail},
                               {"kv", word(entry.kv)},
                               {"attempt", entry.attempt},
                               {"worker", link == nullptr ? std::string_view{} : link->listed.name},
                               {"worker_heard_ms_ago",
                                link == nullptr || link->heard == 0 ? -1 : (now - link->heard) / io::kMs},
                               {"connection_stood_ms", entry.stood < 0 ? -1 : entry.stood / io::kMs},
                               {"bytes", entry.bytes}});
  });
}

}  // namespace cressrill::router
