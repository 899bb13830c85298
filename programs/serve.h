// Runs a router until a stop signal; shared by cressrill-router and cressrill-baseline.
#pragma once

#include <random>

#include "command_line.h"
#include "io/signals.h"
#include "router/instance.h"

namespace cressrill {

// Waits for a stop signal, stops the instance, waits for its requests in flight, at most for the shutdown
// timeout, and stops the event loop.
inline io::Task<> shut_down_on_signal(io::Loop& loop, const core::RouterConfig& config, core::Log& log,
                                      router::Instance& instance) {
  io::StopSignal stop(loop);
  co_await stop.wait();
  log.info("stopping", {{"in_hand", instance.host().active_requests()}});
  instance.stop();
  const io::Nanos deadline = loop.now() + config.shutdown_timeout;
  while (!instance.is_idle() && loop.now() < deadline) co_await loop.sleep_for(5 * io::kMs);
  log.info("stopped", {{"left", instance.host().active_requests()}});
  loop.stop();
}

// Serves until a stop signal and returns the exit status. Throws if the router cannot start.
inline int serve(const core::RouterConfig& config, const router::PolicyFactory& policy_factory) {
  io::ignore_sigpipe();
  io::Loop loop;
  core::Log log(config.name, config.log_level);
  std::random_device random;
  const std::uint64_t seed = (static_cast<std::uint64_t>(random()) << 32) | random();
  router::Instance instance(loop, config, log, seed, policy_factory);
  log.info("serving", {{"at", instance.address().to_string()}, {"version", CRESSRILL_VERSION}});
  io::Scope scope(loop);
  scope.spawn(shut_down_on_signal(loop, config, log, instance));
  loop.run();
  return kSuccess;
}

}  // namespace cressrill
