#include "discovery.h"

namespace cressrill::rig::soak {

using nlohmann::json;

Discovery::Discovery(io::Loop& loop, std::size_t agents) : loop_(loop), changed_(loop) {
  for (std::size_t i = 0; i < agents; ++i)
    agents_.push_back(std::make_unique<http::Server>(
        loop, io::Address{INADDR_LOOPBACK, 0},
        [this](http::Request& request, http::ResponseWriter& response) { return serve(request, response); }));
}

void Discovery::put(json target) {
  std::erase_if(targets_, [&](const json& entry) { return entry["uid"] == target["uid"]; });
  if (target["state"] != "removed") targets_.push_back(target);
  changes_.emplace_back(++version_, std::move(target));
  changed_.notify();
}

void Discovery::set_silent(bool silent) {
  silent_ = silent;
  changed_.notify();
}

json Discovery::list_since(std::uint64_t version) const {
  json changed = json::array();
  for (const auto& [changed_in, target] : changes_)
    if (changed_in > version) changed.push_back(target);
  return {{"rev", version_}, {"all", false}, {"targets", changed}};
}

io::Task<> Discovery::serve(http::Request& request, http::ResponseWriter& response) {
  const std::string request_target(request.head.target);
  const std::size_t index_position = request_target.find("index=");
  const bool is_full_list = index_position == std::string::npos;
  const std::uint64_t since = is_full_list ? 0 : std::stoull(request_target.substr(index_position + 6));
  const io::Nanos watch_deadline =
      is_full_list
          ? 0
          : loop_.now() + std::stoll(request_target.substr(request_target.find("wait=") + 5)) * io::kMs;
  while (silent_ || (!is_full_list && version_ <= since && loop_.now() < watch_deadline)) {
    const io::Nanos next_check = silent_ ? loop_.now() + 100 * io::kMs : watch_deadline;
    co_await io::wait_until(loop_, changed_, next_check);
  }
  const json list =
      is_full_list ? json{{"rev", version_}, {"all", true}, {"targets", targets_}} : list_since(since);
  co_await response.respond(200, "content-type: application/json\r\n", list.dump());
}

}  // namespace cressrill::rig::soak
