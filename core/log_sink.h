// Log sink that writes to a file descriptor (standard error) and never blocks on its reader. A line that
// cannot be written (full pipe, full disk, closed reader) is dropped and counted; the next line that can be
// written is preceded by a line with that count.
#pragma once

#include <fcntl.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <cstdint>
#include <string>
#include <utility>

namespace cressrill::core {

class LogSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // instance: the name of this process as a JSON string, for the line that reports dropped lines. The sink
  // does not close the descriptor.
  LogSink(std::string instance, int descriptor) : instance_(std::move(instance)), descriptor_(descriptor) {
    struct stat status {};
    const bool has_status = ::fstat(descriptor, &status) == 0;
    may_block_ = !has_status || !S_ISREG(status.st_mode);
  }
  // Number of lines dropped since the last one that was written.
  std::uint64_t lost_lines() const { return lost_lines_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    std::string text;
    if (lost_lines_ > 0)
      text = "{\"level\":\"warning\",\"who\":" + instance_ +
             ",\"event\":\"log lines lost\",\"lines\":" + std::to_string(lost_lines_) + "}\n";
    text.append(line.data(), line.size());
    if (write(text))
      lost_lines_ = 0;
    else
      ++lost_lines_;
  }
  void flush_() override {}

 private:
  // Returns whether all of the text was written.
  bool write(const std::string& text) {
    if (may_block_ && !is_writable(text.size())) return false;
    // After a partial write, the new text starts on a line of its own.
    const std::string output = std::exchange(partial_line_, false) ? "\n" + text : text;
    for (;;) {
      const ssize_t written = ::write(descriptor_, output.data(), output.size());
      if (written == static_cast<ssize_t>(output.size())) return true;
      if (written < 0 && errno == EINTR) continue;
      partial_line_ = written > 0;
      return false;
    }
  }
  // A pipe that poll() reports as writable has room for PIPE_BUF bytes.
  bool is_writable(std::size_t bytes) const {
    pollfd poll_entry{descriptor_, POLLOUT, 0};
    return bytes < PIPE_BUF && ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
  }

  std::string instance_;
  int descriptor_;
  bool may_block_{};     // the descriptor is not a regular file
  bool partial_line_{};  // the last write ended within a line
  std::uint64_t lost_lines_{};
};

}  // namespace cressrill::core
