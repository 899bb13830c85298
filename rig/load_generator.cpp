#include "load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cressrill::rig {

using nlohmann::json;

LoadGenerator::LoadGenerator(io::Loop& loop, const Scenario& scenario, Recorder& record,
                             std::function<io::Address(std::size_t)> address_of)
    : loop_(loop),
      scenario_(scenario),
      record_(record),
      address_of_(std::move(address_of)),
      generator_(scenario.seed),
      session_ended_(loop),
      scope_(loop) {}

std::string LoadGenerator::make_words(int count, std::uint64_t seed) const {
  std::string words;
  std::uint64_t random = seed * 0x9e3779b97f4a7c15u + 1;
  for (int i = 0; i < count; ++i) {
    random ^= random << 13;
    random ^= random >> 7;
    random ^= random << 17;
    for (int letter = 0; letter < 4; ++letter)
      words.push_back(static_cast<char>('a' + (random >> (8 * letter)) % 26));
    words.push_back(' ');
  }
  return words;
}

std::string LoadGenerator::request_body(const Session& session, const Traffic& traffic, int output_tokens,
                                        bool stream) const {
  json messages = json::array();
  if (!session.prefix.empty()) messages.push_back({{"role", "system"}, {"content", session.prefix}});
  for (std::size_t i = 0; i < session.messages.size(); ++i)
    messages.push_back({{"role", i % 2 == 0 ? "user" : "assistant"}, {"content", session.messages[i]}});
  return json{{"model", traffic.model},
              {"messages", messages},
              {"prompt_cache_key", "session-" + std::to_string(session.number)},
              {"max_tokens", output_tokens * 2},
              {"metadata", {{"out", std::to_string(output_tokens)}}},
              {"stream", stream}}
      .dump();
}

// Acts as the load balancer in front of the routers: spreads requests over the routers of the zone, and
// avoids a stopped router only after the failover delay.
std::size_t LoadGenerator::pick_router(const std::string& zone) {
  std::vector<std::size_t> in_zone;
  std::vector<std::size_t> reachable;
  for (std::size_t i = 0; i < scenario_.routers.size(); ++i) {
    const auto stopped = stopped_at_.find(i);
    if (stopped != stopped_at_.end() && loop_.now() - stopped->second > scenario_.clients.failover_delay)
      continue;
    reachable.push_back(i);
    if (scenario_.routers[i].zone == zone) in_zone.push_back(i);
  }
  const std::vector<std::size_t>& candidates = in_zone.empty() ? reachable : in_zone;
  if (candidates.empty()) return 0;
  return candidates[next_router_[zone]++ % candidates.size()];
}

io::Task<> LoadGenerator::run_turn(Session& session) {
  const Traffic& traffic = scenario_.traffic[session.traffic];
  const RuleSettings::Type& type = scenario_.rule_settings.types.at(traffic.type);
  const auto type_index = static_cast<std::size_t>(
      std::ranges::find_if(scenario_.config.type_rules,
                           [&](const core::TrafficTypeRule& entry) { return entry.name == traffic.type; }) -
      scenario_.config.type_rules.begin());
  const std::string request_id = fmt::format("s{}", ++requests_started_);
  const int output_tokens = std::clamp(static_cast<int>(exponential(traffic.mean_output_tokens)), 2,
                                       8 * traffic.mean_output_tokens);
  const bool stream = uniform() >= traffic.complete_share;
  ClientRequest request;
  request.sequence = request_id;
  request.type = traffic.type;
  request.stream = stream;
  request.body = request_body(session, traffic, output_tokens, stream);
  if (traffic.idempotency_key) request.idempotency_key = "mark-" + request_id;
  const double prompt_tokens = static_cast<double>(tokenize(request.body).count);
  const core::TrafficTypeRule& rule = scenario_.config.type_rules[type_index];
  const auto for_prompt = [&](Nanos per_1000_tokens) {
    return static_cast<Nanos>(prompt_tokens / 1000 * static_cast<double>(per_1000_tokens));
  };
  request.slo = scenario_.config.settings.types[type_index].slo +
                for_prompt(scenario_.config.settings.types[type_index].slo_per_1000_tokens);
  const double timeout_share = scenario_.clients.timeout_share * timeout_factor_;
  request.time_limit = static_cast<Nanos>(
      timeout_share * static_cast<double>(rule.time_limit + for_prompt(rule.time_limit_per_1000_tokens)));
  request.time_limit = request.time_limit / io::kMs * io::kMs;  // it is sent in whole milliseconds
  if (uniform() < scenario_.clients.leave_share) request.disconnect_after_first_token = 50 * io::kMs;
  for (const core::Tenant& tenant : scenario_.config.tenants)
    if (!tenant.api_keys.empty() && (request.api_key.empty() || uniform() < 0.5))
      request.api_key = tenant.api_keys.front();
  const io::Nanos first_sent = loop_.now();
  for (int retry = 0;; ++retry) {
    const std::size_t router = pick_router(session.zone);
    request.id = fmt::format("{}.{}", request_id, retry);
    request.router = scenario_.routers[router].name;
    request.address = address_of_(router);
    ++attempts_sent_;
    const ClientResult result = co_await send_request(loop_, record_, request);
    if (result.outcome == "generated") {
      std::string generated_text;
      for (std::size_t i = 0; i < result.tokens; ++i) generated_text += "t" + std::to_string(i) + " ";
      session.messages.push_back(generated_text);
      co_return;
    }
    const bool may_repeat = result.outcome == "rejected" || result.outcome == "unreached" ||
                            type.effect == Effect::repeatable ||
                            (type.effect == Effect::tokened && type.group == Group::all);
    // An idempotency key is valid only for the window of its type: a client does not retry in the window's
    // last second or later.
    if (type.effect == Effect::tokened && loop_.now() + io::kSecond > first_sent + type.window) co_return;
    if (result.outcome == "left" || result.outcome == "refused" || !may_repeat ||
        retry >= scenario_.clients.retries)
      co_return;
    const bool honours_retry_after = result.retry_after > 0 && uniform() < scenario_.clients.honour_share;
    co_await loop_.sleep_for(honours_retry_after ? result.retry_after : scenario_.clients.backoff);
  }
}

io::Task<> LoadGenerator::run_session(std::unique_ptr<Session> session) {
  const Traffic& traffic = scenario_.traffic[session->traffic];
  for (int turn = 0; turn < session->turns && loop_.now() < end_; ++turn) {
    int word_count = std::max(3, static_cast<int>(exponential(traffic.mean_turn_words)));
    // The "heavy_tail" fault lengthens 3% of the messages.
    if (long_prompt_factor_ > 1 && uniform() < 0.03)
      word_count = static_cast<int>(word_count * long_prompt_factor_);
    session->messages.push_back(
        make_words(word_count, session->number * 1000 + static_cast<std::uint64_t>(turn) + 77));
    const std::size_t messages_before = session->messages.size();
    co_await run_turn(*session);
    if (session->messages.size() == messages_before) break;  // nothing was generated: the session ends
    co_await loop_.sleep_for(static_cast<Nanos>(exponential(static_cast<double>(traffic.mean_think_time))));
  }
  --active_sessions_;
  session_ended_.notify();
}

io::Task<> LoadGenerator::run() {
  end_ = loop_.now() + scenario_.length;
  double total_share = 0;
  double mean_turns = 0;
  for (const Traffic& traffic : scenario_.traffic) total_share += traffic.share;
  for (const Traffic& traffic : scenario_.traffic)
    mean_turns += traffic.share / total_share * traffic.mean_turns;
  while (loop_.now() < end_) {
    co_await loop_.sleep_for(
        static_cast<Nanos>(exponential(1e9 * mean_turns / (scenario_.requests_per_s * rate_factor_))));
    auto session = std::make_unique<Session>();
    double drawn = uniform() * total_share;
    while (session->traffic + 1 < scenario_.traffic.size() &&
           (drawn -= scenario_.traffic[session->traffic].share) > 0)
      ++session->traffic;
    const Traffic& traffic = scenario_.traffic[session->traffic];
    session->number = ++sessions_started_;
    session->zone =
        scenario_.config
            .zones[static_cast<std::size_t>(uniform() * static_cast<double>(scenario_.config.zones.size()))];
    session->turns = 1 + std::poisson_distribution<int>(traffic.mean_turns - 1)(generator_);
    if (hot_share_ > 0 && uniform() < hot_share_)
      session->prefix = make_words(hot_words_, 900'000 + hot_prefix_number_);
    else if (traffic.prefixes > 0)  // Zipf's law: the first prefixes are chosen most often
      session->prefix = make_words(
          traffic.prefix_words,
          static_cast<std::uint64_t>(std::pow(traffic.prefixes + 1, uniform())) + 100 * session->traffic);
    ++active_sessions_;
    scope_.spawn(run_session(std::move(session)));
  }
  // Waits for the requests in flight; no session starts another turn after the end of the scenario.
  const io::Nanos deadline = loop_.now() + 20 * io::kSecond;
  while (active_sessions_ > 0 && loop_.now() < deadline)
    co_await io::wait_until(loop_, session_ended_, deadline);
}

}  // namespace cressrill::rig
