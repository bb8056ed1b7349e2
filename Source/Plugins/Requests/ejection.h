#pragma once
/// \file
/// Temporary ejection of backend servers that fail.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Ejection state of one backend server. The duration doubles with each
/// consecutive failure, up to a limit; an answer ends the ejection.
class Ejection {
 public:
  void RecordAnswer() { *this = {}; }

  /// Returns true if the failure starts a new ejection.
  bool RecordFailure(Time now) {
    const bool was_ejected = IsEjected(now);
    consecutive_failures_ = std::min(consecutive_failures_ + 1, kMaxDoublings);
    ejected_until_ = now + kBaseEjection * (1U << consecutive_failures_);
    return !was_ejected;
  }
  bool IsEjected(Time now) const { return now < ejected_until_; }

 private:
  /// The nth consecutive failure ejects for kBaseEjection * 2^n.
  static constexpr Duration kBaseEjection = 100ms;
  static constexpr uint32_t kMaxDoublings = 7;

  uint32_t consecutive_failures_ = 0;
  Time ejected_until_{};
};

}  // namespace buckthorncart
