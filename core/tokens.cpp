#include "tokens.h"

#include <algorithm>

namespace cressrill::core {

namespace {
constexpr double kPriorPerByte = 0.25;
constexpr double kPriorBytes = 4'000;  // weight of the first guess: about one short prompt
constexpr double kTokensAMessage = 4;
constexpr double kKeep = 0.98;        // of the sums at each answer: about the last fifty count
constexpr std::size_t kModels = 256;  // names come from clients: more than so many are not learned
}  // namespace

double TokenEstimator::tokens_per_byte(const std::string& model) const {
  const auto it = models_.find(model);
  const Sums s = it == models_.end() ? Sums{} : it->second;
  return (s.tokens + kPriorPerByte * kPriorBytes) / (s.bytes + kPriorBytes);
}

double TokenEstimator::estimate(const std::string& model, std::size_t bytes, std::size_t messages) const {
  return std::max(1.0, tokens_per_byte(model) * static_cast<double>(bytes) +
                           kTokensAMessage * static_cast<double>(messages));
}

void TokenEstimator::learn(const std::string& model, std::size_t bytes, std::size_t messages,
                           double counted) {
  if (bytes == 0 || counted <= 0) return;
  if (models_.size() >= kModels && !models_.contains(model)) return;
  Sums& s = models_[model];
  s.tokens = s.tokens * kKeep + std::max(0.0, counted - kTokensAMessage * static_cast<double>(messages));
  s.bytes = s.bytes * kKeep + static_cast<double>(bytes);
}

}  // namespace cressrill::core
