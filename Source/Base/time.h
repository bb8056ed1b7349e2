#pragma once
/// \file
/// Time types of the kernel.

#include <chrono>

namespace buckthorncart {

using Duration = std::chrono::microseconds;

/// Point in time, as microseconds on a monotonic clock that also advances while
/// the VM is suspended. The event loop driver reads it from CLOCK_BOOTTIME; a
/// replay uses a virtual clock.
using Time = std::chrono::microseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

/// Converts a duration to whole milliseconds, truncating the fraction.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace buckthorncart
