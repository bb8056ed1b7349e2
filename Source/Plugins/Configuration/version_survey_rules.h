#pragma once
/// \file
/// Rules of the version survey, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do.
template <typename R>
concept VersionSurveyRules = requires {
  { R::kCountGoneDaemons } -> std::convertible_to<bool>;
  { R::kPaceProbes } -> std::convertible_to<bool>;
};

struct StandardVersionSurveyRules {
  /// A daemon taken as gone may be cut off and still serve: it counts as one
  /// that does not hold the version.
  static constexpr bool kCountGoneDaemons = true;
  /// Probes go out a few at a time.
  static constexpr bool kPaceProbes = true;
};

}  // namespace buckthorncart
