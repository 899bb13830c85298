// Tests of the datagrams by which the workers of a soak notify its clients of a response.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "rig/soak/cue.h"

namespace cressrill::testing {

using rig::soak::Cue;

// Guards against cues that stay queued until a later datagram arrives, so that clients leave too late.
TEST_CASE("soak cues: all datagrams that are queued on the socket are received at one wakeup") {
  io::Loop loop;
  std::vector<std::string> received_cues;
  rig::soak::CueReceiver receiver(
      loop, [&](Cue cue, const std::string& id) { received_cues.push_back(static_cast<char>(cue) + id); });
  rig::soak::CueSender sender(loop, receiver.address());
  sender.send(Cue::before_prefill_response, "c1");
  sender.send(Cue::after_prefill_response, "c1");
  sender.send(Cue::after_decode_response, "c2");
  const io::Nanos started_at = loop.update_now();
  loop.run_until([&] { return received_cues.size() >= 3 || loop.now() > started_at + 20 * io::kMs; });
  CHECK(received_cues == std::vector<std::string>{"pc1", "Pc1", "Dc2"});
}

TEST_CASE("soak cues: a sender without an address sends nothing") {
  io::Loop loop;
  rig::soak::CueSender sender(loop, {});
  sender.send(Cue::before_decode_response, "c1");
  CHECK(!loop.run_until([] { return false; }));
}

}  // namespace cressrill::testing
