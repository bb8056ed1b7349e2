#pragma once
/// \file
/// Circuit breaker that refuses claims immediately while the platform fails.

#include "Base/time.h"

namespace buckthorncart {

/// Opens after a failure. While open, it allows one request at a time as a
/// probe, a probe interval after the last failure, until one succeeds.
class ClaimCircuitBreaker {
 public:
  /// Returns true if a claim may be sent now; that claim is the probe when the
  /// circuit is open.
  bool Allow(Time now) {
    if (!open_) return true;
    if (probing_ || now < next_probe_) return false;
    probing_ = true;
    return true;
  }
  void RecordFailure(Time now) {
    next_probe_ = now + kProbeInterval;
    open_ = true;
    probing_ = false;
  }
  void RecordSuccess() {
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
