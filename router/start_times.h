// Places the starts of workers, which discovery tells in wall-clock time, on the monotonic clock. Either wall clock may have
// been stepped, so a start is believed only within what the monotonic clock allows; where two placements are possible the
// later one is taken, as a worker that is cold for longer than it had to be costs less than one that falls over. Free of
// clocks: the caller hands in the time.
#pragma once

#include <algorithm>
#include <limits>

#include "state.h"

namespace cressrill::router {

class StartTimes {
 public:
  // What the wall clock of this machine shows at monotonic zero, as read now. It changes with each step, and the least of
  // all that were seen places a start latest.
  void record_wall_offset(Nanos offset) { least_offset_ = std::min(least_offset_, offset); }
  // The list in force was current then: a start that it does not name came later, or was known to discovery later.
  void record_current(Nanos now) { current_at_ = now; }

  // A start that is told now, as Unix time. A process that has just begun knows no list that was current before, and can
  // only believe the wall clock: then a start lies anywhere in the past.
  Nanos to_monotonic(Nanos boot, Nanos now) const {
    const Nanos placed = std::min(now, boot - least_offset_);
    const bool too_early = current_at_ > 0 && placed < current_at_ - kNoticeLag;
    return std::max<Nanos>(1, too_early ? now : placed);
  }

 private:
  static constexpr Nanos kNoticeLag = 10'000'000'000;  // discovery may hear of a start so late itself
  Nanos least_offset_{std::numeric_limits<Nanos>::max()};
  Nanos current_at_{};  // 0: no list of discovery was told yet
};

}  // namespace cressrill::router
