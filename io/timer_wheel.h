// Timers by time, for a scheduler most of whose timers are taken back before they are due (an attempt's deadline, a
// stream's stall). Setting one and taking it back costs the same however many there are: hashed and hierarchical
// wheels after Varghese and Lauck (SOSP 1987, scheme 7), with a slot found by the highest bit in which a timer's
// tick differs from the wheel's own. Those due at once come out in the order in which they were set.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <limits>
#include <vector>

namespace cressrill::io {

// T: intrusive list hook with auto_unlink, 'at' (nanoseconds, not negative) and 'order' (unique). Destroying a timer
// takes it back.
template <class T>
class TimerWheel {
 public:
  static constexpr std::int64_t kNone = std::numeric_limits<std::int64_t>::max();

  void set(T& timer) {
    timer.unlink();
    place(timer);
  }

  // The next timer's time, exactly; kNone where there is none.
  std::int64_t next_due() {
    const List* slot = due_.empty() ? first() : &due_;
    return slot == nullptr ? kNone : least(*slot);
  }
  // A time not after the next timer's and past the last firing: there is nothing to do before it.
  std::int64_t next_due_lower_bound() {
    if (!due_.empty()) return least(due_);
    if (first() == nullptr) return kNone;
    return static_cast<std::int64_t>(first_tick_ << kTickBits);
  }

  // Takes out what is due at a time that never goes back, in the order of (at, order).
  template <class Take>
  bool fire(std::int64_t now, Take take) {
    advance(static_cast<std::uint64_t>(now) >> kTickBits);
    if (due_.empty()) return false;
    fired_.clear();
    for (T& t : due_)
      if (t.at <= now) fired_.push_back(&t);
    if (fired_.empty()) return false;
    std::ranges::sort(
        fired_, [](const T* a, const T* b) { return a->at != b->at ? a->at < b->at : a->order < b->order; });
    for (T* t : fired_) t->unlink(), take(*t);
    return true;
  }

 private:
  static constexpr int kTickBits = 20;  // a tick is 2^20 ns, about a millisecond
  static constexpr int kSlotBits = 8;
  static constexpr std::size_t kSlots = 1 << kSlotBits;
  static constexpr int kLevels = 6;  // 2^43 bits of ticks cover all nanoseconds

  using List = boost::intrusive::list<T, boost::intrusive::constant_time_size<false>>;
  struct Level {
    std::array<List, kSlots> slots;
    std::array<std::uint64_t, kSlots / 64> filled{};  // may still name a slot whose timers were taken back
  };

  static std::int64_t least(const List& slot) {
    std::int64_t found = kNone;
    for (const T& t : slot) found = std::min(found, t.at);
    return found;
  }

  void place(T& t) {
    const std::uint64_t tick = static_cast<std::uint64_t>(t.at) >> kTickBits;
    if (tick <= cursor_) return due_.push_back(t);
    const int level = (63 - std::countl_zero(tick ^ cursor_)) / kSlotBits;
    const std::size_t slot = tick >> (level * kSlotBits) & (kSlots - 1);
    Level& l = levels_[static_cast<std::size_t>(level)];
    l.slots[slot].push_back(t);
    l.filled[slot / 64] |= std::uint64_t{1} << slot % 64;
  }

  // The first slot that holds a timer that was not due, and the tick at which it begins.
  List* first() {
    for (int level = 0; level < kLevels; ++level) {
      Level& l = levels_[static_cast<std::size_t>(level)];
      for (std::size_t word = 0; word < l.filled.size(); ++word)
        while (l.filled[word] != 0) {
          const std::size_t slot = word * 64 + static_cast<std::size_t>(std::countr_zero(l.filled[word]));
          if (l.slots[slot].empty()) {
            l.filled[word] &= l.filled[word] - 1;
            continue;
          }
          // All slots of a level lie after the cursor, in its own turn of that level.
          const int low = level * kSlotBits;
          const std::uint64_t turn = cursor_ >> (low + kSlotBits) << kSlotBits;
          first_tick_ = (turn | slot) << low;
          return &l.slots[slot];
        }
    }
    return nullptr;
  }

  // Moves the wheel on. A slot that begins on the way is taken apart; what lies in later ones stays where it is, as
  // the cursor's bits above their level have not changed.
  void advance(std::uint64_t to) {
    while (to > cursor_) {
      List* slot = first();
      if (slot == nullptr || first_tick_ > to) {
        cursor_ = to;
        return;
      }
      List taken;
      taken.swap(*slot);
      cursor_ = first_tick_;
      while (!taken.empty()) {
        T& t = taken.front();
        taken.pop_front();
        place(t);
      }
    }
  }

  std::uint64_t cursor_{};
  std::uint64_t first_tick_{};
  List due_;
  std::array<Level, kLevels> levels_;
  std::vector<T*> fired_;
};

}  // namespace cressrill::io
