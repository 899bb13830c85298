#include "instance.h"

namespace cressrill::router {

Instance::Instance(io::Loop& loop, const core::RouterConfig& config, core::Log& log, std::uint64_t seed,
                   const PolicyFactory& create_policy)
    : config_(config),
      protocol_(config),
      host_(loop, config, log, counters_, protocol_, seed, create_policy),
      discovery_client_(loop, config, log, host_),
      server_(
          loop, *io::parse_address(config.listen_address),
          [this](http::Request& request, http::ResponseWriter& response) {
            return host_.serve(request, response);
          },
          {config.max_head_bytes, config.max_body_bytes}, config.max_connections) {
  server_.set_write_stall_timeout(config.write_stall_timeout);
  server_.set_error_body_formatter([this](int status, http::MessageError error) {
    counters_.count_refusal(status);
    return core::error_body(status,
                            std::string("The request cannot be read: ") + http::to_string(error) + ".",
                            status == 413   ? "body_too_large"
                            : status == 431 ? "head_too_large"
                                            : "malformed");
  });
  if (!config.admin_address.empty())
    admin_server_ =
        std::make_unique<http::Server>(loop, *io::parse_address(config.admin_address),
                                       [this](http::Request& request, http::ResponseWriter& response) {
                                         return handle_admin_request(request, response);
                                       });
}

io::Task<> Instance::handle_admin_request(http::Request& request, http::ResponseWriter& response) {
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
  co_await response.respond(status, fields, body);
}

}  // namespace cressrill::router
