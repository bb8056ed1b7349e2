#pragma once
/// \file
/// Rules of admission and receiving, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do: a check of a promise
/// must fail without the rule that keeps it.
template <typename R>
concept RequestRules = requires {
  { R::kCheckServiceTime } -> std::convertible_to<bool>;
  { R::kSeparateClasses } -> std::convertible_to<bool>;
  { R::kShareWithBulk } -> std::convertible_to<bool>;
  { R::kCancelExpired } -> std::convertible_to<bool>;
  { R::kTreatShedAsNotRun } -> std::convertible_to<bool>;
  { R::kBoundRetries } -> std::convertible_to<bool>;
  { R::kRememberAttempts } -> std::convertible_to<bool>;
  { R::kDropRefusing } -> std::convertible_to<bool>;
  { R::kSlowStart } -> std::convertible_to<bool>;
  { R::kReserveSlots } -> std::convertible_to<bool>;
  { R::kCheckPartOrder } -> std::convertible_to<bool>;
};

struct StandardRequestRules {
  /// A call whose remaining time is below the expected time is not attempted.
  static constexpr bool kCheckServiceTime = true;
  /// Interactive calls start before bulk ones and evict them from a full
  /// queue.
  static constexpr bool kSeparateClasses = true;
  /// Bulk calls keep a small share of the starts.
  static constexpr bool kShareWithBulk = true;
  /// A repeatable run is cancelled at its deadline.
  static constexpr bool kCancelExpired = true;
  /// A request that the backend server shed is refused as not run.
  static constexpr bool kTreatShedAsNotRun = true;
  /// Retries are bounded to a share of the traffic.
  static constexpr bool kBoundRetries = true;
  /// `not-run` is only said when no earlier attempt may have run.
  static constexpr bool kRememberAttempts = true;
  /// A daemon that drains or is not ready is left out until its record
  /// changes.
  static constexpr bool kDropRefusing = true;
  /// A backend server that has just become ready gets less work.
  static constexpr bool kSlowStart = true;
  /// Work that is long or not urgent leaves some slots free for other work.
  static constexpr bool kReserveSlots = true;
  /// Parts of an answer that are doubled are dropped; a gap breaks it.
  static constexpr bool kCheckPartOrder = true;
};

}  // namespace buckthorncart
