#pragma once
/// \file
/// Policy class with the safety rules of the configuration plug-ins.

#include <concepts>

namespace buckthorncart {

/// Production code enables every rule. Tests disable one at a time to verify
/// that the check of a guarantee fails without the rule that enforces it.
template <typename R>
concept ConfigurationRules = requires {
  { R::kRejectOlderVersions } -> std::convertible_to<bool>;
  { R::kVerifyDigest } -> std::convertible_to<bool>;
  { R::kValidateResult } -> std::convertible_to<bool>;
  { R::kWaitForFloor } -> std::convertible_to<bool>;
  { R::kPollHead } -> std::convertible_to<bool>;
  { R::kAwaitAllPeerReports } -> std::convertible_to<bool>;
  { R::kIgnoreStaleReplies } -> std::convertible_to<bool>;
  { R::kNotifyWitnesses } -> std::convertible_to<bool>;
  { R::kRetryOtherPeer } -> std::convertible_to<bool>;
  { R::kFallBackToChangeRows } -> std::convertible_to<bool>;
};

struct StandardConfigurationRules {
  /// A version that is not newer than the held one is never applied.
  static constexpr bool kRejectOlderVersions = true;
  /// A version is held back if its digest differs from the accepted one.
  static constexpr bool kVerifyDigest = true;
  /// A version is held back if it contains a dangling reference.
  static constexpr bool kValidateResult = true;
  /// Nothing is served until the version floor is known.
  static constexpr bool kWaitForFloor = true;
  /// `head` is polled to find changes that no peer has propagated.
  static constexpr bool kPollHead = true;
  /// While the platform is unavailable, the floor is not set before every
  /// reachable peer has reported or timed out; the first report is not enough.
  static constexpr bool kAwaitAllPeerReports = true;
  /// Replies to queries sent before a freeze do not set the floor.
  static constexpr bool kIgnoreStaleReplies = true;
  /// Witness peers are notified of each applied version, so that they can
  /// report it to a daemon that restarts at the same address.
  static constexpr bool kNotifyWitnesses = true;
  /// After an invalid or missing reply, another peer is asked.
  static constexpr bool kRetryOtherPeer = true;
  /// If the snapshot object is missing or invalid, rows of changes are read
  /// instead.
  static constexpr bool kFallBackToChangeRows = true;
};

}  // namespace buckthorncart
