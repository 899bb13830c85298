#include "conductor.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>

#include "clients.h"
#include "cue.h"
#include "discovery.h"
#include "http/client.h"
#include "idle_crowd.h"
#include "rig/process.h"
#include "rig/shared_fault_plan.h"
#include "rig/stand_in_settings.h"

namespace cressrill::rig::soak {

using io::kMs;
using io::kSecond;
using nlohmann::json;
namespace files = std::filesystem;

namespace {

constexpr io::Nanos kReadyTimeout = 10 * kSecond;
// SIGKILL follows SIGTERM after the longest deadline of any request and this time.
constexpr io::Nanos kKillAfterDeadline = 700 * kMs;
constexpr io::Nanos kHaltCheckInterval = 10 * kMs;
constexpr io::Nanos kMinRecordedHalt = 20 * kMs;
constexpr std::size_t kDiscoveryAgents = 2;
constexpr int kClients = 24;
constexpr int kLateConnections = 12;  // that clients open to a router after its SIGTERM
// Idle clients of each router: more than the 115 that its descriptor limit leaves for clients.
constexpr int kIdleClients = 140;
constexpr int kMaxDescriptors = 256;  // of a router, open at a time

// Settings that are drawn for each seed.
struct DrawnSettings {
  int pin_limit_ms{};
  int window_ms{};
  bool parallel_tries{};
  bool cancelling{};
  bool holds_allowed{};
  int longest_deadline_ms{};
  bool crowd{};  // whether idle clients use up the descriptors of each router
};

json settings(int routers, const DrawnSettings& drawn) {
  json out = stand_in_settings();
  out["instances"] = routers;
  out["familyInfo"]["pinLimitMs"] = drawn.pin_limit_ms;
  out["familyInfo"]["holdsAllowed"] = drawn.holds_allowed;
  out["caps"]["parallelTries"] = drawn.parallel_tries;
  out["caps"]["cancelling"] = drawn.cancelling;
  out["services"][1]["windowMs"] = drawn.window_ms;
  return out;
}

struct Router {
  std::string name;
  io::Address address;
  std::string config;
  std::unique_ptr<SharedFaultPlan> plan;
  Process process;
  std::size_t agent{};
  bool open{};  // clients connect to it
  bool busy{};  // a fault is stopping or starting it
};

struct Worker {
  std::string name;
  int generation{};
  bool is_prefill{};
  io::Address own, proxied;
  Process process, proxy;
  bool busy{};          // a fault is stopping or replacing it
  bool links_silent{};  // its proxy passes nothing, on any connection
};

class Conductor {
 public:
  explicit Conductor(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        record_(loop_, options.folder + "/conductor.jsonl"),
        discovery_(loop_, kDiscoveryAgents),
        drawn_settings_(draw_settings()),
        clients_(loop_, record_, options.seed + 1, drawn_settings_.longest_deadline_ms,
                 [this] { return pick_open_router(); }),
        cues_(loop_, [this](Cue cue, const std::string& id) { clients_.on_cue(cue, id); }),
        scope_(loop_) {
    reachable_worker_ = static_cast<std::size_t>(random_int(0, options_.workers - 1));
    record_.record("settings", {{"pin_limit_ms", drawn_settings_.pin_limit_ms},
                                {"window_ms", drawn_settings_.window_ms},
                                {"parallel_tries", drawn_settings_.parallel_tries},
                                {"cancelling", drawn_settings_.cancelling},
                                {"longest_deadline_ms", drawn_settings_.longest_deadline_ms},
                                {"crowd", drawn_settings_.crowd}});
  }

  SoakResult run() {
    start_all();
    bool finished = false;
    scope_.spawn(run_phases(finished));
    loop_.run_until([&] { return finished; });
    scope_.cancel();
    for (Router& router : routers_) result_.injected_call_faults += router.plan->injected();
    for (Worker& worker : workers_) {
      worker.process.kill();
      worker.proxy.kill();
    }
    for (Router& router : routers_) router.process.kill();
    result_.check_result = check(read_records(), {.kv_hold_limit = drawn_settings_.pin_limit_ms * kMs,
                                                  .repeat_window = drawn_settings_.window_ms * kMs});
    count_router_violations();
    return std::move(result_);
  }

 private:
  DrawnSettings draw_settings() {
    static constexpr int kPinLimits[] = {300, 500, 1000}, kLongestDeadlines[] = {1200, 2000, 3000};
    DrawnSettings out;
    out.pin_limit_ms = kPinLimits[random_int(0, 2)];
    out.window_ms = random_int(800, 2500);
    out.parallel_tries = random_int(0, 3) > 0;
    out.cancelling = random_int(0, 3) > 0;
    out.holds_allowed = random_int(0, 1) == 0;
    out.longest_deadline_ms = kLongestDeadlines[random_int(0, 2)];
    out.crowd = random_int(0, 2) == 0;
    return out;
  }
  int random_int(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  io::Nanos random_duration(int from_ms, int to_ms) { return random_int(from_ms, to_ms) * kMs; }
  std::string path_in_folder(const std::string& name) const { return options_.folder + "/" + name; }

  io::Address free_address() {
    io::Listener port(loop_, {INADDR_LOOPBACK, 0});
    return port.address();
  }

  void start_all() {
    for (int i = 0; i < options_.workers; ++i) {
      Worker& worker = workers_.emplace_back();
      worker.is_prefill = i < options_.workers / 2;
      worker.name = fmt::format("{}-{}", worker.is_prefill ? "prefill" : "decode", i);
      worker.own = free_address();
      worker.proxied = free_address();
      start_worker(worker);
      worker.proxy = Process({options_.soak_program, "proxy", "--listen", worker.proxied.to_string(),
                              "--target", worker.own.to_string(), "--seed", std::to_string(random_() >> 1)},
                             path_in_folder(worker.name + "-proxy.log"));
      put_in_discovery(worker, "up", 0);
    }
    for (int i = 0; i < options_.routers; ++i) {
      Router& router = routers_.emplace_back();
      router.name = fmt::format("router-{}", i);
      router.address = free_address();
      router.config = path_in_folder(router.name + ".json");
      router.plan = std::make_unique<SharedFaultPlan>(path_in_folder(router.name + ".plan"));
      scope_.spawn(start_router(router));
    }
  }

  std::string worker_id(const Worker& worker) const {
    return fmt::format("{}-{}", worker.name, worker.generation);
  }
  void start_worker(Worker& worker) {
    worker.process = Process(
        {options_.soak_program, "worker", "--name", worker_id(worker), "--listen", worker.own.to_string(),
         "--record", path_in_folder(worker.name + ".jsonl"), "--seed", std::to_string(random_() >> 1),
         "--cues", cues_.address().to_string(), worker.is_prefill ? "--prefill" : "--decode"},
        path_in_folder(worker.name + ".log"));
  }
  void put_in_discovery(const Worker& worker, const char* state, std::int64_t boot_ms) {
    discovery_.put({{"uid", worker_id(worker)},
                    {"endpoint", worker.proxied.to_string()},
                    {"az", "east"},
                    {"model", worker.is_prefill ? "prefill" : "decode"},
                    {"pod_group", 3},
                    {"state", state},
                    {"capacity_hint", 1.0},
                    {"boot_ms", boot_ms}});
  }
  static std::int64_t unix_ms() {
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000 + t.tv_nsec / 1'000'000;
  }

  std::string config_text(const Router& router) const {
    return json{{"name", router.name},
                {"listen", router.address.to_string()},
                {"discovery", discovery_.address(router.agent).to_string()},
                {"seed", fmt::format("{:x}", options_.seed + router.address.port)},
                {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", kMaxDescriptors}}},
                {"settings", settings(options_.routers, drawn_settings_)}}
        .dump();
  }
  static void write_file(const std::string& path, std::string_view text) {
    std::ofstream(path, std::ios::trunc) << text;
  }

  // Starts a router and waits until it reports that it is ready.
  io::Task<> start_router(Router& router) {
    write_file(router.config, config_text(router));
    ::setenv("EDGE_CONFIG", router.config.c_str(), 1);
    ::setenv("LD_PRELOAD", options_.fault_shim.c_str(), 1);
    ::setenv(kFaultPlanVariable, router.plan->path().c_str(), 1);
    router.process = Process({options_.router_program, "--platform", "--log-level", "info"},
                             path_in_folder(router.name + ".log"));
    ::unsetenv("LD_PRELOAD");
    const io::Nanos started_at = loop_.now();
    while (!router.open) {
      auto pool = std::make_shared<http::Pool>(loop_, router.address);
      const auto response =
          co_await io::with_deadline(loop_, loop_.now() + 500 * kMs,
                                     http::exchange(pool, http::format_request("GET", "/up", "h", "", "")));
      router.open = response && response->head.status == 200;
      if (!router.open) co_await loop_.sleep_for(20 * kMs);
      if (!router.process.running()) {
        record_breach(fmt::format("{} exited during its start: {}", router.name, router.process.status()));
        co_return;
      }
      if (loop_.now() - started_at > kReadyTimeout) {
        record_breach(fmt::format("{} is not ready after 10 s", router.name));
        co_return;
      }
    }
  }

  void record_breach(const std::string& what) { record_.record("breach", {{"what", what}}); }

  std::optional<RouterEndpoint> pick_open_router() {
    std::vector<const Router*> open;
    for (const Router& router : routers_)
      if (router.open) open.push_back(&router);
    if (open.empty()) return std::nullopt;
    const Router& router = *open[static_cast<std::size_t>(random_int(0, static_cast<int>(open.size()) - 1))];
    return RouterEndpoint{router.name, router.address};
  }

  // Waits for the routers, runs clients and faults, lets requests and releases finish, and ends the routers.
  io::Task<> run_phases(bool& finished) {
    while (!std::ranges::all_of(routers_, &Router::open)) co_await loop_.sleep_for(50 * kMs);
    clients_.start(kClients);
    scope_.spawn(monitor_routers());
    scope_.spawn(record_own_halts());
    if (drawn_settings_.crowd) connect_idle_clients();
    const io::Nanos until = loop_.now() + options_.fault_duration;
    io::Scope faults(loop_);
    faults.spawn(interrupt_receives());  // so that every run has a failing call
    while (loop_.now() < until) {
      co_await loop_.sleep_for(random_duration(100, 700));
      ++result_.faults_started;
      faults.spawn(start_random_fault());
    }
    while (!faults.empty()) co_await loop_.sleep_for(20 * kMs);
    if (!idle_crowds_.empty()) record_.record("crowd_gone", Recorder::Line::object());
    idle_crowds_.clear();
    clients_.stop();
    while (clients_.running() > 0) co_await loop_.sleep_for(20 * kMs);
    co_await loop_.sleep_for(2 * kSecond);  // KV cache that is still held must be released within this time
    for (Router& router : routers_) co_await end_router(router, true);
    finished = true;
  }

  void connect_idle_clients() {
    record_.record("crowd_came", Recorder::Line::object());
    for (const Router& router : routers_) {
      const auto address = [&router] { return router.open ? std::optional(router.address) : std::nullopt; };
      idle_crowds_.push_back(std::make_unique<IdleCrowd>(loop_, random_(), kIdleClients, address));
    }
  }

  // Records for how long this process, which plays all clients, was held up by the machine: its clients read
  // nothing meanwhile.
  io::Task<> record_own_halts() {
    for (;;) {
      const io::Nanos due = loop_.now() + kHaltCheckInterval;
      co_await loop_.sleep_until(due);
      const io::Nanos late = loop_.now() - due;
      if (late >= kMinRecordedHalt) record_.record("soak_held_up", {{"for", late}});
    }
  }

  // Checks that each router runs and stays within its descriptor limit. Measures descriptors and memory.
  io::Task<> monitor_routers() {
    for (;;) {
      co_await loop_.sleep_for(200 * kMs);
      for (Router& router : routers_) {
        if (!router.open || router.busy) continue;
        if (!router.process.running()) {
          record_breach(fmt::format("{} exited unexpectedly: {}", router.name, router.process.status()));
          router.open = false;
          continue;
        }
        std::error_code error;
        const auto fd_folder =
            files::directory_iterator(fmt::format("/proc/{}/fd", router.process.pid()), error);
        if (error) continue;
        const auto descriptors = static_cast<std::size_t>(std::distance(begin(fd_folder), end(fd_folder)));
        if (descriptors > kMaxDescriptors)
          record_breach(fmt::format("{} has {} descriptors open", router.name, descriptors));
        result_.max_descriptors = std::max(result_.max_descriptors, descriptors);
        std::ifstream memory_file(fmt::format("/proc/{}/statm", router.process.pid()));
        std::size_t total_pages = 0, resident_pages = 0;
        if (memory_file >> total_pages >> resident_pages)
          result_.max_memory_kb = std::max(result_.max_memory_kb, resident_pages * 4);
      }
    }
  }

  // Faults: each task starts one fault and ends it, except links that are silenced for good.

  io::Task<> start_random_fault() {
    switch (random_int(0, 15)) {
      case 0:
      case 1:
      case 2:
        return fail_call();
      case 3:
        return step_clock();
      case 4:
        return suspend_router();
      case 5:
        return reload_router();
      case 6:
      case 7:
        return restart_router();
      case 8:
        return silence_discovery();
      case 9:
        return hang_worker();
      case 10:
        return replace_worker();
      case 11:
        return drain_worker();
      case 12:
      case 13:
      case 14:
        return silence_links();
      default:
        return shorten_transfers();
    }
  }

  Router& any_router() { return routers_[static_cast<std::size_t>(random_int(0, options_.routers - 1))]; }
  // Any worker but the one that stays reachable: without a reachable worker no router can release anything.
  Worker& any_worker() {
    const std::size_t index = static_cast<std::size_t>(random_int(0, options_.workers - 2));
    return workers_[index + (index >= reachable_worker_)];
  }

  // Makes a system call fail: always for at most 250 ms, or once in every two to four calls for up to 2 s.
  io::Task<> fail_call() {
    struct Choice {
      FaultyCall call;
      int error;
    };
    static constexpr Choice kChoices[] = {{FaultyCall::accept, ECONNABORTED},
                                          {FaultyCall::accept, EMFILE},
                                          {FaultyCall::accept, ENFILE},
                                          {FaultyCall::accept, ENOBUFS},
                                          {FaultyCall::accept, ENOMEM},
                                          {FaultyCall::accept, EINTR},
                                          {FaultyCall::accept, EPROTO},
                                          {FaultyCall::connect, EINTR},
                                          {FaultyCall::connect, EADDRNOTAVAIL},
                                          {FaultyCall::connect, ENETUNREACH},
                                          {FaultyCall::connect, EHOSTUNREACH},
                                          {FaultyCall::connect, ETIMEDOUT},
                                          {FaultyCall::connect, ECONNREFUSED},
                                          {FaultyCall::connect, EAGAIN},
                                          {FaultyCall::socket, EMFILE},
                                          {FaultyCall::socket, ENFILE},
                                          {FaultyCall::socket, ENOBUFS},
                                          {FaultyCall::socket, ENOMEM},
                                          {FaultyCall::receive, EINTR},
                                          {FaultyCall::receive, ENOMEM},
                                          {FaultyCall::send, EINTR},
                                          {FaultyCall::send, ENOBUFS},
                                          {FaultyCall::send, ENOMEM},
                                          {FaultyCall::epoll_add, ENOMEM},
                                          {FaultyCall::epoll_add, ENOSPC},
                                          {FaultyCall::epoll_wait, EINTR},
                                          {FaultyCall::get_option, ENOBUFS},
                                          {FaultyCall::shutdown, ENOTCONN},
                                          {FaultyCall::write, ENOSPC},
                                          {FaultyCall::write, EIO},
                                          {FaultyCall::read, EIO}};
    const Choice& choice =
        kChoices[static_cast<std::size_t>(random_int(0, static_cast<int>(std::size(kChoices)) - 1))];
    CallFault& fault = (*any_router().plan)->of(choice.call);
    const auto one_in = static_cast<std::uint32_t>(random_int(1, 4));
    record_.record(
        "trouble",
        {{"what", "call"}, {"call", to_string(choice.call)}, {"errno", choice.error}, {"one_in", one_in}});
    fault.one_in = one_in;
    fault.error = choice.error;
    co_await loop_.sleep_for(one_in == 1 ? random_duration(50, 250) : random_duration(200, 2000));
    fault.error = 0;
  }

  io::Task<> interrupt_receives() {
    CallFault& fault = (*routers_.front().plan)->of(FaultyCall::receive);
    fault.one_in = 2;
    fault.error = EINTR;
    co_await loop_.sleep_for(500 * kMs);
    fault.error = 0;
  }

  io::Task<> shorten_transfers() {
    const FaultyCall call = random_int(0, 1) == 0 ? FaultyCall::receive : FaultyCall::send;
    CallFault& fault = (*any_router().plan)->of(call);
    record_.record("trouble", {{"what", "short transfers"}, {"call", to_string(call)}});
    fault.max_bytes = static_cast<std::uint32_t>(random_int(20, 2000));
    co_await loop_.sleep_for(random_duration(200, 2000));
    fault.max_bytes = 0;
  }

  io::Task<> step_clock() {
    static constexpr io::Nanos kSteps[] = {3600 * kSecond, -3600 * kSecond, 3 * kSecond, -3 * kSecond, 0};
    const io::Nanos step = kSteps[random_int(0, 4)];
    record_.record("trouble", {{"what", "wall clock"}, {"by_s", step / kSecond}});
    (*any_router().plan)->wall_clock_offset = step;
    co_return;
  }

  io::Task<> suspend_router() {
    Router& router = any_router();
    if (router.busy || !router.process.running()) co_return;
    const io::Nanos suspended_for = random_duration(20, 140);
    router.process.send_signal(SIGSTOP);
    record_.record("trouble",
                   {{"what", "router held up"}, {"router", router.name}, {"ms", suspended_for / kMs}});
    co_await loop_.sleep_for(suspended_for);
    router.process.send_signal(SIGCONT);
  }

  // Moves a router to another discovery agent by SIGHUP. In half of the cases the file is incomplete when the
  // signal arrives, and is completed later.
  io::Task<> reload_router() {
    Router& router = any_router();
    if (router.busy || !router.open) co_return;
    router.agent = (router.agent + 1) % kDiscoveryAgents;
    const std::string text = config_text(router);
    const bool in_halves = random_int(0, 1) == 0;
    record_.record("trouble", {{"what", "reload"}, {"router", router.name}, {"in_halves", in_halves}});
    write_file(router.config, std::string_view(text).substr(0, in_halves ? text.size() / 2 : text.size()));
    router.process.send_signal(SIGHUP);
    co_await loop_.sleep_for(random_duration(50, 600));
    write_file(router.config, text);
  }

  io::Task<> restart_router() {
    Router& router = any_router();
    if (router.busy || !router.open) co_return;
    router.busy = true;
    const bool is_graceful = random_int(0, 3) > 0;
    record_.record("trouble", {{"what", is_graceful ? "restart" : "crash"}, {"router", router.name}});
    co_await end_router(router, is_graceful);
    co_await start_router(router);
    router.busy = false;
  }

  // Sends SIGKILL and waits for the end of the process without blocking the event loop of the clients, as
  // Process::kill() would.
  io::Task<> kill_process(Process& process) {
    process.send_signal(SIGKILL);
    while (process.running()) co_await loop_.sleep_for(kMs);
  }

  io::Task<> end_router(Router& router, bool is_graceful) {
    if (!is_graceful) {
      record_.record("killed", {{"process", router.name}});
      router.open = false;
      co_await kill_process(router.process);
      co_return;
    }
    const bool sends_signal_series = random_int(0, 2) == 0;
    if (sends_signal_series) {
      router.process.send_signal(SIGHUP);
      router.process.send_signal(SIGHUP);
    }
    router.process.terminate();
    record_.record("terminated", {{"router", router.name}});
    if (sends_signal_series) {
      router.process.send_signal(SIGUSR1);
      router.process.terminate();
    }
    const io::Nanos started_at = loop_.now();
    const io::Nanos kill_after = drawn_settings_.longest_deadline_ms * kMs + kKillAfterDeadline;
    const io::Nanos new_connections_for = random_duration(200, 400);
    clients_.open_late_connections({router.name, router.address}, kLateConnections, new_connections_for);
    co_await loop_.sleep_for(new_connections_for);
    router.open = false;
    while (router.process.running() && loop_.now() - started_at < kill_after)
      co_await loop_.sleep_for(10 * kMs);
    if (router.process.running()) {
      record_.record("late_exit", {{"router", router.name}});
      co_await kill_process(router.process);
    } else if (router.process.status() != 0) {
      record_breach(fmt::format("{} ended with {}", router.name, router.process.status()));
    }
  }

  io::Task<> silence_discovery() {
    if (std::exchange(discovery_is_silent_, true)) co_return;
    record_.record("trouble", {{"what", "discovery silent"}});
    record_.record("discovery_silent", Recorder::Line::object());
    discovery_.set_silent(true);
    co_await loop_.sleep_for(random_duration(500, 6000));
    discovery_.set_silent(false);
    record_.record("discovery_up", Recorder::Line::object());
    discovery_is_silent_ = false;
  }

  io::Task<> hang_worker() {
    Worker& worker = any_worker();
    if (std::exchange(worker.busy, true)) co_return;
    const io::Nanos stopped_for = random_duration(200, 3000);
    record_.record("stopped", {{"process", worker_id(worker)}, {"for", stopped_for}});
    worker.process.send_signal(SIGSTOP);
    co_await loop_.sleep_for(stopped_for);
    worker.process.send_signal(SIGCONT);
    worker.busy = false;
  }

  // Silences links, without an error, of one worker, of the workers of one role, or of most workers. Either
  // the open connections fall silent for good, or all connections do until they pass again.
  io::Task<> silence_links() {
    const bool for_good = random_int(0, 1) == 0;
    const int extent = random_int(0, 2);
    const bool prefill_workers = random_int(0, 1) == 0;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (i == reachable_worker_ || workers_[i].links_silent) continue;
      if (extent == 0 && !chosen.empty()) continue;
      if (extent == 1 && workers_[i].is_prefill != prefill_workers) continue;
      if (extent == 2 && random_int(0, 3) == 0) continue;
      chosen.push_back(i);
    }
    record_.record("trouble", {{"what", "silent links"}, {"workers", chosen.size()}, {"for_good", for_good}});
    for (const std::size_t i : chosen) {
      Worker& worker = workers_[i];
      if (!for_good) {
        worker.links_silent = true;
        record_.record("links_cut", {{"worker", worker.name}});
      }
      worker.proxy.send_signal(for_good ? SIGUSR1 : SIGUSR2);
    }
    if (for_good) co_return;
    co_await loop_.sleep_for(random_duration(200, 2500));
    for (const std::size_t i : chosen) {
      workers_[i].proxy.send_signal(SIGHUP);
      workers_[i].links_silent = false;
      record_.record("links_pass", {{"worker", workers_[i].name}});
    }
  }

  // Kills a worker and starts one with another id in its place.
  io::Task<> replace_worker() {
    Worker& worker = any_worker();
    if (std::exchange(worker.busy, true)) co_return;
    record_.record("killed", {{"process", worker_id(worker)}});
    co_await kill_process(worker.process);
    co_await loop_.sleep_for(random_duration(100, 1500));
    put_in_discovery(worker, "removed", 0);
    ++worker.generation;
    start_worker(worker);
    co_await loop_.sleep_for(random_duration(50, 500));
    put_in_discovery(worker, "up", unix_ms());
    worker.busy = false;
  }

  io::Task<> drain_worker() {
    Worker& worker = any_worker();
    if (std::exchange(worker.busy, true)) co_return;
    put_in_discovery(worker, "draining", 0);
    record_.record("draining", {{"worker", worker_id(worker)}});
    co_await loop_.sleep_for(random_duration(7000, 9000));
    put_in_discovery(worker, "removed", 0);
    co_await kill_process(worker.process);
    ++worker.generation;
    start_worker(worker);
    put_in_discovery(worker, "up", unix_ms());
    worker.busy = false;
  }

  // Evaluation.

  std::vector<Recorder::Line> read_records() const {
    std::vector<Recorder::Line> out;
    for (const auto& entry : files::directory_iterator(options_.folder)) {
      if (entry.path().extension() != ".jsonl") continue;
      std::ifstream file(entry.path());
      for (std::string line; std::getline(file, line);) {
        // A killed process may leave an incomplete line.
        auto parsed = Recorder::Line::parse(line, nullptr, false);
        if (parsed.is_object()) out.push_back(std::move(parsed));
      }
    }
    return out;
  }

  void count_router_violations() {
    for (const Router& router : routers_) {
      std::ifstream log(path_in_folder(router.name + ".log"));
      for (std::string line; std::getline(log, line);) {
        if (line.find("\"event\":\"invariant violated\"") == std::string::npos) continue;
        ++result_.router_violations;
        result_.check_result.breaches.push_back(router.name + " logged an invariant violation: " + line);
      }
    }
  }

  SoakOptions options_;
  io::Loop loop_;
  std::mt19937_64 random_;
  Recorder record_;
  Discovery discovery_;
  std::deque<Router> routers_;
  std::deque<Worker> workers_;
  DrawnSettings drawn_settings_;
  Clients clients_;
  CueReceiver cues_;
  std::vector<std::unique_ptr<IdleCrowd>> idle_crowds_;  // one for each router, in seeds that draw them
  bool discovery_is_silent_{};
  std::size_t reachable_worker_{};  // index of the worker that keeps running and whose links always pass
  SoakResult result_;
  io::Scope scope_;
};

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
  files::create_directories(options.folder);
  return Conductor(options).run();
}

}  // namespace cressrill::rig::soak
