#include "engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/parsed_request.h"

namespace cressrill::rig {

using nlohmann::json;

namespace {

constexpr std::string_view kJson = "content-type: application/json\r\n";

std::uint64_t mix(std::uint64_t h, std::uint64_t v) {
  h = (h ^ v) * 0x9e3779b97f4a7c15u;
  return h ^ h >> 29;
}

io::Nanos nanos(double ms) { return static_cast<io::Nanos>(ms * 1e6); }

// The text of a request as one string, messages with their roles.
std::string prompt_of(const json& body) {
  std::string out;
  if (body.contains("prompt")) {
    const json& prompt = body["prompt"];
    if (prompt.is_string()) return prompt.get<std::string>();
    for (const json& item : prompt)
      out += item.is_number() ? std::to_string(item.get<long long>()) + " " : item.get<std::string>();
    return out;
  }
  for (const json& m : body.value("messages", json::array())) {
    out += m.value("role", "") + ": ";
    if (m.contains("content") && m["content"].is_string()) out += m["content"].get<std::string>();
    if (m.contains("content") && m["content"].is_array())
      for (const json& part : m["content"]) out += part.value("text", "");
    out += "\n";
  }
  return out;
}

}  // namespace

Tokens tokenize(std::string_view text) {
  Tokens out;
  std::uint64_t chain = 1;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t from = at;
    while (at < text.size() && at - from < 5 && std::isalnum(static_cast<unsigned char>(text[at]))) ++at;
    if (at == from) ++at;
    if (text[from] == ' ') continue;
    for (std::size_t i = from; i < at; ++i) chain = mix(chain, static_cast<unsigned char>(text[i]));
    if (++out.count % kBlock == 0) out.blocks.push_back(chain);
  }
  return out;
}

Engine::Engine(io::Loop& loop, EngineMake make, Recorder& record)
    : loop_(loop),
      make_(std::move(make)),
      record_(record),
      chance_(std::hash<std::string>{}(make_.name) | 1),
      loud_(loop),
      read_came_(loop),
      write_came_(loop),
      faults_(loop),
      work_(loop) {
  const auto parsed = io::parse_address(make_.address);
  if (!parsed) throw std::invalid_argument("engine " + make_.name + ": address '" + make_.address + "'");
  address_ = *parsed;
  start();
}

Engine::~Engine() {
  faults_.cancel();
  work_.cancel();
  if (server_) server_->kill();
}

void Engine::start() {
  server_ = std::make_unique<http::Server>(
      loop_, address_, [this](http::Request& rq, http::ResponseWriter& a) { return serve(rq, a); },
      http::MessageLimits{64 * 1024, 16 * 1024 * 1024});
  address_ = server_->address();
  make_.address = address_.to_string();
  slow_ = 1, errors_ = throttle_ = cut_ = 0;
  silent_ = false;
  work_.spawn(reader());
  work_.spawn(writer());
  record_.note("up", {{"engine", make_.name}});
}

void Engine::stop(const char* why) {
  if (!server_) return;
  record_.note("down", {{"engine", make_.name}, {"why", why}});
  server_->kill();
  server_.reset();
  work_.cancel();
  reads_.clear(), writes_.clear(), running_.clear(), fetching_.clear();
  for (const auto& [id, state] : states_) record_.note("lost", {{"engine", make_.name}, {"id", id}});
  states_.clear(), kept_.clear(), kept_order_.clear(), marks_.clear(), arrived_.clear(), peers_.clear();
  state_tokens_ = write_tokens_ = 0;
  if (told_) told_(false);
}

io::Task<> Engine::later(io::Nanos span, std::function<void()> then) {
  co_await loop_.sleep_for(span);
  then();
}

void Engine::apply(const Fault& f) {
  record_.note("fault",
               {{"engine", make_.name}, {"kind", f.kind}, {"size", f.size}, {"for_ms", f.span / io::kMs}});
  const auto ends = [&](std::function<void()> then) {
    if (f.span > 0) faults_.spawn(later(f.span, std::move(then)));
  };
  const auto back_cold = [this] {
    if (server_) return;
    started_ = loop_.now(), cold_ = true;
    start();
    if (told_) told_(true);
  };
  if (f.kind == "crash") {
    stop("crash");
    ends(back_cold);
  } else if (f.kind == "vanish") {
    silent_ = true;
    ends([this, back_cold] {
      stop("vanish");
      back_cold();
    });
  } else if (f.kind == "slow") {
    slow_ = f.size;
    ends([this] { slow_ = 1; });
  } else if (f.kind == "ageing") {  // slower and slower, then dead
    slow_ = std::max(1.5, f.size / 2);
    faults_.spawn(later(f.span / 2, [this, f] { slow_ = f.size; }));
    ends([this, back_cold] {
      stop("ageing");
      back_cold();
    });
  } else if (f.kind == "throttle") {
    throttle_ = f.size, throttle_to_ = f.to;
    ends([this] { throttle_ = 0; });
  } else if (f.kind == "flush") {
    kept_.clear(), kept_order_.clear();
  } else if (f.kind == "fast_errors") {
    errors_ = f.size;
    ends([this] { errors_ = 0; });
  } else if (f.kind == "cut") {
    cut_ = f.size;
    ends([this] { cut_ = 0; });
  } else if (f.kind == "handshake_slow") {
    if (server_) server_->throttle_accept(nanos(f.size));
    ends([this] {
      if (server_) server_->throttle_accept(0);
    });
  } else {
    throw std::invalid_argument("fault '" + f.kind + "' is not known to engines");
  }
}

double Engine::chance() {
  chance_ = chance_ * 6364136223846793005u + 1442695040888963407u;
  return static_cast<double>(chance_ >> 11) / 9007199254740992.0;
}

double Engine::climbed() const {
  if (!cold_) return 1;
  const double at = std::min(1.0, static_cast<double>(loop_.now() - started_) / (make_.ramp_ms * 1e6));
  return make_.cold_from + (1 - make_.cold_from) * at * at;
}

double Engine::speed() const { return climbed() / slow_; }

// Rule 4: a cold engine that gets more than a multiple of its present capacity over a span falls over. One piece of
// work is let in beyond the budget: it comes in lumps.
bool Engine::falls(double work_s) {
  if (!cold_ || loop_.now() - started_ >= nanos(make_.ramp_ms)) return false;
  arrived_.emplace_back(loop_.now(), work_s);
  while (arrived_.front().first < loop_.now() - nanos(make_.fall_ms)) arrived_.pop_front();
  double sum = 0, most = 0;
  for (const auto& [at, work] : arrived_) sum += work, most = std::max(most, work);
  return sum - most > make_.fall_multiple * climbed() * make_.fall_ms / 1000;
}

std::string Engine::load() {
  if (load_.empty() || loop_.now() - load_at_ >= nanos(make_.report_ms)) {
    const double held = make_.role == Role::prefill ? state_tokens_ : write_tokens_;
    load_ = fmt::format(
        "endpoint-load-metrics: TEXT named_metrics.kv_cache_usage_perc={:.4f}, "
        "named_metrics.num_requests_running={}, named_metrics.num_requests_waiting={}\r\n",
        std::min(1.0, held / make_.memory_tokens), running_.size() + fetching_.size() + states_.size(),
        reads_.size() + writes_.size());
    load_at_ = loop_.now();
  }
  return load_;
}

void Engine::note(const char* event, const Job& job, Recorder::Line more) {
  Recorder::Line line{{"engine", make_.name}, {"id", job.id}, {"router", job.router}};
  line.update(more);
  record_.note(event, std::move(line));
}

io::Task<> Engine::unsilenced() {
  while (silent_) co_await loud_.wait();
}

io::Task<> Engine::serve(http::Request& request, http::ResponseWriter& answer) {
  co_await unsilenced();
  const std::string_view target = request.head.target;
  if (target == "/v1/chat/completions" || target == "/v1/completions") {
    co_await complete(request, answer, target == "/v1/chat/completions");
    co_return;
  }
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = body.is_object() ? body.value("request_id", "") : "";
  if (target == "/v1/kv/release") {
    for (const JobRef& job : reads_)
      if (job->id == id) job->dropped = true;
    free_state(id, "freed");
    co_await answer.respond(200, kJson, "{}");
  } else if (target == "/v1/kv/fetch") {
    co_await fetch(id, body.value("cell", ""), answer);
  } else {
    co_await answer.respond(404, kJson, core::error_body(404, "Not served here.", "unknown_url"));
  }
}

io::Task<> Engine::refuse(http::ResponseWriter& answer, const Job& job, int status, const char* code) {
  note("out", job, {{"how", code}});
  const std::string fields =
      std::string(kJson) + load() + (status == 503 && chance() < 0.5 ? "retry-after: 1\r\n" : "");
  co_await answer.respond(status, fields, core::error_body(status, code, code));
}

io::Task<> Engine::complete(http::Request& request, http::ResponseWriter& answer, bool chat) {
  const json body = json::parse(request.body, nullptr, false);
  auto job = std::make_shared<Job>(loop_);
  const auto field = [&](const char* name) { return std::string(request.head.field(name).value_or("")); };
  job->id = field("x-request-id"), job->router = field("x-router"), job->type = field("x-traffic-type");
  job->tenant = field("x-tenant"), job->mark = field("idempotency-key");
  json kv = json::object();
  if (body.is_object() && body.contains("kv_transfer_params") && body["kv_transfer_params"].is_object())
    kv = body["kv_transfer_params"];
  const bool reads = kv.value("do_remote_decode", false);
  if (kv.value("do_remote_prefill", false)) {
    job->state_id = kv.value("remote_request_id", "");
    job->state_at = kv.value("remote_host", "") + ":" + std::to_string(kv.value("remote_port", 0));
  }
  note("in", *job,
       {{"stage", reads ? "read" : "write"},
        {"type", job->type},
        {"state", job->state_id},
        {"mark", job->mark}});
  if (!body.is_object()) co_return co_await refuse(answer, *job, 400, "invalid_json");
  if (chance() < errors_) co_return co_await refuse(answer, *job, 500, "engine_failed");
  const bool aimed = throttle_to_.empty() || throttle_to_ == job->type || throttle_to_ == job->tenant;
  if (aimed && chance() < throttle_) co_return co_await refuse(answer, *job, 503, "full");
  if (make_.role == (reads ? Role::decode : Role::prefill))
    co_return co_await refuse(answer, *job, 400, "wrong_role");
  job->tokens = tokenize(prompt_of(body));
  // How long the answer is, is the engine's to know: rigs tell it in the metadata.
  const json meta =
      body.contains("metadata") && body["metadata"].is_object() ? body["metadata"] : json::object();
  job->out = static_cast<std::size_t>(std::max(1, std::atoi(meta.value("out", "24").c_str())));
  job->out = std::min(job->out, body.value("max_tokens", std::size_t{100'000}));
  const double work = reads ? static_cast<double>(job->tokens.count) / make_.read_per_s
                            : static_cast<double>(job->out) * make_.step_ms / 1000 / make_.slots;
  if (falls(work)) {
    note("fell", *job);
    faults_.spawn(later(0, [this] { stop("fell"); }));
    co_return;
  }
  const std::size_t hold = reads_.size() + writes_.size() + running_.size() + fetching_.size();
  if (hold >= static_cast<std::size_t>(make_.slots + make_.queue) ||
      (reads && state_tokens_ + static_cast<double>(job->tokens.count) > make_.memory_tokens))
    co_return co_await refuse(answer, *job, 503, "full");
  if (reads)
    co_await read(std::move(job), answer, chat);
  else
    co_await write(std::move(job), answer, chat);
}

// Reading.

std::size_t Engine::keep(const Tokens& tokens) {
  std::size_t kept = 0;
  bool unbroken = true;
  for (const std::uint64_t block : tokens.blocks) {
    const auto it = kept_.find(block);
    unbroken = unbroken && it != kept_.end();
    kept += unbroken;
    if (it != kept_.end()) kept_order_.erase(it->second);
    kept_order_.push_front(block);
    kept_[block] = kept_order_.begin();
  }
  const double room = std::max(0.0, make_.memory_tokens - state_tokens_);
  while (static_cast<double>(kept_order_.size() * kBlock) > room) {
    kept_.erase(kept_order_.back());
    kept_order_.pop_back();
  }
  return kept * kBlock;
}

io::Task<> Engine::reader() {
  for (;;) {
    while (reads_.empty()) co_await read_came_.wait();
    co_await unsilenced();
    const JobRef job = reads_.front();
    if (!job->dropped) {
      job->kept = std::min(keep(job->tokens), job->tokens.count - 1);
      const double left = static_cast<double>(job->tokens.count - job->kept);
      // In pieces, so that a change of speed, or a silence, acts in the middle of a long read.
      for (double work = make_.read_overhead_ms / 1000 + left / make_.read_per_s;
           work > 0 && !job->dropped;) {
        const double piece = std::min(work, 0.05);
        co_await loop_.sleep_for(nanos(1000 * piece / speed()));
        co_await unsilenced();
        work -= piece;
      }
    }
    if (!reads_.empty() && reads_.front() == job) reads_.pop_front();
    job->done = !job->dropped;
    job->news.notify();
  }
}

io::Task<> Engine::drop_when_gone(http::ResponseWriter& answer, JobRef job) {
  co_await answer.wait_for_client_close();
  job->dropped = true;
  job->news.notify();
}

io::Task<> Engine::read(JobRef job, http::ResponseWriter& answer, bool chat) {
  reads_.push_back(job);
  read_came_.notify();
  {
    io::Scope watch(loop_);
    watch.spawn(drop_when_gone(answer, job));
    while (!job->done && !job->dropped) co_await job->news.wait();
  }
  co_await unsilenced();
  if (job->dropped) {
    std::erase_if(reads_, [&](const JobRef& j) { return j == job && j != reads_.front(); });
    note("out", *job, {{"how", "dropped"}});
    answer.abort();
    co_return;
  }
  const double tokens = static_cast<double>(job->tokens.count);
  states_[job->id] = {tokens, make_.cell, false, ++serial_};
  state_tokens_ += tokens;
  note("out", *job, {{"how", "read"}, {"kept", job->kept}, {"tokens", job->tokens.count}});
  note("held", *job);
  work_.spawn(expire(job->id, serial_));
  json body{{"id", job->id},
            {"object", chat ? "chat.completion" : "text_completion"},
            {"choices", json::array()},
            {"usage",
             {{"prompt_tokens", job->tokens.count},
              {"completion_tokens", 1},
              {"total_tokens", job->tokens.count + 1},
              {"prompt_tokens_details", {{"cached_tokens", job->kept}}}}},
            {"kv_transfer_params",
             {{"do_remote_prefill", true},
              {"do_remote_decode", false},
              {"remote_engine_id", make_.name},
              {"remote_request_id", job->id},
              {"remote_block_ids", json::array()},
              {"remote_host", make_.address.substr(0, make_.address.rfind(':'))},
              {"remote_port", address_.port}}}};
  const std::string fields = std::string(kJson) + load();
  if (!co_await answer.respond(200, fields, body.dump())) free_state(job->id, "freed");
}

io::Task<> Engine::expire(std::string id, std::uint64_t serial) {
  co_await loop_.sleep_for(nanos(make_.state_expiry_ms));
  const auto it = states_.find(id);
  if (it != states_.end() && it->second.serial == serial && !it->second.moving) free_state(id, "expired");
}

void Engine::free_state(const std::string& id, const char* how) {
  const auto it = states_.find(id);
  if (it == states_.end() || (it->second.moving && std::string_view(how) != "taken")) return;
  state_tokens_ -= it->second.tokens;
  states_.erase(it);
  record_.note(how, {{"engine", make_.name}, {"id", id}});
}

io::Task<> Engine::fetch(const std::string& id, const std::string& cell, http::ResponseWriter& answer) {
  const auto it = states_.find(id);
  if (it == states_.end() || it->second.moving) {
    co_await answer.respond(404, kJson, core::error_body(404, "No such state.", "kv_state_not_found"));
    co_return;
  }
  it->second.moving = true;
  const double factor = cell == make_.cell ? 1 : make_.far_factor;
  const io::Nanos takes = nanos(1000 * factor * it->second.tokens / make_.transfer_per_s);
  bool gone = false;
  {
    io::Signal over(loop_);
    io::Scope both(loop_);
    both.spawn([](http::ResponseWriter& a, bool& g, io::Signal& s) -> io::Task<> {
      co_await a.wait_for_client_close();
      g = true;
      s.notify();
    }(answer, gone, over));
    both.spawn([](io::Loop& l, io::Nanos span, io::Signal& s) -> io::Task<> {
      co_await l.sleep_for(span);
      s.notify();
    }(loop_, takes, over));
    co_await over.wait();
  }
  co_await unsilenced();
  if (gone) {  // the writer went: the state still waits
    if (const auto again = states_.find(id); again != states_.end()) again->second.moving = false;
    co_return;
  }
  free_state(id, "taken");
  co_await answer.respond(200, kJson, "{}");
}

// Writing.

void Engine::admit() {
  while (!writes_.empty()) {
    const JobRef job = writes_.front();
    if (job->dropped) {
      writes_.pop_front();
      continue;
    }
    const double need = static_cast<double>(job->tokens.count + job->written);
    if (running_.size() + fetching_.size() >= static_cast<std::size_t>(make_.slots)) return;
    if (write_tokens_ + need > make_.memory_tokens && !(running_.empty() && fetching_.empty())) return;
    writes_.pop_front();
    job->memory = need;
    write_tokens_ += need;
    if (job->fetched || job->state_id.empty()) {
      running_.push_back(job);
      write_came_.notify();
    } else {
      fetching_.push_back(job);
      work_.spawn(fetch_for(job));
    }
  }
}

io::Task<> Engine::fetch_for(JobRef job) {
  auto& pool = peers_[job->state_at];
  const auto peer = io::parse_address(job->state_at);
  if (!pool && peer) pool = std::make_shared<http::Pool>(loop_, *peer);
  http::ExchangeResult got;
  if (pool) {
    const std::string body = json{{"request_id", job->state_id}, {"cell", make_.cell}}.dump();
    // A reader that is gone silent holds no one up for ever.
    const auto limit = loop_.now() + 3 * io::kSecond;
    auto answered = co_await io::with_deadline(
        loop_, limit,
        http::exchange(pool, http::format_request("POST", "/v1/kv/fetch", job->state_at, kJson, body)));
    if (answered) got = std::move(*answered);
  }
  std::erase(fetching_, job);
  job->fetched = got.ok() && got.head.status == 200;
  if (job->fetched && !job->dropped) {
    running_.push_back(job);
    write_came_.notify();
  } else {
    write_tokens_ -= job->memory;
    job->lost = true;
    job->news.notify();
    admit();
  }
}

// The newest answer goes back into the queue when memory runs out; it is read anew when it comes in again.
void Engine::preempt() {
  while (write_tokens_ > make_.memory_tokens && running_.size() > 1) {
    const JobRef job = running_.back();
    running_.pop_back();
    write_tokens_ -= job->memory;
    writes_.push_front(job);
    note("preempted", *job);
  }
}

io::Task<> Engine::writer() {
  for (;;) {
    admit();
    if (running_.empty()) {
      co_await write_came_.wait();
      continue;
    }
    const double step = make_.step_ms + make_.step_ms_per_sequence * static_cast<double>(running_.size());
    co_await loop_.sleep_for(nanos(step / speed()));
    co_await unsilenced();
    const std::vector<JobRef> batch = running_;
    for (const JobRef& job : batch) {
      if (!job->dropped) ++job->written, job->memory += 1, write_tokens_ += 1;
      if (job->written >= job->out || job->dropped) {
        job->done = true;
        write_tokens_ -= job->memory;
        std::erase(running_, job);
      }
      job->news.notify();
    }
    preempt();
  }
}

io::Task<> Engine::write(JobRef job, http::ResponseWriter& answer, bool chat) {
  // A mixed engine without a state reads by itself, as a part of its memory and time.
  if (job->state_id.empty()) {
    if (make_.role == Role::decode) co_return co_await refuse(answer, *job, 409, "kv_state_not_found");
    job->kept = std::min(keep(job->tokens), job->tokens.count - 1);
    co_await loop_.sleep_for(
        nanos(1000 * static_cast<double>(job->tokens.count - job->kept) / make_.read_per_s / speed()));
  }
  writes_.push_back(job);
  admit();
  io::Scope watch(loop_);
  watch.spawn(drop_when_gone(answer, job));
  while (job->written == 0 && !job->dropped && !job->lost) co_await job->news.wait();
  co_await unsilenced();
  if (job->lost && !job->dropped) {
    watch.cancel();
    co_return co_await refuse(answer, *job, 409, "kv_state_not_found");
  }
  if (job->dropped) {
    std::erase(writes_, job);
    // Whether it ran: once it was among the running, its effect may stand.
    note("out", *job, {{"how", "dropped"}, {"ran", job->written > 0}});
    answer.abort();
    co_return;
  }
  bool repeat = false;
  if (!job->mark.empty()) repeat = !marks_.try_emplace(job->mark, loop_.now()).second;
  note("ran", *job,
       {{"type", job->type},
        {"mark", job->mark},
        {"repeat", repeat},
        {"cell", make_.cell},
        {"zone", make_.zone}});
  const std::string fields = "content-type: text/event-stream\r\n" + load();
  co_await answer.begin_stream(200, fields);
  const bool cut = chance() < cut_;
  std::size_t told = 0;
  while (told < job->out && !job->dropped && !answer.write_failed()) {
    while (job->written <= told && !job->dropped) co_await job->news.wait();
    co_await unsilenced();
    std::string part;
    for (; told < job->written && !job->dropped; ++told) {
      json chunk{{"id", job->id},
                 {"object", chat ? "chat.completion.chunk" : "text_completion"},
                 {"created", 1},
                 {"model", "stand-in"}};
      const std::string text = "t" + std::to_string(told) + " ";
      json choice{{"index", 0}, {"finish_reason", nullptr}};
      if (told + 1 == job->out) choice["finish_reason"] = "stop";
      if (chat)
        choice["delta"] = {{"content", text}};
      else
        choice["text"] = text;
      chunk["choices"] = json::array({choice});
      part += "data: " + chunk.dump() + "\n\n";
    }
    if (cut && told > job->out / 2) {
      note("out", *job, {{"how", "cut"}, {"told", told}});
      job->dropped = true;
      co_await answer.write_chunk(std::string_view(part).substr(0, part.size() / 2));
      answer.abort();
      co_return;
    }
    if (!part.empty()) co_await answer.write_chunk(part);
  }
  watch.cancel();
  if (job->dropped || answer.write_failed()) {
    job->dropped = true;
    note("out", *job, {{"how", "left"}, {"told", told}});
    answer.abort();
    co_return;
  }
  note("out", *job, {{"how", "done"}, {"told", told}, {"tokens", job->tokens.count}});
  const json usage{{"id", job->id},
                   {"object", chat ? "chat.completion.chunk" : "text_completion"},
                   {"created", 1},
                   {"model", "stand-in"},
                   {"choices", json::array()},
                   {"usage",
                    {{"prompt_tokens", job->tokens.count},
                     {"completion_tokens", told},
                     {"total_tokens", job->tokens.count + told},
                     {"prompt_tokens_details", {{"cached_tokens", job->kept}}}}}};
  const std::string last = "data: " + usage.dump() + "\n\ndata: [DONE]\n\n";
  co_await answer.write_chunk(last);
  co_await answer.end_stream();
}

}  // namespace cressrill::rig
