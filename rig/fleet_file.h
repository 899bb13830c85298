// The TOML file of a fleet of stand-in engines: [[engine]] tables, each for one engine or, with 'count', for
// several equal ones.
#pragma once

#include "core/checked_toml.h"
#include "core/worker_list.h"
#include "engine.h"

namespace cressrill::rig {

// Reads the [[engine]] tables and leaves the others to the caller. Engines of a table with a 'count' above 1
// are named name-0, name-1 and so on. The caller sets the address of an engine that has none.
std::vector<EngineConfig> read_engines(core::TomlTable& root);
// The entry of an engine in the worker list.
core::ListedWorker listed(const Engine& engine, WorkerStatus status);

}  // namespace cressrill::rig
