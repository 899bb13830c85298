// Tests of the event loop, sockets and HTTP messages: order, time, cancellation, parsing and connection
// reuse.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>

#include "http/client.h"
#include "http/server.h"
#include "io/timer_wheel.h"
#include "loopback.h"
#include "raw_client.h"

namespace cressrill::testing {

using io::kMs;

namespace {

// A local variable that sets a flag when the frame of its coroutine is destroyed.
struct DestructionFlag {
  bool& destroyed;
  ~DestructionFlag() { destroyed = true; }
};

io::Task<int> double_after_delay(io::Loop& loop, int value) {
  co_await loop.sleep_for(5 * kMs);
  co_return 2 * value;
}

}  // namespace

TEST_CASE("idle connections are not reused at an idle time at which requests were lost, and are at others") {
  http::IdleReuseTracker tracker;
  std::string decisions;
  const auto append_decisions = [&](io::Nanos now) {
    for (const int idle_ms : {10, 50, 150, 300, 700, 3000})
      decisions += tracker.worth_using(idle_ms * kMs, now) ? "+" : "-";
    decisions += " ";
  };
  append_decisions(0);
  for (int i = 0; i < 40; ++i) tracker.record_response(10 * kMs, i * kMs);
  tracker.record_loss(300 * kMs, 50 * kMs);  // a single loss does not exclude reuse
  append_decisions(60 * kMs);
  tracker.record_loss(300 * kMs, 70 * kMs);
  tracker.record_loss(10 * kMs, 70 * kMs);
  append_decisions(80 * kMs);
  append_decisions(11 * io::kSecond);  // the losses have decayed, so reuse is tried again
  CHECK(decisions == "++++++ ++++++ +++-++ ++++++ ");
}

TEST_CASE("data seen by wait_for_peer_close is read completely afterwards, in any number of reads") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Scope scope(loop);
  std::size_t received = 0;
  scope.spawn([](io::Loop& event_loop, io::Address address) -> io::Task<> {
    io::Socket socket;
    co_await io::connect(event_loop, address, socket);
    co_await socket.write_all(std::string(10'000, 'x'));
    co_await event_loop.sleep_for(5000 * kMs);
  }(loop, listener.address()));
  scope.spawn([](io::Loop& event_loop, io::Listener& from, std::size_t& bytes) -> io::Task<> {
    io::Socket socket = co_await from.accept();
    {
      io::Scope watch(event_loop);  // as the router does while it handles a request
      watch.spawn(socket.wait_for_peer_close());
      co_await event_loop.sleep_for(100 * kMs);
    }
    std::array<char, 1000> buffer;
    while (bytes < 10'000) bytes += (co_await socket.read_some(buffer)).bytes;
  }(loop, listener, received));
  loop.run_until([&] { return received == 10'000 || loop.now() > 20 * io::kSecond; });
  CHECK(received == 10'000);
}

// Guards against a peer that sends faster than it is read, and so stops every other connection and timer.
TEST_CASE("reading a connection that always has data leaves turns to other connections and to timers") {
  constexpr std::size_t kBacklogBytes = 100'000;
  io::Loop loop;
  io::Listener listener(loop, kAnyPort);
  io::Scope scope(loop);
  std::size_t bytes_read = 0;
  std::size_t read_when_answered = kBacklogBytes;  // from the busy connection, when the other got its reply
  std::size_t read_when_timer_fired = kBacklogBytes;
  io::Socket busy_peer;
  io::Socket busy;
  io::Socket quiet_peer;
  io::Socket quiet;
  scope.spawn([](io::Loop& event_loop, io::Listener& from, io::Socket& client, io::Socket& server,
                 io::Socket& other_client, io::Socket& other_server) -> io::Task<> {
    co_await io::connect(event_loop, from.address(), client);
    server = co_await from.accept();
    co_await io::connect(event_loop, from.address(), other_client);
    other_server = co_await from.accept();
    co_await client.write_all(std::string(kBacklogBytes, 'x'));
  }(loop, listener, busy_peer, busy, quiet_peer, quiet));
  loop.run_until([&] { return scope.empty(); });
  scope.spawn([](io::Socket& socket, std::size_t& bytes) -> io::Task<> {
    std::array<char, 500> buffer;
    while (bytes < kBacklogBytes) bytes += (co_await socket.read_some(buffer)).bytes;
  }(busy, bytes_read));
  scope.spawn([](io::Socket& socket) -> io::Task<> {
    std::array<char, 1> buffer;
    co_await socket.read_some(buffer);
    co_await socket.write_all("b");
  }(quiet));
  scope.spawn([](io::Socket& socket, std::size_t& bytes, std::size_t& bytes_at_reply) -> io::Task<> {
    std::array<char, 1> buffer;
    co_await socket.write_all("a");
    co_await socket.read_some(buffer);
    bytes_at_reply = bytes;
  }(quiet_peer, bytes_read, read_when_answered));
  scope.spawn([](io::Loop& event_loop, std::size_t& bytes, std::size_t& bytes_at_timer) -> io::Task<> {
    co_await event_loop.sleep_for(0);
    bytes_at_timer = bytes;
  }(loop, bytes_read, read_when_timer_fired));
  loop.run_until([&] { return scope.empty(); });
  CHECK(bytes_read == kBacklogBytes);
  CHECK(read_when_answered < kBacklogBytes / 2);
  CHECK(read_when_timer_fired < kBacklogBytes / 2);
}

// Guards against a client that sends many requests at once, and so stops every other connection.
TEST_CASE("a client with many requests in the buffer does not delay the response to another client") {
  constexpr std::size_t kPipelined = 500;
  io::Loop loop;
  std::size_t served = 0;
  std::size_t served_when_answered = kPipelined;  // of the pipelined requests
  http::Server server(loop, kAnyPort,
                      [&](http::Request& request, http::ResponseWriter& response) -> io::Task<> {
                        request.head.target == "/other" ? served_when_answered = served : ++served;
                        co_await response.respond(200, "", "");
                      });
  std::string pipelined;
  for (std::size_t i = 0; i < kPipelined; ++i) pipelined += "GET / HTTP/1.1\r\n\r\n";
  RawClient busy_client(server.address());
  RawClient other_client(server.address());
  REQUIRE(busy_client.write(pipelined) == pipelined.size());
  other_client.write("GET /other HTTP/1.1\r\n\r\n");
  loop.run_until([&] { return served == kPipelined; });
  CHECK(served_when_answered < kPipelined / 2);
}

TEST_CASE(
    "timers fire by due time, then in the order in which they were set; the simulated clock advances to "
    "them") {
  io::Loop loop(io::Loop::Clock::simulated);
  const io::Nanos start = loop.now();
  std::string order;
  {
    io::Scope scope(loop);
    const auto start_timer = [&](char name, int ms) {
      scope.spawn([](io::Loop& event_loop, std::string& fired, char id, int delay_ms) -> io::Task<> {
        co_await event_loop.sleep_for(delay_ms * kMs);
        fired.push_back(id);
      }(loop, order, name, ms));
    };
    start_timer('c', 30);
    start_timer('a', 10);
    start_timer('b', 20);
    start_timer('d', 30);
    start_timer('z', 100'000);
    loop.run_until([&] { return scope.empty(); });
  }
  CHECK(order == "abcdz");
  CHECK(loop.now() - start == 100'000 * kMs);
}

TEST_CASE(
    "the timer wheel fires the same timers as a sorted list, for random sets, cancellations and time steps") {
  struct Entry : io::intrusive::list_base_hook<io::AutoUnlink> {
    std::int64_t at{};
    std::uint64_t order{};
  };
  std::uint64_t random_state = 7;
  const auto random_below = [&](std::uint64_t limit) {
    random_state = random_state * 6364136223846793005u + 1442695040888963407u;
    return (random_state >> 33) % limit;
  };
  constexpr std::int64_t kSpans[] = {1'000, kMs, 300 * kMs, 80'000 * kMs, 20'000'000 * kMs};
  auto wheel = std::make_unique<io::TimerWheel<Entry>>();
  std::vector<Entry> entries(64);
  std::int64_t now = 0;
  std::uint64_t order = 0;
  std::size_t fired_count = 0;
  const auto sorted_entries = [&] {
    std::vector<const Entry*> linked;
    for (const Entry& entry : entries)
      if (entry.is_linked()) linked.push_back(&entry);
    std::ranges::sort(linked, {}, [](const Entry* entry) { return std::pair(entry->at, entry->order); });
    return linked;
  };
  for (int step = 0; step < 20'000; ++step) {
    Entry& entry = entries[random_below(entries.size())];
    if (random_below(4) == 0) {
      entry.unlink();
    } else {
      entry.at =
          now + static_cast<std::int64_t>(random_below(static_cast<std::uint64_t>(kSpans[random_below(5)])));
      entry.order = order++;
      wheel->set(entry);
    }
    const auto sorted = sorted_entries();
    const std::int64_t expected_due = sorted.empty() ? io::TimerWheel<Entry>::kNone : sorted.front()->at;
    REQUIRE(wheel->next_due() == expected_due);
    REQUIRE(wheel->next_due_lower_bound() <= expected_due);
    // Time advances in some steps: a little, exactly to the next timer, or far past many of them.
    if (random_below(3) == 0)
      now += static_cast<std::int64_t>(random_below(static_cast<std::uint64_t>(kSpans[random_below(4)])));
    if (random_below(8) == 0 && !sorted.empty()) now = std::max(now, expected_due);
    if (random_below(200) == 0) now += kSpans[4];
    std::vector<std::uint64_t> due_orders;
    std::vector<std::uint64_t> fired_orders;
    for (const Entry* candidate : sorted)
      if (candidate->at <= now) due_orders.push_back(candidate->order);
    wheel->fire(now, [&](Entry& timer) { fired_orders.push_back(timer.order); });
    REQUIRE(fired_orders == due_orders);
    fired_count += fired_orders.size();
  }
  CHECK(fired_count > 5'000);
}

TEST_CASE("a task that misses its deadline is cancelled and its frame destroyed") {
  io::Loop loop(io::Loop::Clock::simulated);
  bool destroyed = false;
  std::optional<int> late;
  std::optional<int> early;
  io::Scope scope(loop);
  scope.spawn([](io::Loop& event_loop, bool& flag, std::optional<int>& first,
                 std::optional<int>& second) -> io::Task<> {
    first = co_await io::with_deadline(event_loop, event_loop.now() + 10 * kMs,
                                       [](io::Loop& inner, bool& inner_flag) -> io::Task<int> {
                                         DestructionFlag guard{inner_flag};
                                         co_await inner.sleep_for(50 * kMs);
                                         co_return 1;
                                       }(event_loop, flag));
    second = co_await io::with_deadline(event_loop, event_loop.now() + 10 * kMs,
                                        double_after_delay(event_loop, 4));
  }(loop, destroyed, late, early));
  loop.run_until([&] { return scope.empty(); });
  CHECK(!late);
  CHECK(destroyed);
  CHECK(early == 8);
}

TEST_CASE(
    "cancelling a scope destroys tasks that wait in accept, read, write, connect, sleep or on a signal") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Listener full(loop, kAnyPort, 0);  // its accept queue is filled by the filler sockets
  io::Signal unnotified(loop);
  bool destroyed[6] = {};
  io::Socket client;
  io::Socket server;
  io::Socket filler[3];
  {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& event_loop, io::Listener& from, io::Socket& connected,
                   io::Socket& accepted) -> io::Task<> {
      co_await io::connect(event_loop, from.address(), connected);
      accepted = co_await from.accept();
    }(loop, listener, client, server));
    loop.run_until([&] { return scope.empty(); });
    for (io::Socket& filling : filler)
      scope.spawn([](io::Loop& event_loop, io::Address address, io::Socket& to) -> io::Task<> {
        co_await io::connect(event_loop, address, to);
      }(loop, full.address(), filling));
    scope.spawn([](io::Listener& listening, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      co_await listening.accept();
    }(listener, destroyed[0]));
    scope.spawn([](io::Socket& socket, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      std::array<char, 8> buffer;
      co_await socket.read_some(buffer);
    }(client, destroyed[1]));
    scope.spawn([](io::Socket& socket, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      const std::string data(64 << 20, 'x');  // more than the kernel buffers
      co_await socket.write_all(data);
    }(server, destroyed[2]));
    scope.spawn([](io::Loop& event_loop, io::Address address, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      io::Socket socket;
      co_await event_loop.sleep_for(kMs);
      co_await io::connect(event_loop, address, socket);
    }(loop, full.address(), destroyed[3]));
    scope.spawn([](io::Loop& event_loop, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      co_await event_loop.sleep_for(1000 * io::kSecond);
    }(loop, destroyed[4]));
    scope.spawn([](io::Signal& signal, bool& flag) -> io::Task<> {
      DestructionFlag guard{flag};
      co_await signal.wait();
    }(unnotified, destroyed[5]));
    bool finished = false;
    io::Scope timer(loop);
    timer.spawn([](io::Loop& event_loop, bool& done) -> io::Task<> {
      co_await event_loop.sleep_for(10 * kMs);
      done = true;
    }(loop, finished));
    loop.run_until([&] { return finished; });
    // The first bytes of the write completed the read; the other tasks still wait.
    CHECK(destroyed[1]);
    for (const int i : {0, 2, 3, 4, 5}) CHECK(!destroyed[i]);
  }
  for (const bool flag : destroyed) CHECK(flag);
  CHECK(client.is_open());
}

TEST_CASE("closing a socket wakes a coroutine that reads from it with EBADF") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Socket client;
  int error = 0;
  io::Scope scope(loop);
  scope.spawn(
      [](io::Loop& event_loop, io::Address address, io::Socket& socket, int& read_error) -> io::Task<> {
        co_await io::connect(event_loop, address, socket);
        std::array<char, 8> buffer;
        const io::IoResult result = co_await socket.read_some(buffer);
        read_error = result.error;
      }(loop, listener.address(), client, error));
  scope.spawn([](io::Loop& event_loop, io::Socket& socket) -> io::Task<> {
    co_await event_loop.sleep_for(5 * kMs);
    socket.close();
  }(loop, client));
  loop.run_until([&] { return scope.empty(); });
  CHECK(error == EBADF);
}

TEST_CASE(
    "parts written together arrive completely and in order when the reader is slow and buffers are full") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  std::vector<std::string> parts;
  std::string expected;
  for (int i = 0; i < 50; ++i)
    parts.push_back(std::string(static_cast<std::size_t>(i * 4000), static_cast<char>('a' + i % 26)));
  for (const std::string& part : parts) expected += part;
  std::string received;
  io::IoResult written;
  io::Scope scope(loop);
  scope.spawn(
      [](io::Listener& listening, const std::vector<std::string>& texts, io::IoResult& result) -> io::Task<> {
        io::Socket socket = co_await listening.accept();
        const std::vector<std::string_view> views(texts.begin(), texts.end());
        result = co_await socket.write_all(views);
      }(listener, parts, written));
  scope.spawn([](io::Loop& event_loop, io::Address address, std::string& data) -> io::Task<> {
    io::Socket socket;
    co_await io::connect(event_loop, address, socket);
    std::vector<char> buffer(30'000);
    for (;;) {
      co_await event_loop.sleep_for(kMs);
      const io::IoResult result = co_await socket.read_some(buffer);
      if (!result.ok() || result.bytes == 0) break;
      data.append(buffer.data(), result.bytes);
    }
  }(loop, listener.address(), received));
  loop.run_until([&] { return scope.empty(); });
  CHECK(written.ok());
  CHECK(written.bytes == expected.size());
  CHECK(received == expected);
}

TEST_CASE("a request that arrives while the previous one is handled is served after it") {
  io::Loop loop(io::Loop::Clock::simulated);
  std::string targets;
  http::Server server(
      loop, kAnyPort, [&](http::Request& request, http::ResponseWriter& response) -> io::Task<> {
        io::Scope watch(loop);
        watch.spawn([](http::ResponseWriter& watched) -> io::Task<> {
          co_await watched.wait_for_client_close();
        }(response));
        const std::string target(request.head.target);
        co_await loop.sleep_for(20 * kMs);  // meanwhile the next request arrives, and the watch sees its data
        watch.cancel();
        targets += target + " " + request.body + ";";
        co_await response.respond(200, "", "");
      });
  std::size_t responses = 0;
  io::Scope scope(loop);
  scope.spawn([](io::Loop& event_loop, io::Address address, std::size_t& count) -> io::Task<> {
    io::Socket socket;
    co_await io::connect(event_loop, address, socket);
    for (const char* target : {"/one", "/two", "/three"}) {
      co_await socket.write_all(http::format_request("POST", target, "h", "", "b"));
      co_await event_loop.sleep_for(5 * kMs);
    }
    http::MessageReader reader(socket, http::MessageKind::response);
    http::Head head;
    for (int i = 0; i < 3; ++i) count += co_await reader.read_head(head) == http::MessageError::none;
  }(loop, server.address(), responses));
  loop.run_until([&] { return scope.empty(); });
  CHECK(responses == 3);
  CHECK(targets == "/one b;/two b;/three b;");
}

// Guards against the loss of the earlier fields of a head that arrives in several pieces.
TEST_CASE("messages are parsed the same however they are split into pieces") {
  const std::string request =
      "POST /v1/chat?x=1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: 9b1f\r\nX-Empty:\r\nContent-Length: "
      "5\r\n\r\nhello";
  const std::string chunked =
      "HTTP/1.1 202 Accepted\r\nX-Load-Report: a=1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nhe\r\n3;ext=1\r\nllo\r\n0\r\nTrailer: t\r\n\r\n";
  struct Case {
    http::MessageKind kind;
    const std::string& text;
    const char* expected;
  };
  const Case cases[] = {
      {http::MessageKind::request, request,
       "POST /v1/chat?x=1 0 host=h x-call-id=9b1f x-empty= content-length=5 | hello"},
      {http::MessageKind::response, chunked, "  202 x-load-report=a=1 transfer-encoding=chunked | hello"},
  };
  // Sends the text in pieces of the given size, of which the first is shorter, and returns what was read.
  const auto read = [](const Case& test, std::size_t size, std::size_t shorter) {
    io::Loop loop(io::Loop::Clock::simulated);
    io::Listener listener(loop, kAnyPort);
    std::string parsed;
    io::Scope scope(loop);
    scope.spawn([](io::Loop& event_loop, io::Address address, std::string_view text, std::size_t piece_size,
                   std::size_t shorter_by) -> io::Task<> {
      io::Socket socket;
      co_await io::connect(event_loop, address, socket);
      // Twice: nothing of a message may get into the next one.
      for (int i = 0; i < 2; ++i)
        for (std::size_t from = 0, to = piece_size - shorter_by; from < text.size();
             from = to, to += piece_size) {
          co_await socket.write_all(text.substr(from, to - from));
          co_await event_loop.sleep_for(kMs);
        }
    }(loop, listener.address(), test.text, size, shorter));
    scope.spawn([](io::Listener& from, http::MessageKind kind, std::string& out) -> io::Task<> {
      io::Socket socket = co_await from.accept();
      http::MessageReader reader(socket, kind);
      for (int i = 0; i < 2; ++i) {
        http::Head head;
        std::string body;
        if (const auto error = co_await reader.read_head(head); error != http::MessageError::none)
          co_return void(out += http::to_string(error));
        out += std::string(head.method) + " " + std::string(head.target) + " " + std::to_string(head.status);
        co_await reader.read_body(body);
        for (const auto& [name, value] : head.fields) out.append(" ").append(name).append("=").append(value);
        out += " | " + body + "\n";
      }
    }(listener, test.kind, parsed));
    loop.run_until([&] { return scope.empty(); });
    return parsed;
  };
  for (const Case& test : cases) {
    const std::string expected = std::string(test.expected) + "\n" + test.expected + "\n";
    for (std::size_t size = 1; size <= test.text.size(); ++size) {
      CAPTURE(size);
      REQUIRE(read(test, size, 0) == expected);
      REQUIRE(read(test, size, size / 2) == expected);
    }
  }
}

// Guards against a line without an end between the chunks of a body, which is kept in memory without a limit.
TEST_CASE("what surrounds the data of a chunked body is limited in requests and in responses") {
  constexpr std::size_t kLimit = 16 * 1024;
  const std::string request_head = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
  const std::string response_head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  // Reads one message, whose peer sends `body` and then waits; nothing while the message is incomplete.
  const auto read_message = [&](http::MessageKind kind, const std::string& body) {
    io::Loop loop(io::Loop::Clock::simulated);
    io::Listener listener(loop, kAnyPort);
    RawClient peer(listener.address());
    std::optional<http::MessageError> result;
    io::Scope scope(loop);
    const std::string text = (kind == http::MessageKind::request ? request_head : response_head) + body;
    REQUIRE(peer.write(text) == text.size());
    scope.spawn([](io::Listener& from, http::MessageKind message_kind,
                   std::optional<http::MessageError>& out) -> io::Task<> {
      io::Socket socket = co_await from.accept();
      http::MessageReader reader(socket, message_kind);
      http::Head received_head;
      std::string received_body;
      if (const auto error = co_await reader.read_head(received_head); error != http::MessageError::none)
        co_return void(out = error);
      out = co_await reader.read_body(received_body);
    }(listener, kind, result));
    run_for(loop, 1000);
    return result;
  };
  const std::string within(kLimit - 100, 'x');
  const std::string beyond(kLimit + 100, 'x');
  for (const http::MessageKind kind : {http::MessageKind::request, http::MessageKind::response}) {
    CHECK(read_message(kind, "1;a=" + within + "\r\nb\r\n0\r\nt: " + within + "\r\n\r\n") ==
          http::MessageError::none);
    CHECK(read_message(kind, "1;a=" + within) == std::nullopt);
    CHECK(read_message(kind, "1;a=" + beyond) == http::MessageError::framing_too_large);
    CHECK(read_message(kind, "1\r\nb\r\n1;a=" + beyond) == http::MessageError::framing_too_large);
    CHECK(read_message(kind, "1\r\nb\r\n0;a=" + beyond) == http::MessageError::framing_too_large);
    CHECK(read_message(kind, "1\r\nb\r\n0\r\nt: " + beyond) == http::MessageError::framing_too_large);
    CHECK(read_message(kind, std::string(kLimit + 100, '0')) == http::MessageError::framing_too_large);
  }
}

TEST_CASE("a streamed response may have any length; one that is read into a string is limited") {
  io::Loop loop(io::Loop::Clock::simulated);
  constexpr std::size_t kChunks = 300;
  constexpr std::size_t kChunkBytes = 40'000;
  http::Server server(loop, kAnyPort, [&](http::Request&, http::ResponseWriter& response) -> io::Task<> {
    const std::string chunk(kChunkBytes, 'x');
    response.begin_stream_deferred(200, "");
    for (std::size_t i = 0; i < kChunks; ++i)
      if (!co_await response.write_chunk(chunk)) co_return;
    co_await response.end_stream("last");
  });
  std::size_t streamed = 0;
  http::MessageError stream_error{};
  http::MessageError string_error{};
  io::Scope scope(loop);
  scope.spawn([](io::Loop& event_loop, io::Address address, std::size_t& bytes,
                 http::MessageError& stream_result, http::MessageError& string_result) -> io::Task<> {
    for (const bool as_string : {false, true}) {
      io::Socket socket;
      co_await io::connect(event_loop, address, socket);
      co_await socket.write_all(http::format_request("GET", "/", "h", "", ""));
      http::MessageReader reader(socket, http::MessageKind::response);
      http::Head head;
      co_await reader.read_head(head);
      std::string body;
      if (as_string) {
        string_result = co_await reader.read_body(body);
        continue;
      }
      while (reader.has_more() && stream_result == http::MessageError::none) {
        std::span<const std::string_view> pieces;
        stream_result = co_await reader.read_body_pieces(pieces);
        for (const std::string_view piece : pieces) bytes += piece.size();
      }
    }
  }(loop, server.address(), streamed, stream_error, string_error));
  loop.run_until([&] { return scope.empty(); });
  CHECK(stream_error == http::MessageError::none);
  CHECK(streamed == kChunks * kChunkBytes + 4);
  CHECK(string_error == http::MessageError::body_too_large);
}

TEST_CASE("a text that is not exactly an address and a port is not parsed as one") {
  CHECK(io::parse_address("127.0.0.1:80")->to_string() == "127.0.0.1:80");
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:80x", "127.0.0.1:70000",
                          "host:80", "1.2.3:4"})
    CHECK(!io::parse_address(bad));
}

TEST_CASE("server-sent events are parsed the same however the body is split") {
  const std::string body =
      ": a remark\ndata: one\n\ndata:two\r\n\r\nevent: x\ndata: a\ndata: b\n\n\ndata: cut";
  for (std::size_t step = 1; step < body.size(); ++step) {
    http::SseParser parser;
    std::string events;
    for (std::size_t i = 0; i < body.size(); i += step) {
      parser.feed(std::string_view(body).substr(i, step));
      while (const auto event = parser.next()) events.append("[").append(*event).append("]");
    }
    CHECK(events == "[one][two][a\nb]");
    CHECK(parser.pending_bytes() > 0);
  }
}

TEST_CASE("idle connections are reused until they expire, and a request waits while its pool is full") {
  io::Loop loop(io::Loop::Clock::simulated);
  int served = 0;
  http::Server server(loop, kAnyPort,
                      [&](http::Request& request, http::ResponseWriter& response) -> io::Task<> {
                        ++served;
                        co_await loop.sleep_for(20 * kMs);
                        co_await response.respond(200, "", request.body);
                      });
  auto pool =
      std::make_shared<http::Pool>(loop, server.address(), http::PoolLimits{250 * kMs, io::kSecond, 8, 2});
  int ok_count = 0;
  io::Scope scope(loop);
  const auto send = [&] {
    scope.spawn([](std::shared_ptr<http::Pool> target, int& count) -> io::Task<> {
      const std::string text = http::format_request("POST", "/", "h", "", "hello");
      const http::ExchangeResult result = co_await http::exchange(target, text);
      count += result.ok() && result.body == "hello";
    }(pool, ok_count));
  };
  for (int i = 0; i < 6; ++i) send();
  loop.run_until([&] { return scope.empty(); });
  CHECK(ok_count == 6);
  CHECK(pool->dial_count() == 2);
  scope.spawn(
      [](io::Loop& event_loop) -> io::Task<> { co_await event_loop.sleep_for(2 * io::kSecond); }(loop));
  loop.run_until([&] { return scope.empty(); });
  CHECK(pool->open_count() == 0);  // closed after the idle timeout
  send();
  loop.run_until([&] { return scope.empty(); });
  CHECK(ok_count == 7);
  CHECK(pool->dial_count() == 3);
}

}  // namespace cressrill::testing
