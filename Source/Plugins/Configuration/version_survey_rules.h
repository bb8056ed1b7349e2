#pragma once
/// \file
/// Policy class with the rules of the version survey.

#include <concepts>

namespace buckthorncart {

/// Production code enables every rule; only tests disable them.
template <typename R>
concept VersionSurveyRules = requires {
  { R::kCountGoneDaemons } -> std::convertible_to<bool>;
  { R::kPaceProbes } -> std::convertible_to<bool>;
};

struct StandardVersionSurveyRules {
  /// A daemon that membership considers gone may be partitioned and still
  /// serve, so it counts as a daemon that doesn't hold the version.
  static constexpr bool kCountGoneDaemons = true;
  /// Probes are sent in batches of limited size.
  static constexpr bool kPaceProbes = true;
};

}  // namespace buckthorncart
