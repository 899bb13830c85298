#include "cost.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include "client.h"
#include "discovery_stand_in.h"
#include "fleet_file.h"
#include "router/instance.h"

namespace cressrill::rig {

Heap heap;

const char* to_string(Stage stage) {
  static constexpr const char* names[] = {"accept", "request", "read",  "first", "event",
                                          "end",    "rest",    "parse", "decide"};
  return names[static_cast<std::size_t>(stage)];
}

Cost& Cost::operator+=(const Cost& other) {
  allocations += other.allocations;
  bytes += other.bytes;
  copied += other.copied;
  calls += other.calls;
  for (std::size_t i = 0; i < calls_by_name.size(); ++i) calls_by_name[i] += other.calls_by_name[i];
  instructions += other.instructions;
  return *this;
}
Cost Cost::operator-(const Cost& other) const {
  Cost out = other / -1;
  return out += *this;
}
Cost Cost::operator/(double n) const {
  Cost out = *this;
  out.allocations /= n;
  out.bytes /= n;
  out.copied /= n;
  out.calls /= n;
  out.instructions /= n;
  for (double& count : out.calls_by_name) count /= n;
  return out;
}

namespace {

Cost current_cost(const io::Loop& loop) {
  Cost out;
  out.allocations = static_cast<double>(heap.allocations);
  out.bytes = static_cast<double>(heap.bytes);
  out.copied = static_cast<double>(heap.copied);
  for (std::size_t i = 0; i < io::kSystemCallCount; ++i) {
    out.calls_by_name[i] = static_cast<double>(loop.system_calls().counts()[i]);
    out.calls += out.calls_by_name[i];
  }
  return out;
}

// The inputs that the policy got in one turn of the router, and their cost. The policy's actions are the
// host's work: their cost is subtracted.
struct PolicyInputs {
  bool request_arrived{}, prefill_done{}, attempt_failed{}, stream_started{}, request_ended{};
  Cost decide_cost;
};

class CountedPolicy final : public Policy, private Actions {
 public:
  CountedPolicy(const io::Loop& loop, const PolicySettings& settings, std::uint64_t seed, Nanos now,
                Actions& actions, PolicyInputs& inputs)
      : loop_(loop), actions_(actions), inputs_(inputs), policy_(make_policy(settings, seed, now, *this)) {}

  void list_begins(Nanos now, bool complete) override { policy_->list_begins(now, complete); }
  void worker_listed(int worker, std::uint64_t identity, WorkerStatus status, Nanos started, int kind,
                     int zone, int cell) override {
    policy_->worker_listed(worker, identity, status, started, kind, zone, cell);
  }
  void list_ends() override { policy_->list_ends(); }
  void list_failed(Nanos now) override { policy_->list_failed(now); }
  void request_arrived(Nanos now, int request, int type, int tenant, std::uint64_t session,
                       std::uint64_t prefix_hash, double prompt_tokens, double prefix_tokens,
                       double max_output_tokens, Nanos deadline) override {
    inputs_.request_arrived = true;
    add_policy_cost([&] {
      policy_->request_arrived(now, request, type, tenant, session, prefix_hash, prompt_tokens, prefix_tokens,
                               max_output_tokens, deadline);
    });
  }
  void client_left(Nanos now, int request) override { policy_->client_left(now, request); }
  void stream_started(Nanos now, int request, int attempt, Nanos elapsed) override {
    inputs_.stream_started = true;
    add_policy_cost([&] { policy_->stream_started(now, request, attempt, elapsed); });
  }
  void attempt_ended(Nanos now, int request, int attempt, Outcome outcome, Nanos elapsed, bool closed,
                     double cached_tokens, const LoadReport& report) override {
    (outcome == Outcome::prefill_done ? inputs_.prefill_done
     : outcome == Outcome::generated  ? inputs_.request_ended
                                      : inputs_.attempt_failed) = true;
    add_policy_cost([&] {
      policy_->attempt_ended(now, request, attempt, outcome, elapsed, closed, cached_tokens, report);
    });
  }
  void on_wakeup(Nanos now) override {
    add_policy_cost([&] { policy_->on_wakeup(now); });
  }

 private:
  void add_policy_cost(const std::function<void()>& call) { inputs_.decide_cost += cost_of(call); }
  // An action within a timed call: the cost of the host is subtracted.
  void subtract_host_cost(const std::function<void()>& action) {
    inputs_.decide_cost += cost_of(action) / -1;
  }
  // Counting is off while the counts themselves are read.
  Cost cost_of(const std::function<void()>& call) const {
    const bool was_on = std::exchange(heap.on, false);
    const Cost before = current_cost(loop_);
    heap.on = was_on;
    call();
    heap.on = false;
    const Cost cost = current_cost(loop_) - before;
    heap.on = was_on;
    return cost;
  }
  void send(int request, int worker, AttemptLimits limits) override {
    subtract_host_cost([&] { actions_.send(request, worker, limits); });
  }
  void release(int request) override {
    subtract_host_cost([&] { actions_.release(request); });
  }
  void cancel(int request, int attempt) override {
    subtract_host_cost([&] { actions_.cancel(request, attempt); });
  }
  void reject(int request, Nanos after) override { actions_.reject(request, after); }
  void abort(int request) override { actions_.abort(request); }
  void subscribe() override { actions_.subscribe(); }
  void request_wakeup(Nanos after) override {
    subtract_host_cost([&] { actions_.request_wakeup(after); });
  }
  void forget_request(int request) override {
    subtract_host_cost([&] { actions_.forget_request(request); });
  }
  void forget_worker(int worker) override { actions_.forget_worker(worker); }

  const io::Loop& loop_;
  Actions& actions_;
  PolicyInputs& inputs_;
  std::unique_ptr<Policy> policy_;
};

core::RouterConfig make_router_config(const std::string& discovery_address) {
  const std::string path =
      fmt::format("/tmp/cressrill-cost-{}.toml", static_cast<const void*>(&discovery_address));
  std::ofstream(path)
      << "[router]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nroster = \"" << discovery_address
      << "\"\nzone = \"a\"\nzones = [\"a\"]\nrouters = 1\nlog_level = \"info\"\n"
         "[rules]\ndrain_grace_ms = 500\nattempts = 8\npin_limit_ms = 1000\ncold_from = 0.25\n"
         "ramp_ms = 8000\nfall_multiple = 3\nfall_ms = 2000\n"
         "[[kind]]\nname = \"prefill\"\nrole = \"reader\"\nmemory_tokens = 1e9\n"
         "[[kind]]\nname = \"decode\"\nrole = \"writer\"\nmemory_tokens = 1e9\n"
         "[[traffic_type]]\nname = \"plain\"\neffect = \"repeatable\"\nslo_ms = 20000\n"
         "abandon_ms = 600000\n";
  core::ConfigErrors errors;
  auto config = core::read_router_config(path, errors);
  std::remove(path.c_str());
  if (!config) throw std::logic_error(errors.empty() ? "no configuration" : errors[0].to_string());
  return *config;
}

class CostMeasurement {
 public:
  CostMeasurement(const Workload& workload, const Probe& probe)
      : workload_(workload),
        probe_(probe),
        no_record_(client_loop_, "/dev/null"),
        discovery_(client_loop_, {127u << 24 | 1, 0}, no_record_),
        config_(make_router_config(discovery_.address().to_string())),
        log_("r", "info"),
        clients_(client_loop_) {
    const int prefill_engines = workload.failures > 0 ? 8 : 2;
    const int decode_engines = workload.idle_streams > 0 ? 4 : 2;  // the last two serve the measured requests
    for (int i = 0; i < prefill_engines + decode_engines; ++i) {
      EngineConfig engine;
      engine.name = fmt::format("{}-{}", i < prefill_engines ? "reader" : "writer", i);
      engine.kind = i < prefill_engines ? "prefill" : "decode";
      engine.role = i < prefill_engines ? Role::prefill : Role::decode;
      engine.address = "127.0.0.1:0";
      engine.zone = "a";
      engine.cell = "c";
      engine.slots = engine.queue = 100'000;
      engine.memory_tokens = 1e9;
      engine.read_per_s = 1e7;
      engine.step_ms = static_cast<double>(workload.event_interval) / 1e6;
      engine.step_ms_per_sequence = 0;
      engine.transfer_per_s = 1e9;
      engines_.push_back(std::make_unique<Engine>(client_loop_, engine, no_record_));
      if (i < prefill_engines + 2) discovery_.publish_change(listed(*engines_.back(), WorkerStatus::ready));
    }
    run_for(5 * io::kMs);
    router_ = std::make_unique<router::Instance>(
        router_loop_, config_, log_, 7,
        [this](const PolicySettings& settings, std::uint64_t seed, Nanos now,
               Actions& actions) -> std::unique_ptr<Policy> {
          return std::make_unique<CountedPolicy>(router_loop_, settings, seed, now, actions, inputs_);
        });
    run_for(50 * io::kMs);
  }
  ~CostMeasurement() {
    clients_.cancel();
    router_.reset();
  }

  WorkloadCost run() {
    for (int i = 0; i < workload_.idle_streams; ++i) ask(1'000'000, true);
    if (workload_.idle_streams > 0) step_idle();
    ask_all(4);
    counting_ = true;
    result_ = {};
    ask_all(workload_.rounds);
    counting_ = false;
    parse(workload_.rounds * workload_.concurrency);
    const double n = workload_.rounds * workload_.concurrency;
    for (std::size_t s = 0; s < kStages; ++s) {
      if (static_cast<Stage>(s) < Stage::parse) result_.all += result_.stages[s];
      result_.stages[s] = result_.stages[s] / n;
    }
    result_.all = result_.all / n;
    result_.events = workload_.events;
    return result_;
  }

 private:
  // Leaves the idle streams open: they have started, and their decode engines are slowed down until they send
  // nothing.
  void step_idle() {
    run_until([&] { return streams_started_ == workload_.idle_streams; });
    for (std::size_t i = engines_.size() - 4; i < engines_.size(); ++i) {
      const bool idle = i < engines_.size() - 2;
      if (idle) engines_[i]->apply({"slow", 1e9, 0, ""});
      discovery_.publish_change(listed(*engines_[i], idle ? WorkerStatus::draining : WorkerStatus::ready));
    }
    run_for(100 * io::kMs);
  }

  void ask_all(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      prefills_to_fail_ = workload_.failures;
      for (auto& e : engines_)
        if (prefills_to_fail_ > 0 && e->config().role == Role::prefill) e->apply({"fast_errors", 1, 0, ""});
      requests_answered_ = 0;
      for (int i = 0; i < workload_.concurrency; ++i) ask(workload_.events, false);
      run_until([&] { return requests_answered_ == workload_.concurrency; });
      run_for(200 * io::kMs);
    }
  }

  // Repeats the parsing of the request's body by itself.
  void parse(int times) {
    for (int i = 0; i < times; ++i) {
      std::string body = body_;
      body.reserve(body.size() + http::kReadPaddingBytes);
      const Cost before = current_cost(router_loop_);
      heap.on = true;
      if (probe_.on_turn_begin) probe_.on_turn_begin();
      const auto parsed = core::parse_request(core::Api::chat, std::move(body), {});
      if (probe_.on_turn_end) probe_.on_turn_end();
      heap.on = false;
      if (probe_.on_turn_stage) probe_.on_turn_stage(Stage::parse);
      result_.stages[static_cast<std::size_t>(Stage::parse)] += current_cost(router_loop_) - before;
      if (!std::holds_alternative<core::ParsedRequest>(parsed)) ++result_.failed;
    }
  }

  void ask(int events, bool idle) {
    ClientRequest request;
    request.sequence = fmt::format("q{}", ++requests_sent_);
    request.id = request.sequence + ".0";
    request.router = "r";
    request.type = "plain";
    request.address = router_->address();
    request.time_limit = 500 * io::kSecond;
    request.stream = workload_.stream || idle;
    std::string text;
    while (text.size() < workload_.prompt_bytes) text += "word ";
    request.body =
        nlohmann::json{
            {"model", "m"},
            {"messages",
             {{{"role", "system"}, {"content", "Be brief."}}, {{"role", "user"}, {"content", text}}}},
            {"prompt_cache_key", request.sequence},
            {"max_tokens", 2'000'000},
            {"metadata", {{"out", std::to_string(events)}}},
            {"stream", request.stream}}
            .dump();
    if (!idle) body_ = request.body;
    if (idle) request.on_first = [this] { ++streams_started_; };
    clients_.spawn([](CostMeasurement& measurement, ClientRequest to_send, bool is_idle) -> io::Task<> {
      const ClientResult result =
          co_await rig::send_request(measurement.client_loop_, measurement.no_record_, std::move(to_send));
      if (is_idle) co_return;
      ++measurement.requests_answered_;
      if (result.outcome != "generated" ||
          (measurement.workload_.stream &&
           result.tokens != static_cast<std::size_t>(measurement.workload_.events)))
        ++measurement.result_.failed;
    }(*this, std::move(request), idle));
  }

  void run_for(io::Nanos span) {
    const io::Nanos until = client_loop_.now() + span;
    run_until([&] { return client_loop_.now() >= until; }, until);
  }

  void run_until(const std::function<bool()>& done, io::Nanos latest = io::Loop::kNoTimer) {
    while (!done()) {
      const bool clients_ran = client_loop_.run_once();
      const bool due = workload_.turn_interval == 0 || !counting_ || client_loop_.now() >= next_turn_;
      const bool router_ran = due && turn();
      if (clients_ran || router_ran) continue;
      io::Nanos next =
          std::min(client_loop_.next_timer_at(), due ? router_loop_.next_timer_at() : next_turn_);
      next = std::min(next, latest);
      if (next == io::Loop::kNoTimer)
        throw std::logic_error("both event loops are idle for good, but the awaited condition is not met");
      next = std::max(next, client_loop_.now());
      client_loop_.advance_to(next);
      router_loop_.advance_to(next);
    }
  }

  // Runs the router until it has nothing left to do. The last epoll_wait, which finds nothing, stands for its
  // blocking wait. Returns whether the router did anything.
  bool turn() {
    inputs_ = {};
    const Cost before = current_cost(router_loop_);
    bool ran = false;
    heap.on = counting_;
    if (probe_.on_turn_begin && counting_) probe_.on_turn_begin();
    while (router_loop_.run_once()) ran = true;
    if (probe_.on_turn_end && counting_) probe_.on_turn_end();
    heap.on = false;
    Cost cost = current_cost(router_loop_) - before;
    next_turn_ = client_loop_.now() + workload_.turn_interval;
    if (!ran) {  // a router that blocks in epoll_wait would not have run here
      if (probe_.on_turn_stage && counting_) probe_.on_turn_stage(std::nullopt);
      return false;
    }
    // The epoll_wait that finds nothing is the one that the next turn begins with: it is counted there.
    --cost.calls_by_name[static_cast<std::size_t>(io::SystemCall::epoll_wait)];
    --cost.calls;
    const Stage stage = stage_of(cost);
    if (probe_.on_turn_stage && counting_) probe_.on_turn_stage(stage);
    if (counting_) {
      result_.stages[static_cast<std::size_t>(stage)] += cost;
      result_.stages[static_cast<std::size_t>(Stage::decide)] += inputs_.decide_cost;
    }
    if (inputs_.attempt_failed && prefills_to_fail_ > 0 && --prefills_to_fail_ == 0)
      for (auto& e : engines_) e->apply({"fast_errors", 0, 0, ""});
    return true;
  }

  Stage stage_of(const Cost& cost) const {
    if (inputs_.request_arrived) return Stage::request;
    if (inputs_.request_ended) return Stage::end;
    if (inputs_.prefill_done || inputs_.attempt_failed) return Stage::read;
    if (inputs_.stream_started) return Stage::first;
    const auto called = [&](io::SystemCall call) {
      return cost.calls_by_name[static_cast<std::size_t>(call)] > 0;
    };
    if (called(io::SystemCall::accept4)) return Stage::accept;
    return called(io::SystemCall::send) ? Stage::event : Stage::rest;
  }

  Workload workload_;
  Probe probe_;
  io::Loop client_loop_{io::Loop::Clock::simulated};
  io::Loop router_loop_{io::Loop::Clock::simulated};
  Recorder no_record_;
  DiscoveryStandIn discovery_;
  core::RouterConfig config_;
  core::Log log_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::unique_ptr<router::Instance> router_;
  io::Scope clients_;
  PolicyInputs inputs_;
  WorkloadCost result_;
  std::string body_;  // of the last measured request
  io::Nanos next_turn_{};
  bool counting_{};
  int requests_sent_{}, requests_answered_{}, streams_started_{}, prefills_to_fail_{};
};

}  // namespace

WorkloadCost measure_cost(const Workload& workload, const Probe& probe) {
  return CostMeasurement(workload, probe).run();
}

}  // namespace cressrill::rig
