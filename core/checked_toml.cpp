#include "checked_toml.h"

#include <cmath>

namespace cressrill::core {

ConfigError TomlTable::error_at(const char* key, const std::string& message) const {
  const toml::node* node = table_->get(key);
  const toml::source_region& position = node != nullptr ? node->source() : table_->source();
  const std::string path = name_.empty() ? key : name_ + "." + key;
  return {file_, position.begin.line, position.begin.column, "'" + path + "' " + message};
}

void TomlTable::add_error(const char* key, const std::string& message) {
  errors_->push_back(error_at(key, message));
}

const toml::node* TomlTable::find(const char* key, bool required, const char* expected_type) {
  known_keys_.insert(key);
  const toml::node* node = table_->get(key);
  if (node == nullptr && required) add_error(key, std::string("is missing (") + expected_type + ")");
  return node;
}

std::string TomlTable::string(const char* key, std::optional<std::string> default_value) {
  const toml::node* node = find(key, !default_value, "a string");
  if (node == nullptr) return default_value.value_or("");
  if (const auto* text = node->as_string()) return text->get();
  add_error(key, "is no text");
  return default_value.value_or("");
}

double TomlTable::number(const char* key, double min, double max, std::optional<double> default_value) {
  const toml::node* node = find(key, !default_value, "a number");
  if (node == nullptr) return default_value.value_or(min);
  const std::optional<double> value = node->is_number() ? node->value<double>() : std::nullopt;
  if (!value) {
    add_error(key, "is no number");
  } else if (!(*value >= min && *value <= max)) {
    std::ostringstream message;
    message << "is " << *value << ", not from " << min << " to " << max;
    add_error(key, message.str());
  } else {
    return *value;
  }
  return default_value.value_or(min);
}

bool TomlTable::boolean(const char* key, bool default_value) {
  const toml::node* node = find(key, false, "true or false");
  if (node == nullptr) return default_value;
  if (const auto* flag = node->as_boolean()) return flag->get();
  add_error(key, "is neither true nor false");
  return default_value;
}

std::vector<std::string> TomlTable::strings(const char* key, bool required) {
  std::vector<std::string> result;
  const toml::node* node = find(key, required, "a list of strings");
  if (node == nullptr) return result;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    add_error(key, "is not a list of strings");
    return result;
  }
  for (const toml::node& item : *list) {
    if (const auto* text = item.as_string())
      result.push_back(text->get());
    else
      add_error(key, "holds something that is no text");
  }
  return result;
}

std::optional<TomlTable> TomlTable::table(const char* key, bool required) {
  const toml::node* node = find(key, required, "a table");
  if (node == nullptr) return std::nullopt;
  if (const toml::table* nested = node->as_table())
    return TomlTable(*nested, name_.empty() ? key : name_ + "." + key, file_, *errors_);
  add_error(key, "is not a table");
  return std::nullopt;
}

std::vector<TomlTable> TomlTable::tables(const char* key, bool required) {
  std::vector<TomlTable> result;
  const toml::node* node = find(key, required, "a list of tables");
  if (node == nullptr) return result;
  const toml::array* list = node->as_array();
  if (list == nullptr || (!list->empty() && !list->is_array_of_tables())) {
    add_error(key, "is not a list of tables");
    return result;
  }
  for (const toml::node& item : *list)
    result.emplace_back(*item.as_table(), std::string(key) + "[" + std::to_string(result.size()) + "]", file_,
                        *errors_);
  if (required && result.empty()) add_error(key, "is empty");
  return result;
}

void TomlTable::report_unknown_keys() {
  for (const auto& [key, node] : *table_)
    if (!known_keys_.contains(key.str())) {
      const auto& position = key.source();
      errors_->push_back(
          {file_, position.begin.line, position.begin.column,
           "'" + (name_.empty() ? "" : name_ + ".") + std::string(key.str()) + "' is not known"});
    }
}

std::optional<toml::table> parse_toml_file(const std::string& path, ConfigErrors& errors) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    errors.push_back(
        {path, error.source().begin.line, error.source().begin.column, std::string(error.description())});
  }
  return std::nullopt;
}

}  // namespace cressrill::core
