#pragma once
/// \file
/// Safety rules of the claims plug-in, as a policy.

#include <concepts>

namespace buckthorncart {

/// Only tests switch rules off, to verify that the check of a guarantee fails
/// without the rule that ensures it.
template <typename R>
concept ClaimRules = requires {
  { R::kInsertOnlyIfAbsent } -> std::convertible_to<bool>;
  { R::kSettleLostAnswers } -> std::convertible_to<bool>;
  { R::kTakeOverOnlyIfNeverRan } -> std::convertible_to<bool>;
  { R::kCheckDeadline } -> std::convertible_to<bool>;
  { R::kShortCircuit } -> std::convertible_to<bool>;
  { R::kCompareRequests } -> std::convertible_to<bool>;
  { R::kRefuseCallsReportedNotRun } -> std::convertible_to<bool>;
  { R::kRecordBeforeExit } -> std::convertible_to<bool>;
};

struct StandardClaimRules {
  /// A claim row is inserted on condition that the row does not exist.
  static constexpr bool kInsertOnlyIfAbsent = true;
  /// After the answer to a transaction was lost, the request does not run
  /// before a second transaction has determined what the row contains.
  static constexpr bool kSettleLostAnswers = true;
  /// A claim is taken over only when its claimant reports that it has not run
  /// the request and never will.
  static constexpr bool kTakeOverOnlyIfNeverRan = true;
  /// A claim granted after the caller's deadline is released, not run.
  static constexpr bool kCheckDeadline = true;
  /// While the platform fails, claims are refused immediately, except for one
  /// at a time.
  static constexpr bool kShortCircuit = true;
  /// A key that is reused with a different request is refused.
  static constexpr bool kCompareRequests = true;
  /// A call that was reported as never run does not run when it arrives late.
  static constexpr bool kRefuseCallsReportedNotRun = true;
  /// A draining daemon exits only after it has recorded its outcomes.
  static constexpr bool kRecordBeforeExit = true;
};

}  // namespace buckthorncart
