// Tests of what counts as progress of a worker's stream: an event that is complete, or bytes of an event under
// way in a chunk of a sound size. Without progress the client's connection ends within 5 s, and no sooner than
// a healthy worker may be silent.
#include "platform_fixture.h"
#include "raw_client.h"

namespace cressrill::testing {

namespace {

// A decode response that begins with one event and goes on with the pieces.
ScriptedResponse stream_with(std::vector<std::string> pieces, io::Nanos interval) {
  ScriptedResponse out{FakeWorker::stream_head() + FakeWorker::chunked(FakeWorker::event(0)),
                       ScriptedResponse::Finish::hang};
  out.takes_kv = true;
  out.pieces = std::move(pieces);
  out.piece_interval = interval;
  return out;
}

// A client of a fixture with one decode worker that answers as scripted.
struct StreamingClient {
  explicit StreamingClient(ScriptedResponse response) {
    fixture.worker("writer-0").script = {std::move(response)};
    client.write(PlatformFixture::request("a1"));
    fixture.run_for(100);
    client.read();
    REQUIRE(client.text().find(FakeWorker::event(0)) != std::string::npos);
  }
  // Runs until the client's connection has ended, for at most that long; returns whether it has.
  bool ends_within(std::int64_t ms) {
    for (std::int64_t passed = 0; passed < ms; passed += 50) {
      fixture.run_for(50);
      client.read();
      if (client.ended() || client.reset()) return true;
    }
    return false;
  }
  PlatformFixture fixture{1, 1};
  RawClient client{fixture.node->address()};
};

constexpr const char* kGigabyteChunkLines[] = {"c0000000\r\n", "40000000;name=value\r\n", "40001\r\n"};

}  // namespace

// Guards against a stream left open by events in a chunk that no body can hold (incident 67).
TEST_CASE("a chunk larger than any body ends its stream at its size line, whatever events go on in it") {
  for (const char* size_line : kGigabyteChunkLines) {
    CAPTURE(std::string(size_line));
    std::vector<std::string> pieces{size_line + FakeWorker::event(1)};
    for (int i = 2; i < 40; ++i) pieces.push_back(FakeWorker::event(i % 10));
    StreamingClient stream(stream_with(std::move(pieces), 500 * kMs));
    CHECK(stream.ends_within(1000));
    CHECK(!is_complete_stream(stream.client.text()));
    CHECK(stream.fixture.open_requests("writer-0") == 0);
  }
}

TEST_CASE("the largest chunk that a body can hold is passed on") {
  std::vector<std::string> pieces{"40000\r\n" + FakeWorker::event(1)};
  StreamingClient stream(stream_with(std::move(pieces), 100 * kMs));
  CHECK(!stream.ends_within(1000));
  CHECK(stream.client.text().find(FakeWorker::event(1)) != std::string::npos);
}

// Guards against cutting a slow but healthy stream.
TEST_CASE("events each 4.7 s are passed on whole") {
  std::vector<std::string> pieces;
  for (int i = 1; i < 4; ++i) pieces.push_back(FakeWorker::chunked(FakeWorker::event(i)));
  pieces.push_back(FakeWorker::chunked(FakeWorker::stream_end()) + "0\r\n\r\n");
  StreamingClient stream(stream_with(std::move(pieces), 4700 * kMs));
  CHECK(!stream.ends_within(20'000));
  CHECK(is_complete_stream(stream.client.text()));
}

TEST_CASE("an event that comes in pieces of 20 bytes each 0.9 s is passed on whole") {
  const std::string event =
      R"(data: {"choices":[{"index":0,"delta":{"content":")" + std::string(140, 'x') + "\"}}]}\n\n";
  const std::string chunk = FakeWorker::chunked(event);
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < chunk.size(); at += 20) pieces.push_back(chunk.substr(at, 20));
  pieces.back() += FakeWorker::chunked(FakeWorker::stream_end()) + "0\r\n\r\n";
  const auto total_ms = static_cast<std::int64_t>(pieces.size() * 900);
  REQUIRE(total_ms > 5000);
  StreamingClient stream(stream_with(std::move(pieces), 900 * kMs));
  CHECK(!stream.ends_within(total_ms + 500));
  CHECK(is_complete_stream(stream.client.text()));
}

TEST_CASE("comments, empty lines and framing are no progress: the stream ends within 5 s of its last event") {
  const std::string comment = ": still here\n";
  const std::pair<const char*, std::vector<std::string>> kinds[] = {
      {"comments", std::vector<std::string>(60, FakeWorker::chunked(comment))},
      {"comments with empty lines", std::vector<std::string>(60, FakeWorker::chunked(comment + "\n"))},
      {"comments in one chunk", [&] {
         std::vector<std::string> pieces(60, comment);
         pieces.front() = "20000\r\n" + comment;
         return pieces;
       }()},
      {"an endless chunk extension", [] {
         std::vector<std::string> pieces(60, "x");
         pieces.front() = "1f;name=";
         return pieces;
       }()}};
  for (const auto& [kind, pieces] : kinds) {
    CAPTURE(std::string(kind));
    StreamingClient stream(stream_with(pieces, 200 * kMs));
    CHECK(!stream.ends_within(4500));
    CHECK(stream.ends_within(450));
    CHECK(!is_complete_stream(stream.client.text()));
  }
}

}  // namespace cressrill::testing
