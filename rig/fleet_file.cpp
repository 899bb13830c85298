#include "fleet_file.h"

namespace cressrill::rig {

std::vector<EngineConfig> read_engines(core::TomlTable& root) {
  std::vector<EngineConfig> engines;
  for (core::TomlTable& table : root.tables("engine", true)) {
    EngineConfig engine;
    const std::string name = table.string("name");
    const int count = table.integer("count", 1, 100'000, 1);
    engine.address = table.string("address", "");
    engine.kind = table.string("kind");
    engine.role = table.choice<Role>(
        "role", {{"reader", Role::prefill}, {"writer", Role::decode}, {"mixed", Role::mixed}});
    engine.zone = table.string("zone");
    engine.cell = table.string("cell");
    engine.slots = table.integer("slots", 1, 100'000, engine.slots);
    engine.queue = table.integer("queue", 0, 100'000, engine.queue);
    engine.memory_tokens = table.number("memory_tokens", 1, 1e12, engine.memory_tokens);
    engine.read_per_s = table.number("read_per_s", 1, 1e12, engine.read_per_s);
    engine.read_overhead_ms = table.number("read_overhead_ms", 0, 1e6, engine.read_overhead_ms);
    engine.step_ms = table.number("step_ms", 0.01, 1e6, engine.step_ms);
    engine.step_ms_per_sequence = table.number("step_ms_per_sequence", 0, 1e6, engine.step_ms_per_sequence);
    engine.transfer_per_s = table.number("transfer_per_s", 1, 1e12, engine.transfer_per_s);
    engine.far_factor = table.number("far_factor", 1, 1000, engine.far_factor);
    engine.report_ms = table.number("report_ms", 0, 1e6, engine.report_ms);
    engine.cold_from = table.number("cold_from", 0.001, 1, engine.cold_from);
    engine.ramp_ms = table.number("ramp_ms", 0, 1e7, engine.ramp_ms);
    engine.fall_multiple = table.number("fall_multiple", 0.01, 1000, engine.fall_multiple);
    engine.fall_ms = table.number("fall_ms", 1, 1e7, engine.fall_ms);
    engine.state_expiry_ms = table.number("state_expiry_ms", 1, 1e9, engine.state_expiry_ms);
    if (count > 1 && !engine.address.empty())
      table.add_error("address", "cannot be shared by several engines");
    table.report_unknown_keys();
    for (int i = 0; i < count; ++i) {
      engine.name = count == 1 ? name : name + "-" + std::to_string(i);
      engines.push_back(engine);
    }
  }
  return engines;
}

core::ListedWorker listed(const Engine& engine, WorkerStatus status) {
  const EngineConfig& config = engine.config();
  return {config.name, config.address, status, 0, config.kind, config.zone, config.cell};
}

}  // namespace cressrill::rig
