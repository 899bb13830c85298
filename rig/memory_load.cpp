#include "memory_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

#include "http/client.h"
#include "http/server.h"
#include "process.h"
#include "soak/discovery.h"
#include "stand_in_settings.h"

namespace cressrill::rig {

using io::kMs;
using io::kSecond;
using nlohmann::json;

namespace {

constexpr std::size_t kLargeBodyBytes = 250'000;
constexpr std::size_t kUsualBodyBytes = 9'000;
constexpr std::size_t kMissingBytes = 200;
constexpr std::size_t kSlowPieceBytes = 40'000;
constexpr std::size_t kLargeEventBytes = 16'000;
constexpr int kLargeEvents = 500;  // 8 MB
constexpr int kUsualBudgetMs = 2000;
constexpr io::Nanos kResponseSlack = 500 * kMs;
constexpr io::Nanos kSampleInterval = 10 * kMs;
constexpr io::Nanos kReconnectPause = 50 * kMs;
constexpr int kWorkersOfEachRole = 4;

std::string large_event() {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + std::string(kLargeEventBytes, 'x') +
         "\"}}]}\n\n";
}

// A stand-in for a worker. Requests whose id begins with "slow" get a response of 8 MB.
class MemoryLoadWorker {
 public:
  MemoryLoadWorker(io::Loop& loop, bool prefill, BadPeer kind)
      : loop_(loop),
        is_prefill_(prefill),
        kind_(kind),
        server_(loop, {INADDR_LOOPBACK, 0}, [this](http::Request& request, http::ResponseWriter& response) {
          return serve(request, response);
        }) {}
  const io::Address& address() const { return server_.address(); }

 private:
  io::Task<> serve(http::Request& request, http::ResponseWriter& response) {
    if (request.head.method == "DELETE") {
      co_await response.respond(204, "", "");
      co_return;
    }
    const std::string id(request.head.field("x-call-id").value_or(""));
    co_await loop_.sleep_for(10 * kMs);
    if (is_prefill_)
      co_await prefill(response);
    else
      co_await decode(id.starts_with("slow"), response);
  }
  // Every third response of the kind "endless_prefill" does not end.
  io::Task<> prefill(http::ResponseWriter& response) {
    if (kind_ != BadPeer::endless_prefill || ++responses_ % 3 != 0) {
      co_await response.respond(202, "", "{\"cached_tokens\":128}");
      co_return;
    }
    if (!co_await response.begin_stream(202, "")) co_return;
    const std::string piece(kLargeEventBytes, ' ');
    while (co_await response.write_chunk(piece)) co_await loop_.sleep_for(kMs);
  }
  io::Task<> decode(bool large, http::ResponseWriter& response) {
    if (!co_await response.begin_stream(200, "content-type: text/event-stream\r\n")) co_return;
    if (kind_ == BadPeer::large_events && ++responses_ % 3 == 0) {
      const std::string part(4'000, 'x');
      co_await response.write_chunk("data: ");
      while (co_await response.write_chunk(part)) co_await loop_.sleep_for(200 * kMs);
      co_return;
    }
    const std::string event = large ? large_event() : "data: {\"choices\":[{\"index\":0,\"delta\":{}}]}\n\n";
    const int events = large ? kLargeEvents : 5;
    for (int i = 0; i < events; ++i) {
      if (!co_await response.write_chunk(event)) co_return;
      if (!large) co_await loop_.sleep_for(5 * kMs);
    }
    co_await response.end_stream("data: [DONE]\n\n");
  }

  io::Loop& loop_;
  bool is_prefill_;
  BadPeer kind_;
  int responses_{};
  http::Server server_;
};

class MemoryLoad {
 public:
  explicit MemoryLoad(const MemoryLoadOptions& options)
      : options_(options), discovery_(loop_, 1), bad_scope_(loop_), scope_(loop_) {
    for (int i = 0; i < 2 * kWorkersOfEachRole; ++i) {
      const bool prefill = i % 2 == 0;
      workers_.push_back(std::make_unique<MemoryLoadWorker>(loop_, prefill, options.kind));
      discovery_.put({{"uid", fmt::format("w{}", i)},
                      {"endpoint", workers_.back()->address().to_string()},
                      {"az", "east"},
                      {"model", prefill ? "prefill" : "decode"},
                      {"pod_group", 3},
                      {"state", "up"},
                      {"capacity_hint", 1.0},
                      {"boot_ms", 0}});
    }
    io::Listener free_port(loop_, {INADDR_LOOPBACK, 0});
    router_address_ = free_port.address();
  }

  MemoryLoadResult run() {
    write_config();
    bool finished = false;
    scope_.spawn(sample_memory());
    scope_.spawn(play(finished));
    loop_.run_until([&] { return finished; });
    scope_.cancel();
    bad_scope_.cancel();
    router_.kill();
    std::ranges::sort(times_);
    if (!times_.empty()) {
      result_.median = times_[times_.size() / 2];
      result_.p99 = times_[times_.size() * 99 / 100];
      result_.longest = times_.back();
    }
    return result_;
  }

 private:
  std::string config_path() const { return options_.folder + "/memory-load.json"; }
  void write_config() const {
    json settings = stand_in_settings();
    settings["instances"] = 1;
    settings["familyInfo"]["holdsAllowed"] = false;
    std::ofstream(config_path()) << json{
        {"name", "n0"},
        {"listen", router_address_.to_string()},
        {"discovery", discovery_.address(0).to_string()},
        {"seed", "1"},
        {"limits", {{"cores", 1.0}, {"memory_mb", options_.memory_mb}, {"sockets", options_.descriptors}}},
        {"settings", settings}};
  }
  void start_router() {
    ::setenv("EDGE_CONFIG", config_path().c_str(), 1);
    router_ = Process({options_.router_program, "--platform"}, options_.folder + "/memory-load.log");
    is_up_ = true;
  }

  // Private resident memory of the router, from its start on.
  io::Task<> sample_memory() {
    for (;;) {
      co_await loop_.sleep_for(kSampleInterval);
      if (!is_up_) continue;
      if (!router_.running()) {
        ++result_.exits;
        start_router();
      }
      std::ifstream file(fmt::format("/proc/{}/smaps_rollup", router_.pid()));
      std::size_t private_kb = 0;
      for (std::string line; std::getline(file, line);)
        if (line.starts_with("Private_Clean:") || line.starts_with("Private_Dirty:"))
          private_kb += std::stoul(line.substr(line.find(':') + 1));
      result_.peak_kb = std::max(result_.peak_kb, private_kb);
    }
  }

  io::Task<> play(bool& finished) {
    if (options_.from_start) start_bad_peers();
    start_router();
    co_await wait_until_ready();
    if (options_.from_start) {
      is_up_ = false;
      router_.kill();
      start_router();
      co_await wait_until_ready();
    } else {
      start_bad_peers();
    }
    const io::Nanos until = loop_.now() + options_.duration;
    const io::Nanos interval = kSecond / options_.usual_requests_per_second;
    for (int i = 0; loop_.now() < until; ++i) {
      scope_.spawn(usual_client(i));
      co_await loop_.sleep_for(interval);
    }
    while (open_usual_ > 0) co_await loop_.sleep_for(10 * kMs);
    is_up_ = false;
    finished = true;
  }

  io::Task<> wait_until_ready() {
    for (;;) {
      const auto response =
          co_await io::with_deadline(loop_, loop_.now() + 500 * kMs,
                                     http::exchange(std::make_shared<http::Pool>(loop_, router_address_),
                                                    http::format_request("GET", "/up", "h", "", "")));
      if (response && response->head.status == 200) co_return;
      co_await loop_.sleep_for(10 * kMs);
    }
  }

  static std::string request_head(const std::string& id, int budget_ms, std::size_t body_bytes,
                                  const std::string& fields = "") {
    return fmt::format(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-Id: {}\r\nX-Call-Class: chat\r\n"
        "X-Caller: acme\r\nX-Budget-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
        id, budget_ms, fields, body_bytes);
  }
  static std::string request_body(std::size_t bytes) {
    const std::string before = R"({"model":"chat","stream":true,"messages":[{"role":"user","content":")";
    const std::string after = "\"}]}";
    return before + std::string(bytes - before.size() - after.size(), 'w') + after;
  }
  static std::string short_fields(int count) {
    std::string fields;
    for (int i = 0; i < count; ++i) fields += "x:\r\n";
    return fields;
  }

  // Usual clients.

  io::Task<> usual_client(int number) {
    ++open_usual_;
    const io::Nanos started_at = loop_.now();
    const io::Nanos give_up_at = started_at + kUsualBudgetMs * kMs + kResponseSlack;
    const auto status = co_await io::with_deadline(loop_, give_up_at + 5 * kSecond, send_usual(number));
    const io::Nanos time = loop_.now() - started_at;
    const bool refused = status && (*status == 503 || *status == 429);
    if (status && *status == 200) {
      ++result_.answered;
      times_.push_back(time);
    } else if (refused && loop_.now() <= give_up_at) {
      ++result_.refused;
    } else if (status && *status != 0 && loop_.now() <= give_up_at && workers_fail()) {
      ++result_.refused;  // failed in time, after a spoilt response of a worker
    } else {
      ++result_.lost;
      fmt::print(stderr, "u{}: {} after {} ms\n", number, status ? std::to_string(*status) : "no end",
                 time / kMs);
    }
    --open_usual_;
  }
  bool workers_fail() const {
    return options_.kind == BadPeer::endless_prefill || options_.kind == BadPeer::large_events;
  }
  // The status, or 0 if there was no complete response.
  io::Task<int> send_usual(int number) {
    io::Socket socket;
    if (!(co_await io::connect(loop_, router_address_, socket)).ok()) co_return 0;
    const std::string body = request_body(kUsualBodyBytes);
    const std::string text = request_head(fmt::format("u{}", number), kUsualBudgetMs, body.size()) + body;
    if (!(co_await socket.write_all(text)).ok()) co_return 0;
    http::MessageReader reader(socket, http::MessageKind::response);
    http::Head head;
    if (co_await reader.read_head(head) != http::MessageError::none) co_return 0;
    const int status = head.status;
    std::string answer;
    const bool complete = co_await reader.read_body(answer) == http::MessageError::none;
    co_return complete || (status == 200 && workers_fail()) ? status : 0;
  }

  // Bad peers.

  void start_bad_peers() {
    if (options_.kind == BadPeer::none || workers_fail()) return;
    static constexpr BadPeer kMixed[] = {BadPeer::unfinished_body, BadPeer::slow_body, BadPeer::many_fields,
                                         BadPeer::some_fields, BadPeer::slow_reader};
    for (int i = 0; i < options_.bad_peers; ++i) {
      const bool mixed = options_.kind == BadPeer::mixed;
      bad_scope_.spawn(bad_peer(mixed ? kMixed[i % 5] : options_.kind, i));
    }
  }
  io::Task<> bad_peer(BadPeer kind, int number) {
    for (int turn = 0;; ++turn) {
      io::Socket socket;
      const auto connected = co_await io::connect(loop_, router_address_, socket);
      if (connected.ok()) {
        co_await misbehave(socket, kind, fmt::format("{}-{}", number, turn));
        if (!options_.come_again && !options_.from_start) co_return;
      }
      co_await loop_.sleep_for(kReconnectPause);
    }
  }
  io::Task<> misbehave(io::Socket& socket, BadPeer kind, const std::string& id) {
    const std::string body = request_body(kLargeBodyBytes);
    const std::string head = request_head("bad" + id, 8000, body.size());
    switch (kind) {
      case BadPeer::unfinished_body:
        co_await socket.write_all(head + body.substr(kMissingBytes));
        break;
      case BadPeer::slow_body:
        co_await socket.write_all(head);
        for (std::size_t at = 0; at + kSlowPieceBytes < body.size(); at += kSlowPieceBytes) {
          if (!(co_await socket.write_all(body.substr(at, kSlowPieceBytes))).ok()) break;
          co_await loop_.sleep_for(400 * kMs);
        }
        break;
      case BadPeer::many_fields:
        co_await socket.write_all(request_head("bad" + id, 8000, 10, short_fields(15'500)));
        break;
      case BadPeer::some_fields:
        co_await socket.write_all("POST /v1/chat/completions HTTP/1.1\r\n" + short_fields(2'000));
        break;
      case BadPeer::slow_reader:
        co_return co_await read_slowly(socket, id);
      default:
        break;
    }
    co_await socket.wait_for_peer_close();
  }
  io::Task<> read_slowly(io::Socket& socket, const std::string& id) {
    const std::string body = request_body(kUsualBodyBytes);
    co_await socket.write_all(request_head("slow" + id, 8000, body.size()) + body);
    char buffer[100];
    for (;;) {
      const io::IoResult result = co_await socket.read_some(buffer);
      if (!result.ok() || result.bytes == 0) co_return;
      co_await loop_.sleep_for(200 * kMs);
    }
  }

  MemoryLoadOptions options_;
  io::Loop loop_;
  soak::Discovery discovery_;
  std::vector<std::unique_ptr<MemoryLoadWorker>> workers_;
  io::Address router_address_;
  Process router_;
  bool is_up_{};
  int open_usual_{};
  std::vector<io::Nanos> times_;
  MemoryLoadResult result_;
  io::Scope bad_scope_;
  io::Scope scope_;
};

}  // namespace

const char* to_string(BadPeer kind) {
  static constexpr const char* names[] = {"none",        "unfinished_body", "slow_body",
                                          "many_fields", "some_fields",     "slow_reader",
                                          "mixed",       "endless_prefill", "large_events"};
  return names[static_cast<std::size_t>(kind)];
}

MemoryLoadResult run_memory_load(const MemoryLoadOptions& options) { return MemoryLoad(options).run(); }

}  // namespace cressrill::rig
