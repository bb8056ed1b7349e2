#pragma once
/// \file
/// Budgets of retries, one for each service.

#include <cstdint>
#include <map>
#include <string>

#include "Plugins/Requests/retry_budget.h"

namespace buckthorncart {

/// Keeps apart what calls to one service earn and what others spend, so that
/// retries of one that fails stay a share of its own traffic.
class RetryBudgets {
 public:
  RetryBudgets(uint32_t percent, uint32_t reserve)
      : percent_(percent), reserve_(reserve) {}

  RetryBudget& Of(const std::string& service) {
    return by_service_.try_emplace(service, percent_, reserve_).first->second;
  }

 private:
  uint32_t percent_;
  uint32_t reserve_;
  std::map<std::string, RetryBudget> by_service_;
};

}  // namespace buckthorncart
