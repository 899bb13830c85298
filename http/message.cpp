#include "message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstring>
#include <limits>
#include <variant>

namespace cressrill::http {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using ErrorCode = boost::system::error_code;

std::optional<std::string_view> Head::field(std::string_view name) const {
  for (const auto& [key, value] : fields)
    if (key == name) return value;
  return std::nullopt;
}

std::size_t Head::memory_bytes() const {
  std::size_t bytes = text_.capacity() + fields.capacity() * sizeof fields.front();
  for (const auto& text : earlier_text_) bytes += text.capacity();
  return bytes;
}

void Head::clear() {
  method = {};
  target = {};
  status = 0;
  keep_alive = false;
  fields.clear();
  text_.clear();
  earlier_text_.clear();
}

void Head::reserve(std::size_t bytes) {
  if (text_.capacity() - text_.size() >= bytes) return;
  const std::size_t capacity = std::max(bytes, 2 * text_.capacity());
  if (!text_.empty()) earlier_text_.push_back(std::exchange(text_, {}));
  text_.reserve(capacity);
}

std::string_view Head::store(std::string_view text, bool lower_case) {
  const std::size_t begin = text_.size();
  text_.insert(text_.end(), text.begin(), text.end());
  if (lower_case)
    for (char& c : std::span(text_).subspan(begin))
      if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return {text_.data() + begin, text.size()};
}

const char* to_string(MessageError error) {
  static constexpr const char* names[] = {"none",           "closed",         "malformed",
                                          "head too large", "body too large", "chunk framing too large",
                                          "timed out",      "no room"};
  return names[static_cast<int>(error)];
}

namespace {

// Where a parser stores what it has read.
struct ParserOutput {
  Head* head{};                          // null once the head is complete
  std::vector<std::string_view> pieces;  // of the body; they point into the input
};

// Common interface of the request and the response parser; its functions are those of basic_parser.
struct ParserInterface {
  virtual ~ParserInterface() = default;
  virtual std::size_t put(const char* data, std::size_t size, ErrorCode& error) = 0;
  virtual void put_eof(ErrorCode& error) = 0;
  virtual bool head_done() const = 0;
  virtual bool done() const = 0;
  virtual bool started() const = 0;
  virtual bool keep_alive() const = 0;
  virtual std::size_t length() const = 0;  // of the body, as content-length says; 0 if it is absent
};

template <bool request>
class Parser final : public beast_http::basic_parser<request>, public ParserInterface {
  using Base = beast_http::basic_parser<request>;

 public:
  Parser(MessageLimits limits, ParserOutput& output)
      : output_(output), max_fields_(limits.fields), max_chunk_bytes_(limits.chunk_bytes) {
    this->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    // A streamed response may have any length; read_some_body() limits bodies that are kept.
    if constexpr (request)
      this->body_limit(limits.body_bytes);
    else
      this->body_limit(boost::none);
    this->eager(true);
  }
  std::size_t put(const char* data, std::size_t size, ErrorCode& error) override {
    return Base::put(boost::asio::const_buffer(data, size), error);
  }
  void put_eof(ErrorCode& error) override { Base::put_eof(error); }
  bool head_done() const override { return Base::is_header_done(); }
  bool done() const override { return Base::is_done(); }
  bool started() const override { return Base::got_some(); }
  bool keep_alive() const override { return Base::keep_alive(); }
  std::size_t length() const override {
    const auto length = Base::content_length();
    return length ? static_cast<std::size_t>(*length) : 0;
  }

 private:
  static std::string_view to_std_view(beast::string_view text) { return {text.data(), text.size()}; }
  void on_request_impl(beast_http::verb, beast::string_view method, beast::string_view target, int,
                       ErrorCode&) override {
    output_.head->method = output_.head->store(to_std_view(method));
    output_.head->target = output_.head->store(to_std_view(target));
  }
  void on_response_impl(int status, beast::string_view, int, ErrorCode&) override {
    output_.head->status = status;
  }
  void on_field_impl(beast_http::field, beast::string_view name, beast::string_view value,
                     ErrorCode& error) override {
    if (output_.head == nullptr) return;  // a trailer field: ignored
    Head& head = *output_.head;
    if (head.fields.size() >= max_fields_) error = beast_http::error::header_limit;
    if (error) return;
    const std::string_view key = head.store(to_std_view(name), true);
    // RFC 9112, 6.3: conflicting message lengths may be an attempt at request smuggling.
    if (key == "content-length" && (head.field(key) || head.field("transfer-encoding")))
      error = beast_http::error::bad_content_length;
    if (key == "transfer-encoding" && (head.field(key) || head.field("content-length")))
      error = beast_http::error::bad_transfer_encoding;
    head.fields.emplace_back(key, head.store(to_std_view(value)));
  }
  void on_header_impl(ErrorCode&) override { output_.head = nullptr; }  // later fields are trailer fields
  void on_body_init_impl(boost::optional<std::uint64_t> const&, ErrorCode&) override {}
  std::size_t on_body_impl(beast::string_view data, ErrorCode&) override {
    output_.pieces.push_back(to_std_view(data));
    return data.size();
  }
  // The size is judged as its line is read: a peer may go on for long in a chunk that no body can hold.
  void on_chunk_header_impl(std::uint64_t size, beast::string_view, ErrorCode& error) override {
    if (!request && size > max_chunk_bytes_) error = beast_http::error::bad_chunk;
  }
  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view data, ErrorCode&) override {
    output_.pieces.push_back(to_std_view(data));
    return data.size();
  }
  void on_finish_impl(ErrorCode&) override {}

  ParserOutput& output_;
  std::size_t max_fields_;
  std::uint64_t max_chunk_bytes_;
};

MessageError to_message_error(const ErrorCode& error) {
  if (error == beast_http::error::header_limit) return MessageError::head_too_large;
  if (error == beast_http::error::body_limit) return MessageError::body_too_large;
  if (error == beast_http::error::partial_message || error == beast_http::error::end_of_stream)
    return MessageError::closed;
  return MessageError::malformed;
}

constexpr int kSwitchingProtocols = 101;

// RFC 9110, 15.2: any number of interim responses may precede the final one. 101 is the last response before
// another protocol, which no request of ours asks for.
bool is_interim(int status) { return status / 100 == 1 && status != kSwitchingProtocols; }

}  // namespace

// Buffers start small, as many streams are idle most of the time, and grow while reads fill them.
constexpr std::size_t kInitialBufferBytes = 4 * 1024;
constexpr std::size_t kMaxBufferBytes = 16 * 1024;
constexpr std::size_t kMaxUnaccountedBufferBytes = 64 * 1024;  // of requests whose memory has no budget
constexpr std::size_t kFirstBodyBytes = 16 * 1024;  // reserved before that much has come, if it is announced
constexpr std::size_t kMaxPiecesPerRead = 64;       // of a body: each takes memory beside its bytes

// The receive buffer, and the parser of the current message.
struct MessageReader::State {
  State(io::Socket& source, MessageKind message_kind, MessageLimits message_limits)
      : socket(source), kind(message_kind), limits(message_limits) {}

  io::Socket& socket;
  MessageKind kind;
  MessageLimits limits;
  ParserOutput output;
  std::variant<std::monostate, Parser<true>, Parser<false>> parsers;
  ParserInterface* parser{};
  bool pieces_returned{};  // output.pieces was returned to the caller
  std::unique_ptr<char[]> buffer;
  std::size_t capacity{};   // of the buffer, without the padding
  std::size_t consumed{};   // bytes at its start that were parsed
  std::size_t size{};       // bytes in it, including those consumed
  bool last_read_filled{};  // the last read filled the buffer
  io::Nanos received_at{};
  bool kernel_time_read{true};  // received_at is what the kernel reports for the last read
  io::Loop* loop{};
  memory::Account* account{};  // null: growth is not limited
  memory::Charge charge;       // of the buffer and of the head that is being read

  bool is_unaccounted_request() const { return kind == MessageKind::request && account == nullptr; }
  std::size_t max_buffer_bytes() const {
    return is_unaccounted_request() ? kMaxUnaccountedBufferBytes : kMaxBufferBytes;
  }
  // How much to reserve for a body that has grown to `new_size`, more than its capacity. Of the announced length at
  // most twice what has come, as a peer may announce more than it sends; without a budget, all of it once any
  // data have come.
  std::size_t body_reserve(const std::string& body, std::size_t new_size) const {
    const std::size_t length = parser->length();
    if (is_unaccounted_request()) {
      const std::size_t announced = std::min(
          length, body.empty() ? kMaxUnaccountedBufferBytes : std::numeric_limits<std::size_t>::max());
      return std::max(body.capacity() * 2, announced) + (new_size - body.size()) + kReadPaddingBytes;
    }
    const std::size_t doubled = std::max(2 * new_size, length > 0 ? kFirstBodyBytes : 0);
    return (length >= new_size ? std::min(length, doubled) : doubled) + kReadPaddingBytes;
  }
  // Waits until the account may grow by that many bytes; returns false if it must not.
  io::Task<bool> wait_for_growth(std::size_t bytes) {
    for (;;) {
      switch (account->request_growth(bytes, loop->now())) {
        case memory::Account::Admission::granted:
          co_return true;
        case memory::Account::Admission::refused:
          co_return false;
        case memory::Account::Admission::wait:
          co_await loop->yield();
      }
    }
  }
  bool may_grow_now(std::size_t bytes) {
    return account == nullptr ||
           account->request_growth(bytes, loop->now()) == memory::Account::Admission::granted;
  }
  void update_charge() {
    if (account != nullptr)
      charge.resize(capacity + (output.head == nullptr ? 0 : output.head->memory_bytes()));
  }
  // Starts to read the next message into head, which is emptied. head may be null.
  void start_message(Head* head) {
    if (head != nullptr) head->clear();
    output.head = head;
    output.pieces.clear();
    pieces_returned = false;
    if (kind == MessageKind::request)
      parser = &parsers.emplace<1>(limits, output);
    else
      parser = &parsers.emplace<2>(limits, output);
  }
  // Passes the bytes that are buffered and not consumed to the parser.
  void parse(ErrorCode& error) {
    while (consumed < size && !parser->done() && output.pieces.size() < kMaxPiecesPerRead) {
      const std::size_t parsed = parser->put(buffer.get() + consumed, size - consumed, error);
      consumed += parsed;
      if (error == beast_http::error::need_more) {
        error = {};
        break;
      }
      if (error || parsed == 0) break;
    }
  }
  void grow(std::size_t wanted) {
    if (wanted <= capacity) return;
    std::unique_ptr<char[]> larger(new char[wanted + kReadPaddingBytes]);
    std::copy(buffer.get() + consumed, buffer.get() + size, larger.get());
    buffer = std::move(larger);
    capacity = wanted;
    size -= consumed;
    consumed = 0;
  }
  // Reads more bytes from the socket into the buffer.
  io::Task<MessageError> receive() {
    if (consumed == size) {
      consumed = 0;
      size = 0;
      // A read that filled the buffer suggests that much more data follows.
      if (last_read_filled && capacity < max_buffer_bytes() && parser->head_done())
        grow(std::min(max_buffer_bytes(), capacity * 4));
    } else if (consumed > 0) {
      std::memmove(buffer.get(), buffer.get() + consumed, size - consumed);
      size -= consumed;
      consumed = 0;
    }
    if (size == capacity) {
      const std::size_t wanted = std::max(kInitialBufferBytes, capacity * 2);
      if (!may_grow_now(wanted)) {
        const bool granted = co_await wait_for_growth(wanted);
        if (!granted) co_return MessageError::no_capacity;
      }
      grow(wanted);
    }
    update_charge();
    const io::IoResult result = co_await socket.read_some(std::span(buffer.get() + size, capacity - size));
    if (!result.ok()) co_return MessageError::closed;
    if (result.bytes > 0) {
      size += result.bytes;
      received_at = socket.last_readable_at();
      kernel_time_read = false;
      last_read_filled = size == capacity;
      if (account != nullptr) account->record_progress(loop->now());
      co_return MessageError::none;
    }
    if (!parser->started()) co_return MessageError::closed;
    ErrorCode error;
    parser->put_eof(error);  // the end of the connection may be the end of a response body
    co_return error || !parser->done() ? MessageError::closed : MessageError::none;
  }
};

MessageReader::MessageReader(io::Socket& socket, MessageKind kind, MessageLimits limits)
    : state_(new State(socket, kind, limits)) {
  state_->start_message(nullptr);
}
void MessageReader::set_account(io::Loop& loop, memory::Account& account) {
  state_->loop = &loop;
  state_->account = &account;
  state_->charge = memory::Charge(account);
}

io::Task<bool> MessageReader::read_ahead() {
  State& state = *state_;
  const std::size_t wanted = std::max(kMaxBufferBytes, 2 * state.capacity);
  if (state.size == state.capacity) {
    if (!state.may_grow_now(wanted)) {
      const bool granted = co_await state.wait_for_growth(wanted);
      if (!granted) co_return false;
    }
    state.grow(wanted);
    state.update_charge();
  }
  const io::IoResult result = co_await state.socket.read_some(
      std::span(state.buffer.get() + state.size, state.capacity - state.size));
  if (!result.ok() || result.bytes == 0) co_return false;
  state.size += result.bytes;
  state.received_at = state.socket.last_readable_at();
  state.kernel_time_read = false;
  co_return true;
}

std::size_t MessageReader::unparsed_bytes() const { return state_->size - state_->consumed; }

void MessageReader::shrink() {
  State& state = *state_;
  if (state.consumed < state.size || state.capacity <= kInitialBufferBytes) return;
  state.buffer.reset();
  state.capacity = 0;
  state.consumed = 0;
  state.size = 0;
  state.update_charge();
}

MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader&&) noexcept = default;

io::Task<MessageError> MessageReader::read_head(Head& out) {
  State& state = *state_;
  state.start_message(&out);
  shrink();
  for (;;) {
    ErrorCode parse_error;
    // Beast parses the start line and each field as soon as they are complete, so text stored from earlier
    // pieces has to stay in place while the next piece is received. One pass stores at most the bytes that
    // are in the buffer.
    out.reserve(state.size - state.consumed);
    state.parse(parse_error);
    if (parse_error) co_return to_message_error(parse_error);
    if (state.parser->head_done()) {
      if (!is_interim(out.status)) break;  // the status of a request is 0
      state.start_message(&out);
      continue;
    }
    if (state.size - state.consumed > state.limits.head_bytes) co_return MessageError::head_too_large;
    const MessageError error = co_await state.receive();
    if (error != MessageError::none) co_return error;
  }
  if (out.status == kSwitchingProtocols) co_return MessageError::malformed;
  out.keep_alive = state.parser->keep_alive();
  co_return MessageError::none;
}

io::Task<MessageError> MessageReader::read_body_pieces(std::span<const std::string_view>& out) {
  State& state = *state_;
  out = {};
  if (std::exchange(state.pieces_returned, false)) state.output.pieces.clear();
  for (;;) {
    ErrorCode parse_error;
    state.parse(parse_error);
    if (!state.output.pieces.empty()) {
      state.pieces_returned = true;
      out = state.output.pieces;
    }
    if (parse_error) co_return to_message_error(parse_error);
    if (state.pieces_returned || state.parser->done()) co_return MessageError::none;
    state.update_charge();
    // The parser consumes data at once, but a line of the framing only once it is complete.
    if (state.size - state.consumed > state.limits.framing_bytes) co_return MessageError::framing_too_large;
    const MessageError error = co_await state.receive();
    if (error != MessageError::none) co_return error;
  }
}

io::Task<MessageError> MessageReader::read_some_body(std::string& out, memory::Charge* charge) {
  const std::size_t length = state_->parser->length();
  if (length > state_->limits.body_bytes) co_return MessageError::body_too_large;
  std::span<const std::string_view> pieces;
  const MessageError error = co_await read_body_pieces(pieces);
  for (const std::string_view piece : pieces) {
    const std::size_t size = out.size() + piece.size();
    if (size > state_->limits.body_bytes) co_return MessageError::body_too_large;
    const std::size_t needed = state_->is_unaccounted_request() ? size : size + kReadPaddingBytes;
    if (needed > out.capacity()) {
      const std::size_t wanted = state_->body_reserve(out, size);
      if (!state_->may_grow_now(wanted)) {
        const bool granted = co_await state_->wait_for_growth(wanted);
        if (!granted) co_return MessageError::no_capacity;
      }
      out.reserve(wanted);
      if (charge != nullptr) charge->resize(out.capacity());
    }
    out.append(piece);
  }
  co_return error;
}

io::Task<MessageError> MessageReader::read_body(std::string& out, memory::Charge* charge) {
  while (has_more()) {
    const MessageError error = co_await read_some_body(out, charge);
    if (error != MessageError::none) co_return error;
  }
  out.reserve(out.size() + kReadPaddingBytes);
  co_return MessageError::none;
}

bool MessageReader::has_more() const {
  return !state_->parser->done() || (!state_->pieces_returned && !state_->output.pieces.empty());
}
bool MessageReader::has_leftover() const { return state_->consumed < state_->size; }
io::Nanos MessageReader::received_at() const {
  State& state = *state_;
  if (!std::exchange(state.kernel_time_read, true))
    state.received_at = std::min(state.received_at, state.socket.last_received_at());
  return state.received_at;
}
bool MessageReader::started() const { return state_->parser->started() || has_leftover(); }

std::string format_request_head(std::string_view method, std::string_view target, std::string_view host,
                                std::string_view fields, std::size_t body_bytes) {
  std::string out;
  out.reserve(128 + target.size() + fields.size());  // 128: room for the rest of a usual head
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nhost: ").append(host).append("\r\n");
  out.append(fields);
  if (body_bytes > 0 || method != "GET")
    out.append("content-length: ").append(std::to_string(body_bytes)).append("\r\n");
  return out.append("\r\n");
}

std::string format_request(std::string_view method, std::string_view target, std::string_view host,
                           std::string_view fields, std::string_view body) {
  return format_request_head(method, target, host, fields, body.size()).append(body);
}

namespace {
// Returns the status line and, if the connection is not kept alive, the connection field.
std::string format_response_start(int status, bool keep_alive) {
  const auto reason = beast_http::obsolete_reason(static_cast<beast_http::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  if (!keep_alive) out.append("connection: close\r\n");
  return out;
}
}  // namespace

std::string format_response(int status, std::string_view fields, std::string_view body, bool keep_alive) {
  std::string out = format_response_start(status, keep_alive);
  out.append(fields).append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

std::string format_stream_head(int status, std::string_view fields, bool keep_alive) {
  return format_response_start(status, keep_alive)
      .append(fields)
      .append("transfer-encoding: chunked\r\n\r\n");
}

ChunkSizeLine::ChunkSizeLine(std::size_t bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  text_[--begin_] = '\n';
  text_[--begin_] = '\r';
  for (std::size_t n = bytes; n > 0; n >>= 4) text_[--begin_] = digits[n & 15];
}

void SseParser::feed(std::string_view bytes) {
  if (pending_.empty()) {
    pending_ = bytes;
    return;
  }
  if (!is_buffered()) pending_ = buffer_.assign(pending_);
  buffer_.erase(0, static_cast<std::size_t>(pending_.data() - buffer_.data()));
  buffer_.reserve(buffer_.size() + bytes.size() + kReadPaddingBytes);
  pending_ = buffer_.append(bytes);
}

std::size_t SseParser::pending_event_bytes() const {
  std::size_t bytes = 0;
  for (std::string_view rest = pending_; !rest.empty();) {
    const std::size_t end = std::min(rest.find('\n'), rest.size() - 1) + 1;
    const bool belongs_to_event =
        !rest.starts_with(':') && !rest.starts_with('\r') && !rest.starts_with('\n');
    if (belongs_to_event) bytes += end;
    rest.remove_prefix(end);
  }
  return bytes;
}

std::optional<std::string_view> SseParser::next() {
  std::string_view data;
  int data_lines = 0;
  for (std::size_t from = 0;;) {
    const std::size_t end = pending_.find('\n', from);
    if (end == std::string_view::npos) {
      if (!pending_.empty() && !is_buffered()) {
        buffer_.reserve(pending_.size() + kReadPaddingBytes);
        pending_ = buffer_.assign(pending_);
      }
      return std::nullopt;
    }
    std::string_view line = pending_.substr(from, end - from);
    if (line.ends_with('\r')) line.remove_suffix(1);
    from = end + 1;
    if (line.empty()) {
      raw_event_ = pending_.substr(0, from);
      pending_.remove_prefix(from);
      from = 0;
      if (data_lines > 0) return data;
      continue;
    }
    if (line.starts_with(':')) last_comment_.assign(line.substr(1));
    if (!line.starts_with("data:")) continue;
    line.remove_prefix(5);  // "data:"
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (++data_lines == 1) {
      data = line;
      continue;
    }
    if (data_lines == 2) joined_data_.assign(data);
    joined_data_.reserve(joined_data_.size() + 1 + line.size() + kReadPaddingBytes);
    joined_data_.append("\n").append(line);
    data = joined_data_;
  }
}

}  // namespace cressrill::http
