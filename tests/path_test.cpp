// The whole path on loopback, each failure played through real sockets on handed time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "engine_fixture.h"

namespace cressrill::testing {

namespace {

rig::Fault fault(const char* kind, double size = 0, int for_ms = 0) {
  return {kind, size, for_ms * io::kMs, ""};
}

// A peer that answers each connection's requests with the given texts, one after the other, then does as told.
class ScriptedPeer {
 public:
  enum class Then { close, reset, hold };
  ScriptedPeer(EngineFixture& world, std::vector<std::string> answers, Then then)
      : answers_(std::move(answers)), then_(then), listener_(world.loop, kAnyPort), scope_(world.loop) {
    scope_.spawn(accept());
  }
  std::string address() const { return listener_.address().to_string(); }
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  io::Task<> accept() {
    for (;;) {
      io::Socket s = co_await listener_.accept();
      ++connections_;
      scope_.spawn(serve(std::move(s)));
    }
  }
  io::Task<> serve(io::Socket s) {
    http::MessageReader reader(s, http::MessageKind::request);
    for (std::size_t i = 0;; ++i) {
      http::Head head;
      std::string body;
      if (co_await reader.read_head(head) != http::MessageError::none) break;
      if (co_await reader.read_body(body) != http::MessageError::none) break;
      ++requests_;
      if (i >= answers_.size()) break;
      co_await s.write_all(answers_[i]);
      if (i + 1 == answers_.size() && then_ != Then::hold) break;
    }
    s.close(then_ == Then::reset);
  }
  std::vector<std::string> answers_;
  Then then_;
  int requests_{};
  int connections_{};
  io::Listener listener_;
  io::Scope scope_;
};

void list(EngineFixture& w, const std::string& name, const std::string& address, const char* kind,
          WorkerStatus standing = WorkerStatus::ready) {
  w.discovery.change({name, address, standing, 0, kind, "east", "e1"});
  w.run_for(5);
}

std::string stream_start() {
  std::string out = http::format_stream_head(200, "content-type: text/event-stream\r\n", true);
  append_chunk(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t0 \"}}]}\n\n");
  return out;
}

}  // namespace

TEST_CASE("the ordinary path: read, moved, written, streamed") {
  EngineFixture w;
  w.send(w.request("a"));
  CHECK(w.response("a").how == "generated");
  CHECK(w.response("a").tokens == 4);
  w.run_for(100);
  w.check_rules_hold();
  compare_trace("path_ordinary", w.trace());
}

TEST_CASE("a whole answer is put together from the stream") {
  EngineFixture w;
  w.send(w.request("a", 12, "m", false));
  CHECK(w.response("a").how == "generated");
  CHECK(w.response("a").tokens == 12);
  w.check_rules_hold();
}

TEST_CASE("the session's next turn goes to the reader that holds it") {
  EngineFixture w;
  w.send(w.request("a", 4, "m", true, 600));
  w.response("a");
  rig::Question again = w.request("a", 4, "m", true, 700);
  again.sequence = "b", again.id = "b.0";
  w.send(again);
  w.response("b");
  compare_trace("path_next_turn", w.trace());
}

TEST_CASE("an engine that answers after its attempt was given up: one answer, the state is let go") {
  EngineFixture w(2, 1);
  for (auto& e : w.engines)
    if (e->make().role == Role::prefill) e->apply(fault("slow", 200, 4000));
  w.send(w.request("a", 4, "m", true, 300));
  w.response("a");
  w.run_for(10'000);
  w.check_rules_hold();
  CHECK(w.count_events("held") == w.count_events("taken") + w.count_events("freed"));
  for (const auto& e : w.engines) CHECK(e->states() == 0);
}

TEST_CASE("a stream that breaks after some tokens ends with one error event") {
  EngineFixture w(1, 1);
  w.engine("writer-0").apply(fault("cut", 1));
  w.send(w.request("a", 20));
  CHECK(w.response("a").how == "broken");
  CHECK(w.response("a").tokens > 5);
  w.run_for(2000);
  w.check_rules_hold();
  compare_trace("path_cut", w.trace());
}

TEST_CASE("a stream that stands still for good is broken off, and its client is told") {
  EngineFixture w(1, 1);
  w.send(w.request("a", 50));
  w.run_until_recorded("ran");
  w.run_for(100);
  w.engine("writer-0").apply(fault("vanish"));
  const io::Nanos stood_still = w.loop.now();
  CHECK(w.response("a").how == "broken");
  CHECK(w.loop.now() - stood_still <= 30 * io::kSecond);
  CHECK(w.loop.now() - stood_still > 29 * io::kSecond);
  CHECK(w.router->host().live_requests() == 0);
  w.check_rules_hold();
}

TEST_CASE("replies cut in the middle: of a head, of a chunk, of an event; each sequence still ends once") {
  const std::string event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t1 ";
  std::string chunk;
  append_chunk(chunk, event);
  const std::string starts[] = {"HTTP/1.1 200 OK\r\ncontent-ty", stream_start() + "3f\r\ndata: {\"cho",
                                stream_start() + chunk};
  for (int i = 0; i < 3; ++i)
    for (const auto then : {ScriptedPeer::Then::close, ScriptedPeer::Then::reset}) {
      EngineFixture w(1, 0);
      ScriptedPeer peer(w, {starts[i]}, then);
      list(w, "odd", peer.address(), "decode");
      w.send(w.request("a"));
      const std::string how = w.response("a").how;
      // A reset may take unread bytes with it: then the sequence had not begun.
      CHECK((how == "broken" || how == "rejected"));
      if (i == 0) CHECK(how == "rejected");
      if (i > 0 && then == ScriptedPeer::Then::close) CHECK(how == "broken");
      w.run_for(8000);
      CHECK(w.verdict().rules[0].offences ==
            0);  // the peer streams without fetching: its state is no one's to judge
    }
}

TEST_CASE("a reader's reply that is no reply is an error there, and the sequence goes elsewhere or ends") {
  EngineFixture w(0, 1);
  ScriptedPeer peer(w, {http::format_response(200, "", "not json", true)}, ScriptedPeer::Then::hold);
  list(w, "odd", peer.address(), "prefill");
  w.send(w.request("a"));
  CHECK(w.response("a").how == "rejected");
  w.check_rules_hold();
}

TEST_CASE("a client that leaves between read and write: its state is let go in time") {
  EngineFixture w(1, 1);
  w.engine("writer-0").apply(fault("vanish", 0, 0));
  rig::Question q = w.request("a");
  {
    io::Scope client(w.loop);
    client.spawn([](EngineFixture& world, rig::Question it) -> io::Task<> {
      co_await rig::ask(world.loop, world.recorder, std::move(it));
    }(w, q));
    w.run_until_recorded("held");
    w.run_for(20);
  }  // the client's connection closes with its coroutine
  w.recorder.note("final",
                  {{"id", "a.0"}, {"sequence", "a"}, {"router", "r"}, {"type", "plain"}, {"how", "left"}});
  w.run_for(900);
  CHECK(w.count_events("freed") == 1);
  w.check_rules_hold();
  CHECK(w.router->host().live_requests() == 0);
}

TEST_CASE("a drain told while a connection to that engine is being opened: nothing new after the grace") {
  EngineFixture w(1, 0);
  // A listener whose line is full: the kernel answers no more connections, and the router's hangs.
  io::Listener full(w.loop, kAnyPort, 0);
  std::vector<io::Socket> fill(3);
  io::Scope filling(w.loop);
  for (io::Socket& s : fill)
    filling.spawn([](io::Loop& l, io::Address a, io::Socket& to) -> io::Task<> {
      co_await io::connect(l, a, to);
    }(w.loop, full.address(), s));
  w.run_for(1);
  list(w, "hung", full.address().to_string(), "decode");
  w.send(w.request("a"));
  w.run_until_recorded("held");
  w.run_for(50);
  list(w, "hung", full.address().to_string(), "decode", WorkerStatus::draining);
  CHECK(w.response("a").how == "rejected");
  w.run_for(1000);
  w.check_rules_hold();
}

TEST_CASE("a draining engine gets nothing new, and finishes what it has") {
  EngineFixture w(2, 2);
  w.send(w.request("a", 60));
  w.run_until_recorded("ran");
  for (const char* name : {"reader-0", "writer-0"})
    w.discovery.change(rig::listed(w.engine(name), WorkerStatus::draining));
  w.run_for(600);
  const int before = w.count_events("in", "reader-0") + w.count_events("in", "writer-0");
  for (int i = 0; i < 6; ++i) w.send(w.request("b" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) CHECK(w.response("b" + std::to_string(i)).how == "generated");
  CHECK(w.response("a").how == "generated");
  CHECK(w.count_events("in", "reader-0") + w.count_events("in", "writer-0") == before);
  w.check_rules_hold();
}

TEST_CASE(
    "a kept connection closed just as it is used again may have run; one closed before is only made anew") {
  SUBCASE("the request had left: a once-only sequence is not sent again and not rejected") {
    EngineFixture w(1, 0);
    std::string whole = stream_start();
    append_chunk(whole, "data: [DONE]\n\n");
    ScriptedPeer peer(w, {whole + std::string(http::kLastChunk)}, ScriptedPeer::Then::hold);
    list(w, "odd", peer.address(), "decode");
    w.send(w.request("a", 1, "once"));
    CHECK(w.response("a").how == "generated");
    w.send(w.request("b", 1, "once"));  // the peer reads it and closes without a word
    CHECK(w.response("b").how == "aborted");
    CHECK(peer.requests() == 2);
    w.run_for(2000);
    w.check_rules_hold();
  }
  SUBCASE("nothing was sent: another connection carries it") {
    EngineFixture w(1, 0);
    std::string whole = stream_start();
    append_chunk(whole, "data: [DONE]\n\n");
    ScriptedPeer peer(w, {whole + std::string(http::kLastChunk)}, ScriptedPeer::Then::close);
    list(w, "odd", peer.address(), "decode");
    for (const char* name : {"a", "b", "c"}) {
      w.send(w.request(name, 1, "once"));
      CHECK(w.response(name).how == "generated");
      w.run_for(20);
    }
    CHECK(peer.connections() == 3);
    w.check_rules_hold();
  }
}

TEST_CASE(
    "engines that say 503, with and without Retry-After, are full: the sequence is rejected and may return") {
  for (const char* fields : {"", "retry-after: 1\r\n"}) {
    EngineFixture w(0, 1);
    ScriptedPeer peer(w, std::vector<std::string>(20, http::format_response(503, fields, "{}", true)),
                      ScriptedPeer::Then::hold);
    list(w, "full", peer.address(), "prefill");
    w.send(w.request("a", 4, "once"));
    CHECK(w.response("a").how == "rejected");
    CHECK(w.response("a").retry_after > 0);
    w.check_rules_hold();
  }
}

TEST_CASE("every engine full: all are rejected at once or in time, none is lost") {
  EngineFixture w(2, 2, make_policy, [](EngineMake& m) { m.slots = 1, m.queue = 0; });
  for (int i = 0; i < 30; ++i) w.send(w.request("s" + std::to_string(i), 100));
  std::map<std::string, int> how;
  for (int i = 0; i < 30; ++i) ++how[w.response("s" + std::to_string(i)).how];
  CHECK(how["rejected"] + how["generated"] == 30);
  CHECK(how["rejected"] > 0);
  CHECK(how["generated"] > 0);
  w.run_for(8000);
  w.check_rules_hold();
}

TEST_CASE("the roster gone for good: the last list serves") {
  EngineFixture w;
  w.discovery.go_away();
  w.run_for(5000);
  for (int i = 0; i < 4; ++i) w.send(w.request("s" + std::to_string(i)));
  for (int i = 0; i < 4; ++i) CHECK(w.response("s" + std::to_string(i)).how == "generated");
  w.check_rules_hold();
}

TEST_CASE("a reader dies while its state waits to be moved: read again elsewhere") {
  EngineFixture w(2, 1, make_policy, [](EngineMake& m) { m.transfer_per_s = 300; });
  w.send(w.request("a"));
  w.run_until_recorded("held");
  w.run_for(20);
  for (const char* name : {"reader-0", "reader-1"})
    if (w.count_events("held", name) > 0) w.engine(name).apply(fault("crash", 0, 3000));
  CHECK(w.response("a").how == "generated");
  w.run_for(5000);
  w.check_rules_hold();
}

TEST_CASE("a silent engine is left in time, and what waited there goes elsewhere") {
  EngineFixture w(2, 2);
  w.engine("writer-0").apply(fault("vanish", 0, 8000));
  for (int i = 0; i < 6; ++i) w.send(w.request("s" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) CHECK(w.response("s" + std::to_string(i)).how == "generated");
  w.run_for(12'000);
  w.check_rules_hold();
}

TEST_CASE("a request that cannot be read gets one 4xx, its connection ends, and no engine hears of it") {
  const std::string good = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
  const std::string big =
      R"({"model":"m","messages":[{"role":"user","content":")" + std::string(30'000, 'x') + "\"}]}";
  const auto post = [](const std::string& fields, const std::string& body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\n" + fields + "\r\n" + body;
  };
  const auto length = [](const std::string& body) {
    return "content-length: " + std::to_string(body.size()) + "\r\n";
  };
  const std::pair<const char*, std::string> cases[] = {
      {"body over the limit", post(length(big), big)},
      {"bad JSON", post(length("{\"model\":"), "{\"model\":")},
      {"not an object", post(length("[1]"), "[1]")},
      {"told twice", post(length(R"({"model":"m","model":"m"})"), R"({"model":"m","model":"m"})")},
      {"length told twice", post(length(good) + length(good), good)},
      {"length and chunks", post(length(good) + "transfer-encoding: chunked\r\n", "0\r\n\r\n")},
      {"chunks and length", post("transfer-encoding: chunked\r\n" + length(good), "0\r\n\r\n")},
      {"head over the limit", post("x-long: " + std::string(4000, 'y') + "\r\n" + length(good), good)},
      {"not HTTP", "hello\r\n\r\n"},
      {"a space before the colon", post("content-length : 3\r\n", "abc")},
      {"unknown model", post(length(R"({"model":"z","messages":[{"role":"user","content":"a"}]})"),
                             R"({"model":"z","messages":[{"role":"user","content":"a"}]})")},
      {"unknown path", "POST /v1/other HTTP/1.1\r\nhost: r\r\ncontent-length: 0\r\n\r\n"},
      {"wrong method", "GET /v1/chat/completions HTTP/1.1\r\nhost: r\r\n\r\n"},
  };
  EngineFixture w;
  std::string trace;
  for (const auto& [name, text] : cases) {
    std::string got;
    bool done = false;
    w.scope.spawn([](EngineFixture& world, std::string request, std::string& to, bool& d) -> io::Task<> {
      io::Socket s;
      co_await io::connect(world.loop, world.router->address(), s);
      co_await s.write_all(request);
      std::array<char, 4096> buffer;
      for (;;) {
        const io::IoResult m = co_await s.read_some(buffer);
        if (!m.ok() || m.bytes == 0) break;
        to.append(buffer.data(), m.bytes);
      }
      d = true;  // the router ended the connection
    }(w, text, got, done));
    const bool ended = w.loop.run_until([&] { return done; });
    CHECK_MESSAGE(ended, name);
    CHECK(got.find("HTTP/1.1", 5) == std::string::npos);  // one answer
    const std::size_t code = got.find("\"code\":");
    trace += fmt::format(
        "{:<26} {} {}\n", name, got.substr(9, 3),
        code == std::string::npos ? "-" : got.substr(code + 7, got.find_first_of(",}", code) - code - 7));
  }
  CHECK(w.count_events("in") == 0);
  compare_trace("path_unreadable", trace);
}

TEST_CASE("told to stop: what is in hand is settled, nothing new is taken") {
  EngineFixture w;
  w.send(w.request("a", 50));
  w.run_until_recorded("ran");
  w.router->stop();
  w.send(w.request("b"));
  CHECK(w.response("b").how == "unreached");
  CHECK(w.response("a").how == "generated");
  w.run_for(50);
  CHECK(w.router->is_idle());
  w.check_rules_hold();
}

TEST_CASE("many at once through all kinds of trouble: every rule holds") {
  EngineFixture w(3, 4, make_policy, [](EngineMake& m) { m.slots = 6, m.queue = 6; });
  const std::pair<const char*, rig::Fault> troubles[] = {
      {"reader-0", fault("crash", 0, 2000)},         {"writer-0", fault("vanish", 0, 3000)},
      {"writer-1", fault("fast_errors", 0.9, 2000)}, {"reader-1", fault("flush")},
      {"writer-2", fault("cut", 0.5, 2000)},         {"reader-2", fault("slow", 5, 2000)},
      {"writer-3", fault("throttle", 0.7, 2000)},
  };
  int n = 0;
  for (const auto& [name, f] : troubles) {
    w.engine(name).apply(f);
    for (int i = 0; i < 12; ++i, ++n) {
      static constexpr const char* kModels[] = {"m", "m", "tokened", "once"};
      rig::Question q =
          w.request("s" + std::to_string(n), 15, kModels[n % 4], n % 5 != 0, 100 + 50 * (n % 7));
      if (n % 9 == 0) q.leave_after_first = 30 * io::kMs;
      w.send(q);
      w.run_for(40);
    }
  }
  for (int i = 0; i < n; ++i) w.response("s" + std::to_string(i));
  w.run_for(10'000);
  w.check_rules_hold();
  for (const auto& e : w.engines) CHECK(e->states() == 0);
  CHECK(w.router->host().live_requests() == 0);
}

// A faulty host: the decisions pass through it, with one guard taken out. It lives in the tests alone; the verdict
// must see from outside what it does.
class Faulty final : public Policy, public Actions {
 public:
  Faulty(int rule, const PolicySettings& d, std::uint64_t seed, Nanos now, Actions& out)
      : rule_(rule), out_(out), inner_(make_policy(d, seed, now, *this)) {}
  void list_begins(Nanos now, bool complete) override { inner_->list_begins(now, complete); }
  void worker_listed(int worker, std::uint64_t identity, WorkerStatus standing, Nanos started, int kind,
                     int zone, int cell) override {
    if (rule_ == 3 && standing == WorkerStatus::draining) standing = WorkerStatus::ready;
    if (rule_ == 4) started = 0;
    inner_->worker_listed(worker, identity, standing, started, kind, zone, cell);
  }
  void list_ends() override { inner_->list_ends(); }
  void list_failed(Nanos now) override { inner_->list_failed(now); }
  void request_arrived(Nanos now, int seq, int type, int tenant, std::uint64_t session,
                       std::uint64_t beginning, double p, double b, double m, Nanos abandon_at) override {
    inner_->request_arrived(now, seq, rule_ == 2 ? 0 : type, tenant, session, beginning, p, b, m, abandon_at);
  }
  void client_left(Nanos now, int seq) override { inner_->client_left(now, seq); }
  void stream_started(Nanos now, int seq, int attempt, Nanos took) override {
    inner_->stream_started(now, seq, attempt, took);
  }
  void attempt_ended(Nanos now, int seq, int attempt, Outcome outcome, Nanos took, bool closed, double kept,
                     const LoadReport& report) override {
    inner_->attempt_ended(now, seq, attempt, outcome, took, closed, kept, report);
  }
  void on_wakeup(Nanos now) override { inner_->on_wakeup(now); }

  void send(int seq, int worker, AttemptLimits limits) override { out_.send(seq, worker, limits); }
  void release(int seq) override {
    if (rule_ != 5) out_.release(seq);
  }
  void cancel(int seq, int attempt) override { out_.cancel(seq, attempt); }
  void reject(int seq, Nanos after) override {
    if (rule_ != 1) out_.reject(seq, after);
  }
  void abort(int seq) override {
    if (rule_ != 1) out_.abort(seq);
  }
  void subscribe() override { out_.subscribe(); }
  void request_wakeup(Nanos after) override { out_.request_wakeup(after); }
  void forget_request(int seq) override { out_.forget_request(seq); }
  void forget_worker(int worker) override { out_.forget_worker(worker); }

 private:
  int rule_;
  Actions& out_;
  std::unique_ptr<Policy> inner_;
};

router::PolicyFactory faulty(int rule) {
  return [rule](const PolicySettings& d, std::uint64_t seed, Nanos now,
                Actions& out) -> std::unique_ptr<Policy> {
    return std::make_unique<Faulty>(rule, d, seed, now, out);
  };
}

void only_broken(const EngineFixture& w, int rule) {
  const rig::Verdict v = w.verdict();
  for (const rig::Finding& f : v.rules) CHECK_MESSAGE((f.offences > 0) == (f.rule == rule), v.text());
}

TEST_CASE(
    "fifty engines to which connections are opened in the same moment: each sequence is answered, none "
    "slower") {
  EngineFixture w(25, 25);
  for (int i = 0; i < 50; ++i) w.send(w.request(fmt::format("s{}", i), 4));
  std::set<std::string> engines;
  io::Nanos slowest = 0;
  for (int i = 0; i < 50; ++i) {
    const rig::Heard& heard = w.response(fmt::format("s{}", i));
    CHECK(heard.how == "generated");
    slowest = std::max(slowest, heard.first);
  }
  for (const auto& l : w.recorder.lines())
    if (l.value("e", "") == "in") engines.insert(l.value("engine", ""));
  CHECK(engines.size() > 25);
  CHECK(slowest < 1'500 * io::kMs);
  w.check_rules_hold();
}

TEST_CASE("a client that reads nothing costs the fast ones beside it nothing") {
  std::string traces[2];
  for (const bool slow : {false, true}) {
    EngineFixture w;
    io::Scope reading(w.loop);
    if (slow) {
      // Two thousand events for a client that takes none of them.
      const rig::Question q = w.request("slow", 2'000);
      reading.spawn([](EngineFixture& world, rig::Question it) -> io::Task<> {
        io::Socket socket;
        co_await io::connect(world.loop, it.at, socket);
        co_await socket.write_all(http::format_request("POST", it.path, it.at.to_string(), "", it.body));
        co_await world.loop.sleep_for(3'600 * io::kSecond);
      }(w, q));
    }
    w.run_for(200);
    for (int i = 0; i < 8; ++i) w.send(w.request(fmt::format("f{}", i), 30));
    for (int i = 0; i < 8; ++i) {
      const rig::Heard& h = w.response(fmt::format("f{}", i));
      traces[slow] +=
          fmt::format("f{} {} {} tokens, {} ms\n", i, h.how, h.tokens, h.took / (100 * io::kMs) * 100);
    }
  }
  CHECK(traces[0] == traces[1]);
}

TEST_CASE("a host without rule 1's answers is caught") {
  EngineFixture w(1, 1, faulty(1));
  for (auto& e : w.engines) e->apply(fault("fast_errors", 1, 20'000));
  w.send(w.request("a"));
  CHECK(w.response("a").how == "silent");
  only_broken(w, 1);
}

TEST_CASE("a host that takes once-only sequences for repeatable ones is caught") {
  EngineFixture w(1, 2, faulty(2));
  // The writers begin the effect and go down with the stream's first bytes still on their way.
  rig::Question q = w.request("a", 40, "once");
  w.send(q);
  w.run_until_recorded("ran");
  for (const char* name : {"writer-0", "writer-1"})
    if (w.count_events("ran", name) > 0) w.engine(name).apply(fault("crash", 0, 0));
  CHECK(w.response("a").how != "generated");
  q.id = "a.1";
  w.responses.clear();
  w.send(q);  // rejected as harmless, the client comes again
  w.response("a");
  only_broken(w, 2);
}

TEST_CASE("a host that hides drains is caught") {
  EngineFixture w(1, 1, faulty(3));
  w.discovery.change(rig::listed(w.engine("writer-0"), WorkerStatus::draining));
  w.run_for(700);
  w.send(w.request("a"));
  CHECK(w.response("a").how == "generated");
  only_broken(w, 3);
}

TEST_CASE("a host that hides cold starts is caught") {
  EngineFixture w(1, 2, faulty(4),
                  [](EngineMake& m) { m.read_per_s = 4000, m.ramp_ms = 20'000, m.fall_multiple = 1.2; });
  w.engine("reader-0").apply(fault("crash", 0, 100));
  w.run_for(3000);
  for (int i = 0; i < 12; ++i) w.send(w.request("s" + std::to_string(i), 2, "m", true, 1500)), w.run_for(80);
  for (int i = 0; i < 12; ++i) w.response("s" + std::to_string(i));
  w.run_for(3000);
  only_broken(w, 4);
}

TEST_CASE("a host that lets go of nothing is caught") {
  EngineFixture w(1, 1, faulty(5));
  w.engine("writer-0").apply(fault("throttle", 1, 20'000));
  w.send(w.request("a"));
  CHECK(w.response("a").how == "rejected");
  w.run_for(8000);
  only_broken(w, 5);
}

}  // namespace cressrill::testing
