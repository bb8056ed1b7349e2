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
  RetryBudget(uint32_t percent, uint32_t reserve)
      : percent_(percent),
        max_credit_(reserve * kRetryCost),
        credit_(max_credit_) {}

  void RecordCall() { credit_ = std::min(credit_ + percent_, max_credit_); }
  /// Takes one retry out of the budget; false if the budget is exhausted.
  bool TrySpend(RequestClass request_class) {
    const bool bulk = request_class == RequestClass::kBulk;
    const uint32_t reserved = bulk ? max_credit_ / 2 : 0;
    if (credit_ < reserved + kRetryCost) return false;
    credit_ -= kRetryCost;
    return true;
  }

 private:
  static constexpr uint32_t kRetryCost = 100;

  uint32_t percent_;
  uint32_t max_credit_;
  uint32_t credit_;
};

}  // namespace buckthorncart
