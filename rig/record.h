// Records what one end saw of the traffic: one JSON object a line, stamped with the machine's monotonic
// clock.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "io/loop.h"

namespace cressrill::rig {

class Recorder {
 public:
  // Appends to the file at `path`. With an empty path the records are kept in memory only.
  explicit Recorder(const io::Loop& loop, const std::string& path = {})
      : loop_(loop), in_memory_(path.empty()) {
    if (!in_memory_) file_.open(path, std::ios::app);
  }
  using Line = nlohmann::ordered_json;
  // Adds the time ("t") and the event ("e") to the line, and flushes it to the file.
  void record(const char* event, Line line) {
    Line out{{"t", loop_.now()}, {"e", event}};
    out.update(line);
    if (in_memory_)
      lines_.push_back(std::move(out));
    else
      file_ << out.dump() << '\n' << std::flush;
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
