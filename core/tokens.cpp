#include "tokens.h"

#include <algorithm>

namespace cressrill::core {

namespace {
constexpr double kPriorTokensPerByte = 0.25;
constexpr double kPriorBytes = 4'000;       // weight of the prior: about one short prompt
constexpr double kTokensPerMessage = 4;     // added to those of its text
constexpr double kDecayPerResponse = 0.98;  // the last 50 or so responses dominate the sums
constexpr std::size_t kMaxModels = 256;     // model names come from clients, so their number is limited
}  // namespace

double TokenEstimator::tokens_per_byte(const std::string& model) const {
  const auto it = models_.find(model);
  const Sums sums = it == models_.end() ? Sums{} : it->second;
  return (sums.tokens + kPriorTokensPerByte * kPriorBytes) / (sums.bytes + kPriorBytes);
}

double TokenEstimator::estimate(const std::string& model, std::size_t bytes,
                                std::size_t message_count) const {
  return std::max(1.0, tokens_per_byte(model) * static_cast<double>(bytes) +
                           kTokensPerMessage * static_cast<double>(message_count));
}

void TokenEstimator::learn(const std::string& model, std::size_t bytes, std::size_t message_count,
                           double counted_tokens) {
  if (bytes == 0 || counted_tokens <= 0) return;
  if (models_.size() >= kMaxModels && !models_.contains(model)) return;
  Sums& sums = models_[model];
  sums.tokens = sums.tokens * kDecayPerResponse +
                std::max(0.0, counted_tokens - kTokensPerMessage * static_cast<double>(message_count));
  sums.bytes = sums.bytes * kDecayPerResponse + static_cast<double>(bytes);
}

}  // namespace cressrill::core
