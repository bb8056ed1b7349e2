#pragma once
/// \file
/// Retry budgets, one for each service.

#include <cstdint>
#include <map>
#include <string>

#include "Plugins/Requests/retry_budget.h"

namespace buckthorncart {

/// Separate budgets keep the retries of a failing service to a share of its own
/// traffic: it cannot spend what calls to other services have earned.
class RetryBudgets {
 public:
  RetryBudgets(uint32_t percent, uint32_t reserve)
      : percent_(percent), reserve_(reserve) {}

  RetryBudget& ForService(const std::string& service) {
    return by_service_.try_emplace(service, percent_, reserve_).first->second;
  }

 private:
  uint32_t percent_;
  uint32_t reserve_;
  std::map<std::string, RetryBudget> by_service_;
};

}  // namespace buckthorncart
