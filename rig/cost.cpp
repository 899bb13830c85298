#include "cost.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>

#include "client.h"
#include "discovery_stand_in.h"
#include "fleet_file.h"
#include "router/instance.h"

namespace cressrill::rig {

MemoryCounters memory_counters;

const char* to_string(Stage stage) {
  static constexpr const char* names[] = {"accept", "request", "read",  "first", "event",
                                          "end",    "rest",    "parse", "decide"};
  return names[static_cast<std::size_t>(stage)];
}

ResourceUsage& ResourceUsage::operator+=(const ResourceUsage& other) {
  allocations += other.allocations;
  heap_bytes += other.heap_bytes;
  copied += other.copied;
  calls += other.calls;
  for (std::size_t i = 0; i < calls_by_name.size(); ++i) calls_by_name[i] += other.calls_by_name[i];
  instructions += other.instructions;
  return *this;
}
ResourceUsage ResourceUsage::operator-(const ResourceUsage& other) const {
  ResourceUsage difference = other / -1;
  return difference += *this;
}
ResourceUsage ResourceUsage::operator/(double divisor) const {
  ResourceUsage quotient = *this;
  quotient.allocations /= divisor;
  quotient.heap_bytes /= divisor;
  quotient.copied /= divisor;
  quotient.calls /= divisor;
  quotient.instructions /= divisor;
  for (double& count : quotient.calls_by_name) count /= divisor;
  return quotient;
}

namespace {

ResourceUsage current_usage(const io::Loop& loop) {
  ResourceUsage usage;
  usage.allocations = static_cast<double>(memory_counters.allocations);
  usage.heap_bytes = static_cast<double>(memory_counters.heap_bytes);
  usage.copied = static_cast<double>(memory_counters.copied);
  for (std::size_t i = 0; i < io::kSystemCallCount; ++i) {
    usage.calls_by_name[i] = static_cast<double>(loop.system_calls().counts()[i]);
    usage.calls += usage.calls_by_name[i];
  }
  return usage;
}

// The inputs that the policy got in one turn of the router, and what the policy used to handle them. The
// policy's actions are the host's work: their usage is subtracted.
struct PolicyInputs {
  bool request_arrived{};
  bool prefill_done{};
  bool attempt_failed{};
  bool stream_started{};
  bool request_ended{};
  ResourceUsage policy_usage;
};

// Passes inputs to the router's policy and actions to its host, and counts what the policy uses.
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
  void discovery_unreachable(Nanos now) override { policy_->discovery_unreachable(now); }
  void request_arrived(Nanos now, int request, int type, int tenant, std::uint64_t session,
                       std::uint64_t prefix_hash, double prompt_tokens, double prefix_tokens,
                       double max_output_tokens, Nanos deadline) override {
    inputs_.request_arrived = true;
    add_policy_usage([&] {
      policy_->request_arrived(now, request, type, tenant, session, prefix_hash, prompt_tokens, prefix_tokens,
                               max_output_tokens, deadline);
    });
  }
  void client_left(Nanos now, int request) override { policy_->client_left(now, request); }
  void stream_started(Nanos now, int request, int attempt, Nanos elapsed) override {
    inputs_.stream_started = true;
    add_policy_usage([&] { policy_->stream_started(now, request, attempt, elapsed); });
  }
  void attempt_ended(Nanos now, int request, int attempt, Outcome outcome, Nanos elapsed, bool closed,
                     double cached_tokens, const LoadReport& report) override {
    (outcome == Outcome::prefill_done ? inputs_.prefill_done
     : outcome == Outcome::generated  ? inputs_.request_ended
                                      : inputs_.attempt_failed) = true;
    add_policy_usage([&] {
      policy_->attempt_ended(now, request, attempt, outcome, elapsed, closed, cached_tokens, report);
    });
  }
  void on_wakeup(Nanos now) override {
    add_policy_usage([&] { policy_->on_wakeup(now); });
  }

 private:
  void add_policy_usage(const std::function<void()>& call) { inputs_.policy_usage += usage_of(call); }
  // For an action that the policy takes during a measured input.
  void subtract_host_usage(const std::function<void()>& action) {
    inputs_.policy_usage += usage_of(action) / -1;
  }
  // Counting is disabled while the counts themselves are read.
  ResourceUsage usage_of(const std::function<void()>& call) const {
    const bool was_enabled = std::exchange(memory_counters.enabled, false);
    const ResourceUsage before = current_usage(loop_);
    memory_counters.enabled = was_enabled;
    call();
    memory_counters.enabled = false;
    const ResourceUsage usage = current_usage(loop_) - before;
    memory_counters.enabled = was_enabled;
    return usage;
  }
  void send(int request, int worker, AttemptLimits limits) override {
    subtract_host_usage([&] { actions_.send(request, worker, limits); });
  }
  void release(int request) override {
    subtract_host_usage([&] { actions_.release(request); });
  }
  void cancel(int request, int attempt) override {
    subtract_host_usage([&] { actions_.cancel(request, attempt); });
  }
  void reject(int request, Nanos after) override { actions_.reject(request, after); }
  void abort(int request) override { actions_.abort(request); }
  void subscribe() override { actions_.subscribe(); }
  void request_wakeup(Nanos after) override {
    subtract_host_usage([&] { actions_.request_wakeup(after); });
  }
  void forget_request(int request) override {
    subtract_host_usage([&] { actions_.forget_request(request); });
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
      engine.slots = 100'000;
      engine.queue = 100'000;
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
    for (int i = 0; i < workload_.idle_streams; ++i) start_request(1'000'000, true);
    if (workload_.idle_streams > 0) pause_idle_streams();
    run_rounds(4);
    counting_ = true;
    result_ = {};
    run_rounds(workload_.rounds);
    counting_ = false;
    measure_parsing(workload_.rounds * workload_.concurrency);
    const double requests = workload_.rounds * workload_.concurrency;
    for (std::size_t stage = 0; stage < kStageCount; ++stage) {
      if (static_cast<Stage>(stage) < Stage::parse) result_.all += result_.stages[stage];
      result_.stages[stage] = result_.stages[stage] / requests;
    }
    result_.all = result_.all / requests;
    result_.events = workload_.events;
    return result_;
  }

 private:
  // Once the idle streams have started, slows their decode engines down so far that no further event comes,
  // and replaces these engines in the worker list.
  void pause_idle_streams() {
    run_until([&] { return idle_streams_started_ == workload_.idle_streams; });
    for (std::size_t i = engines_.size() - 4; i < engines_.size(); ++i) {
      const bool idle = i < engines_.size() - 2;
      if (idle) engines_[i]->apply({"slow", 1e9, 0, ""});
      discovery_.publish_change(listed(*engines_[i], idle ? WorkerStatus::draining : WorkerStatus::ready));
    }
    run_for(100 * io::kMs);
  }

  // Runs rounds of concurrent requests; each round ends when all of them are answered.
  void run_rounds(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      prefills_to_fail_ = workload_.failures;
      for (auto& engine : engines_)
        if (prefills_to_fail_ > 0 && engine->config().role == Role::prefill)
          engine->apply({"fast_errors", 1, 0, ""});
      requests_answered_ = 0;
      for (int i = 0; i < workload_.concurrency; ++i) start_request(workload_.events, false);
      run_until([&] { return requests_answered_ == workload_.concurrency; });
      run_for(200 * io::kMs);
    }
  }

  // Measures the parsing of the request's body by itself.
  void measure_parsing(int times) {
    for (int i = 0; i < times; ++i) {
      std::string body = body_;
      body.reserve(body.size() + http::kReadPaddingBytes);
      const ResourceUsage before = current_usage(router_loop_);
      memory_counters.enabled = true;
      if (probe_.on_turn_begin) probe_.on_turn_begin();
      const auto parsed = core::parse_request(core::Api::chat, std::move(body), {});
      if (probe_.on_turn_end) probe_.on_turn_end();
      memory_counters.enabled = false;
      if (probe_.on_turn_stage) probe_.on_turn_stage(Stage::parse);
      result_.stages[static_cast<std::size_t>(Stage::parse)] += current_usage(router_loop_) - before;
      if (!std::holds_alternative<core::ParsedRequest>(parsed)) ++result_.failed;
    }
  }

  void start_request(int events, bool idle) {
    ClientRequest request;
    request.sequence = fmt::format("q{}", ++requests_sent_);
    request.id = request.sequence + ".0";
    request.router = "r";
    request.type = "plain";
    request.address = router_->address();
    request.time_limit = 500 * io::kSecond;
    request.stream = workload_.stream || idle;
    std::string prompt;
    while (prompt.size() < workload_.prompt_bytes) prompt += "word ";
    request.body =
        nlohmann::json{
            {"model", "m"},
            {"messages",
             {{{"role", "system"}, {"content", "Be brief."}}, {{"role", "user"}, {"content", prompt}}}},
            {"prompt_cache_key", request.sequence},
            {"max_tokens", 2'000'000},
            {"metadata", {{"out", std::to_string(events)}}},
            {"stream", request.stream}}
            .dump();
    if (!idle) body_ = request.body;
    if (idle) request.on_first_token = [this] { ++idle_streams_started_; };
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

  // Runs both event loops in turn until the condition is met, and advances their simulated time, at most to
  // `latest`, while both are idle.
  void run_until(const std::function<bool()>& done, io::Nanos latest = io::Loop::kNoTimer) {
    while (!done()) {
      const bool clients_ran = client_loop_.run_once();
      const bool due = workload_.turn_interval == 0 || !counting_ || client_loop_.now() >= next_turn_;
      const bool router_ran = due && run_router_turn();
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

  // Runs the router until it has nothing left to do: on real time it would then block in epoll_wait. Returns
  // whether the router did anything.
  bool run_router_turn() {
    inputs_ = {};
    const ResourceUsage before = current_usage(router_loop_);
    bool ran = false;
    memory_counters.enabled = counting_;
    if (probe_.on_turn_begin && counting_) probe_.on_turn_begin();
    while (router_loop_.run_once()) ran = true;
    if (probe_.on_turn_end && counting_) probe_.on_turn_end();
    memory_counters.enabled = false;
    ResourceUsage usage = current_usage(router_loop_) - before;
    next_turn_ = client_loop_.now() + workload_.turn_interval;
    if (!ran) {  // on real time the router would still be blocked in epoll_wait
      if (probe_.on_turn_stage && counting_) probe_.on_turn_stage(std::nullopt);
      return false;
    }
    // On real time, the last epoll_wait, which finds nothing here, would return at the next turn: it is
    // counted there.
    --usage.calls_by_name[static_cast<std::size_t>(io::SystemCall::epoll_wait)];
    --usage.calls;
    const Stage stage = stage_of(usage);
    if (probe_.on_turn_stage && counting_) probe_.on_turn_stage(stage);
    if (counting_) {
      result_.stages[static_cast<std::size_t>(stage)] += usage;
      result_.stages[static_cast<std::size_t>(Stage::decide)] += inputs_.policy_usage;
    }
    if (inputs_.attempt_failed && prefills_to_fail_ > 0 && --prefills_to_fail_ == 0)
      for (auto& engine : engines_) engine->apply({"fast_errors", 0, 0, ""});
    return true;
  }

  // The stage of the turn that has just ended and used this.
  Stage stage_of(const ResourceUsage& usage) const {
    if (inputs_.request_arrived) return Stage::request;
    if (inputs_.request_ended) return Stage::end;
    if (inputs_.prefill_done || inputs_.attempt_failed) return Stage::read;
    if (inputs_.stream_started) return Stage::first;
    const auto called = [&](io::SystemCall call) {
      return usage.calls_by_name[static_cast<std::size_t>(call)] > 0;
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
  std::string body_;       // of the last measured request
  io::Nanos next_turn_{};  // earliest time of the router's next turn
  bool counting_{};        // false during the warm-up
  int requests_sent_{};
  int requests_answered_{};  // in this round
  int idle_streams_started_{};
  int prefills_to_fail_{};  // remaining in this round
};

}  // namespace

WorkloadCost measure_cost(const Workload& workload, const Probe& probe) {
  return CostMeasurement(workload, probe).run();
}

}  // namespace cressrill::rig
