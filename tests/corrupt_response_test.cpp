// Guards against KV cache that is neither fetched nor released within its limit, where a prefill succeeded at
// its worker but its response was corrupted on the way (truncated, garbage, another status, without an end).
// Checked for every response: the KV cache is gone within the limit and 300 ms, counted from the prefill's
// end at its worker, and each client that stays gets one complete response by its deadline and 500 ms.
#include "kv_hold_monitor.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

constexpr io::Nanos kPrefillTime = 20 * kMs;
constexpr int kBudgetMs = 2500;
constexpr int kResponseSlackMs = 500;  // a response may arrive that many ms after the deadline
constexpr int kSlowPrefillMs = 400;
constexpr std::size_t kSampleInterval = 499;  // runs one in 499 scenarios, others for each response

// A response as it reaches the router, after a prefill that left its KV cache at its worker.
struct CorruptResponse {
  std::string name;
  std::string text;
  ScriptedResponse::Finish finish{ScriptedResponse::Finish::hang};
  std::string late_text{};  // sent `late_delay` after `text`
  io::Nanos late_delay{};
  bool silent{};  // does not show that the prefill has ended
};

const std::string kPrefillBody = "{\"cached_tokens\":128}";
const std::string kTruncatedHead = "HTTP/1.1 202 Accepted\r\ncontent-le";
const std::string kTruncatedBody = "HTTP/1.1 202 Accepted\r\ncontent-length: 200\r\n\r\n{\"cached";
const std::string kUnfinishedChunks =
    "HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"cac\r\n";
const std::string kGarbage = "\x16\x03\x01 no http at all\r\n\r\n";

std::string valid_response() { return http::format_response(202, "", kPrefillBody, true); }

// Truncated or malformed responses, each on a connection that stays open, is closed, or is reset.
std::vector<CorruptResponse> truncated_responses() {
  struct Text {
    std::string name;
    std::string text;
    bool silent{};
  };
  const std::vector<Text> texts{
      {"nothing", "", true},
      {"truncated head", kTruncatedHead, true},
      {"body shorter than its content-length", kTruncatedBody},
      {"chunks without an end", kUnfinishedChunks},
      {"invalid chunk size line", "HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n{}\r\n"},
      {"garbage", kGarbage},
      {"garbage without a line end", std::string(64, '\x7f'), true},
      {"1xx", "HTTP/1.1 100 Continue\r\n\r\n", true},
      {"1xx and a truncated head", "HTTP/1.1 103 Early Hints\r\n\r\n" + kTruncatedHead, true},
      {"a stream", FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0))},
      {"a complete stream", FakeWorker::stream_head() +
                                FakeWorker::chunked(FakeWorker::event(0) + FakeWorker::stream_end()) +
                                "0\r\n\r\n"},
      {"a head alone", "HTTP/1.1 202 Accepted\r\n\r\n"},
  };
  std::vector<CorruptResponse> responses;
  for (const auto& [name, text, silent] : texts) {
    responses.push_back({name + ", open", text, ScriptedResponse::Finish::hang, "", 0, silent});
    responses.push_back({name + ", closed", text, ScriptedResponse::Finish::close});
    responses.push_back({name + ", reset", text, ScriptedResponse::Finish::reset});
  }
  return responses;
}

// Complete responses that contradict what happened, except those that state that the prefill never ran.
std::vector<CorruptResponse> misleading_responses() {
  std::vector<CorruptResponse> responses{
      {"202, unreadable body", http::format_response(202, "", "\xff{]no json", true),
       ScriptedResponse::Finish::keep_alive},
      {"202, empty body", http::format_response(202, "", "", true), ScriptedResponse::Finish::keep_alive},
      {"two responses in one write", valid_response() + valid_response(),
       ScriptedResponse::Finish::keep_alive},
      {"a response and garbage", valid_response() + kGarbage, ScriptedResponse::Finish::keep_alive},
      {"a second response 20 ms late", valid_response(), ScriptedResponse::Finish::keep_alive,
       valid_response(), 20 * kMs},
      {"a second response 70 ms late", valid_response(), ScriptedResponse::Finish::keep_alive,
       valid_response(), 70 * kMs},
      {"1xx and the response", "HTTP/1.1 100 Continue\r\n\r\n" + valid_response(),
       ScriptedResponse::Finish::keep_alive},
  };
  for (const int status : {200, 204, 302, 304, 400, 404, 409, 410, 413, 429, 500, 502, 503, 504})
    for (const bool rejected : {false, true}) {
      if (rejected && (status == 503 || status == 504)) continue;  // by the protocol, the attempt never ran
      responses.push_back({fmt::format("{}{}", status, rejected ? " with X-Rejected" : ""),
                           http::format_response(status, rejected ? "X-Rejected: 1\r\n" : "", "", true),
                           ScriptedResponse::Finish::keep_alive});
    }
  return responses;
}

enum class ClientBehavior { stays, shuts_down_write, leaves };

struct Scenario {
  int limit_ms{};
  int attempts_cap{};
  bool parallel{};
  bool cancelling{};
  const char* effect{};
  bool slow{};  // prefills were slow before
  ClientBehavior client{};
  bool all_corrupt{};  // all prefill responses are corrupt; if false, the first one of each worker

  std::string to_string() const {
    return fmt::format("limit {} ms, cap {}, parallel {}, cancelling {}, {}, slow {}, client {}, all {}",
                       limit_ms, attempts_cap, parallel, cancelling, effect, slow, static_cast<int>(client),
                       all_corrupt);
  }
  json to_json() const {
    json settings = settings_with_hold_limit(limit_ms, parallel, cancelling);
    settings["caps"]["attemptsCap"] = attempts_cap;
    settings["services"][0]["effect"] = effect;
    settings["services"][0]["windowMs"] = 2000.0;
    return settings;
  }
};

// Calls callback(scenario) with every combination.
template <class Callback>
void for_each_scenario(Callback callback) {
  for (const int limit_ms : {300, 500, 1000})
    for (const int attempts_cap : {2, 3, 4, 5, 6})
      for (const bool parallel : {true, false})
        for (const bool cancelling : {true, false})
          for (const char* effect : {"retryable", "dedup", "fragile"})
            for (const bool slow : {false, true})
              for (const ClientBehavior client :
                   {ClientBehavior::stays, ClientBehavior::shuts_down_write, ClientBehavior::leaves})
                for (const bool all_corrupt : {false, true})
                  callback(Scenario{limit_ms, attempts_cap, parallel, cancelling, effect, slow, client,
                                    all_corrupt});
}

void script_prefills(PlatformFixture& fixture, const ScriptedResponse& response, std::size_t count) {
  for (auto& worker : fixture.workers)
    if (worker->is_prefill) worker->script.assign(count, response);
}

// Lets the router learn that prefills are slow, yet within the limit: a release may discard one that takes
// longer.
void learn_slow(PlatformFixture& fixture, int limit_ms) {
  constexpr int kRequests = 6;
  script_prefills(fixture,
                  {"", ScriptedResponse::Finish::keep_alive, std::min(kSlowPrefillMs, limit_ms) * kMs, true},
                  kRequests);
  for (int i = 0; i < kRequests; ++i)
    fixture.send(fmt::format("slow{}", i), PlatformFixture::request(fmt::format("s{}", i)));
  for (int i = 0; i < kRequests; ++i) fixture.response(fmt::format("slow{}", i));
  script_prefills(fixture, {}, 0);
  fixture.run_for(100);
}

void run_staying_client(PlatformFixture& fixture, const std::string& request) {
  fixture.send("a1", request);
  fixture.run_for(kBudgetMs + kResponseSlackMs);
  REQUIRE(fixture.responses["a1"].size() == 1);
  CHECK(fixture.responses["a1"].front().complete);
}

void run_leaving_client(PlatformFixture& fixture, const std::string& request, ClientBehavior behavior) {
  RawClient client(fixture.node->address());
  client.write(request);
  fixture.run_for(behavior == ClientBehavior::leaves ? 700 : 30);
  behavior == ClientBehavior::leaves ? client.close() : client.shutdown_write();
  fixture.run_for(kBudgetMs + kResponseSlackMs);
}

void run_scenario(const CorruptResponse& corrupt, const Scenario& scenario) {
  CAPTURE(corrupt.name);
  CAPTURE(scenario.to_string());
  constexpr std::size_t kMaxAttempts = 40;
  PlatformFixture fixture(2, 2, scenario.to_json());
  warm_up(fixture);
  if (scenario.slow) learn_slow(fixture, scenario.limit_ms);
  const ScriptedResponse response{.response = corrupt.text,
                                  .finish = corrupt.finish,
                                  .delay = kPrefillTime,
                                  .leaves_kv = true,
                                  .late_response = corrupt.late_text,
                                  .late_delay = corrupt.late_delay};
  script_prefills(fixture, response, scenario.all_corrupt ? kMaxAttempts : 1);
  KvHoldMonitor monitor(fixture, KvHoldMonitor::Measure::unattended);
  const std::string request =
      PlatformFixture::request("a1", PlatformFixture::request_body(), std::to_string(kBudgetMs));
  scenario.client == ClientBehavior::stays ? run_staying_client(fixture, request)
                                           : run_leaving_client(fixture, request, scenario.client);
  fixture.run_for(scenario.limit_ms + 1500);
  check_longest_hold(monitor, scenario.limit_ms * kMs);
  CHECK(fixture.kv_entries.empty());
  CHECK(fixture.node->host().active_requests() == 0);
  CHECK(fixture.node->host().invariants().violations() == 0);
}

// Runs one in kSampleInterval scenarios. Silent responses after slow prefills are left out, as the router
// takes such silence for one more slow prefill (KNOWN-RED.txt: "a prefill whose answer is lost").
void run_sample(const std::vector<CorruptResponse>& responses) {
  std::size_t count = 0;
  for (const CorruptResponse& corrupt : responses)
    for_each_scenario([&](const Scenario& scenario) {
      if (++count % kSampleInterval == 0 && !(scenario.slow && corrupt.silent))
        run_scenario(corrupt, scenario);
    });
}

}  // namespace

TEST_CASE("a prefill that ended gets a 400 or 404 response: its KV cache is released within the limit") {
  for (const int status : {400, 404})
    for (const int limit_ms : {300, 1000})
      for (const ClientBehavior client :
           {ClientBehavior::stays, ClientBehavior::shuts_down_write, ClientBehavior::leaves})
        run_scenario({std::to_string(status), http::format_response(status, "", "", true),
                      ScriptedResponse::Finish::keep_alive},
                     {limit_ms, 6, true, true, "retryable", false, client, true});
}

TEST_CASE("a prefill response does not end, and prefills were slow before: the limit counts from its head") {
  for (const CorruptResponse& corrupt : truncated_responses())
    for (const int limit_ms : {300, 500, 1000})
      for (const bool cancelling : {true, false})
        if (!corrupt.silent && corrupt.finish == ScriptedResponse::Finish::hang)
          run_scenario(corrupt, {limit_ms, 4, cancelling, cancelling, "retryable", true,
                                 ClientBehavior::stays, false});
}

TEST_CASE(
    "a prefill response is truncated: the KV cache is released, and the client gets a response in time") {
  run_sample(truncated_responses());
}

TEST_CASE(
    "a prefill response contradicts what happened: the KV cache is released, and the client gets a "
    "response in time") {
  run_sample(misleading_responses());
}

}  // namespace cressrill::testing
