#pragma once
/// \file
/// Policy class with the safety rules for accepting changes.

#include <concepts>

namespace buckthorncart {

/// Production code enables every rule. Tests disable one at a time to verify
/// that the check of a guarantee fails without the rule that enforces it.
template <typename R>
concept AcceptanceRules = requires {
  { R::kConditionOnHead } -> std::convertible_to<bool>;
  { R::kResolveLostReplies } -> std::convertible_to<bool>;
  { R::kRejectConflicts } -> std::convertible_to<bool>;
  { R::kReportInvalidatingChange } -> std::convertible_to<bool>;
  { R::kResendToOtherMembers } -> std::convertible_to<bool>;
  { R::kRequireReady } -> std::convertible_to<bool>;
  { R::kValidateResult } -> std::convertible_to<bool>;
};

struct StandardAcceptanceRules {
  /// A change commits only if `head` is still the version that it was built on.
  static constexpr bool kConditionOnHead = true;
  /// When the platform's reply is lost, the outcome is determined before the
  /// operator gets an answer.
  static constexpr bool kResolveLostReplies = true;
  /// Editing an object that has changed since the base version is a conflict.
  static constexpr bool kRejectConflicts = true;
  /// Edits that a newer change made invalid are reported as a conflict with
  /// that change.
  static constexpr bool kReportInvalidatingChange = true;
  /// An accepted change is sent to other members if a relay doesn't respond.
  static constexpr bool kResendToOtherMembers = true;
  /// No change is accepted before the daemon has reached its version floor.
  static constexpr bool kRequireReady = true;
  /// The resulting configuration is validated as a whole before a change is
  /// accepted.
  static constexpr bool kValidateResult = true;
};

}  // namespace buckthorncart
