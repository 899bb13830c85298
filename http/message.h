// Reads and formats HTTP/1.1 messages (RFC 9112). Parsing is done by Boost.Beast's basic_parser. A reader
// keeps only the start line and the header fields of a message, and the part of its body that has been
// received and not yet consumed.
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/socket.h"
#include "memory/budget.h"

namespace cressrill::http {

// Limits on messages that are read. body_bytes applies to requests, and to response bodies that are read into
// one string. chunk_bytes applies to the size that a chunk of a response states, whether or not its data
// come. framing_bytes applies to what surrounds the data of a chunked body: the size line of a chunk with its
// extensions, and the trailer section.
struct MessageLimits {
  std::size_t head_bytes = 64 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
  std::size_t framing_bytes = 16 * 1024;
  std::size_t chunk_bytes = 8 * 1024 * 1024;
  std::size_t fields = 128;
};

// Bytes past the end of received data that are always readable, as simdjson needs (SIMDJSON_PADDING).
constexpr std::size_t kReadPaddingBytes = 64;

// Start line and header fields of a message; the views point into storage that the head owns.
struct Head {
  std::string_view method;  // request only
  std::string_view target;
  int status{};                                                       // response only
  std::vector<std::pair<std::string_view, std::string_view>> fields;  // names are in lower case
  bool keep_alive{};

  Head() = default;
  Head(Head&&) noexcept = default;
  Head& operator=(Head&&) noexcept = default;

  // Size of the buffers that hold it.
  std::size_t memory_bytes() const;
  // Value of the first field with that name (in lower case), if any.
  std::optional<std::string_view> field(std::string_view name) const;
  // Makes the head empty and keeps its capacity.
  void clear();
  // Makes room for that many more bytes of text; stored text stays in place.
  void reserve(std::size_t bytes);
  // Copies text into the head's storage, which must have room for it (reserve()).
  std::string_view store(std::string_view text, bool lower_case = false);

 private:
  std::vector<char> text_;  // not a string: the bytes of a vector stay in place when it is moved
  std::vector<std::vector<char>> earlier_text_;  // full buffers, if the head was received in several pieces
};

// Why a message could not be read completely.
enum class MessageError {
  none,
  closed,             // the peer closed or broke the connection before the end of the message
  malformed,          // not HTTP, or ambiguous framing (RFC 9112, section 6.3)
  head_too_large,     // exceeds MessageLimits::head_bytes or fields
  body_too_large,     // exceeds MessageLimits::body_bytes
  framing_too_large,  // exceeds MessageLimits::framing_bytes
  timed_out,          // the rest of a partly received request did not arrive in time
  no_capacity,        // a partly received request was abandoned, as the server is at its limit of connections
                      // or memory
};
// The error in words, for error bodies.
const char* to_string(MessageError error);

enum class MessageKind { request, response };

// Reads consecutive messages from a socket, which must outlive the reader. Bytes received past the end of a
// message stay in the buffer for the next one.
class MessageReader {
 public:
  MessageReader(io::Socket& socket, MessageKind kind, MessageLimits limits = {});
  ~MessageReader();
  MessageReader(MessageReader&&) noexcept;

  // Charges the buffers to an account from now on: reading waits for the account's growth, and ends with
  // no_capacity if it is refused. Both arguments must outlive the reader.
  void set_account(io::Loop& loop, memory::Account& account);
  // Reads what the peer has sent beyond the message that was read last. Returns false if the peer has closed
  // the connection, or if the account may not grow.
  io::Task<bool> read_ahead();
  // Number of bytes that were received and not parsed yet.
  std::size_t unparsed_bytes() const;
  // Frees the buffer if it is large and empty.
  void shrink();
  // Reads the head of the next message. Interim responses (1xx) are skipped: their request is not answered
  // until the final response has been read, however many there are.
  io::Task<MessageError> read_head(Head& out);
  // Waits for body data and returns it as pieces of the buffer, which are valid until the next call; each is
  // followed by kReadPaddingBytes readable bytes. The total size is not limited here.
  io::Task<MessageError> read_body_pieces(std::span<const std::string_view>& out);
  // Waits for body data and appends it; body_too_large once the body exceeds its limit.
  // charge: of `out`, if the reader has an account.
  io::Task<MessageError> read_some_body(std::string& out, memory::Charge* charge = nullptr);
  // Reads the rest of the body, and leaves capacity for kReadPaddingBytes more.
  io::Task<MessageError> read_body(std::string& out, memory::Charge* charge = nullptr);
  // Whether the current message has a body, or a rest of it, that was not returned yet.
  bool has_more() const;
  // Whether bytes past the end of the current message have been received.
  bool has_leftover() const;
  // Whether any byte of the message that is being read has been received.
  bool started() const;
  // When the kernel received the last bytes that were read, which may be long before they were read.
  io::Nanos received_at() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Format messages to be written. fields: header lines, each "name: value\r\n".
std::string format_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view fields, std::string_view body);
std::string format_request_head(std::string_view method, std::string_view target, std::string_view host,
                                std::string_view fields, std::size_t body_bytes);
std::string format_response(int status, std::string_view fields, std::string_view body, bool keep_alive);
// Head of a response with the chunked transfer coding.
std::string format_stream_head(int status, std::string_view fields, bool keep_alive);

// The line before the data of a chunk: its size in hexadecimal.
class ChunkSizeLine {
 public:
  explicit ChunkSizeLine(std::size_t bytes);
  std::string_view text() const { return {text_ + begin_, sizeof text_ - begin_}; }

 private:
  char text_[18];  // 16 digits and CRLF, filled from the end
  std::size_t begin_{sizeof text_};
};
constexpr std::string_view kChunkEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Incremental parser for server-sent events (WHATWG HTML, section 9.2). Events without a data line are
// skipped.
class SseParser {
 public:
  // Adds input. The bytes have to stay valid until next() returns nothing, with kReadPaddingBytes readable
  // bytes after them.
  void feed(std::string_view bytes);
  // Data of the next complete event, or nothing. Valid until the next call, with kReadPaddingBytes readable
  // bytes after it.
  std::optional<std::string_view> next();
  // The last event that next() returned as it was received, with its final empty line. Valid as long as its
  // data.
  std::string_view raw_event() const { return raw_event_; }
  // The last comment line without its colon; empty if there was none.
  std::string_view last_comment() const { return last_comment_; }
  // Size of the incomplete event at the end of the input.
  std::size_t pending_bytes() const { return pending_.size(); }
  // The same without comment lines, which belong to no event.
  std::size_t pending_event_bytes() const;
  // Size of the buffers.
  std::size_t memory_bytes() const { return buffer_.capacity() + joined_data_.capacity(); }

 private:
  // Whether pending_ points into buffer_.
  bool is_buffered() const {
    return !pending_.empty() && pending_.data() >= buffer_.data() &&
           pending_.data() < buffer_.data() + buffer_.size();
  }
  // Input that is not parsed yet: part of the last feed() or, for a split event, of buffer_.
  std::string_view pending_;
  std::string buffer_;
  std::string_view raw_event_;
  std::string last_comment_;
  std::string joined_data_;  // data of an event with several data lines
};

}  // namespace cressrill::http
