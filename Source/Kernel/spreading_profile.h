#pragma once
/// \file
/// Documented sets of settings; see docs/design/spreading.md.

#include <cstdint>
#include <string_view>

#include "Base/enum_names.h"
#include "Kernel/kernel_settings.h"

namespace buckthorncart {

/// Optimisation goal of the dissemination of versions.
enum class SpreadingProfile : uint8_t {
  /// The defaults of all settings.
  kBalanced,
  /// Shortest time until a version is in force everywhere, also when daemons
  /// have just failed.
  kConvergeFast,
  /// Fewest control bytes.
  kSaveBytes,
};

template <>
struct EnumNames<SpreadingProfile> {
  static constexpr std::string_view kNames[] = {"balanced", "converge-fast",
                                                "save-bytes"};
};

/// Sets the fields that `profile` covers; all others stay unchanged.
inline void ApplyProfile(SpreadingProfile profile, KernelSettings& settings) {
  switch (profile) {
    case SpreadingProfile::kBalanced:
      break;
    case SpreadingProfile::kConvergeFast:
      settings.spreading = Spreading::kPush;
      settings.spreading_fanout = 8;
      settings.probe_period_ms = 500;
      settings.head_read_interval_ms = 1'000;
      break;
    case SpreadingProfile::kSaveBytes:
      settings.spreading = Spreading::kPush;
      settings.spreading_fanout = 3;
      settings.probe_period_ms = 2'000;
      settings.suspicion_ms = 8'000;
      settings.head_read_interval_ms = 4'000;
      break;
  }
}

}  // namespace buckthorncart
