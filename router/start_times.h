// Converts the start times of workers, which discovery reports in wall-clock time, to the monotonic clock.
// Either machine's wall clock may have been stepped, so a start time is trusted only within the bounds that
// the monotonic clock proves. If two conversions are possible, the later one is taken: keeping a worker in
// slow start too long costs less than overloading one that has just started. Reads no clock; the caller
// passes the time.
#pragma once

#include <algorithm>
#include <limits>

#include "state.h"

namespace cressrill::router {

class StartTimes {
 public:
  // offset: the current difference between this machine's wall clock and its monotonic clock. Each step of
  // the wall clock changes it; the smallest offset seen gives the latest start.
  void record_wall_offset(Nanos offset) { min_wall_offset_ = std::min(min_wall_offset_, offset); }
  // Records that the current list was up to date at that time: a start that it does not report happened later
  // or became known to discovery later.
  void record_current(Nanos now) { list_current_at_ = now; }

  // Converts a start time (Unix time in nanoseconds) that is reported now. A router that has just started
  // knows of no earlier up-to-date list and has to trust the wall clock: the start may then lie anywhere in
  // the past.
  Nanos to_monotonic(Nanos start_time, Nanos now) const {
    const Nanos converted = std::min(now, start_time - min_wall_offset_);
    const bool too_early = list_current_at_ > 0 && converted < list_current_at_ - kDiscoveryLag;
    return std::max<Nanos>(1, too_early ? now : converted);
  }

 private:
  static constexpr Nanos kDiscoveryLag = 10'000'000'000;  // 10 s: discovery may learn of a start this late
  Nanos min_wall_offset_{std::numeric_limits<Nanos>::max()};
  Nanos list_current_at_{};  // 0: no list from discovery yet
};

}  // namespace cressrill::router
