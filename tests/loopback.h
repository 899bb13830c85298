// Helpers of tests that use loopback connections: an ephemeral port, simulated time, chunked bodies.
#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace cressrill::testing {

// 127.0.0.1 with port 0: the system chooses a free port.
inline const io::Address kAnyPort{127u << 24 | 1, 0};

// Runs the loop for ms milliseconds of its clock.
inline void run_for(io::Loop& loop, std::int64_t ms) {
  bool finished = false;
  io::Scope timer(loop);
  timer.spawn([](io::Loop& event_loop, io::Nanos until, bool& done) -> io::Task<> {
    co_await event_loop.sleep_until(until);
    done = true;
  }(loop, loop.now() + ms * io::kMs, finished));
  loop.run_until([&] { return finished; });
}

inline void append_chunk(std::string& to, std::string_view data) {
  to.append(http::ChunkSizeLine(data.size()).text()).append(data).append(http::kChunkEnd);
}

}  // namespace cressrill::testing
