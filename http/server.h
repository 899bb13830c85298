// HTTP/1.1 server: one coroutine for each connection, one request at a time on each connection.
#pragma once

#include <functional>
#include <string>

#include "message.h"

namespace cressrill::http {

// A request with its complete body.
struct Request {
  Head head;
  std::string body;            // with capacity for kReadPaddingBytes more
  memory::Charge body_charge;  // of the body, to the account of its connection
  io::Nanos received_at{};     // when the kernel received its last byte
};

// Writes the response to one request. A handler calls either respond() once, or one of the begin_stream
// functions, any number of times write_chunk(), and end_stream(). Functions that write return whether the
// write succeeded.
class ResponseWriter {
 public:
  // reader: of the connection's requests; null: nothing is read while the response is written.
  ResponseWriter(io::Socket& socket, bool keep_alive, MessageReader* reader = nullptr)
      : socket_(socket), reader_(reader), keep_alive_(keep_alive) {}
  // Writes a complete response. fields: header lines, each "name: value\r\n".
  io::Task<bool> respond(int status, std::string_view fields, std::string_view body);
  // Writes the head of a chunked response.
  io::Task<bool> begin_stream(int status, std::string_view fields);
  // As begin_stream(), but the head is written together with the first chunk, in one system call.
  void begin_stream_deferred(int status, std::string_view fields);
  io::Task<bool> write_chunk(std::string_view data);
  // Ends a stream. data: the last chunk, or empty.
  io::Task<bool> end_stream(std::string_view data = {});
  // Resets the connection, so that the client sees that the response is incomplete.
  void abort() {
    keep_alive_ = false;
    socket_.close(true);
  }
  // Waits until the client has closed its connection. Returns false once it has sent so much that the close
  // may be stuck behind it; then read_ahead() makes room.
  io::Task<bool> wait_for_client_close();
  // Reads what the client has sent behind the request that is served. Returns false if the client has closed
  // its connection, or has sent more than is kept.
  io::Task<bool> read_ahead();
  io::Socket& socket() { return socket_; }
  // Whether the handler has begun a response.
  bool started() const { return started_; }
  bool write_failed() const { return write_failed_; }
  // Whether a write failed because the client accepted no data for the write stall timeout.
  bool write_stalled() const { return write_stalled_; }
  bool keep_alive() const { return keep_alive_; }
  // Closes the connection after what was written, which still reaches the client.
  void close_after_response() { keep_alive_ = false; }
  // Ends a stream that is not complete: closes the connection after what was written, without the last chunk.
  void truncate() {
    keep_alive_ = false;
    truncated_ = true;
  }
  bool truncated() const { return truncated_; }

 private:
  bool check_write(const io::IoResult& result);
  io::Socket& socket_;
  MessageReader* reader_;
  std::string deferred_head_;  // written with the first chunk
  bool keep_alive_;
  bool started_{};
  bool write_failed_{};
  bool write_stalled_{};
  bool truncated_{};
};

// Limits on the time that a client may take, enforced at intervals of 100 ms; 0: no limit.
struct Timeouts {
  io::Nanos first_request{};  // from accepting the connection to the end of its first request
  io::Nanos request{};        // from the first byte of a later request to its end
  io::Nanos idle{};           // between two requests
};

// Why a client's connection ended, as far as the server knows.
enum class ConnectionEnd {
  by_client,     // the client closed or broke it
  after_answer,  // closed after a response, at the client's request or because the server is draining
  refused,       // closed after a request that could not be read
  idle,          // closed while it carried no request: after a timeout, or because the server is draining
  evicted,       // closed to make room for another connection
  unanswered,    // closed after a request to which its handler gave no response: a defect
};
// Name of the value, as it is used in metrics.
const char* to_string(ConnectionEnd end);

// Accepts connections from its construction on and passes their requests to the handler. An exception of the
// accept loop ends the process; one of a handler ends only its request.
class Server {
 public:
  using ConnectionEndObserver = std::function<void(ConnectionEnd)>;
  using Handler = std::function<io::Task<>(Request&, ResponseWriter&)>;
  // Returns the JSON body of the response to a request that cannot be read.
  using ErrorBodyFormatter = std::function<std::string(int status, MessageError error)>;

  Server(io::Loop& loop, io::Address address, Handler handler, MessageLimits limits = {},
         std::size_t max_connections = 20'000);
  const io::Address& address() const { return listener_.address(); }
  // Charges what connections hold to a budget. Call it before the first connection; the budget must outlive
  // the server.
  void set_memory_budget(memory::Budget& budget) { budget_ = &budget; }
  void set_error_body_formatter(ErrorBodyFormatter formatter) { format_error_body_ = std::move(formatter); }
  void observe_connection_ends(ConnectionEndObserver observer) { observe_end_ = std::move(observer); }
  // Closes connections whose clients take longer. Call it once, before the first connection.
  void set_timeouts(Timeouts timeouts);
  // Closes a connection whose client accepts no written data for that long. Call it before the first
  // connection.
  void set_write_stall_timeout(io::Nanos timeout) { write_stall_timeout_ = timeout; }
  // From now on, closes each connection after its current request, or at once if it has served one and is
  // idle. New connections are still accepted for one request. all: also closes connections that have not
  // carried a request yet.
  void drain(bool all);
  // Accepts the connections that are in the accept queue, then closes the listener; drains all connections.
  void stop_accepting();
  std::size_t open_connections() const { return open_connections_; }
  // Whether stop_accepting() was called and the accept queue may still hold connections.
  bool draining_accept_queue() const { return draining_accept_queue_; }
  // Number of connections with a request that is being handled.
  std::size_t active_connections() const { return open_connections_ - idle_count_; }
  // For test servers: accepts one connection per interval at most, with a backlog of 0. Interval 0 ends the
  // throttling.
  void throttle_accept(io::Nanos interval);
  // Closes every connection and the listener at once.
  void kill();

 private:
  // The state of one client connection.
  struct Session {
    io::Socket& socket;
    memory::Account& account;
    MessageReader reader;
    std::size_t request_count{};  // including the one that is being read
    bool evicted{};               // closed to make room for another connection
    bool ended_by_server{};       // closed by this side while idle: later data is not read
  };

  io::Task<> accept_connections();
  io::Task<> drain_accept_queue();
  io::Task<> wait_for_capacity();
  void start_session(io::Socket socket);
  io::Task<> run_session(io::Socket socket);
  io::Task<ConnectionEnd> serve_requests(Session& session);
  enum class HandlerOutcome { responded, client_left, no_response };
  io::Task<HandlerOutcome> handle(Request& request, ResponseWriter& response);
  io::Task<MessageError> read_request(Session& session, Request& request);
  // kNoTimer if timeout is 0.
  io::Nanos deadline_after(io::Nanos timeout) const;
  io::Task<> reject(io::Socket& socket, MessageError error, bool& evicted);

  // What to do with a connection that waits for a request or for its rest.
  enum class IdleAction {
    keep,
    close,              // at once
    end_gracefully,     // with a FIN, so that data in flight does no harm
    reject_timed_out,   // a request was partly received: respond with MessageError::timed_out
    reject_no_capacity  // the same with MessageError::no_capacity, at a limit of connections or memory
  };

  io::Loop& loop_;
  Handler handler_;
  ErrorBodyFormatter format_error_body_;
  ConnectionEndObserver observe_end_;
  MessageLimits limits_;
  std::size_t max_connections_;
  memory::Budget* budget_{};
  std::size_t open_connections_{};
  bool draining_{};
  bool draining_accept_queue_{};
  io::Nanos accept_interval_{};
  // A connection without a complete request, from its start or its last response on. Listed in that order.
  struct IdleConnection : io::intrusive::list_base_hook<io::AutoUnlink> {
    IdleConnection(Server& owner, io::Socket& idle_socket, io::Nanos idle_deadline, bool& evicted_flag,
                   const MessageReader* request_reader = nullptr)
        : server(owner),
          socket(idle_socket),
          deadline(idle_deadline),
          evicted(evicted_flag),
          reader(request_reader) {
      server.idle_connections_.push_back(*this);
      ++server.idle_count_;
      // It may be evicted for a connection that waits to be accepted.
      if (server.open_connections_ >= server.max_connections_) server.capacity_changed_.notify();
    }
    ~IdleConnection() { --server.idle_count_; }
    IdleConnection(const IdleConnection&) = delete;
    IdleConnection& operator=(const IdleConnection&) = delete;
    Server& server;
    io::Socket& socket;
    io::Nanos deadline;
    bool& evicted;
    const MessageReader* reader;          // null while it waits for the client to close
    bool before_first_request{};          // it has not carried a request yet
    bool partial_request_seen{};          // deadline is that of a request that was partly received
    IdleAction action{IdleAction::keep};  // how the server ends it
    bool is_lingering() const { return reader == nullptr; }
    // Whether part of a request has been received, so that the client must get a response.
    bool has_partial_request() const { return reader != nullptr && reader->started(); }
    bool between_requests() const {
      return !before_first_request && !is_lingering() && !has_partial_request();
    }
  };
  io::Task<> enforce_timeouts();
  void evict_one();
  // What happens to data that arrives after the server has sent its FIN.
  enum class DataUntilClose { keep_unread, discard };
  io::Task<> close_gracefully(io::Socket& socket, bool& evicted, DataUntilClose data);
  static io::Task<bool> wait_for_client_close(io::Socket& socket);
  std::size_t pending_evictions_{};  // evicted connections whose session has not ended yet
  template <class Decide>
  void end_idle_where(Decide decide);
  void end_idle(IdleConnection& idle, IdleAction action);
  void evict(IdleConnection& idle, IdleAction action);
  void shed(const io::Socket& socket);
  Timeouts timeouts_;
  io::Nanos write_stall_timeout_{};
  std::size_t idle_count_{};
  io::intrusive::list<IdleConnection, io::intrusive::constant_time_size<false>> idle_connections_;
  io::Signal capacity_changed_;  // a connection was closed or can be evicted
  io::Listener listener_;
  io::Scope session_scope_;
  io::Scope accept_scope_;
  io::Scope timeout_scope_;
};

}  // namespace cressrill::http
