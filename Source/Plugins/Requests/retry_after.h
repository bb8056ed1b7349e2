#pragma once
/// \file
/// When a refused caller may return.

#include <algorithm>

#include "Base/error.h"
#include "Base/time.h"

namespace buckthorncart {

/// What is known when a call is refused.
struct Refusal {
  Errc reason = Errc::kOk;
  /// Expected wait for a slot.
  Duration wait{};
  /// Wait that the call could have afforded.
  Duration slack{};
  /// Time left to the caller's deadline.
  Duration remaining{};
};

/// Time after which the call would be taken if nothing else changed: the
/// excess of the wait where slots are short, or the usual time of a change of
/// state. `spread`, from 0 to 1, keeps callers from returning all at once.
inline Duration RetryAfter(const Refusal& refusal, double spread) {
  constexpr Duration kLeast = 50ms;
  constexpr Duration kStateChange = 300ms;
  constexpr int kShareOfRemaining = 3;
  const bool busy = refusal.reason == Errc::kOverloaded ||
                    refusal.reason == Errc::kDeadlineExpired;
  const Duration base =
      busy ? std::max(refusal.wait - refusal.slack, kLeast) : kStateChange;
  const Duration most = std::max(refusal.remaining / kShareOfRemaining, kLeast);
  const auto spread_us =
      static_cast<int64_t>(spread * static_cast<double>(base.count()) / 2);
  return std::min(base + Duration(spread_us), most);
}

}  // namespace buckthorncart
