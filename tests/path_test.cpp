// Requests through the whole router over loopback, with failures of engines, discovery and clients, on
// simulated time.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "engine_fixture.h"

namespace cressrill::testing {

namespace {

rig::Fault fault(const char* kind, double size = 0, int duration_ms = 0) {
  return {kind, size, duration_ms * io::kMs, ""};
}

// A server that sends the given responses to the requests of each connection in turn. After the last one it
// closes or resets the connection, or keeps it open (hang) and closes it without a response at the next
// request.
class ScriptedPeer {
 public:
  enum class Finish { close, reset, hang };
  ScriptedPeer(EngineFixture& fixture, std::vector<std::string> responses, Finish finish)
      : responses_(std::move(responses)),
        finish_(finish),
        listener_(fixture.loop, kAnyPort),
        scope_(fixture.loop) {
    scope_.spawn(accept());
  }
  std::string address() const { return listener_.address().to_string(); }
  int requests() const { return request_count_; }
  int connections() const { return connection_count_; }

 private:
  io::Task<> accept() {
    for (;;) {
      io::Socket socket = co_await listener_.accept();
      ++connection_count_;
      scope_.spawn(serve(std::move(socket)));
    }
  }
  io::Task<> serve(io::Socket socket) {
    http::MessageReader reader(socket, http::MessageKind::request);
    for (std::size_t i = 0;; ++i) {
      http::Head head;
      std::string body;
      if (co_await reader.read_head(head) != http::MessageError::none) break;
      if (co_await reader.read_body(body) != http::MessageError::none) break;
      ++request_count_;
      if (i >= responses_.size()) break;
      co_await socket.write_all(responses_[i]);
      if (i + 1 == responses_.size() && finish_ != Finish::hang) break;
    }
    socket.close(finish_ == Finish::reset);
  }
  std::vector<std::string> responses_;
  Finish finish_;
  int request_count_{};
  int connection_count_{};
  io::Listener listener_;
  io::Scope scope_;
};

// Adds a worker with that address to the worker list.
void list_worker(EngineFixture& fixture, const std::string& name, const std::string& address,
                 const char* kind, WorkerStatus status = WorkerStatus::ready) {
  fixture.discovery.publish_change({name, address, status, 0, kind, "east", "e1"});
  fixture.run_for(5);
}

std::string stream_start() {
  std::string response = http::format_stream_head(200, "content-type: text/event-stream\r\n", true);
  append_chunk(response, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t0 \"}}]}\n\n");
  return response;
}

}  // namespace

TEST_CASE("ordinary request: prefill, KV transfer, decode and stream") {
  EngineFixture fixture;
  fixture.send(fixture.request("a"));
  CHECK(fixture.response("a").outcome == "generated");
  CHECK(fixture.response("a").tokens == 4);
  fixture.run_for(100);
  fixture.check_rules_hold();
  compare_trace("path_ordinary", fixture.trace());
}

TEST_CASE("a non-streaming response is assembled from the engine's stream") {
  EngineFixture fixture;
  fixture.send(fixture.request("a", 12, "m", false));
  CHECK(fixture.response("a").outcome == "generated");
  CHECK(fixture.response("a").tokens == 12);
  fixture.check_rules_hold();
}

TEST_CASE("the next turn of a session goes to the prefill worker that holds its prefix") {
  EngineFixture fixture;
  fixture.send(fixture.request("a", 4, "m", true, 600));
  fixture.response("a");
  rig::ClientRequest next_turn = fixture.request("a", 4, "m", true, 700);
  next_turn.sequence = "b";
  next_turn.id = "b.0";
  fixture.send(next_turn);
  fixture.response("b");
  compare_trace("path_next_turn", fixture.trace());
}

TEST_CASE("an engine responds after its attempt was abandoned: one response, and the KV cache is released") {
  EngineFixture fixture(2, 1);
  for (auto& engine : fixture.engines)
    if (engine->config().role == Role::prefill) engine->apply(fault("slow", 200, 4000));
  fixture.send(fixture.request("a", 4, "m", true, 300));
  fixture.response("a");
  fixture.run_for(10'000);
  fixture.check_rules_hold();
  CHECK(fixture.count_events("held") == fixture.count_events("taken") + fixture.count_events("freed"));
  for (const auto& engine : fixture.engines) CHECK(engine->kv_entries() == 0);
}

TEST_CASE("a stream that breaks after some tokens ends with one error event") {
  EngineFixture fixture(1, 1);
  fixture.engine("writer-0").apply(fault("cut", 1));
  fixture.send(fixture.request("a", 20));
  CHECK(fixture.response("a").outcome == "broken");
  CHECK(fixture.response("a").tokens > 5);
  fixture.run_for(2000);
  fixture.check_rules_hold();
  compare_trace("path_cut", fixture.trace());
}

TEST_CASE("a stream that stalls for good is ended, with an error to its client") {
  EngineFixture fixture(1, 1);
  fixture.send(fixture.request("a", 50));
  fixture.run_until_recorded("ran");
  fixture.run_for(100);
  fixture.engine("writer-0").apply(fault("vanish"));
  const io::Nanos stalled_at = fixture.loop.now();
  CHECK(fixture.response("a").outcome == "broken");
  CHECK(fixture.loop.now() - stalled_at <= 30 * io::kSecond);
  CHECK(fixture.loop.now() - stalled_at > 29 * io::kSecond);
  CHECK(fixture.router->host().active_requests() == 0);
  fixture.check_rules_hold();
}

TEST_CASE("engine responses truncated in a head, a chunk or an event: each request still ends once") {
  const std::string event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t1 ";
  std::string chunk;
  append_chunk(chunk, event);
  const std::string truncated[] = {"HTTP/1.1 200 OK\r\ncontent-ty", stream_start() + "3f\r\ndata: {\"cho",
                                   stream_start() + chunk};
  for (int i = 0; i < 3; ++i)
    for (const auto finish : {ScriptedPeer::Finish::close, ScriptedPeer::Finish::reset}) {
      EngineFixture fixture(1, 0);
      ScriptedPeer peer(fixture, {truncated[i]}, finish);
      list_worker(fixture, "odd", peer.address(), "decode");
      fixture.send(fixture.request("a"));
      const std::string outcome = fixture.response("a").outcome;
      // A reset may discard bytes before the router reads them, so that no stream starts.
      CHECK((outcome == "broken" || outcome == "rejected"));
      if (i == 0) CHECK(outcome == "rejected");
      if (i > 0 && finish == ScriptedPeer::Finish::close) CHECK(outcome == "broken");
      fixture.run_for(8000);
      // Only rule 1 can be checked, as the peer streams without fetching the KV cache.
      CHECK(fixture.verdict().rules[0].violations == 0);
    }
}

TEST_CASE(
    "an invalid prefill response counts as that worker's error, and the request goes elsewhere or ends") {
  EngineFixture fixture(0, 1);
  ScriptedPeer peer(fixture, {http::format_response(200, "", "not json", true)}, ScriptedPeer::Finish::hang);
  list_worker(fixture, "odd", peer.address(), "prefill");
  fixture.send(fixture.request("a"));
  CHECK(fixture.response("a").outcome == "rejected");
  fixture.check_rules_hold();
}

TEST_CASE("a client leaves between prefill and decode: the KV cache is released in time") {
  EngineFixture fixture(1, 1);
  fixture.engine("writer-0").apply(fault("vanish", 0, 0));
  rig::ClientRequest client_request = fixture.request("a");
  {
    io::Scope client(fixture.loop);
    client.spawn([](EngineFixture& context, rig::ClientRequest sent_request) -> io::Task<> {
      co_await rig::send_request(context.loop, context.recorder, std::move(sent_request));
    }(fixture, client_request));
    fixture.run_until_recorded("held");
    fixture.run_for(20);
  }  // closes the connection of the client
  fixture.recorder.record(
      "final", {{"id", "a.0"}, {"sequence", "a"}, {"router", "r"}, {"type", "plain"}, {"how", "left"}});
  fixture.run_for(900);
  CHECK(fixture.count_events("freed") == 1);
  fixture.check_rules_hold();
  CHECK(fixture.router->host().active_requests() == 0);
}

TEST_CASE(
    "an engine drains while a connection to it is being opened: no new attempt after the grace period") {
  EngineFixture fixture(1, 0);
  // A listener whose accept queue is full: the router's connect hangs.
  io::Listener full_listener(fixture.loop, kAnyPort, 0);
  std::vector<io::Socket> sockets(3);
  io::Scope connecting(fixture.loop);
  for (io::Socket& socket : sockets)
    connecting.spawn([](io::Loop& loop, io::Address address, io::Socket& new_socket) -> io::Task<> {
      co_await io::connect(loop, address, new_socket);
    }(fixture.loop, full_listener.address(), socket));
  fixture.run_for(1);
  list_worker(fixture, "hung", full_listener.address().to_string(), "decode");
  fixture.send(fixture.request("a"));
  fixture.run_until_recorded("held");
  fixture.run_for(50);
  list_worker(fixture, "hung", full_listener.address().to_string(), "decode", WorkerStatus::draining);
  CHECK(fixture.response("a").outcome == "rejected");
  fixture.run_for(1000);
  fixture.check_rules_hold();
}

TEST_CASE("a draining engine gets no new attempts and finishes its active ones") {
  EngineFixture fixture(2, 2);
  fixture.send(fixture.request("a", 60));
  fixture.run_until_recorded("ran");
  for (const char* name : {"reader-0", "writer-0"})
    fixture.discovery.publish_change(rig::listed(fixture.engine(name), WorkerStatus::draining));
  fixture.run_for(600);
  const int attempts_before = fixture.count_events("in", "reader-0") + fixture.count_events("in", "writer-0");
  for (int i = 0; i < 6; ++i) fixture.send(fixture.request("b" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) CHECK(fixture.response("b" + std::to_string(i)).outcome == "generated");
  CHECK(fixture.response("a").outcome == "generated");
  CHECK(fixture.count_events("in", "reader-0") + fixture.count_events("in", "writer-0") == attempts_before);
  fixture.check_rules_hold();
}

TEST_CASE(
    "a reused connection that closes after the request was sent may have run it; one closed before is "
    "replaced") {
  SUBCASE("after the request was sent: a once-only request is neither sent again nor rejected") {
    EngineFixture fixture(1, 0);
    std::string stream = stream_start();
    append_chunk(stream, "data: [DONE]\n\n");
    ScriptedPeer peer(fixture, {stream + std::string(http::kLastChunk)}, ScriptedPeer::Finish::hang);
    list_worker(fixture, "odd", peer.address(), "decode");
    fixture.send(fixture.request("a", 1, "once"));
    CHECK(fixture.response("a").outcome == "generated");
    fixture.send(fixture.request("b", 1, "once"));  // the peer reads it and closes without a response
    CHECK(fixture.response("b").outcome == "aborted");
    CHECK(peer.requests() == 2);
    fixture.run_for(2000);
    fixture.check_rules_hold();
  }
  SUBCASE("before the request was sent: it goes over another connection") {
    EngineFixture fixture(1, 0);
    std::string stream = stream_start();
    append_chunk(stream, "data: [DONE]\n\n");
    ScriptedPeer peer(fixture, {stream + std::string(http::kLastChunk)}, ScriptedPeer::Finish::close);
    list_worker(fixture, "odd", peer.address(), "decode");
    for (const char* name : {"a", "b", "c"}) {
      fixture.send(fixture.request(name, 1, "once"));
      CHECK(fixture.response(name).outcome == "generated");
      fixture.run_for(20);
    }
    CHECK(peer.connections() == 3);
    fixture.check_rules_hold();
  }
}

TEST_CASE(
    "engines respond with 503, with and without Retry-After: the request is rejected and may be retried") {
  for (const char* fields : {"", "retry-after: 1\r\n"}) {
    EngineFixture fixture(0, 1);
    ScriptedPeer peer(fixture, std::vector<std::string>(20, http::format_response(503, fields, "{}", true)),
                      ScriptedPeer::Finish::hang);
    list_worker(fixture, "full", peer.address(), "prefill");
    fixture.send(fixture.request("a", 4, "once"));
    CHECK(fixture.response("a").outcome == "rejected");
    CHECK(fixture.response("a").retry_after > 0);
    fixture.check_rules_hold();
  }
}

TEST_CASE("all engines are full: each request is generated or rejected, none is lost") {
  EngineFixture fixture(2, 2, make_policy, [](EngineConfig& engine_config) {
    engine_config.slots = 1;
    engine_config.queue = 0;
  });
  for (int i = 0; i < 30; ++i) fixture.send(fixture.request("s" + std::to_string(i), 100));
  std::map<std::string, int> outcome_counts;
  for (int i = 0; i < 30; ++i) ++outcome_counts[fixture.response("s" + std::to_string(i)).outcome];
  CHECK(outcome_counts["rejected"] + outcome_counts["generated"] == 30);
  CHECK(outcome_counts["rejected"] > 0);
  CHECK(outcome_counts["generated"] > 0);
  fixture.run_for(8000);
  fixture.check_rules_hold();
}

TEST_CASE("discovery is gone for good: requests are served from the last worker list") {
  EngineFixture fixture;
  fixture.discovery.shut_down();
  fixture.run_for(5000);
  for (int i = 0; i < 4; ++i) fixture.send(fixture.request("s" + std::to_string(i)));
  for (int i = 0; i < 4; ++i) CHECK(fixture.response("s" + std::to_string(i)).outcome == "generated");
  fixture.check_rules_hold();
}

TEST_CASE("a prefill worker crashes before its KV cache is transferred: the prefill runs again elsewhere") {
  EngineFixture fixture(2, 1, make_policy,
                        [](EngineConfig& engine_config) { engine_config.transfer_per_s = 300; });
  fixture.send(fixture.request("a"));
  fixture.run_until_recorded("held");
  fixture.run_for(20);
  for (const char* name : {"reader-0", "reader-1"})
    if (fixture.count_events("held", name) > 0) fixture.engine(name).apply(fault("crash", 0, 3000));
  CHECK(fixture.response("a").outcome == "generated");
  fixture.run_for(5000);
  fixture.check_rules_hold();
}

TEST_CASE("an engine stops responding: its requests go elsewhere in time") {
  EngineFixture fixture(2, 2);
  fixture.engine("writer-0").apply(fault("vanish", 0, 8000));
  for (int i = 0; i < 6; ++i) fixture.send(fixture.request("s" + std::to_string(i)));
  for (int i = 0; i < 6; ++i) CHECK(fixture.response("s" + std::to_string(i)).outcome == "generated");
  fixture.run_for(12'000);
  fixture.check_rules_hold();
}

TEST_CASE("an unreadable request gets one 4xx and a closed connection, and reaches no engine") {
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
  EngineFixture fixture;
  std::string trace;
  for (const auto& [name, text] : cases) {
    std::string received;
    bool done = false;
    fixture.scope.spawn(
        [](EngineFixture& context, std::string request, std::string& response, bool& closed) -> io::Task<> {
          io::Socket socket;
          co_await io::connect(context.loop, context.router->address(), socket);
          co_await socket.write_all(request);
          std::array<char, 4096> buffer;
          for (;;) {
            const io::IoResult result = co_await socket.read_some(buffer);
            if (!result.ok() || result.bytes == 0) break;
            response.append(buffer.data(), result.bytes);
          }
          closed = true;  // the router closed the connection
        }(fixture, text, received, done));
    const bool was_closed = fixture.loop.run_until([&] { return done; });
    CHECK_MESSAGE(was_closed, name);
    CHECK(received.find("HTTP/1.1", 5) == std::string::npos);  // one response
    const std::size_t code = received.find("\"code\":");
    trace += fmt::format("{:<26} {} {}\n", name, received.substr(9, 3),
                         code == std::string::npos
                             ? "-"
                             : received.substr(code + 7, received.find_first_of(",}", code) - code - 7));
  }
  CHECK(fixture.count_events("in") == 0);
  compare_trace("path_unreadable", trace);
}

TEST_CASE("shutdown: active requests are completed and no new ones are accepted") {
  EngineFixture fixture;
  fixture.send(fixture.request("a", 50));
  fixture.run_until_recorded("ran");
  fixture.router->stop();
  fixture.send(fixture.request("b"));
  CHECK(fixture.response("b").outcome == "unreached");
  CHECK(fixture.response("a").outcome == "generated");
  fixture.run_for(50);
  CHECK(fixture.router->is_idle());
  fixture.check_rules_hold();
}

TEST_CASE("many requests under faults of all kinds: every rule holds") {
  EngineFixture fixture(3, 4, make_policy, [](EngineConfig& engine_config) {
    engine_config.slots = 6;
    engine_config.queue = 6;
  });
  const std::pair<const char*, rig::Fault> faults[] = {
      {"reader-0", fault("crash", 0, 2000)},         {"writer-0", fault("vanish", 0, 3000)},
      {"writer-1", fault("fast_errors", 0.9, 2000)}, {"reader-1", fault("flush")},
      {"writer-2", fault("cut", 0.5, 2000)},         {"reader-2", fault("slow", 5, 2000)},
      {"writer-3", fault("throttle", 0.7, 2000)},
  };
  int count = 0;
  for (const auto& [name, engine_fault] : faults) {
    fixture.engine(name).apply(engine_fault);
    for (int i = 0; i < 12; ++i, ++count) {
      static constexpr const char* kModels[] = {"m", "m", "tokened", "once"};
      rig::ClientRequest client_request = fixture.request("s" + std::to_string(count), 15, kModels[count % 4],
                                                          count % 5 != 0, 100 + 50 * (count % 7));
      if (count % 9 == 0) client_request.disconnect_after_first_token = 30 * io::kMs;
      fixture.send(client_request);
      fixture.run_for(40);
    }
  }
  for (int i = 0; i < count; ++i) fixture.response("s" + std::to_string(i));
  fixture.run_for(10'000);
  fixture.check_rules_hold();
  for (const auto& engine : fixture.engines) CHECK(engine->kv_entries() == 0);
  CHECK(fixture.router->host().active_requests() == 0);
}

// A policy that breaks one rule: it passes events and actions on and suppresses one safeguard. The verdict
// has to detect that from what engines and clients record.
class FaultyPolicy final : public Policy, public Actions {
 public:
  FaultyPolicy(int broken_rule, const PolicySettings& settings, std::uint64_t seed, Nanos now,
               Actions& actions)
      : broken_rule_(broken_rule), actions_(actions), policy_(make_policy(settings, seed, now, *this)) {}
  void list_begins(Nanos now, bool complete) override { policy_->list_begins(now, complete); }
  void worker_listed(int worker, std::uint64_t identity, WorkerStatus status, Nanos started_at, int kind,
                     int zone, int cell) override {
    if (broken_rule_ == 3 && status == WorkerStatus::draining) status = WorkerStatus::ready;
    if (broken_rule_ == 4) started_at = 0;
    policy_->worker_listed(worker, identity, status, started_at, kind, zone, cell);
  }
  void list_ends() override { policy_->list_ends(); }
  void discovery_unreachable(Nanos now) override { policy_->discovery_unreachable(now); }
  void request_arrived(Nanos now, int request, int type, int tenant, std::uint64_t session,
                       std::uint64_t prefix_hash, double prompt_tokens, double prefix_tokens,
                       double max_output_tokens, Nanos deadline) override {
    policy_->request_arrived(now, request, broken_rule_ == 2 ? 0 : type, tenant, session, prefix_hash,
                             prompt_tokens, prefix_tokens, max_output_tokens, deadline);
  }
  void client_left(Nanos now, int request) override { policy_->client_left(now, request); }
  void stream_started(Nanos now, int request, int attempt, Nanos elapsed) override {
    policy_->stream_started(now, request, attempt, elapsed);
  }
  void attempt_ended(Nanos now, int request, int attempt, Outcome outcome, Nanos elapsed, bool closed,
                     double cached_tokens, const LoadReport& report) override {
    policy_->attempt_ended(now, request, attempt, outcome, elapsed, closed, cached_tokens, report);
  }
  void on_wakeup(Nanos now) override { policy_->on_wakeup(now); }

  void send(int request, int worker, AttemptLimits limits) override {
    actions_.send(request, worker, limits);
  }
  void release(int request) override {
    if (broken_rule_ != 5) actions_.release(request);
  }
  void cancel(int request, int attempt) override { actions_.cancel(request, attempt); }
  void reject(int request, Nanos retry_after) override {
    if (broken_rule_ != 1) actions_.reject(request, retry_after);
  }
  void abort(int request) override {
    if (broken_rule_ != 1) actions_.abort(request);
  }
  void subscribe() override { actions_.subscribe(); }
  void request_wakeup(Nanos delay) override { actions_.request_wakeup(delay); }
  void forget_request(int request) override { actions_.forget_request(request); }
  void forget_worker(int worker) override { actions_.forget_worker(worker); }

 private:
  int broken_rule_;
  Actions& actions_;
  std::unique_ptr<Policy> policy_;
};

router::PolicyFactory faulty_policy(int broken_rule) {
  return [broken_rule](const PolicySettings& settings, std::uint64_t seed, Nanos now,
                       Actions& actions) -> std::unique_ptr<Policy> {
    return std::make_unique<FaultyPolicy>(broken_rule, settings, seed, now, actions);
  };
}

void check_only_broken(const EngineFixture& fixture, int broken_rule) {
  const rig::Verdict verdict = fixture.verdict();
  for (const rig::RuleResult& finding : verdict.rules)
    CHECK_MESSAGE((finding.violations > 0) == (finding.rule == broken_rule), verdict.report());
}

TEST_CASE(
    "connections to fifty engines are opened at once: each request gets its first token within its SLO") {
  EngineFixture fixture(25, 25);
  for (int i = 0; i < 50; ++i) fixture.send(fixture.request(fmt::format("s{}", i), 4));
  std::set<std::string> engines;
  io::Nanos slowest = 0;
  for (int i = 0; i < 50; ++i) {
    const rig::ClientResult& result = fixture.response(fmt::format("s{}", i));
    CHECK(result.outcome == "generated");
    slowest = std::max(slowest, result.time_to_first_token);
  }
  for (const auto& line : fixture.recorder.lines())
    if (line.value("e", "") == "in") engines.insert(line.value("engine", ""));
  CHECK(engines.size() > 25);
  CHECK(slowest < 1'500 * io::kMs);
  fixture.check_rules_hold();
}

TEST_CASE("a client that reads nothing does not slow the others down") {
  std::string traces[2];
  for (const bool with_slow_client : {false, true}) {
    EngineFixture fixture;
    io::Scope slow_client(fixture.loop);
    if (with_slow_client) {
      // 2000 tokens for a client that reads none of them.
      const rig::ClientRequest client_request = fixture.request("slow", 2'000);
      slow_client.spawn([](EngineFixture& context, rig::ClientRequest sent_request) -> io::Task<> {
        io::Socket socket;
        co_await io::connect(context.loop, sent_request.address, socket);
        co_await socket.write_all(http::format_request(
            "POST", sent_request.path, sent_request.address.to_string(), "", sent_request.body));
        co_await context.loop.sleep_for(3'600 * io::kSecond);
      }(fixture, client_request));
    }
    fixture.run_for(200);
    for (int i = 0; i < 8; ++i) fixture.send(fixture.request(fmt::format("f{}", i), 30));
    for (int i = 0; i < 8; ++i) {
      const rig::ClientResult& result = fixture.response(fmt::format("f{}", i));
      traces[with_slow_client] += fmt::format("f{} {} {} tokens, {} ms\n", i, result.outcome, result.tokens,
                                              result.elapsed / (100 * io::kMs) * 100);
    }
  }
  CHECK(traces[0] == traces[1]);
}

TEST_CASE("the verdict detects a router that sends no final responses") {
  EngineFixture fixture(1, 1, faulty_policy(1));
  for (auto& engine : fixture.engines) engine->apply(fault("fast_errors", 1, 20'000));
  fixture.send(fixture.request("a"));
  CHECK(fixture.response("a").outcome == "silent");
  check_only_broken(fixture, 1);
}

TEST_CASE("the verdict detects a router that repeats once-only requests") {
  EngineFixture fixture(1, 2, faulty_policy(2));
  // The decode worker starts to run the request and crashes before its stream's first bytes arrive.
  rig::ClientRequest client_request = fixture.request("a", 40, "once");
  fixture.send(client_request);
  fixture.run_until_recorded("ran");
  for (const char* name : {"writer-0", "writer-1"})
    if (fixture.count_events("ran", name) > 0) fixture.engine(name).apply(fault("crash", 0, 0));
  CHECK(fixture.response("a").outcome != "generated");
  client_request.id = "a.1";
  fixture.responses.clear();
  fixture.send(client_request);  // the client retries, as it was told that the request had not run
  fixture.response("a");
  check_only_broken(fixture, 2);
}

TEST_CASE("the verdict detects a router that ignores drains") {
  EngineFixture fixture(1, 1, faulty_policy(3));
  fixture.discovery.publish_change(rig::listed(fixture.engine("writer-0"), WorkerStatus::draining));
  fixture.run_for(700);
  fixture.send(fixture.request("a"));
  CHECK(fixture.response("a").outcome == "generated");
  check_only_broken(fixture, 3);
}

TEST_CASE("the verdict detects a router that ignores cold starts") {
  EngineFixture fixture(1, 2, faulty_policy(4), [](EngineConfig& engine_config) {
    engine_config.read_per_s = 4000;
    engine_config.ramp_ms = 20'000;
    engine_config.fall_multiple = 1.2;
  });
  fixture.engine("reader-0").apply(fault("crash", 0, 100));
  fixture.run_for(3000);
  for (int i = 0; i < 12; ++i) {
    fixture.send(fixture.request("s" + std::to_string(i), 2, "m", true, 1500));
    fixture.run_for(80);
  }
  for (int i = 0; i < 12; ++i) fixture.response("s" + std::to_string(i));
  fixture.run_for(3000);
  check_only_broken(fixture, 4);
}

TEST_CASE("the verdict detects a router that releases no KV cache") {
  EngineFixture fixture(1, 1, faulty_policy(5));
  fixture.engine("writer-0").apply(fault("throttle", 1, 20'000));
  fixture.send(fixture.request("a"));
  CHECK(fixture.response("a").outcome == "rejected");
  fixture.run_for(8000);
  check_only_broken(fixture, 5);
}

}  // namespace cressrill::testing
