#pragma once
/// \file
/// Expected service time of a request.

#include "Base/time.h"

namespace buckthorncart {

/// Exponential moving average of observed service times. It decays while there
/// are no observations, so that a backend server that was slow is tried again.
class ServiceTime {
 public:
  void Record(Duration observed, Time now) {
    const Duration expected = Expected(now);
    average_ = expected + (observed - expected) / kSmoothing;
    if (expected == Duration::zero()) average_ = observed;
    updated_at_ = now;
  }
  /// Records a request that was abandoned after `elapsed`, which its service
  /// time exceeds.
  void RecordLowerBound(Duration elapsed, Time now) {
    if (elapsed > Expected(now)) Record(elapsed, now);
  }
  /// Zero until the first observation.
  Duration Expected(Time now) const {
    return Duration(average_.count() * kHalfLife.count() /
                    (kHalfLife + (now - updated_at_)).count());
  }

 private:
  /// An observation has the weight 1 / kSmoothing.
  static constexpr int kSmoothing = 8;
  /// The average is halved after this time without observations.
  static constexpr Duration kHalfLife = 2s;

  Duration average_{};
  Time updated_at_{};
};

}  // namespace buckthorncart
