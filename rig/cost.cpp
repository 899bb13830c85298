#include "cost.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include "client.h"
#include "fleet_file.h"
#include "roster.h"
#include "router/instance.h"

namespace cressrill::rig {

Heap heap;

const char* word(Stage stage) {
  static constexpr const char* words[] = {"accept", "request", "read",  "first", "event",
                                          "end",    "rest",    "parse", "decide"};
  return words[static_cast<std::size_t>(stage)];
}

Cost& Cost::operator+=(const Cost& o) {
  allocations += o.allocations, bytes += o.bytes, copied += o.copied, calls += o.calls;
  for (std::size_t i = 0; i < by_name.size(); ++i) by_name[i] += o.by_name[i];
  instructions += o.instructions;
  return *this;
}
Cost Cost::operator-(const Cost& o) const {
  Cost out = o / -1;
  return out += *this;
}
Cost Cost::operator/(double n) const {
  Cost out = *this;
  out.allocations /= n, out.bytes /= n, out.copied /= n, out.calls /= n, out.instructions /= n;
  for (double& c : out.by_name) c /= n;
  return out;
}

namespace {

Cost now_of(const io::Loop& loop) {
  Cost out;
  out.allocations = static_cast<double>(heap.allocations), out.bytes = static_cast<double>(heap.bytes);
  out.copied = static_cast<double>(heap.copied);
  for (std::size_t i = 0; i < io::kSystemCallCount; ++i) {
    out.by_name[i] = static_cast<double>(loop.system_calls().counts()[i]);
    out.calls += out.by_name[i];
  }
  return out;
}

// What the module was told in one turn of the router, and what the telling cost. Actions are the host's work:
// what they cost is taken off again.
struct Told {
  bool came{}, read{}, failed{}, began{}, ended{};
  Cost decide;
};

class Watched final : public Policy, private Actions {
 public:
  Watched(const io::Loop& loop, const PolicySettings& d, std::uint64_t seed, Nanos now, Actions& out,
          Told& told)
      : loop_(loop), out_(out), told_(told), inner_(make_policy(d, seed, now, *this)) {}

  void list_begins(Nanos now, bool complete) override { inner_->list_begins(now, complete); }
  void worker_listed(int w, std::uint64_t identity, WorkerStatus standing, Nanos started, int kind, int zone,
                     int cell) override {
    inner_->worker_listed(w, identity, standing, started, kind, zone, cell);
  }
  void list_ends() override { inner_->list_ends(); }
  void list_failed(Nanos now) override { inner_->list_failed(now); }
  void request_arrived(Nanos now, int seq, int type, int tenant, std::uint64_t session,
                       std::uint64_t beginning, double prompt, double beginning_tokens, double max_out,
                       Nanos abandon_at) override {
    told_.came = true;
    timed([&] {
      inner_->request_arrived(now, seq, type, tenant, session, beginning, prompt, beginning_tokens, max_out,
                              abandon_at);
    });
  }
  void client_left(Nanos now, int seq) override { inner_->client_left(now, seq); }
  void stream_started(Nanos now, int seq, int attempt, Nanos took) override {
    told_.began = true;
    timed([&] { inner_->stream_started(now, seq, attempt, took); });
  }
  void attempt_ended(Nanos now, int seq, int attempt, Outcome outcome, Nanos took, bool closed, double kept,
                     const LoadReport& report) override {
    (outcome == Outcome::prefill_done ? told_.read
     : outcome == Outcome::generated  ? told_.ended
                                      : told_.failed) = true;
    timed([&] { inner_->attempt_ended(now, seq, attempt, outcome, took, closed, kept, report); });
  }
  void on_wakeup(Nanos now) override {
    timed([&] { inner_->on_wakeup(now); });
  }

 private:
  void timed(const std::function<void()>& call) { told_.decide += cost_of(call); }
  // The host's part, taken off what the call costs.
  void host(const std::function<void()>& action) { told_.decide += cost_of(action) / -1; }
  // The bookkeeping itself is not counted.
  Cost cost_of(const std::function<void()>& call) const {
    const bool was = std::exchange(heap.on, false);
    const Cost before = now_of(loop_);
    heap.on = was;
    call();
    heap.on = false;
    const Cost cost = now_of(loop_) - before;
    heap.on = was;
    return cost;
  }
  void send(int seq, int worker, AttemptLimits limits) override {
    host([&] { out_.send(seq, worker, limits); });
  }
  void release(int seq) override {
    host([&] { out_.release(seq); });
  }
  void cancel(int seq, int attempt) override {
    host([&] { out_.cancel(seq, attempt); });
  }
  void reject(int seq, Nanos after) override { out_.reject(seq, after); }
  void abort(int seq) override { out_.abort(seq); }
  void subscribe() override { out_.subscribe(); }
  void request_wakeup(Nanos after) override {
    host([&] { out_.request_wakeup(after); });
  }
  void forget_request(int seq) override {
    host([&] { out_.forget_request(seq); });
  }
  void forget_worker(int worker) override { out_.forget_worker(worker); }

  const io::Loop& loop_;
  Actions& out_;
  Told& told_;
  std::unique_ptr<Policy> inner_;
};

core::RouterConfig station_of(const std::string& roster) {
  const std::string path = fmt::format("/tmp/cressrill-cost-{}.toml", static_cast<const void*>(&roster));
  std::ofstream(path)
      << "[router]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nroster = \"" << roster
      << "\"\nzone = \"a\"\nzones = [\"a\"]\nrouters = 1\nlog_level = \"info\"\n"
         "[rules]\ndrain_grace_ms = 500\nattempts = 8\npin_limit_ms = 1000\ncold_from = 0.25\n"
         "ramp_ms = 8000\nfall_multiple = 3\nfall_ms = 2000\n"
         "[[kind]]\nname = \"prefill\"\nrole = \"reader\"\nmemory_tokens = 1e9\n"
         "[[kind]]\nname = \"decode\"\nrole = \"writer\"\nmemory_tokens = 1e9\n"
         "[[traffic_type]]\nname = \"plain\"\neffect = \"repeatable\"\nslo_ms = 20000\n"
         "abandon_ms = 600000\n";
  core::ConfigErrors faults;
  auto station = core::read_router_config(path, faults);
  std::remove(path.c_str());
  if (!station) throw std::logic_error(faults.empty() ? "no station" : faults[0].to_string());
  return *station;
}

class Stepped {
 public:
  Stepped(const Play& play, const Probe& probe)
      : play_(play),
        probe_(probe),
        nothing_(outside_, "/dev/null"),
        roster_(outside_, {127u << 24 | 1, 0}, nothing_),
        station_(station_of(roster_.address().to_string())),
        log_("r", "info"),
        clients_(outside_) {
    const int readers = play.failures > 0 ? 8 : 2;
    const int writers = play.idle_streams > 0 ? 4 : 2;  // the last two get what is counted
    for (int i = 0; i < readers + writers; ++i) {
      EngineMake m;
      m.name = fmt::format("{}-{}", i < readers ? "reader" : "writer", i);
      m.kind = i < readers ? "prefill" : "decode";
      m.role = i < readers ? Role::prefill : Role::decode;
      m.address = "127.0.0.1:0", m.zone = "a", m.cell = "c";
      m.slots = m.queue = 100'000, m.memory_tokens = 1e9, m.read_per_s = 1e7;
      m.step_ms = static_cast<double>(play.step) / 1e6, m.step_ms_per_sequence = 0, m.transfer_per_s = 1e9;
      engines_.push_back(std::make_unique<Engine>(outside_, m, nothing_));
      if (i < readers + 2) roster_.change(listed(*engines_.back(), WorkerStatus::ready));
    }
    run_for(5 * io::kMs);
    router_ = std::make_unique<router::Instance>(inside_, station_, log_, 7,
                                                 [this](const PolicySettings& d, std::uint64_t seed,
                                                        Nanos now, Actions& out) -> std::unique_ptr<Policy> {
                                                   return std::make_unique<Watched>(inside_, d, seed, now,
                                                                                    out, told_);
                                                 });
    run_for(50 * io::kMs);
  }
  ~Stepped() {
    clients_.cancel();
    router_.reset();
  }

  Counted run() {
    for (int i = 0; i < play_.idle_streams; ++i) ask(1'000'000, true);
    if (play_.idle_streams > 0) step_idle();
    ask_all(4);
    counting_ = true;
    result_ = {};
    ask_all(play_.sequences);
    counting_ = false;
    parse(play_.sequences * play_.at_once);
    const double n = play_.sequences * play_.at_once;
    for (std::size_t s = 0; s < kStages; ++s) {
      if (static_cast<Stage>(s) < Stage::parse) result_.all += result_.stages[s];
      result_.stages[s] = result_.stages[s] / n;
    }
    result_.all = result_.all / n;
    result_.events = play_.events;
    return result_;
  }

 private:
  // Streams that stand open: they have begun, and their writers write no more.
  void step_idle() {
    run_until([&] { return begun_ == play_.idle_streams; });
    for (std::size_t i = engines_.size() - 4; i < engines_.size(); ++i) {
      const bool old = i < engines_.size() - 2;
      if (old) engines_[i]->apply({"slow", 1e9, 0, ""});
      roster_.change(listed(*engines_[i], old ? WorkerStatus::draining : WorkerStatus::ready));
    }
    run_for(100 * io::kMs);
  }

  void ask_all(int rounds) {
    for (int r = 0; r < rounds; ++r) {
      failing_ = play_.failures;
      for (auto& e : engines_)
        if (failing_ > 0 && e->make().role == Role::prefill) e->apply({"fast_errors", 1, 0, ""});
      answered_ = 0;
      for (int i = 0; i < play_.at_once; ++i) ask(play_.events, false);
      run_until([&] { return answered_ == play_.at_once; });
      run_for(200 * io::kMs);
    }
  }

  // What the request turns do first, done again by itself.
  void parse(int times) {
    for (int i = 0; i < times; ++i) {
      std::string body = body_;
      body.reserve(body.size() + http::kReadPaddingBytes);
      const Cost before = now_of(inside_);
      heap.on = true;
      if (probe_.begins) probe_.begins();
      const auto facts = core::parse_request(core::Api::chat, std::move(body), {});
      if (probe_.ends) probe_.ends();
      heap.on = false;
      if (probe_.was) probe_.was(Stage::parse);
      result_.stages[static_cast<std::size_t>(Stage::parse)] += now_of(inside_) - before;
      if (!std::holds_alternative<core::ParsedRequest>(facts)) ++result_.failed;
    }
  }

  void ask(int events, bool idle) {
    Question q;
    q.sequence = fmt::format("q{}", ++asked_), q.id = q.sequence + ".0", q.router = "r", q.type = "plain";
    q.at = router_->address(), q.abandon = 500 * io::kSecond, q.stream = play_.stream || idle;
    std::string text;
    while (text.size() < play_.prompt_bytes) text += "word ";
    q
        .body = nlohmann::json{
        {"model", "m"},
        {"messages", {{{"role", "system"}, {"content", "Be brief."}}, {{"role", "user"}, {"content", text}}}},
        {"prompt_cache_key", q.sequence},
        {"max_tokens", 2'000'000},
        {"metadata", {{"out", std::to_string(events)}}},
        {"stream",
         q.stream}}.dump();
    if (!idle) body_ = q.body;
    if (idle) q.on_first = [this] { ++begun_; };
    clients_.spawn([](Stepped& s, Question it, bool open) -> io::Task<> {
      const Heard heard = co_await rig::ask(s.outside_, s.nothing_, std::move(it));
      if (open) co_return;
      ++s.answered_;
      if (heard.how != "generated" ||
          (s.play_.stream && heard.tokens != static_cast<std::size_t>(s.play_.events)))
        ++s.result_.failed;
    }(*this, std::move(q), idle));
  }

  void run_for(io::Nanos span) {
    const io::Nanos until = outside_.now() + span;
    run_until([&] { return outside_.now() >= until; }, until);
  }

  void run_until(const std::function<bool()>& done, io::Nanos latest = io::Loop::kNoTimer) {
    while (!done()) {
      const bool out = outside_.run_once();
      const bool due = play_.busy == 0 || !counting_ || outside_.now() >= next_turn_;
      const bool in = due && turn();
      if (out || in) continue;
      io::Nanos next = std::min(outside_.next_timer_at(), due ? inside_.next_timer_at() : next_turn_);
      next = std::min(next, latest);
      if (next == io::Loop::kNoTimer) throw std::logic_error("nothing is left to happen");
      next = std::max(next, outside_.now());
      outside_.advance_to(next), inside_.advance_to(next);
    }
  }

  // All that the router can do now. Its last look at the sockets, which finds nothing, stands for the wait.
  bool turn() {
    told_ = {};
    const Cost before = now_of(inside_);
    bool any = false;
    heap.on = counting_;
    if (probe_.begins && counting_) probe_.begins();
    while (inside_.run_once()) any = true;
    if (probe_.ends && counting_) probe_.ends();
    heap.on = false;
    Cost cost = now_of(inside_) - before;
    next_turn_ = outside_.now() + play_.busy;
    if (!any) {  // a look between two moments that a waiting router would not have taken
      if (probe_.was && counting_) probe_.was(std::nullopt);
      return false;
    }
    // The look that finds nothing is the wait that the next turn begins with: counted there.
    --cost.by_name[static_cast<std::size_t>(io::SystemCall::epoll_wait)], --cost.calls;
    const Stage stage = stage_of(cost);
    if (probe_.was && counting_) probe_.was(stage);
    if (counting_) {
      result_.stages[static_cast<std::size_t>(stage)] += cost;
      result_.stages[static_cast<std::size_t>(Stage::decide)] += told_.decide;
    }
    if (told_.failed && failing_ > 0 && --failing_ == 0)
      for (auto& e : engines_) e->apply({"fast_errors", 0, 0, ""});
    return true;
  }

  Stage stage_of(const Cost& cost) const {
    if (told_.came) return Stage::request;
    if (told_.ended) return Stage::end;
    if (told_.read || told_.failed) return Stage::read;
    if (told_.began) return Stage::first;
    const auto of = [&](io::SystemCall call) { return cost.by_name[static_cast<std::size_t>(call)] > 0; };
    if (of(io::SystemCall::accept4)) return Stage::accept;
    return of(io::SystemCall::send) ? Stage::event : Stage::rest;
  }

  Play play_;
  Probe probe_;
  io::Loop outside_{io::Loop::Clock::simulated};
  io::Loop inside_{io::Loop::Clock::simulated};
  Recorder nothing_;
  Roster roster_;
  core::RouterConfig station_;
  core::Log log_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::unique_ptr<router::Instance> router_;
  io::Scope clients_;
  Told told_;
  Counted result_;
  std::string body_;  // of the last that was asked
  io::Nanos next_turn_{};
  bool counting_{};
  int asked_{}, answered_{}, begun_{}, failing_{};
};

}  // namespace

Counted count(const Play& play, const Probe& probe) { return Stepped(play, probe).run(); }

}  // namespace cressrill::rig
