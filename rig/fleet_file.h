// The TOML file of a stand-in fleet: [[engine]] tables, each for one engine or, with 'count', for several
// equal ones.
#pragma once

#include "core/checked_toml.h"
#include "core/worker_list.h"
#include "engine.h"

namespace cressrill::rig {

// Reads the [[engine]] tables and leaves the others to the caller. Engines of a table with 'count' are named
// name-0, name-1 and so on. An engine without an address gets one from the caller.
std::vector<EngineConfig> read_engines(core::TomlTable& root);
// The entry of an engine in the worker list.
core::ListedWorker listed(const Engine& engine, WorkerStatus status);

}  // namespace cressrill::rig
