#pragma once
/// \file
/// Bounds the log lines of each kind.

#include <array>
#include <cstdint>
#include <optional>

#include "Base/time.h"
#include "Kernel/effect.h"

namespace buckthorncart {

/// Lets a number of lines of each topic pass in a second and counts the rest.
/// Failures have more room than successes, so that load does not hide them.
class LogLimiter {
 public:
  /// Lines that were left out since the last one of `topic`, or nothing when
  /// this one is left out as well.
  std::optional<uint64_t> Pass(LogTopic topic, Time now) {
    Window& window = windows_[static_cast<size_t>(topic)];
    if (now - window.begin >= 1s) {
      window.begin = now;
      window.lines = 0;
    }
    if (window.lines >= LimitOf(topic)) {
      ++window.left_out;
      return std::nullopt;
    }
    ++window.lines;
    const uint64_t left_out = window.left_out;
    window.left_out = 0;
    return left_out;
  }

 private:
  struct Window {
    Time begin{};
    uint32_t lines = 0;
    uint64_t left_out = 0;
  };

  /// Lines in a second.
  static uint32_t LimitOf(LogTopic topic) {
    constexpr uint32_t kSuccesses = 2;
    constexpr uint32_t kFailures = 40;
    return topic == LogTopic::kCallServed ? kSuccesses : kFailures;
  }

  std::array<Window, EnumSize<LogTopic>()> windows_{};
};

}  // namespace buckthorncart
