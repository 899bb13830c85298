// Estimates how many tokens a text is, learned from what engines count. Free of I/O and clocks.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace cressrill::core {

// For each model two decayed sums: tokens counted and bytes sent. Until answers tell, four bytes are a token and
// each message costs four tokens more.
class TokenEstimator {
 public:
  double estimate(const std::string& model, std::size_t bytes, std::size_t messages) const;
  void learn(const std::string& model, std::size_t bytes, std::size_t messages, double counted);
  double tokens_per_byte(const std::string& model) const;

 private:
  struct Sums {
    double tokens{};
    double bytes{};
  };
  std::map<std::string, Sums, std::less<>> models_;
};

}  // namespace cressrill::core
