#include "discovery_stand_in.h"

namespace cressrill::rig {

DiscoveryStandIn::DiscoveryStandIn(io::Loop& loop, io::Address address, Recorder& record)
    : loop_(loop),
      record_(record),
      server_(std::make_unique<http::Server>(loop, address,
                                             [this](http::Request& request, http::ResponseWriter& response) {
                                               return serve(request, response);
                                             })),
      scope_(loop) {}

DiscoveryStandIn::~DiscoveryStandIn() { shut_down(); }

void DiscoveryStandIn::shut_down() {
  if (server_) server_->kill();
  watchers_.clear();
}

void DiscoveryStandIn::publish_change(core::ListedWorker worker) {
  scope_.spawn(publish(std::move(worker), delay_));
}

io::Task<> DiscoveryStandIn::publish(core::ListedWorker worker, io::Nanos delay) {
  if (delay > 0) co_await loop_.sleep_for(delay);
  if (worker.status == WorkerStatus::gone)
    workers_.erase(worker.name);
  else
    workers_[worker.name] = worker;
  changes_.push_back(std::move(worker));
  for (Watcher* watcher : watchers_) watcher->published.notify();
}

void DiscoveryStandIn::record_sent(const std::string& router, const core::WorkerList& list) {
  nlohmann::ordered_json statuses = nlohmann::ordered_json::object();
  for (const auto& worker : list.workers) statuses[worker.name] = core::to_string(worker.status);
  record_.record("told", {{"router", router}, {"complete", list.complete}, {"workers", statuses}});
}

io::Task<> DiscoveryStandIn::serve(http::Request& request, http::ResponseWriter& response) {
  const std::string target(request.head.target);
  constexpr std::string_view kWatchTarget = "/v1/workers?watch=";
  if (request.head.method == "GET" && target.starts_with(kWatchTarget)) {
    const std::string router = target.substr(kWatchTarget.size());
    co_await watch(router, response);
    co_return;
  }
  if (request.head.method == "GET" && target == "/v1/workers") {
    core::WorkerList complete{changes_.size(), true, {}};
    for (const auto& [name, worker] : workers_) complete.workers.push_back(worker);
    const std::string body = core::serialize_worker_list(complete);
    co_await response.respond(200, "content-type: application/json\r\n", body);
    co_return;
  }
  if (request.head.method == "POST" && target == "/v1/workers") {
    std::string error;
    try {
      for (auto& worker : core::parse_worker_list(request.body).workers) publish_change(worker);
    } catch (const std::invalid_argument& e) {
      error = e.what();
    }
    co_await response.respond(error.empty() ? 200 : 400, "content-type: text/plain\r\n", error);
    co_return;
  }
  if (request.head.method == "POST" && target.starts_with("/late?ms=")) {
    set_delay(std::atoll(target.c_str() + 9) * io::kMs);
    co_await response.respond(200, "", "");
    co_return;
  }
  co_await response.respond(404, "", "");
}

io::Task<> DiscoveryStandIn::watch(const std::string& router, http::ResponseWriter& response) {
  Watcher watcher(loop_);
  watcher.router = router;
  watchers_.push_back(&watcher);
  struct Unregister {
    std::vector<Watcher*>& watchers;
    Watcher* watcher;
    ~Unregister() { std::erase(watchers, watcher); }
  } unregister{watchers_, &watcher};
  core::WorkerList next{changes_.size(), true, {}};
  for (const auto& [name, worker] : workers_) next.workers.push_back(worker);
  watcher.next_change = changes_.size();
  co_await response.begin_stream(200, "content-type: application/x-ndjson\r\n");
  for (;;) {
    record_sent(router, next);
    const std::string line = core::serialize_worker_list(next) + "\n";
    if (!co_await response.write_chunk(line)) co_return;
    while (watcher.next_change == changes_.size()) co_await watcher.published.wait();
    next = {changes_.size(),
            false,
            {changes_.begin() + static_cast<std::ptrdiff_t>(watcher.next_change), changes_.end()}};
    watcher.next_change = changes_.size();
  }
}

}  // namespace cressrill::rig
