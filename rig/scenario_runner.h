// Runs a scenario on real processes: starts the discovery stand-in, engines and routers on loopback,
// generates the load, injects the scheduled faults, and writes all records to one folder.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "load_generator.h"
#include "process.h"

namespace cressrill::rig {

// The programs that a scenario runs.
struct Programs {
  std::vector<std::string> router;  // the command, to which --config FILE is appended
  std::string engine;               // path
  std::string discovery;            // path
};

// Stores the settings that the rules are checked with in the folder of the records.
void write_rule_settings(const RuleSettings& settings, const std::string& folder);
RuleSettings read_rule_settings(const std::string& folder);
// Reads all records of a folder. Throws std::invalid_argument with the file and line of a record that cannot
// be read.
std::vector<Recorder::Line> read_records(const std::string& folder);

// second_byte: of the loopback addresses; scenarios with different ones can run at once. Returns the failures
// of the programs themselves, such as a bad exit status. Throws std::invalid_argument if the folder is not
// empty.
std::vector<std::string> run_scenario(const Scenario& scenario, const Programs& programs,
                                      const std::string& folder, int second_byte = 0);

}  // namespace cressrill::rig
