#include "conductor.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/mman.h>
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
#include "rig/fault_plan.h"
#include "rig/process.h"

namespace cressrill::rig::soak {

using io::kMs;
using io::kSecond;
using nlohmann::json;
namespace files = std::filesystem;

namespace {

constexpr io::Nanos kReadyWithin = 10 * kSecond;
constexpr io::Nanos kKillAfterDeadline =
    700 * kMs;  // SIGKILL comes the longest deadline and so long after SIGTERM
constexpr std::size_t kAgents = 2;
constexpr int kClients = 24;
constexpr int kPressing = 12;  // connections that clients open to a router that has been told to end
constexpr int kIdleClients =
    140;  // of a crowd, each router: more than the 115 that its descriptors leave for clients
constexpr int kDescriptors = 256;

// What differs from seed to seed.
struct DrawnSettings {
  int pin_limit_ms{};
  int window_ms{};
  bool parallel_tries{};
  bool cancelling{};
  bool holds_allowed{};
  int longest_deadline_ms{};
  bool crowd{};  // of idle clients
};

json settings(int routers, const DrawnSettings& drawn) {
  json out = json::parse(R"({"azs":["east","west"],"models":["prefill","decode"],"locality":0,
    "granularityMs":2.0,"discovery":"automatic",
    "caps":{"attemptsCap":6,"cancelling":true,"parallelTries":true,"retryAfter":true,"maxRetryAfterMs":400.0,
            "connIdleMs":8000.0,"dialTimeoutMs":250.0},
    "familyInfo":{"dutyByKind":["read","write"],"memoryTokens":[100000,100000],"pinLimitMs":1000.0,
                  "aimUsPer1000PromptTokens":[40000.0,40000.0,40000.0],"reportX0":"share of memory that is held"},
    "obligations":{"coldFrom":0.25,"rampTimeMs":4000.0,"fallMultiple":4.0,"fallMs":3000.0,
                   "stopSendingWithinMs":500.0},
    "services":[{"effect":"retryable","group":"all","goalTimeMs":1500.0,"worth":1.0,"name":"chat"},
                {"effect":"dedup","group":"all","windowMs":1500.0,"goalTimeMs":1500.0,"worth":1.0,"name":"order"},
                {"effect":"fragile","group":"all","goalTimeMs":1500.0,"worth":1.0,"name":"pay"}],
    "stats":{"columns":["concurrent","x0"],"via":"inline"},
    "tenants":[{"allowancePerS":1000.0,"name":"acme"}]})");
  out["instances"] = routers;
  out["familyInfo"]["pinLimitMs"] = drawn.pin_limit_ms;
  out["familyInfo"]["holdsAllowed"] = drawn.holds_allowed;
  out["caps"]["parallelTries"] = drawn.parallel_tries;
  out["caps"]["cancelling"] = drawn.cancelling;
  out["services"][1]["windowMs"] = drawn.window_ms;
  return out;
}

// A fault plan in a file that a router maps as well.
class SharedPlan {
 public:
  explicit SharedPlan(std::string path) : path_(std::move(path)) {
    const int descriptor = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0 || ::ftruncate(descriptor, sizeof(FaultPlan)) != 0)
      throw std::system_error(errno, std::generic_category(), path_);
    void* memory = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (memory == MAP_FAILED) throw std::system_error(errno, std::generic_category(), path_);
    plan_ = static_cast<FaultPlan*>(memory);
  }
  ~SharedPlan() { ::munmap(plan_, sizeof(FaultPlan)); }
  SharedPlan(const SharedPlan&) = delete;
  SharedPlan& operator=(const SharedPlan&) = delete;
  FaultPlan* operator->() { return plan_; }
  const std::string& path() const { return path_; }
  std::uint64_t injected() const {
    std::uint64_t sum = 0;
    for (const CallFault& fault : plan_->calls) sum += fault.injected;
    return sum;
  }

 private:
  std::string path_;
  FaultPlan* plan_{};
};

struct Router {
  std::string name;
  io::Address address;
  std::string config;
  std::unique_ptr<SharedPlan> plan;
  Process process;
  std::size_t agent{};
  bool open{};  // clients are sent here
  bool busy{};  // a trouble ends or starts it
};

struct Worker {
  std::string name;
  int generation{};
  bool reads{};
  io::Address own, proxied;
  Process process, proxy;
  bool busy{};
  bool cut{};  // all its links are silent
};

class Conductor {
 public:
  explicit Conductor(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        record_(loop_, options.folder + "/conductor.jsonl"),
        discovery_(loop_, kAgents),
        drawn_(draw_settings()),
        clients_(loop_, record_, options.seed + 1, drawn_.longest_deadline_ms,
                 [this] { return open_door(); }),
        cues_(loop_, [this](Cue cue, const std::string& id) { clients_.cued(cue, id); }),
        scope_(loop_) {
    in_reach_ = static_cast<std::size_t>(between(0, options_.workers - 1));
    record_.note("settings", {{"pin_limit_ms", drawn_.pin_limit_ms},
                              {"window_ms", drawn_.window_ms},
                              {"parallel_tries", drawn_.parallel_tries},
                              {"cancelling", drawn_.cancelling},
                              {"longest_deadline_ms", drawn_.longest_deadline_ms},
                              {"crowd", drawn_.crowd}});
  }

  SoakResult run() {
    start_all();
    bool over = false;
    scope_.spawn(whole(over));
    loop_.run_until([&] { return over; });
    scope_.cancel();
    for (Router& r : routers_) result_.faults_injected += r.plan->injected();
    for (Worker& w : workers_) w.process.kill(), w.proxy.kill();
    for (Router& r : routers_) r.process.kill();
    result_.judgement =
        check(read_records(), {.held_for = drawn_.pin_limit_ms * kMs, .window = drawn_.window_ms * kMs});
    count_router_violations();
    return std::move(result_);
  }

 private:
  DrawnSettings draw_settings() {
    static constexpr int kPinLimits[] = {300, 500, 1000}, kLongestDeadlines[] = {1200, 2000, 3000};
    DrawnSettings out;
    out.pin_limit_ms = kPinLimits[between(0, 2)];
    out.window_ms = between(800, 2500);
    out.parallel_tries = between(0, 3) > 0, out.cancelling = between(0, 3) > 0;
    out.holds_allowed = between(0, 1) == 0;
    out.longest_deadline_ms = kLongestDeadlines[between(0, 2)];
    out.crowd = between(0, 2) == 0;
    return out;
  }
  int between(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  io::Nanos span(int from_ms, int to_ms) { return between(from_ms, to_ms) * kMs; }
  std::string in_folder(const std::string& name) const { return options_.folder + "/" + name; }

  io::Address free_address() {
    io::Listener port(loop_, {INADDR_LOOPBACK, 0});
    return port.address();
  }

  void start_all() {
    for (int i = 0; i < options_.workers; ++i) {
      Worker& w = workers_.emplace_back();
      w.reads = i < options_.workers / 2;
      w.name = fmt::format("{}-{}", w.reads ? "prefill" : "decode", i);
      w.own = free_address(), w.proxied = free_address();
      start_worker(w);
      w.proxy = Process({options_.soak_program, "proxy", "--listen", w.proxied.to_string(), "--target",
                         w.own.to_string(), "--seed", std::to_string(random_() >> 1)},
                        in_folder(w.name + "-proxy.log"));
      list(w, "up", 0);
    }
    for (int i = 0; i < options_.routers; ++i) {
      Router& r = routers_.emplace_back();
      r.name = fmt::format("router-{}", i);
      r.address = free_address();
      r.config = in_folder(r.name + ".json");
      r.plan = std::make_unique<SharedPlan>(in_folder(r.name + ".plan"));
      scope_.spawn(start_router(r));
    }
  }

  std::string id_of(const Worker& w) const { return fmt::format("{}-{}", w.name, w.generation); }
  void start_worker(Worker& w) {
    w.process = Process({options_.soak_program, "worker", "--name", id_of(w), "--listen", w.own.to_string(),
                         "--record", in_folder(w.name + ".jsonl"), "--seed", std::to_string(random_() >> 1),
                         "--cues", cues_.address().to_string(), w.reads ? "--prefill" : "--decode"},
                        in_folder(w.name + ".log"));
  }
  void list(const Worker& w, const char* state, std::int64_t boot_ms) {
    discovery_.put({{"uid", id_of(w)},
                    {"endpoint", w.proxied.to_string()},
                    {"az", "east"},
                    {"model", w.reads ? "prefill" : "decode"},
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

  std::string config_of(const Router& r) const {
    return json{{"name", r.name},
                {"listen", r.address.to_string()},
                {"discovery", discovery_.address(r.agent).to_string()},
                {"seed", fmt::format("{:x}", options_.seed + r.address.port)},
                {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", kDescriptors}}},
                {"settings", settings(options_.routers, drawn_)}}
        .dump();
  }
  static void write_file(const std::string& path, std::string_view text) {
    std::ofstream(path, std::ios::trunc) << text;
  }

  // Until it answers that it is ready.
  io::Task<> start_router(Router& r) {
    write_file(r.config, config_of(r));
    ::setenv("EDGE_CONFIG", r.config.c_str(), 1);
    ::setenv("LD_PRELOAD", options_.shim.c_str(), 1);
    ::setenv(kFaultPlanVariable, r.plan->path().c_str(), 1);
    r.process =
        Process({options_.router_program, "--platform", "--log-level", "info"}, in_folder(r.name + ".log"));
    ::unsetenv("LD_PRELOAD");
    const io::Nanos began = loop_.now();
    while (!r.open) {
      auto pool = std::make_shared<http::Pool>(loop_, r.address);
      const auto got =
          co_await io::with_deadline(loop_, loop_.now() + 500 * kMs,
                                     http::exchange(pool, http::format_request("GET", "/up", "h", "", "")));
      r.open = got && got->head.status == 200;
      if (!r.open) co_await loop_.sleep_for(20 * kMs);
      if (!r.process.running()) {
        breach(fmt::format("{} ended by itself as it started: {}", r.name, r.process.status()));
        co_return;
      }
      if (loop_.now() - began > kReadyWithin) {
        breach(fmt::format("{} is not ready after 10 s", r.name));
        co_return;
      }
    }
  }

  void breach(const std::string& what) { record_.note("breach", {{"what", what}}); }

  std::optional<Door> open_door() {
    std::vector<const Router*> open;
    for (const Router& r : routers_)
      if (r.open) open.push_back(&r);
    if (open.empty()) return std::nullopt;
    const Router& r = *open[static_cast<std::size_t>(between(0, static_cast<int>(open.size()) - 1))];
    return Door{r.name, r.address};
  }

  io::Task<> whole(bool& over) {
    while (!std::ranges::all_of(routers_, &Router::open)) co_await loop_.sleep_for(50 * kMs);
    clients_.start(kClients);
    scope_.spawn(look_at_routers());
    if (drawn_.crowd) gather_crowd();
    const io::Nanos until = loop_.now() + options_.length;
    io::Scope troubles(loop_);
    troubles.spawn(interrupt_reads());  // so that no play goes without a call that fails
    while (loop_.now() < until) {
      co_await loop_.sleep_for(span(100, 700));
      ++result_.troubles;
      troubles.spawn(trouble());
    }
    while (!troubles.empty()) co_await loop_.sleep_for(20 * kMs);
    if (!crowds_.empty()) record_.note("crowd_gone", Recorder::Line::object());
    crowds_.clear();
    clients_.stop();
    while (clients_.running() > 0) co_await loop_.sleep_for(20 * kMs);
    co_await loop_.sleep_for(2 * kSecond);  // for what is still held
    for (Router& r : routers_) co_await end_router(r, true);
    over = true;
  }

  void gather_crowd() {
    record_.note("crowd_came", Recorder::Line::object());
    for (const Router& r : routers_) {
      const auto address = [&r] { return r.open ? std::optional(r.address) : std::nullopt; };
      crowds_.push_back(std::make_unique<IdleCrowd>(loop_, random_(), kIdleClients, address));
    }
  }

  // Descriptors and memory, and whether all that should run does.
  io::Task<> look_at_routers() {
    for (;;) {
      co_await loop_.sleep_for(200 * kMs);
      for (Router& r : routers_) {
        if (!r.open || r.busy) continue;
        if (!r.process.running()) {
          breach(fmt::format("{} ended by itself: {}", r.name, r.process.status()));
          r.open = false;
          continue;
        }
        std::error_code error;
        const auto folder = files::directory_iterator(fmt::format("/proc/{}/fd", r.process.pid()), error);
        if (error) continue;
        const auto descriptors = static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
        if (descriptors > kDescriptors) breach(fmt::format("{} holds {} descriptors", r.name, descriptors));
        result_.most_descriptors = std::max(result_.most_descriptors, descriptors);
        std::ifstream pages(fmt::format("/proc/{}/statm", r.process.pid()));
        std::size_t all = 0, resident = 0;
        if (pages >> all >> resident) result_.most_memory_kb = std::max(result_.most_memory_kb, resident * 4);
      }
    }
  }

  // Troubles: each begins one thing and ends it.

  io::Task<> trouble() {
    switch (between(0, 15)) {
      case 0:
      case 1:
      case 2:
        return fail_call();
      case 3:
        return step_clock();
      case 4:
        return hold_up_router();
      case 5:
        return move_discovery();
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

  Router& any_router() { return routers_[static_cast<std::size_t>(between(0, options_.routers - 1))]; }
  // Any but the one that stays in reach: with no worker in reach nothing can be released, whatever a router does.
  Worker& any_worker() {
    const std::size_t drawn = static_cast<std::size_t>(between(0, options_.workers - 2));
    return workers_[drawn + (drawn >= in_reach_)];
  }

  // A call that always fails does so for a moment; one that fails at times may do so for seconds.
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
        kChoices[static_cast<std::size_t>(between(0, static_cast<int>(std::size(kChoices)) - 1))];
    CallFault& fault = (*any_router().plan)->of(choice.call);
    const auto one_in = static_cast<std::uint32_t>(between(1, 4));
    record_.note(
        "trouble",
        {{"what", "call"}, {"call", word(choice.call)}, {"errno", choice.error}, {"one_in", one_in}});
    fault.one_in = one_in;
    fault.error = choice.error;
    co_await loop_.sleep_for(one_in == 1 ? span(50, 250) : span(200, 2000));
    fault.error = 0;
  }

  io::Task<> interrupt_reads() {
    CallFault& fault = (*routers_.front().plan)->of(FaultyCall::receive);
    fault.one_in = 2;
    fault.error = EINTR;
    co_await loop_.sleep_for(500 * kMs);
    fault.error = 0;
  }

  io::Task<> shorten_transfers() {
    const FaultyCall call = between(0, 1) == 0 ? FaultyCall::receive : FaultyCall::send;
    CallFault& fault = (*any_router().plan)->of(call);
    record_.note("trouble", {{"what", "short transfers"}, {"call", word(call)}});
    fault.most_bytes = static_cast<std::uint32_t>(between(20, 2000));
    co_await loop_.sleep_for(span(200, 2000));
    fault.most_bytes = 0;
  }

  io::Task<> step_clock() {
    static constexpr io::Nanos kSteps[] = {3600 * kSecond, -3600 * kSecond, 3 * kSecond, -3 * kSecond, 0};
    const io::Nanos step = kSteps[between(0, 4)];
    record_.note("trouble", {{"what", "wall clock"}, {"by_s", step / kSecond}});
    (*any_router().plan)->wall_clock_offset = step;
    co_return;
  }

  io::Task<> hold_up_router() {
    Router& r = any_router();
    if (r.busy || !r.process.running()) co_return;
    const io::Nanos span_held = span(20, 140);
    ::kill(r.process.pid(), SIGSTOP);
    record_.note("trouble", {{"what", "router held up"}, {"router", r.name}, {"ms", span_held / kMs}});
    const int pid = r.process.pid();
    co_await loop_.sleep_for(span_held);
    ::kill(pid, SIGCONT);
  }

  io::Task<> move_discovery() {
    Router& r = any_router();
    if (r.busy || !r.open) co_return;
    r.agent = (r.agent + 1) % kAgents;
    const std::string text = config_of(r);
    const bool in_halves = between(0, 1) == 0;
    record_.note("trouble", {{"what", "reload"}, {"router", r.name}, {"in_halves", in_halves}});
    write_file(r.config, std::string_view(text).substr(0, in_halves ? text.size() / 2 : text.size()));
    if (r.process.running()) ::kill(r.process.pid(), SIGHUP);
    co_await loop_.sleep_for(span(50, 600));
    write_file(r.config, text);
  }

  io::Task<> restart_router() {
    Router& r = any_router();
    if (r.busy || !r.open) co_return;
    r.busy = true;
    const bool planned = between(0, 3) > 0;
    record_.note("trouble", {{"what", planned ? "restart" : "crash"}, {"router", r.name}});
    co_await end_router(r, planned);
    co_await start_router(r);
    r.busy = false;
  }

  io::Task<> end_router(Router& r, bool planned) {
    if (!planned) {
      record_.note("killed", {{"process", r.name}});
      r.process.kill();
      r.open = false;
      co_return;
    }
    const bool in_series = between(0, 2) == 0;
    if (in_series) ::kill(r.process.pid(), SIGHUP), ::kill(r.process.pid(), SIGHUP);
    r.process.terminate();
    record_.note("terminated", {{"router", r.name}});
    if (in_series) ::kill(r.process.pid(), SIGUSR1), r.process.terminate();
    const io::Nanos began = loop_.now();
    const io::Nanos kill_after = drawn_.longest_deadline_ms * kMs + kKillAfterDeadline;
    const io::Nanos front_notices = span(200, 400);
    clients_.press({r.name, r.address}, kPressing, front_notices);
    co_await loop_.sleep_for(front_notices);
    r.open = false;
    while (r.process.running() && loop_.now() - began < kill_after) co_await loop_.sleep_for(10 * kMs);
    if (r.process.running()) {
      record_.note("late_exit", {{"router", r.name}});
      r.process.kill();
    } else if (r.process.status() != 0) {
      breach(fmt::format("{} ended with {}", r.name, r.process.status()));
    }
  }

  io::Task<> silence_discovery() {
    if (std::exchange(silent_, true)) co_return;
    record_.note("trouble", {{"what", "discovery silent"}});
    record_.note("discovery_silent", Recorder::Line::object());
    discovery_.silence(true);
    co_await loop_.sleep_for(span(500, 6000));
    discovery_.silence(false);
    record_.note("discovery_up", Recorder::Line::object());
    silent_ = false;
  }

  io::Task<> hang_worker() {
    Worker& w = any_worker();
    if (std::exchange(w.busy, true)) co_return;
    const io::Nanos hung_for = span(200, 3000);
    record_.note("stopped", {{"process", id_of(w)}, {"for", hung_for}});
    ::kill(w.process.pid(), SIGSTOP);
    co_await loop_.sleep_for(hung_for);
    ::kill(w.process.pid(), SIGCONT);
    w.busy = false;
  }

  // Links fall silent with no error, of one worker, of one role, or of most: the connections that are open, for good, or all
  // of them until they pass again.
  io::Task<> silence_links() {
    const bool for_good = between(0, 1) == 0;
    const int scope = between(0, 2);
    const bool reads = between(0, 1) == 0;
    std::vector<std::size_t> cut;
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      if (i == in_reach_ || workers_[i].cut) continue;
      if (scope == 0 && !cut.empty()) continue;
      if (scope == 1 && workers_[i].reads != reads) continue;
      if (scope == 2 && between(0, 3) == 0) continue;
      cut.push_back(i);
    }
    record_.note("trouble", {{"what", "silent links"}, {"workers", cut.size()}, {"for_good", for_good}});
    for (const std::size_t i : cut) {
      Worker& w = workers_[i];
      if (!for_good) w.cut = true, record_.note("links_cut", {{"worker", w.name}});
      ::kill(w.proxy.pid(), for_good ? SIGUSR1 : SIGUSR2);
    }
    if (for_good) co_return;
    co_await loop_.sleep_for(span(200, 2500));
    for (const std::size_t i : cut) {
      ::kill(workers_[i].proxy.pid(), SIGHUP);
      workers_[i].cut = false;
      record_.note("links_pass", {{"worker", workers_[i].name}});
    }
  }

  // It dies, and one under another id takes its place.
  io::Task<> replace_worker() {
    Worker& w = any_worker();
    if (std::exchange(w.busy, true)) co_return;
    record_.note("killed", {{"process", id_of(w)}});
    w.process.kill();
    co_await loop_.sleep_for(span(100, 1500));
    list(w, "removed", 0);
    ++w.generation;
    start_worker(w);
    co_await loop_.sleep_for(span(50, 500));
    list(w, "up", unix_ms());
    w.busy = false;
  }

  io::Task<> drain_worker() {
    Worker& w = any_worker();
    if (std::exchange(w.busy, true)) co_return;
    list(w, "draining", 0);
    record_.note("draining", {{"worker", id_of(w)}});
    co_await loop_.sleep_for(span(7000, 9000));
    list(w, "removed", 0);
    w.process.kill();
    ++w.generation;
    start_worker(w);
    list(w, "up", unix_ms());
    w.busy = false;
  }

  // The end.

  std::vector<Recorder::Line> read_records() const {
    std::vector<Recorder::Line> out;
    for (const auto& entry : files::directory_iterator(options_.folder)) {
      if (entry.path().extension() != ".jsonl") continue;
      std::ifstream file(entry.path());
      for (std::string line; std::getline(file, line);) {
        auto parsed = Recorder::Line::parse(line, nullptr, false);  // a killed process may leave half a line
        if (parsed.is_object()) out.push_back(std::move(parsed));
      }
    }
    return out;
  }

  void count_router_violations() {
    for (const Router& r : routers_) {
      std::ifstream log(in_folder(r.name + ".log"));
      for (std::string line; std::getline(log, line);) {
        if (line.find("\"event\":\"invariant violated\"") == std::string::npos) continue;
        ++result_.router_violations;
        result_.judgement.breaches.push_back(r.name + " counted itself: " + line);
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
  DrawnSettings drawn_;
  Clients clients_;
  CueReceiver cues_;
  std::vector<std::unique_ptr<IdleCrowd>> crowds_;  // one a router, in seeds that have them
  bool silent_{};
  std::size_t in_reach_{};  // this worker runs, and its links pass, from beginning to end
  SoakResult result_;
  io::Scope scope_;
};

}  // namespace

SoakResult run_soak(const SoakOptions& options) {
  files::create_directories(options.folder);
  return Conductor(options).run();
}

}  // namespace cressrill::rig::soak
