#pragma once
/// \file
/// Compile-time rules of the membership plug-in.

#include <concepts>

namespace buckthorncart {

/// Policy type of `Membership`. Only tests disable a rule, to verify that the
/// check for the failure the rule prevents does fail without it.
template <typename R>
concept MembershipRules = requires {
  { R::kDiscountLocalPause } -> std::convertible_to<bool>;
  { R::kNotifySuspected } -> std::convertible_to<bool>;
  { R::kCompareTables } -> std::convertible_to<bool>;
  { R::kExpireLeaving } -> std::convertible_to<bool>;
  { R::kRemoveGone } -> std::convertible_to<bool>;
};

struct StandardMembershipRules {
  /// A daemon whose own event loop was blocked does not count that time against
  /// other members.
  static constexpr bool kDiscountLocalPause = true;
  /// A reachable peer whose status is not `alive` receives its own record with
  /// the next probe or acknowledgement sent to it, so that it can refute the
  /// record.
  static constexpr bool kNotifySuspected = true;
  /// Member tables are compared by digest, and differing records are pulled.
  static constexpr bool kCompareTables = true;
  /// A leaving member that stops answering probes is marked as gone.
  static constexpr bool kExpireLeaving = true;
  /// Members are removed, with their announcements, when they have been gone
  /// for the retention time.
  static constexpr bool kRemoveGone = true;
};

}  // namespace buckthorncart
