#include "worker_list.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cressrill::core {

using nlohmann::json;

const char* to_string(WorkerStatus standing) {
  static constexpr const char* words[] = {"gone", "ready", "draining"};
  return words[static_cast<int>(standing)];
}

namespace {
WorkerStatus standing_of(const std::string& text) {
  for (const WorkerStatus s : {WorkerStatus::gone, WorkerStatus::ready, WorkerStatus::draining})
    if (text == to_string(s)) return s;
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
      const json& w = list.at(i);
      ListedWorker to;
      w.at("name").get_to(to.name);
      w.at("address").get_to(to.address);
      to.status = standing_of(w.at("state").get<std::string>());
      to.started_at = w.value("started_unix_ms", std::int64_t{0}) * 1'000'000;
      w.at("kind").get_to(to.kind);
      w.at("zone").get_to(to.zone);
      w.at("cell").get_to(to.cell);
      out.workers.push_back(std::move(to));
    }
    return out;
  } catch (const json::exception& e) {
    throw std::invalid_argument(where + ": " + e.what());
  } catch (const std::invalid_argument& e) {
    throw std::invalid_argument(where + ": " + e.what());
  }
}

std::string serialize_worker_list(const WorkerList& list) {
  json out{{"version", list.version}, {"complete", list.complete}, {"workers", json::array()}};
  for (const ListedWorker& w : list.workers)
    out["workers"].push_back({{"name", w.name},
                              {"address", w.address},
                              {"state", to_string(w.status)},
                              {"started_unix_ms", w.started_at / 1'000'000},
                              {"kind", w.kind},
                              {"zone", w.zone},
                              {"cell", w.cell}});
  return out.dump();
}

}  // namespace cressrill::core
