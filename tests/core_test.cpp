// Tests of the parsers of requests, configuration files and worker lists, and of the token estimator. They
// use no sockets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <fmt/format.h>

#include "core/classify.h"
#include "core/worker_list.h"
#include "engine_fixture.h"
#include "rig/engine.h"
#include "router/engine_wire.h"

namespace cressrill::testing {

using core::Api;
using HeaderList = std::vector<std::pair<std::string_view, std::string_view>>;

namespace {

// Returns the text followed by the readable padding that a receive buffer has. The view is valid until the
// next call.
std::string_view with_padding(std::string_view text) {
  static std::string buffer;
  buffer.assign(text).append(http::kReadPaddingBytes, ' ');
  return std::string_view(buffer).substr(0, text.size());
}

std::string describe(const std::variant<core::ParsedRequest, core::RequestError>& result) {
  if (const auto* error = std::get_if<core::RequestError>(&result))
    return fmt::format("{} {} [{}]: {}", error->status, error->code, error->param, error->message);
  const auto& request = std::get<core::ParsedRequest>(result);
  std::string out = fmt::format("model {}, {} bytes, beginning {} bytes, {} messages", request.model,
                                request.prompt_bytes, request.prefix_bytes, request.message_count);
  if (request.prompt_tokens) out += fmt::format(", exactly {} tokens", *request.prompt_tokens);
  if (request.max_output_tokens) out += fmt::format(", at most {}", *request.max_output_tokens);
  if (request.session_hash != 0) out += ", a session";
  if (request.stream) out += request.include_usage ? ", streamed with usage" : ", streamed";
  out += "\n    passed on: ";
  for (const core::TextRange& part : request.forwarded_members)
    out += request.body.substr(part.offset, part.size) + ",";
  return out;
}

}  // namespace

TEST_CASE("requests are parsed, or rejected with a single specific error") {
  const std::pair<Api, const char*> cases[] = {
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"hello"}]})"},
      {Api::chat,
       R"({"model":"m","messages":[{"role":"system","content":"be kind"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"bc"}]}],"stream":true,"stream_options":{"include_usage":true},"max_completion_tokens":50,"temperature":0.5})"},
      {Api::chat,
       R"({"model":"m","prompt_cache_key":"s1","messages":[{"role":"user","content":null},{"role":"assistant","content":"x","tool_calls":[{"id":"1"}]}],"n":1})"},
      {Api::completion, R"({"model":"m","prompt":"once upon"})"},
      {Api::completion, R"({"model":"m","prompt":[1,2,3],"max_tokens":7})"},
      {Api::completion, R"({"model":"m","prompt":["one text"]})"},
      {Api::completion, R"({"model":"m","prompt":["two","texts"]})"},
      {Api::completion, R"({"model":"m","prompt":[1,"mixed"]})"},
      {Api::completion, R"({"model":"m","prompt":""})"},
      {Api::completion, R"({"model":"m"})"},
      {Api::chat, R"({"model":"m"})"},
      {Api::chat, R"({"messages":[{"role":"user","content":"a"}]})"},
      {Api::chat, R"({"model":7,"messages":[{"role":"user","content":"a"}]})"},
      {Api::chat, R"({"model":"m","messages":[]})"},
      {Api::chat, R"({"model":"m","messages":"text"})"},
      {Api::chat, R"({"model":"m","messages":[{"content":"no role"}]})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"n":2})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":0})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"stream":"yes"})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"kv_transfer_params":{}})"},
      {Api::chat, R"({"model":"m","mod\u0065l":"m","messages":[{"role":"user","content":"a"}]})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}]} x)"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],})"},
      {Api::chat, "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":{"a":[tru]}})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":"\q"})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":01})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":[1,]})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a","y":{"z" 1}}]})"},
      {Api::chat, R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":"\ud800"})"},
      {Api::chat,
       R"({"model":"m","messages":[{"role":"user","content":"a"}],"n":null,"x":1e999,"stream":false})"},
      {Api::chat,
       R"({"messages" : [ {"role":"user","content":"a"} ] , "model" : "m" , "n":1, "x":[ {} , -0.5e+3 ] })"},
      {Api::chat, ""},
      {Api::chat, "null"},
  };
  std::string trace;
  for (const auto& [api, body] : cases)
    trace += fmt::format("{}\n  {}\n", body, describe(core::parse_request(api, body, {})));
  const std::string nested_lists = std::string(100, '[') + std::string(100, ']');
  const std::string deep_body =
      R"({"model":"m","messages":[{"role":"user","content":"a"}],"x":)" + nested_lists + "}";
  trace += "a hundred lists, one in the other, in a member\n  " +
           describe(core::parse_request(Api::chat, deep_body, {})) + "\n";
  std::erase(trace, '\xff');
  compare_trace("core_requests", trace);
}

TEST_CASE("the request bodies sent to engines") {
  const auto request = std::get<core::ParsedRequest>(core::parse_request(
      Api::completion, R"({"model":"m","prompt":"a","max_tokens":9,"stream":false,"temperature":1})", {}));
  core::EngineRequestBody body;
  core::build_prefill_body(request, body);
  CHECK(
      body.text() ==
      R"({"model":"m","prompt":"a","temperature":1,"max_tokens":1,"stream":false,"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false,"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}})");
  core::build_decode_body(request, R"({"x":1})", body);
  CHECK(
      body.text() ==
      R"({"model":"m","prompt":"a","temperature":1,"max_tokens":9,"stream":true,"stream_options":{"include_usage":true},"kv_transfer_params":{"x":1}})");
}

TEST_CASE("the session hash and the prefix hash are the same for the same texts, and differ by model") {
  const auto parse = [](const std::string& model, const std::string& system, core::HeaderFields fields) {
    const std::string body = R"({"model":")" + model + R"(","messages":[{"role":"system","content":")" +
                             system + R"("},{"role":"user","content":"a"}]})";
    return std::get<core::ParsedRequest>(core::parse_request(Api::chat, body, fields));
  };
  const HeaderList session{{"x-session-id", "s"}};
  CHECK(parse("m", "x", {}).prefix_hash == parse("m", "x", {}).prefix_hash);
  CHECK(parse("m", "x", {}).prefix_hash != parse("m", "y", {}).prefix_hash);
  CHECK(parse("m", "x", {}).prefix_hash != parse("n", "x", {}).prefix_hash);
  CHECK(parse("m", "x", session).session_hash == parse("m", "y", session).session_hash);
  CHECK(parse("m", "x", session).session_hash != parse("n", "x", session).session_hash);
  CHECK(parse("m", "x", {}).session_hash == 0);
}

TEST_CASE("classification finds the tenant, the traffic type and the time limit of a request") {
  core::RouterConfig config = test_config("127.0.0.1:1", R"(
[[tenant]]
name = "shop"
keys = ["k1", "k2"]
sequences_per_s = 5
)");
  const core::TokenEstimator estimator;
  core::ParsedRequest request;
  request.prompt_bytes = 4000;
  request.message_count = 1;
  request.model = "tokened";
  const HeaderList key{{"authorization", "Bearer k2"}};
  const auto classified =
      std::get<core::ClassifiedRequest>(core::classify(config, estimator, request, "/v1/completions", key));
  CHECK(classified.type == 1);
  CHECK(classified.tenant == 0);
  CHECK(classified.prompt_tokens == doctest::Approx(1004));
  CHECK(classified.time_limit == 6'000'000'000);
  HeaderList timed = key;
  timed.emplace_back("x-abandon-after-ms", "1500");
  CHECK(
      std::get<core::ClassifiedRequest>(core::classify(config, estimator, request, "/v1/completions", timed))
          .time_limit == 1'500'000'000);
  timed.back().second = "9999999";  // cannot exceed the time limit of the traffic type
  CHECK(
      std::get<core::ClassifiedRequest>(core::classify(config, estimator, request, "/v1/completions", timed))
          .time_limit == 6'000'000'000);
  timed.back().second = "soon";
  CHECK(std::get<core::RequestError>(core::classify(config, estimator, request, "/v1/completions", timed))
            .status == 400);
  CHECK(std::get<core::RequestError>(core::classify(config, estimator, request, "/v1/completions", {}))
            .status == 401);
  request.model = "z";
  CHECK(std::get<core::RequestError>(core::classify(config, estimator, request, "/v1/completions", key))
            .status == 404);
}

TEST_CASE("every error in a router configuration file is reported with its position") {
  const std::string path = "/tmp/cressrill-test-faults.toml";
  std::ofstream(path) << R"([router]
name = "r"
listen = "localhost"
roster = "127.0.0.1:1"
zone = "north"
zones = ["east"]
routers = 1.5
colour = "red"

[rules]
drain_grace_ms = 100
attempts = "six"
pin_limit_ms = 1000
cold_from = 2
ramp_ms = 8000
fall_multiple = 3
fall_ms = 2000

[[kind]]
name = "prefill"
role = "reads"

[[traffic_type]]
name = "plain"
effect = "tokened"
slo_ms = 1500
abandon_ms = 1000

[[tenant]]
name = "shop"
keys = [3]
)";
  core::ConfigErrors errors;
  CHECK(!core::read_router_config(path, errors));
  std::string trace;
  for (const auto& error : errors)
    trace += fmt::format("{}:{}: {}\n", error.line, error.column, error.message);
  errors.clear();
  std::ofstream(path) << "[router\n";
  CHECK(!core::read_router_config(path, errors));
  for (const auto& error : errors)
    trace += fmt::format("{}:{}: {}\n", error.line, error.column, error.message);
  errors.clear();
  CHECK(!core::read_router_config("/tmp/cressrill-none.toml", errors));
  CHECK(errors.size() == 1);
  std::remove(path.c_str());
  compare_trace("core_file_faults", trace);
}

TEST_CASE("checking a worker list reports kinds without workers, and workers of unknown kinds or zones") {
  const core::RouterConfig config = test_config("127.0.0.1:1");
  const core::WorkerList list{1,
                              true,
                              {{"a", "127.0.0.1:1", WorkerStatus::ready, 0, "prefill", "east", "c"},
                               {"b", "127.0.0.1:2", WorkerStatus::ready, 0, "mixed", "north", "c"}}};
  std::string trace;
  for (const auto& error : core::check_worker_list(config, list, "last-list"))
    trace += fmt::format("{}:{}: {}\n", error.line, error.column, error.message);
  compare_trace("core_list_faults", trace);
}

TEST_CASE("the token estimate converges to the counts that engines report") {
  core::TokenEstimator estimator;
  std::uint64_t random = 9;
  const auto random_text = [&random](std::size_t words) {
    std::string out;
    for (std::size_t i = 0; i < words; ++i) {
      random ^= random << 13;
      random ^= random >> 7;
      random ^= random << 17;
      out.append(2 + random % 9, static_cast<char>('a' + random % 26)).push_back(' ');
    }
    return out;
  };
  std::string trace;
  for (int round = 0; round <= 60; ++round) {
    double mean_error = 0;
    for (int i = 0; i < 10; ++i) {
      const std::string prompt = random_text(50 + random % 900);
      const double counted = static_cast<double>(rig::tokenize(prompt).count);
      mean_error += std::abs(estimator.estimate("m", prompt.size(), 0) - counted) / counted / 10;
      estimator.learn("m", prompt.size(), 0, counted);
    }
    if (round % 20 == 0)
      trace += fmt::format("after {:>3} prompts: off by {:.1f}%\n", round * 10, 100 * mean_error);
  }
  compare_trace("core_token_estimate", trace);
}

TEST_CASE("a worker list is accepted as a whole or rejected") {
  const std::string good =
      R"({"complete":true,"version":4,"workers":[{"address":"127.0.0.1:1","cell":"c","kind":"k","name":"n","started_unix_ms":5,"state":"draining","zone":"z"}]})";
  CHECK(core::serialize_worker_list(core::parse_worker_list(good)) == good);
  const char* bad[] = {
      "", "[]", R"({"version":1,"complete":true})",
      R"({"version":1,"complete":true,"workers":[{"name":"n"}]})",
      R"({"version":1,"complete":true,"workers":[{"name":"n","address":"a","state":"asleep","kind":"k","zone":"z","cell":"c"}]})"};
  for (const char* text : bad) CHECK_THROWS_AS(core::parse_worker_list(text), std::invalid_argument);
}

TEST_CASE("parsing of load reports and of error responses of engines") {
  http::Head head;
  head.fields = {{"endpoint-load-metrics",
                  "TEXT named_metrics.kv_cache_usage_perc=0.25, "
                  "named_metrics.num_requests_running=3,named_metrics.num_requests_waiting=2, odd, x=y"}};
  CHECK(router::parse_orca_load(head).memory_share == 0.25);
  CHECK(router::parse_orca_load(head).requests == 5);
  head.fields = {{"endpoint-load-metrics", "JSON {}"}};
  CHECK(!router::parse_orca_load(head).received);
  CHECK(router::parse_error_response(503, "").outcome == Outcome::full);
  CHECK(router::parse_error_response(429, "").outcome == Outcome::full);
  CHECK(router::parse_error_response(409, R"({"error":{"code":"kv_state_not_found"}})").outcome ==
        Outcome::kv_missing);
  CHECK(router::parse_error_response(409, R"({"error":{"code":"other"}})").outcome == Outcome::error);
  CHECK(router::parse_error_response(400, "").is_client_error);
  CHECK(!router::parse_error_response(500, "").is_client_error);
}

TEST_CASE("a complete response contains the texts, tool calls and usage of its stream") {
  router::CompletionBuilder builder;
  const char* events[] = {
      R"({"id":"a","model":"m","created":7,"choices":[{"index":0,"delta":{"role":"assistant","content":"one "}}]})",
      R"({"choices":[{"index":0,"delta":{"content":"t\u0077o"},"finish_reason":null}],"usage":null})",
      R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"c1","function":{"name":"f","arguments":"{\"a\":"}}]}}]})",
      R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"function":{"arguments":"1}"}}]},"finish_reason":"stop"}]})",
      R"({"choices":[],"usage":{"prompt_tokens":30, "x":[1]}})",
  };
  for (const char* event : events) CHECK(router::parse_chunk(with_padding(event), &builder).readable);
  compare_trace("core_whole", builder.body(true) + "\n" + builder.body(false) + "\n");
}

TEST_CASE("a prefill response is accepted as a whole or not at all") {
  const auto parse = [](const char* text) { return router::parse_prefill_response(with_padding(text)); };
  const auto good = parse(
      R"({"id":"x","usage":{"prompt_tokens":30,"prompt_tokens_details":{"cached_tokens":16}},"kv_transfer_params": {"a":[1,2]} })");
  REQUIRE(good);
  CHECK(good->kv_transfer_params == R"({"a":[1,2]})");
  CHECK(good->cached_tokens == 16);
  CHECK(good->prompt_tokens == 30);
  for (const char* bad :
       {"", "[]", "{}", R"({"kv_transfer_params":null})", R"({"kv_transfer_params":{"a":tru}})",
        R"({"kv_transfer_params":{"a":1}} x)", R"({"kv_transfer_params":{"a":1},"b":[)",
        R"({"kv_transfer_params":{"a":1},"b":01})"})
    CHECK_MESSAGE(!parse(bad), bad);
}

TEST_CASE("parsing of stream events") {
  const char* events[] = {
      R"({"id":"a","choices":[{"index":0,"delta":{"content":"x"}}],"usage":null})",
      R"({"choices":[],"usage":{"prompt_tokens":30,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":16}}})",
      R"({"usage":{"prompt_tokens_details":{"audio_tokens":0,"cached_tokens":5},"prompt_tokens":7},"choices":[]})",
      R"({"usage":{"prompt_tokens":7,"prompt_tokens_details":null},"choices":[{"text":"y"}],"model":"m"})",
      R"({"error":{"message":"no"}})",
      R"({"choices":null})",
      R"({})",
      R"([1])",
      R"({"choices":[{)",
      R"(text)",
      R"()",
  };
  std::string trace;
  for (const char* event : events) {
    const router::StreamChunk chunk = router::parse_chunk(with_padding(event));
    trace += fmt::format("{}\n  {}{}{}{}, {} kept of {}\n", event, chunk.readable ? "read" : "unreadable",
                         chunk.has_content ? ", content" : "", chunk.usage_only ? ", usage only" : "",
                         chunk.error ? ", an error" : "", chunk.cached_tokens, chunk.prompt_tokens);
  }
  compare_trace("core_events", trace);
}

TEST_CASE("the rule verdict finds a planted violation of each rule, and none in a clean record") {
  const auto record_line = [](int ms, const char* event, rig::Recorder::Line extra_fields) {
    rig::Recorder::Line line{{"t", ms * io::kMs}, {"e", event}};
    line.update(extra_fields);
    return line;
  };
  const auto asked = [&](const char* id, const char* type = "plain") {
    return record_line(0, "asked",
                       {{"id", id},
                        {"sequence", "s"},
                        {"router", "r"},
                        {"type", type},
                        {"abandon", 5000 * io::kMs},
                        {"slo", 1000 * io::kMs}});
  };
  const auto final = [&](int ms, const char* id, const char* how, const char* type = "plain") {
    return record_line(ms, "final",
                       {{"id", id},
                        {"sequence", "s"},
                        {"router", "r"},
                        {"type", type},
                        {"how", how},
                        {"first", 0},
                        {"took", ms * io::kMs}});
  };
  const auto engine = [&](int ms, const char* event, const char* id,
                          rig::Recorder::Line extra_fields = rig::Recorder::Line::object()) {
    rig::Recorder::Line line = record_line(ms, event, {{"engine", "w"}, {"id", id}, {"router", "r"}});
    line.update(extra_fields);
    return line;
  };
  const auto told = [&](int ms, const char* state) {
    return record_line(ms, "told", {{"router", "r"}, {"complete", false}, {"workers", {{"w", state}}}});
  };
  rig::RuleSettings rule_settings;
  rule_settings.drain_grace = 500 * io::kMs;
  rule_settings.pin_limit = 1000 * io::kMs;
  rule_settings.types["plain"] = {};
  rule_settings.types["once"].effect = Effect::once_only;
  rule_settings.types["tokened"] = {Effect::tokened, Group::zone, 1000 * io::kMs};
  const auto sent_and_ran = [&](int sent, int ran, const char* id, const char* zone) {
    return std::pair{engine(sent, "in", id, {{"stage", "write"}}), engine(ran, "ran", id, {{"zone", zone}})};
  };
  const auto [in_0, ran_0] = sent_and_ran(100, 150, "u.0-0", "east");
  const auto [in_near, ran_near] = sent_and_ran(900, 1900, "u.0-1", "east");
  const auto [in_far, ran_far] = sent_and_ran(900, 950, "u.0-1", "west");
  const auto [in_late, ran_late] = sent_and_ran(1200, 1250, "u.0-1", "east");
  auto asked_1 = asked("u.0", "tokened");
  auto final_1 = final(2000, "u.0", "aborted", "tokened");
  asked_1["sequence"] = "u";
  final_1["sequence"] = "u";
  using Lines = std::vector<rig::Recorder::Line>;
  const Lines clean{asked("s.0"),
                    told(0, "ready"),
                    engine(10, "in", "s.0-0"),
                    engine(20, "held", "s.0-0"),
                    engine(30, "in", "s.0-1", {{"stage", "write"}, {"state", "s.0-0"}}),
                    engine(40, "taken", "s.0-0"),
                    engine(50, "ran", "s.0-1"),
                    engine(90, "out", "s.0-1"),
                    final(100, "s.0", "generated")};
  // The rule that is violated (0: none), and the lines that are added to the clean record.
  const std::pair<int, Lines> planted[] = {
      {0, {}},
      {1, {final(200, "s.0", "rejected")}},                 // a second final response
      {1, {asked("s.1")}},                                  // no final response
      {1, {asked("s.1"), final(5100, "s.1", "rejected")}},  // too late
      {2,
       {asked("s.1", "once"), final(300, "s.1", "aborted", "once"), engine(60, "ran", "s.1-0"),
        engine(70, "ran", "s.1-1")}},
      {2, {asked("s.1", "once"), final(300, "s.1", "rejected", "once"), engine(60, "ran", "s.1-0")}},
      // Recognized as a repeat there, however late it ran.
      {0, {asked_1, final_1, in_0, ran_0, in_near, ran_near}},
      {2, {asked_1, final_1, in_0, ran_0, in_far, ran_far}},
      {2, {asked_1, final_1, in_0, ran_0, in_late, ran_late}},
      {3, {told(100, "draining"), engine(700, "in", "s.0-2")}},
      {4, {engine(100, "fell", "s.0-2")}},
      {5, {engine(100, "held", "s.0-2"), engine(1200, "freed", "s.0-2")}},
      {5, {engine(100, "held", "s.0-2"), engine(3000, "out", "s.0-9")}},  // never released
  };
  for (const auto& [rule, added_lines] : planted) {
    Lines lines = clean;
    lines.insert(lines.end(), added_lines.begin(), added_lines.end());
    const rig::Verdict verdict = rig::check_rules(lines, rule_settings);
    for (const rig::RuleResult& result : verdict.rules)
      CHECK_MESSAGE((result.violations > 0) == (result.rule == rule), verdict.report());
  }
}

}  // namespace cressrill::testing
