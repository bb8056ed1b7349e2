#pragma once
/// \file
/// Follows a backend server that takes fewer requests than it announced.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Bound on concurrent requests: falls to what was running when a request was
/// shed, grows by one with each answer. A backend server that sheds while
/// nothing runs is left alone for a time that doubles.
class ShedLimit {
 public:
  /// `running` does not count the request that was shed.
  void NoteShed(Time now, uint32_t running) {
    limited_ = true;
    limit_ = running;
    if (running > 0) return;
    paused_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, kMaxPause);
  }
  void NoteAnswer(uint32_t announced) {
    pause_ = kFirstPause;
    if (!limited_) return;
    ++limit_;
    limited_ = limit_ < announced;
  }
  /// Requests that may run at once; 0 during a pause.
  uint32_t SlotsAt(Time now, uint32_t announced) const {
    if (now < paused_until_) return 0;
    return limited_ ? std::clamp(limit_, 1U, std::max(announced, 1U))
                    : announced;
  }

 private:
  static constexpr Duration kFirstPause = 100ms;
  static constexpr Duration kMaxPause = 3'200ms;

  bool limited_ = false;
  uint32_t limit_ = 0;
  Time paused_until_{};
  Duration pause_ = kFirstPause;
};

}  // namespace buckthorncart
