// A proxy that stands between routers and one worker and does to connections what networks do: brings answers late,
// breaks them off, passes them on in small pieces, swallows what comes, or falls silent with every connection open.
#pragma once

#include <random>

#include "io/socket.h"

namespace cressrill::rig::soak {

class Proxy {
 public:
  Proxy(io::Loop& loop, io::Address listen, io::Address target, std::uint64_t seed);
  // The connections that are open now pass nothing any more and stay open, or nothing towards the router only.
  void silence_open_connections();
  // All connections, new ones too, pass nothing until told otherwise; what came meanwhile is passed on then.
  void silence_all(bool silent);

 private:
  enum class Trouble { none, late, broken, pieces, swallowed };
  io::Task<> accept();
  io::Task<> carry(io::Socket client, std::uint64_t number);
  io::Task<> pass(io::Socket& from, io::Socket& to, std::size_t most_bytes, std::size_t& left,
                  io::Signal& over, std::uint64_t number, bool towards_worker);
  bool passes(std::uint64_t number, bool towards_worker) const;
  Trouble draw();

  io::Loop& loop_;
  io::Address target_;
  std::mt19937_64 random_;
  io::Listener listener_;
  std::uint64_t accepted_{};
  std::uint64_t silent_up_to_{};          // connections of these numbers, for good
  std::uint64_t answers_silent_up_to_{};  // and of these, on the way to the router
  bool all_silent_{};
  io::Signal passes_again_;
  io::Scope connections_;
};

}  // namespace cressrill::rig::soak
