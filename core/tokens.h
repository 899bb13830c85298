// Estimates the number of tokens of a text, learning from the counts that engines report. Does no I/O and
// uses no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cressrill::core {

// Keeps two decayed sums for each model: tokens counted by engines and bytes sent to them. Until the first
// response, a token is taken to be four bytes. Each message adds four tokens.
class TokenEstimator {
 public:
  double estimate(const std::string& model, std::size_t bytes, std::size_t message_count) const;
  // counted_tokens: the prompt tokens that an engine reported for a prompt of this size.
  void learn(const std::string& model, std::size_t bytes, std::size_t message_count, double counted_tokens);
  double tokens_per_byte(const std::string& model) const;

 private:
  struct Sums {
    double tokens{};
    double bytes{};
  };
  std::map<std::string, Sums, std::less<>> models_;
};

}  // namespace cressrill::core
