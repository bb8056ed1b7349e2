#pragma once
/// \file
/// Recent share of answers that were failures.

#include "Base/time.h"

namespace buckthorncart {

/// Exponential moving average of failures, from 0 to 1. It decays while there
/// are no observations, so that a backend server that failed is tried again.
class FailureRate {
 public:
  void Record(bool failed, Time now) {
    const double rate = Get(now);
    rate_ = rate + ((failed ? 1.0 : 0.0) - rate) / kSmoothing;
    updated_at_ = now;
  }
  double Get(Time now) const {
    const auto age = static_cast<double>((now - updated_at_).count());
    const auto half_life = static_cast<double>(kHalfLife.count());
    return rate_ * half_life / (half_life + age);
  }

 private:
  /// An observation has the weight 1 / kSmoothing.
  static constexpr double kSmoothing = 8.0;
  /// The average is halved after this time without observations.
  static constexpr Duration kHalfLife = 2s;

  double rate_ = 0;
  Time updated_at_{};
};

}  // namespace buckthorncart
