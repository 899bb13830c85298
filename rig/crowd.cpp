#include "crowd.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cressrill::rig {

using nlohmann::json;

Crowd::Crowd(io::Loop& loop, const Day& day, Recorder& record,
             std::function<io::Address(std::size_t)> address_of)
    : loop_(loop),
      day_(day),
      record_(record),
      address_of_(std::move(address_of)),
      random_(day.seed),
      left_(loop),
      scope_(loop) {}

std::string Crowd::words(int count, std::uint64_t seed) const {
  std::string out;
  std::uint64_t x = seed * 0x9e3779b97f4a7c15u + 1;
  for (int i = 0; i < count; ++i) {
    x ^= x << 13, x ^= x >> 7, x ^= x << 17;
    for (int c = 0; c < 4; ++c) out.push_back(static_cast<char>('a' + (x >> (8 * c)) % 26));
    out.push_back(' ');
  }
  return out;
}

std::string Crowd::body(const Session& s, const Traffic& t, int out, bool stream) const {
  json messages = json::array();
  if (!s.beginning.empty()) messages.push_back({{"role", "system"}, {"content", s.beginning}});
  for (std::size_t i = 0; i < s.said.size(); ++i)
    messages.push_back({{"role", i % 2 == 0 ? "user" : "assistant"}, {"content", s.said[i]}});
  return json{{"model", t.model},
              {"messages", messages},
              {"prompt_cache_key", "session-" + std::to_string(s.number)},
              {"max_tokens", out * 2},
              {"metadata", {{"out", std::to_string(out)}}},
              {"stream", stream}}
      .dump();
}

// The front layer: spreads over the zone's routers, and learns of a death late.
std::size_t Crowd::pick_router(const std::string& zone) {
  std::vector<std::size_t> here, any;
  for (std::size_t i = 0; i < day_.routers.size(); ++i) {
    const auto died = died_.find(i);
    if (died != died_.end() && loop_.now() - died->second > day_.clients.notice) continue;
    any.push_back(i);
    if (day_.routers[i].zone == zone) here.push_back(i);
  }
  const std::vector<std::size_t>& from = here.empty() ? any : here;
  if (from.empty()) return 0;
  return from[turn_[zone]++ % from.size()];
}

io::Task<> Crowd::sequence(Session& s) {
  const Traffic& t = day_.traffic[s.traffic];
  const RuleBook::Type& type = day_.book.types.at(t.type);
  const auto index = static_cast<std::size_t>(
      std::ranges::find_if(day_.station.type_rules,
                           [&](const core::TrafficTypeRule& r) { return r.name == t.type; }) -
      day_.station.type_rules.begin());
  const std::string name = fmt::format("s{}", ++sequences_);
  const int out = std::clamp(static_cast<int>(spread(t.out_tokens)), 2, 8 * t.out_tokens);
  const bool stream = chance() >= t.whole;
  Question q;
  q.sequence = name;
  q.type = t.type;
  q.stream = stream;
  q.body = body(s, t, out, stream);
  if (t.mark) q.mark = "mark-" + name;
  const double prompt = static_cast<double>(tokenize(q.body).count);
  const core::TrafficTypeRule& rule = day_.station.type_rules[index];
  const auto per_1000 = [&](Nanos span) {
    return static_cast<Nanos>(prompt / 1000 * static_cast<double>(span));
  };
  q.slo = day_.station.settings.types[index].slo +
          per_1000(day_.station.settings.types[index].slo_per_1000_tokens);
  const double share = day_.clients.try_share * give_up_;
  q.abandon = static_cast<Nanos>(
      share * static_cast<double>(rule.time_limit + per_1000(rule.time_limit_per_1000_tokens)));
  q.abandon = q.abandon / io::kMs * io::kMs;
  if (chance() < day_.clients.leave) q.leave_after_first = 50 * io::kMs;
  for (const core::Tenant& tenant : day_.station.tenants)
    if (!tenant.api_keys.empty() && (q.key.empty() || chance() < 0.5)) q.key = tenant.api_keys.front();
  const io::Nanos first = loop_.now();
  for (int tries = 0;; ++tries) {
    const std::size_t router = pick_router(s.zone);
    q.id = fmt::format("{}.{}", name, tries);
    q.router = day_.routers[router].name;
    q.at = address_of_(router);
    ++asked_;
    const Heard heard = co_await ask(loop_, record_, q);
    if (heard.how == "generated") {
      std::string said;
      for (std::size_t i = 0; i < heard.tokens; ++i) said += "t" + std::to_string(i) + " ";
      s.said.push_back(said);
      co_return;
    }
    const bool harmless = heard.how == "rejected" || heard.how == "unreached" ||
                          type.effect == Effect::repeatable ||
                          (type.effect == Effect::tokened && type.group == Group::all);
    // A mark is known for its window only: past it the client does not come again.
    if (type.effect == Effect::tokened && loop_.now() + io::kSecond > first + type.window) co_return;
    if (heard.how == "left" || heard.how == "refused" || !harmless || tries >= day_.clients.retries)
      co_return;
    const bool waits = heard.retry_after > 0 && chance() < day_.clients.honour;
    co_await loop_.sleep_for(waits ? heard.retry_after : day_.clients.backoff);
  }
}

io::Task<> Crowd::session(std::unique_ptr<Session> s) {
  const Traffic& t = day_.traffic[s->traffic];
  for (int turn = 0; turn < s->turns && loop_.now() < until_; ++turn) {
    int count = std::max(3, static_cast<int>(spread(t.turn_words)));
    if (heavy_times_ > 1 && chance() < 0.03) count = static_cast<int>(count * heavy_times_);
    s->said.push_back(words(count, s->number * 1000 + static_cast<std::uint64_t>(turn) + 77));
    const std::size_t before = s->said.size();
    co_await sequence(*s);
    if (s->said.size() == before) break;  // no answer: the session ends
    co_await loop_.sleep_for(static_cast<Nanos>(spread(static_cast<double>(t.think))));
  }
  --going_;
  left_.notify();
}

io::Task<> Crowd::play() {
  until_ = loop_.now() + day_.length;
  double all = 0, turns = 0;
  for (const Traffic& t : day_.traffic) all += t.share;
  for (const Traffic& t : day_.traffic) turns += t.share / all * t.turns;
  while (loop_.now() < until_) {
    co_await loop_.sleep_for(static_cast<Nanos>(spread(1e9 * turns / (day_.rate * rate_times_))));
    auto s = std::make_unique<Session>();
    double drawn = chance() * all;
    while (s->traffic + 1 < day_.traffic.size() && (drawn -= day_.traffic[s->traffic].share) > 0)
      ++s->traffic;
    const Traffic& t = day_.traffic[s->traffic];
    s->number = ++sessions_;
    s->zone = day_.station
                  .zones[static_cast<std::size_t>(chance() * static_cast<double>(day_.station.zones.size()))];
    s->turns = 1 + std::poisson_distribution<int>(t.turns - 1)(random_);
    if (hot_share_ > 0 && chance() < hot_share_)
      s->beginning = words(hot_words_, 900'000 + hot_);
    else if (t.beginnings > 0)  // by Zipf: the first ones are asked for most
      s->beginning =
          words(t.beginning_words,
                static_cast<std::uint64_t>(std::pow(t.beginnings + 1, chance())) + 100 * s->traffic);
    ++going_;
    scope_.spawn(session(std::move(s)));
  }
  // Sessions that are in the middle go on for a while; what was asked is waited for to its end.
  const io::Nanos last = loop_.now() + 20 * io::kSecond;
  while (going_ > 0 && loop_.now() < last) co_await io::wait_until(loop_, left_, last);
}

}  // namespace cressrill::rig
