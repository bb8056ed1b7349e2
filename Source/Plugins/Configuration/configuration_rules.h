#pragma once
/// \file
/// Safety rules of the configuration plug-in, as a policy.

#include <concepts>

namespace buckthorncart {

/// Each rule can be switched off, which only tests do: a check of a promise
/// must fail without the rule that keeps it.
template <typename R>
concept ConfigurationRules = requires {
  { R::kRefuseOlder } -> std::convertible_to<bool>;
  { R::kVerifyDigest } -> std::convertible_to<bool>;
  { R::kValidateWhole } -> std::convertible_to<bool>;
  { R::kWaitForFloor } -> std::convertible_to<bool>;
  { R::kReadHead } -> std::convertible_to<bool>;
  { R::kFloorOfAllPeers } -> std::convertible_to<bool>;
  { R::kFreshFloorOnly } -> std::convertible_to<bool>;
  { R::kTellWitnesses } -> std::convertible_to<bool>;
  { R::kAskAnotherPeer } -> std::convertible_to<bool>;
  { R::kFallBackToChanges } -> std::convertible_to<bool>;
};

struct StandardConfigurationRules {
  /// A version below the held one is never taken.
  static constexpr bool kRefuseOlder = true;
  /// A result whose digest differs from the accepted one is held back.
  static constexpr bool kVerifyDigest = true;
  /// A result with a dangling reference is held back.
  static constexpr bool kValidateWhole = true;
  /// Nothing is served until a floor of versions is known.
  static constexpr bool kWaitForFloor = true;
  /// Changes that no peer spreads are found on the platform.
  static constexpr bool kReadHead = true;
  /// With the platform down the floor waits for every peer that can report,
  /// not for the first one alone.
  static constexpr bool kFloorOfAllPeers = true;
  /// Answers to questions from before a freeze do not set the floor.
  static constexpr bool kFreshFloorOnly = true;
  /// Chosen peers are told of each version that is taken, so that they can
  /// tell a restarted daemon at the same address.
  static constexpr bool kTellWitnesses = true;
  /// After a bad or missing answer another peer is asked.
  static constexpr bool kAskAnotherPeer = true;
  /// A missing or bad snapshot object is replaced by the rows of changes.
  static constexpr bool kFallBackToChanges = true;
};

}  // namespace buckthorncart
