// Notifies the clients of a soak, by UDP datagrams over loopback, that a worker is responding, so that some
// of them can leave at exactly that time.
#pragma once

#include <functional>
#include <string>

#include "io/socket.h"

namespace cressrill::rig::soak {

// What a worker is about to write or has just written. For a streamed response, this is its start: the head
// and the first event. The values are sent in the datagrams.
enum class Cue : char {
  none = '-',
  before_prefill_response = 'p',
  after_prefill_response = 'P',
  before_decode_response = 'd',
  after_decode_response = 'D'
};

class CueSender {
 public:
  // With port 0, send() does nothing. Throws std::system_error if the socket cannot be set up.
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
