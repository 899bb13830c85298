// A TCP proxy in front of one worker that simulates network faults: it delays responses, resets connections,
// splits responses into small pieces, never reads from some connections, or passes no data while every
// connection stays open.
#pragma once

#include <random>

#include "io/socket.h"

namespace cressrill::rig::soak {

class Proxy {
 public:
  Proxy(io::Loop& loop, io::Address listen, io::Address target, std::uint64_t seed);
  // Permanently stops passing data on the connections that are open now, in both directions or towards the
  // router only (drawn at random). They stay open.
  void silence_open_connections();
  // Stops or resumes passing data on all connections, including new ones. Data received meanwhile is passed
  // on later.
  void set_all_silent(bool silent);

 private:
  enum class Fault { none, delayed, reset, fragmented, ignored };
  io::Task<> accept();
  io::Task<> relay_connection(io::Socket client, std::uint64_t connection_number);
  // Relays data, at most `max_bytes` at a time, until one side closes or `bytes_left` is used up. Then
  // notifies `ended`.
  io::Task<> relay(io::Socket& from, io::Socket& to, std::size_t max_bytes, std::size_t& bytes_left,
                   io::Signal& ended, std::uint64_t connection_number, bool towards_worker);
  bool may_relay(std::uint64_t connection_number, bool towards_worker) const;
  Fault draw_fault();

  io::Loop& loop_;
  io::Address target_;
  std::mt19937_64 random_;
  io::Listener listener_;
  std::uint64_t accepted_{};
  std::uint64_t silent_up_to_{};            // connections up to this number are silent in both directions
  std::uint64_t responses_silent_up_to_{};  // connections up to this number are silent towards the router
  bool all_silent_{};
  io::Signal links_recovered_;
  io::Scope connections_;
};

}  // namespace cressrill::rig::soak
