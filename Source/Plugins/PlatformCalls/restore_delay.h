#pragma once
/// \file
/// Spreads the writes of all daemons after a restore of the platform's store.

#include <cstdint>

#include "Base/time.h"
#include "Kernel/context.h"

namespace buckthorncart {

/// Mean time between the writes of two daemons, which keeps their rate
/// independent of the size of the fleet.
inline constexpr Duration kRestoreInterval = 5ms;

/// Returns a random time after which this daemon stores a row again.
inline Duration RestoreDelay(Context& ctx) {
  const auto daemons = static_cast<int64_t>(ctx.Shared().members.size()) + 1;
  const Duration spread = kRestoreInterval * daemons;
  return Duration(ctx.RandomBelow(static_cast<uint32_t>(spread.count())));
}

}  // namespace buckthorncart
