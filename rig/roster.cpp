#include "roster.h"

namespace cressrill::rig {

Roster::Roster(io::Loop& loop, io::Address address, Recorder& record)
    : loop_(loop),
      record_(record),
      server_(std::make_unique<http::Server>(
          loop, address, [this](http::Request& rq, http::ResponseWriter& a) { return serve(rq, a); })),
      scope_(loop) {}

Roster::~Roster() { go_away(); }

void Roster::go_away() {
  if (server_) server_->kill();
  watchers_.clear();
}

void Roster::change(core::ListedWorker worker) { scope_.spawn(publish(std::move(worker), late_)); }

io::Task<> Roster::publish(core::ListedWorker worker, io::Nanos after) {
  if (after > 0) co_await loop_.sleep_for(after);
  if (worker.status == WorkerStatus::gone)
    list_.erase(worker.name);
  else
    list_[worker.name] = worker;
  changes_.push_back(std::move(worker));
  for (Watcher* w : watchers_) w->news.notify();
}

void Roster::note(const std::string& router, const core::WorkerList& list) {
  nlohmann::ordered_json all = nlohmann::ordered_json::object();
  for (const auto& w : list.workers) all[w.name] = core::to_string(w.status);
  record_.note("told", {{"router", router}, {"complete", list.complete}, {"workers", all}});
}

io::Task<> Roster::serve(http::Request& request, http::ResponseWriter& answer) {
  const std::string target(request.head.target);
  constexpr std::string_view kWatch = "/v1/workers?watch=";
  if (request.head.method == "GET" && target.starts_with(kWatch)) {
    const std::string router = target.substr(kWatch.size());
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
    std::string wrong;
    try {
      for (auto& w : core::parse_worker_list(request.body).workers) change(w);
    } catch (const std::invalid_argument& e) {
      wrong = e.what();
    }
    co_await answer.respond(wrong.empty() ? 200 : 400, "content-type: text/plain\r\n", wrong);
    co_return;
  }
  if (request.head.method == "POST" && target.starts_with("/late?ms=")) {
    late_by(std::atoll(target.c_str() + 9) * io::kMs);
    co_await answer.respond(200, "", "");
    co_return;
  }
  co_await answer.respond(404, "", "");
}

io::Task<> Roster::watch(const std::string& router, http::ResponseWriter& answer) {
  Watcher me(loop_);
  me.router = router;
  watchers_.push_back(&me);
  struct Leave {
    std::vector<Watcher*>& list;
    Watcher* who;
    ~Leave() { std::erase(list, who); }
  } leave{watchers_, &me};
  core::WorkerList next{changes_.size(), true, {}};
  for (const auto& [name, w] : list_) next.workers.push_back(w);
  me.told = changes_.size();
  co_await answer.begin_stream(200, "content-type: application/x-ndjson\r\n");
  for (;;) {
    note(router, next);
    const std::string line = core::serialize_worker_list(next) + "\n";
    if (!co_await answer.write_chunk(line)) co_return;
    while (me.told == changes_.size()) co_await me.news.wait();
    next = {
        changes_.size(), false, {changes_.begin() + static_cast<std::ptrdiff_t>(me.told), changes_.end()}};
    me.told = changes_.size();
  }
}

}  // namespace cressrill::rig
