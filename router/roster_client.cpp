#include "roster_client.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace cressrill::router {

namespace {
constexpr io::Nanos kFirstPause = 100 * io::kMs;
constexpr io::Nanos kLongestPause = 2 * io::kSecond;
}  // namespace

RosterClient::RosterClient(io::Loop& loop, const core::RouterConfig& station, core::Log& log, Host& host)
    : loop_(loop),
      station_(station),
      log_(log),
      host_(host),
      pool_(std::make_shared<http::Pool>(loop, *io::parse_address(station.discovery_address))),
      scope_(loop) {
  read_last();
  scope_.spawn(watch());
}

void RosterClient::read_last() {
  if (station_.last_list_path.empty()) return;
  std::ifstream file(station_.last_list_path);
  if (!file) return;
  std::stringstream text;
  text << file.rdbuf();
  try {
    last_ = core::parse_worker_list(text.str());
    last_.complete = true;
    host_.update_list(last_);
    log_.info("last list read", {{"version", last_.version}, {"workers", last_.workers.size()}});
  } catch (const std::invalid_argument& e) {
    log_.error("last list refused", {{"file", station_.last_list_path}, {"why", e.what()}});
  }
}

void RosterClient::keep_last() {
  if (station_.last_list_path.empty()) return;
  const std::string next = station_.last_list_path + ".next";
  {
    std::ofstream file(next, std::ios::trunc);
    file << core::serialize_worker_list(last_);
    if (!file.flush()) return log_.warn("last list not kept", {{"file", next}});
  }
  if (std::rename(next.c_str(), station_.last_list_path.c_str()) != 0)
    log_.warn("last list not kept", {{"file", station_.last_list_path}});
}

void RosterClient::took(const std::string& line) {
  if (line.empty()) return;
  try {
    const core::WorkerList list = core::parse_worker_list(line);
    if (list.complete) last_.workers.clear();
    for (const core::ListedWorker& w : list.workers) {
      std::erase_if(last_.workers, [&](const auto& known) { return known.name == w.name; });
      if (w.status != WorkerStatus::gone) last_.workers.push_back(w);
    }
    last_.version = list.version, last_.complete = true;
    host_.update_list(list);
    keep_last();
    log_.info("list",
              {{"version", list.version}, {"complete", list.complete}, {"entries", list.workers.size()}});
  } catch (const std::invalid_argument& e) {
    log_.error("list refused", {{"why", e.what()}});
  }
}

io::Task<> RosterClient::watch() {
  io::Nanos pause = kFirstPause;
  for (;;) {
    {
      http::ConnectionLease lease(pool_);
      if (co_await lease.acquire()) {
        const io::Nanos began = loop_.now();
        co_await follow(*lease);
        if (loop_.now() - began > kLongestPause) pause = kFirstPause;
      }
    }
    host_.list_failed();
    log_.warn("roster lost", {{"roster", station_.discovery_address}, {"next_try_ms", pause / io::kMs}});
    co_await loop_.sleep_for(pause);
    pause = std::min(kLongestPause, pause * 2);
  }
}

io::Task<> RosterClient::follow(http::Connection& connection) {
  const std::string text =
      http::format_request("GET", "/v1/workers?watch=" + station_.name, station_.discovery_address, "", "");
  const io::IoResult moved = co_await connection.socket.write_all(text);
  if (!moved.ok()) co_return;
  http::Head head;
  const http::MessageError fault = co_await connection.reader->read_head(head);
  if (fault != http::MessageError::none || head.status != 200) co_return;
  std::string bytes;
  while (connection.reader->has_more()) {
    const http::MessageError f = co_await connection.reader->read_some_body(bytes);
    std::size_t from = 0;
    for (std::size_t end; (end = bytes.find('\n', from)) != std::string::npos; from = end + 1)
      took(bytes.substr(from, end - from));
    bytes.erase(0, from);
    if (f != http::MessageError::none) co_return;
  }
}

}  // namespace cressrill::router
