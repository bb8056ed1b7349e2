#pragma once
/// \file
/// Limits retries to a share of the traffic.

#include <algorithm>
#include <cstdint>

#include "Config/objects.h"

namespace buckthorncart {

/// Token bucket of retries: every call adds `percent` hundredths of a retry,
/// and a retry takes a whole one. Retries of bulk calls leave half of the
/// capacity to interactive calls.
class RetryBudget {
 public:
  /// `reserve` is the number of retries that can accumulate; the bucket starts
  /// full.
  RetryBudget(uint32_t percent, double reserve)
      : percent_(percent),
        credit_(static_cast<uint32_t>(reserve * kRetryCost)) {
    SetReserve(reserve);
  }

  /// Changes the number of retries that can accumulate. It is never too low for
  /// one retry, so that the share of the calls can be spent.
  void SetReserve(double reserve) {
    max_credit_ = std::max(static_cast<uint32_t>(reserve * kRetryCost),
                           kRerunCost + percent_);
    credit_ = std::min(credit_, max_credit_);
  }

  void RecordCall() { credit_ = std::min(credit_ + percent_, max_credit_); }
  /// Takes one retry out of the budget; false if the budget is exhausted. A
  /// retry of a request that may have run costs more, since the calls that its
  /// first run made are repeated too.
  bool TrySpend(RequestClass request_class, bool may_have_run = false) {
    const uint32_t cost = may_have_run ? kRerunCost : kRetryCost;
    const bool bulk = request_class == RequestClass::kBulk;
    const uint32_t reserved = bulk ? (max_credit_ - kRetryCost) / 2 : 0;
    if (credit_ < reserved + cost) return false;
    credit_ -= cost;
    return true;
  }

 private:
  static constexpr uint32_t kRetryCost = 100;
  static constexpr uint32_t kRerunCost = 150;

  uint32_t percent_;
  uint32_t max_credit_ = 0;
  uint32_t credit_;
};

}  // namespace buckthorncart
