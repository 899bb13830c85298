#include "fleet_file.h"

namespace cressrill::rig {

std::vector<EngineMake> read_engines(core::TomlTable& root) {
  std::vector<EngineMake> out;
  for (core::TomlTable& t : root.tables("engine", true)) {
    EngineMake m;
    const std::string name = t.string("name");
    const int count = t.integer("count", 1, 100'000, 1);
    m.address = t.string("address", "");
    m.kind = t.string("kind");
    m.role =
        t.choice<Role>("role", {{"reader", Role::prefill}, {"writer", Role::decode}, {"mixed", Role::mixed}});
    m.zone = t.string("zone");
    m.cell = t.string("cell");
    m.slots = t.integer("slots", 1, 100'000, m.slots);
    m.queue = t.integer("queue", 0, 100'000, m.queue);
    m.memory_tokens = t.number("memory_tokens", 1, 1e12, m.memory_tokens);
    m.read_per_s = t.number("read_per_s", 1, 1e12, m.read_per_s);
    m.read_overhead_ms = t.number("read_overhead_ms", 0, 1e6, m.read_overhead_ms);
    m.step_ms = t.number("step_ms", 0.01, 1e6, m.step_ms);
    m.step_ms_per_sequence = t.number("step_ms_per_sequence", 0, 1e6, m.step_ms_per_sequence);
    m.transfer_per_s = t.number("transfer_per_s", 1, 1e12, m.transfer_per_s);
    m.far_factor = t.number("far_factor", 1, 1000, m.far_factor);
    m.report_ms = t.number("report_ms", 0, 1e6, m.report_ms);
    m.cold_from = t.number("cold_from", 0.001, 1, m.cold_from);
    m.ramp_ms = t.number("ramp_ms", 0, 1e7, m.ramp_ms);
    m.fall_multiple = t.number("fall_multiple", 0.01, 1000, m.fall_multiple);
    m.fall_ms = t.number("fall_ms", 1, 1e7, m.fall_ms);
    m.state_expiry_ms = t.number("state_expiry_ms", 1, 1e9, m.state_expiry_ms);
    if (count > 1 && !m.address.empty()) t.add_error("address", "cannot be shared by several engines");
    t.report_unknown_keys();
    for (int i = 0; i < count; ++i) {
      m.name = count == 1 ? name : name + "-" + std::to_string(i);
      out.push_back(m);
    }
  }
  return out;
}

core::ListedWorker listed(const Engine& engine, WorkerStatus standing) {
  const EngineMake& m = engine.make();
  return {m.name, m.address, standing, 0, m.kind, m.zone, m.cell};
}

}  // namespace cressrill::rig
