// Frames of the simulator's wire: bounded big-endian reading and writing.
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

// A stretch of bytes with a name for messages; every read is checked.
class ByteView {
 public:
  ByteView(const unsigned char* data, std::size_t size, std::string name)
      : data_(data), size_(size), name_(std::move(name)) {}
  std::size_t size() const { return size_; }
  std::uint64_t unsigned_at(std::size_t at, int width) const;
  double f64_at(std::size_t at) const;
  double f32_at(std::size_t at) const;
  ByteView slice(std::uint64_t at, std::uint64_t size, const std::string& name) const;
  std::string_view text() const { return {reinterpret_cast<const char*>(data_), size_}; }

 private:
  const unsigned char* data_;
  std::size_t size_;
  std::string name_;
};

// Reads one frame behind its length field; false at a clean end of input.
bool read_frame(std::istream& in, std::vector<unsigned char>& frame);

class Reply {
 public:
  // Starts a record; the fields follow in order, the rest of its 24 bytes is zero.
  Reply& begin_record(int code);
  Reply& put_unsigned(std::uint64_t value, int width);
  Reply& put_f64(double value);
  void write(std::ostream& out, std::uint32_t batch);

 private:
  void pad_record();
  std::string body_;
  std::uint32_t count_ = 0;
};

}  // namespace cressrill::simhost
