#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace cressrill::http {

namespace {
constexpr io::Nanos kLook = 100 * io::kMs;  // clients that are too slow are looked for this often
constexpr io::Nanos kLinger = io::kSecond;  // for what still comes after an answer that ends its connection

// Of the error that a request is answered with which cannot be read.
int status_of(MessageError fault) {
  switch (fault) {
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
  static constexpr const char* words[] = {"by_client", "after_answer", "refused",
                                          "idle",      "evicted",      "unanswered"};
  return words[static_cast<int>(end)];
}

bool ResponseWriter::wrote(const io::IoResult& moved) {
  if (moved.ok()) return true;
  broken_ = true;
  stalled_ = moved.error == ETIMEDOUT;
  keep_alive_ = false;
  return false;
}
io::Task<bool> ResponseWriter::respond(int status, std::string_view fields, std::string_view body) {
  begun_ = true;
  const std::string text = format_response(status, fields, body, keep_alive_);
  co_return wrote(co_await socket_.write_all(text));
}
void ResponseWriter::begin_stream_deferred(int status, std::string_view fields) {
  begun_ = true;
  head_ = format_stream_head(status, fields, keep_alive_);
}
io::Task<bool> ResponseWriter::begin_stream(int status, std::string_view fields) {
  begin_stream_deferred(status, fields);
  co_return wrote(co_await socket_.write_all(std::exchange(head_, {})));
}
io::Task<bool> ResponseWriter::write_chunk(std::string_view data) {
  const ChunkSizeLine line(data.size());
  const std::array<std::string_view, 4> parts{head_, line.text(), data, kChunkEnd};
  const io::IoResult moved = co_await socket_.write_all(std::span(parts).subspan(head_.empty() ? 1 : 0));
  head_.clear();
  co_return wrote(moved);
}
io::Task<bool> ResponseWriter::end_stream(std::string_view data) {
  const ChunkSizeLine line(data.size());
  std::array<std::string_view, 5> parts{head_, line.text(), data, kChunkEnd, kLastChunk};
  if (data.empty()) parts[1] = parts[3] = {};
  const io::IoResult moved = co_await socket_.write_all(parts);
  head_.clear();
  co_return wrote(moved);
}

Server::Server(io::Loop& loop, io::Address address, Handler handler, MessageLimits bounds,
               std::size_t connections)
    : loop_(loop),
      handler_(std::move(handler)),
      bounds_(bounds),
      connections_(connections),
      closed_(loop),
      listener_(loop, address),
      sessions_(loop),
      acceptor_(loop, io::Scope::OnException::end_process),
      keeper_(loop, io::Scope::OnException::end_process) {
  acceptor_.spawn(accept());
}

// Each ends by itself, as what it waits to read fails.
template <class Judge>
void Server::end_idle_if(Judge judge) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    IdleConnection& idle = *it++;
    const Ending ending = judge(idle);
    if (ending != Ending::stays) end_idle(idle, ending);
  }
}

void Server::end_idle(IdleConnection& idle, Ending ending) {
  idle_.erase(idle_.iterator_to(idle));
  idle.ending = ending;
  if (ending == Ending::closed)
    idle.socket.close();
  else
    idle.socket.cancel_read();
}

void Server::stop_accepting() {
  acceptor_.cancel();
  accepting_rest_ = true;
  acceptor_.spawn(accept_rest());
  drain(true);
}

// Closes the listener, but first takes what the machine has accepted: a connection that is left in the listener's queue is
// reset with the request that it carries.
io::Task<> Server::accept_rest() {
  for (;;) {
    co_await room_for_one();
    io::Socket socket = co_await listener_.accept_queued();
    if (!socket.is_open()) break;
    begin(std::move(socket));
  }
  listener_.close();
  accepting_rest_ = false;
  drain(true);
}

void Server::drain(bool all) {
  stopping_ = true;
  end_idle_if([all](const IdleConnection& idle) {
    const bool unused = idle.first && !idle.half_read() && !idle.socket.has_unread_data();
    return idle.between_requests() || (all && unused) ? Ending::ended : Ending::stays;
  });
}

void Server::set_timeouts(Timeouts timeouts) {
  timeouts_ = timeouts;
  keeper_.spawn(end_overdue());
}

io::Task<> Server::end_overdue() {
  for (;;) {
    co_await loop_.sleep_for(kLook);
    // A request may be on its way on one that rests; who has not brought one, or lingers, is owed no more time.
    end_idle_if([this](IdleConnection& idle) {
      const bool begins = !idle.first && idle.half_read() && !std::exchange(idle.part_seen, true);
      if (begins) idle.due = due(timeouts_.request - kLook);  // it came since the last look
      if (idle.due > loop_.now()) return Ending::stays;
      if (idle.half_read()) return Ending::timed_out;
      if (idle.between_requests()) return Ending::ended;
      return idle.socket.has_unread_data() && !idle.lingers() ? Ending::stays : Ending::closed;
    });
  }
}

// At the bound the connection that has been idle longest makes way: one that carries nothing, read or unread. Where all carry
// a part of a request, the first of these is answered that there is no room.
void Server::evict_one() {
  if (timeouts_.idle == 0) return;
  IdleConnection* half_read = nullptr;
  for (IdleConnection& idle : idle_) {
    if (idle.half_read()) {
      if (half_read == nullptr) half_read = &idle;
      continue;
    }
    if (!idle.socket.has_unread_data()) return evict(idle, Ending::closed);
  }
  if (half_read != nullptr) evict(*half_read, Ending::crowded_out);
}

void Server::evict(IdleConnection& idle, Ending ending) {
  idle.evicted = true;
  ++evicted_;
  end_idle(idle, ending);
}

void Server::throttle_accept(io::Nanos each) {
  accept_each_ = each;
  listener_.set_backlog(each > 0 ? 0 : 1024);
}

void Server::kill() {
  acceptor_.cancel();
  listener_.close();
  sessions_.cancel();
  open_ = 0;
}

io::Task<> Server::accept() {
  for (;;) {
    co_await room_for_one();
    io::Socket socket = co_await listener_.accept();
    if (!socket.is_open()) co_return;
    begin(std::move(socket));
    if (accept_each_ > 0) co_await loop_.sleep_for(accept_each_);
  }
}

io::Task<> Server::room_for_one() {
  while (open_ >= connections_) {
    if (open_ - evicted_ >= connections_) evict_one();
    // Those that carried something now may carry nothing later, and nobody tells of that.
    co_await io::wait_until(loop_, closed_, loop_.now() + kLook);
  }
}

void Server::begin(io::Socket socket) {
  ++open_;
  socket.set_write_stall_timeout(write_stall_);
  sessions_.spawn(serve(std::move(socket)));
}

io::Task<> Server::refuse(io::Socket& socket, MessageError fault, bool& evicted) {
  const int status = status_of(fault);
  const std::string body = refusal_ ? refusal_(status, fault) : std::string(to_string(fault)) + "\n";
  co_await socket.write_all(format_response(status, "content-type: application/json\r\n", body, false));
  // Unread bytes of what was refused would reset the connection, and could take the answer with it.
  co_await end_in_order(socket, evicted, StillRead::rest_of_refused);
}

// Ends the sending side behind what was written, so that it reaches the client, and waits a while for the client's own end.
// One that makes way for another has no time for it.
io::Task<> Server::end_in_order(io::Socket& socket, bool& evicted, StillRead still_read) {
  if (!socket.is_open() || evicted) co_return;
  const io::Nanos until = loop_.now() + kLinger;
  IdleConnection idle(*this, socket, until, evicted);
  ::shutdown(socket.fd(), SHUT_WR);
  if (still_read == StillRead::nothing) {
    // A request that crosses the end stays unread: the kernel tells its client by a reset, and it is sent again.
    co_await io::with_deadline(loop_, until, client_ends(socket));
    co_return;
  }
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const auto got = co_await io::with_deadline(loop_, until, socket.read_some(buffer));
    if (!got || !got->ok() || got->bytes == 0) break;
  }
}

io::Task<bool> Server::client_ends(io::Socket& socket) {
  co_await socket.wait_for_peer_close();
  co_return true;
}

// The next request of a connection, or why there is none.
io::Task<MessageError> Server::read_request(Session& session, Request& request) {
  request.body.clear();
  const bool first = session.requests++ == 0;
  IdleConnection idle(*this, session.socket, due(first ? timeouts_.first_request : timeouts_.idle),
                      session.evicted, &session.reader);
  idle.first = first;
  MessageError fault = co_await session.reader.read_head(request.head);
  // RFC 9110, 10.1.1: the client may wait to be asked for the body.
  if (fault == MessageError::none && request.head.field("expect") == "100-continue" &&
      session.reader.has_more())
    co_await session.socket.write_all("HTTP/1.1 100 Continue\r\n\r\n");
  if (fault == MessageError::none) fault = co_await session.reader.read_body(request.body);
  session.ended = idle.ending == Ending::ended;
  if (idle.ending == Ending::timed_out) co_return MessageError::timed_out;
  if (idle.ending == Ending::crowded_out) co_return MessageError::no_capacity;
  // A client that has ended its connection has gone, whatever it sent before.
  co_return session.socket.peer_closed() ? MessageError::closed : fault;
}

io::Nanos Server::due(io::Nanos span) const { return span > 0 ? loop_.now() + span : io::Loop::kNoTimer; }

// An exception ends the request that it comes from, and no other.
io::Task<Server::Handled> Server::handle(Request& request, ResponseWriter& answer) {
  std::exception_ptr thrown;
  try {
    co_await handler_(request, answer);
  } catch (...) {
    thrown = std::current_exception();
  }
  if (thrown) {
    loop_.report_task_failure(thrown);
    if (!answer.started() && !answer.write_failed()) {
      answer.close_after_response();
      co_await answer.respond(500, "", "");
    } else {
      answer.abort();
    }
    co_return Handled::answered;
  }
  if (answer.started()) co_return Handled::answered;
  if (!answer.socket().is_open() || answer.write_failed()) co_return Handled::client_left;
  answer.abort();
  co_return Handled::unanswered;
}

// The requests of one connection, until it ends.
io::Task<ConnectionEnd> Server::converse(Session& session) {
  io::Socket& socket = session.socket;
  Request request;
  while (socket.is_open()) {
    const MessageError fault = co_await read_request(session, request);
    if (session.ended) {
      co_await end_in_order(socket, session.evicted, StillRead::nothing);
      co_return ConnectionEnd::idle;
    }
    if (session.evicted && fault == MessageError::closed) co_return ConnectionEnd::evicted;
    if (fault == MessageError::closed)
      co_return socket.is_open() ? ConnectionEnd::by_client : ConnectionEnd::idle;
    if (fault != MessageError::none) {
      co_await refuse(socket, fault, session.evicted);
      co_return ConnectionEnd::refused;
    }
    request.received_at = std::min(loop_.now(), session.reader.received_at());
    // What has been read of further requests is answered, too: their client will not send them again.
    const auto ends = [&] { return stopping_ && !session.reader.has_leftover(); };
    ResponseWriter answer(socket, request.head.keep_alive && !ends());
    const Handled handled = co_await handle(request, answer);
    if (handled == Handled::unanswered) co_return ConnectionEnd::unanswered;
    if (handled == Handled::client_left || answer.write_failed()) co_return ConnectionEnd::by_client;
    if (answer.keep_alive() && !ends()) continue;
    co_await end_in_order(socket, session.evicted, StillRead::nothing);
    co_return ConnectionEnd::after_answer;
  }
  co_return ConnectionEnd::by_client;
}

io::Task<> Server::serve(io::Socket socket) {
  Session session{socket, MessageReader(socket, MessageKind::request, bounds_)};
  const ConnectionEnd end = co_await converse(session);
  if (observe_end_) observe_end_(end);
  socket.close();
  evicted_ -= session.evicted;
  --open_;
  closed_.notify();
}

}  // namespace cressrill::http
