// Where log lines go: standard error, without ever waiting for whoever reads it. Lines that cannot be written (a pipe that is
// full, a disk that is full, a reader that has gone) are lost, counted, and told of with the next line that can be.
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
  // who: the instance as JSON text, for the line that tells of lost ones. The descriptor stays its owner's.
  LogSink(std::string who, int descriptor) : who_(std::move(who)), descriptor_(descriptor) {
    struct stat facts {};
    const bool known = ::fstat(descriptor, &facts) == 0;
    may_block_ = !known || !S_ISREG(facts.st_mode);
  }
  std::uint64_t lost_lines() const { return lost_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    std::string text;
    if (lost_ > 0)
      text = "{\"level\":\"warning\",\"who\":" + who_ +
             ",\"event\":\"log lines lost\",\"lines\":" + std::to_string(lost_) + "}\n";
    text.append(line.data(), line.size());
    if (write(text))
      lost_ = 0;
    else
      ++lost_;
  }
  void flush_() override {}

 private:
  // Whether all of it was written.
  bool write(const std::string& text) {
    if (may_block_ && !takes(text.size())) return false;
    // The end of a line that was written in part stands on a line of its own.
    const std::string whole = std::exchange(in_mid_line_, false) ? "\n" + text : text;
    for (;;) {
      const ssize_t n = ::write(descriptor_, whole.data(), whole.size());
      if (n == static_cast<ssize_t>(whole.size())) return true;
      if (n < 0 && errno == EINTR) continue;
      in_mid_line_ = n > 0;
      return false;
    }
  }
  // A pipe that is told to be writable has room for PIPE_BUF bytes.
  bool takes(std::size_t bytes) const {
    pollfd state{descriptor_, POLLOUT, 0};
    return bytes < PIPE_BUF && ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
  }

  std::string who_;
  int descriptor_;
  bool may_block_{};
  bool in_mid_line_{};
  std::uint64_t lost_{};
};

}  // namespace cressrill::core
