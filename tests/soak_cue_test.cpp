// The datagrams by which a soak's workers tell its clients of an answer.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "rig/soak/cue.h"

namespace cressrill::testing {

using rig::soak::Cue;

// Guards against cues that wait behind another until a later one wakes their receiver: clients would leave too late.
TEST_CASE("cues of a soak: all that came before one look at the socket are taken with it") {
  io::Loop loop;
  std::vector<std::string> heard;
  rig::soak::CueReceiver receiver(
      loop, [&](Cue cue, const std::string& id) { heard.push_back(static_cast<char>(cue) + id); });
  rig::soak::CueSender sender(loop, receiver.address());
  sender.send(Cue::before_prefill_answer, "c1");
  sender.send(Cue::after_prefill_answer, "c1");
  sender.send(Cue::after_decode_answer, "c2");
  const io::Nanos began = loop.update_now();
  loop.run_until([&] { return heard.size() >= 3 || loop.now() > began + 20 * io::kMs; });
  CHECK(heard == std::vector<std::string>{"pc1", "Pc1", "Dc2"});
}

TEST_CASE("cues of a soak: a worker that was given no address tells nobody") {
  io::Loop loop;
  rig::soak::CueSender sender(loop, {});
  sender.send(Cue::before_decode_answer, "c1");
  CHECK(!loop.run_until([] { return false; }));
}

}  // namespace cressrill::testing
