#include "checked_toml.h"

#include <cmath>

namespace cressrill::core {

ConfigError TomlTable::error_at(const char* key, const std::string& what) const {
  const toml::node* node = table_->get(key);
  const toml::source_region& at = node != nullptr ? node->source() : table_->source();
  const std::string path = name_.empty() ? key : name_ + "." + key;
  return {file_, at.begin.line, at.begin.column, "'" + path + "' " + what};
}

void TomlTable::add_error(const char* key, const std::string& what) {
  faults_->push_back(error_at(key, what));
}

const toml::node* TomlTable::find(const char* key, bool required, const char* kind) {
  known_.insert(key);
  const toml::node* node = table_->get(key);
  if (node == nullptr && required) add_error(key, std::string("is missing (") + kind + ")");
  return node;
}

std::string TomlTable::string(const char* key, std::optional<std::string> otherwise) {
  const toml::node* node = find(key, !otherwise, "a text");
  if (node == nullptr) return otherwise.value_or("");
  if (const auto* s = node->as_string()) return s->get();
  add_error(key, "is no text");
  return otherwise.value_or("");
}

double TomlTable::number(const char* key, double least, double most, std::optional<double> otherwise) {
  const toml::node* node = find(key, !otherwise, "a number");
  if (node == nullptr) return otherwise.value_or(least);
  const std::optional<double> v = node->is_number() ? node->value<double>() : std::nullopt;
  if (!v) {
    add_error(key, "is no number");
  } else if (!(*v >= least && *v <= most)) {
    std::ostringstream what;
    what << "is " << *v << ", not from " << least << " to " << most;
    add_error(key, what.str());
  } else {
    return *v;
  }
  return otherwise.value_or(least);
}

bool TomlTable::boolean(const char* key, bool otherwise) {
  const toml::node* node = find(key, false, "true or false");
  if (node == nullptr) return otherwise;
  if (const auto* b = node->as_boolean()) return b->get();
  add_error(key, "is neither true nor false");
  return otherwise;
}

std::vector<std::string> TomlTable::strings(const char* key, bool required) {
  std::vector<std::string> out;
  const toml::node* node = find(key, required, "a list of texts");
  if (node == nullptr) return out;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    add_error(key, "is no list of texts");
    return out;
  }
  for (const toml::node& item : *list) {
    if (const auto* s = item.as_string())
      out.push_back(s->get());
    else
      add_error(key, "holds something that is no text");
  }
  return out;
}

std::optional<TomlTable> TomlTable::table(const char* key, bool required) {
  const toml::node* node = find(key, required, "a table");
  if (node == nullptr) return std::nullopt;
  if (const toml::table* t = node->as_table())
    return TomlTable(*t, name_.empty() ? key : name_ + "." + key, file_, *faults_);
  add_error(key, "is no table");
  return std::nullopt;
}

std::vector<TomlTable> TomlTable::tables(const char* key, bool required) {
  std::vector<TomlTable> out;
  const toml::node* node = find(key, required, "a list of tables");
  if (node == nullptr) return out;
  const toml::array* list = node->as_array();
  if (list == nullptr || (!list->empty() && !list->is_array_of_tables())) {
    add_error(key, "is no list of tables");
    return out;
  }
  for (const toml::node& item : *list)
    out.emplace_back(*item.as_table(), std::string(key) + "[" + std::to_string(out.size()) + "]", file_,
                     *faults_);
  if (required && out.empty()) add_error(key, "is empty");
  return out;
}

void TomlTable::report_unknown_keys() {
  for (const auto& [key, node] : *table_)
    if (!known_.contains(key.str())) {
      const auto& at = key.source();
      faults_->push_back(
          {file_, at.begin.line, at.begin.column,
           "'" + (name_.empty() ? "" : name_ + ".") + std::string(key.str()) + "' is not known"});
    }
}

std::optional<toml::table> parse_toml_file(const std::string& path, ConfigErrors& faults) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    faults.push_back({path, e.source().begin.line, e.source().begin.column, std::string(e.description())});
  }
  return std::nullopt;
}

}  // namespace cressrill::core
