#pragma once
/// \file
/// Safety rules of the acceptance of changes, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do: a check of a promise
/// must fail without the rule that keeps it.
template <typename R>
concept AcceptanceRules = requires {
  { R::kConditionOnHead } -> std::convertible_to<bool>;
  { R::kSettleLostAnswers } -> std::convertible_to<bool>;
  { R::kRefuseConflicts } -> std::convertible_to<bool>;
  { R::kNameInvalidating } -> std::convertible_to<bool>;
  { R::kResendToHolders } -> std::convertible_to<bool>;
  { R::kWaitUntilReady } -> std::convertible_to<bool>;
  { R::kValidateWhole } -> std::convertible_to<bool>;
};

struct StandardAcceptanceRules {
  /// A change is accepted only on top of the version that it was built on.
  static constexpr bool kConditionOnHead = true;
  /// A lost answer of the platform is settled before the operator is told.
  static constexpr bool kSettleLostAnswers = true;
  /// An edit of an object that has changed since the base is a conflict.
  static constexpr bool kRefuseConflicts = true;
  /// Edits that another change has made invalid are a conflict with it.
  static constexpr bool kNameInvalidating = true;
  /// Other members are asked to hold an accepted change when a relay is
  /// silent.
  static constexpr bool kResendToHolders = true;
  /// Nothing is accepted while the daemon does not know its floor.
  static constexpr bool kWaitUntilReady = true;
  /// The whole that results is validated before it is accepted.
  static constexpr bool kValidateWhole = true;
};

}  // namespace buckthorncart
