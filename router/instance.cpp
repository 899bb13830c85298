#include "instance.h"

namespace cressrill::router {

Instance::Instance(io::Loop& loop, const core::RouterConfig& station, core::Log& log, std::uint64_t seed,
                   const PolicyFactory& make)
    : station_(station),
      protocol_(station),
      host_(loop, station, log, counters_, protocol_, seed, make),
      roster_(loop, station, log, host_),
      server_(
          loop, *io::parse_address(station.listen_address),
          [this](http::Request& request, http::ResponseWriter& answer) {
            return host_.serve(request, answer);
          },
          {station.max_head_bytes, station.max_body_bytes}, station.max_connections) {
  server_.set_write_stall_timeout(station.stall_timeout);
  server_.set_error_body_formatter([this](int status, http::MessageError fault) {
    counters_.count_refusal(status);
    return core::error_body(status,
                            std::string("The request cannot be read: ") + http::to_string(fault) + ".",
                            status == 413   ? "body_too_large"
                            : status == 431 ? "head_too_large"
                                            : "malformed");
  });
  if (!station.admin_address.empty())
    admin_ = std::make_unique<http::Server>(
        loop, *io::parse_address(station.admin_address),
        [this](http::Request& request, http::ResponseWriter& answer) { return admin(request, answer); });
}

io::Task<> Instance::admin(http::Request& request, http::ResponseWriter& answer) {
  int status = 200;
  std::string body;
  std::string fields = "content-type: application/json\r\n";
  if (request.head.target == "/metrics") {
    body = counters_.serialize();
    fields = "content-type: text/plain; version=0.0.4\r\n";
  } else if (request.head.target == "/health") {
    body = "{\"status\":\"ok\"}\n";
  } else if (request.head.target == "/workers") {
    body = core::serialize_worker_list(host_.fleet().current_list()) + "\n";
  } else {
    status = 404;
    body = core::error_body(404, "Served here: /metrics, /health, /workers.", "unknown_url");
  }
  co_await answer.respond(status, fields, body);
}

}  // namespace cressrill::router
