// Hosts the router instances of one process, each with its own Policy. Translates ids on the wire to the
// policy's indices and back.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "frame.h"

namespace cressrill::simhost {

class RouterInstance;

// Passes each record of a batch to the router instance that it is for.
class BatchHandler {
 public:
  BatchHandler();
  ~BatchHandler();
  // Handles one batch (a frame without its length field) and adds the decisions to the reply. Returns the
  // number of the batch. Throws WireError on malformed input.
  std::uint32_t handle(const std::vector<unsigned char>& frame, Reply& reply);

 private:
  std::map<int, std::unique_ptr<RouterInstance>> instances_;
  std::map<int, std::vector<unsigned char>> worker_lists_;
};

}  // namespace cressrill::simhost
