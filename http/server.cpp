#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cressrill::http {

namespace {
constexpr io::Nanos kTimeoutCheckInterval = 100 * io::kMs;
// Time for a client to close its connection after the server has closed its sending side.
constexpr io::Nanos kLingerTime = io::kSecond;
// While a request is served, further data of its client are left to the kernel up to the first limit, as long
// as its receive buffer surely has room for the end of the connection. Beyond it they are read, up to the
// second limit.
constexpr std::size_t kMaxUnreadBytes = 24 * 1024;
constexpr std::size_t kMaxReadAheadBytes = 1024 * 1024;
constexpr std::size_t kReadAheadBegunBytes = 8 * 1024;  // more than the first read of a request leaves
// What a connection takes beside its buffers: its coroutines, its parser, its registration.
constexpr std::size_t kConnectionBytes = 3 * 1024;

// Status of the response to a request that could not be read.
int status_for(MessageError error) {
  switch (error) {
    case MessageError::body_too_large:
      return 413;
    case MessageError::head_too_large:
      return 431;
    case MessageError::timed_out:
      return 408;
    case MessageError::no_capacity:
      return 503;
    default:
      return 400;
  }
}
}  // namespace

const char* to_string(ConnectionEnd end) {
  static constexpr const char* names[] = {"by_client", "after_answer", "refused",
                                          "idle",      "evicted",      "unanswered"};
  return names[static_cast<int>(end)];
}

// Once reading ahead has begun, it goes on with any byte: TCP advertises no room before a whole segment fits.
io::Task<bool> ResponseWriter::wait_for_client_close() {
  const bool is_reading_ahead = reader_ != nullptr && reader_->unparsed_bytes() >= kReadAheadBegunBytes;
  return socket_.wait_for_peer_close_or_unread(is_reading_ahead ? 1 : kMaxUnreadBytes);
}

io::Task<bool> ResponseWriter::read_ahead() {
  if (reader_ == nullptr || reader_->unparsed_bytes() >= kMaxReadAheadBytes) co_return false;
  co_return co_await reader_->read_ahead();
}

bool ResponseWriter::check_write(const io::IoResult& result) {
  if (result.ok()) return true;
  write_failed_ = true;
  write_stalled_ = result.error == ETIMEDOUT;
  keep_alive_ = false;
  return false;
}
io::Task<bool> ResponseWriter::respond(int status, std::string_view fields, std::string_view body) {
  started_ = true;
  const std::string text = format_response(status, fields, body, keep_alive_);
  co_return check_write(co_await socket_.write_all(text));
}
void ResponseWriter::begin_stream_deferred(int status, std::string_view fields) {
  started_ = true;
  deferred_head_ = format_stream_head(status, fields, keep_alive_);
}
io::Task<bool> ResponseWriter::begin_stream(int status, std::string_view fields) {
  begin_stream_deferred(status, fields);
  co_return check_write(co_await socket_.write_all(std::exchange(deferred_head_, {})));
}
io::Task<bool> ResponseWriter::write_chunk(std::string_view data) {
  const ChunkSizeLine line(data.size());
  const std::array<std::string_view, 4> parts{deferred_head_, line.text(), data, kChunkEnd};
  const io::IoResult result =
      co_await socket_.write_all(std::span(parts).subspan(deferred_head_.empty() ? 1 : 0));
  deferred_head_.clear();
  co_return check_write(result);
}
io::Task<bool> ResponseWriter::end_stream(std::string_view data) {
  const ChunkSizeLine line(data.size());
  std::array<std::string_view, 5> parts{deferred_head_, line.text(), data, kChunkEnd, kLastChunk};
  if (data.empty()) parts[1] = parts[3] = {};
  const io::IoResult result = co_await socket_.write_all(parts);
  deferred_head_.clear();
  co_return check_write(result);
}

Server::Server(io::Loop& loop, io::Address address, Handler handler, MessageLimits limits,
               std::size_t max_connections)
    : loop_(loop),
      handler_(std::move(handler)),
      limits_(limits),
      max_connections_(max_connections),
      capacity_changed_(loop),
      listener_(loop, address),
      session_scope_(loop),
      accept_scope_(loop, io::Scope::OnException::end_process),
      timeout_scope_(loop, io::Scope::OnException::end_process) {
  accept_scope_.spawn(accept_connections());
}

// Ends each idle connection as decide(idle) says. Its session then ends by itself, as its pending read fails.
template <class Decide>
void Server::end_idle_where(Decide decide) {
  for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
    IdleConnection& idle = *it++;
    const IdleAction action = decide(idle);
    if (action != IdleAction::keep) end_idle(idle, action);
  }
}

void Server::end_idle(IdleConnection& idle, IdleAction action) {
  idle_connections_.erase(idle_connections_.iterator_to(idle));
  idle.action = action;
  if (action == IdleAction::close)
    idle.socket.close();
  else
    idle.socket.cancel_read();
}

void Server::stop_accepting() {
  accept_scope_.cancel();
  draining_accept_queue_ = true;
  accept_scope_.spawn(drain_accept_queue());
  drain(true);
}

// Accepts the connections in the accept queue before it closes the listener: closing it resets queued
// connections, whose clients may have sent a request already.
io::Task<> Server::drain_accept_queue() {
  for (;;) {
    co_await wait_for_capacity();
    io::Socket socket = co_await listener_.accept_queued();
    if (!socket.is_open()) break;
    start_session(std::move(socket));
  }
  listener_.close();
  draining_accept_queue_ = false;
  drain(true);
}

void Server::drain(bool all) {
  draining_ = true;
  end_idle_where([all](const IdleConnection& idle) {
    const bool unused =
        idle.before_first_request && !idle.has_partial_request() && !idle.socket.has_unread_data();
    return idle.between_requests() || (all && unused) ? IdleAction::end_gracefully : IdleAction::keep;
  });
}

void Server::set_timeouts(Timeouts timeouts) {
  timeouts_ = timeouts;
  timeout_scope_.spawn(enforce_timeouts());
}

io::Task<> Server::enforce_timeouts() {
  for (;;) {
    co_await loop_.sleep_for(kTimeoutCheckInterval);
    // Past its deadline, a connection with a partly received request is rejected; one between two requests is
    // ended gracefully, as a request may be in flight on it. One that lingers is closed; so is one before its
    // first request, unless it has unread data.
    end_idle_where([this](IdleConnection& idle) {
      const bool request_has_begun = !idle.before_first_request && idle.has_partial_request() &&
                                     !std::exchange(idle.partial_request_seen, true);
      // The request's first byte arrived within the last check interval.
      if (request_has_begun) idle.deadline = deadline_after(timeouts_.request - kTimeoutCheckInterval);
      if (idle.deadline > loop_.now()) return IdleAction::keep;
      if (idle.has_partial_request()) return IdleAction::reject_timed_out;
      if (idle.between_requests()) return IdleAction::end_gracefully;
      return idle.socket.has_unread_data() && !idle.is_lingering() ? IdleAction::keep : IdleAction::close;
    });
  }
}

// At the connection limit, closes the connection that has been idle longest and has received no data of a
// request. If there is none, rejects with MessageError::no_capacity the one that has been idle longest of
// those with a partly received request. Does nothing if there is no idle timeout.
void Server::evict_one() {
  if (timeouts_.idle == 0) return;
  IdleConnection* partial = nullptr;
  for (IdleConnection& idle : idle_connections_) {
    if (idle.has_partial_request()) {
      if (partial == nullptr) partial = &idle;
      continue;
    }
    if (!idle.socket.has_unread_data()) return evict(idle, IdleAction::close);
  }
  if (partial != nullptr) evict(*partial, IdleAction::reject_no_capacity);
}

void Server::evict(IdleConnection& idle, IdleAction action) {
  idle.evicted = true;
  ++pending_evictions_;
  end_idle(idle, action);
}

// Ends a connection whose account was shed: one with a part of a request gets an error, any other one is
// closed.
void Server::shed(const io::Socket& socket) {
  for (IdleConnection& idle : idle_connections_) {
    if (&idle.socket != &socket) continue;
    return end_idle(idle, idle.has_partial_request() ? IdleAction::reject_no_capacity : IdleAction::close);
  }
}

void Server::throttle_accept(io::Nanos interval) {
  accept_interval_ = interval;
  listener_.set_backlog(interval > 0 ? 0 : 1024);  // 1024: the default of io::Listener
}

void Server::kill() {
  accept_scope_.cancel();
  listener_.close();
  session_scope_.cancel();
  open_connections_ = 0;
}

io::Task<> Server::accept_connections() {
  for (;;) {
    co_await wait_for_capacity();
    io::Socket socket = co_await listener_.accept();
    if (!socket.is_open()) co_return;
    start_session(std::move(socket));
    if (accept_interval_ > 0) co_await loop_.sleep_for(accept_interval_);
  }
}

io::Task<> Server::wait_for_capacity() {
  while (open_connections_ >= max_connections_) {
    if (open_connections_ - pending_evictions_ >= max_connections_) evict_one();
    // A connection that cannot be evicted now may become evictable without a notification: check again at
    // intervals.
    co_await io::wait_until(loop_, capacity_changed_, loop_.now() + kTimeoutCheckInterval);
  }
}

void Server::start_session(io::Socket socket) {
  ++open_connections_;
  socket.set_write_stall_timeout(write_stall_timeout_);
  session_scope_.spawn(run_session(std::move(socket)));
}

io::Task<> Server::reject(io::Socket& socket, MessageError error, bool& evicted) {
  const int status = status_for(error);
  const std::string body =
      format_error_body_ ? format_error_body_(status, error) : std::string(to_string(error)) + "\n";
  co_await socket.write_all(format_response(status, "content-type: application/json\r\n", body, false));
  // Unread data of the rejected request would reset the connection, and the client could lose the response.
  co_await close_gracefully(socket, evicted, DataUntilClose::discard);
}

// Sends a FIN after the written data, so that the data reaches the client, and waits up to kLingerTime for
// the client to close. Does nothing for an evicted connection.
io::Task<> Server::close_gracefully(io::Socket& socket, bool& evicted, DataUntilClose data) {
  if (!socket.is_open() || evicted) co_return;
  const io::Nanos deadline = loop_.now() + kLingerTime;
  IdleConnection idle(*this, socket, deadline, evicted);
  ::shutdown(socket.fd(), SHUT_WR);
  if (data == DataUntilClose::keep_unread) {
    // A request that crosses the FIN stays unread, so the kernel resets the connection when it is closed, and
    // the client sends the request again.
    co_await io::with_deadline(loop_, deadline, wait_for_client_close(socket));
    co_return;
  }
  std::array<char, 2 * 1024> buffer;
  for (;;) {
    const auto result = co_await io::with_deadline(loop_, deadline, socket.read_some(buffer));
    if (!result || !result->ok() || result->bytes == 0) break;
  }
}

io::Task<bool> Server::wait_for_client_close(io::Socket& socket) {
  co_await socket.wait_for_peer_close();
  co_return true;
}

// Reads the next request of a connection, or returns why there is none.
io::Task<MessageError> Server::read_request(Session& session, Request& request) {
  std::string().swap(request.body);
  request.body_charge.resize(0);
  session.account.set_sheddable(memory::Sheddable::first);
  const bool is_first_request = session.request_count++ == 0;
  IdleConnection idle(*this, session.socket,
                      deadline_after(is_first_request ? timeouts_.first_request : timeouts_.idle),
                      session.evicted, &session.reader);
  idle.before_first_request = is_first_request;
  MessageError error = co_await session.reader.read_head(request.head);
  // RFC 9110, 10.1.1: the client may wait for this response before it sends the body.
  if (error == MessageError::none && request.head.field("expect") == "100-continue" &&
      session.reader.has_more())
    co_await session.socket.write_all("HTTP/1.1 100 Continue\r\n\r\n");
  if (error == MessageError::none)
    error = co_await session.reader.read_body(request.body, &request.body_charge);
  session.account.set_sheddable(memory::Sheddable::never);
  session.ended_by_server = idle.action == IdleAction::end_gracefully;
  if (idle.action == IdleAction::reject_timed_out) co_return MessageError::timed_out;
  if (idle.action == IdleAction::reject_no_capacity) co_return MessageError::no_capacity;
  // A client that has closed its connection no longer waits for a response, even to a complete request.
  co_return session.socket.peer_closed() ? MessageError::closed : error;
}

io::Nanos Server::deadline_after(io::Nanos timeout) const {
  return timeout > 0 ? loop_.now() + timeout : io::Loop::kNoTimer;
}

// Runs the handler. An exception that it throws ends this request and its connection, but not the server.
io::Task<Server::HandlerOutcome> Server::handle(Request& request, ResponseWriter& response) {
  std::exception_ptr thrown;
  try {
    co_await handler_(request, response);
  } catch (...) {
    thrown = std::current_exception();
  }
  if (thrown) {
    loop_.report_task_failure(thrown);
    if (!response.started() && !response.write_failed()) {
      response.close_after_response();
      co_await response.respond(500, "", "");
    } else {
      response.abort();
    }
    co_return HandlerOutcome::responded;
  }
  if (response.started()) co_return HandlerOutcome::responded;
  if (!response.socket().is_open() || response.write_failed()) co_return HandlerOutcome::client_left;
  response.abort();
  co_return HandlerOutcome::no_response;
}

// Serves the requests of one connection until the connection ends.
io::Task<ConnectionEnd> Server::serve_requests(Session& session) {
  io::Socket& socket = session.socket;
  Request request;
  request.body_charge = memory::Charge(session.account);
  while (socket.is_open()) {
    const MessageError error = co_await read_request(session, request);
    if (session.ended_by_server) {
      co_await close_gracefully(socket, session.evicted, DataUntilClose::keep_unread);
      co_return ConnectionEnd::idle;
    }
    if (session.evicted && error == MessageError::closed) co_return ConnectionEnd::evicted;
    if (error == MessageError::closed)
      co_return socket.is_open() ? ConnectionEnd::by_client : ConnectionEnd::idle;
    if (error != MessageError::none) {
      std::string().swap(request.body);
      request.body_charge.resize(0);
      session.reader.shrink();
      co_await reject(socket, error, session.evicted);
      co_return ConnectionEnd::refused;
    }
    request.received_at = std::min(loop_.now(), session.reader.received_at());
    // When draining, requests that are already in the buffer are still served: their client would not send
    // them again.
    const auto is_last = [&] { return draining_ && !session.reader.has_leftover(); };
    ResponseWriter response(socket, request.head.keep_alive && !is_last(), &session.reader);
    const HandlerOutcome outcome = co_await handle(request, response);
    if (outcome == HandlerOutcome::no_response) co_return ConnectionEnd::unanswered;
    if (outcome == HandlerOutcome::client_left || response.write_failed()) co_return ConnectionEnd::by_client;
    if (response.keep_alive() && !is_last()) {
      // Requests that are already in the buffer need no wait, and their client may send them without end.
      if (session.reader.has_leftover()) co_await loop_.yield();
      continue;
    }
    // A request that was read behind a truncated stream gets no response. A reset tells its client so, as for
    // one that was not read.
    if (response.truncated() && session.reader.has_leftover()) socket.close(true);
    co_await close_gracefully(socket, session.evicted, DataUntilClose::keep_unread);
    co_return ConnectionEnd::after_answer;
  }
  co_return ConnectionEnd::by_client;
}

io::Task<> Server::run_session(io::Socket socket) {
  memory::Account account(budget_, memory::PeerKind::client_connection, loop_.now(), [&] { shed(socket); });
  memory::Charge connection_charge(account);
  connection_charge.resize(kConnectionBytes);
  Session session{socket, account, MessageReader(socket, MessageKind::request, limits_)};
  if (budget_ != nullptr) session.reader.set_account(loop_, account);
  const ConnectionEnd end = co_await serve_requests(session);
  if (observe_end_) observe_end_(end);
  socket.close();
  pending_evictions_ -= session.evicted;
  --open_connections_;
  capacity_changed_.notify();
}

}  // namespace cressrill::http
