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
struct Act {
  // abandon: the attempt is over at the worker once it has sent its text, and its connection, which stays open, tells
  // nothing of it; a later text was under way meanwhile.
  enum class Then { keep, close, reset, hold, abandon };
  std::string text;  // sent in place of an answer
  Then then{Then::keep};
  io::Nanos after{};    // waits so long first
  bool usual{};         // after that wait, answers as usual
  bool leaves{};        // a state stays here before that
  std::string later{};  // sent so long behind the text:
  io::Nanos behind{50 * kMs};
  bool takes{};  // what is held for the request is taken before the text
  // With Worker::whole_links: a prefill that is under way as the end of its connection arrives leaves a state all the same.
  bool leaves_at_end{};
};

// A worker that says full to all that is sent, each time after 30 ms.
inline std::deque<Act> always_full() {
  return std::deque<Act>(
      20, {http::response_text(503, "X-Rejected: 1\r\n", "", true), Act::Then::keep, 30 * kMs});
}

// States that readers hold, by the id of their request: who holds them. A release frees none that an attempt waits for, and
// voids a read that is under way.
struct States : std::map<std::string, std::string> {
  std::multiset<std::string> awaited;
  std::map<std::string, int> releases;
  struct Attempts {
    int out{};           // at running workers,
    io::Nanos last{-1};  // and when one was last
    bool unheard{};      // a prefill has ended without an answer, on a connection that stays open
  };
  std::map<std::string, Attempts> attempts;
  std::function<void(const std::string&)> on_event;  // is told what workers see and do, a line each
  void tell(const std::string& line) const {
    if (on_event) on_event(line);
  }
};

class Worker {
 public:
  Worker(io::Loop& loop, std::string its_name, bool is_reader, States& states)
      : name(std::move(its_name)),
        reads(is_reader),
        loop_(loop),
        states_(states),
        listener_(std::make_unique<io::Listener>(loop, kAnyPort)),
        address(listener_->address().text()),
        scope_(loop) {
    scope_.spawn(accept());
  }
  void die() {
    scope_.cancel();
    listener_.reset();
    open = 0;
  }

  std::string name;
  bool reads;
  int events{3};
  std::deque<Act> acts;
  std::vector<std::string> seen;   // a line for each request that came whole
  std::vector<std::string> texts;  // of those that are no release: body,
  std::vector<std::string> heads;  // and fields, a line each
  int open{};                      // requests that came and whose connection is neither answered nor ended
  int connections{};
  bool silent{};  // what comes is taken, and nothing is done
  bool loses_releases{};
  io::Nanos confirms_after{};  // answers releases so much later
  // A cut link keeps answers and ends of connections as well, and an attempt is over as the end of its connection arrives.
  bool whole_links{};
  std::string answering;               // the request whose answer is written, as these are called:
  std::function<void()> answers;       // called as an answer, or its first part, is about to be written,
  std::function<void()> has_answered;  // and once it was, with no look at any socket between
  // Links that pass nothing and stay open, while the worker runs on: all of them, or the first so many connections. What
  // was written to them meanwhile arrives once they pass again.
  bool cut{};
  int cut_connections{};

 private:
  io::Loop& loop_;
  States& states_;
  std::unique_ptr<io::Listener> listener_;

 public:
  std::string address;

 private:
  io::Task<> accept() {
    for (;;) {
      io::Socket s = co_await listener_->accept();
      ++connections;
      scope_.spawn(serve(std::move(s), connections));
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
    Awaits(States& among, std::string its_id) : states(among), id(std::move(its_id)) {
      if (!id.empty()) states.awaited.insert(id);
    }
    ~Awaits() { end(); }
    void end() {
      if (!id.empty()) states.awaited.erase(states.awaited.find(id));
      id.clear();
    }
    Awaits(const Awaits&) = delete;
    Awaits& operator=(const Awaits&) = delete;
    States& states;
    std::string id;
  };
  // An attempt that is out at this worker, until it has ended here.
  struct Out {
    Out(Worker& at, std::string its_id) : worker(at), id(std::move(its_id)) {
      note().out += 1;
      worker.states_.tell(fmt::format("{}: attempt of {} arrives", worker.name, id));
    }
    ~Out() { end(); }
    void end() {
      if (std::exchange(over, true)) return;
      note().out -= 1;
      worker.states_.tell(fmt::format("{}: attempt of {} is over", worker.name, id));
    }
    States::Attempts& note() {
      States::Attempts& attempts = worker.states_.attempts[id];
      attempts.last = worker.loop_.now();
      return attempts;
    }
    Out(const Out&) = delete;
    Out& operator=(const Out&) = delete;
    Worker& worker;
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
  bool link_is_cut(int connection) const { return cut || connection <= cut_connections; }
  io::Task<> link_passes(int connection) {
    while (link_is_cut(connection)) co_await loop_.sleep_for(5 * kMs);
  }
  io::Task<> watch_connection(io::Socket& s, Attempt& attempt, const Act& act) {
    co_await s.peer_gone();
    attempt.open.end();
    if (!whole_links) co_return;
    co_await link_passes(attempt.connection);
    attempt.gone = true;
    if (act.leaves_at_end && !attempt.out.over) leave_state(attempt.out.id, attempt.releases);
    attempt.end();
  }
  // number: which connection this is, from 1.
  io::Task<> serve(io::Socket s, int number) {
    http::Reader reader(s, http::Kind::request);
    for (;;) {
      http::Head head;
      std::string body;
      if (co_await reader.head(head) != http::Fault::none) co_return;
      if (co_await reader.rest(body) != http::Fault::none) co_return;
      const std::string target(head.target);
      if (silent) co_await loop_.sleep_for(600 * io::kSecond);
      co_await link_passes(number);
      if (head.method == "DELETE") {
        const std::string id = target.substr(target.rfind('/') + 1);
        if (loses_releases) co_await loop_.sleep_for(600 * io::kSecond);
        seen.push_back("DELETE " + id);
        ++states_.releases[id];
        states_.tell(fmt::format("{}: release of {} arrives", name, id));
        if (!states_.awaited.contains(id)) states_.erase(id);
        if (confirms_after > 0) co_await loop_.sleep_for(confirms_after);
        if (whole_links) co_await link_passes(number);
        co_await s.write_all("HTTP/1.1 204 No Content\r\n\r\n");
        continue;
      }
      const std::string id(head.field("x-call-id").value_or("none"));
      seen.push_back(fmt::format("{} {} {}", head.method, target, id));
      texts.push_back(body);
      heads.emplace_back();
      for (const auto& [field, value] : head.fields)
        heads.back().append(field).append(": ").append(value).append("\n");
      Attempt attempt{Open(open), Awaits(states_, reads ? "" : id), Out(*this, id), number,
                      states_.releases[id]};
      Act act{"", Act::Then::keep, 0, true};
      if (!acts.empty()) act = acts.front(), acts.pop_front();
      io::Scope watch(loop_);
      watch.spawn(watch_connection(s, attempt, act));
      if (act.after > 0) co_await loop_.sleep_for(act.after);
      if (attempt.gone) co_return;
      if (act.usual) {
        if (reads)
          co_await read(s, attempt);
        else
          co_await write(s, attempt);
        continue;
      }
      if (act.leaves) leave_state(id, attempt.releases);
      if (act.leaves && reads) {
        const bool no_answer = act.then == Act::Then::hold || !act.later.empty();
        if (no_answer || link_is_cut(number)) attempt.out.note().unheard = true;
        attempt.out.end();
      }
      if (act.takes) take_state(id);
      if (whole_links) {
        if (act.then != Act::Then::hold) attempt.end();
        co_await link_passes(number);
      }
      about_to_answer(id);
      co_await s.write_all(act.text);
      if (has_answered) has_answered();
      if (act.then == Act::Then::abandon) attempt.end(), attempt.open.end();
      if (!act.later.empty()) {
        co_await loop_.sleep_for(act.behind);
        if (whole_links) co_await link_passes(number);
        co_await s.write_all(act.later);
      }
      if (act.then == Act::Then::hold || act.then == Act::Then::abandon)
        co_await loop_.sleep_for(600 * io::kSecond);
      if (act.then == Act::Then::reset) s.close(true);
      if (act.then != Act::Then::keep) co_return;
    }
  }
  void about_to_answer(const std::string& id) {
    answering = id;
    states_.tell(fmt::format("{}: answers {}", name, id));
    if (answers) answers();
  }
  // releases: of that request, as the read began.
  void leave_state(const std::string& id, int releases) {
    if (states_.releases[id] != releases) return;
    states_[id] = name;
    states_.tell(fmt::format("{}: holds KV cache of {}", name, id));
  }
  bool take_state(const std::string& id) {
    if (states_.erase(id) == 0) return false;
    states_.tell(fmt::format("{}: takes KV cache of {}", name, id));
    return true;
  }
  io::Task<> read(io::Socket& s, Attempt& attempt) {
    co_await loop_.sleep_for(20 * kMs);
    if (attempt.gone) co_return;
    leave_state(attempt.out.id, attempt.releases);
    if (whole_links && link_is_cut(attempt.connection)) attempt.out.note().unheard = true;
    attempt.out.end();
    if (whole_links) co_await link_passes(attempt.connection);
    about_to_answer(attempt.out.id);
    co_await s.write_all(
        "HTTP/1.1 202 Accepted\r\nX-Load-Report: concurrent=1,x0=0.2\r\n"
        "content-length: 20\r\n\r\n{\"cached_tokens\":128}");
    if (has_answered) has_answered();
  }
  io::Task<> write(io::Socket& s, Attempt& attempt) {
    if (!take_state(attempt.out.id)) {
      if (whole_links) {
        attempt.end();
        co_await link_passes(attempt.connection);
      }
      co_await s.write_all("HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\ncontent-length: 0\r\n\r\n");
      co_return;
    }
    if (whole_links) co_await link_passes(attempt.connection);
    about_to_answer(attempt.out.id);
    co_await s.write_all(stream_head());
    if (has_answered) has_answered();
    for (int i = 0; i < events; ++i) {
      if (whole_links) co_await link_passes(attempt.connection);
      co_await s.write_all(framed(event(i)));
      co_await loop_.sleep_for(20 * kMs);
    }
    co_await s.write_all(framed(ending()) + framed(": X-Load-Report: concurrent=2,x0=0.3\n\n") + "0\r\n\r\n");
  }

 public:
  static std::string stream_head() {
    return "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
  }
  static std::string event(int i) {
    return fmt::format("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{}\"}}}}]}}\n\n", i);
  }
  static std::string ending() {
    return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":3,"
           "\"prompt_tokens_details\":{\"cached_tokens\":96}}}\n\ndata: [DONE]\n\n";
  }
  static std::string framed(std::string_view data) {
    std::string out;
    append_chunk(out, data);
    return out;
  }

 private:
  io::Scope scope_;
};

// Discovery's agent: the whole list, and watches that wait for a newer version.
class Agent {
 public:
  explicit Agent(io::Loop& loop) : loop_(loop), changed_(loop), at_(kAnyPort) {
    open();
    at_ = server_->address();
  }
  const io::Address& address() const { return at_; }
  void put(const json& target) {
    std::erase_if(all_, [&](const json& t) { return t["uid"] == target["uid"]; });
    if (target["state"] != "removed") all_.push_back(target);
    changes_.emplace_back(++rev, target);
    if (changes_.size() > 1000) changes_.erase(changes_.begin(), changes_.begin() + 500);
    changed_.notify();
  }
  // Calls that are open now are never answered.
  void forget_calls() { ++forgotten_; }
  // Open calls are reset, new ones refused.
  void close() { server_.reset(); }
  void open() {
    server_.emplace(loop_, at_, [this](http::Request& r, http::Answer& a) {
      return answer(std::string(r.head.target), a);
    });
  }
  std::size_t whole_lists() const {
    return static_cast<std::size_t>(std::ranges::count(calls, "/discovery/hosts"));
  }
  std::uint64_t rev{40};
  bool silent{};     // new calls are never answered
  io::Nanos slow{};  // and answers take so long more
  bool indented{};
  bool always_whole{};  // watches too are answered with the whole list
  std::vector<std::string> calls;

 private:
  io::Task<> answer(std::string target, http::Answer& to) {
    calls.push_back(target);
    const int of = forgotten_;
    if (silent) co_await loop_.sleep_for(600 * io::kSecond);
    const std::size_t at = target.find("index=");
    std::vector<json> some;
    if (at != std::string::npos) {
      const auto after = static_cast<std::uint64_t>(std::stoll(target.substr(at + 6)));
      const io::Nanos until = loop_.now() + std::stoll(target.substr(target.find("wait=") + 5)) * kMs;
      while (rev == after && loop_.now() < until) co_await io::wait_until(loop_, changed_, until);
      for (const auto& [version, changed] : changes_)
        if (version > after) some.push_back(changed);
    }
    const bool whole = at == std::string::npos || always_whole;
    const std::string text =
        json{{"rev", rev}, {"all", whole}, {"targets", json(whole ? all_ : some)}}.dump(indented ? 2 : -1);
    if (slow > 0) co_await loop_.sleep_for(slow);
    if (of != forgotten_) co_await loop_.sleep_for(600 * io::kSecond);
    co_await to.whole(200, "", text);
  }
  io::Loop& loop_;
  io::Signal changed_;
  io::Address at_;
  int forgotten_{};
  std::vector<json> all_;
  std::vector<std::pair<std::uint64_t, json>> changes_;
  std::optional<http::Server> server_;
};

inline json small_settings() {
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

struct Got {
  int status{};
  std::string fields;
  std::string body;
  bool whole{};   // framed to its end
  bool closed{};  // the connection ended
  io::Nanos took{};
  io::Nanos last{};  // when its last byte had come
};

class Site {
 public:
  explicit Site(int readers = 2, int writers = 2, const json& settings = small_settings(),
                std::size_t descriptors = 256, const router::MakePolicy& make = make_policy)
      : agent(loop), log("n0", "off") {
    for (int i = 0; i < readers + writers; ++i) {
      const bool reads = i < readers;
      workers.push_back(std::make_unique<Worker>(
          loop, reads ? fmt::format("reader-{}", i) : fmt::format("writer-{}", i - readers), reads, states));
      agent.put(target(*workers.back()));
    }
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"discovery", agent.address().text()},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", descriptors}}},
              {"known", {{"rev", 3}, {"all", true}, {"targets", json::array()}}},
              {"settings", settings}};
    placement = std::make_unique<platform::Placement>(platform::read_placement(config.dump()));
    node = std::make_unique<platform::Node>(loop, *placement, log, make);
    pass(20);
  }
  ~Site() {
    scope.cancel();
    node.reset();
  }
  static json target(const Worker& w, const std::string& state = "up") {
    return target(w.name, w.address, w.reads, state);
  }
  static json target(const std::string& name, const std::string& address, bool reads,
                     const std::string& state = "up") {
    return {{"uid", name},          {"endpoint", address},
            {"az", "east"},         {"model", reads ? "prefill" : "decode"},
            {"pod_group", 3},       {"state", state},
            {"capacity_hint", 1.0}, {"boot_ms", 0}};
  }
  Worker& worker(const std::string& name) {
    for (auto& w : workers)
      if (w->name == name) return *w;
    throw std::invalid_argument(name);
  }
  void pass(std::int64_t ms) { testing::pass(loop, ms); }
  // Runs until that holds, for ten seconds of handed time at most.
  template <class Condition>
  bool until(Condition condition) {
    const io::Nanos last = loop.now() + 10 * io::kSecond;
    loop.run_until([&] { return condition() || loop.now() > last; });
    return condition();
  }

  static std::string prompt(int words = 100) {
    std::string text;
    for (int i = 0; i < words; ++i) text += "word ";
    return json{{"model", "chat"},
                {"stream", true},
                {"max_tokens", 100},
                {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
  }
  static std::string call(const std::string& id, const std::string& body = prompt(),
                          const std::string& budget = "4800") {
    return with({{"X-Call-Id", id},
                 {"X-Call-Class", "chat"},
                 {"X-Caller", "acme"},
                 {"X-Route-Hash", "7f3a9c21e0b4d655"},
                 {"X-Budget-Ms", budget},
                 {"X-Call-Info", "prefix=5c0f6e1a2b3d4c59,prompt_len=128,prefix_len=64,max_out=100"}},
                body);
  }
  static std::string with(const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body = prompt()) {
    std::string out = "POST /v1/chat/completions?trace=1 HTTP/1.1\r\nHost: service.internal\r\n";
    for (const auto& [name, value] : fields) out.append(name).append(": ").append(value).append("\r\n");
    return out.append(fmt::format("Content-Length: {}\r\n\r\n", body.size())).append(body);
  }

  // Sends a text on a connection of its own and goes on; what comes stands in heard[name], once it has ended, and in
  // coming[name] meanwhile. leave: closes after so long.
  void send(const std::string& name, std::string text, io::Nanos leave = 0, std::size_t answers = 1) {
    scope.spawn(talk(name, std::move(text), leave, answers));
  }
  const Got& answer(const std::string& name) {
    const bool came = loop.run_until([&] { return heard.contains(name); });
    CHECK_MESSAGE(came, "no answer to " << name);
    return heard[name];
  }
  // Whether that worker is listed as ready.
  bool listed_ready(const std::string& name) const {
    for (const auto& link : node->host().fleet().links())
      if (link && link->listed.name == name) return link->not_ready_since == 0;
    return false;
  }
  // What the decisions believe of load against what passes on the sockets.
  void agree() {
    std::size_t held = 0;
    for (const auto& load : node->host().loads()) {
      CAPTURE(load.worker);
      CHECK(load.believed.pending == load.out);
      CHECK(load.out <= worker(load.worker).open);  // a stream that flows is open there too
      held += static_cast<std::size_t>(load.believed.states);
    }
    CHECK(held == states.size());
  }
  // Attempts that the workers have open, by their own count.
  int open_at(const std::string& name) { return worker(name).open; }
  std::size_t lines(const std::string& start) const {
    std::size_t n = 0;
    for (const auto& w : workers)
      for (const std::string& line : w->seen) n += line.starts_with(start);
    return n;
  }

  io::Loop loop{io::Loop::Time::handed};
  States states;
  std::vector<std::unique_ptr<Worker>> workers;
  Agent agent;
  core::Log log;
  json config;
  std::unique_ptr<platform::Placement> placement;
  std::unique_ptr<platform::Node> node;
  std::map<std::string, Got> heard;
  std::map<std::string, std::vector<Got>> all;
  io::Scope scope{loop};

 private:
  io::Task<> talk(std::string name, std::string text, io::Nanos leave, std::size_t answers) {
    Got got;
    const io::Nanos began = loop.now();
    io::Socket socket;
    const io::Moved made = co_await io::connect(loop, node->address(), socket);
    CHECK(made.ok());
    http::Reader reader(socket, http::Kind::response);
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
      http::Fault fault = co_await reader.head(head);
      got.closed = fault == http::Fault::closed;
      got.status = head.status, got.last = loop.now();
      if (fault == http::Fault::none)
        for (const auto& [key, value] : head.fields)
          got.fields.append(key).append(": ").append(value).append("\n");
      while (fault == http::Fault::none && reader.more()) {
        fault = co_await reader.body(got.body);
        got.last = loop.now();
      }
      got.whole = got.status != 0 && fault == http::Fault::none;
      got.took = loop.now() - began;
      all[name].push_back(got);
      if (!got.whole) break;
    }
    if (got.whole && leave == 0) {  // whether the router ends the connection by itself
      const auto ended =
          co_await io::within(loop, loop.now() + 1500 * kMs, [](io::Socket& s) -> io::Task<bool> {
            co_await s.peer_gone();
            co_return true;
          }(socket));
      got.closed = ended.has_value();
    }
    leaver.cancel();
    heard[name] = got;
  }
};

}  // namespace cressrill::testing
