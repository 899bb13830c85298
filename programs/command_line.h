// What the programs' command lines share: --help and --version, and what a faulty one exits with.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <optional>

#include "core/checked_toml.h"

namespace cressrill {

constexpr int kFine = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

// Reads the command line; a value is what to exit with at once.
inline std::optional<int> read_command_line(CLI::App& app, int argc, char** argv) {
  app.set_version_flag("--version", app.get_name() + " " CRESSRILL_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kFine : kUsage;
  }
  return std::nullopt;
}

inline bool print_faults(const core::ConfigErrors& faults) {
  for (const core::ConfigError& f : faults) std::cerr << f.to_string() << '\n';
  return !faults.empty();
}

// Runs what may throw, and says what went wrong.
inline int guarded(const char* program, const std::function<int()>& run) {
  try {
    return run();
  } catch (const std::exception& e) {
    std::cerr << program << ": " << e.what() << '\n';
    return kFailed;
  }
}

}  // namespace cressrill
