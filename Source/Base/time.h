#pragma once
/// \file
/// Time as the kernel sees it.

#include <chrono>

namespace buckthorncart {

using Duration = std::chrono::microseconds;

/// Microseconds on a monotonic clock that also advances while the VM is
/// suspended (CLOCK_BOOTTIME in the loop driver, virtual in a replay).
using Time = std::chrono::microseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// Whole milliseconds of a duration, rounded down.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace buckthorncart
