// Hosts the instances of one process: wire ids to small indices and back, one Policy for each instance.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "frame.h"

namespace cressrill::simhost {

class RouterInstance;

class BatchHandler {
 public:
  BatchHandler();
  ~BatchHandler();
  // Takes one batch (without its length field) and leaves the answer in the reply; returns its number.
  std::uint32_t handle(const std::vector<unsigned char>& frame, Reply& reply);

 private:
  std::map<int, std::unique_ptr<RouterInstance>> routers_;
  std::map<int, std::vector<unsigned char>> lists_;
};

}  // namespace cressrill::simhost
