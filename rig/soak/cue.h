// Notifies the clients of a soak, by UDP datagrams over loopback, that a worker is answering, so that some of
// them can leave at exactly that time.
#pragma once

#include <functional>
#include <string>

#include "io/socket.h"

namespace cressrill::rig::soak {

// What a worker is about to write or has just written. The answer of a stream is its first byte. The values
// are sent in datagrams.
enum class Cue : char {
  none = '-',
  before_prefill_answer = 'p',
  after_prefill_answer = 'P',
  before_decode_answer = 'd',
  after_decode_answer = 'D'
};

class CueSender {
 public:
  // Port 0: send() does nothing. Throws std::system_error if the socket cannot be set up.
  CueSender(io::Loop& loop, io::Address to);
  // Never blocks. A datagram that the kernel does not accept is dropped.
  void send(Cue cue, const std::string& id);

 private:
  io::Socket socket_;
};

class CueReceiver {
 public:
  using Handler = std::function<void(Cue cue, const std::string& id)>;
  // Calls the handler for each datagram. Throws std::system_error if the socket cannot be set up.
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
