#include "message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cstring>
#include <variant>

namespace cressrill::http {

namespace beast = boost::beast;
namespace bh = boost::beast::http;
using Error = boost::system::error_code;

std::optional<std::string_view> Head::field(std::string_view name) const {
  for (const auto& [key, value] : fields)
    if (key == name) return value;
  return std::nullopt;
}

void Head::clear() {
  method = target = {};
  status = 0, keep_alive = false;
  fields.clear(), text_.clear(), filled_.clear();
}

void Head::reserve(std::size_t bytes) {
  if (text_.capacity() - text_.size() >= bytes) return;
  const std::size_t room = std::max(bytes, 2 * text_.capacity());
  if (!text_.empty()) filled_.push_back(std::exchange(text_, {}));
  text_.reserve(room);
}

std::string_view Head::store(std::string_view text, bool lower) {
  const std::size_t at = text_.size();
  text_.insert(text_.end(), text.begin(), text.end());
  if (lower)
    for (char& c : std::span(text_).subspan(at))
      if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return {text_.data() + at, text.size()};
}

const char* to_string(MessageError fault) {
  static constexpr const char* words[] = {"none",           "closed",    "malformed", "head too large",
                                          "body too large", "timed out", "no room"};
  return words[static_cast<int>(fault)];
}

namespace {

// What a message's parser writes into.
struct Target {
  Head* head{};
  std::vector<std::string_view> pieces;  // of the body, in the buffer
};

struct Sink {
  virtual ~Sink() = default;
  virtual std::size_t put(const char* data, std::size_t size, Error& error) = 0;
  virtual void put_eof(Error& error) = 0;
  virtual bool head_done() const = 0;
  virtual bool done() const = 0;
  virtual bool started() const = 0;
  virtual bool keep_alive() const = 0;
  virtual std::size_t length() const = 0;  // as told; 0 where none is
};

template <bool request>
class Parser final : public bh::basic_parser<request>, public Sink {
  using Base = bh::basic_parser<request>;

 public:
  Parser(MessageLimits bounds, Target& to) : to_(to) {
    this->header_limit(static_cast<std::uint32_t>(bounds.head_bytes));
    // A stream may be of any length: whoever keeps a response's body bounds it.
    if constexpr (request)
      this->body_limit(bounds.body_bytes);
    else
      this->body_limit(boost::none);
    this->eager(true);
  }
  std::size_t put(const char* data, std::size_t size, Error& error) override {
    return Base::put(boost::asio::const_buffer(data, size), error);
  }
  void put_eof(Error& error) override { Base::put_eof(error); }
  bool head_done() const override { return Base::is_header_done(); }
  bool done() const override { return Base::is_done(); }
  bool started() const override { return Base::got_some(); }
  bool keep_alive() const override { return Base::keep_alive(); }
  std::size_t length() const override {
    const auto told = Base::content_length();
    return told ? static_cast<std::size_t>(*told) : 0;
  }

 private:
  static std::string_view std_view(beast::string_view text) { return {text.data(), text.size()}; }
  void on_request_impl(bh::verb, beast::string_view method, beast::string_view target, int, Error&) override {
    to_.head->method = to_.head->store(std_view(method));
    to_.head->target = to_.head->store(std_view(target));
  }
  void on_response_impl(int status, beast::string_view, int, Error&) override { to_.head->status = status; }
  void on_field_impl(bh::field, beast::string_view name, beast::string_view value, Error& error) override {
    if (to_.head == nullptr) return;  // a trailer: nothing here is asked of one
    Head& head = *to_.head;
    const std::string_view key = head.store(std_view(name), true);
    // RFC 9112, 6.3: a message that tells its length twice may be a smuggled one.
    if (key == "content-length" && (head.field(key) || head.field("transfer-encoding")))
      error = bh::error::bad_content_length;
    if (key == "transfer-encoding" && (head.field(key) || head.field("content-length")))
      error = bh::error::bad_transfer_encoding;
    head.fields.emplace_back(key, head.store(std_view(value)));
  }
  void on_header_impl(Error&) override { to_.head = nullptr; }  // fields from here on are a trailer's
  void on_body_init_impl(boost::optional<std::uint64_t> const&, Error&) override {}
  std::size_t on_body_impl(beast::string_view data, Error&) override {
    to_.pieces.push_back(std_view(data));
    return data.size();
  }
  void on_chunk_header_impl(std::uint64_t, beast::string_view, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view data, Error&) override {
    to_.pieces.push_back(std_view(data));
    return data.size();
  }
  void on_finish_impl(Error&) override {}

  Target& to_;
};

MessageError fault_of(const Error& error) {
  if (error == bh::error::header_limit) return MessageError::head_too_large;
  if (error == bh::error::body_limit) return MessageError::body_too_large;
  if (error == bh::error::partial_message || error == bh::error::end_of_stream) return MessageError::closed;
  return MessageError::malformed;
}

}  // namespace

// Buffers start small, for the many streams that wait, and grow while whole buffers come.
constexpr std::size_t kSmall = 4 * 1024;
constexpr std::size_t kLarge = 64 * 1024;

struct MessageReader::Parts {
  Parts(io::Socket& s, MessageKind k, MessageLimits b) : socket(s), kind(k), bounds(b) {}

  io::Socket& socket;
  MessageKind kind;
  MessageLimits bounds;
  Target target;
  std::variant<std::monostate, Parser<true>, Parser<false>> parser;
  Sink* sink{};
  bool handed{};  // the pieces were given to the caller
  std::unique_ptr<char[]> buffer;
  std::size_t room{};
  std::size_t used{};
  std::size_t size{};
  bool filled{};
  io::Nanos received_at{};
  bool asked_kernel{true};

  void fresh(Head* head) {
    target.head = head, target.pieces.clear(), handed = false;
    if (kind == MessageKind::request)
      sink = &parser.emplace<1>(bounds, target);
    else
      sink = &parser.emplace<2>(bounds, target);
  }
  // Hands what is in hand to the parser.
  void feed(Error& error) {
    while (used < size && !sink->done()) {
      const std::size_t took = sink->put(buffer.get() + used, size - used, error);
      used += took;
      if (error == bh::error::need_more) {
        error = {};
        break;
      }
      if (error || took == 0) break;
    }
  }
  void have_room(std::size_t wanted) {
    if (wanted <= room) return;
    std::unique_ptr<char[]> larger(new char[wanted + kReadPaddingBytes]);
    std::copy(buffer.get() + used, buffer.get() + size, larger.get());
    buffer = std::move(larger), room = wanted, size -= used, used = 0;
  }
  io::Task<MessageError> more() {
    if (used == size) {
      used = size = 0;
      // The last read filled it: there is much to come.
      if (filled && room < kLarge && sink->head_done()) have_room(std::min(kLarge, room * 4));
    } else if (used > 0) {
      std::memmove(buffer.get(), buffer.get() + used, size - used);
      size -= used, used = 0;
    }
    if (size == room) have_room(std::max(kSmall, room * 2));
    const io::IoResult got = co_await socket.read_some(std::span(buffer.get() + size, room - size));
    if (!got.ok()) co_return MessageError::closed;
    if (got.bytes > 0) {
      size += got.bytes;
      received_at = socket.last_readable_at();
      asked_kernel = false;
      filled = size == room;
      co_return MessageError::none;
    }
    if (!sink->started()) co_return MessageError::closed;
    Error error;
    sink->put_eof(error);  // a response may end with its connection
    co_return error || !sink->done() ? MessageError::closed : MessageError::none;
  }
};

MessageReader::MessageReader(io::Socket& socket, MessageKind kind, MessageLimits bounds)
    : parts_(new Parts(socket, kind, bounds)) {
  parts_->fresh(nullptr);
}
MessageReader::~MessageReader() = default;
MessageReader::MessageReader(MessageReader&&) noexcept = default;

io::Task<MessageError> MessageReader::read_head(Head& to) {
  Parts& p = *parts_;
  p.fresh(&to);
  if (p.used == p.size && p.room > kSmall) p.buffer.reset(), p.room = p.used = p.size = 0;
  to.clear();
  for (;;) {
    Error error;
    // A head that comes in pieces: Beast reads its first line, and each field, as soon as they are whole. What was
    // kept of them has to outlive the next piece. No more text than is in hand is kept of one.
    to.reserve(p.size - p.used);
    p.feed(error);
    if (error) co_return fault_of(error);
    if (p.sink->head_done()) break;
    if (p.size - p.used > p.bounds.head_bytes) co_return MessageError::head_too_large;
    const MessageError fault = co_await p.more();
    if (fault != MessageError::none) co_return fault;
  }
  to.keep_alive = p.sink->keep_alive();
  co_return MessageError::none;
}

io::Task<MessageError> MessageReader::read_body_pieces(std::span<const std::string_view>& to) {
  Parts& p = *parts_;
  to = {};
  if (std::exchange(p.handed, false)) p.target.pieces.clear();
  for (;;) {
    Error error;
    p.feed(error);
    if (!p.target.pieces.empty()) p.handed = true, to = p.target.pieces;
    if (error) co_return fault_of(error);
    if (p.handed || p.sink->done()) co_return MessageError::none;
    const MessageError fault = co_await p.more();
    if (fault != MessageError::none) co_return fault;
  }
}

io::Task<MessageError> MessageReader::read_some_body(std::string& to) {
  std::span<const std::string_view> got;
  const MessageError fault = co_await read_body_pieces(got);
  for (const std::string_view piece : got) {
    if (to.size() + piece.size() > parts_->bounds.body_bytes) co_return MessageError::body_too_large;
    // Room for all that was told of, once enough came that it is not only told.
    if (to.size() + piece.size() > to.capacity())
      to.reserve(
          std::max(to.capacity() * 2, std::min(parts_->sink->length(), to.empty() ? kLarge : SIZE_MAX)) +
          piece.size() + kReadPaddingBytes);
    to.append(piece);
  }
  co_return fault;
}

io::Task<MessageError> MessageReader::read_body(std::string& to) {
  while (has_more()) {
    const MessageError fault = co_await read_some_body(to);
    if (fault != MessageError::none) co_return fault;
  }
  to.reserve(to.size() + kReadPaddingBytes);
  co_return MessageError::none;
}

bool MessageReader::has_more() const {
  return !parts_->sink->done() || (!parts_->handed && !parts_->target.pieces.empty());
}
bool MessageReader::has_leftover() const { return parts_->used < parts_->size; }
io::Nanos MessageReader::received_at() const {
  Parts& p = *parts_;
  if (!std::exchange(p.asked_kernel, true))
    p.received_at = std::min(p.received_at, p.socket.last_received_at());
  return p.received_at;
}
bool MessageReader::started() const { return parts_->sink->started() || has_leftover(); }

std::string format_request_head(std::string_view method, std::string_view target, std::string_view host,
                                std::string_view fields, std::size_t body_bytes) {
  std::string out;
  out.reserve(128 + target.size() + fields.size());
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
std::string first_line(int status, bool keep_alive) {
  const auto reason = bh::obsolete_reason(static_cast<bh::status>(status));
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  if (!keep_alive) out.append("connection: close\r\n");
  return out;
}
}  // namespace

std::string format_response(int status, std::string_view fields, std::string_view body, bool keep_alive) {
  std::string out = first_line(status, keep_alive);
  out.append(fields).append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return out.append(body);
}

std::string format_stream_head(int status, std::string_view fields, bool keep_alive) {
  return first_line(status, keep_alive).append(fields).append("transfer-encoding: chunked\r\n\r\n");
}

ChunkSizeLine::ChunkSizeLine(std::size_t bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  text_[--at_] = '\n', text_[--at_] = '\r';
  for (std::size_t n = bytes; n > 0; n >>= 4) text_[--at_] = digits[n & 15];
}

void SseParser::feed(std::string_view bytes) {
  if (open_.empty()) {
    open_ = bytes;
    return;
  }
  if (!held()) open_ = held_.assign(open_);
  held_.erase(0, static_cast<std::size_t>(open_.data() - held_.data()));
  held_.reserve(held_.size() + bytes.size() + kReadPaddingBytes);
  open_ = held_.append(bytes);
}

std::optional<std::string_view> SseParser::next() {
  std::string_view data;
  int lines = 0;
  for (std::size_t from = 0;;) {
    const std::size_t end = open_.find('\n', from);
    if (end == std::string_view::npos) {
      if (!open_.empty() && !held()) {
        held_.reserve(open_.size() + kReadPaddingBytes);
        open_ = held_.assign(open_);
      }
      return std::nullopt;
    }
    std::string_view line = open_.substr(from, end - from);
    if (line.ends_with('\r')) line.remove_suffix(1);
    from = end + 1;
    if (line.empty()) {
      raw_ = open_.substr(0, from);
      open_.remove_prefix(from);
      from = 0;
      if (lines > 0) return data;
      continue;
    }
    if (line.starts_with(':')) comment_.assign(line.substr(1));
    if (!line.starts_with("data:")) continue;
    line.remove_prefix(5);
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (++lines == 1) {
      data = line;
      continue;
    }
    if (lines == 2) joined_.assign(data);
    joined_.reserve(joined_.size() + 1 + line.size() + kReadPaddingBytes);
    joined_.append("\n").append(line);
    data = joined_;
  }
}

}  // namespace cressrill::http
