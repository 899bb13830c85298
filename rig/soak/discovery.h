// A stand-in for discovery's agents: one history of changes behind several addresses, each of which can fall silent.
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
  // A worker's entry is new, or has changed; one whose state is "removed" leaves the list.
  void put(nlohmann::json target);
  // No call is answered while it is silent.
  void silence(bool silent);

 private:
  io::Task<> answer(http::Request& request, http::ResponseWriter& to);
  nlohmann::json list_since(std::uint64_t version) const;

  io::Loop& loop_;
  io::Signal changed_;
  bool silent_{};
  std::uint64_t version_{40};
  std::vector<nlohmann::json> all_;
  std::deque<std::pair<std::uint64_t, nlohmann::json>> changes_;
  std::vector<std::unique_ptr<http::Server>> agents_;
};

}  // namespace cressrill::rig::soak
