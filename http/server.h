// Serves HTTP/1.1 on a listener: one coroutine a connection, one request at a time on each.
#pragma once

#include <functional>
#include <string>

#include "message.h"

namespace cressrill::http {

struct Request {
  Head head;
  std::string body;  // with room for kSlack more
};

// What a handler answers with. A handler writes one whole response, or a stream, and nothing else.
class Answer {
 public:
  Answer(io::Socket& socket, bool keep_alive) : socket_(socket), keep_alive_(keep_alive) {}
  // fields: "name: value\r\n" lines.
  io::Task<bool> whole(int status, std::string_view fields, std::string_view body);
  io::Task<bool> begin(int status, std::string_view fields);
  // As begin, but the head goes out with the first part, in one call of the kernel.
  void begin_with_part(int status, std::string_view fields);
  io::Task<bool> part(std::string_view data);
  // data: a last part, or none.
  io::Task<bool> end(std::string_view data = {});
  // The peer is left without a proper end: it sees that the answer broke.
  void break_off() { keep_alive_ = false, socket_.close(true); }
  io::Task<> peer_gone() { return socket_.peer_gone(); }
  io::Socket& socket() { return socket_; }
  bool begun() const { return begun_; }
  bool broken() const { return broken_; }
  bool keep_alive() const { return keep_alive_; }
  void close_after() { keep_alive_ = false; }

 private:
  bool wrote(const io::Moved& moved);
  io::Socket& socket_;
  std::string head_;  // waits for the first part
  bool keep_alive_;
  bool begun_{};
  bool broken_{};
};

class Server {
 public:
  using Handler = std::function<io::Task<>(Request&, Answer&)>;
  // What a request that cannot be read is answered with: status and body, sent before the connection closes.
  using Refusal = std::function<std::string(int status, Fault fault)>;

  Server(io::Loop& loop, io::Address address, Handler handler, Bounds bounds = {},
         std::size_t connections = 20'000);
  const io::Address& address() const { return listener_.address(); }
  void refuse_with(Refusal refusal) { refusal_ = std::move(refusal); }
  // No new connections; those that are open end after the request that they carry.
  void stop_accepting();
  std::size_t connections() const { return open_; }
  // For stand-ins: takes a connection at most each so often, with no line of those that wait; 0 as usual.
  void accept_slowly(io::Nanos each);
  // Breaks every connection and stops listening.
  void kill();

 private:
  io::Task<> accept();
  io::Task<> serve(io::Socket socket);
  io::Task<> refuse(io::Socket& socket, Fault fault);

  io::Loop& loop_;
  Handler handler_;
  Refusal refusal_;
  Bounds bounds_;
  std::size_t connections_;
  std::size_t open_{};
  bool stopping_{};
  io::Nanos accept_each_{};
  struct Idle : io::intrusive::list_base_hook<io::AutoUnlink> {
    explicit Idle(io::Socket& s) : socket(s) {}
    io::Socket& socket;
  };
  io::intrusive::list<Idle, io::intrusive::constant_time_size<false>> idle_;  // between two requests
  io::Signal closed_;
  io::Listener listener_;
  io::Scope sessions_;
  io::Scope acceptor_;
};

}  // namespace cressrill::http
