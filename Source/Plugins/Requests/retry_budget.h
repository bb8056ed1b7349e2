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
      : percent_(percent), credit_(static_cast<int64_t>(reserve * kRetryCost)) {
    SetReserve(reserve);
  }

  /// Changes the number of retries that can accumulate. It is never too low for
  /// one retry, so that the share of the calls can be spent.
  void SetReserve(double reserve) {
    max_credit_ = std::max(static_cast<int64_t>(reserve * kRetryCost),
                           kRerunCost + static_cast<int64_t>(percent_));
    credit_ = std::min(credit_, max_credit_);
  }

  void RecordCall() { credit_ = std::min(credit_ + percent_, max_credit_); }
  /// Charges a call that has the probability `share` of being made by a run
  /// that is itself a retry, so that the service gets it once more. It is not
  /// refused, but uses up credit of later retries.
  void ChargeNested(double share) {
    const auto cost = static_cast<int64_t>(share * kRetryCost);
    credit_ = std::max(credit_ - cost, -kMaxDebt);
  }
  /// Takes one retry out of the budget; false if the budget is exhausted. A
  /// retry of a request that may have run costs more, since the calls that its
  /// first run made are repeated too.
  bool TrySpend(RequestClass request_class, bool may_have_run = false) {
    const int64_t cost = may_have_run ? kRerunCost : kRetryCost;
    const bool bulk = request_class == RequestClass::kBulk;
    const int64_t reserved = bulk ? (max_credit_ - kRetryCost) / 2 : 0;
    if (credit_ < reserved + cost) return false;
    credit_ -= cost;
    return true;
  }

 private:
  static constexpr int64_t kRetryCost = 100;
  static constexpr int64_t kRerunCost = 150;
  /// Largest debt, so that retries are possible again soon after many nested
  /// calls.
  static constexpr int64_t kMaxDebt = 20 * kRetryCost;

  uint32_t percent_;
  int64_t max_credit_ = 0;
  int64_t credit_;
};

}  // namespace buckthorncart
