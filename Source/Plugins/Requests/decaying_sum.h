#pragma once
/// \file
/// Sum with exponential decay.

#include <cmath>

#include "Base/time.h"

namespace buckthorncart {

/// Sum of the added values, each of which decays exponentially with the same
/// time constant.
class DecayingSum {
 public:
  explicit DecayingSum(Duration time_constant)
      : time_constant_(time_constant) {}

  void Add(double value, Time now) {
    value_ = Get(now) + value;
    updated_at_ = now;
  }
  double Get(Time now) const {
    const auto age = static_cast<double>((now - updated_at_).count());
    return value_ *
           std::exp(-age / static_cast<double>(time_constant_.count()));
  }
  Duration TimeConstant() const { return time_constant_; }

 private:
  Duration time_constant_;
  double value_ = 0;
  Time updated_at_{};
};

}  // namespace buckthorncart
