#include "discovery_client.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace cressrill::router {

namespace {
constexpr io::Nanos kMinReconnectDelay = 100 * io::kMs;
constexpr io::Nanos kMaxReconnectDelay = 2 * io::kSecond;
}  // namespace

DiscoveryClient::DiscoveryClient(io::Loop& loop, const core::RouterConfig& config, core::Log& log, Host& host)
    : loop_(loop),
      config_(config),
      log_(log),
      host_(host),
      pool_(std::make_shared<http::Pool>(loop, *io::parse_address(config.discovery_address))),
      scope_(loop) {
  load_saved_list();
  scope_.spawn(run());
}

void DiscoveryClient::load_saved_list() {
  if (config_.last_list_path.empty()) return;
  std::ifstream file(config_.last_list_path);
  if (!file) return;
  std::stringstream text;
  text << file.rdbuf();
  try {
    known_list_ = core::parse_worker_list(text.str());
    known_list_.complete = true;
    host_.update_list(known_list_);
    log_.info("saved worker list loaded",
              {{"version", known_list_.version}, {"workers", known_list_.workers.size()}});
  } catch (const std::invalid_argument& error) {
    log_.error("saved worker list refused", {{"file", config_.last_list_path}, {"why", error.what()}});
  }
}

void DiscoveryClient::save_list() {
  if (config_.last_list_path.empty()) return;
  // Written to another file and renamed, so that a process that crashes leaves no incomplete list.
  const std::string temporary_path = config_.last_list_path + ".next";
  {
    std::ofstream file(temporary_path, std::ios::trunc);
    file << core::serialize_worker_list(known_list_);
    if (!file.flush()) return log_.warn("worker list not saved", {{"file", temporary_path}});
  }
  if (std::rename(temporary_path.c_str(), config_.last_list_path.c_str()) != 0)
    log_.warn("worker list not saved", {{"file", config_.last_list_path}});
}

void DiscoveryClient::handle_line(const std::string& line) {
  if (line.empty()) return;
  try {
    const core::WorkerList list = core::parse_worker_list(line);
    if (list.complete) known_list_.workers.clear();
    for (const core::ListedWorker& listed : list.workers) {
      std::erase_if(known_list_.workers, [&](const auto& known) { return known.name == listed.name; });
      if (listed.status != WorkerStatus::gone) known_list_.workers.push_back(listed);
    }
    known_list_.version = list.version;
    known_list_.complete = true;
    host_.update_list(list);
    save_list();
    log_.info("list",
              {{"version", list.version}, {"complete", list.complete}, {"entries", list.workers.size()}});
  } catch (const std::invalid_argument& error) {
    log_.error("list refused", {{"why", error.what()}});
  }
}

io::Task<> DiscoveryClient::run() {
  io::Nanos delay = kMinReconnectDelay;
  for (;;) {
    {
      http::ConnectionLease lease(pool_);
      if (co_await lease.acquire()) {
        const io::Nanos connected_at = loop_.now();
        co_await watch(*lease);
        if (loop_.now() - connected_at > kMaxReconnectDelay) delay = kMinReconnectDelay;
      }
    }
    host_.discovery_unreachable();
    log_.warn("roster lost", {{"roster", config_.discovery_address}, {"next_try_ms", delay / io::kMs}});
    co_await loop_.sleep_for(delay);
    delay = std::min(kMaxReconnectDelay, delay * 2);
  }
}

io::Task<> DiscoveryClient::watch(http::Connection& connection) {
  const std::string request =
      http::format_request("GET", "/v1/workers?watch=" + config_.name, config_.discovery_address, "", "");
  const io::IoResult written = co_await connection.socket.write_all(request);
  if (!written.ok()) co_return;
  http::Head head;
  const http::MessageError error = co_await connection.reader->read_head(head);
  if (error != http::MessageError::none || head.status != 200) co_return;
  std::string buffered;
  while (connection.reader->has_more()) {
    const http::MessageError body_error = co_await connection.reader->read_some_body(buffered);
    std::size_t line_start = 0;
    for (std::size_t line_end; (line_end = buffered.find('\n', line_start)) != std::string::npos;
         line_start = line_end + 1)
      handle_line(buffered.substr(line_start, line_end - line_start));
    buffered.erase(0, line_start);
    if (body_error != http::MessageError::none) co_return;
  }
}

}  // namespace cressrill::router
