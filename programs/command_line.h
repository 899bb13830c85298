// Shared by the command lines of all programs: --help and --version, error output, and exit statuses.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <optional>

#include "core/checked_toml.h"

namespace cressrill {

// Exit statuses.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageError = 2;

// Parses the command line. A returned value is the status to exit with at once.
inline std::optional<int> read_command_line(CLI::App& app, int argc, char** argv) {
  app.set_version_flag("--version", app.get_name() + " " CRESSRILL_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsageError;
  }
  return std::nullopt;
}

// Prints the errors to standard error; true if there are any.
inline bool print_errors(const core::ConfigErrors& errors) {
  for (const core::ConfigError& error : errors) std::cerr << error.to_string() << '\n';
  return !errors.empty();
}

// Runs the function and returns its status; an exception is printed, and the status is kFailure.
inline int run_guarded(const char* program, const std::function<int()>& run) {
  try {
    return run();
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << '\n';
    return kFailure;
  }
}

}  // namespace cressrill
