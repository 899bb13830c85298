// Frames of the simulator's wire protocol: bounds-checked big-endian reading and writing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cressrill::simhost {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A view of bytes that it does not own, with a name for error messages. Every read is bounds-checked and
// throws WireError.
class ByteView {
 public:
  ByteView(const unsigned char* data, std::size_t size, std::string name)
      : data_(data), size_(size), name_(std::move(name)) {}
  std::size_t size() const { return size_; }
  // Big-endian; width in bytes.
  std::uint64_t unsigned_at(std::size_t offset, int width) const;
  double f64_at(std::size_t offset) const;
  double f32_at(std::size_t offset) const;
  // A part of this view, under a name of its own.
  ByteView slice(std::uint64_t offset, std::uint64_t size, const std::string& name) const;
  std::string_view text() const { return {reinterpret_cast<const char*>(data_), size_}; }

 private:
  const unsigned char* data_;
  std::size_t size_;
  std::string name_;
};

// Reads a length field and the frame that follows, without the length. Returns false at the end of the input.
// Throws WireError if the input ends within a frame, or if the frame is too long.
bool read_frame(std::istream& in, std::vector<unsigned char>& frame);

// Collects the records of one reply.
class Reply {
 public:
  // Starts a record. Its fields are appended in order; the rest of its 24 bytes is zero.
  Reply& begin_record(int code);
  // Big-endian; width in bytes.
  Reply& put_unsigned(std::uint64_t value, int width);
  Reply& put_f64(double value);
  // Writes the records as one frame, the reply to the batch of that number, and clears them.
  void write(std::ostream& out, std::uint32_t batch);

 private:
  void pad_record();  // fills the latest record with zeros
  std::string body_;
  std::uint32_t count_ = 0;
};

}  // namespace cressrill::simhost
