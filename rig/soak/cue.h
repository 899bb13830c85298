// Tells the clients of a soak, by datagrams over loopback, of the moment in which a worker answers, so that some of them can
// leave just then and not by chance.
#pragma once

#include <functional>
#include <string>

#include "io/socket.h"

namespace cressrill::rig::soak {

// What a worker is about to write, or has just written. The first byte of a stream is its answer.
enum class Cue : char {
  none = '-',
  before_prefill_answer = 'p',
  after_prefill_answer = 'P',
  before_decode_answer = 'd',
  after_decode_answer = 'D'
};

class CueSender {
 public:
  // Port 0: nobody is told. Throws std::system_error where there is no socket.
  CueSender(io::Loop& loop, io::Address to);
  // A datagram that the kernel does not take is lost.
  void send(Cue cue, const std::string& id);

 private:
  io::Socket socket_;
};

class CueReceiver {
 public:
  using Handler = std::function<void(Cue cue, const std::string& id)>;
  // Throws std::system_error where there is no socket.
  CueReceiver(io::Loop& loop, Handler handler);
  const io::Address& address() const { return address_; }

 private:
  io::Task<> receive();

  io::Socket socket_;
  io::Address address_;
  Handler handler_;
  io::Scope scope_;
};

}  // namespace cressrill::rig::soak
