// What the whole-path tests share, whichever protocol they speak: a port to be given, time to pass, chunks.
#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace cressrill::testing {

inline const io::Address kAnyPort{127u << 24 | 1, 0};

// Runs all that happens in so many milliseconds.
inline void run_for(io::Loop& loop, std::int64_t ms) {
  bool over = false;
  io::Scope timer(loop);
  timer.spawn([](io::Loop& l, io::Nanos until, bool& o) -> io::Task<> {
    co_await l.sleep_until(until);
    o = true;
  }(loop, loop.now() + ms * io::kMs, over));
  loop.run_until([&] { return over; });
}

inline void append_chunk(std::string& to, std::string_view data) {
  to.append(http::ChunkSizeLine(data.size()).text()).append(data).append(http::kChunkEnd);
}

}  // namespace cressrill::testing
