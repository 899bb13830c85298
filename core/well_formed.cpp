#include "well_formed.h"

namespace cressrill::core {

namespace od = simdjson::ondemand;

namespace {

bool digit(char c) { return c >= '0' && c <= '9'; }

std::string_view trimmed(std::string_view text) {
  while (!text.empty() &&
         (text.back() == ' ' || text.back() == '\n' || text.back() == '\r' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// RFC 8259, section 6.
bool is_number(std::string_view text) {
  std::size_t i = 0;
  const auto digits = [&] {
    const std::size_t from = i;
    while (i < text.size() && digit(text[i])) ++i;
    return i > from;
  };
  if (i < text.size() && text[i] == '-') ++i;
  const bool zero = i < text.size() && text[i] == '0';
  const std::size_t from = i;
  if (!digits() || (zero && i - from > 1)) return false;
  if (i < text.size() && text[i] == '.' && (++i, !digits())) return false;
  if (i < text.size() && (text[i] == 'e' || text[i] == 'E')) {
    ++i;
    if (i < text.size() && (text[i] == '+' || text[i] == '-')) ++i;
    if (!digits()) return false;
  }
  return i == text.size();
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
        if (const JsonValidity f = validate_json(inner, depth + 1); f != JsonValidity::valid) return f;
      }
      return JsonValidity::valid;
    }
    case od::json_type::array: {
      od::array array;
      if (value.get_array().get(array)) return JsonValidity::invalid;
      for (auto item : array) {
        od::value inner;
        if (item.get(inner)) return JsonValidity::invalid;
        if (const JsonValidity f = validate_json(inner, depth + 1); f != JsonValidity::valid) return f;
      }
      return JsonValidity::valid;
    }
    case od::json_type::string: {
      std::string_view text;
      return value.get_string().get(text) ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::boolean: {
      bool truth = false;
      return value.get_bool().get(truth) ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::null: {
      bool null = false;
      return value.is_null().get(null) || !null ? JsonValidity::invalid : JsonValidity::valid;
    }
    case od::json_type::number: {
      if (!is_number(trimmed(value.raw_json_token()))) return JsonValidity::invalid;
      double number = 0;
      return value.get_double().get(number) ? JsonValidity::invalid : JsonValidity::valid;
    }
  }
  return JsonValidity::invalid;
}

std::string_view text_since(const char* begins, od::document& document) {
  const char* end = nullptr;
  if (document.current_location().get(end)) return {};
  return trimmed({begins, static_cast<std::size_t>(end - begins)});
}

bool at_end(od::document& document) {
  const char* at = nullptr;
  return document.current_location().get(at) == simdjson::OUT_OF_BOUNDS;
}

}  // namespace cressrill::core
