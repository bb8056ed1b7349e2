#pragma once
/// \file
/// Delay after which a refused caller may retry.

#include <algorithm>

#include "Base/error.h"
#include "Base/time.h"

namespace buckthorncart {

/// Circumstances of the refusal of a call.
struct Refusal {
  Errc reason = Errc::kOk;
  /// Expected queueing time for a slot.
  Duration wait{};
  /// Queueing time that the call could have tolerated.
  Duration slack{};
  /// Time left to the caller's deadline.
  Duration remaining{};
};

/// Delay after which the call would be accepted if nothing else changed: when
/// slots are short, the part of the wait that exceeds the slack; otherwise the
/// usual duration of a change of state. `jitter`, from 0 to 1, adds up to half
/// of that, so that callers do not retry all at once. The delay is at most a
/// third of the remaining time or 50 ms, whichever is longer.
inline Duration RetryAfter(const Refusal& refusal, double jitter) {
  constexpr Duration kMinDelay = 50ms;
  constexpr Duration kStateChangeTime = 300ms;
  constexpr int kRemainingDivisor = 3;
  const bool overloaded = refusal.reason == Errc::kOverloaded ||
                          refusal.reason == Errc::kDeadlineExpired;
  const Duration base = overloaded
                            ? std::max(refusal.wait - refusal.slack, kMinDelay)
                            : kStateChangeTime;
  const Duration max_delay =
      std::max(refusal.remaining / kRemainingDivisor, kMinDelay);
  const auto jitter_us =
      static_cast<int64_t>(jitter * static_cast<double>(base.count()) / 2);
  return std::min(base + Duration(jitter_us), max_delay);
}

}  // namespace buckthorncart
