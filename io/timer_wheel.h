// Hierarchical timing wheel (Varghese and Lauck, SOSP 1987, scheme 7), for timers most of which are cancelled
// before they are due (deadlines of attempts, stall timeouts of streams): setting and cancelling take
// constant time. A timer's slot follows from the highest bit in which its tick differs from the wheel's
// current tick. Timers with the same due time fire in the order in which they were set.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <limits>
#include <vector>

namespace cressrill::io {

// T: an intrusive list hook with auto_unlink that has 'at' (due time in nanoseconds, not negative) and
// 'order' (unique). The wheel does not own timers; destroying or unlinking one cancels it.
template <class T>
class TimerWheel {
 public:
  static constexpr std::int64_t kNone = std::numeric_limits<std::int64_t>::max();

  // Adds a timer, or moves one whose due time has changed.
  void set(T& timer) {
    timer.unlink();
    place(timer);
  }

  // Due time of the next timer, or kNone.
  std::int64_t next_due() {
    const List* slot = due_.empty() ? first_slot() : &due_;
    return slot == nullptr ? kNone : earliest(*slot);
  }
  // A lower bound of next_due() that costs less: nothing is due before it. It lies after the last fire().
  std::int64_t next_due_lower_bound() {
    if (!due_.empty()) return earliest(due_);
    if (first_slot() == nullptr) return kNone;
    return static_cast<std::int64_t>(first_tick_ << kTickBits);
  }

  // Removes the timers that are due and passes each to on_due, in the order of (at, order). now must not
  // decrease between calls. Returns whether any was due.
  template <class OnDue>
  bool fire(std::int64_t now, OnDue on_due) {
    advance(static_cast<std::uint64_t>(now) >> kTickBits);
    if (due_.empty()) return false;
    fired_.clear();
    for (T& timer : due_)
      if (timer.at <= now) fired_.push_back(&timer);
    if (fired_.empty()) return false;
    std::ranges::sort(
        fired_, [](const T* a, const T* b) { return a->at != b->at ? a->at < b->at : a->order < b->order; });
    for (T* timer : fired_) {
      timer->unlink();
      on_due(*timer);
    }
    return true;
  }

 private:
  static constexpr int kTickBits = 20;  // a tick is 2^20 ns, about 1 ms
  static constexpr int kSlotBits = 8;
  static constexpr std::size_t kSlots = 1 << kSlotBits;
  static constexpr int kLevels = 6;  // 48 bits; the ticks of all times in nanoseconds have 43

  using List = boost::intrusive::list<T, boost::intrusive::constant_time_size<false>>;
  struct Level {
    std::array<List, kSlots> slots;
    std::array<std::uint64_t, kSlots / 64> filled{};  // may include slots whose timers were all cancelled
  };

  static std::int64_t earliest(const List& slot) {
    std::int64_t at = kNone;
    for (const T& timer : slot) at = std::min(at, timer.at);
    return at;
  }

  void place(T& timer) {
    const std::uint64_t tick = static_cast<std::uint64_t>(timer.at) >> kTickBits;
    if (tick <= cursor_) return due_.push_back(timer);
    const int level = (63 - std::countl_zero(tick ^ cursor_)) / kSlotBits;
    const std::size_t slot = tick >> (level * kSlotBits) & (kSlots - 1);
    Level& target = levels_[static_cast<std::size_t>(level)];
    target.slots[slot].push_back(timer);
    target.filled[slot / 64] |= std::uint64_t{1} << slot % 64;
  }

  // The first slot that holds a timer that is not due yet, or null; sets first_tick_ to the tick at which it
  // begins.
  List* first_slot() {
    for (int level = 0; level < kLevels; ++level) {
      Level& current = levels_[static_cast<std::size_t>(level)];
      for (std::size_t word = 0; word < current.filled.size(); ++word)
        while (current.filled[word] != 0) {
          const std::size_t slot =
              word * 64 + static_cast<std::size_t>(std::countr_zero(current.filled[word]));
          if (current.slots[slot].empty()) {
            current.filled[word] &= current.filled[word] - 1;
            continue;
          }
          // All filled slots of a level lie after the cursor, within the cursor's revolution of that level.
          const int shift = level * kSlotBits;
          const std::uint64_t revolution = cursor_ >> (shift + kSlotBits) << kSlotBits;
          first_tick_ = (revolution | slot) << shift;
          return &current.slots[slot];
        }
    }
    return nullptr;
  }

  // Moves the cursor to a tick. The timers of each slot that begins before it are placed again. Later slots
  // stay valid, as the cursor's bits above their level do not change.
  void advance(std::uint64_t tick) {
    while (tick > cursor_) {
      List* slot = first_slot();
      if (slot == nullptr || first_tick_ > tick) {
        cursor_ = tick;
        return;
      }
      List taken;
      taken.swap(*slot);
      cursor_ = first_tick_;
      while (!taken.empty()) {
        T& timer = taken.front();
        taken.pop_front();
        place(timer);
      }
    }
  }

  std::uint64_t cursor_{};      // current tick
  std::uint64_t first_tick_{};  // set by first_slot()
  List due_;                    // timers whose tick is not after the cursor
  std::array<Level, kLevels> levels_;
  std::vector<T*> fired_;  // scratch space of fire()
};

}  // namespace cressrill::io
