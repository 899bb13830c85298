// Structured logging to standard error, one JSON object per line. A line below the log level costs one
// comparison; other lines are formatted without building a JSON document.
#pragma once

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <concepts>
#include <initializer_list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "log_sink.h"

namespace cressrill::core {

// Not thread-safe: a line is formatted in a buffer that the next one reuses.
class Log {
 public:
  // instance: the name of this process, written in every line. level: trace, debug, info, warn, error or off.
  Log(const std::string& instance, const std::string& level)
      : instance_(as_json(instance)),
        logger_("cressrill",
                std::make_shared<LogSink>(std::string(instance_.data(), instance_.size()), STDERR_FILENO)) {
    logger_.set_pattern("%v");
    logger_.set_level(spdlog::level::from_str(level));
    logger_.flush_on(spdlog::level::info);
  }

  // The value of a field. Refers to the text that it is made from.
  struct Value {
    Value(std::string_view text) : value(text) {}
    Value(const std::string& text) : value(std::string_view(text)) {}
    Value(const char* text) : value(std::string_view(text)) {}
    Value(std::integral auto integer) : value(static_cast<long long>(integer)) {}
    Value(double number) : value(number) {}
    std::variant<std::string_view, long long, double> value;
  };
  struct Field {
    const char* key;
    Value value;
  };
  using Fields = std::initializer_list<Field>;

  void debug(const char* event, Fields fields = {}) { write_line(spdlog::level::debug, event, fields); }
  void info(const char* event, Fields fields = {}) { write_line(spdlog::level::info, event, fields); }
  void warn(const char* event, Fields fields = {}) { write_line(spdlog::level::warn, event, fields); }
  void error(const char* event, Fields fields = {}) { write_line(spdlog::level::err, event, fields); }

 private:
  using Buffer = fmt::memory_buffer;
  static void append_json_string(Buffer& out, std::string_view value) {
    const auto needs_no_escape = [](char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; };
    if (std::ranges::all_of(value, needs_no_escape)) {
      fmt::format_to(std::back_inserter(out), "\"{}\"", value);
    } else {
      const std::string escaped =
          nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
      out.append(escaped.data(), escaped.data() + escaped.size());
    }
  }
  static Buffer as_json(std::string_view value) {
    Buffer out;
    append_json_string(out, value);
    return out;
  }
  void write_line(spdlog::level::level_enum level, const char* event, Fields fields) {
    if (!logger_.should_log(level)) return;
    line_.clear();
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    fmt::format_to(std::back_inserter(line_), "{{\"at_ms\":{},\"level\":\"{}\",\"who\":{},\"event\":\"{}\"",
                   std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count(),
                   std::string_view(spdlog::level::to_string_view(level).data()),
                   std::string_view(instance_.data(), instance_.size()), event);
    for (const Field& field : fields) {
      fmt::format_to(std::back_inserter(line_), ",\"{}\":", field.key);
      if (const auto* text = std::get_if<std::string_view>(&field.value.value))
        append_json_string(line_, *text);
      if (const auto* integer = std::get_if<long long>(&field.value.value))
        fmt::format_to(std::back_inserter(line_), "{}", *integer);
      if (const auto* number = std::get_if<double>(&field.value.value))
        fmt::format_to(std::back_inserter(line_), "{}", *number);
    }
    line_.push_back('}');
    logger_.log(level, spdlog::string_view_t(line_.data(), line_.size()));
  }
  Buffer instance_;  // as a JSON string
  Buffer line_;      // reused for each line
  spdlog::logger logger_;
};

}  // namespace cressrill::core
