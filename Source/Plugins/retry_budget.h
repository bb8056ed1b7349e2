#pragma once
/// \file
/// Bounds retries to a share of the traffic.

#include <algorithm>
#include <cstdint>

namespace buckthorncart {

/// Every call earns a share of a retry; a retry spends a whole one.
class RetryBudget {
 public:
  explicit RetryBudget(uint32_t percent) : percent_(percent) {}

  void NoteCall() { credit_ = std::min(credit_ + percent_, kMaxCredit); }
  /// Takes one retry out of the budget; false when it is spent.
  bool Spend() {
    if (credit_ < kRetryCost) return false;
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
