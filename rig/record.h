// Records of the traffic as clients, engines or discovery saw it: one JSON object a line, with the time of
// the event loop, which is the machine's monotonic clock unless time is simulated.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "io/loop.h"

namespace cressrill::rig {

// Writes records to a file, or keeps them in memory.
class Recorder {
 public:
  // Appends to the file at `path`. With an empty path the records are kept in memory only.
  explicit Recorder(const io::Loop& loop, const std::string& path = {})
      : loop_(loop), in_memory_(path.empty()) {
    if (!in_memory_) file_.open(path, std::ios::app);
  }
  using Line = nlohmann::ordered_json;
  // Records the fields with the time in ns ("t") and the event ("e") before them.
  void record(const char* event, Line fields) {
    Line line{{"t", loop_.now()}, {"e", event}};
    line.update(fields);
    if (in_memory_)
      lines_.push_back(std::move(line));
    else
      file_ << line.dump() << '\n' << std::flush;
  }
  // The records in memory; empty if they go to a file.
  const std::vector<Line>& lines() const { return lines_; }

 private:
  const io::Loop& loop_;
  bool in_memory_;
  std::ofstream file_;
  std::vector<Line> lines_;
};

}  // namespace cressrill::rig
