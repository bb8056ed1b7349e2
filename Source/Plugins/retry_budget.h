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
  explicit RetryBudget(uint32_t percent) : percent_(percent) {}

  void NoteCall() { credit_ = std::min(credit_ + percent_, kMaxCredit); }
  /// Takes one retry out of the budget; false when it is spent.
  bool Spend(RequestClass request_class) {
    const bool bulk = request_class == RequestClass::kBulk;
    const uint32_t kept = bulk ? kMaxCredit / 2 : 0;
    if (credit_ < kept + kRetryCost) return false;
    credit_ -= kRetryCost;
    return true;
  }

 private:
  static constexpr uint32_t kRetryCost = 100;
  /// Retries that a quiet period can save up.
  static constexpr uint32_t kMaxCredit = 10 * kRetryCost;

  uint32_t percent_;
  uint32_t credit_ = kMaxCredit;
};

}  // namespace buckthorncart
