// Serves until told to stop: what the router's program and the rig's baselines share.
#pragma once

#include <random>

#include "command_line.h"
#include "io/signals.h"
#include "router/instance.h"

namespace cressrill {

inline io::Task<> serve_until_told(io::Loop& loop, const core::RouterConfig& station, core::Log& log,
                                   router::Instance& instance) {
  io::StopSignal stop(loop);
  co_await stop.wait();
  log.info("stopping", {{"in_hand", instance.host().live_requests()}});
  instance.stop();
  const io::Nanos until = loop.now() + station.shutdown_timeout;
  while (!instance.is_idle() && loop.now() < until) co_await loop.sleep_for(5 * io::kMs);
  log.info("stopped", {{"left", instance.host().live_requests()}});
  loop.stop();
}

inline int serve(const core::RouterConfig& station, const router::PolicyFactory& make) {
  io::ignore_sigpipe();
  io::Loop loop;
  core::Log log(station.name, station.log_level);
  std::random_device chance;
  const std::uint64_t seed = (static_cast<std::uint64_t>(chance()) << 32) | chance();
  router::Instance instance(loop, station, log, seed, make);
  log.info("serving", {{"at", instance.address().to_string()}, {"version", CRESSRILL_VERSION}});
  io::Scope scope(loop);
  scope.spawn(serve_until_told(loop, station, log, instance));
  loop.run();
  return kFine;
}

}  // namespace cressrill
