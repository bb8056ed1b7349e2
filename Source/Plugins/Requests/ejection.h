#pragma once
/// \file
/// Leaves out backend servers that fail.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Tells for one backend server whether it is left out. The time doubles with
/// each failure in a row and ends with the first answer.
class Ejection {
 public:
  void NoteAnswer() { *this = {}; }

  /// Returns true when the failure begins a new ejection.
  bool NoteFailure(Time now) {
    const bool was_ejected = IsEjected(now);
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    until_ = now + kFirstEjection * (1U << failures_);
    return !was_ejected;
  }
  bool IsEjected(Time now) const { return now < until_; }

 private:
  static constexpr Duration kFirstEjection = 100ms;
  static constexpr uint32_t kMaxDoublings = 7;

  uint32_t failures_ = 0;
  Time until_{};
};

}  // namespace buckthorncart
