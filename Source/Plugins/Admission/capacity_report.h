#pragma once
/// \file
/// Decides when what was learned about a backend server is reported.

#include <cstdint>
#include <cstdlib>

#include "Base/time.h"

namespace buckthorncart {

/// Values that the member record reports.
struct LearnedCapacity {
  uint32_t capacity = 0;
  uint32_t pace_per_mille = 0;
};

/// Limits changes of the member record to real ones, and to one in two seconds,
/// so that membership traffic stays flat. Smaller changes wait longer.
class CapacityReport {
 public:
  /// Returns true if `learned` is to be reported now, and takes it as reported.
  bool ShouldReport(const LearnedCapacity& learned, Time now) {
    const Duration age = has_reported_ ? now - reported_at_ : kSmallInterval;
    if (age < kInterval) return false;
    const int64_t divisor =
        age < kSmallInterval ? kChangeDivisor : kSmallChangeDivisor;
    const bool changed =
        IsChange(learned.capacity, reported_.capacity, divisor) ||
        IsChange(learned.pace_per_mille, reported_.pace_per_mille, divisor);
    if (!changed) return false;
    reported_ = learned;
    reported_at_ = now;
    has_reported_ = true;
    return true;
  }

 private:
  /// Least time between reports, and that for small changes.
  static constexpr Duration kInterval = 2s;
  static constexpr Duration kSmallInterval = 10s;
  /// A change must exceed the reported value divided by this.
  static constexpr int64_t kChangeDivisor = 4;
  static constexpr int64_t kSmallChangeDivisor = 12;

  static bool IsChange(int64_t now, int64_t reported, int64_t divisor) {
    return std::abs(now - reported) * divisor > reported;
  }

  LearnedCapacity reported_;
  Time reported_at_{};
  bool has_reported_ = false;
};

}  // namespace buckthorncart
