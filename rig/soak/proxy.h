// A proxy that stands between routers and one worker and does to connections what networks do: brings answers late,
// breaks them off, passes them on in small pieces, or swallows what comes.
#pragma once

#include <random>

#include "io/socket.h"

namespace cressrill::rig::soak {

class Proxy {
 public:
  Proxy(io::Loop& loop, io::Address listen, io::Address target, std::uint64_t seed);

 private:
  enum class Trouble { none, late, broken, pieces, swallowed };
  io::Task<> accept();
  io::Task<> carry(io::Socket client);
  io::Task<> pass(io::Socket& from, io::Socket& to, std::size_t most_bytes, std::size_t& left,
                  io::Signal& over);
  Trouble draw();

  io::Loop& loop_;
  io::Address target_;
  std::mt19937_64 random_;
  io::Listener listener_;
  io::Scope connections_;
};

}  // namespace cressrill::rig::soak
