// Test fixture for the platform protocol: one router node with fake workers, a fake discovery agent and
// clients, all in one process, over loopback and in simulated time. The fakes are written from the
// description of the protocol.
#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "loopback.h"
#include "platform/node.h"

namespace cressrill::testing {

using io::kMs;
using nlohmann::json;

// How a fake worker responds to one request, in place of its default response.
struct ScriptedResponse {
  // What the worker does after `response` is sent. hang: the attempt stays active and its connection open.
  // end_silently: the attempt ends at the worker but its connection stays open, so the router does not
  // notice; a `late_response` counts as sent before that end.
  enum class Finish { keep_alive, close, reset, hang, end_silently };
  std::string response;  // raw bytes
  Finish finish{Finish::keep_alive};
  io::Nanos delay{};               // before the response
  bool use_default{};              // default response after `delay`; only leaves_kv_on_disconnect applies too
  bool leaves_kv{};                // stores the request's KV cache at this worker before the response
  std::string late_response{};     // more raw bytes, sent `late_delay` after `response`
  io::Nanos late_delay{50 * kMs};  // ignored while `late_response` is empty
  bool takes_kv{};                 // fetches the request's KV cache before the response
  // With FakeWorker::silence_delays_responses: a prefill that is still running when the close of its
  // connection arrives leaves its KV cache behind all the same.
  bool leaves_kv_on_disconnect{};
  // Raw bytes that follow `response` one after another, each `piece_interval` after the one before.
  std::vector<std::string> pieces{};
  io::Nanos piece_interval{};
};

// A worker that rejects its next 20 requests as overloaded, each after 30 ms.
inline std::deque<ScriptedResponse> always_reject() {
  return std::deque<ScriptedResponse>(20, {http::format_response(503, "X-Rejected: 1\r\n", "", true),
                                           ScriptedResponse::Finish::keep_alive, 30 * kMs});
}

// KV cache held by prefill workers: request id -> name of the worker. A release frees no entry that a decode
// attempt is waiting for, and a prefill that is running when a release arrives leaves no entry.
struct KvEntries : std::map<std::string, std::string> {
  std::multiset<std::string> awaited_by_decode;  // request ids, once for each decode attempt
  std::map<std::string, int> release_counts;     // releases that reached any worker, by request id
  struct AttemptStatus {
    int active{};               // attempts that are active at running workers
    io::Nanos last_active{-1};  // when an attempt last arrived at or ended at a worker
    bool end_unobserved{};      // a prefill ended, but its response was lost and its connection stayed open
  };
  std::map<std::string, AttemptStatus> attempts;
  std::function<void(const std::string&)> on_event;  // receives one line for each event at a worker
  void report(const std::string& line) const {
    if (on_event) on_event(line);
  }
};

// A scripted prefill or decode worker.
class FakeWorker {
 public:
  FakeWorker(io::Loop& loop, std::string worker_name, bool is_prefill_worker, KvEntries& kv_entries)
      : name(std::move(worker_name)),
        is_prefill(is_prefill_worker),
        loop_(loop),
        kv_entries_(kv_entries),
        listener_(std::make_unique<io::Listener>(loop, kAnyPort)),
        address(listener_->address().to_string()),
        scope_(loop) {
    scope_.spawn(accept());
  }
  // Resets all connections and refuses new ones.
  void crash() {
    scope_.cancel();
    listener_.reset();
    open_requests = 0;
  }

  std::string name;
  bool is_prefill;
  int stream_events{3};                     // in a default decode response, before its last event
  std::deque<ScriptedResponse> script;      // for the next requests; the default response once it is empty
  std::vector<std::string> request_log;     // one line for each complete request, releases included
  std::vector<std::string> request_bodies;  // without releases
  std::vector<std::string> request_fields;  // header fields, one a line; without releases
  int open_requests{};                      // complete requests whose response and connection have not ended
  int accepted_connections{};
  bool unresponsive{};      // reads requests and never acts on them
  bool ignores_releases{};  // neither frees the KV cache nor responds
  io::Nanos release_response_delay{};
  // If true, a silent link also delays responses and connection closes, and an attempt ends when the close of
  // its connection reaches the worker. If false, a silent link delays requests only.
  bool silence_delays_responses{};
  std::string responding_to;              // request id, valid while before_response and after_response run
  std::function<void()> before_response;  // called just before a response, or its first part, is written
  std::function<void()> after_response;   // called right after that write, before any socket is polled again
  // Links on which nothing arrives while their connections stay open and the worker keeps running: all links
  // to this worker, or those of its first `silent_connections` connections. Buffered data arrives once the
  // link recovers.
  bool link_silent{};
  int silent_connections{};

 private:
  io::Loop& loop_;
  KvEntries& kv_entries_;
  std::unique_ptr<io::Listener> listener_;

 public:
  std::string address;

 private:
  io::Task<> accept() {
    for (;;) {
      io::Socket socket = co_await listener_->accept();
      ++accepted_connections;
      scope_.spawn(serve(std::move(socket), accepted_connections));
    }
  }
  // Counts a request in open_requests until its response ends or its peer disconnects.
  struct OpenCount {
    explicit OpenCount(int& open_count) : count(open_count) { ++count; }
    ~OpenCount() { end(); }
    void end() {
      if (std::exchange(counted, false)) --count;
    }
    int& count;
    bool counted{true};
  };
  // Marks a decode attempt as waiting for the KV cache of its request. Has no effect for an empty id.
  struct KvWait {
    KvWait(KvEntries& entries, std::string request_id) : kv_entries(entries), id(std::move(request_id)) {
      if (!id.empty()) kv_entries.awaited_by_decode.insert(id);
    }
    ~KvWait() { end(); }
    void end() {
      if (!id.empty()) kv_entries.awaited_by_decode.erase(kv_entries.awaited_by_decode.find(id));
      id.clear();
    }
    KvWait(const KvWait&) = delete;
    KvWait& operator=(const KvWait&) = delete;
    KvEntries& kv_entries;
    std::string id;
  };
  // Counts an attempt as active from its arrival at this worker until it ends here.
  struct ActiveMark {
    ActiveMark(FakeWorker& at, std::string request_id) : worker(at), id(std::move(request_id)) {
      update_status().active += 1;
      worker.kv_entries_.report(fmt::format("{}: attempt of {} arrives", worker.name, id));
    }
    ~ActiveMark() { end(); }
    void end() {
      if (std::exchange(ended, true)) return;
      update_status().active -= 1;
      worker.kv_entries_.report(fmt::format("{}: attempt of {} is over", worker.name, id));
    }
    KvEntries::AttemptStatus& update_status() {
      KvEntries::AttemptStatus& status = worker.kv_entries_.attempts[id];
      status.last_active = worker.loop_.now();
      return status;
    }
    ActiveMark(const ActiveMark&) = delete;
    ActiveMark& operator=(const ActiveMark&) = delete;
    FakeWorker& worker;
    std::string id;
    bool ended{};
  };
  // One attempt at this worker.
  struct Attempt {
    OpenCount open_count;
    KvWait kv_wait;
    ActiveMark active_mark;
    int connection;           // number of its connection, from 1
    int releases_at_arrival;  // release count of its request when the attempt arrived
    bool disconnected{};      // the close of its connection has arrived
    void end() {
      kv_wait.end();
      active_mark.end();
    }
  };
  bool is_link_silent(int connection) const { return link_silent || connection <= silent_connections; }
  io::Task<> wait_for_link(int connection) {
    while (is_link_silent(connection)) co_await loop_.sleep_for(5 * kMs);
  }
  io::Task<> watch_connection(io::Socket& socket, Attempt& attempt, const ScriptedResponse& scripted) {
    co_await socket.wait_for_peer_close();
    attempt.open_count.end();
    if (!silence_delays_responses) co_return;
    co_await wait_for_link(attempt.connection);
    attempt.disconnected = true;
    if (scripted.leaves_kv_on_disconnect && !attempt.active_mark.ended)
      leave_kv(attempt.active_mark.id, attempt.releases_at_arrival);
    attempt.end();
  }
  // Serves one connection; `connection` counts accepted connections from 1.
  io::Task<> serve(io::Socket socket, int connection) {
    http::MessageReader reader(socket, http::MessageKind::request);
    for (;;) {
      http::Head head;
      std::string body;
      if (co_await reader.read_head(head) != http::MessageError::none) co_return;
      if (co_await reader.read_body(body) != http::MessageError::none) co_return;
      const std::string target(head.target);
      if (unresponsive) co_await loop_.sleep_for(600 * io::kSecond);
      co_await wait_for_link(connection);
      if (head.method == "DELETE") {
        const std::string id = target.substr(target.rfind('/') + 1);
        if (ignores_releases) co_await loop_.sleep_for(600 * io::kSecond);
        request_log.push_back("DELETE " + id);
        ++kv_entries_.release_counts[id];
        kv_entries_.report(fmt::format("{}: release of {} arrives", name, id));
        if (!kv_entries_.awaited_by_decode.contains(id)) kv_entries_.erase(id);
        if (release_response_delay > 0) co_await loop_.sleep_for(release_response_delay);
        if (silence_delays_responses) co_await wait_for_link(connection);
        co_await socket.write_all("HTTP/1.1 204 No Content\r\n\r\n");
        continue;
      }
      const std::string id(head.field("x-call-id").value_or("none"));
      request_log.push_back(fmt::format("{} {} {}", head.method, target, id));
      request_bodies.push_back(body);
      request_fields.emplace_back();
      for (const auto& [field, value] : head.fields)
        request_fields.back().append(field).append(": ").append(value).append("\n");
      Attempt attempt{OpenCount(open_requests), KvWait(kv_entries_, is_prefill ? "" : id),
                      ActiveMark(*this, id), connection, kv_entries_.release_counts[id]};
      ScriptedResponse scripted{"", ScriptedResponse::Finish::keep_alive, 0, true};
      if (!script.empty()) {
        scripted = script.front();
        script.pop_front();
      }
      io::Scope connection_watch(loop_);
      connection_watch.spawn(watch_connection(socket, attempt, scripted));
      if (scripted.delay > 0) co_await loop_.sleep_for(scripted.delay);
      if (attempt.disconnected) co_return;
      if (scripted.use_default) {
        if (is_prefill)
          co_await run_prefill(socket, attempt);
        else
          co_await run_decode(socket, attempt);
        continue;
      }
      if (scripted.leaves_kv) leave_kv(id, attempt.releases_at_arrival);
      if (scripted.leaves_kv && is_prefill) {
        const bool response_lost =
            scripted.finish == ScriptedResponse::Finish::hang || !scripted.late_response.empty();
        if (response_lost || is_link_silent(connection))
          attempt.active_mark.update_status().end_unobserved = true;
        attempt.active_mark.end();
      }
      if (scripted.takes_kv) take_kv(id);
      if (silence_delays_responses) {
        if (scripted.finish != ScriptedResponse::Finish::hang) attempt.end();
        co_await wait_for_link(connection);
      }
      begin_response(id);
      co_await socket.write_all(scripted.response);
      if (after_response) after_response();
      for (const std::string& piece : scripted.pieces) {
        co_await loop_.sleep_for(scripted.piece_interval);
        if (!(co_await socket.write_all(piece)).ok()) co_return;
      }
      if (scripted.finish == ScriptedResponse::Finish::end_silently) {
        attempt.end();
        attempt.open_count.end();
      }
      if (!scripted.late_response.empty()) {
        co_await loop_.sleep_for(scripted.late_delay);
        if (silence_delays_responses) co_await wait_for_link(connection);
        co_await socket.write_all(scripted.late_response);
      }
      if (scripted.finish == ScriptedResponse::Finish::hang ||
          scripted.finish == ScriptedResponse::Finish::end_silently)
        co_await loop_.sleep_for(600 * io::kSecond);
      if (scripted.finish == ScriptedResponse::Finish::reset) socket.close(true);
      if (scripted.finish != ScriptedResponse::Finish::keep_alive) co_return;
    }
  }
  void begin_response(const std::string& id) {
    responding_to = id;
    kv_entries_.report(fmt::format("{}: answers {}", name, id));
    if (before_response) before_response();
  }
  // Stores the KV cache of that request, unless a release has arrived since the prefill started.
  void leave_kv(const std::string& id, int releases_at_arrival) {
    if (kv_entries_.release_counts[id] != releases_at_arrival) return;
    kv_entries_[id] = name;
    kv_entries_.report(fmt::format("{}: holds KV cache of {}", name, id));
  }
  // Returns false if no KV cache of that request is held.
  bool take_kv(const std::string& id) {
    if (kv_entries_.erase(id) == 0) return false;
    kv_entries_.report(fmt::format("{}: takes KV cache of {}", name, id));
    return true;
  }
  io::Task<> run_prefill(io::Socket& socket, Attempt& attempt) {
    co_await loop_.sleep_for(20 * kMs);
    if (attempt.disconnected) co_return;
    leave_kv(attempt.active_mark.id, attempt.releases_at_arrival);
    if (silence_delays_responses && is_link_silent(attempt.connection))
      attempt.active_mark.update_status().end_unobserved = true;
    attempt.active_mark.end();
    if (silence_delays_responses) co_await wait_for_link(attempt.connection);
    begin_response(attempt.active_mark.id);
    co_await socket.write_all(
        "HTTP/1.1 202 Accepted\r\nX-Load-Report: concurrent=1,x0=0.2\r\n"
        "content-length: 20\r\n\r\n{\"cached_tokens\":128}");
    if (after_response) after_response();
  }
  io::Task<> run_decode(io::Socket& socket, Attempt& attempt) {
    if (!take_kv(attempt.active_mark.id)) {
      if (silence_delays_responses) {
        attempt.end();
        co_await wait_for_link(attempt.connection);
      }
      co_await socket.write_all("HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\ncontent-length: 0\r\n\r\n");
      co_return;
    }
    if (silence_delays_responses) co_await wait_for_link(attempt.connection);
    begin_response(attempt.active_mark.id);
    co_await socket.write_all(stream_head());
    if (after_response) after_response();
    for (int i = 0; i < stream_events; ++i) {
      if (silence_delays_responses) co_await wait_for_link(attempt.connection);
      co_await socket.write_all(chunked(event(i)));
      co_await loop_.sleep_for(20 * kMs);
    }
    co_await socket.write_all(chunked(stream_end()) + chunked(": X-Load-Report: concurrent=2,x0=0.3\n\n") +
                              "0\r\n\r\n");
  }

 public:
  static std::string stream_head() {
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
  }
  static std::string event(int i) {
    return fmt::format("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{}\"}}}}]}}\n\n", i);
  }
  static std::string stream_end() {
    return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":3,"
           "\"prompt_tokens_details\":{\"cached_tokens\":96}}}\n\ndata: [DONE]\n\n";
  }
  static std::string chunked(std::string_view data) {
    std::string out;
    append_chunk(out, data);
    return out;
  }

 private:
  io::Scope scope_;
};

// A fake discovery agent: it serves the full list of workers, and watches (calls that wait for a newer
// revision).
class FakeDiscovery {
 public:
  explicit FakeDiscovery(io::Loop& loop) : loop_(loop), changed_(loop), address_(kAnyPort) {
    open();
    address_ = server_->address();
  }
  const io::Address& address() const { return address_; }
  // Adds, replaces or removes that target, and responds to the pending watches.
  void update(const json& target) {
    std::erase_if(targets_, [&](const json& listed) { return listed["uid"] == target["uid"]; });
    if (target["state"] != "removed") targets_.push_back(target);
    changes_.emplace_back(++rev, target);
    if (changes_.size() > 1000) changes_.erase(changes_.begin(), changes_.begin() + 500);
    changed_.notify();
  }
  // Calls that are open now never get a response.
  void abandon_open_calls() { ++call_generation_; }
  // Resets the open calls and refuses new ones.
  void close() { server_.reset(); }
  void open() {
    server_.emplace(loop_, address_, [this](http::Request& request, http::ResponseWriter& response) {
      return serve(std::string(request.head.target), response);
    });
  }
  std::size_t full_list_calls() const {
    return static_cast<std::size_t>(std::ranges::count(calls, "/discovery/hosts"));
  }
  std::uint64_t rev{40};
  bool unresponsive{};  // new calls never get a response
  io::Nanos response_delay{};
  bool pretty_print{};
  bool always_full_list{};         // watches get the full list in place of the changes
  std::vector<std::string> calls;  // request target of each call

 private:
  io::Task<> serve(std::string target, http::ResponseWriter& response) {
    calls.push_back(target);
    const int generation = call_generation_;
    if (unresponsive) co_await loop_.sleep_for(600 * io::kSecond);
    const std::size_t index_at = target.find("index=");
    std::vector<json> changed_targets;
    if (index_at != std::string::npos) {
      const auto known_rev = static_cast<std::uint64_t>(std::stoll(target.substr(index_at + 6)));
      const io::Nanos until = loop_.now() + std::stoll(target.substr(target.find("wait=") + 5)) * kMs;
      while (rev == known_rev && loop_.now() < until) co_await io::wait_until(loop_, changed_, until);
      for (const auto& [version, changed] : changes_)
        if (version > known_rev) changed_targets.push_back(changed);
    }
    const bool full_list = index_at == std::string::npos || always_full_list;
    const std::string text =
        json{{"rev", rev}, {"all", full_list}, {"targets", json(full_list ? targets_ : changed_targets)}}
            .dump(pretty_print ? 2 : -1);
    if (response_delay > 0) co_await loop_.sleep_for(response_delay);
    if (generation != call_generation_) co_await loop_.sleep_for(600 * io::kSecond);
    co_await response.respond(200, "", text);
  }
  io::Loop& loop_;
  io::Signal changed_;
  io::Address address_;
  int call_generation_{};
  std::vector<json> targets_;
  std::vector<std::pair<std::uint64_t, json>> changes_;
  std::optional<http::Server> server_;
};

// Minimal settings of a node, as the platform sends them: two zones, one traffic type, one tenant.
inline json test_settings() {
  return json::parse(R"({"azs":["east","west"],"models":["prefill","decode"],"instances":1,"locality":0,
    "granularityMs":2.0,"discovery":"automatic",
    "caps":{"attemptsCap":6,"cancelling":true,"parallelTries":true,"retryAfter":true,"maxRetryAfterMs":400.0,
            "connIdleMs":8000.0,"dialTimeoutMs":250.0},
    "familyInfo":{"dutyByKind":["read","write"],"memoryTokens":[100000,100000],"pinLimitMs":1000.0,
                  "aimUsPer1000PromptTokens":[40000.0],"reportX0":"share of memory that is held"},
    "obligations":{"coldFrom":0.25,"rampTimeMs":8000.0,"fallMultiple":4.0,"fallMs":3000.0,
                   "stopSendingWithinMs":500.0},
    "services":[{"effect":"retryable","group":"all","goalTimeMs":1500.0,"worth":1.0,"name":"chat"}],
    "stats":{"columns":["concurrent","x0"],"via":"inline"},
    "tenants":[{"allowancePerS":1000.0,"name":"acme"}]})");
}

// What a client received for one request.
struct ReceivedResponse {
  int status{};
  std::string fields;
  std::string body;
  bool complete{};           // received up to the end of its HTTP framing
  bool connection_closed{};  // the router closed the connection
  io::Nanos elapsed{};       // from the connect to the last byte
  io::Nanos last_byte_at{};  // loop time
};

// A running router node with its workers, discovery agent and clients. Tests change its public members.
class PlatformFixture {
 public:
  explicit PlatformFixture(int prefills = 2, int decodes = 2, const json& settings = test_settings(),
                           std::size_t descriptors = 256,
                           const router::PolicyFactory& policy_factory = make_policy)
      : discovery(loop), log("n0", "off") {
    for (int i = 0; i < prefills + decodes; ++i) {
      const bool is_prefill = i < prefills;
      workers.push_back(std::make_unique<FakeWorker>(
          loop, is_prefill ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - prefills), is_prefill,
          kv_entries));
      discovery.update(target(*workers.back()));
    }
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"discovery", discovery.address().to_string()},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", descriptors}}},
              {"known", {{"rev", 3}, {"all", true}, {"targets", json::array()}}},
              {"settings", settings}};
    node_config = std::make_unique<platform::NodeConfig>(platform::read_node_config(config.dump()));
    node = std::make_unique<platform::Node>(loop, *node_config, log, policy_factory);
    run_for(20);
  }
  ~PlatformFixture() {
    scope.cancel();
    node.reset();
  }
  // A discovery target for that worker.
  static json target(const FakeWorker& worker, const std::string& state = "up") {
    return target(worker.name, worker.address, worker.is_prefill, state);
  }
  static json target(const std::string& name, const std::string& address, bool is_prefill,
                     const std::string& state = "up") {
    return {{"uid", name},          {"endpoint", address},
            {"az", "east"},         {"model", is_prefill ? "prefill" : "decode"},
            {"pod_group", 3},       {"state", state},
            {"capacity_hint", 1.0}, {"boot_ms", 0}};
  }
  FakeWorker& worker(const std::string& name) {
    for (auto& fake_worker : workers)
      if (fake_worker->name == name) return *fake_worker;
    throw std::invalid_argument(name);
  }
  void run_for(std::int64_t ms) { testing::run_for(loop, ms); }
  // Runs until `condition` holds, for at most ten seconds of simulated time; returns whether it holds.
  template <class Condition>
  bool run_until(Condition condition) {
    const io::Nanos deadline = loop.now() + 10 * io::kSecond;
    loop.run_until([&] { return condition() || loop.now() > deadline; });
    return condition();
  }

  static std::string request_body(int words = 100) {
    std::string text;
    for (int i = 0; i < words; ++i) text += "word ";
    return json{{"model", "chat"},
                {"stream", true},
                {"max_tokens", 100},
                {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
  }
  // A complete request with the header fields of the platform protocol; budget in milliseconds.
  static std::string request(const std::string& id, const std::string& body = request_body(),
                             const std::string& budget = "4800") {
    return request_with({{"X-Call-Id", id},
                         {"X-Call-Class", "chat"},
                         {"X-Caller", "acme"},
                         {"X-Route-Hash", "7f3a9c21e0b4d655"},
                         {"X-Budget-Ms", budget},
                         {"X-Call-Info", "prefix=5c0f6e1a2b3d4c59,prompt_len=128,prefix_len=64,max_out=100"}},
                        body);
  }
  // A complete request with exactly these header fields beside Host and Content-Length.
  static std::string request_with(const std::vector<std::pair<std::string, std::string>>& fields,
                                  const std::string& body = request_body()) {
    std::string out = "POST /v1/chat/completions?trace=1 HTTP/1.1\r\nHost: service.internal\r\n";
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
    return out.append(fmt::format("Content-Length: {}\r\n\r\n", body.size())).append(body);
  }

  // Sends `text` on a new connection and returns at once. Reads `count` responses: each is appended to
  // responses[name] when it ends, and the last one is then stored in last_responses[name]. Closes the
  // connection after `leave_after`, if that is not 0.
  void send(const std::string& name, std::string text, io::Nanos leave_after = 0, std::size_t count = 1) {
    scope.spawn(send_and_receive(name, std::move(text), leave_after, count));
  }
  // Runs until the responses for that name have ended, and returns the last one.
  const ReceivedResponse& response(const std::string& name) {
    const bool received = loop.run_until([&] { return last_responses.contains(name); });
    CHECK_MESSAGE(received, "no response for " << name);
    return last_responses[name];
  }
  // Whether the router has that worker in its list as ready.
  bool is_listed_ready(const std::string& name) const {
    for (const auto& entry : node->host().fleet().entries())
      if (entry && entry->listed.name == name) return entry->not_ready_since == 0;
    return false;
  }
  // Checks the load that the policy expects at each worker against the attempts and KV entries that exist.
  void check_load_counts() {
    std::size_t expected_kv_entries = 0;
    for (const auto& load : node->host().worker_loads()) {
      CAPTURE(load.worker);
      CHECK(load.expected.attempts == load.in_flight);
      CHECK(load.in_flight <= worker(load.worker).open_requests);  // an active stream is open there too
      expected_kv_entries += static_cast<std::size_t>(load.expected.kv_entries);
    }
    CHECK(expected_kv_entries == kv_entries.size());
  }
  // Requests that are open at that worker, by its own count.
  int open_requests(const std::string& name) { return worker(name).open_requests; }
  // Requests at all workers whose request_log line starts with `prefix`.
  std::size_t count_requests(const std::string& prefix) const {
    std::size_t count = 0;
    for (const auto& fake_worker : workers)
      for (const std::string& line : fake_worker->request_log) count += line.starts_with(prefix);
    return count;
  }

  io::Loop loop{io::Loop::Clock::simulated};
  KvEntries kv_entries;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  FakeDiscovery discovery;
  core::Log log;
  json config;
  std::unique_ptr<platform::NodeConfig> node_config;
  std::unique_ptr<platform::Node> node;
  std::map<std::string, ReceivedResponse> last_responses;
  std::map<std::string, std::vector<ReceivedResponse>> responses;
  io::Scope scope{loop};

 private:
  io::Task<> send_and_receive(std::string name, std::string text, io::Nanos leave_after, std::size_t count) {
    ReceivedResponse received;
    const io::Nanos started_at = loop.now();
    io::Socket socket;
    const io::IoResult connected = co_await io::connect(loop, node->address(), socket);
    CHECK(connected.ok());
    http::MessageReader reader(socket, http::MessageKind::response);
    co_await socket.write_all(text);
    io::Scope leaver(loop);
    if (leave_after > 0)
      leaver.spawn([](io::Loop& event_loop, io::Nanos delay, io::Socket& client_socket) -> io::Task<> {
        co_await event_loop.sleep_for(delay);
        client_socket.close();
      }(loop, leave_after, socket));
    for (std::size_t i = 0; i < count; ++i) {
      received = {};
      http::Head head;
      http::MessageError error = co_await reader.read_head(head);
      received.connection_closed = error == http::MessageError::closed;
      received.status = head.status;
      received.last_byte_at = loop.now();
      if (error == http::MessageError::none)
        for (const auto& [key, value] : head.fields)
          received.fields.append(key).append(": ").append(value).append("\n");
      while (error == http::MessageError::none && reader.has_more()) {
        error = co_await reader.read_some_body(received.body);
        received.last_byte_at = loop.now();
      }
      received.complete = received.status != 0 && error == http::MessageError::none;
      received.elapsed = loop.now() - started_at;
      responses[name].push_back(received);
      if (!received.complete) break;
    }
    if (received.complete && leave_after == 0) {  // checks whether the router closes the connection by itself
      const auto closed = co_await io::with_deadline(loop, loop.now() + 1500 * kMs,
                                                     [](io::Socket& client_socket) -> io::Task<bool> {
                                                       co_await client_socket.wait_for_peer_close();
                                                       co_return true;
                                                     }(socket));
      received.connection_closed = closed.has_value();
    }
    leaver.cancel();
    last_responses[name] = received;
  }
};

}  // namespace cressrill::testing
