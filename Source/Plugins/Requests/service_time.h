#pragma once
/// \file
/// Expected time of a request.

#include "Base/time.h"

namespace buckthorncart {

/// Moving average of observed times. It fades without observations, so that a
/// backend server that was slow is tried again.
class ServiceTime {
 public:
  void Record(Duration observed, Time now) {
    const Duration expected = Expected(now);
    average_ = expected + (observed - expected) / kWeight;
    if (expected == Duration::zero()) average_ = observed;
    at_ = now;
  }
  /// Notes a request that was given up after `elapsed`.
  void RecordLowerBound(Duration elapsed, Time now) {
    if (elapsed > Expected(now)) Record(elapsed, now);
  }
  /// Zero while nothing is known.
  Duration Expected(Time now) const {
    return Duration(average_.count() * kHalfLife.count() /
                    (kHalfLife + (now - at_)).count());
  }

 private:
  /// An observation counts as one part in so many.
  static constexpr int kWeight = 8;
  static constexpr Duration kHalfLife = 2s;

  Duration average_{};
  Time at_{};
};

}  // namespace buckthorncart
