#pragma once
/// \file
/// Keys of the rows of roll-outs.

#include <string>
#include <string_view>

namespace buckthorncart {

/// Holds a `RolloutLead`.
inline constexpr std::string_view kRolloutLeadRow = "rollout/lead";
/// Rows with a `RolloutOrder`, written by operators.
inline constexpr std::string_view kRolloutOrderPrefix = "op/rollout/";
/// Rows with a `Rollout`, written by the decider.
inline constexpr std::string_view kRolloutStatusPrefix = "status/rollout/";

inline std::string RolloutOrderKey(std::string_view service) {
  return std::string(kRolloutOrderPrefix) + std::string(service);
}
inline std::string RolloutStatusKey(std::string_view service) {
  return std::string(kRolloutStatusPrefix) + std::string(service);
}

}  // namespace buckthorncart
