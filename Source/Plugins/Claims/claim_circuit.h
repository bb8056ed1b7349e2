#pragma once
/// \file
/// Refuses claims at once while the platform fails.

#include "Base/time.h"

namespace buckthorncart {

/// A circuit breaker: opens after a failure, then lets one request at a time
/// through, a probe interval after the last failure, until one succeeds.
class ClaimCircuit {
 public:
  /// True if a claim may be sent now; counts as the probe when open.
  bool Allow(Time now) {
    if (!open_) return true;
    if (probing_ || now < next_probe_) return false;
    probing_ = true;
    return true;
  }
  void NoteFailure(Time now) {
    next_probe_ = now + kProbeInterval;
    open_ = true;
    probing_ = false;
  }
  void NoteSuccess() {
    open_ = false;
    probing_ = false;
  }
  bool IsOpen() const { return open_; }

 private:
  static constexpr Duration kProbeInterval = 500ms;

  bool open_ = false;
  bool probing_ = false;
  Time next_probe_{};
};

}  // namespace buckthorncart
