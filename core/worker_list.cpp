#include "worker_list.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cressrill::core {

using nlohmann::json;

const char* to_string(WorkerStatus status) {
  static constexpr const char* names[] = {"gone", "ready", "draining"};
  return names[static_cast<int>(status)];
}

namespace {
WorkerStatus parse_status(const std::string& text) {
  for (const WorkerStatus status : {WorkerStatus::gone, WorkerStatus::ready, WorkerStatus::draining})
    if (text == to_string(status)) return status;
  throw std::invalid_argument("state '" + text + "' is not one of gone, ready, draining");
}
}  // namespace

WorkerList parse_worker_list(std::string_view text) {
  std::string where = "worker list";
  try {
    const json all = json::parse(text);
    WorkerList out;
    out.version = all.at("version").get<std::uint64_t>();
    out.complete = all.at("complete").get<bool>();
    const json& list = all.at("workers");
    for (std::size_t i = 0; i < list.size(); ++i) {
      where = "worker list, entry " + std::to_string(i);
      const json& entry = list.at(i);
      ListedWorker worker;
      entry.at("name").get_to(worker.name);
      entry.at("address").get_to(worker.address);
      worker.status = parse_status(entry.at("state").get<std::string>());
      worker.started_at = entry.value("started_unix_ms", std::int64_t{0}) * 1'000'000;
      entry.at("kind").get_to(worker.kind);
      entry.at("zone").get_to(worker.zone);
      entry.at("cell").get_to(worker.cell);
      out.workers.push_back(std::move(worker));
    }
    return out;
  } catch (const json::exception& error) {
    throw std::invalid_argument(where + ": " + error.what());
  } catch (const std::invalid_argument& error) {
    throw std::invalid_argument(where + ": " + error.what());
  }
}

std::string serialize_worker_list(const WorkerList& list) {
  json out{{"version", list.version}, {"complete", list.complete}, {"workers", json::array()}};
  for (const ListedWorker& worker : list.workers)
    out["workers"].push_back({{"name", worker.name},
                              {"address", worker.address},
                              {"state", to_string(worker.status)},
                              {"started_unix_ms", worker.started_at / 1'000'000},
                              {"kind", worker.kind},
                              {"zone", worker.zone},
                              {"cell", worker.cell}});
  return out.dump();
}

}  // namespace cressrill::core
