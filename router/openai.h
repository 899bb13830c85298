// OpenAI's API towards clients, and the wire of our engines (docs/design/engine-wire.md).
#pragma once

#include "core/classify.h"
#include "protocol.h"

namespace cressrill::router {

class OpenAi final : public Protocol {
 public:
  explicit OpenAi(const core::Station& station) : station_(station) {}
  Manner manner() const override { return {}; }
  std::variant<std::unique_ptr<Talk>, Reply> read(http::Request& request, Brief& to) override;
  std::string_view stream_fields() const override;
  Report load(const http::Head& head) const override;
  Report load(std::string_view) const override { return {}; }
  // The body of GET /v1/models.
  std::string models() const;

 private:
  class Sequence;
  const core::Station& station_;
  core::TokenEstimate estimate_;
  std::uint64_t serial_{};
};

}  // namespace cressrill::router
