// Serves HTTP/1.1 on a listener: one coroutine a connection, one request at a time on each.
#pragma once

#include <functional>
#include <string>

#include "message.h"

namespace cressrill::http {

struct Request {
  Head head;
  std::string body;  // with room for kSlack more
  io::Nanos came{};  // when its last byte had been read
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
  // The connection ends behind what was written, which still reaches the peer: with an answer that was not ended, cut.
  void close_after() { keep_alive_ = false; }

 private:
  bool wrote(const io::Moved& moved);
  io::Socket& socket_;
  std::string head_;  // waits for the first part
  bool keep_alive_;
  bool begun_{};
  bool broken_{};
};

// How long a client may take; 0: as long as it likes.
struct Patience {
  io::Nanos first{};    // from connecting to the end of its first request
  io::Nanos request{};  // from a later request's head to its end
  io::Nanos idle{};     // between two requests; a head that has begun counts as idle
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
  // Ends connections whose clients take longer. Set before the first comes.
  void be_patient(Patience patience);
  // Connections end after the request that they carry, those that have carried one and carry none at once; new ones are
  // still taken, and may bring one. all: those that have carried none end as well.
  void wind_down(bool all);
  // No new connections; those that are open end after the request that they carry.
  void stop_accepting();
  std::size_t connections() const { return open_; }
  // Connections with a request in hand.
  std::size_t in_hand() const { return open_ - quiet_count_; }
  // For stand-ins: takes a connection at most each so often, with no line of those that wait; 0 as usual.
  void accept_slowly(io::Nanos each);
  // Breaks every connection and stops listening.
  void kill();

 private:
  io::Task<> accept();
  io::Task<> serve(io::Socket socket);
  io::Task<> refuse(io::Socket& socket, Fault fault, bool& evicted);

  io::Loop& loop_;
  Handler handler_;
  Refusal refusal_;
  Bounds bounds_;
  std::size_t connections_;
  std::size_t open_{};
  bool stopping_{};
  io::Nanos accept_each_{};
  // A connection that carries no whole request, from its beginning or its last answer on. In the list by that time.
  struct Quiet : io::intrusive::list_base_hook<io::AutoUnlink> {
    Quiet(Server& of, io::Socket& s, io::Nanos until, bool& e)
        : server(of), socket(s), due(until), evicted(e) {
      server.quiet_.push_back(*this), ++server.quiet_count_;
      if (server.open_ >= server.connections_) server.closed_.notify();  // it may make room
    }
    ~Quiet() { --server.quiet_count_; }
    Server& server;
    io::Socket& socket;
    io::Nanos due;
    bool& evicted;
    static bool between_requests(const Quiet& q) { return !q.body; }
    bool body{};   // its head has been read: it is not closed to make room
    bool first{};  // it has carried no request yet
    bool ended{};  // this side ends it: what still comes is read, and nobody's
    bool lingers{};
    bool rests() const { return !body && !first && !lingers; }
  };
  io::Task<> end_overdue();
  void make_room();
  // Closes after an answer that ends its connection, so that what the client still sends cannot take it with it.
  io::Task<> linger(io::Socket& socket, bool& evicted);
  std::size_t evicted_{};  // connections that were closed to make room, and have not ended yet
  // What becomes of a quiet connection: closed at once, or ended so that bytes that cross its end do no harm.
  enum class How { stays, closed, ended };
  template <class Judge>
  void close_quiet(Judge judge);
  Patience patience_;
  std::size_t quiet_count_{};
  io::intrusive::list<Quiet, io::intrusive::constant_time_size<false>> quiet_;
  io::Signal closed_;
  io::Listener listener_;
  io::Scope sessions_;
  io::Scope acceptor_;
  io::Scope keeper_;
};

}  // namespace cressrill::http
