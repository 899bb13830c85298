#include "instance.h"

namespace cressrill::router {

Instance::Instance(io::Loop& loop, const core::Station& station, core::Log& log, std::uint64_t seed,
                   const MakePolicy& make)
    : station_(station),
      protocol_(station),
      host_(loop, station, log, counters_, protocol_, seed, make),
      roster_(loop, station, log, host_),
      server_(
          loop, *io::parse_address(station.listen),
          [this](http::Request& request, http::Answer& answer) { return host_.serve(request, answer); },
          {station.head_bytes, station.body_bytes}, station.connections) {
  server_.limit_write_stall(station.stall);
  server_.refuse_with([this](int status, http::Fault fault) {
    counters_.refused(status);
    return core::error_body(status, std::string("The request cannot be read: ") + http::word(fault) + ".",
                            status == 413   ? "body_too_large"
                            : status == 431 ? "head_too_large"
                                            : "malformed");
  });
  if (!station.admin.empty())
    admin_ = std::make_unique<http::Server>(
        loop, *io::parse_address(station.admin),
        [this](http::Request& request, http::Answer& answer) { return admin(request, answer); });
}

io::Task<> Instance::admin(http::Request& request, http::Answer& answer) {
  int status = 200;
  std::string body;
  std::string fields = "content-type: application/json\r\n";
  if (request.head.target == "/metrics") {
    body = counters_.text();
    fields = "content-type: text/plain; version=0.0.4\r\n";
  } else if (request.head.target == "/health") {
    body = "{\"status\":\"ok\"}\n";
  } else if (request.head.target == "/workers") {
    body = core::worker_list_text(host_.fleet().whole()) + "\n";
  } else {
    status = 404;
    body = core::error_body(404, "Served here: /metrics, /health, /workers.", "unknown_url");
  }
  co_await answer.whole(status, fields, body);
}

}  // namespace cressrill::router
