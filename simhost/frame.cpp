#include "frame.h"

#include <bit>

namespace cressrill::simhost {

namespace {
constexpr std::size_t kRecordSize = 24;            // bytes
constexpr std::uint32_t kMaxFrameSize = 1u << 30;  // bytes

void append(std::string& out, std::uint64_t value, int width) {
  for (int shift = (width - 1) * 8; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift));
}
}  // namespace

std::uint64_t ByteView::unsigned_at(std::size_t offset, int width) const {
  if (offset + static_cast<std::size_t>(width) > size_)
    throw WireError(name_ + ": ends before byte " + std::to_string(offset + static_cast<std::size_t>(width)));
  std::uint64_t value = 0;
  for (int i = 0; i < width; ++i) value = value << 8 | data_[offset + static_cast<std::size_t>(i)];
  return value;
}

double ByteView::f64_at(std::size_t offset) const { return std::bit_cast<double>(unsigned_at(offset, 8)); }

double ByteView::f32_at(std::size_t offset) const {
  return std::bit_cast<float>(static_cast<std::uint32_t>(unsigned_at(offset, 4)));
}

ByteView ByteView::slice(std::uint64_t offset, std::uint64_t size, const std::string& name) const {
  if (offset > size_ || size > size_ - offset)
    throw WireError(name + ": bytes " + std::to_string(offset) + " to " + std::to_string(offset + size) +
                    " lie outside " + name_ + " of " + std::to_string(size_) + " bytes");
  return {data_ + offset, static_cast<std::size_t>(size), name};
}

bool read_frame(std::istream& in, std::vector<unsigned char>& frame) {
  unsigned char header[4];
  in.read(reinterpret_cast<char*>(header), 4);
  if (in.gcount() == 0) return false;
  if (in.gcount() < 4) throw WireError("batch length: input ends within the field");
  const auto size = static_cast<std::uint32_t>(ByteView(header, 4, "batch length").unsigned_at(0, 4));
  if (size > kMaxFrameSize)
    throw WireError("batch length: " + std::to_string(size) + " bytes is over the limit");
  frame.resize(size);
  in.read(reinterpret_cast<char*>(frame.data()), static_cast<std::streamsize>(size));
  if (in.gcount() != static_cast<std::streamsize>(size))
    throw WireError("batch: input ends after " + std::to_string(in.gcount()) + " of " + std::to_string(size) +
                    " bytes");
  return true;
}

void Reply::pad_record() { body_.resize(count_ * kRecordSize, '\0'); }

Reply& Reply::begin_record(int code) {
  pad_record();
  ++count_;
  return put_unsigned(static_cast<std::uint64_t>(code), 2);
}

Reply& Reply::put_unsigned(std::uint64_t value, int width) {
  append(body_, value, width);
  return *this;
}

Reply& Reply::put_f64(double value) { return put_unsigned(std::bit_cast<std::uint64_t>(value), 8); }

void Reply::write(std::ostream& out, std::uint32_t batch) {
  pad_record();
  std::string header;
  append(header, body_.size() + 8, 4);
  append(header, count_, 4);
  append(header, batch, 4);
  out << header << body_ << std::flush;
  body_.clear();
  count_ = 0;
}

}  // namespace cressrill::simhost
