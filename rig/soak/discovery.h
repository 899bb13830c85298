// A stand-in for the discovery agents: several HTTP servers that serve the same list of workers and can stop
// responding.
#pragma once

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/server.h"

namespace cressrill::rig::soak {

class Discovery {
 public:
  Discovery(io::Loop& loop, std::size_t agents);
  const io::Address& address(std::size_t agent) const { return agents_[agent]->address(); }
  // Adds or replaces the entry of a worker; the state "removed" deletes it.
  void put(nlohmann::json target);
  // While silent, no agent responds to a call.
  void set_silent(bool silent);

 private:
  io::Task<> serve(http::Request& request, http::ResponseWriter& response);
  // The response to a watch: the entries that have changed since that version.
  nlohmann::json list_since(std::uint64_t version) const;

  io::Loop& loop_;
  io::Signal changed_;
  bool silent_{};
  std::uint64_t version_{40};
  std::vector<nlohmann::json> targets_;                           // entries of the current workers
  std::deque<std::pair<std::uint64_t, nlohmann::json>> changes_;  // each with the version that it led to
  std::vector<std::unique_ptr<http::Server>> agents_;
};

}  // namespace cressrill::rig::soak
