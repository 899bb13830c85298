// Reads a TOML file with checks: every fault is kept with its line and column, unknown keys among them, so that one
// reading tells all that is wrong.
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

// One table of the file. Keys that are asked for are known; finish() reports the others.
class TomlTable {
 public:
  TomlTable(const toml::table& table, std::string name, std::string file, ConfigErrors& faults)
      : table_(&table), name_(std::move(name)), file_(std::move(file)), faults_(&faults) {}

  bool has(const char* key) const { return table_->contains(key); }
  std::string string(const char* key, std::optional<std::string> otherwise = {});
  double number(const char* key, double least, double most, std::optional<double> otherwise = {});
  int integer(const char* key, int least, int most, std::optional<int> otherwise = {}) {
    const double v = number(key, least, most, otherwise ? std::optional<double>(*otherwise) : std::nullopt);
    if (v != static_cast<double>(static_cast<long long>(v))) add_error(key, "is not a whole number");
    return static_cast<int>(v);
  }
  // Milliseconds in the file, whole nanoseconds here.
  std::int64_t duration(const char* key, double least_ms, double most_ms,
                        std::optional<double> otherwise = {}) {
    return static_cast<std::int64_t>(number(key, least_ms, most_ms, otherwise) * 1e6);
  }
  bool boolean(const char* key, bool otherwise);
  std::vector<std::string> strings(const char* key, bool required = false);
  // One of the words, by its place.
  template <class Value>
  Value choice(const char* key, std::initializer_list<std::pair<const char*, Value>> words,
               std::optional<Value> otherwise = {}) {
    const std::string got = string(key, otherwise ? std::optional<std::string>("") : std::nullopt);
    if (!has(key)) return otherwise.value_or(words.begin()->second);
    std::string known;
    for (const auto& [word, value] : words) {
      if (got == word) return value;
      known += std::string(known.empty() ? "" : ", ") + word;
    }
    add_error(key, "is '" + got + "', not one of " + known);
    return words.begin()->second;
  }
  std::optional<TomlTable> table(const char* key, bool required);
  std::vector<TomlTable> tables(const char* key, bool required);
  // A key that someone else reads.
  void ignore(const char* key) { known_.insert(key); }
  void report_unknown_keys();
  // Where the key stands, or the table where the key is missing.
  ConfigError error_at(const char* key, const std::string& what) const;
  // A fault at that place.
  void add_error(const char* key, const std::string& what);

 private:
  const toml::node* find(const char* key, bool required, const char* kind);
  const toml::table* table_;
  std::string name_;
  std::string file_;
  ConfigErrors* faults_;
  std::set<std::string, std::less<>> known_;
};

// The whole file; nothing where it cannot be read or is no TOML.
std::optional<toml::table> parse_toml_file(const std::string& path, ConfigErrors& faults);

}  // namespace cressrill::core
