#include "discovery.h"

namespace cressrill::rig::soak {

using nlohmann::json;

Discovery::Discovery(io::Loop& loop, std::size_t agents) : loop_(loop), changed_(loop) {
  for (std::size_t i = 0; i < agents; ++i)
    agents_.push_back(std::make_unique<http::Server>(
        loop, io::Address{INADDR_LOOPBACK, 0},
        [this](http::Request& request, http::ResponseWriter& to) { return answer(request, to); }));
}

void Discovery::put(json target) {
  std::erase_if(all_, [&](const json& t) { return t["uid"] == target["uid"]; });
  if (target["state"] != "removed") all_.push_back(target);
  changes_.emplace_back(++version_, std::move(target));
  changed_.notify();
}

void Discovery::silence(bool silent) {
  silent_ = silent;
  changed_.notify();
}

json Discovery::list_since(std::uint64_t version) const {
  json changed = json::array();
  for (const auto& [at, target] : changes_)
    if (at > version) changed.push_back(target);
  return {{"rev", version_}, {"all", false}, {"targets", changed}};
}

io::Task<> Discovery::answer(http::Request& request, http::ResponseWriter& to) {
  const std::string target(request.head.target);
  const std::size_t index = target.find("index=");
  const bool whole = index == std::string::npos;
  const std::uint64_t since = whole ? 0 : std::stoull(target.substr(index + 6));
  const io::Nanos until =
      whole ? 0 : loop_.now() + std::stoll(target.substr(target.find("wait=") + 5)) * io::kMs;
  while (silent_ || (!whole && version_ <= since && loop_.now() < until)) {
    const io::Nanos look_at = silent_ ? loop_.now() + 100 * io::kMs : until;
    co_await io::wait_until(loop_, changed_, look_at);
  }
  const json list = whole ? json{{"rev", version_}, {"all", true}, {"targets", all_}} : list_since(since);
  co_await to.respond(200, "content-type: application/json\r\n", list.dump());
}

}  // namespace cressrill::rig::soak
