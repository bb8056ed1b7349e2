#pragma once
/// \file
/// Leaves a backend server alone that takes no connections.

#include <algorithm>

#include "Base/time.h"

namespace buckthorncart {

/// Closed for a time that doubles with each failure in a row.
class ConnectGate {
 public:
  void NoteFailure(Time now) {
    closed_until_ = now + pause_;
    pause_ = std::min(pause_ * 2, kMaxPause);
  }
  void Open() {
    closed_until_ = {};
    pause_ = kFirstPause;
  }
  bool IsClosed(Time now) const { return now < closed_until_; }

 private:
  static constexpr Duration kFirstPause = 100ms;
  static constexpr Duration kMaxPause = 800ms;

  Time closed_until_{};
  Duration pause_ = kFirstPause;
};

}  // namespace buckthorncart
