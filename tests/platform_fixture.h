// The platform on loopback in one process and on handed time: scripted workers and discovery, one router started from
// the text of a configuration, clients. All servers are stand-ins of ours, written from the protocol's description.
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

// What a worker does with a request, where it is not the usual.
struct ScriptedResponse {
  // abandon: the attempt is over at the worker once it has sent its text, and its connection, which stays open, tells
  // nothing of it; a later text was under way meanwhile.
  enum class Finish { keep_alive, close, reset, hang, end_silently };
  std::string response;  // sent in place of an answer
  Finish finish{Finish::keep_alive};
  io::Nanos delay{};            // waits so long first
  bool use_default{};           // after that wait, answers as usual
  bool leaves_kv{};             // a state stays here before that
  std::string late_response{};  // sent so long behind the text:
  io::Nanos late_delay{50 * kMs};
  bool takes_kv{};  // what is held for the request is taken before the text
  // With Worker::whole_links: a prefill that is under way as the end of its connection arrives leaves a state all the same.
  bool leaves_kv_on_disconnect{};
};

// A worker that says full to all that is sent, each time after 30 ms.
inline std::deque<ScriptedResponse> always_reject() {
  return std::deque<ScriptedResponse>(20, {http::format_response(503, "X-Rejected: 1\r\n", "", true),
                                           ScriptedResponse::Finish::keep_alive, 30 * kMs});
}

// States that readers hold, by the id of their request: who holds them. A release frees none that an attempt waits for, and
// voids a read that is under way.
struct KvEntries : std::map<std::string, std::string> {
  std::multiset<std::string> awaited_by_decode;
  std::map<std::string, int> release_counts;
  struct AttemptStatus {
    int active{};               // at running workers,
    io::Nanos last_active{-1};  // and when one was last
    bool end_not_heard{};       // a prefill has ended without an answer, on a connection that stays open
  };
  std::map<std::string, AttemptStatus> attempts;
  std::function<void(const std::string&)> on_event;  // is told what workers see and do, a line each
  void report(const std::string& line) const {
    if (on_event) on_event(line);
  }
};

class FakeWorker {
 public:
  FakeWorker(io::Loop& loop, std::string its_name, bool is_reader, KvEntries& states)
      : name(std::move(its_name)),
        is_prefill(is_reader),
        loop_(loop),
        states_(states),
        listener_(std::make_unique<io::Listener>(loop, kAnyPort)),
        address(listener_->address().to_string()),
        scope_(loop) {
    scope_.spawn(accept());
  }
  void crash() {
    scope_.cancel();
    listener_.reset();
    open_requests = 0;
  }

  std::string name;
  bool is_prefill;
  int stream_events{3};
  std::deque<ScriptedResponse> script;
  std::vector<std::string> request_log;     // a line for each request that came whole
  std::vector<std::string> request_bodies;  // of those that are no release: body,
  std::vector<std::string> request_fields;  // and fields, a line each
  int open_requests{};  // requests that came and whose connection is neither answered nor ended
  int accepted_connections{};
  bool unresponsive{};  // what comes is taken, and nothing is done
  bool ignores_releases{};
  io::Nanos release_response_delay{};  // answers releases so much later
  // A cut link keeps answers and ends of connections as well, and an attempt is over as the end of its connection arrives.
  bool silent_both_ways{};
  std::string responding_to;              // the request whose answer is written, as these are called:
  std::function<void()> before_response;  // called as an answer, or its first part, is about to be written,
  std::function<void()> after_response;   // and once it was, with no look at any socket between
  // Links that pass nothing and stay open, while the worker runs on: all of them, or the first so many connections. What
  // was written to them meanwhile arrives once they pass again.
  bool link_silent{};
  int silent_connections{};

 private:
  io::Loop& loop_;
  KvEntries& states_;
  std::unique_ptr<io::Listener> listener_;

 public:
  std::string address;

 private:
  io::Task<> accept() {
    for (;;) {
      io::Socket s = co_await listener_->accept();
      ++accepted_connections;
      scope_.spawn(serve(std::move(s), accepted_connections));
    }
  }
  struct Open {  // counted until it is answered or its peer leaves
    explicit Open(int& n) : count(n) { ++count; }
    ~Open() { end(); }
    void end() {
      if (std::exchange(counted, false)) --count;
    }
    int& count;
    bool counted{true};
  };
  struct Awaits {
    Awaits(KvEntries& among, std::string its_id) : states(among), id(std::move(its_id)) {
      if (!id.empty()) states.awaited_by_decode.insert(id);
    }
    ~Awaits() { end(); }
    void end() {
      if (!id.empty()) states.awaited_by_decode.erase(states.awaited_by_decode.find(id));
      id.clear();
    }
    Awaits(const Awaits&) = delete;
    Awaits& operator=(const Awaits&) = delete;
    KvEntries& states;
    std::string id;
  };
  // An attempt that is out at this worker, until it has ended here.
  struct Out {
    Out(FakeWorker& at, std::string its_id) : worker(at), id(std::move(its_id)) {
      note().active += 1;
      worker.states_.report(fmt::format("{}: attempt of {} arrives", worker.name, id));
    }
    ~Out() { end(); }
    void end() {
      if (std::exchange(over, true)) return;
      note().active -= 1;
      worker.states_.report(fmt::format("{}: attempt of {} is over", worker.name, id));
    }
    KvEntries::AttemptStatus& note() {
      KvEntries::AttemptStatus& attempts = worker.states_.attempts[id];
      attempts.last_active = worker.loop_.now();
      return attempts;
    }
    Out(const Out&) = delete;
    Out& operator=(const Out&) = delete;
    FakeWorker& worker;
    std::string id;
    bool over{};
  };
  // One attempt, by what becomes of it here.
  struct Attempt {
    Open open;
    Awaits awaits;
    Out out;
    int connection;
    int releases;  // of its request, as it arrived
    bool gone{};   // the end of its connection has arrived
    void end() { awaits.end(), out.end(); }
  };
  bool link_is_cut(int connection) const { return link_silent || connection <= silent_connections; }
  io::Task<> link_passes(int connection) {
    while (link_is_cut(connection)) co_await loop_.sleep_for(5 * kMs);
  }
  io::Task<> watch_connection(io::Socket& s, Attempt& attempt, const ScriptedResponse& act) {
    co_await s.wait_for_peer_close();
    attempt.open.end();
    if (!silent_both_ways) co_return;
    co_await link_passes(attempt.connection);
    attempt.gone = true;
    if (act.leaves_kv_on_disconnect && !attempt.out.over) leave_state(attempt.out.id, attempt.releases);
    attempt.end();
  }
  // number: which connection this is, from 1.
  io::Task<> serve(io::Socket s, int number) {
    http::MessageReader reader(s, http::MessageKind::request);
    for (;;) {
      http::Head head;
      std::string body;
      if (co_await reader.read_head(head) != http::MessageError::none) co_return;
      if (co_await reader.read_body(body) != http::MessageError::none) co_return;
      const std::string target(head.target);
      if (unresponsive) co_await loop_.sleep_for(600 * io::kSecond);
      co_await link_passes(number);
      if (head.method == "DELETE") {
        const std::string id = target.substr(target.rfind('/') + 1);
        if (ignores_releases) co_await loop_.sleep_for(600 * io::kSecond);
        request_log.push_back("DELETE " + id);
        ++states_.release_counts[id];
        states_.report(fmt::format("{}: release of {} arrives", name, id));
        if (!states_.awaited_by_decode.contains(id)) states_.erase(id);
        if (release_response_delay > 0) co_await loop_.sleep_for(release_response_delay);
        if (silent_both_ways) co_await link_passes(number);
        co_await s.write_all("HTTP/1.1 204 No Content\r\n\r\n");
        continue;
      }
      const std::string id(head.field("x-call-id").value_or("none"));
      request_log.push_back(fmt::format("{} {} {}", head.method, target, id));
      request_bodies.push_back(body);
      request_fields.emplace_back();
      for (const auto& [field, value] : head.fields)
        request_fields.back().append(field).append(": ").append(value).append("\n");
      Attempt attempt{Open(open_requests), Awaits(states_, is_prefill ? "" : id), Out(*this, id), number,
                      states_.release_counts[id]};
      ScriptedResponse act{"", ScriptedResponse::Finish::keep_alive, 0, true};
      if (!script.empty()) act = script.front(), script.pop_front();
      io::Scope watch(loop_);
      watch.spawn(watch_connection(s, attempt, act));
      if (act.delay > 0) co_await loop_.sleep_for(act.delay);
      if (attempt.gone) co_return;
      if (act.use_default) {
        if (is_prefill)
          co_await read(s, attempt);
        else
          co_await write(s, attempt);
        continue;
      }
      if (act.leaves_kv) leave_state(id, attempt.releases);
      if (act.leaves_kv && is_prefill) {
        const bool no_answer = act.finish == ScriptedResponse::Finish::hang || !act.late_response.empty();
        if (no_answer || link_is_cut(number)) attempt.out.note().end_not_heard = true;
        attempt.out.end();
      }
      if (act.takes_kv) take_state(id);
      if (silent_both_ways) {
        if (act.finish != ScriptedResponse::Finish::hang) attempt.end();
        co_await link_passes(number);
      }
      about_to_answer(id);
      co_await s.write_all(act.response);
      if (after_response) after_response();
      if (act.finish == ScriptedResponse::Finish::end_silently) attempt.end(), attempt.open.end();
      if (!act.late_response.empty()) {
        co_await loop_.sleep_for(act.late_delay);
        if (silent_both_ways) co_await link_passes(number);
        co_await s.write_all(act.late_response);
      }
      if (act.finish == ScriptedResponse::Finish::hang ||
          act.finish == ScriptedResponse::Finish::end_silently)
        co_await loop_.sleep_for(600 * io::kSecond);
      if (act.finish == ScriptedResponse::Finish::reset) s.close(true);
      if (act.finish != ScriptedResponse::Finish::keep_alive) co_return;
    }
  }
  void about_to_answer(const std::string& id) {
    responding_to = id;
    states_.report(fmt::format("{}: answers {}", name, id));
    if (before_response) before_response();
  }
  // releases: of that request, as the read began.
  void leave_state(const std::string& id, int releases) {
    if (states_.release_counts[id] != releases) return;
    states_[id] = name;
    states_.report(fmt::format("{}: holds KV cache of {}", name, id));
  }
  bool take_state(const std::string& id) {
    if (states_.erase(id) == 0) return false;
    states_.report(fmt::format("{}: takes KV cache of {}", name, id));
    return true;
  }
  io::Task<> read(io::Socket& s, Attempt& attempt) {
    co_await loop_.sleep_for(20 * kMs);
    if (attempt.gone) co_return;
    leave_state(attempt.out.id, attempt.releases);
    if (silent_both_ways && link_is_cut(attempt.connection)) attempt.out.note().end_not_heard = true;
    attempt.out.end();
    if (silent_both_ways) co_await link_passes(attempt.connection);
    about_to_answer(attempt.out.id);
    co_await s.write_all(
        "HTTP/1.1 202 Accepted\r\nX-Load-Report: concurrent=1,x0=0.2\r\n"
        "content-length: 20\r\n\r\n{\"cached_tokens\":128}");
    if (after_response) after_response();
  }
  io::Task<> write(io::Socket& s, Attempt& attempt) {
    if (!take_state(attempt.out.id)) {
      if (silent_both_ways) {
        attempt.end();
        co_await link_passes(attempt.connection);
      }
      co_await s.write_all("HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\ncontent-length: 0\r\n\r\n");
      co_return;
    }
    if (silent_both_ways) co_await link_passes(attempt.connection);
    about_to_answer(attempt.out.id);
    co_await s.write_all(stream_head());
    if (after_response) after_response();
    for (int i = 0; i < stream_events; ++i) {
      if (silent_both_ways) co_await link_passes(attempt.connection);
      co_await s.write_all(chunked(event(i)));
      co_await loop_.sleep_for(20 * kMs);
    }
    co_await s.write_all(chunked(stream_end()) + chunked(": X-Load-Report: concurrent=2,x0=0.3\n\n") +
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

// Discovery's agent: the whole list, and watches that wait for a newer version.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(io::Loop& loop) : loop_(loop), changed_(loop), at_(kAnyPort) {
    open();
    at_ = server_->address();
  }
  const io::Address& address() const { return at_; }
  void update(const json& target) {
    std::erase_if(all_, [&](const json& t) { return t["uid"] == target["uid"]; });
    if (target["state"] != "removed") all_.push_back(target);
    changes_.emplace_back(++rev, target);
    if (changes_.size() > 1000) changes_.erase(changes_.begin(), changes_.begin() + 500);
    changed_.notify();
  }
  // Calls that are open now are never answered.
  void abandon_open_calls() { ++forgotten_; }
  // Open calls are reset, new ones refused.
  void close() { server_.reset(); }
  void open() {
    server_.emplace(loop_, at_, [this](http::Request& r, http::ResponseWriter& a) {
      return answer(std::string(r.head.target), a);
    });
  }
  std::size_t full_list_calls() const {
    return static_cast<std::size_t>(std::ranges::count(calls, "/discovery/hosts"));
  }
  std::uint64_t rev{40};
  bool unresponsive{};         // new calls are never answered
  io::Nanos response_delay{};  // and answers take so long more
  bool pretty_print{};
  bool always_full_list{};  // watches too are answered with the whole list
  std::vector<std::string> calls;

 private:
  io::Task<> answer(std::string target, http::ResponseWriter& to) {
    calls.push_back(target);
    const int of = forgotten_;
    if (unresponsive) co_await loop_.sleep_for(600 * io::kSecond);
    const std::size_t at = target.find("index=");
    std::vector<json> some;
    if (at != std::string::npos) {
      const auto after = static_cast<std::uint64_t>(std::stoll(target.substr(at + 6)));
      const io::Nanos until = loop_.now() + std::stoll(target.substr(target.find("wait=") + 5)) * kMs;
      while (rev == after && loop_.now() < until) co_await io::wait_until(loop_, changed_, until);
      for (const auto& [version, changed] : changes_)
        if (version > after) some.push_back(changed);
    }
    const bool whole = at == std::string::npos || always_full_list;
    const std::string text = json{{"rev", rev}, {"all", whole}, {"targets", json(whole ? all_ : some)}}.dump(
        pretty_print ? 2 : -1);
    if (response_delay > 0) co_await loop_.sleep_for(response_delay);
    if (of != forgotten_) co_await loop_.sleep_for(600 * io::kSecond);
    co_await to.respond(200, "", text);
  }
  io::Loop& loop_;
  io::Signal changed_;
  io::Address at_;
  int forgotten_{};
  std::vector<json> all_;
  std::vector<std::pair<std::uint64_t, json>> changes_;
  std::optional<http::Server> server_;
};

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

struct ReceivedResponse {
  int status{};
  std::string fields;
  std::string body;
  bool complete{};           // framed to its end
  bool connection_closed{};  // the connection ended
  io::Nanos elapsed{};
  io::Nanos last_byte_at{};  // when its last byte had come
};

class PlatformFixture {
 public:
  explicit PlatformFixture(int readers = 2, int writers = 2, const json& settings = test_settings(),
                           std::size_t descriptors = 256, const router::PolicyFactory& make = make_policy)
      : discovery(loop), log("n0", "off") {
    for (int i = 0; i < readers + writers; ++i) {
      const bool reads = i < readers;
      workers.push_back(std::make_unique<FakeWorker>(
          loop, reads ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - readers), reads,
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
    node = std::make_unique<platform::Node>(loop, *node_config, log, make);
    run_for(20);
  }
  ~PlatformFixture() {
    scope.cancel();
    node.reset();
  }
  static json target(const FakeWorker& w, const std::string& state = "up") {
    return target(w.name, w.address, w.is_prefill, state);
  }
  static json target(const std::string& name, const std::string& address, bool reads,
                     const std::string& state = "up") {
    return {{"uid", name},          {"endpoint", address},
            {"az", "east"},         {"model", reads ? "prefill" : "decode"},
            {"pod_group", 3},       {"state", state},
            {"capacity_hint", 1.0}, {"boot_ms", 0}};
  }
  FakeWorker& worker(const std::string& name) {
    for (auto& w : workers)
      if (w->name == name) return *w;
    throw std::invalid_argument(name);
  }
  void run_for(std::int64_t ms) { testing::run_for(loop, ms); }
  // Runs until that holds, for ten seconds of handed time at most.
  template <class Condition>
  bool run_until(Condition condition) {
    const io::Nanos last = loop.now() + 10 * io::kSecond;
    loop.run_until([&] { return condition() || loop.now() > last; });
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
  static std::string request_with(const std::vector<std::pair<std::string, std::string>>& fields,
                                  const std::string& body = request_body()) {
    std::string out = "POST /v1/chat/completions?trace=1 HTTP/1.1\r\nHost: service.internal\r\n";
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
    return out.append(fmt::format("Content-Length: {}\r\n\r\n", body.size())).append(body);
  }

  // Sends a text on a connection of its own and goes on; what comes stands in heard[name], once it has ended, and in
  // coming[name] meanwhile. leave: closes after so long.
  void send(const std::string& name, std::string text, io::Nanos leave = 0, std::size_t answers = 1) {
    scope.spawn(talk(name, std::move(text), leave, answers));
  }
  const ReceivedResponse& response(const std::string& name) {
    const bool came = loop.run_until([&] { return last_responses.contains(name); });
    CHECK_MESSAGE(came, "no answer to " << name);
    return last_responses[name];
  }
  // Whether that worker is listed as ready.
  bool is_listed_ready(const std::string& name) const {
    for (const auto& link : node->host().fleet().entries())
      if (link && link->listed.name == name) return link->not_ready_since == 0;
    return false;
  }
  // What the decisions believe of load against what passes on the sockets.
  void check_load_counts() {
    std::size_t held = 0;
    for (const auto& load : node->host().worker_loads()) {
      CAPTURE(load.worker);
      CHECK(load.expected.attempts == load.in_flight);
      CHECK(load.in_flight <= worker(load.worker).open_requests);  // a stream that flows is open there too
      held += static_cast<std::size_t>(load.expected.kv_entries);
    }
    CHECK(held == kv_entries.size());
  }
  // Attempts that the workers have open, by their own count.
  int open_requests(const std::string& name) { return worker(name).open_requests; }
  std::size_t count_requests(const std::string& start) const {
    std::size_t n = 0;
    for (const auto& w : workers)
      for (const std::string& line : w->request_log) n += line.starts_with(start);
    return n;
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
  io::Task<> talk(std::string name, std::string text, io::Nanos leave, std::size_t answers) {
    ReceivedResponse got;
    const io::Nanos began = loop.now();
    io::Socket socket;
    const io::IoResult made = co_await io::connect(loop, node->address(), socket);
    CHECK(made.ok());
    http::MessageReader reader(socket, http::MessageKind::response);
    co_await socket.write_all(text);
    io::Scope leaver(loop);
    if (leave > 0)
      leaver.spawn([](io::Loop& l, io::Nanos span, io::Socket& s) -> io::Task<> {
        co_await l.sleep_for(span);
        s.close();
      }(loop, leave, socket));
    for (std::size_t i = 0; i < answers; ++i) {
      got = {};
      http::Head head;
      http::MessageError fault = co_await reader.read_head(head);
      got.connection_closed = fault == http::MessageError::closed;
      got.status = head.status, got.last_byte_at = loop.now();
      if (fault == http::MessageError::none)
        for (const auto& [key, value] : head.fields)
          got.fields.append(key).append(": ").append(value).append("\n");
      while (fault == http::MessageError::none && reader.has_more()) {
        fault = co_await reader.read_some_body(got.body);
        got.last_byte_at = loop.now();
      }
      got.complete = got.status != 0 && fault == http::MessageError::none;
      got.elapsed = loop.now() - began;
      responses[name].push_back(got);
      if (!got.complete) break;
    }
    if (got.complete && leave == 0) {  // whether the router ends the connection by itself
      const auto ended =
          co_await io::with_deadline(loop, loop.now() + 1500 * kMs, [](io::Socket& s) -> io::Task<bool> {
            co_await s.wait_for_peer_close();
            co_return true;
          }(socket));
      got.connection_closed = ended.has_value();
    }
    leaver.cancel();
    last_responses[name] = got;
  }
};

}  // namespace cressrill::testing
