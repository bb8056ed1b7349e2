#pragma once
/// \file
/// Back-off after failed connection attempts to the local backend server.

#include <algorithm>

#include "Base/time.h"

namespace buckthorncart {

/// Exponential back-off: each consecutive failure doubles the delay, up to a
/// maximum.
class ConnectBackoff {
 public:
  void RecordFailure(Time now) {
    active_until_ = now + delay_;
    delay_ = std::min(delay_ * 2, kMaxDelay);
  }
  void Reset() {
    active_until_ = {};
    delay_ = kInitialDelay;
  }
  bool IsActive(Time now) const { return now < active_until_; }

 private:
  static constexpr Duration kInitialDelay = 100ms;
  static constexpr Duration kMaxDelay = 800ms;

  Time active_until_{};
  Duration delay_ = kInitialDelay;
};

}  // namespace buckthorncart
