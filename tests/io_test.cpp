// The scheduler and sockets: order, time, and cancellation that reaches every wait.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>

#include "http/client.h"
#include "http/server.h"
#include "io/timer_wheel.h"
#include "loopback.h"

namespace cressrill::testing {

using io::kMs;

namespace {

struct Gone {  // tells that its coroutine's frame was destroyed
  bool& flag;
  ~Gone() { flag = true; }
};

io::Task<int> twice(io::Loop& loop, int n) {
  co_await loop.sleep_for(5 * kMs);
  co_return 2 * n;
}

}  // namespace

TEST_CASE("kept connections of an age at which requests are lost are left alone, others are used") {
  http::IdleReuseTracker reuse;
  std::string seen;
  const auto worth = [&](io::Nanos now) {
    for (const int ms : {10, 50, 150, 300, 700, 3000}) seen += reuse.worth_using(ms * kMs, now) ? "+" : "-";
    seen += " ";
  };
  worth(0);
  for (int i = 0; i < 40; ++i) reuse.record_response(10 * kMs, i * kMs);
  reuse.record_loss(300 * kMs, 50 * kMs);  // one loss says little
  worth(60 * kMs);
  reuse.record_loss(300 * kMs, 70 * kMs), reuse.record_loss(10 * kMs, 70 * kMs);
  worth(80 * kMs);
  worth(11 * io::kSecond);  // it is tried again
  CHECK(seen == "++++++ ++++++ +++-++ ++++++ ");
}

TEST_CASE("bytes that were seen and left are all read later, however many reads they take") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Scope scope(loop);
  std::size_t got = 0;
  scope.spawn([](io::Loop& l, io::Address to) -> io::Task<> {
    io::Socket s;
    co_await io::connect(l, to, s);
    co_await s.write_all(std::string(10'000, 'x'));
    co_await l.sleep_for(5000 * kMs);
  }(loop, listener.address()));
  scope.spawn([](io::Loop& l, io::Listener& from, std::size_t& n) -> io::Task<> {
    io::Socket s = co_await from.accept();
    {
      io::Scope watch(l);  // as while a request is in hand: does the client leave?
      watch.spawn(s.wait_for_peer_close());
      co_await l.sleep_for(100 * kMs);
    }
    std::array<char, 1000> some;
    while (n < 10'000) n += (co_await s.read_some(some)).bytes;
  }(loop, listener, got));
  loop.run_until([&] { return got == 10'000 || loop.now() > 20 * io::kSecond; });
  CHECK(got == 10'000);
}

TEST_CASE("timers run in the order of their times, those of one time as they were set; the clock jumps") {
  io::Loop loop(io::Loop::Clock::simulated);
  const io::Nanos start = loop.now();
  std::string order;
  {
    io::Scope scope(loop);
    const auto wait = [&](char name, int ms) {
      scope.spawn([](io::Loop& l, std::string& o, char c, int span) -> io::Task<> {
        co_await l.sleep_for(span * kMs);
        o.push_back(c);
      }(loop, order, name, ms));
    };
    wait('c', 30), wait('a', 10), wait('b', 20), wait('d', 30), wait('z', 100'000);
    loop.run_until([&] { return scope.empty(); });
  }
  CHECK(order == "abcdz");
  CHECK(loop.now() - start == 100'000 * kMs);
}

TEST_CASE(
    "the wheel gives timers as a sorted list does, whatever is set, taken back, and how far time goes") {
  struct Entry : io::intrusive::list_base_hook<io::AutoUnlink> {
    std::int64_t at{};
    std::uint64_t order{};
  };
  std::uint64_t chance = 7;
  const auto next = [&](std::uint64_t below) {
    chance = chance * 6364136223846793005u + 1442695040888963407u;
    return (chance >> 33) % below;
  };
  constexpr std::int64_t kSpans[] = {1'000, kMs, 300 * kMs, 80'000 * kMs, 20'000'000 * kMs};
  auto wheel = std::make_unique<io::TimerWheel<Entry>>();
  std::vector<Entry> entries(64);
  std::int64_t now = 0;
  std::uint64_t order = 0;
  std::size_t fired = 0;
  const auto set = [&] {
    std::vector<const Entry*> out;
    for (const Entry& e : entries)
      if (e.is_linked()) out.push_back(&e);
    std::ranges::sort(out, {}, [](const Entry* e) { return std::pair(e->at, e->order); });
    return out;
  };
  for (int step = 0; step < 20'000; ++step) {
    Entry& e = entries[next(entries.size())];
    if (next(4) == 0) {
      e.unlink();
    } else {
      e.at = now + static_cast<std::int64_t>(next(static_cast<std::uint64_t>(kSpans[next(5)])));
      e.order = order++;
      wheel->set(e);
    }
    const auto sorted = set();
    const std::int64_t first = sorted.empty() ? io::TimerWheel<Entry>::kNone : sorted.front()->at;
    REQUIRE(wheel->next_due() == first);
    REQUIRE(wheel->next_due_lower_bound() <= first);
    // Now and then time goes on: a little, to the next timer exactly, or far past many.
    if (next(3) == 0) now += static_cast<std::int64_t>(next(static_cast<std::uint64_t>(kSpans[next(4)])));
    if (next(8) == 0 && !sorted.empty()) now = std::max(now, first);
    if (next(200) == 0) now += kSpans[4];
    std::vector<std::uint64_t> due, got;
    for (const Entry* s : sorted)
      if (s->at <= now) due.push_back(s->order);
    wheel->fire(now, [&](Entry& t) { got.push_back(t.order); });
    REQUIRE(got == due);
    fired += got.size();
  }
  CHECK(fired > 5'000);
}

TEST_CASE("a task that is not done in time is cancelled, frame and all") {
  io::Loop loop(io::Loop::Clock::simulated);
  bool gone = false;
  std::optional<int> late, early;
  io::Scope scope(loop);
  scope.spawn([](io::Loop& l, bool& g, std::optional<int>& a, std::optional<int>& b) -> io::Task<> {
    a = co_await io::with_deadline(l, l.now() + 10 * kMs, [](io::Loop& inner, bool& flag) -> io::Task<int> {
      Gone tell{flag};
      co_await inner.sleep_for(50 * kMs);
      co_return 1;
    }(l, g));
    b = co_await io::with_deadline(l, l.now() + 10 * kMs, twice(l, 4));
  }(loop, gone, late, early));
  loop.run_until([&] { return scope.empty(); });
  CHECK(!late);
  CHECK(gone);
  CHECK(early == 8);
}

TEST_CASE("cancellation reaches accept, read, write, connect, sleep, and a signal") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Listener full(loop, kAnyPort, 0);
  io::Signal never(loop);
  bool gone[6] = {};
  io::Socket client, server, filler[3];
  {
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l, io::Listener& from, io::Socket& c, io::Socket& s) -> io::Task<> {
      co_await io::connect(l, from.address(), c);
      s = co_await from.accept();
    }(loop, listener, client, server));
    loop.run_until([&] { return scope.empty(); });
    for (io::Socket& f : filler)
      scope.spawn([](io::Loop& l, io::Address a, io::Socket& to) -> io::Task<> {
        co_await io::connect(l, a, to);
      }(loop, full.address(), f));
    scope.spawn([](io::Listener& l, bool& g) -> io::Task<> {
      Gone tell{g};
      co_await l.accept();
    }(listener, gone[0]));
    scope.spawn([](io::Socket& s, bool& g) -> io::Task<> {
      Gone tell{g};
      std::array<char, 8> some;
      co_await s.read_some(some);
    }(client, gone[1]));
    scope.spawn([](io::Socket& s, bool& g) -> io::Task<> {
      Gone tell{g};
      const std::string much(64 << 20, 'x');  // more than the kernel takes
      co_await s.write_all(much);
    }(server, gone[2]));
    scope.spawn([](io::Loop& l, io::Address a, bool& g) -> io::Task<> {
      Gone tell{g};
      io::Socket s;
      co_await l.sleep_for(kMs);
      co_await io::connect(l, a, s);
    }(loop, full.address(), gone[3]));
    scope.spawn([](io::Loop& l, bool& g) -> io::Task<> {
      Gone tell{g};
      co_await l.sleep_for(1000 * io::kSecond);
    }(loop, gone[4]));
    scope.spawn([](io::Signal& s, bool& g) -> io::Task<> {
      Gone tell{g};
      co_await s.wait();
    }(never, gone[5]));
    bool over = false;
    io::Scope timer(loop);
    timer.spawn([](io::Loop& l, bool& o) -> io::Task<> {
      co_await l.sleep_for(10 * kMs);
      o = true;
    }(loop, over));
    loop.run_until([&] { return over; });
    // The reader was answered by the writer's first bytes; the others still wait.
    CHECK(gone[1]);
    for (const int i : {0, 2, 3, 4, 5}) CHECK(!gone[i]);
  }
  for (const bool g : gone) CHECK(g);
  CHECK(client.is_open());
}

TEST_CASE("closing a socket under a coroutine that waits on it wakes it with an error") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  io::Socket client;
  int error = 0;
  io::Scope scope(loop);
  scope.spawn([](io::Loop& l, io::Address a, io::Socket& to, int& e) -> io::Task<> {
    co_await io::connect(l, a, to);
    std::array<char, 8> some;
    const io::IoResult m = co_await to.read_some(some);
    e = m.error;
  }(loop, listener.address(), client, error));
  scope.spawn([](io::Loop& l, io::Socket& s) -> io::Task<> {
    co_await l.sleep_for(5 * kMs);
    s.close();
  }(loop, client));
  loop.run_until([&] { return scope.empty(); });
  CHECK(error == EBADF);
}

TEST_CASE("texts written together arrive whole and in order, though the reader is slow and the kernel full") {
  io::Loop loop(io::Loop::Clock::simulated);
  io::Listener listener(loop, kAnyPort);
  std::vector<std::string> texts;
  std::string whole;
  for (int i = 0; i < 50; ++i)
    texts.push_back(std::string(static_cast<std::size_t>(i * 4000), static_cast<char>('a' + i % 26)));
  for (const std::string& t : texts) whole += t;
  std::string got;
  io::IoResult wrote;
  io::Scope scope(loop);
  scope.spawn([](io::Listener& l, const std::vector<std::string>& all, io::IoResult& to) -> io::Task<> {
    io::Socket socket = co_await l.accept();
    const std::vector<std::string_view> parts(all.begin(), all.end());
    to = co_await socket.write_all(parts);
  }(listener, texts, wrote));
  scope.spawn([](io::Loop& l, io::Address to, std::string& all) -> io::Task<> {
    io::Socket socket;
    co_await io::connect(l, to, socket);
    std::vector<char> buffer(30'000);
    for (;;) {
      co_await l.sleep_for(kMs);
      const io::IoResult moved = co_await socket.read_some(buffer);
      if (!moved.ok() || moved.bytes == 0) break;
      all.append(buffer.data(), moved.bytes);
    }
  }(loop, listener.address(), got));
  loop.run_until([&] { return scope.empty(); });
  CHECK(wrote.ok());
  CHECK(wrote.bytes == whole.size());
  CHECK(got == whole);
}

TEST_CASE("a request that came while the one before it was answered is read after it") {
  io::Loop loop(io::Loop::Clock::simulated);
  std::string targets;
  http::Server server(
      loop, kAnyPort, [&](http::Request& request, http::ResponseWriter& answer) -> io::Task<> {
        io::Scope watch(loop);
        watch.spawn(
            [](http::ResponseWriter& a) -> io::Task<> { co_await a.wait_for_client_close(); }(answer));
        const std::string target(request.head.target);
        co_await loop.sleep_for(20 * kMs);  // the next request comes meanwhile, and is seen by the watch
        watch.cancel();
        targets += target + " " + request.body + ";";
        co_await answer.respond(200, "", "");
      });
  std::size_t answers = 0;
  io::Scope scope(loop);
  scope.spawn([](io::Loop& l, io::Address to, std::size_t& n) -> io::Task<> {
    io::Socket socket;
    co_await io::connect(l, to, socket);
    for (const char* target : {"/one", "/two", "/three"}) {
      co_await socket.write_all(http::format_request("POST", target, "h", "", "b"));
      co_await l.sleep_for(5 * kMs);
    }
    http::MessageReader reader(socket, http::MessageKind::response);
    http::Head head;
    for (int i = 0; i < 3; ++i) n += co_await reader.read_head(head) == http::MessageError::none;
  }(loop, server.address(), answers));
  loop.run_until([&] { return scope.empty(); });
  CHECK(answers == 3);
  CHECK(targets == "/one b;/two b;/three b;");
}

// Guards against heads of which only the last piece is remembered.
TEST_CASE("messages are read the same in whatever pieces they come") {
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
  // One connection for each: the text is cut into pieces of that size, the first of them so much shorter.
  const auto read = [](const Case& c, std::size_t size, std::size_t shorter) {
    io::Loop loop(io::Loop::Clock::simulated);
    io::Listener listener(loop, kAnyPort);
    std::string got;
    io::Scope scope(loop);
    scope.spawn([](io::Loop& l, io::Address at, std::string_view text, std::size_t each,
                   std::size_t less) -> io::Task<> {
      io::Socket socket;
      co_await io::connect(l, at, socket);
      // Twice: what is left of a message must not get into the next.
      for (int i = 0; i < 2; ++i)
        for (std::size_t from = 0, to = each - less; from < text.size(); from = to, to += each) {
          co_await socket.write_all(text.substr(from, to - from));
          co_await l.sleep_for(kMs);
        }
    }(loop, listener.address(), c.text, size, shorter));
    scope.spawn([](io::Listener& from, http::MessageKind kind, std::string& to) -> io::Task<> {
      io::Socket socket = co_await from.accept();
      http::MessageReader reader(socket, kind);
      for (int i = 0; i < 2; ++i) {
        http::Head head;
        std::string body;
        if (const auto fault = co_await reader.read_head(head); fault != http::MessageError::none)
          co_return void(to += http::to_string(fault));
        to += std::string(head.method) + " " + std::string(head.target) + " " + std::to_string(head.status);
        co_await reader.read_body(body);
        for (const auto& [name, value] : head.fields) to.append(" ").append(name).append("=").append(value);
        to += " | " + body + "\n";
      }
    }(listener, c.kind, got));
    loop.run_until([&] { return scope.empty(); });
    return got;
  };
  for (const Case& c : cases) {
    const std::string twice = std::string(c.expected) + "\n" + c.expected + "\n";
    for (std::size_t size = 1; size <= c.text.size(); ++size) {
      CAPTURE(size);
      REQUIRE(read(c, size, 0) == twice);
      REQUIRE(read(c, size, size / 2) == twice);
    }
  }
}

TEST_CASE("a stream may be of any length; what is kept whole is bounded") {
  io::Loop loop(io::Loop::Clock::simulated);
  constexpr std::size_t kParts = 300, kPart = 40'000;
  http::Server server(loop, kAnyPort, [&](http::Request&, http::ResponseWriter& answer) -> io::Task<> {
    const std::string part(kPart, 'x');
    answer.begin_stream_deferred(200, "");
    for (std::size_t i = 0; i < kParts; ++i)
      if (!co_await answer.write_chunk(part)) co_return;
    co_await answer.end_stream("last");
  });
  std::size_t streamed = 0;
  http::MessageError ended{}, kept{};
  io::Scope scope(loop);
  scope.spawn([](io::Loop& l, io::Address to, std::size_t& bytes, http::MessageError& one,
                 http::MessageError& two) -> io::Task<> {
    for (const bool whole : {false, true}) {
      io::Socket socket;
      co_await io::connect(l, to, socket);
      co_await socket.write_all(http::format_request("GET", "/", "h", "", ""));
      http::MessageReader reader(socket, http::MessageKind::response);
      http::Head head;
      co_await reader.read_head(head);
      std::string all;
      if (whole) {
        two = co_await reader.read_body(all);
        continue;
      }
      while (reader.has_more() && one == http::MessageError::none) {
        std::span<const std::string_view> pieces;
        one = co_await reader.read_body_pieces(pieces);
        for (const std::string_view piece : pieces) bytes += piece.size();
      }
    }
  }(loop, server.address(), streamed, ended, kept));
  loop.run_until([&] { return scope.empty(); });
  CHECK(ended == http::MessageError::none);
  CHECK(streamed == kParts * kPart + 4);
  CHECK(kept == http::MessageError::body_too_large);
}

TEST_CASE("addresses are read whole or not at all") {
  CHECK(io::parse_address("127.0.0.1:80")->to_string() == "127.0.0.1:80");
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:80x", "127.0.0.1:70000",
                          "host:80", "1.2.3:4"})
    CHECK(!io::parse_address(bad));
}

TEST_CASE("events are cut out of a body however it is split") {
  const std::string body =
      ": a remark\ndata: one\n\ndata:two\r\n\r\nevent: x\ndata: a\ndata: b\n\n\ndata: cut";
  for (std::size_t step = 1; step < body.size(); ++step) {
    http::SseParser events;
    std::string got;
    for (std::size_t i = 0; i < body.size(); i += step) {
      events.feed(std::string_view(body).substr(i, step));
      while (const auto e = events.next()) got.append("[").append(*e).append("]");
    }
    CHECK(got == "[one][two][a\nb]");
    CHECK(events.pending_bytes() > 0);
  }
}

TEST_CASE("kept connections are used again, stale ones made anew, and a full pool makes others wait") {
  io::Loop loop(io::Loop::Clock::simulated);
  int served = 0;
  http::Server server(loop, kAnyPort, [&](http::Request& rq, http::ResponseWriter& answer) -> io::Task<> {
    ++served;
    co_await loop.sleep_for(20 * kMs);
    co_await answer.respond(200, "", rq.body);
  });
  auto pool =
      std::make_shared<http::Pool>(loop, server.address(), http::PoolLimits{250 * kMs, io::kSecond, 8, 2});
  int ok = 0;
  io::Scope scope(loop);
  const auto ask = [&] {
    scope.spawn([](std::shared_ptr<http::Pool> p, int& n) -> io::Task<> {
      const std::string text = http::format_request("POST", "/", "h", "", "hello");
      const http::ExchangeResult e = co_await http::exchange(p, text);
      n += e.ok() && e.body == "hello";
    }(pool, ok));
  };
  for (int i = 0; i < 6; ++i) ask();
  loop.run_until([&] { return scope.empty(); });
  CHECK(ok == 6);
  CHECK(pool->dial_count() == 2);
  scope.spawn([](io::Loop& l) -> io::Task<> { co_await l.sleep_for(2 * io::kSecond); }(loop));
  loop.run_until([&] { return scope.empty(); });
  CHECK(pool->open_count() == 0);  // kept no longer than told
  ask();
  loop.run_until([&] { return scope.empty(); });
  CHECK(ok == 7);
  CHECK(pool->dial_count() == 3);
}

}  // namespace cressrill::testing
