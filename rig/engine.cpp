#include "engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/parsed_request.h"

namespace cressrill::rig {

using nlohmann::json;

namespace {

constexpr std::string_view kJsonField = "content-type: application/json\r\n";

std::uint64_t mix_hash(std::uint64_t hash, std::uint64_t value) {
  hash = (hash ^ value) * 0x9e3779b97f4a7c15u;
  return hash ^ hash >> 29;
}

io::Nanos nanos_from_ms(double ms) { return static_cast<io::Nanos>(ms * 1e6); }

// The prompt of a request as one string; messages are prefixed with their roles.
std::string prompt_text(const json& body) {
  std::string text;
  if (body.contains("prompt")) {
    const json& prompt = body["prompt"];
    if (prompt.is_string()) return prompt.get<std::string>();
    for (const json& item : prompt)
      text += item.is_number() ? std::to_string(item.get<long long>()) + " " : item.get<std::string>();
    return text;
  }
  for (const json& message : body.value("messages", json::array())) {
    text += message.value("role", "") + ": ";
    if (message.contains("content") && message["content"].is_string())
      text += message["content"].get<std::string>();
    if (message.contains("content") && message["content"].is_array())
      for (const json& part : message["content"]) text += part.value("text", "");
    text += "\n";
  }
  return text;
}

}  // namespace

Tokens tokenize(std::string_view text) {
  Tokens tokens;
  std::uint64_t hash = 1;
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t start = position;
    while (position < text.size() && position - start < 5 &&
           std::isalnum(static_cast<unsigned char>(text[position])))
      ++position;
    if (position == start) ++position;
    if (text[start] == ' ') continue;
    for (std::size_t i = start; i < position; ++i) hash = mix_hash(hash, static_cast<unsigned char>(text[i]));
    if (++tokens.count % kTokensPerBlock == 0) tokens.blocks.push_back(hash);
  }
  return tokens;
}

Engine::Engine(io::Loop& loop, EngineConfig config, Recorder& record)
    : loop_(loop),
      config_(std::move(config)),
      record_(record),
      random_state_(std::hash<std::string>{}(config_.name) | 1),
      silence_ended_(loop),
      prefill_queued_(loop),
      decode_ready_(loop),
      faults_(loop),
      work_(loop) {
  const auto parsed = io::parse_address(config_.address);
  if (!parsed) throw std::invalid_argument("engine " + config_.name + ": address '" + config_.address + "'");
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
      loop_, address_,
      [this](http::Request& request, http::ResponseWriter& response) { return serve(request, response); },
      http::MessageLimits{64 * 1024, 16 * 1024 * 1024});
  address_ = server_->address();
  config_.address = address_.to_string();
  slowdown_ = 1;
  error_share_ = 0;
  throttle_share_ = 0;
  cut_share_ = 0;
  silent_ = false;
  work_.spawn(run_prefills());
  work_.spawn(run_decode_steps());
  record_.record("up", {{"engine", config_.name}});
}

void Engine::stop(const char* reason) {
  if (!server_) return;
  record_.record("down", {{"engine", config_.name}, {"why", reason}});
  server_->kill();
  server_.reset();
  work_.cancel();
  prefill_queue_.clear();
  decode_queue_.clear();
  running_.clear();
  fetching_.clear();
  for (const auto& [id, entry] : kv_entries_) record_.record("lost", {{"engine", config_.name}, {"id", id}});
  kv_entries_.clear();
  cached_blocks_.clear();
  cache_order_.clear();
  seen_idempotency_keys_.clear();
  recent_work_.clear();
  peers_.clear();
  kv_tokens_held_ = 0;
  decode_tokens_ = 0;
  if (on_change_) on_change_(false);
}

io::Task<> Engine::run_after(io::Nanos delay, std::function<void()> action) {
  co_await loop_.sleep_for(delay);
  action();
}

void Engine::apply(const Fault& fault) {
  record_.record("fault", {{"engine", config_.name},
                           {"kind", fault.kind},
                           {"size", fault.size},
                           {"for_ms", fault.duration / io::kMs}});
  const auto at_end = [&](std::function<void()> action) {
    if (fault.duration > 0) faults_.spawn(run_after(fault.duration, std::move(action)));
  };
  const auto restart_cold = [this] {
    if (server_) return;
    started_ = loop_.now();
    cold_ = true;
    start();
    if (on_change_) on_change_(true);
  };
  if (fault.kind == "crash") {
    stop("crash");
    at_end(restart_cold);
  } else if (fault.kind == "vanish") {
    silent_ = true;
    at_end([this, restart_cold] {
      stop("vanish");
      restart_cold();
    });
  } else if (fault.kind == "slow") {
    slowdown_ = fault.size;
    at_end([this] { slowdown_ = 1; });
  } else if (fault.kind == "ageing") {  // slows down in two steps, then crashes
    slowdown_ = std::max(1.5, fault.size / 2);
    faults_.spawn(run_after(fault.duration / 2, [this, fault] { slowdown_ = fault.size; }));
    at_end([this, restart_cold] {
      stop("ageing");
      restart_cold();
    });
  } else if (fault.kind == "throttle") {
    throttle_share_ = fault.size;
    throttle_target_ = fault.to;
    at_end([this] { throttle_share_ = 0; });
  } else if (fault.kind == "flush") {
    cached_blocks_.clear();
    cache_order_.clear();
  } else if (fault.kind == "fast_errors") {
    error_share_ = fault.size;
    at_end([this] { error_share_ = 0; });
  } else if (fault.kind == "cut") {
    cut_share_ = fault.size;
    at_end([this] { cut_share_ = 0; });
  } else if (fault.kind == "handshake_slow") {
    if (server_) server_->throttle_accept(nanos_from_ms(fault.size));
    at_end([this] {
      if (server_) server_->throttle_accept(0);
    });
  } else {
    throw std::invalid_argument("fault '" + fault.kind + "' is not an engine fault");
  }
}

double Engine::random() {
  random_state_ = random_state_ * 6364136223846793005u + 1442695040888963407u;
  return static_cast<double>(random_state_ >> 11) / 9007199254740992.0;
}

double Engine::ramped_capacity() const {
  if (!cold_) return 1;
  const double progress =
      std::min(1.0, static_cast<double>(loop_.now() - started_) / (config_.ramp_ms * 1e6));
  return config_.cold_from + (1 - config_.cold_from) * progress * progress;
}

double Engine::speed() const { return ramped_capacity() / slowdown_; }

// Rule 4: a cold engine crashes when the work that arrives within fall_ms exceeds fall_multiple times its
// present capacity. The largest request of that time is not counted, as it can exceed the limit by itself.
bool Engine::overloads(double work_s) {
  if (!cold_ || loop_.now() - started_ >= nanos_from_ms(config_.ramp_ms)) return false;
  recent_work_.emplace_back(loop_.now(), work_s);
  while (recent_work_.front().first < loop_.now() - nanos_from_ms(config_.fall_ms)) recent_work_.pop_front();
  double total_s = 0;
  double largest_s = 0;
  for (const auto& [arrived_at, request_s] : recent_work_) {
    total_s += request_s;
    largest_s = std::max(largest_s, request_s);
  }
  return total_s - largest_s > config_.fall_multiple * ramped_capacity() * config_.fall_ms / 1000;
}

std::string Engine::load_header() {
  if (load_header_.empty() || loop_.now() - load_header_made_at_ >= nanos_from_ms(config_.report_ms)) {
    const double used_tokens = config_.role == Role::prefill ? kv_tokens_held_ : decode_tokens_;
    load_header_ = fmt::format(
        "endpoint-load-metrics: TEXT named_metrics.kv_cache_usage_perc={:.4f}, "
        "named_metrics.num_requests_running={}, named_metrics.num_requests_waiting={}\r\n",
        std::min(1.0, used_tokens / config_.memory_tokens),
        running_.size() + fetching_.size() + kv_entries_.size(),
        prefill_queue_.size() + decode_queue_.size());
    load_header_made_at_ = loop_.now();
  }
  return load_header_;
}

void Engine::record_job(const char* event, const Job& job, Recorder::Line more) {
  Recorder::Line line{{"engine", config_.name}, {"id", job.id}, {"router", job.router}};
  line.update(more);
  record_.record(event, std::move(line));
}

io::Task<> Engine::wait_while_silent() {
  while (silent_) co_await silence_ended_.wait();
}

io::Task<> Engine::serve(http::Request& request, http::ResponseWriter& response) {
  co_await wait_while_silent();
  const std::string_view target = request.head.target;
  if (target == "/v1/chat/completions" || target == "/v1/completions") {
    co_await serve_completion(request, response, target == "/v1/chat/completions");
    co_return;
  }
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = body.is_object() ? body.value("request_id", "") : "";
  if (target == "/v1/kv/release") {
    for (const JobPtr& job : prefill_queue_)
      if (job->id == id) job->cancelled = true;
    release_kv(id, "freed");
    co_await response.respond(200, kJsonField, "{}");
  } else if (target == "/v1/kv/fetch") {
    co_await serve_kv_fetch(id, body.value("cell", ""), response);
  } else {
    co_await response.respond(404, kJsonField, core::error_body(404, "Not served here.", "unknown_url"));
  }
}

io::Task<> Engine::respond_with_error(http::ResponseWriter& response, const Job& job, int status,
                                      const char* code) {
  record_job("out", job, {{"how", code}});
  const std::string header_fields =
      std::string(kJsonField) + load_header() + (status == 503 && random() < 0.5 ? "retry-after: 1\r\n" : "");
  co_await response.respond(status, header_fields, core::error_body(status, code, code));
}

io::Task<> Engine::serve_completion(http::Request& request, http::ResponseWriter& response, bool chat) {
  const json body = json::parse(request.body, nullptr, false);
  auto job = std::make_shared<Job>(loop_);
  const auto field = [&](const char* name) { return std::string(request.head.field(name).value_or("")); };
  job->id = field("x-request-id");
  job->router = field("x-router");
  job->type = field("x-traffic-type");
  job->tenant = field("x-tenant");
  job->idempotency_key = field("idempotency-key");
  json kv = json::object();
  if (body.is_object() && body.contains("kv_transfer_params") && body["kv_transfer_params"].is_object())
    kv = body["kv_transfer_params"];
  const bool is_prefill = kv.value("do_remote_decode", false);
  if (kv.value("do_remote_prefill", false)) {
    job->kv_id = kv.value("remote_request_id", "");
    job->kv_address = kv.value("remote_host", "") + ":" + std::to_string(kv.value("remote_port", 0));
  }
  record_job("in", *job,
             {{"stage", is_prefill ? "read" : "write"},
              {"type", job->type},
              {"state", job->kv_id},
              {"mark", job->idempotency_key}});
  if (!body.is_object()) co_return co_await respond_with_error(response, *job, 400, "invalid_json");
  if (random() < error_share_) co_return co_await respond_with_error(response, *job, 500, "engine_failed");
  const bool applies =
      throttle_target_.empty() || throttle_target_ == job->type || throttle_target_ == job->tenant;
  if (applies && random() < throttle_share_)
    co_return co_await respond_with_error(response, *job, 503, "full");
  if (config_.role == (is_prefill ? Role::decode : Role::prefill))
    co_return co_await respond_with_error(response, *job, 400, "wrong_role");
  job->tokens = tokenize(prompt_text(body));
  // Load generators and tests set the length of the output in the request's metadata.
  const json metadata =
      body.contains("metadata") && body["metadata"].is_object() ? body["metadata"] : json::object();
  job->output_tokens = static_cast<std::size_t>(std::max(1, std::atoi(metadata.value("out", "24").c_str())));
  job->output_tokens = std::min(job->output_tokens, body.value("max_tokens", std::size_t{100'000}));
  const double work_s =
      is_prefill ? static_cast<double>(job->tokens.count) / config_.read_per_s
                 : static_cast<double>(job->output_tokens) * config_.step_ms / 1000 / config_.slots;
  if (overloads(work_s)) {
    record_job("fell", *job);
    faults_.spawn(run_after(0, [this] { stop("fell"); }));
    co_return;
  }
  const std::size_t in_progress =
      prefill_queue_.size() + decode_queue_.size() + running_.size() + fetching_.size();
  if (in_progress >= static_cast<std::size_t>(config_.slots + config_.queue) ||
      (is_prefill && kv_tokens_held_ + static_cast<double>(job->tokens.count) > config_.memory_tokens))
    co_return co_await respond_with_error(response, *job, 503, "full");
  if (is_prefill)
    co_await serve_prefill(std::move(job), response, chat);
  else
    co_await serve_decode(std::move(job), response, chat);
}

// Prefill.

std::size_t Engine::cache_prefix(const Tokens& tokens) {
  std::size_t hit_blocks = 0;
  bool contiguous = true;
  for (const std::uint64_t block : tokens.blocks) {
    const auto cached = cached_blocks_.find(block);
    contiguous = contiguous && cached != cached_blocks_.end();
    hit_blocks += contiguous;
    if (cached != cached_blocks_.end()) cache_order_.erase(cached->second);
    cache_order_.push_front(block);
    cached_blocks_[block] = cache_order_.begin();
  }
  const double free_tokens = std::max(0.0, config_.memory_tokens - kv_tokens_held_);
  while (static_cast<double>(cache_order_.size() * kTokensPerBlock) > free_tokens) {
    cached_blocks_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
  return hit_blocks * kTokensPerBlock;
}

io::Task<> Engine::run_prefills() {
  for (;;) {
    while (prefill_queue_.empty()) co_await prefill_queued_.wait();
    co_await wait_while_silent();
    const JobPtr job = prefill_queue_.front();
    if (!job->cancelled) {
      job->cached_tokens = std::min(cache_prefix(job->tokens), job->tokens.count - 1);
      const double uncached_tokens = static_cast<double>(job->tokens.count - job->cached_tokens);
      // Sleeps for at most 50 ms of work at a time, so that a change of speed or a "vanish" fault takes
      // effect during a long prefill.
      for (double remaining_s = config_.read_overhead_ms / 1000 + uncached_tokens / config_.read_per_s;
           remaining_s > 0 && !job->cancelled;) {
        const double step_s = std::min(remaining_s, 0.05);
        co_await loop_.sleep_for(nanos_from_ms(1000 * step_s / speed()));
        co_await wait_while_silent();
        remaining_s -= step_s;
      }
    }
    if (!prefill_queue_.empty() && prefill_queue_.front() == job) prefill_queue_.pop_front();
    job->done = !job->cancelled;
    job->updated.notify();
  }
}

io::Task<> Engine::cancel_on_client_close(http::ResponseWriter& response, JobPtr job) {
  co_await response.wait_for_client_close();
  job->cancelled = true;
  job->updated.notify();
}

io::Task<> Engine::serve_prefill(JobPtr job, http::ResponseWriter& response, bool chat) {
  prefill_queue_.push_back(job);
  prefill_queued_.notify();
  {
    io::Scope watch(loop_);
    watch.spawn(cancel_on_client_close(response, job));
    while (!job->done && !job->cancelled) co_await job->updated.wait();
  }
  co_await wait_while_silent();
  if (job->cancelled) {
    std::erase_if(prefill_queue_,
                  [&](const JobPtr& queued) { return queued == job && queued != prefill_queue_.front(); });
    record_job("out", *job, {{"how", "dropped"}});
    response.abort();
    co_return;
  }
  const double kv_tokens = static_cast<double>(job->tokens.count);
  kv_entries_[job->id] = {kv_tokens, config_.cell, false, ++last_serial_};
  kv_tokens_held_ += kv_tokens;
  record_job("out", *job, {{"how", "read"}, {"kept", job->cached_tokens}, {"tokens", job->tokens.count}});
  record_job("held", *job);
  work_.spawn(expire_kv(job->id, last_serial_));
  json body{{"id", job->id},
            {"object", chat ? "chat.completion" : "text_completion"},
            {"choices", json::array()},
            {"usage",
             {{"prompt_tokens", job->tokens.count},
              {"completion_tokens", 1},
              {"total_tokens", job->tokens.count + 1},
              {"prompt_tokens_details", {{"cached_tokens", job->cached_tokens}}}}},
            {"kv_transfer_params",
             {{"do_remote_prefill", true},
              {"do_remote_decode", false},
              {"remote_engine_id", config_.name},
              {"remote_request_id", job->id},
              {"remote_block_ids", json::array()},
              {"remote_host", config_.address.substr(0, config_.address.rfind(':'))},
              {"remote_port", address_.port}}}};
  const std::string header_fields = std::string(kJsonField) + load_header();
  if (!co_await response.respond(200, header_fields, body.dump())) release_kv(job->id, "freed");
}

io::Task<> Engine::expire_kv(std::string id, std::uint64_t serial) {
  co_await loop_.sleep_for(nanos_from_ms(config_.state_expiry_ms));
  const auto entry = kv_entries_.find(id);
  if (entry != kv_entries_.end() && entry->second.serial == serial && !entry->second.transferring)
    release_kv(id, "expired");
}

void Engine::release_kv(const std::string& id, const char* event) {
  const auto entry = kv_entries_.find(id);
  if (entry == kv_entries_.end() || (entry->second.transferring && std::string_view(event) != "taken"))
    return;
  kv_tokens_held_ -= entry->second.tokens;
  kv_entries_.erase(entry);
  record_.record(event, {{"engine", config_.name}, {"id", id}});
}

io::Task<> Engine::serve_kv_fetch(const std::string& id, const std::string& cell,
                                  http::ResponseWriter& response) {
  const auto entry = kv_entries_.find(id);
  if (entry == kv_entries_.end() || entry->second.transferring) {
    co_await response.respond(404, kJsonField, core::error_body(404, "No such state.", "kv_state_not_found"));
    co_return;
  }
  entry->second.transferring = true;
  const double slowdown = cell == config_.cell ? 1 : config_.far_factor;
  const io::Nanos transfer_time =
      nanos_from_ms(1000 * slowdown * entry->second.tokens / config_.transfer_per_s);
  bool client_closed = false;
  {
    io::Signal ended(loop_);
    io::Scope waits(loop_);
    waits.spawn([](http::ResponseWriter& writer, bool& closed, io::Signal& signal) -> io::Task<> {
      co_await writer.wait_for_client_close();
      closed = true;
      signal.notify();
    }(response, client_closed, ended));
    waits.spawn([](io::Loop& loop, io::Nanos span, io::Signal& signal) -> io::Task<> {
      co_await loop.sleep_for(span);
      signal.notify();
    }(loop_, transfer_time, ended));
    co_await ended.wait();
  }
  co_await wait_while_silent();
  if (client_closed) {  // the decode engine closed the connection: the KV cache stays held
    if (const auto still_held = kv_entries_.find(id); still_held != kv_entries_.end())
      still_held->second.transferring = false;
    co_return;
  }
  release_kv(id, "taken");
  co_await response.respond(200, kJsonField, "{}");
}

// Decode.

void Engine::admit() {
  while (!decode_queue_.empty()) {
    const JobPtr job = decode_queue_.front();
    if (job->cancelled) {
      decode_queue_.pop_front();
      continue;
    }
    const double needed_tokens = static_cast<double>(job->tokens.count + job->generated_tokens);
    if (running_.size() + fetching_.size() >= static_cast<std::size_t>(config_.slots)) return;
    if (decode_tokens_ + needed_tokens > config_.memory_tokens && !(running_.empty() && fetching_.empty()))
      return;
    decode_queue_.pop_front();
    job->reserved_tokens = needed_tokens;
    decode_tokens_ += needed_tokens;
    if (job->fetched || job->kv_id.empty()) {
      running_.push_back(job);
      decode_ready_.notify();
    } else {
      fetching_.push_back(job);
      work_.spawn(fetch_kv(job));
    }
  }
}

io::Task<> Engine::fetch_kv(JobPtr job) {
  auto& pool = peers_[job->kv_address];
  const auto peer = io::parse_address(job->kv_address);
  if (!pool && peer) pool = std::make_shared<http::Pool>(loop_, *peer);
  http::ExchangeResult result;
  if (pool) {
    const std::string body = json{{"request_id", job->kv_id}, {"cell", config_.cell}}.dump();
    // Bounds the wait for a prefill engine that has stopped answering.
    const auto deadline = loop_.now() + 3 * io::kSecond;
    auto response = co_await io::with_deadline(
        loop_, deadline,
        http::exchange(pool,
                       http::format_request("POST", "/v1/kv/fetch", job->kv_address, kJsonField, body)));
    if (response) result = std::move(*response);
  }
  std::erase(fetching_, job);
  job->fetched = result.ok() && result.head.status == 200;
  if (job->fetched && !job->cancelled) {
    running_.push_back(job);
    decode_ready_.notify();
  } else {
    decode_tokens_ -= job->reserved_tokens;
    job->kv_missing = true;
    job->updated.notify();
    admit();
  }
}

// While memory is exceeded and more than one request runs, the one that began to run last goes back to the
// head of the queue. It keeps the tokens that it has generated.
void Engine::preempt() {
  while (decode_tokens_ > config_.memory_tokens && running_.size() > 1) {
    const JobPtr job = running_.back();
    running_.pop_back();
    decode_tokens_ -= job->reserved_tokens;
    decode_queue_.push_front(job);
    record_job("preempted", *job);
  }
}

io::Task<> Engine::run_decode_steps() {
  for (;;) {
    admit();
    if (running_.empty()) {
      co_await decode_ready_.wait();
      continue;
    }
    const double step = config_.step_ms + config_.step_ms_per_sequence * static_cast<double>(running_.size());
    co_await loop_.sleep_for(nanos_from_ms(step / speed()));
    co_await wait_while_silent();
    const std::vector<JobPtr> batch = running_;
    for (const JobPtr& job : batch) {
      if (!job->cancelled) {
        ++job->generated_tokens;
        job->reserved_tokens += 1;
        decode_tokens_ += 1;
      }
      if (job->generated_tokens >= job->output_tokens || job->cancelled) {
        job->done = true;
        decode_tokens_ -= job->reserved_tokens;
        std::erase(running_, job);
      }
      job->updated.notify();
    }
    preempt();
  }
}

io::Task<> Engine::serve_decode(JobPtr job, http::ResponseWriter& response, bool chat) {
  // Without KV cache to fetch, a mixed engine runs the prefill itself, without a slot or a place in a queue.
  if (job->kv_id.empty()) {
    if (config_.role == Role::decode)
      co_return co_await respond_with_error(response, *job, 409, "kv_state_not_found");
    job->cached_tokens = std::min(cache_prefix(job->tokens), job->tokens.count - 1);
    co_await loop_.sleep_for(nanos_from_ms(
        1000 * static_cast<double>(job->tokens.count - job->cached_tokens) / config_.read_per_s / speed()));
  }
  decode_queue_.push_back(job);
  admit();
  io::Scope watch(loop_);
  watch.spawn(cancel_on_client_close(response, job));
  while (job->generated_tokens == 0 && !job->cancelled && !job->kv_missing) co_await job->updated.wait();
  co_await wait_while_silent();
  if (job->kv_missing && !job->cancelled) {
    watch.cancel();
    co_return co_await respond_with_error(response, *job, 409, "kv_state_not_found");
  }
  if (job->cancelled) {
    std::erase(decode_queue_, job);
    // Records whether a token was generated, as the request's effect may then have happened.
    record_job("out", *job, {{"how", "dropped"}, {"ran", job->generated_tokens > 0}});
    response.abort();
    co_return;
  }
  bool is_repeat = false;
  if (!job->idempotency_key.empty())
    is_repeat = !seen_idempotency_keys_.try_emplace(job->idempotency_key, loop_.now()).second;
  record_job("ran", *job,
             {{"type", job->type},
              {"mark", job->idempotency_key},
              {"repeat", is_repeat},
              {"cell", config_.cell},
              {"zone", config_.zone}});
  const std::string header_fields = "content-type: text/event-stream\r\n" + load_header();
  co_await response.begin_stream(200, header_fields);
  const bool cut_stream = random() < cut_share_;
  std::size_t sent_tokens = 0;
  while (sent_tokens < job->output_tokens && !job->cancelled && !response.write_failed()) {
    while (job->generated_tokens <= sent_tokens && !job->cancelled) co_await job->updated.wait();
    co_await wait_while_silent();
    std::string events;
    for (; sent_tokens < job->generated_tokens && !job->cancelled; ++sent_tokens) {
      json chunk{{"id", job->id},
                 {"object", chat ? "chat.completion.chunk" : "text_completion"},
                 {"created", 1},
                 {"model", "stand-in"}};
      const std::string text = "t" + std::to_string(sent_tokens) + " ";
      json choice{{"index", 0}, {"finish_reason", nullptr}};
      if (sent_tokens + 1 == job->output_tokens) choice["finish_reason"] = "stop";
      if (chat)
        choice["delta"] = {{"content", text}};
      else
        choice["text"] = text;
      chunk["choices"] = json::array({choice});
      events += "data: " + chunk.dump() + "\n\n";
    }
    if (cut_stream && sent_tokens > job->output_tokens / 2) {
      record_job("out", *job, {{"how", "cut"}, {"told", sent_tokens}});
      job->cancelled = true;
      co_await response.write_chunk(std::string_view(events).substr(0, events.size() / 2));
      response.abort();
      co_return;
    }
    if (!events.empty()) co_await response.write_chunk(events);
  }
  watch.cancel();
  if (job->cancelled || response.write_failed()) {
    job->cancelled = true;
    record_job("out", *job, {{"how", "left"}, {"told", sent_tokens}});
    response.abort();
    co_return;
  }
  record_job("out", *job, {{"how", "done"}, {"told", sent_tokens}, {"tokens", job->tokens.count}});
  const json usage{{"id", job->id},
                   {"object", chat ? "chat.completion.chunk" : "text_completion"},
                   {"created", 1},
                   {"model", "stand-in"},
                   {"choices", json::array()},
                   {"usage",
                    {{"prompt_tokens", job->tokens.count},
                     {"completion_tokens", sent_tokens},
                     {"total_tokens", job->tokens.count + sent_tokens},
                     {"prompt_tokens_details", {{"cached_tokens", job->cached_tokens}}}}}};
  const std::string last_events = "data: " + usage.dump() + "\n\ndata: [DONE]\n\n";
  co_await response.write_chunk(last_events);
  co_await response.end_stream();
}

}  // namespace cressrill::rig
