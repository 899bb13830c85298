// Structured logs: one JSON object a line, to standard error. Free of sockets. A line below the level costs a
// comparison, and one above it no tree.
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

class Log {
 public:
  // level: trace, debug, info, warn, error, off. who: the instance, in every line.
  Log(const std::string& who, const std::string& level)
      : who_(as_json(who)),
        to_("cressrill", std::make_shared<LogSink>(std::string(who_.data(), who_.size()), STDERR_FILENO)) {
    to_.set_pattern("%v");
    to_.set_level(spdlog::level::from_str(level));
    to_.flush_on(spdlog::level::info);
  }

  struct Value {
    Value(std::string_view v) : value(v) {}
    Value(const std::string& v) : value(std::string_view(v)) {}
    Value(const char* v) : value(std::string_view(v)) {}
    Value(std::integral auto v) : value(static_cast<long long>(v)) {}
    Value(double v) : value(v) {}
    std::variant<std::string_view, long long, double> value;
  };
  struct Field {
    const char* key;
    Value value;
  };
  using Fields = std::initializer_list<Field>;

  void debug(const char* event, Fields fields = {}) { line(spdlog::level::debug, event, fields); }
  void info(const char* event, Fields fields = {}) { line(spdlog::level::info, event, fields); }
  void warn(const char* event, Fields fields = {}) { line(spdlog::level::warn, event, fields); }
  void error(const char* event, Fields fields = {}) { line(spdlog::level::err, event, fields); }

 private:
  using Buffer = fmt::memory_buffer;
  static void text(Buffer& to, std::string_view value) {
    const auto plain = [](char c) { return c >= ' ' && c < 127 && c != '"' && c != '\\'; };
    if (std::ranges::all_of(value, plain)) {
      fmt::format_to(std::back_inserter(to), "\"{}\"", value);
    } else {
      const std::string escaped =
          nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
      to.append(escaped.data(), escaped.data() + escaped.size());
    }
  }
  static Buffer as_json(std::string_view value) {
    Buffer out;
    text(out, value);
    return out;
  }
  void line(spdlog::level::level_enum level, const char* event, Fields fields) {
    if (!to_.should_log(level)) return;
    line_.clear();
    const auto t = std::chrono::system_clock::now().time_since_epoch();
    fmt::format_to(std::back_inserter(line_), "{{\"at_ms\":{},\"level\":\"{}\",\"who\":{},\"event\":\"{}\"",
                   std::chrono::duration_cast<std::chrono::milliseconds>(t).count(),
                   std::string_view(spdlog::level::to_string_view(level).data()),
                   std::string_view(who_.data(), who_.size()), event);
    for (const Field& f : fields) {
      fmt::format_to(std::back_inserter(line_), ",\"{}\":", f.key);
      if (const auto* s = std::get_if<std::string_view>(&f.value.value)) text(line_, *s);
      if (const auto* n = std::get_if<long long>(&f.value.value))
        fmt::format_to(std::back_inserter(line_), "{}", *n);
      if (const auto* d = std::get_if<double>(&f.value.value))
        fmt::format_to(std::back_inserter(line_), "{}", *d);
    }
    line_.push_back('}');
    to_.log(level, spdlog::string_view_t(line_.data(), line_.size()));
  }
  Buffer who_;   // as JSON
  Buffer line_;  // used again for each
  spdlog::logger to_;
};

}  // namespace cressrill::core
