// Stand-ins for the platform, written for this review from the users' pages: discovery, workers, clients and
// the start of one router process. Blocking sockets, one thread for each connection. All addresses are
// 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

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
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

// Milliseconds since the start of the test, on the monotonic clock.
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The record of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%10.1f  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline int listen_on_loopback(int& port, int backlog = 256) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, backlog) != 0) {
    std::fprintf(stderr, "cannot listen\n");
    std::exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// A head of a message and its body.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  std::string method() const { return start_line.substr(0, start_line.find(' ')); }
  std::string target() const {
    const std::size_t from = start_line.find(' ') + 1;
    return start_line.substr(from, start_line.find(' ', from) - from);
  }
  int status() const { return std::atoi(start_line.substr(start_line.find(' ') + 1).c_str()); }
};

// Reads messages from a socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Waits for more bytes until the deadline (ms of now_ms()). Returns 1, 0 at the end of the stream or after
  // an error, -1 at the deadline.
  int fill(double deadline) {
    for (;;) {
      const double left = deadline - now_ms();
      if (left <= 0) return -1;
      pollfd entry{fd_, POLLIN, 0};
      if (::poll(&entry, 1, static_cast<int>(left) + 1) <= 0) continue;
      char buffer[16384];
      const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n <= 0) return 0;
      text_.append(buffer, static_cast<std::size_t>(n));
      return 1;
    }
  }
  // Returns 1 if a line was read, else as fill().
  int line(std::string& out, double deadline) {
    for (;;) {
      const std::size_t end = text_.find('\n');
      if (end != std::string::npos) {
        out = text_.substr(0, end);
        if (!out.empty() && out.back() == '\r') out.pop_back();
        text_.erase(0, end + 1);
        return 1;
      }
      if (const int result = fill(deadline); result != 1) return result;
    }
  }
  int bytes(std::string& out, std::size_t count, double deadline) {
    while (text_.size() < count)
      if (const int result = fill(deadline); result != 1) return result;
    out.append(text_, 0, count);
    text_.erase(0, count);
    return 1;
  }
  int head(Message& out, double deadline) {
    out = {};
    if (const int result = line(out.start_line, deadline); result != 1) return result;
    std::string field;
    for (;;) {
      if (const int result = line(field, deadline); result != 1) return result;
      if (field.empty()) return 1;
      const std::size_t colon = field.find(':');
      std::string name = field.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      std::size_t from = colon == std::string::npos ? field.size() : colon + 1;
      while (from < field.size() && field[from] == ' ') ++from;
      out.fields[name] = field.substr(from);
    }
  }
  // Reads a request with its body.
  int request(Message& out, double deadline) {
    if (const int result = head(out, deadline); result != 1) return result;
    const auto length = static_cast<std::size_t>(std::atoll(out.field("content-length").c_str()));
    return bytes(out.body, length, deadline);
  }
  bool has_buffered() const { return !text_.empty(); }

 private:
  int fd_;
  std::string text_;
};

// One entry of discovery's list.
struct Target {
  std::string uid;
  int port{};
  std::string zone;
  std::string model;
  int cell{};
  std::string state;
  long long boot_ms{};
  std::string json() const {
    std::ostringstream out;
    out << "{\"uid\":\"" << uid << "\",\"endpoint\":\"127.0.0.1:" << port << "\",\"az\":\"" << zone
        << "\",\"model\":\"" << model << "\",\"pod_group\":" << cell << ",\"state\":\"" << state
        << "\",\"capacity_hint\":1.0,\"boot_ms\":" << boot_ms << "}";
    return out.str();
  }
};

// Discovery's agent: the whole list, and watches with index and wait.
class Discovery {
 public:
  explicit Discovery(Record& record, long long first_version = 41)
      : record_(record), version_(first_version) {
    listener_ = listen_on_loopback(port_);
    std::thread([this] { accept_loop(); }).detach();
  }
  int port() const { return port_; }
  void set(const Target& target) {
    const std::lock_guard lock(mutex_);
    ++version_;
    targets_[target.uid] = target;
    changed_at_[target.uid] = version_;
    record_.line("discovery: version %lld, %s is %s", version_, target.uid.c_str(), target.state.c_str());
    changed_.notify_all();
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list(-1);
  }

 private:
  std::string list(long long since) const {
    std::string entries;
    for (const auto& [uid, target] : targets_) {
      if (since < 0 ? target.state == "removed" : changed_at_.at(uid) <= since) continue;
      entries += (entries.empty() ? "" : ",") + target.json();
    }
    return "{\"rev\":" + std::to_string(version_) + ",\"all\":" + (since < 0 ? "true" : "false") +
           ",\"targets\":[" + entries + "]}";
  }
  void accept_loop() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.request(request, 1e12) == 1) {
      const std::string target = request.target();
      const std::size_t index = target.find("index=");
      const std::size_t wait = target.find("wait=");
      std::string body;
      if (index == std::string::npos) {
        body = whole_list();
      } else {
        const long long since = std::atoll(target.c_str() + index + 6);
        const long long wait_ms = wait == std::string::npos ? 0 : std::atoll(target.c_str() + wait + 5);
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return version_ > since; });
        body = list(since);
      }
      if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body))
        break;
    }
    ::close(fd);
  }
  Record& record_;
  int listener_{};
  int port_{};
  std::mutex mutex_;
  std::condition_variable changed_;
  long long version_;
  std::map<std::string, Target> targets_;
  std::map<std::string, long long> changed_at_;
};

// Values of the settings that a case may choose, within the site file and the pages.
struct Settings {
  std::string effect = "retryable";  // of the first class
  std::string group = "all";
  int window_ms = 5000;
  int deadline_ms = 6000;
  int memory_mb = 64;
  int sockets = 256;
  int hold_limit_ms = 1000;
  int drain_grace_ms = 500;
  int instances = 1;
  int dial_timeout_ms = 250;
};

inline std::string settings_json(const Settings& s) {
  std::ostringstream out;
  out << R"({"azs":["ub-east","ub-west"],"caps":{"attemptsCap":6,"cancelling":true,"connIdleMs":30000.0,)"
      << R"("cpuUsPerRequest":0.0,"cpuUsPerS":400000,"dialTimeoutMs":)" << s.dial_timeout_ms
      << R"(,"maxOpen":20000,"maxRetryAfterMs":500.0,"multiplex":32,"parallelTries":true,"peers":false,)"
      << R"("probes":false,"retryAfter":false},"clients":{"marksRetry":true},"discovery":"automatic",)"
      << R"("familyInfo":{"aimUsPer1000PromptTokens":[40000.0,40000.0],"dutyByKind":["read","write"],)"
      << R"("farPrice":0.02,"holdsAllowed":true,"memoryTokens":[167925,150320],"pinLimitMs":)"
      << s.hold_limit_ms
      << R"(,"reportX0":"share of memory that is held","resume":false,"selfPrefill":false,)"
      << R"("tokenAimMs":[60.0,80.0]},"goal":{"whole":0.4,"worstClass":0.2,"worstTenant":0.1,)"
      << R"("worstWindow":0.3},"granularityMs":2.0,"instances":)" << s.instances
      << R"(,"kindOfService":"twostage","layers":["model-fleet"],"locality":0,"me":0,)"
      << R"("models":["prefill","decode"],"obligations":{"answerSlackMs":8.0,"coldFrom":0.25,)"
      << R"("fallMs":3000.0,"fallMultiple":4.0,"mustAskInMs":10000.0,"rampTimeMs":12000.0,)"
      << R"("stopSendingWithinMs":)" << s.drain_grace_ms << R"(},"overShareWorth":0.2,)"
      << R"("prices":{"connection":0.0,"crossZone":0.059,"discovery":0.0,"handshake":0.0,"lateFail":0.08,)"
      << R"("moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.16},"services":[)"
      << R"({"deadlineMs":)" << s.deadline_ms << R"(,"effect":")" << s.effect
      << R"(","goalTimeMs":1500.0,"group":")" << s.group << R"(","lateShare":0.1,"name":"buyer-ask",)"
      << R"("stream":true,"windowMs":)" << s.window_ms << R"(,"worth":1.0},)"
      << R"({"deadlineMs":12000.0,"effect":"retryable","goalTimeMs":3000.0,"group":"all","lateShare":0.3,)"
      << R"("name":"seller-draft","stream":true,"windowMs":5000.0,"worth":3.0}],)"
      << R"("stats":{"columns":["concurrent","x0"],"via":"inline"},"tenants":[)"
      << R"({"allowancePerS":20.0,"name":"main-shop","portion":0.6},)"
      << R"({"allowancePerS":13.0,"name":"export-desk","portion":0.4}],"tier":0,"weights":"rough",)"
      << R"("worthBy":"work"})";
  return out.str();
}

// One router process, started with the deploy file's `run` in a process group of its own.
class Router {
 public:
  Router(Record& record, std::string folder, std::string root, std::string run_command)
      : record_(record),
        folder_(std::move(folder)),
        root_(std::move(root)),
        run_command_(std::move(run_command)) {}
  ~Router() { kill_now(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string config_path() const { return folder_ + "/config.json"; }
  void write_config(int discovery_port, const Settings& settings, const std::string& known) {
    std::ofstream file(config_path() + ".new");
    file << R"({"name":"n0","listen":"127.0.0.1:)" << port_ << R"(","discovery":"127.0.0.1:)"
         << discovery_port << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
         << settings.memory_mb << R"(,"sockets":)" << settings.sockets << R"(},"known":)" << known
         << R"(,"settings":)" << settings_json(settings) << "}";
    file.close();
    std::rename((config_path() + ".new").c_str(), config_path().c_str());
  }
  // Starts the process and waits until GET /up answers 200. Returns false if it does not within 20 s.
  bool start(int discovery_port, const Settings& settings, const std::string& known) {
    if (port_ == 0) ::close(listen_on_loopback(port_));
    write_config(discovery_port, settings, known);
    const std::string log = folder_ + "/router.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      setpgid(0, 0);
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // the router does not outlive the test
      if (::chdir(root_.c_str()) != 0) _exit(127);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("EDGE_NAME", "n0", 1);
      setenv("EDGE_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      setenv("EDGE_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery_port)).c_str(), 1);
      setenv("EDGE_CONFIG", config_path().c_str(), 1);
      setenv("TMPDIR", folder_.c_str(), 1);
      if (const char* extra = std::getenv("ROUTER_ARGUMENTS"); extra != nullptr)
        run_command_ += std::string(" ") + extra;
      execl("/bin/sh", "sh", "-c", run_command_.c_str(), nullptr);
      _exit(127);
    }
    setpgid(pid_, pid_);
    const double deadline = now_ms() + 20'000;
    while (now_ms() < deadline) {
      if (!running()) return false;
      const int fd = connect_to(port_);
      if (fd >= 0) {
        Reader reader(fd);
        Message answer;
        const bool up = send_all(fd, "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n") &&
                        reader.head(answer, now_ms() + 1000) == 1 && answer.status() == 200;
        ::close(fd);
        if (up) {
          record_.line("router: ready, process %d", static_cast<int>(pid_));
          return true;
        }
      }
      sleep_ms(50);
    }
    return false;
  }
  bool running() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, &status_, WNOHANG) == pid_) {
      record_.line("router: ended, wait status %d", status_);
      pid_ = 0;
      return false;
    }
    return true;
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(-pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = 0;
  }
  // Peak resident memory of the process in MB.
  double peak_memory_mb() const { return memory_mb("VmHWM:"); }
  double memory_mb(const char* name) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string key;
    double kb = 0;
    std::string rest;
    while (file >> key) {
      if (key == name) {
        file >> kb;
        return kb / 1024;
      }
      std::getline(file, rest);
    }
    return 0;
  }

 private:
  Record& record_;
  std::string folder_;
  std::string root_;
  std::string run_command_;
  int port_{};
  pid_t pid_{};
  int status_{};
};

// What a client got for one request.
struct Answer {
  int status{};      // 0: none
  bool complete{};   // the last chunk, or the whole body, came
  bool closed{};     // the router ended the connection before that
  std::string body;  // the text of the body, chunks joined
  double sent_at{};  // of the last byte
  double ended_at{};
};

struct RequestOptions {
  std::string id;
  std::string type = "buyer-ask";
  int budget_ms = 6000;
  int prompt_tokens = 400;
  int max_out = 100;
  std::string session;
  std::string prefix;
  double wait_ms = 20'000;  // for the whole answer
};

inline std::string request_text(const RequestOptions& options) {
  std::string content(static_cast<std::size_t>(options.prompt_tokens) * 4, 'a');
  const std::string body = R"({"model":"chat","stream":true,"max_tokens":)" +
                           std::to_string(options.max_out) + R"(,"messages":[{"role":"user","content":")" +
                           content + R"("}]})";
  std::string info = "prompt_len=" + std::to_string(options.prompt_tokens) +
                     ",prefix_len=0,max_out=" + std::to_string(options.max_out);
  if (!options.prefix.empty()) info = "prefix=" + options.prefix + "," + info;
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: " + options.id +
         "\r\nX-Call-Class: " + options.type + "\r\nX-Caller: main-shop\r\nX-Route-Hash: " +
         (options.session.empty() ? options.id : options.session) +
         "\r\nX-Budget-Ms: " + std::to_string(options.budget_ms) + "\r\nX-Call-Info: " + info +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Reads one answer from the connection.
inline Answer read_answer(Reader& reader, double deadline) {
  Answer answer;
  Message head;
  int result = reader.head(head, deadline);
  while (result == 1 && head.status() / 100 == 1) result = reader.head(head, deadline);
  if (result == 1) {
    answer.status = head.status();
    if (head.field("transfer-encoding") == "chunked") {
      for (;;) {
        std::string size_line;
        result = reader.line(size_line, deadline);
        if (result != 1) break;
        const std::size_t size = std::strtoul(size_line.c_str(), nullptr, 16);
        std::string data;
        result = reader.bytes(data, size + 2, deadline);
        if (result != 1) break;
        if (size == 0) {
          answer.complete = true;
          break;
        }
        answer.body.append(data, 0, size);
      }
    } else {
      const auto length = static_cast<std::size_t>(std::atoll(head.field("content-length").c_str()));
      result = reader.bytes(answer.body, length, deadline);
      answer.complete = result == 1;
    }
  }
  answer.closed = result == 0;
  answer.ended_at = now_ms();
  return answer;
}

// Sends one request on a new connection and reads its answer. A connection that the router resets before any
// byte of an answer came is reported with status 0 and closed.
inline Answer call(Record& record, int router_port, const RequestOptions& options) {
  const int fd = connect_to(router_port);
  if (fd < 0) {
    record.line("client: %s could not connect", options.id.c_str());
    return {};
  }
  Reader reader(fd);
  send_all(fd, request_text(options));
  const double sent_at = now_ms();
  record.line("client: %s sent", options.id.c_str());
  Answer answer = read_answer(reader, now_ms() + options.wait_ms);
  answer.sent_at = sent_at;
  ::close(fd);
  record.line("client: %s got status %d, %s after %.0f ms", options.id.c_str(), answer.status,
              answer.complete ? "whole"
              : answer.closed ? "cut off"
                              : "no end",
              answer.ended_at - sent_at);
  return answer;
}

inline std::string chunk(const std::string& data) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

inline std::string stream_head() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(const std::string& data) { return chunk("data: " + data + "\n\n"); }

inline std::string content_event(const std::string& text, bool last = false) {
  return event(R"({"choices":[{"index":0,"delta":{"content":")" + text + R"("},"finish_reason":)" +
               (last ? "\"stop\"" : "null") + "}]}");
}

inline std::string stream_end(int prompt_tokens = 400, int answer_tokens = 5) {
  return event(R"({"choices":[],"usage":{"prompt_tokens":)" + std::to_string(prompt_tokens) +
               R"(,"completion_tokens":)" + std::to_string(answer_tokens) +
               R"(,"prompt_tokens_details":{"cached_tokens":0}}})") +
         event("[DONE]") + "0\r\n\r\n";
}

inline std::string simple_answer(int status, const std::string& reason, const std::string& fields,
                                 const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

// The read states that all workers of the test hold, by request.
class HeldStates {
 public:
  void hold(const std::string& id) {
    const std::lock_guard lock(mutex_);
    held_.insert(id);
  }
  bool take(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return held_.erase(id) > 0;
  }
  std::size_t count() const {
    const std::lock_guard lock(mutex_);
    return held_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::string> held_;
};

// A worker. The handlers may be replaced; they return false to end the connection.
class Worker {
 public:
  using Handler = std::function<bool(Worker&, int fd, Reader&, const Message&)>;
  Worker(Record& record, HeldStates& held, std::string name, bool is_reader)
      : record_(record), held_(held), name_(std::move(name)), is_reader_(is_reader) {
    listener_ = listen_on_loopback(port_);
    on_request = is_reader_ ? Handler(sound_read) : Handler(sound_write);
    std::thread([this] { accept_loop(); }).detach();
  }
  int port() const { return port_; }
  const std::string& name() const { return name_; }
  bool is_reader() const { return is_reader_; }
  Record& record() { return record_; }
  HeldStates& held() { return held_; }
  Target target(const std::string& state = "up", long long boot_ms = 0) const {
    return {name_, port_, "ub-east", is_reader_ ? "prefill" : "decode", 1, state, boot_ms};
  }

  Handler on_request;
  std::atomic<double> work_ms{20};
  std::atomic<int> events{5};
  std::atomic<double> event_ms{20};

  static bool sound_read(Worker& worker, int fd, Reader&, const Message& request) {
    const std::string id = request.field("x-call-id");
    sleep_ms(worker.work_ms);
    worker.held().hold(id);
    worker.record().line("%s: %s read", worker.name().c_str(), id.c_str());
    return send_all(
        fd, simple_answer(202, "Accepted", "Content-Type: application/json\r\n", "{\"cached_tokens\":0}"));
  }
  static bool sound_write(Worker& worker, int fd, Reader&, const Message& request) {
    const std::string id = request.field("x-call-id");
    if (!worker.held().take(id)) {
      worker.record().line("%s: %s has no state", worker.name().c_str(), id.c_str());
      return send_all(fd, simple_answer(410, "Gone", "X-Rejected: 1\r\n", ""));
    }
    sleep_ms(worker.work_ms);
    return worker.write_stream(fd, id);
  }
  // The text of each answer begins with the id of its request.
  bool write_stream(int fd, const std::string& id) {
    record_.line("%s: %s stream begins", name_.c_str(), id.c_str());
    if (!send_all(fd, stream_head() + content_event("<" + id + ">"))) return false;
    for (int i = 0; i < events; ++i) {
      sleep_ms(event_ms);
      if (!send_all(fd, content_event("word ", i + 1 == events))) return false;
    }
    const bool sent = send_all(fd, stream_end());
    record_.line("%s: %s stream ends", name_.c_str(), id.c_str());
    return sent;
  }

 private:
  void accept_loop() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd, next_connection_++); }).detach();
    }
  }
  void serve(int fd, int connection) {
    Reader reader(fd);
    Message request;
    while (reader.request(request, 1e12) == 1) {
      record_.line("%s: connection %d: %s %s, id %s, budget %s", name_.c_str(), connection,
                   request.method().c_str(), request.target().c_str(), request.field("x-call-id").c_str(),
                   request.field("x-budget-ms").c_str());
      if (request.method() == "DELETE") {
        held_.take(request.target().substr(request.target().rfind('/') + 1));
        if (!send_all(fd, simple_answer(204, "No Content", "", ""))) break;
        continue;
      }
      if (!on_request(*this, fd, reader, request)) break;
    }
    ::close(fd);
  }
  Record& record_;
  HeldStates& held_;
  std::string name_;
  bool is_reader_;
  int listener_{};
  int port_{};
  std::atomic<int> next_connection_{0};
};

// Command line of a case: ROOT FOLDER RUN_COMMAND RECORD. TROUBLE=0 in the environment turns the disruption
// off.
struct Case {
  std::string root;
  std::string folder;
  std::string run_command;
  std::string record_path;
  bool trouble{};
};

inline Case case_from(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: case ROOT FOLDER RUN_COMMAND RECORD\n");
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], argv[4], trouble == nullptr || std::string(trouble) != "0"};
}

// Ends the test without waiting for the threads of the stand-ins.
[[noreturn]] inline void finish(Record& record, Router& router, int status) {
  router.kill_now();
  record.line("result: %s", status == 0   ? "the rule held"
                            : status == 1 ? "the rule was broken"
                                          : "could not run");
  std::fflush(nullptr);
  _exit(status);
}

}  // namespace review
