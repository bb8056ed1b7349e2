#pragma once
/// \file
/// Compile-time rules of the quota.

#include <concepts>

namespace buckthorncart {

/// Policy type of the quota. Only tests disable a rule, to verify that the
/// check for the failure the rule prevents does fail without it.
template <typename P>
concept QuotaPolicy = requires {
  { P::kEnforces } -> std::convertible_to<bool>;
  { P::kEndsLeases } -> std::convertible_to<bool>;
  { P::kWaitsForLeaseEnd } -> std::convertible_to<bool>;
  { P::kExpiresTokens } -> std::convertible_to<bool>;
  { P::kClampsBuckets } -> std::convertible_to<bool>;
  { P::kWaitsAfterGain } -> std::convertible_to<bool>;
  { P::kEndsOwnership } -> std::convertible_to<bool>;
};

struct StandardQuotaPolicy {
  /// Calls beyond the limit are refused.
  static constexpr bool kEnforces = true;
  /// A granter ends a lease by its own clock.
  static constexpr bool kEndsLeases = true;
  /// An owner leases a share to another granter only when every earlier lease
  /// of it has ended.
  static constexpr bool kWaitsForLeaseEnd = true;
  /// Tokens that have been handed out expire.
  static constexpr bool kExpiresTokens = true;
  /// A bucket holds no more than the present limit and shares allow.
  static constexpr bool kClampsBuckets = true;
  /// A share that has been gained is used only when the leases of its earlier
  /// owner have ended.
  static constexpr bool kWaitsAfterGain = true;
  /// An owner that has not been confirmed for long has no share any more.
  static constexpr bool kEndsOwnership = true;
};

}  // namespace buckthorncart
