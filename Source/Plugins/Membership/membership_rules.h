#pragma once
/// \file
/// Rules of the membership plug-in, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do: a check of the failure
/// that a rule is meant for must fail without it.
template <typename R>
concept MembershipRules = requires {
  { R::kForgivePause } -> std::convertible_to<bool>;
  { R::kTellAccused } -> std::convertible_to<bool>;
  { R::kCompareTables } -> std::convertible_to<bool>;
  { R::kExpireLeaving } -> std::convertible_to<bool>;
  { R::kForgetGone } -> std::convertible_to<bool>;
};

struct StandardMembershipRules {
  /// A daemon whose own loop was held up accuses nobody for that time.
  static constexpr bool kForgivePause = true;
  /// A peer in contact that is suspected or taken as gone is told at once.
  static constexpr bool kTellAccused = true;
  /// Tables are compared by digest and repaired where they differ.
  static constexpr bool kCompareTables = true;
  /// A leaving member that falls silent is taken as gone.
  static constexpr bool kExpireLeaving = true;
  /// Members gone for long are forgotten, with their announcements.
  static constexpr bool kForgetGone = true;
};

}  // namespace buckthorncart
