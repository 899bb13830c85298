// Compares the project's own data structures with standard ones, at the sizes that occur.
#include <benchmark/benchmark.h>

#include <boost/intrusive/set.hpp>
#include <cstring>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "io/frames.h"
#include "io/timer_wheel.h"

namespace cressrill {

namespace {

namespace bi = boost::intrusive;
constexpr std::int64_t kMs = 1'000'000;

std::uint64_t next_random(std::uint64_t& state) {
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return state;
}

// Timers: a fixed number is armed. Each step rearms one before it is due, as happens to most deadlines of
// attempts, and every sixteenth step fires those that are due. The timer wheel is compared with a priority
// queue, which keeps cancelled entries until they are due, and with a balanced tree, which the event loop
// used before.

struct WheelTimer : bi::list_base_hook<bi::link_mode<bi::auto_unlink>> {
  std::int64_t at{};
  std::uint64_t order{};
};
struct TreeTimer : bi::set_base_hook<bi::link_mode<bi::auto_unlink>> {
  std::int64_t at{};
  std::uint64_t order{};
  friend bool operator<(const TreeTimer& left, const TreeTimer& right) {
    return left.at != right.at ? left.at < right.at : left.order < right.order;
  }
};

template <class Timer, class Set, class Fire>
void timers(benchmark::State& state, Set set, Fire fire) {
  std::vector<Timer> armed(static_cast<std::size_t>(state.range(0)));
  std::uint64_t random = 88172645463325252u;
  std::uint64_t order = 0;
  std::int64_t now = kMs;
  const auto span = [&] { return static_cast<std::int64_t>(next_random(random) % 10'000) * kMs + kMs; };
  for (Timer& timer : armed) {
    timer.at = now + span();
    timer.order = order++;
    set(timer);
  }
  for (auto _ : state) {
    Timer& timer = armed[next_random(random) % armed.size()];
    timer.at = now + span();
    timer.order = order++;
    set(timer);
    now += 20'000;
    if (order % 16 == 0)
      fire(now, [&](Timer& due) {
        due.at = now + span();
        due.order = order++;
        set(due);
      });
  }
}

void timers_wheel(benchmark::State& state) {
  auto wheel = std::make_unique<io::TimerWheel<WheelTimer>>();
  timers<WheelTimer>(
      state, [&](WheelTimer& timer) { wheel->set(timer); },
      [&](std::int64_t now, auto take) { wheel->fire(now, take); });
}
void timers_tree(benchmark::State& state) {
  bi::multiset<TreeTimer, bi::constant_time_size<false>> tree;
  timers<TreeTimer>(
      state,
      [&](TreeTimer& timer) {
        timer.unlink();
        tree.insert(timer);
      },
      [&](std::int64_t now, auto take) {
        while (!tree.empty() && tree.begin()->at <= now) {
          TreeTimer& timer = *tree.begin();
          tree.erase(tree.begin());
          take(timer);
        }
      });
}
void timers_queue(benchmark::State& state) {
  struct Entry {
    std::int64_t at;
    std::uint64_t order;
    WheelTimer* timer;
    bool operator<(const Entry& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  std::priority_queue<Entry> queue;
  timers<WheelTimer>(
      state,
      [&](WheelTimer& timer) {
        queue.push({timer.at, timer.order, &timer});
      },
      [&](std::int64_t now, auto take) {
        while (!queue.empty() && queue.top().at <= now) {
          const Entry entry = queue.top();
          queue.pop();
          if (entry.timer->order == entry.order) take(*entry.timer);  // otherwise it was rearmed
        }
      });
}
BENCHMARK(timers_wheel)->Arg(100)->Arg(5'000)->Arg(100'000);
BENCHMARK(timers_tree)->Arg(100)->Arg(5'000)->Arg(100'000);
BENCHMARK(timers_queue)->Arg(100)->Arg(5'000)->Arg(100'000);

// FrameAllocator: the frames of three nested coroutines for each event, sized as for an ordinary request.

constexpr std::size_t kFrameBytes[] = {320, 264, 200};

void frames_used_again(benchmark::State& state) {
  for (auto _ : state) {
    void* frames[3];
    for (int i = 0; i < 3; ++i)
      benchmark::DoNotOptimize(frames[i] = io::FrameAllocator::allocate(kFrameBytes[i]));
    for (int i = 2; i >= 0; --i) io::FrameAllocator::deallocate(frames[i], kFrameBytes[i]);
  }
}
void frames_heap(benchmark::State& state) {
  for (auto _ : state) {
    void* frames[3];
    for (int i = 0; i < 3; ++i) benchmark::DoNotOptimize(frames[i] = ::operator new(kFrameBytes[i]));
    for (int i = 2; i >= 0; --i) ::operator delete(frames[i], kFrameBytes[i]);
  }
}
BENCHMARK(frames_used_again);
BENCHMARK(frames_heap);

// The table of prefix holders: a few workers for each session key. It is looked up for each choice of a
// prefill worker, mostly without a hit; here half of the lookups miss. The policy's map of vectors is
// compared with a flat hash table that stores the holders inline.

struct PrefixHolder {
  int worker{};
  double tokens{};
  std::int64_t at{};
};
class FlatHolderTable {
 public:
  explicit FlatHolderTable(std::size_t keys) : slots_(std::bit_ceil(keys * 2)) {}
  void add(std::uint64_t key, const PrefixHolder& holder) {
    Slot& slot = slot_of(key);
    slot.key = key;
    slot.holders[slot.size < 4 ? slot.size++ : 3] = holder;
  }
  const PrefixHolder* find(std::uint64_t key, int& size) {
    const Slot& slot = slot_of(key);
    size = slot.size;
    return slot.holders;
  }

 private:
  struct Slot {
    std::uint64_t key{};
    int size{};
    PrefixHolder holders[4];
  };
  Slot& slot_of(std::uint64_t key) {
    std::size_t index = (key * 0x9e3779b97f4a7c15u) >> 32;
    for (;; ++index) {
      Slot& slot = slots_[index & (slots_.size() - 1)];
      if (slot.key == key || slot.key == 0) return slot;
    }
  }
  std::vector<Slot> slots_;
};

std::uint64_t key_of(std::uint64_t index) { return (index + 1) * 0xbf58476d1ce4e5b9u | 1; }

void holders_flat(benchmark::State& state) {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  FlatHolderTable table(keys);
  for (std::uint64_t i = 0; i < keys; ++i) table.add(key_of(i), {static_cast<int>(i % 50), 100, 1});
  std::uint64_t random = 88172645463325252u;
  double sum = 0;
  for (auto _ : state) {
    int size = 0;
    const PrefixHolder* holders = table.find(key_of(next_random(random) % (keys * 2)), size);
    for (int i = 0; i < size; ++i) sum += holders[i].tokens;
  }
  benchmark::DoNotOptimize(sum);
}
void holders_map(benchmark::State& state) {
  const auto keys = static_cast<std::uint64_t>(state.range(0));
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> table;
  for (std::uint64_t i = 0; i < keys; ++i) table[key_of(i)].push_back({static_cast<int>(i % 50), 100, 1});
  std::uint64_t random = 88172645463325252u;
  double sum = 0;
  for (auto _ : state) {
    const auto entry = table.find(key_of(next_random(random) % (keys * 2)));
    if (entry == table.end()) continue;
    for (const PrefixHolder& holder : entry->second) sum += holder.tokens;
  }
  benchmark::DoNotOptimize(sum);
}
BENCHMARK(holders_flat)->Arg(1'000)->Arg(100'000);
BENCHMARK(holders_map)->Arg(1'000)->Arg(100'000);

// The buffer of events for one client: four events are appended, then all are taken for one gathered write.
// Two strings that are swapped are compared with a ring and with a queue of strings.

const std::string kEvent(160, 'x');

void buffer_two_texts(benchmark::State& state) {
  std::string outbox;
  std::string sending;
  for (auto _ : state) {
    for (int i = 0; i < 4; ++i) outbox.append("data: ").append(kEvent).append("\n\n");
    std::swap(outbox, sending);
    benchmark::DoNotOptimize(sending.data());
    sending.clear();
  }
}
void buffer_ring(benchmark::State& state) {
  constexpr std::size_t kCapacityBytes = 64 * 1024;
  const std::unique_ptr<char[]> ring(new char[kCapacityBytes]);
  std::size_t head = 0;
  std::size_t tail = 0;
  const auto put = [&](std::string_view text) {
    const std::size_t offset = head % kCapacityBytes;
    const std::size_t before_end = std::min(text.size(), kCapacityBytes - offset);
    std::memcpy(ring.get() + offset, text.data(), before_end);
    std::memcpy(ring.get(), text.data() + before_end, text.size() - before_end);
    head += text.size();
  };
  for (auto _ : state) {
    for (int i = 0; i < 4; ++i) {
      put("data: ");
      put(kEvent);
      put("\n\n");
    }
    benchmark::DoNotOptimize(ring.get() + tail % kCapacityBytes);
    tail = head;
  }
}
void buffer_queue_of_texts(benchmark::State& state) {
  std::deque<std::string> queue;
  for (auto _ : state) {
    for (int i = 0; i < 4; ++i) queue.push_back("data: " + kEvent + "\n\n");
    while (!queue.empty()) {
      benchmark::DoNotOptimize(queue.front().data());
      queue.pop_front();
    }
  }
}
BENCHMARK(buffer_two_texts);
BENCHMARK(buffer_ring);
BENCHMARK(buffer_queue_of_texts);

}  // namespace

}  // namespace cressrill

BENCHMARK_MAIN();
