// Serves HTTP/1.1 on a listener: one coroutine a connection, one request at a time on each.
#pragma once

#include <functional>
#include <string>

#include "message.h"

namespace cressrill::http {

struct Request {
  Head head;
  std::string body;         // with room for kSlack more
  io::Nanos received_at{};  // when its last byte had come
};

// What a handler answers with. A handler writes one whole response, or a stream, and nothing else.
class ResponseWriter {
 public:
  ResponseWriter(io::Socket& socket, bool keep_alive) : socket_(socket), keep_alive_(keep_alive) {}
  // fields: "name: value\r\n" lines.
  io::Task<bool> respond(int status, std::string_view fields, std::string_view body);
  io::Task<bool> begin_stream(int status, std::string_view fields);
  // As begin, but the head goes out with the first part, in one call of the kernel.
  void begin_stream_deferred(int status, std::string_view fields);
  io::Task<bool> write_chunk(std::string_view data);
  // data: a last part, or none.
  io::Task<bool> end_stream(std::string_view data = {});
  // The peer is left without a proper end: it sees that the answer broke.
  void abort() { keep_alive_ = false, socket_.close(true); }
  io::Task<> wait_for_client_close() { return socket_.wait_for_peer_close(); }
  io::Socket& socket() { return socket_; }
  bool started() const { return begun_; }
  bool write_failed() const { return broken_; }
  // Broken as the peer took nothing for as long as the connection allows.
  bool write_stalled() const { return stalled_; }
  bool keep_alive() const { return keep_alive_; }
  // The connection ends behind what was written, which still reaches the peer: with an answer that was not ended, cut.
  void close_after_response() { keep_alive_ = false; }

 private:
  bool wrote(const io::IoResult& moved);
  io::Socket& socket_;
  std::string head_;  // waits for the first part
  bool keep_alive_;
  bool begun_{};
  bool broken_{};
  bool stalled_{};
};

// Bounds on how long a client may take; 0: no bound.
struct Timeouts {
  io::Nanos first_request{};  // from connecting to the end of its first request
  io::Nanos request{};  // from a later request's first byte to its end, within the time between two looks
  io::Nanos idle{};     // between two requests
};

// Why a client's connection ended, as far as this side knows.
enum class ConnectionEnd {
  by_client,     // it ended or broke the connection, or asked for its end
  after_answer,  // with an answer that ends it, or as the server stops
  refused,       // behind a request that could not be read
  idle,          // it rested too long, or as the server stops
  evicted,       // it made way for another
  unanswered,    // behind a request that was read and that nobody answered: a defect
};
const char* to_string(ConnectionEnd end);

class Server {
 public:
  using ConnectionEndObserver = std::function<void(ConnectionEnd)>;
  using Handler = std::function<io::Task<>(Request&, ResponseWriter&)>;
  // What a request that cannot be read is answered with: status and body, sent before the connection closes.
  using ErrorBodyFormatter = std::function<std::string(int status, MessageError fault)>;

  Server(io::Loop& loop, io::Address address, Handler handler, MessageLimits bounds = {},
         std::size_t connections = 20'000);
  const io::Address& address() const { return listener_.address(); }
  void set_error_body_formatter(ErrorBodyFormatter refusal) { refusal_ = std::move(refusal); }
  void observe_connection_ends(ConnectionEndObserver observer) { observe_end_ = std::move(observer); }
  // Ends connections whose clients take longer. Set before the first comes.
  void set_timeouts(Timeouts timeouts);
  // Ends a connection whose client takes nothing of what is written to it for so long. Set before the first comes.
  void set_write_stall_timeout(io::Nanos span) { write_stall_ = span; }
  // Connections end after the request that they carry, those that have carried one and carry none at once; new ones are
  // still taken, and may bring one. all: those that have carried none end as well.
  void drain(bool all);
  // No new connections beside those that the machine has accepted; those that are open end after the request that they
  // carry.
  void stop_accepting();
  std::size_t open_connections() const { return open_; }
  // Told to stop accepting, and the machine may still hold connections that it accepted and that nobody has taken.
  bool draining_accept_queue() const { return accepting_rest_; }
  // Connections with a request in hand.
  std::size_t active_connections() const { return open_ - idle_count_; }
  // For stand-ins: takes a connection at most each so often, with no line of those that wait; 0 as usual.
  void throttle_accept(io::Nanos each);
  // Breaks every connection and stops listening.
  void kill();

 private:
  // State of one connection beside its socket.
  struct Session {
    io::Socket& socket;
    MessageReader reader;
    std::size_t requests{};  // whose reading has begun
    bool evicted{};          // it was closed to make room
    bool ended{};            // this side has ended it: what still comes is not read
  };

  io::Task<> accept();
  io::Task<> accept_rest();
  io::Task<> room_for_one();
  void begin(io::Socket socket);
  io::Task<> serve(io::Socket socket);
  io::Task<ConnectionEnd> converse(Session& session);
  enum class Handled { answered, client_left, unanswered };
  io::Task<Handled> handle(Request& request, ResponseWriter& answer);
  io::Task<MessageError> read_request(Session& session, Request& request);
  io::Nanos due(io::Nanos span) const;
  io::Task<> refuse(io::Socket& socket, MessageError fault, bool& evicted);

  // What becomes of an idle connection: closed at once, ended so that bytes that cross its end do no harm, or, where a part
  // of a request has come, answered with an error.
  enum class Ending { stays, closed, ended, timed_out, crowded_out };

  io::Loop& loop_;
  Handler handler_;
  ErrorBodyFormatter refusal_;
  ConnectionEndObserver observe_end_;
  MessageLimits bounds_;
  std::size_t connections_;
  std::size_t open_{};
  bool stopping_{};
  bool accepting_rest_{};
  io::Nanos accept_each_{};
  // A connection that carries no whole request, from its beginning or its last answer on. In the list by that time.
  struct IdleConnection : io::intrusive::list_base_hook<io::AutoUnlink> {
    IdleConnection(Server& of, io::Socket& s, io::Nanos until, bool& e, const MessageReader* r = nullptr)
        : server(of), socket(s), due(until), evicted(e), reader(r) {
      server.idle_.push_back(*this), ++server.idle_count_;
      if (server.open_ >= server.connections_) server.closed_.notify();  // it may make room
    }
    ~IdleConnection() { --server.idle_count_; }
    Server& server;
    io::Socket& socket;
    io::Nanos due;
    bool& evicted;
    const MessageReader* reader;   // of its requests; null where it lingers
    bool first{};                  // it has carried no request yet
    bool part_seen{};              // a part of its next request has come, and 'due' counts from then
    Ending ending{Ending::stays};  // how this side ends it
    bool lingers() const { return reader == nullptr; }
    // A part of a request has come, read or not: its client is owed an answer.
    bool half_read() const { return reader != nullptr && reader->started(); }
    bool between_requests() const { return !first && !lingers() && !half_read(); }
  };
  io::Task<> end_overdue();
  void evict_one();
  // What is read of a connection that this side has ended.
  enum class StillRead { nothing, rest_of_refused };
  io::Task<> end_in_order(io::Socket& socket, bool& evicted, StillRead still_read);
  static io::Task<bool> client_ends(io::Socket& socket);
  std::size_t evicted_{};  // connections that were closed to make room, and have not ended yet
  template <class Judge>
  void end_idle_if(Judge judge);
  void end_idle(IdleConnection& idle, Ending ending);
  void evict(IdleConnection& idle, Ending ending);
  Timeouts timeouts_;
  io::Nanos write_stall_{};
  std::size_t idle_count_{};
  io::intrusive::list<IdleConnection, io::intrusive::constant_time_size<false>> idle_;
  io::Signal closed_;
  io::Listener listener_;
  io::Scope sessions_;
  io::Scope acceptor_;
  io::Scope keeper_;
};

}  // namespace cressrill::http
