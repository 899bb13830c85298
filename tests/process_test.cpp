#include "rig/process.h"

#include <doctest/doctest.h>
#include <sys/wait.h>

namespace cressrill::testing {

TEST_CASE("child process: a signal to a child that has ended reaches no process") {
  rig::Process child({"/bin/true"}, "/dev/null");
  siginfo_t info{};
  REQUIRE(::waitid(P_PID, static_cast<id_t>(child.pid()), &info, WEXITED | WNOWAIT) == 0);
  CHECK_FALSE(child.running());
  // SIGCONT does no harm if it goes to all processes after all.
  CHECK_FALSE(child.send_signal(SIGCONT));
}

}  // namespace cressrill::testing
