#pragma once
/// \file
/// A sum that forgets.

#include <cmath>

#include "Base/time.h"

namespace buckthorncart {

/// Sum of what was added, where each part fades with the same time constant.
class DecayingSum {
 public:
  explicit DecayingSum(Duration time_constant) : tau_(time_constant) {}

  void Add(double value, Time now) {
    value_ = Get(now) + value;
    at_ = now;
  }
  double Get(Time now) const {
    const auto age = static_cast<double>((now - at_).count());
    return value_ * std::exp(-age / static_cast<double>(tau_.count()));
  }
  Duration TimeConstant() const { return tau_; }

 private:
  Duration tau_;
  double value_ = 0;
  Time at_{};
};

}  // namespace buckthorncart
