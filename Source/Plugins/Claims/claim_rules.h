#pragma once
/// \file
/// Safety rules of the claims plug-in, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do: a check of a promise
/// must fail without the rule that keeps it.
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
  /// A claim row is inserted on condition that there is none.
  static constexpr bool kInsertOnlyIfAbsent = true;
  /// After a lost answer nothing runs before a second transaction has told
  /// what the row holds.
  static constexpr bool kSettleLostAnswers = true;
  /// A claim is taken over only when its claimant promises that it has not
  /// run the request and never will.
  static constexpr bool kTakeOverOnlyIfNeverRan = true;
  /// A claim granted after the caller's deadline is released, not run.
  static constexpr bool kCheckDeadline = true;
  /// While the platform fails, all claims but one at a time are refused at
  /// once.
  static constexpr bool kShortCircuit = true;
  /// A key that comes back with another request is refused.
  static constexpr bool kCompareRequests = true;
  /// A call that was said never to run does not run when it arrives late.
  static constexpr bool kRefuseCallsReportedNotRun = true;
  /// A leaving daemon exits after it has recorded its outcomes.
  static constexpr bool kRecordBeforeExit = true;
};

}  // namespace buckthorncart
