#pragma once
/// \file
/// Counts and windows of the report on the burn rate of service-level
/// objectives.

#include <array>
#include <cstdint>
#include <string_view>

#include "Base/enum_names.h"
#include "Base/time.h"

namespace buckthorncart {

/// Counts of the calls to one service in one window.
struct BurnCounts {
  /// Calls that reached a route and were not ended by their caller.
  uint64_t calls = 0;
  /// Calls whose outcome was `unknown` or `not-run`.
  uint64_t failures = 0;
  /// Calls that took longer than the latency objective.
  uint64_t slow = 0;

  void Add(const BurnCounts& other) {
    calls += other.calls;
    failures += other.failures;
    slow += other.slow;
  }
};

/// Windows of the report.
enum class BurnSpan : uint8_t { kFiveMinutes, kOneHour, kSixHours };

template <>
struct EnumNames<BurnSpan> {
  static constexpr std::string_view kNames[] = {"5m", "1h", "6h"};
};

inline constexpr std::array<Duration, EnumSize<BurnSpan>()> kBurnSpans = {
    5min, 1h, 6h};

}  // namespace buckthorncart
