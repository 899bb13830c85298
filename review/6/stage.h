// Stand-ins for the cases of this review: workers, a discovery agent and clients on loopback addresses and the
// real clock, and the router as a process of its own, started by the `run` command of the deploy file. Written
// from the platform's pages (PROTOCOL, DEPLOY). Each server has a thread for each connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stage {

// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Milliseconds on the monotonic clock since the start of the program.
inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// Whether the case runs with its disruption; TROUBLE=0 leaves it out.
inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// The record of a run, one line for each event, written to the file that RECORD names.
inline void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
inline void note(const char* format, ...) {
  static std::mutex mutex;
  static FILE* file =
      std::fopen(std::getenv("RECORD") != nullptr ? std::getenv("RECORD") : "record.txt", "w");
  const std::lock_guard lock(mutex);
  if (file == nullptr) return;
  std::fprintf(file, "%9.1f ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file, format, arguments);
  va_end(arguments);
  std::fprintf(file, "\n");
  std::fflush(file);
}

// Writes the verdict to the record and to standard output.
inline int verdict(int status, const std::string& text) {
  note("verdict %d: %s", status, text.c_str());
  std::printf("%s: %s\n", status == kHeld ? "held" : status == kBroken ? "BROKEN" : "not run", text.c_str());
  std::fflush(stdout);
  return status;
}

// Sockets.

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

// Returns a listening socket on a free port, or exits with kNotRun.
inline int listen_any(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 1024) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    std::_Exit(verdict(kNotRun, "no port to listen on"));
  port = ntohs(address.sin_port);
  return fd;
}
// A port for a router. It lies below the range from which connections get their own ports: one from that range could
// be taken by a connection of this test before the router listens on it.
inline int free_port() {
  constexpr int kLowest = 10'000;
  constexpr int kLeastSpan = 1'000;
  constexpr int kStep = 211;  // between the first ports of two processes
  static std::atomic<int> tried{0};
  int end = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> end;
  const int span = end - kLowest;
  for (int i = 0; span >= kLeastSpan && i < span; ++i) {
    const int port = kLowest + static_cast<int>((1L * ::getpid() * kStep + tried++) % span);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool is_free =
        fd >= 0 && ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (is_free) return port;
  }
  int port = 0;
  ::close(listen_any(port));
  return port;
}
inline void no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
// Returns a connected socket, or -1.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  no_delay(fd);
  return fd;
}
inline bool send_all(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    data.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}
// Closes with a reset.
inline void reset(int fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::shutdown(fd, SHUT_RDWR);
}

// What came back from a read: data, the end of the stream, a reset, or nothing in time.
enum class Got { data, end, reset, nothing };
inline const char* to_string(Got got) {
  return got == Got::data ? "data" : got == Got::end ? "end" : got == Got::reset ? "reset" : "nothing";
}
inline Got read_more(int fd, std::string& buffer, double until) {
  for (;;) {
    pollfd entry{fd, POLLIN, 0};
    const double left = until - now_ms();
    const int ready = ::poll(&entry, 1, left > 0 ? static_cast<int>(left) + 1 : 0);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return Got::nothing;
    char bytes[16384];
    const ssize_t received = ::recv(fd, bytes, sizeof bytes, 0);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0) return Got::reset;
    if (received == 0) return Got::end;
    buffer.append(bytes, static_cast<std::size_t>(received));
    return Got::data;
  }
}

// HTTP/1.1.

struct Message {
  std::string start;  // the request line or status line
  std::map<std::string, std::string> fields;
  std::string body;      // decoded, as far as it has come
  bool complete{};       // its end has come
  double first_byte{};   // when its first bytes came
  double last_byte{};    // when its end came
  Got ended{Got::data};  // how the connection ended, if it did before the end of the message
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

// Reads one message from a connection; `buffer` keeps what came behind it. Calls on_body when the body has grown.
inline Message read_message(int fd, std::string& buffer, double until,
                            const std::function<void(const Message&)>& on_body = {}) {
  Message message;
  const auto more = [&] {
    const Got got = read_more(fd, buffer, until);
    if (got != Got::data) message.ended = got;
    return got == Got::data;
  };
  if (buffer.empty() && !more()) return message;
  message.first_byte = now_ms();
  std::size_t head_end = 0;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!more()) return message;
  std::istringstream head(buffer.substr(0, head_end + 2));
  buffer.erase(0, head_end + 4);
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  if (message.field("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buffer.find("\r\n")) == std::string::npos)
        if (!more()) return message;
      const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line_end + 2 + size + 2)
        if (!more()) return message;
      message.body += buffer.substr(line_end + 2, size);
      buffer.erase(0, line_end + 2 + size + 2);
      if (on_body) on_body(message);
      if (size == 0) break;
    }
  } else {
    const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < size)
      if (!more()) return message;
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
  }
  message.complete = true;
  message.last_byte = now_ms();
  return message;
}

inline std::string response(int status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string stream_head(const std::string& fields = "") {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n";
}
inline std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}
inline std::string event(const std::string& content) {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content +
         "\"},\"finish_reason\":null}]}\n\n";
}
inline std::string last_events() {
  return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n"
         "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":300,\"completion_tokens\":20,"
         "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
         "data: [DONE]\n\n";
}

// A client's request.
struct Ask {
  std::string id;
  int budget_ms{3000};
  std::size_t prompt_bytes{1200};
  std::string session{};
};
inline std::string request_text(const Ask& ask) {
  const std::string body =
      "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":40,\"messages\":[{\"role\":\"user\",\"content\":"
      "\"" +
      std::string(ask.prompt_bytes, 'x') + "\"}]}";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + ask.id +
         "\r\nX-Call-Class: chat\r\nX-Caller: shop\r\nX-Route-Hash: " +
         (ask.session.empty() ? "5e55" + ask.id : ask.session) +
         "\r\nX-Budget-Ms: " + std::to_string(ask.budget_ms) +
         "\r\nX-Call-Info: prompt_len=" + std::to_string(ask.prompt_bytes / 4) +
         ",max_out=40\r\nContent-Type: application/json\r\n" +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A server with a thread for each connection. serve() gets the connection and returns when it is done with it.
class Server {
 public:
  explicit Server(std::string server_name) : name(std::move(server_name)) { listener_ = listen_any(port); }
  virtual ~Server() = default;
  Server(const Server&) = delete;
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        no_delay(fd);
        std::thread([this, fd] {
          serve(fd);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  std::string name;
  int port{};

 protected:
  virtual void serve(int fd) = 0;

 private:
  int listener_{-1};
};

constexpr double kNoEnd = 1e12;

// A worker. Requests are answered by `answer`, which returns whether the connection stays open; calls that let go
// of what is held are answered with 204.
class Worker : public Server {
 public:
  using Answer = std::function<bool(Worker&, int fd, const Message&, int number)>;
  Worker(std::string worker_name, bool worker_reads) : Server(std::move(worker_name)), reads(worker_reads) {}

  bool reads;
  std::atomic<int> requests{};  // that have come to their last byte
  Answer answer = [](Worker& worker, int fd, const Message& message, int) {
    return worker.answer_soundly(fd, message);
  };
  // Whether a request with that id has come.
  bool saw(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return seen_.contains(id);
  }
  int events{5};
  double event_gap_ms{20};
  double read_ms{20};

  // The answer of a sound worker.
  bool answer_soundly(int fd, const Message&) {
    sleep_ms(read_ms);
    if (reads) return send_all(fd, response(202, "", "{\"cached_tokens\":0}"));
    if (!send_all(fd, stream_head())) return false;
    for (int i = 0; i < events; ++i) {
      if (!send_all(fd, chunk(event("word" + std::to_string(i))))) return false;
      sleep_ms(event_gap_ms);
    }
    return send_all(fd, chunk(last_events()) + "0\r\n\r\n");
  }

 protected:
  void serve(int fd) override {
    std::string buffer;
    for (;;) {
      const Message message = read_message(fd, buffer, kNoEnd);
      if (!message.complete) return;
      if (message.start.starts_with("DELETE ")) {
        note("%s let go: %s", name.c_str(), message.start.c_str());
        if (!send_all(fd, "HTTP/1.1 204 X\r\n\r\n")) return;
        continue;
      }
      if (!message.start.starts_with("POST /v1/chat/completions ")) {
        if (!send_all(fd, response(404, "", ""))) return;
        continue;
      }
      const int number = ++requests;
      {
        const std::lock_guard lock(mutex_);
        seen_.insert(message.field("x-call-id"));
      }
      note("%s got %s, first byte %.1f, last byte %.1f, budget %s", name.c_str(),
           message.field("x-call-id").c_str(), message.first_byte, message.last_byte,
           message.field("x-budget-ms").c_str());
      if (!answer(*this, fd, message, number)) return;
    }
  }

 private:
  std::mutex mutex_;
  std::set<std::string> seen_;
};

// Clients that run beside each other, each in a thread of its own.
class Clients {
 public:
  void run(std::function<void()> client) {
    ++running_;
    std::thread([this, client = std::move(client)] {
      client();
      --running_;
    }).detach();
  }
  void wait() const {
    while (running_ > 0) sleep_ms(5);
  }

 private:
  std::atomic<int> running_{0};
};

// The discovery agent of one router.
class Agent : public Server {
 public:
  Agent() : Server("agent") {}
  // How long the agent takes to answer a call, after the end of its wait.
  std::atomic<double> slow_ms{0};

  struct Target {
    std::string uid;
    int port{};
    std::string model;
    std::string state;
    long long boot_ms{};
    long long rev{};
  };
  void set(const Worker& worker, const std::string& state, long long boot_ms = 0) {
    const std::lock_guard lock(mutex_);
    ++rev_;
    targets_[worker.name] = {worker.name, worker.port, worker.reads ? "prefill" : "decode",
                             state,       boot_ms,     rev_};
    note("agent has rev %lld: %s is %s", rev_, worker.name.c_str(), state.c_str());
    changed_.notify_all();
  }
  // The list in discovery's form: all targets, or those that changed after a version.
  std::string list(long long after = -1) {
    const std::lock_guard lock(mutex_);
    return list_locked(after);
  }

 protected:
  void serve(int fd) override {
    std::string buffer;
    for (;;) {
      const Message message = read_message(fd, buffer, kNoEnd);
      if (!message.complete) return;
      long long index = -1;
      long long wait = 0;
      if (const std::size_t at = message.start.find("index="); at != std::string::npos)
        index = std::atoll(message.start.c_str() + at + 6);
      if (const std::size_t at = message.start.find("wait="); at != std::string::npos)
        wait = std::atoll(message.start.c_str() + at + 5);
      std::string body;
      {
        std::unique_lock lock(mutex_);
        if (index >= 0)
          changed_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return rev_ > index; });
        body = list_locked(index);
      }
      note("agent was asked: %s", message.start.c_str());
      sleep_ms(slow_ms);
      if (!send_all(fd, response(200, "Content-Type: application/json\r\n", body))) {
        note("agent: its caller has gone");
        return;
      }
      note("agent has answered %s", message.start.c_str());
    }
  }

 private:
  std::string list_locked(long long after) const {
    std::string out =
        "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (after < 0 ? "true" : "false") + ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, target] : targets_) {
      if (target.rev <= after) continue;
      if (!first) out += ",";
      first = false;
      out += "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address_text(target.port) +
             "\",\"az\":\"a\",\"model\":\"" + target.model + "\",\"pod_group\":1,\"state\":\"" +
             target.state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(target.boot_ms) + "}";
    }
    return out + "]}";
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Target> targets_;
  long long rev_{40};
};

// The settings of a small deployment.
struct Settings {
  std::string effect{"retryable"};
  int deadline_ms{3000};
  int grace_ms{500};
  int hold_ms{1000};
  int attempts{6};
  bool parallel{true};
  int routers{1};
  int memory_mb{192};
  int sockets{512};
};
inline std::string settings_json(const Settings& s) {
  std::ostringstream out;
  out << "{\"azs\":[\"a\"],\"caps\":{\"attemptsCap\":" << s.attempts
      << ",\"cancelling\":true,\"connIdleMs\":30000,\"cpuUsPerRequest\":0,\"cpuUsPerS\":400000,"
         "\"dialTimeoutMs\":250,\"maxOpen\":20000,\"maxRetryAfterMs\":500,\"multiplex\":32,\"parallelTries\":"
      << (s.parallel ? "true" : "false")
      << ",\"peers\":false,\"probes\":false,\"retryAfter\":false},\"clients\":{\"marksRetry\":true},"
         "\"discovery\":\"automatic\",\"familyInfo\":{\"aimUsPer1000PromptTokens\":[40000],\"dutyByKind\":"
         "[\"read\",\"write\"],\"farPrice\":0.02,\"holdsAllowed\":true,\"memoryTokens\":[167925,150320],"
         "\"pinLimitMs\":"
      << s.hold_ms
      << ",\"reportX0\":\"share_of_memory_that_is_held\",\"resume\":false,\"selfPrefill\":false,"
         "\"tokenAimMs\":[60]},\"goal\":{\"whole\":1.0},\"granularityMs\":2,\"instances\":"
      << s.routers
      << ",\"kindOfService\":\"twostage\",\"layers\":[\"model-fleet\"],\"locality\":0,\"me\":0,"
         "\"models\":[\"prefill\",\"decode\"],\"obligations\":{\"answerSlackMs\":8,\"coldFrom\":0.25,"
         "\"fallMs\":3000,\"fallMultiple\":4,\"mustAskInMs\":10000,\"rampTimeMs\":12000,"
         "\"stopSendingWithinMs\":"
      << s.grace_ms
      << "},\"overShareWorth\":0.2,\"prices\":{\"crossZone\":0.059,\"lateFail\":0.08,\"waste\":0.16},"
         "\"services\":[{\"deadlineMs\":"
      << s.deadline_ms << ",\"effect\":\"" << s.effect
      << "\",\"goalTimeMs\":1500,\"group\":\"all\",\"lateShare\":0.1,\"name\":\"chat\",\"stream\":true,"
         "\"windowMs\":5000,\"worth\":1}],\"stats\":{\"columns\":[\"concurrent\",\"x0\"],\"via\":\"inline\"},"
         "\"tenants\":[{\"allowancePerS\":1000,\"name\":\"shop\",\"portion\":1}],\"tier\":0,"
         "\"weights\":\"rough\",\"worthBy\":\"work\"}";
  return out.str();
}

// The router as a process of its own, started from the repository's root by `run` of the deploy file. A folder of
// its own under /tmp holds its configuration and its log.
class Router {
 public:
  Router(Settings router_settings, int discovery, std::string known = "")
      : settings(std::move(router_settings)), port(free_port()), discovery_port(discovery), known_(known) {
    const char* temporary = std::getenv("TMPDIR");
    folder_ = std::string(temporary != nullptr ? temporary : "/tmp") + "/review-router-XXXXXX";
    if (::mkdtemp(folder_.data()) == nullptr) std::_Exit(verdict(kNotRun, "no temporary folder"));
    write_config();
  }
  ~Router() {
    stop(SIGKILL);
    const std::string remove = "rm -rf " + folder_;
    if (std::system(remove.c_str()) != 0) std::perror("rm");
  }
  void write_config() {
    std::ofstream(folder_ + "/config.json")
        << "{\"name\":\"n0\",\"listen\":\"" << address_text(port) << "\",\"discovery\":\""
        << address_text(discovery_port) << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
        << "\"memory_mb\":" << settings.memory_mb << ",\"sockets\":" << settings.sockets << "},"
        << (known_.empty() ? "" : "\"known\":" + known_ + ",") << "\"settings\":" << settings_json(settings)
        << "}\n";
  }
  void start() {
    const std::string command = run_command();
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      ::setenv("EDGE_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("EDGE_NAME", "n0", 1);
      ::setenv("EDGE_LISTEN", address_text(port).c_str(), 1);
      ::setenv("EDGE_DISCOVERY", address_text(discovery_port).c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      std::_Exit(127);
    }
    note("router started: %s", command.c_str());
  }
  // Waits until GET /up answers 200, for 10 s at most.
  bool wait_until_up() {
    for (const double until = now_ms() + 10'000; now_ms() < until; sleep_ms(20)) {
      const int fd = connect_to(port);
      if (fd < 0) continue;
      send_all(fd, "GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
      std::string buffer;
      const Message answer = read_message(fd, buffer, now_ms() + 1000);
      ::close(fd);
      if (answer.status() == 200) {
        note("router is up");
        return true;
      }
    }
    note("router on port %d is not up; its log: %s", port, log().c_str());
    return false;
  }
  // Whether the process runs; if not, `ended` tells how it ended.
  bool runs() {
    if (pid <= 0) return false;
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return true;
    ended = WIFSIGNALED(status) ? "killed by signal " + std::to_string(WTERMSIG(status))
                                : "exited with " + std::to_string(WEXITSTATUS(status));
    note("router %s", ended.c_str());
    pid = -1;
    return false;
  }
  void stop(int signal_number) {
    if (pid <= 0) return;
    ::kill(pid, signal_number);
    int status = 0;
    ::waitpid(pid, &status, 0);
    pid = -1;
  }
  std::string log() const {
    std::ifstream file(folder_ + "/log");
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  Settings settings;
  int port;
  int discovery_port;
  pid_t pid{-1};
  std::string ended;

 private:
  // `run` of deploy/balancer.toml.
  static std::string run_command() {
    std::ifstream file("deploy/balancer.toml");
    for (std::string line; std::getline(file, line);)
      if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
    std::_Exit(verdict(kNotRun, "deploy/balancer.toml has no run"));
  }
  std::string known_;
  std::string folder_;
};

// Sends one request on a new connection and reads its answer.
inline Message ask(int port, const Ask& request, double wait_ms = 10'000) {
  const int fd = connect_to(port);
  Message answer;
  if (fd < 0) {
    answer.ended = Got::reset;
    return answer;
  }
  note("client sends %s", request.id.c_str());
  std::string buffer;
  if (send_all(fd, request_text(request))) answer = read_message(fd, buffer, now_ms() + wait_ms);
  note("client got %d for %s, %s", answer.status(), request.id.c_str(),
       answer.complete ? "whole" : to_string(answer.ended));
  ::close(fd);
  return answer;
}

}  // namespace stage
