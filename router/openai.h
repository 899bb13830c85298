// Implements Protocol with OpenAI's API towards clients and the engines' HTTP API towards workers
// (docs/design/engine-wire.md).
#pragma once

#include "core/classify.h"
#include "protocol.h"

namespace cressrill::router {

class OpenAi final : public Protocol {
 public:
  explicit OpenAi(const core::RouterConfig& config) : config_(config) {}
  Traits traits() const override { return {}; }
  std::variant<std::unique_ptr<Exchange>, Reply> begin_exchange(http::Request& request,
                                                                RequestInfo& info) override;
  std::string_view stream_fields() const override;
  LoadReport parse_load_report(const http::Head& head) const override;
  LoadReport parse_load_report(std::string_view) const override { return {}; }
  // The body of GET /v1/models.
  std::string models() const;

 private:
  class CompletionExchange;
  const core::RouterConfig& config_;
  core::TokenEstimator token_estimator_;
  std::uint64_t request_count_{};
};

}  // namespace cressrill::router
