// Reads TOML files with validation. Each error, unknown keys included, is collected with its line and column,
// so that one pass reports everything that is wrong with a file.
#pragma once

#include <toml++/toml.h>

#include <set>
#include <string>
#include <vector>

namespace cressrill::core {

struct ConfigError {
  std::string file;
  unsigned line{};
  unsigned column{};
  std::string message;
  std::string to_string() const {
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " + message;
  }
};
using ConfigErrors = std::vector<ConfigError>;

// A table of a TOML file. A getter reports a missing key (unless it has a default), a wrong type or a value
// out of range as an error and then returns the default or, without one, a placeholder. Each key that a
// getter was called for counts as known; report_unknown_keys() reports the others. The TOML table and the
// list of errors must outlive this object.
class TomlTable {
 public:
  TomlTable(const toml::table& table, std::string name, std::string file, ConfigErrors& errors)
      : table_(&table), name_(std::move(name)), file_(std::move(file)), errors_(&errors) {}

  bool has(const char* key) const { return table_->contains(key); }
  std::string string(const char* key, std::optional<std::string> default_value = {});
  double number(const char* key, double min, double max, std::optional<double> default_value = {});
  int integer(const char* key, int min, int max, std::optional<int> default_value = {}) {
    const double value =
        number(key, min, max, default_value ? std::optional<double>(*default_value) : std::nullopt);
    if (value != static_cast<double>(static_cast<long long>(value))) add_error(key, "is not a whole number");
    return static_cast<int>(value);
  }
  // A duration given in milliseconds; returns nanoseconds.
  std::int64_t duration(const char* key, double min_ms, double max_ms,
                        std::optional<double> default_value = {}) {
    return static_cast<std::int64_t>(number(key, min_ms, max_ms, default_value) * 1e6);
  }
  bool boolean(const char* key, bool default_value);
  std::vector<std::string> strings(const char* key, bool required = false);
  // Maps one of the listed strings to its value. The first option is the placeholder if the string is none of
  // them.
  template <class Value>
  Value choice(const char* key, std::initializer_list<std::pair<const char*, Value>> options,
               std::optional<Value> default_value = {}) {
    const std::string text = string(key, default_value ? std::optional<std::string>("") : std::nullopt);
    if (!has(key)) return default_value.value_or(options.begin()->second);
    std::string known_names;
    for (const auto& [name, value] : options) {
      if (text == name) return value;
      known_names += std::string(known_names.empty() ? "" : ", ") + name;
    }
    add_error(key, "is '" + text + "', not one of " + known_names);
    return options.begin()->second;
  }
  std::optional<TomlTable> table(const char* key, bool required);
  std::vector<TomlTable> tables(const char* key, bool required);
  // Marks a key as known without reading it, because other code reads it.
  void ignore(const char* key) { known_keys_.insert(key); }
  // Reports each key that no getter was called for.
  void report_unknown_keys();
  // An error at the position of the key, or of the table if the key is missing.
  ConfigError error_at(const char* key, const std::string& message) const;
  void add_error(const char* key, const std::string& message);

 private:
  const toml::node* find(const char* key, bool required, const char* expected_type);
  const toml::table* table_;
  std::string name_;  // for messages; empty for the root table
  std::string file_;
  ConfigErrors* errors_;
  std::set<std::string, std::less<>> known_keys_;
};

// Returns nothing, and adds an error, if the file cannot be read or is not valid TOML.
std::optional<toml::table> parse_toml_file(const std::string& path, ConfigErrors& errors);

}  // namespace cressrill::core
