#pragma once
/// \file
/// Policy class with the rules of admission and call routing.

#include <concepts>

namespace buckthorncart {

/// Only tests switch rules off: the check of a guarantee must fail without the
/// rule that provides it.
template <typename R>
concept RequestRules = requires {
  { R::kCheckServiceTime } -> std::convertible_to<bool>;
  { R::kSeparateClasses } -> std::convertible_to<bool>;
  { R::kShareWithBulk } -> std::convertible_to<bool>;
  { R::kCancelExpired } -> std::convertible_to<bool>;
  { R::kTreatShedAsNotRun } -> std::convertible_to<bool>;
  { R::kBoundRetries } -> std::convertible_to<bool>;
  { R::kTrackPossibleRuns } -> std::convertible_to<bool>;
  { R::kExcludeUnavailable } -> std::convertible_to<bool>;
  { R::kSlowStart } -> std::convertible_to<bool>;
  { R::kReserveSlots } -> std::convertible_to<bool>;
  { R::kCheckPartOrder } -> std::convertible_to<bool>;
  { R::kWithholdBodies } -> std::convertible_to<bool>;
  { R::kChargeNestedRetries } -> std::convertible_to<bool>;
};

struct StandardRequestRules {
  /// A call is not attempted if its remaining time is below the expected
  /// service time.
  static constexpr bool kCheckServiceTime = true;
  /// Interactive calls start before bulk ones and evict them from a full
  /// queue.
  static constexpr bool kSeparateClasses = true;
  /// A small share of the starts is reserved for bulk calls.
  static constexpr bool kShareWithBulk = true;
  /// A run of a repeatable request is cancelled at its deadline.
  static constexpr bool kCancelExpired = true;
  /// A request that the backend server shed is refused with the outcome
  /// `not-run`.
  static constexpr bool kTreatShedAsNotRun = true;
  /// Retries are limited to a share of the traffic.
  static constexpr bool kBoundRetries = true;
  /// The outcome `not-run` is reported only if no earlier attempt may have run.
  static constexpr bool kTrackPossibleRuns = true;
  /// A daemon that refused a call because its backend server is unavailable
  /// (draining, not ready or absent) gets no calls until its member record
  /// changes.
  static constexpr bool kExcludeUnavailable = true;
  /// A backend server that has just become ready gets fewer calls.
  static constexpr bool kSlowStart = true;
  /// Calls that are long or not urgent leave some slots free for other calls.
  static constexpr bool kReserveSlots = true;
  /// Duplicate parts of an answer are dropped; a missing part breaks the
  /// answer.
  static constexpr bool kCheckPartOrder = true;
  /// Large bodies are sent to another daemon only when it asks for them.
  static constexpr bool kWithholdBodies = true;
  /// Calls that retried runs make are charged to the retry budget of the
  /// service that is called.
  static constexpr bool kChargeNestedRetries = true;
};

}  // namespace buckthorncart
