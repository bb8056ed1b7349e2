#pragma once
/// \file
/// Adaptive limit for a backend server that accepts fewer concurrent requests
/// than it announced.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Bound on concurrent requests: drops to the number that was running when a
/// request was shed, and grows by one with each answer. If the backend server
/// sheds a request while no other is running, no requests are sent for a delay
/// that doubles each time, up to a maximum.
class ConcurrencyLimit {
 public:
  /// `running` excludes the request that was shed.
  void RecordShed(Time now, uint32_t running) {
    limited_ = true;
    limit_ = running;
    if (running > 0) return;
    paused_until_ = now + delay_;
    delay_ = std::min(delay_ * 2, kMaxDelay);
  }
  void RecordAnswer(uint32_t announced) {
    delay_ = kInitialDelay;
    if (!limited_) return;
    ++limit_;
    limited_ = limit_ < announced;
  }
  /// Number of requests that may run at once; 0 during a pause.
  uint32_t SlotsAt(Time now, uint32_t announced) const {
    if (now < paused_until_) return 0;
    return limited_ ? std::clamp(limit_, 1U, std::max(announced, 1U))
                    : announced;
  }

 private:
  static constexpr Duration kInitialDelay = 100ms;
  static constexpr Duration kMaxDelay = 3'200ms;

  bool limited_ = false;
  uint32_t limit_ = 0;
  Time paused_until_{};
  Duration delay_ = kInitialDelay;
};

}  // namespace buckthorncart
