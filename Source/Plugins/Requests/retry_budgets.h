#pragma once
/// \file
/// Retry budgets, one for each service.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Plugins/Requests/retry_budget.h"

namespace buckthorncart {

/// Separate budgets keep the retries of a failing service to a share of its own
/// traffic: it cannot spend what calls to other services have earned.
///
/// The retries that are allowed beyond that share can be a number for the whole
/// fleet, of which each daemon has an equal part: the retries of all daemons
/// together stay bounded however many daemons there are.
class RetryBudgets {
 public:
  /// `reserve` is the number of unused retries that can accumulate here. If
  /// `fleet_reserve` is not 0, it is that number for all daemons together and
  /// replaces `reserve`.
  RetryBudgets(uint32_t percent, uint32_t reserve, uint32_t fleet_reserve = 0)
      : percent_(percent), fleet_reserve_(fleet_reserve), reserve_(reserve) {
    SetDaemonCount(1);
  }

  /// Sets the number of daemons that share the reserve of the fleet.
  void SetDaemonCount(size_t count) {
    if (fleet_reserve_ == 0) return;
    reserve_ = static_cast<double>(fleet_reserve_) /
               static_cast<double>(std::max<size_t>(count, 1));
    for (auto& [service, budget] : by_service_) budget.SetReserve(reserve_);
  }

  RetryBudget& ForService(const std::string& service) {
    return by_service_.try_emplace(service, percent_, reserve_).first->second;
  }

 private:
  uint32_t percent_;
  uint32_t fleet_reserve_;
  double reserve_;
  std::map<std::string, RetryBudget> by_service_;
};

}  // namespace buckthorncart
