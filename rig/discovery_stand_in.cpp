#include "discovery_stand_in.h"

namespace cressrill::rig {

DiscoveryStandIn::DiscoveryStandIn(io::Loop& loop, io::Address address, Recorder& record)
    : loop_(loop),
      record_(record),
      server_(std::make_unique<http::Server>(
          loop, address, [this](http::Request& rq, http::ResponseWriter& a) { return serve(rq, a); })),
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
    list_.erase(worker.name);
  else
    list_[worker.name] = worker;
  changes_.push_back(std::move(worker));
  for (Watcher* watcher : watchers_) watcher->published.notify();
}

void DiscoveryStandIn::record_sent(const std::string& router, const core::WorkerList& list) {
  nlohmann::ordered_json all = nlohmann::ordered_json::object();
  for (const auto& w : list.workers) all[w.name] = core::to_string(w.status);
  record_.record("told", {{"router", router}, {"complete", list.complete}, {"workers", all}});
}

io::Task<> DiscoveryStandIn::serve(http::Request& request, http::ResponseWriter& answer) {
  const std::string target(request.head.target);
  constexpr std::string_view kWatchTarget = "/v1/workers?watch=";
  if (request.head.method == "GET" && target.starts_with(kWatchTarget)) {
    const std::string router = target.substr(kWatchTarget.size());
    co_await watch(router, answer);
    co_return;
  }
  if (request.head.method == "GET" && target == "/v1/workers") {
    core::WorkerList all{changes_.size(), true, {}};
    for (const auto& [name, w] : list_) all.workers.push_back(w);
    const std::string body = core::serialize_worker_list(all);
    co_await answer.respond(200, "content-type: application/json\r\n", body);
    co_return;
  }
  if (request.head.method == "POST" && target == "/v1/workers") {
    std::string error;
    try {
      for (auto& w : core::parse_worker_list(request.body).workers) publish_change(w);
    } catch (const std::invalid_argument& e) {
      error = e.what();
    }
    co_await answer.respond(error.empty() ? 200 : 400, "content-type: text/plain\r\n", error);
    co_return;
  }
  if (request.head.method == "POST" && target.starts_with("/late?ms=")) {
    set_delay(std::atoll(target.c_str() + 9) * io::kMs);
    co_await answer.respond(200, "", "");
    co_return;
  }
  co_await answer.respond(404, "", "");
}

io::Task<> DiscoveryStandIn::watch(const std::string& router, http::ResponseWriter& answer) {
  Watcher self(loop_);
  self.router = router;
  watchers_.push_back(&self);
  struct Unregister {
    std::vector<Watcher*>& list;
    Watcher* watcher;
    ~Unregister() { std::erase(list, watcher); }
  } unregister{watchers_, &self};
  core::WorkerList next{changes_.size(), true, {}};
  for (const auto& [name, w] : list_) next.workers.push_back(w);
  self.next_change = changes_.size();
  co_await answer.begin_stream(200, "content-type: application/x-ndjson\r\n");
  for (;;) {
    record_sent(router, next);
    const std::string line = core::serialize_worker_list(next) + "\n";
    if (!co_await answer.write_chunk(line)) co_return;
    while (self.next_change == changes_.size()) co_await self.published.wait();
    next = {changes_.size(),
            false,
            {changes_.begin() + static_cast<std::ptrdiff_t>(self.next_change), changes_.end()}};
    self.next_change = changes_.size();
  }
}

}  // namespace cressrill::rig
