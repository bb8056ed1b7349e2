#pragma once
/// \file
/// Division of the limits of workspaces, and the bound that follows from it.
///
/// Each limit consists of `kShareCount` equal shares. A share is in one place
/// at a time, where it fills a bucket. If all buckets are full at the beginning
/// of a window, and tokens are used up to `kTokenLifetime` after they have left
/// a bucket, at most depth + rate x (window + `kTokenLifetime`) requests run in
/// the window, wherever the shares have been. `LimitOf` chooses depth and rate
/// so that this is the bound.

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "Base/digest.h"
#include "Base/time.h"
#include "Config/workspace.h"
#include "Kernel/kernel_settings.h"

namespace buckthorncart {

inline constexpr uint32_t kShareCount = 32;
/// Workspaces of a group have the same granter.
inline constexpr uint32_t kQuotaGroups = 16;
/// Time from the request for tokens until they expire.
inline constexpr Duration kTokenLifetime = 300ms;
/// Most tokens that are asked for at once.
inline constexpr uint32_t kMaxTokens = 1'000;
/// Length of a lease: at its owner from when it was sent, at the granter from
/// when it issued the reply that the lease echoes. The difference covers the
/// drift of the clocks.
inline constexpr Duration kLeaseAtOwner = 900ms;
inline constexpr Duration kLeaseAtGranter = 870ms;

/// Bucket for all shares of a limit.
struct BucketLimit {
  double rate_per_s = 0;
  /// Most tokens.
  double depth = 0;

  bool operator==(const BucketLimit&) const = default;
};

/// Returns the bucket for `workspace`. What the tolerated excess leaves beside
/// the lifetime of tokens goes into the depth.
inline BucketLimit LimitOf(const KernelSettings& settings,
                           const Workspace& workspace) {
  /// Part of the slack for the drift of clocks and the rounding of tokens.
  constexpr double kUsedSlack = 0.9;
  constexpr double kPerMille = 1'000.0;
  const double tolerance = 1.0 + settings.quota_overage_per_mille / kPerMille;
  const double window_s = settings.quota_window_ms / 1'000.0;
  const double filled_s =
      window_s + std::chrono::duration<double>(kTokenLifetime).count();
  const double rate_per_s =
      static_cast<double>(workspace.rate_per_1000_s) / kPerMille;
  const double allowed = rate_per_s * window_s * tolerance;
  BucketLimit limit;
  limit.rate_per_s = std::min(rate_per_s, allowed / filled_s);
  limit.depth = allowed - limit.rate_per_s * filled_s +
                workspace.burst * tolerance + settings.quota_slack * kUsedSlack;
  return limit;
}

inline bool HasLimit(const Workspace& workspace) {
  return workspace.rate_per_1000_s > 0;
}

inline uint32_t GroupOf(std::string_view workspace) {
  return static_cast<uint32_t>(DigestOf(workspace) % kQuotaGroups);
}

}  // namespace buckthorncart
