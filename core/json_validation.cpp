#include "json_validation.h"

namespace cressrill::core {

namespace od = simdjson::ondemand;

namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }

std::string_view trim_right(std::string_view text) {
  while (!text.empty() &&
         (text.back() == ' ' || text.back() == '\n' || text.back() == '\r' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Whether the text is a JSON number (RFC 8259, section 6).
bool is_number(std::string_view text) {
  std::size_t position = 0;
  const auto digits = [&] {
    const std::size_t from = position;
    while (position < text.size() && is_digit(text[position])) ++position;
    return position > from;
  };
  if (position < text.size() && text[position] == '-') ++position;
  const bool zero = position < text.size() && text[position] == '0';
  const std::size_t from = position;
  if (!digits() || (zero && position - from > 1)) return false;
  if (position < text.size() && text[position] == '.' && (++position, !digits())) return false;
  if (position < text.size() && (text[position] == 'e' || text[position] == 'E')) {
    ++position;
    if (position < text.size() && (text[position] == '+' || text[position] == '-')) ++position;
    if (!digits()) return false;
  }
  return position == text.size();
}

}  // namespace

JsonValidity validate_json(od::value value, int depth) {
  if (depth > kMaxJsonDepth) return JsonValidity::too_deep;
  od::json_type type{};
  if (value.type().get(type)) return JsonValidity::invalid;
  switch (type) {
    case od::json_type::object: {
      od::object object;
      if (value.get_object().get(object)) return JsonValidity::invalid;
      for (auto member : object) {
        std::string_view key;
        od::value inner;
        if (member.unescaped_key().get(key) || member.value().get(inner)) return JsonValidity::invalid;
        if (const JsonValidity validity = validate_json(inner, depth + 1); validity != JsonValidity::valid)
          return validity;
      }
      return JsonValidity::valid;
    }
    case od::json_type::array: {
      od::array array;
      if (value.get_array().get(array)) return JsonValidity::invalid;
      for (auto item : array) {
        od::value inner;
        if (item.get(inner)) return JsonValidity::invalid;
        if (const JsonValidity validity = validate_json(inner, depth + 1); validity != JsonValidity::valid)
          return validity;
      }
      return JsonValidity::valid;
    }
    case od::json_type::string: {
      std::string_view text;
      return value.get_string().get(text) ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::boolean: {
      bool boolean = false;
      return value.get_bool().get(boolean) ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::null: {
      bool null = false;
      return value.is_null().get(null) || !null ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::number: {
      if (!is_number(trim_right(value.raw_json_token()))) return JsonValidity::invalid;
      double number = 0;
      return value.get_double().get(number) ? JsonValidity::invalid : JsonValidity::valid;
    }
  }
  return JsonValidity::invalid;
}

std::string_view text_since(const char* begin, od::document& document) {
  const char* end = nullptr;
  if (document.current_location().get(end)) return {};
  return trim_right({begin, static_cast<std::size_t>(end - begin)});
}

bool at_end(od::document& document) {
  const char* location = nullptr;
  return document.current_location().get(location) == simdjson::OUT_OF_BOUNDS;
}

}  // namespace cressrill::core
