// HTTP/1.1 messages (RFC 9112) over sockets, both ways. The text is read by Boost.Beast's basic_parser; what is
// kept of a message is small: its first line, its fields, and the part of the body that has come.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/socket.h"

namespace cressrill::http {

struct MessageLimits {
  std::size_t head_bytes = 64 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
};

// The bytes of one buffer, of which kSlack past what is in use may be read (simdjson's padding).
constexpr std::size_t kReadPaddingBytes = 64;

// The first line and the fields, views into a text of its own.
struct Head {
  std::string_view method;  // of a request
  std::string_view target;
  int status{};                                                       // of a response
  std::vector<std::pair<std::string_view, std::string_view>> fields;  // names in lower case
  bool keep_alive{};

  Head() = default;
  Head(Head&&) noexcept = default;
  Head& operator=(Head&&) noexcept = default;

  // The first field of that name (lower case), or nothing.
  std::optional<std::string_view> field(std::string_view name) const;
  // Empty again, with its room kept.
  void clear();
  // Room for so many more bytes of text; what was kept stays where it is.
  void reserve(std::size_t bytes);
  std::string_view store(std::string_view text, bool lower = false);

 private:
  std::vector<char> text_;                 // not a string: a vector's bytes stay in place when it moves
  std::vector<std::vector<char>> filled_;  // of a head that came in pieces: its earlier text
};

// How a message came to its end.
enum class MessageError {
  none,
  closed,          // the peer ended or broke the connection before the message was whole
  malformed,       // not HTTP, or a framing that could be read in two ways (RFC 9112, section 6.3)
  head_too_large,  // past Bounds::head_bytes
  body_too_large,  // past Bounds::body_bytes
  timed_out,       // a request of which a part came, and not the rest in time
  no_capacity,     // a request of which a part came, given up as there is no room for its connection
};
const char* to_string(MessageError fault);

enum class MessageKind { request, response };

// Reads messages one after another from one socket, into one buffer. Bytes past a message's end stay for the next.
class MessageReader {
 public:
  MessageReader(io::Socket& socket, MessageKind kind, MessageLimits bounds = {});
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;

  // The head of the next message; closed where the peer ends before it is whole.
  io::Task<MessageError> read_head(Head& to);
  // What has come of the body, once some has: pieces in the buffer, good until the next call, each with kSlack
  // readable bytes after it. How long the whole may get is the caller's matter.
  io::Task<MessageError> read_body_pieces(std::span<const std::string_view>& to);
  // Appends what has come of the body; body_large once it is past its bound. more() tells whether any is left.
  io::Task<MessageError> read_some_body(std::string& to);
  // The whole rest of the body, with room for kSlack more.
  io::Task<MessageError> read_body(std::string& to);
  bool has_more() const;
  // Bytes that came past the end of the message: none are owed.
  bool has_leftover() const;
  // Whether any byte of the message that is being read has come.
  bool started() const;
  // When the last of the bytes that were read had come, which may be long before they were read.
  io::Nanos received_at() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

// Texts to be written. fields: "name: value\r\n" lines.
std::string format_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view fields, std::string_view body);
std::string format_request_head(std::string_view method, std::string_view target, std::string_view host,
                                std::string_view fields, std::size_t body_bytes);
std::string format_response(int status, std::string_view fields, std::string_view body, bool keep_alive);
// The head of a chunked response; the line before a chunk of so many bytes; its end.
std::string format_stream_head(int status, std::string_view fields, bool keep_alive);
class ChunkSizeLine {
 public:
  explicit ChunkSizeLine(std::size_t bytes);
  std::string_view text() const { return {text_ + at_, sizeof text_ - at_}; }

 private:
  char text_[18];
  std::size_t at_{sizeof text_};
};
constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Server-sent events (WHATWG HTML, 9.2): cuts a body into events, by their data lines.
class SseParser {
 public:
  // Bytes that stay in place until next() has given nothing, with kSlack readable ones after them.
  void feed(std::string_view bytes);
  // The data of the next whole event, until none is left. Good until the next call; kSlack readable bytes after it.
  std::optional<std::string_view> next();
  // The event that next() gave, as it came, its empty line with it. Good for as long as that.
  std::string_view raw_event() const { return raw_; }
  // The last comment line that came, without its colon; empty where none came.
  std::string_view last_comment() const { return comment_; }
  // Bytes of an event that has no end yet.
  std::size_t pending_bytes() const { return open_.size(); }

 private:
  bool held() const {
    return !open_.empty() && open_.data() >= held_.data() && open_.data() < held_.data() + held_.size();
  }
  std::string_view open_;  // not cut yet: of what was fed or, where an event came in parts, of held_
  std::string held_;
  std::string_view raw_;
  std::string comment_;
  std::string joined_;  // an event of several data lines
};

}  // namespace cressrill::http
