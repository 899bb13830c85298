// The TOML file of a stand-in fleet: [[engine]] tables, each of one engine or, by 'count', of several alike.
#pragma once

#include "core/checked_toml.h"
#include "core/worker_list.h"
#include "engine.h"

namespace cressrill::rig {

// Reads the [[engine]] tables of a file that may hold more. Names of several are name-0, name-1 ...; addresses are
// given by the caller, host by host, where the file gives none.
std::vector<EngineMake> read_engines(core::TomlTable& root);
core::ListedWorker listed(const Engine& engine, WorkerStatus standing);

}  // namespace cressrill::rig
