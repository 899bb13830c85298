#include "player.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace cressrill::rig {

using nlohmann::json;
namespace files = std::filesystem;

namespace {

constexpr const char* kRecords[] = {"clients.jsonl", "engines.jsonl", "roster.jsonl"};

class Player {
 public:
  Player(const Day& day, const Programs& programs, const std::string& folder, int net)
      : day_(day),
        programs_(programs),
        folder_(folder),
        net_(static_cast<std::uint32_t>(net)),
        record_(loop_, folder + "/clients.jsonl"),
        scope_(loop_),
        crowd_(loop_, day_, record_, [this](std::size_t i) { return router_at(i); }) {
    // Engines stand on addresses of their own; ports are high and fixed, so a second day at once is refused.
    for (std::size_t i = 0; i < day_.engines.size(); ++i)
      day_.engines[i].address =
          address(static_cast<std::uint32_t>(11 + i / 200), 1 + i % 200, 19100).to_string();
  }

  std::vector<std::string> run() {
    bool done = false;
    scope_.spawn(whole(done));
    loop_.run_until([&] { return done; });
    return wrong_;
  }

 private:
  io::Address address(std::uint32_t third, std::size_t fourth, std::uint16_t port) const {
    return {127u << 24 | net_ << 16 | third << 8 | static_cast<std::uint32_t>(fourth), port};
  }
  io::Address router_at(std::size_t i) const { return address(10, 1 + i, 18080); }
  io::Address admin_at(std::size_t i) const { return address(10, 1 + i, 18081); }
  io::Address roster_at() const { return address(9, 1, 17000); }
  io::Address control_at() const { return address(9, 2, 17001); }

  void start_router(std::size_t i) {
    routers_[i] = Process(router_commands_[i], fmt::format("{}/log-{}.txt", folder_, day_.routers[i].name));
  }

  io::Task<http::ExchangeResult> call(io::Address at, std::string method, std::string target,
                                      std::string body) {
    auto pool = std::make_shared<http::Pool>(loop_, at);
    const std::string text = http::format_request(method, target, at.to_string(), "", body);
    auto got = co_await io::with_deadline(loop_, loop_.now() + 2 * io::kSecond, http::exchange(pool, text));
    co_return got ? std::move(*got) : http::ExchangeResult{};
  }

  // Waits until what answers there satisfies the test.
  io::Task<bool> until(io::Address at, std::string target, std::function<bool(const std::string&)> test) {
    const io::Nanos last = loop_.now() + 15 * io::kSecond;
    while (loop_.now() < last) {
      const http::ExchangeResult got = co_await call(at, "GET", target, "");
      if (got.ok() && got.head.status == 200 && test(got.body)) co_return true;
      co_await loop_.sleep_for(30 * io::kMs);
    }
    co_return false;
  }

  io::Task<bool> start_all() {
    std::ofstream(folder_ + "/engines.toml") << engines_file(day_);
    roster_ = Process(
        {programs_.roster, "--listen", roster_at().to_string(), "--record", folder_ + "/roster.jsonl"},
        folder_ + "/log-roster.txt");
    if (!co_await until(roster_at(), "/v1/workers", [](const std::string&) { return true; })) {
      wrong_.push_back("the roster did not start");
      co_return false;
    }
    engines_ = Process(
        {programs_.engine, "--config", folder_ + "/engines.toml", "--record", folder_ + "/engines.jsonl",
         "--roster", roster_at().to_string(), "--control", control_at().to_string()},
        folder_ + "/log-engines.txt");
    const auto all_listed = [this](const std::string& body) {
      return json::parse(body, nullptr, false)["workers"].size() == day_.engines.size();
    };
    if (!co_await until(roster_at(), "/v1/workers", all_listed)) {
      wrong_.push_back("the engines did not start");
      co_return false;
    }
    routers_.resize(day_.routers.size());
    for (std::size_t i = 0; i < day_.routers.size(); ++i) {
      const std::string base = fmt::format("{}/{}", folder_, day_.routers[i].name);
      std::ofstream(base + ".toml") << router_file(day_, day_.routers[i], router_at(i).to_string(),
                                                   admin_at(i).to_string(), roster_at().to_string(),
                                                   base + ".last-list");
      router_commands_.push_back(programs_.router);
      router_commands_.back().insert(router_commands_.back().end(), {"--config", base + ".toml"});
      start_router(i);
    }
    for (std::size_t i = 0; i < day_.routers.size(); ++i)
      if (!co_await until(admin_at(i), "/workers", all_listed)) {
        wrong_.push_back("router " + day_.routers[i].name + " did not start");
        co_return false;
      }
    const http::ExchangeResult late =
        co_await call(roster_at(), "POST", fmt::format("/late?ms={}", day_.roster_late / io::kMs), "");
    co_return late.ok();
  }

  io::Task<> whole(bool& done) {
    if (co_await start_all()) {
      record_.note("begins", {{"day", day_.name}});
      for (const Trouble& t : day_.troubles) scope_.spawn(trouble(t));
      co_await crowd_.play();
      record_.note("ends", {{"day", day_.name}});
      co_await stop_all();
    }
    done = true;
  }

  // SIGTERM, and each must settle and leave with 0.
  io::Task<> stop_all() {
    for (Process& p : routers_) p.terminate();
    const io::Nanos last = loop_.now() + 10 * io::kSecond;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      while (routers_[i].running() && loop_.now() < last) co_await loop_.sleep_for(20 * io::kMs);
      if (routers_[i].running())
        wrong_.push_back("router " + day_.routers[i].name + " did not stop when told");
      else if (routers_[i].status() != 0)
        wrong_.push_back(fmt::format("router {} ended with {}", day_.routers[i].name, routers_[i].status()));
    }
    // Engines forget what no one fetched before they stop, so that the record tells how states ended.
    co_await loop_.sleep_for(200 * io::kMs);
    for (Process* p : {&engines_, &roster_}) {
      p->terminate();
      while (p->running() && loop_.now() < last + 5 * io::kSecond) co_await loop_.sleep_for(20 * io::kMs);
      if (p->status() != 0 && !(p == &roster_ && roster_gone_))
        wrong_.push_back(
            fmt::format("the {} ended with {}", p == &roster_ ? "roster" : "engines", p->status()));
    }
  }

  core::ListedWorker listed_as(const EngineMake& m, WorkerStatus standing) const {
    return {m.name, m.address, standing, 0, m.kind, m.zone, m.cell};
  }

  io::Task<> restart_router(std::size_t i, io::Nanos down) {
    record_.note("router_killed", {{"router", day_.routers[i].name}});
    routers_[i].kill();
    crowd_.router_died(i);
    co_await loop_.sleep_for(down);
    start_router(i);
    if (co_await until(admin_at(i), "/health", [](const std::string&) { return true; })) {
      crowd_.router_back(i);
      record_.note("router_up", {{"router", day_.routers[i].name}});
    } else {
      wrong_.push_back("router " + day_.routers[i].name + " did not come back");
    }
  }

  io::Task<> drain(const EngineMake& m, io::Nanos span) {
    const std::string out = core::serialize_worker_list({0, false, {listed_as(m, WorkerStatus::draining)}});
    co_await call(roster_at(), "POST", "/v1/workers", out);
    if (span == 0) co_return;
    co_await loop_.sleep_for(span);
    const std::string back = core::serialize_worker_list({0, false, {listed_as(m, WorkerStatus::ready)}});
    co_await call(roster_at(), "POST", "/v1/workers", back);
  }

  io::Task<> engine_fault(std::string engine, Trouble t) {
    const std::string body = json{
        {"engine", engine},
        {"kind", t.kind},
        {"size", t.size},
        {"for_ms", t.span / io::kMs},
        {"to", t.to}}.dump();
    const http::ExchangeResult got = co_await call(control_at(), "POST", "/fault", body);
    if (!got.ok() || got.head.status != 200)
      wrong_.push_back("trouble " + t.kind + " at " + engine + ": " + got.body);
  }

  io::Task<> trouble(Trouble t) {
    co_await loop_.sleep_for(t.at);
    record_.note("trouble", {{"kind", t.kind}});
    std::vector<std::size_t> routers;
    std::vector<const EngineMake*> engines;
    for (std::size_t i = 0; i < day_.routers.size(); ++i)
      if (matches(t.routers, day_.routers[i].name)) routers.push_back(i);
    for (const EngineMake& m : day_.engines)
      if (matches(t.engines, m.name)) engines.push_back(&m);
    if (t.kind == "balancer_crash") {
      for (const std::size_t i : routers) scope_.spawn(restart_router(i, t.span));
    } else if (t.kind == "balancer_roll") {  // one after the other over the span, each down for size ms
      for (const std::size_t i : routers) {
        scope_.spawn(restart_router(i, static_cast<io::Nanos>(t.size * 1e6)));
        co_await loop_.sleep_for(t.span / static_cast<io::Nanos>(routers.size()));
      }
    } else if (t.kind == "mass_restart") {  // all of them at once, back cold
      t.kind = "crash";
      for (const EngineMake* m : engines) scope_.spawn(engine_fault(m->name, t));
    } else if (t.kind == "drain") {
      for (const EngineMake* m : engines) scope_.spawn(drain(*m, t.span));
    } else if (t.kind == "discovery_stale") {
      co_await call(roster_at(), "POST", fmt::format("/late?ms={}", static_cast<long>(t.size)), "");
      co_await loop_.sleep_for(t.span);
      co_await call(roster_at(), "POST", fmt::format("/late?ms={}", day_.roster_late / io::kMs), "");
    } else if (t.kind == "roster_gone") {
      roster_gone_ = true;
      roster_.kill();
    } else if (t.kind == "burst") {
      crowd_.burst(t.size);
      co_await loop_.sleep_for(t.span);
      crowd_.burst(1);
    } else if (t.kind == "hot_key") {
      crowd_.hot_beginning(t.size, 1500);
      co_await loop_.sleep_for(t.span);
      crowd_.hot_beginning(0, 0);
    } else if (t.kind == "heavy_tail") {
      crowd_.heavy_tail(t.size);
      co_await loop_.sleep_for(t.span);
      crowd_.heavy_tail(1);
    } else if (t.kind == "give_up") {
      crowd_.give_up_after(t.size);
      co_await loop_.sleep_for(t.span);
      crowd_.give_up_after(1);
    } else {
      for (const EngineMake* m : engines) scope_.spawn(engine_fault(m->name, t));
    }
  }

  Day day_;
  const Programs& programs_;
  std::string folder_;
  std::uint32_t net_;
  io::Loop loop_;
  Recorder record_;
  std::vector<std::string> wrong_;
  std::vector<std::vector<std::string>> router_commands_;
  Process roster_, engines_;
  bool roster_gone_{};
  std::vector<Process> routers_;
  io::Scope scope_;
  Crowd crowd_;
};

}  // namespace

void write_rule_book(const RuleBook& book, const std::string& folder) {
  json out{{"answer_slack", book.answer_slack},
           {"drain_grace", book.drain_grace},
           {"pin_limit", book.pin_limit},
           {"pin_slack", book.pin_slack},
           {"types", json::object()}};
  for (const auto& [name, t] : book.types)
    out["types"][name] = {{"effect", static_cast<int>(t.effect)},
                          {"group", static_cast<int>(t.group)},
                          {"window", t.window},
                          {"utility", t.utility},
                          {"late_share", t.late_share}};
  std::ofstream(folder + "/rules.json") << out.dump(2) << '\n';
}

RuleBook read_rule_book(const std::string& folder) {
  std::ifstream file(folder + "/rules.json");
  if (!file) throw std::invalid_argument(folder + "/rules.json cannot be read");
  const json from = json::parse(file);
  RuleBook out;
  from.at("answer_slack").get_to(out.answer_slack);
  from.at("drain_grace").get_to(out.drain_grace);
  from.at("pin_limit").get_to(out.pin_limit);
  from.at("pin_slack").get_to(out.pin_slack);
  for (const auto& [name, t] : from.at("types").items())
    out.types[name] = {t.at("effect").get<Effect>(), t.at("group").get<Group>(), t.at("window").get<Nanos>(),
                       t.at("utility").get<double>(), t.at("late_share").get<double>()};
  return out;
}

std::vector<Recorder::Line> read_records(const std::string& folder) {
  std::vector<Recorder::Line> out;
  for (const char* name : kRecords) {
    std::ifstream file(folder + "/" + name);
    if (!file) throw std::invalid_argument(folder + "/" + name + " cannot be read");
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);) {
      ++number;
      auto parsed = Recorder::Line::parse(line, nullptr, false);
      if (!parsed.is_object() || !parsed.contains("t") || !parsed.contains("e"))
        throw std::invalid_argument(fmt::format("{}/{}:{}: no record", folder, name, number));
      out.push_back(std::move(parsed));
    }
  }
  return out;
}

std::vector<std::string> play(const Day& day, const Programs& programs, const std::string& folder, int net) {
  files::create_directories(folder);
  for (const auto& entry : files::directory_iterator(folder))
    throw std::invalid_argument("folder " + folder + " is not empty: it holds " +
                                entry.path().filename().string());
  write_rule_book(day.book, folder);
  return Player(day, programs, folder, net).run();
}

}  // namespace cressrill::rig
