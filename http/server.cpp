#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace cressrill::http {

namespace {
constexpr io::Nanos kLook = 100 * io::kMs;  // clients that are too slow are looked for this often
constexpr io::Nanos kLinger = io::kSecond;  // for what still comes after an answer that ends its connection
}  // namespace

bool Answer::wrote(const io::Moved& moved) {
  if (!moved.ok()) broken_ = true, keep_alive_ = false;
  return moved.ok();
}
io::Task<bool> Answer::whole(int status, std::string_view fields, std::string_view body) {
  begun_ = true;
  const std::string text = response_text(status, fields, body, keep_alive_);
  co_return wrote(co_await socket_.write_all(text));
}
void Answer::begin_with_part(int status, std::string_view fields) {
  begun_ = true;
  head_ = stream_head(status, fields, keep_alive_);
}
io::Task<bool> Answer::begin(int status, std::string_view fields) {
  begin_with_part(status, fields);
  co_return wrote(co_await socket_.write_all(std::exchange(head_, {})));
}
io::Task<bool> Answer::part(std::string_view data) {
  const ChunkLine line(data.size());
  const std::array<std::string_view, 4> parts{head_, line.text(), data, kChunkEnd};
  const io::Moved moved = co_await socket_.write_all(std::span(parts).subspan(head_.empty() ? 1 : 0));
  head_.clear();
  co_return wrote(moved);
}
io::Task<bool> Answer::end(std::string_view data) {
  const ChunkLine line(data.size());
  std::array<std::string_view, 5> parts{head_, line.text(), data, kChunkEnd, kLastChunk};
  if (data.empty()) parts[1] = parts[3] = {};
  const io::Moved moved = co_await socket_.write_all(parts);
  head_.clear();
  co_return wrote(moved);
}

Server::Server(io::Loop& loop, io::Address address, Handler handler, Bounds bounds, std::size_t connections)
    : loop_(loop),
      handler_(std::move(handler)),
      bounds_(bounds),
      connections_(connections),
      closed_(loop),
      listener_(loop, address),
      sessions_(loop),
      acceptor_(loop),
      keeper_(loop) {
  acceptor_.spawn(accept());
}

// Each ends by itself, as what it waits to read fails.
template <class Judge>
void Server::close_quiet(Judge judge) {
  for (auto it = quiet_.begin(); it != quiet_.end();) {
    Quiet& q = *it++;
    const How how = judge(q);
    if (how == How::stays) continue;
    quiet_.erase(quiet_.iterator_to(q));
    q.ended = how == How::ended;
    how == How::ended ? q.socket.stop_reading() : q.socket.close();
  }
}

void Server::stop_accepting() {
  stopping_ = true;
  acceptor_.cancel();
  listener_.close();
  close_quiet([](const Quiet& q) { return Quiet::between_requests(q) ? How::closed : How::stays; });
}

void Server::wind_down(bool all) {
  stopping_ = true;
  close_quiet(
      [all](const Quiet& q) { return q.rests() || (all && q.first && !q.body) ? How::ended : How::stays; });
}

void Server::be_patient(Patience patience) {
  patience_ = patience;
  keeper_.spawn(end_overdue());
}

io::Task<> Server::end_overdue() {
  for (;;) {
    co_await loop_.sleep_for(kLook);
    // A request may be on its way on one that rests; who has not brought one, or lingers, is owed no more time.
    close_quiet([this](const Quiet& q) {
      return q.due > loop_.now() ? How::stays : q.rests() ? How::ended : How::closed;
    });
  }
}

// At the bound the connection that has been quiet longest makes way.
void Server::make_room() {
  if (patience_.idle == 0) return;
  const auto longest = std::ranges::find_if(quiet_, Quiet::between_requests);
  if (longest == quiet_.end()) return;
  longest->evicted = true, ++evicted_;
  io::Socket& socket = longest->socket;
  quiet_.erase(longest);
  socket.close();
}

void Server::accept_slowly(io::Nanos each) {
  accept_each_ = each;
  listener_.backlog(each > 0 ? 0 : 1024);
}

void Server::kill() {
  acceptor_.cancel();
  listener_.close();
  sessions_.cancel();
  open_ = 0;
}

io::Task<> Server::accept() {
  for (;;) {
    while (open_ >= connections_) {
      if (open_ - evicted_ >= connections_) make_room();
      co_await closed_.wait();
    }
    io::Socket socket = co_await listener_.accept();
    if (!socket.is_open()) co_return;
    ++open_;
    sessions_.spawn(serve(std::move(socket)));
    if (accept_each_ > 0) co_await loop_.sleep_for(accept_each_);
  }
}

io::Task<> Server::refuse(io::Socket& socket, Fault fault, bool& evicted) {
  const int status = fault == Fault::body_large ? 413 : fault == Fault::head_large ? 431 : 400;
  const std::string body = refusal_ ? refusal_(status, fault) : std::string(word(fault)) + "\n";
  co_await socket.write_all(response_text(status, "content-type: application/json\r\n", body, false));
  co_await linger(socket, evicted);
}

// Closing with bytes unread would reset the connection and could take the answer with it, and so would bytes that
// cross the end: ends the sending side, and reads on a while. What comes then is not taken.
io::Task<> Server::linger(io::Socket& socket, bool& evicted) {
  if (!socket.is_open()) co_return;
  const io::Nanos until = loop_.now() + kLinger;
  Quiet quiet(*this, socket, until, evicted);
  quiet.lingers = true;
  ::shutdown(socket.fd(), SHUT_WR);
  std::array<char, 16 * 1024> buffer;
  for (;;) {
    const auto got = co_await io::within(loop_, until, socket.read_some(buffer));
    if (!got || !got->ok() || got->bytes == 0) break;
  }
}

io::Task<> Server::serve(io::Socket socket) {
  Reader reader(socket, Kind::request, bounds_);
  Request request;
  const auto due = [this](io::Nanos span) { return span > 0 ? loop_.now() + span : io::Loop::kNoTimer; };
  bool first = true, evicted = false;
  for (bool on = true; on && socket.is_open(); first = false) {
    request.body.clear();
    Fault fault{};
    bool ended = false;
    {
      Quiet quiet(*this, socket, due(first ? patience_.first : patience_.idle), evicted);
      quiet.first = first;
      fault = co_await reader.head(request.head);
      if (!first) quiet.due = due(patience_.request);
      quiet.body = fault == Fault::none;
      // RFC 9110, 10.1.1: the client may wait to be asked for the body.
      if (fault == Fault::none && request.head.field("expect") == "100-continue" && reader.more())
        co_await socket.write_all("HTTP/1.1 100 Continue\r\n\r\n");
      if (fault == Fault::none) fault = co_await reader.rest(request.body);
      ended = quiet.ended;
    }
    if (ended) {
      co_await linger(socket, evicted);
      break;
    }
    // A client that has ended its connection has gone, whatever it sent before.
    if (fault == Fault::closed || socket.peer_ended()) break;
    if (fault != Fault::none) {
      co_await refuse(socket, fault, evicted);
      break;
    }
    request.came = loop_.now();
    Answer answer(socket, request.head.keep_alive && !stopping_);
    co_await handler_(request, answer);
    if (!answer.begun() && socket.is_open()) answer.break_off();
    on = answer.keep_alive() && !stopping_;
    if (!on && !answer.broken()) co_await linger(socket, evicted);
  }
  socket.close();
  evicted_ -= evicted;
  --open_;
  closed_.notify();
}

}  // namespace cressrill::http
