#pragma once
/// \file
/// Bounds retries to a share of the traffic.

#include <algorithm>
#include <cstdint>

#include "Config/objects.h"

namespace buckthorncart {

/// Every call earns a share of a retry; a retry spends a whole one. Retries of
/// bulk calls leave half of what can be saved to interactive ones.
class RetryBudget {
 public:
  /// `reserve` counts the retries that a quiet period can save up.
  RetryBudget(uint32_t percent, uint32_t reserve)
      : percent_(percent),
        max_credit_(reserve * kRetryCost),
        credit_(max_credit_) {}

  void NoteCall() { credit_ = std::min(credit_ + percent_, max_credit_); }
  /// Takes one retry out of the budget; false when it is spent.
  bool Spend(RequestClass request_class) {
    const bool bulk = request_class == RequestClass::kBulk;
    const uint32_t kept = bulk ? max_credit_ / 2 : 0;
    if (credit_ < kept + kRetryCost) return false;
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
