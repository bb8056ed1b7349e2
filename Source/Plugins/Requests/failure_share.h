#pragma once
/// \file
/// Share of answers that were failures.

#include "Base/time.h"

namespace buckthorncart {

/// Moving average that fades without observations, so that a backend server
/// that failed is tried again.
class FailureShare {
 public:
  void Note(bool failed, Time now) {
    const double share = At(now);
    share_ = share + ((failed ? 1.0 : 0.0) - share) / kWeight;
    at_ = now;
  }
  double At(Time now) const {
    const auto age = static_cast<double>((now - at_).count());
    const auto half_life = static_cast<double>(kHalfLife.count());
    return share_ * half_life / (half_life + age);
  }

 private:
  /// An observation counts as one part in so many.
  static constexpr double kWeight = 8.0;
  static constexpr Duration kHalfLife = 2s;

  double share_ = 0;
  Time at_{};
};

}  // namespace buckthorncart
