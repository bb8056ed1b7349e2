#pragma once
/// \file
/// Rate limit for the log lines of each topic.

#include <array>
#include <cstdint>
#include <optional>

#include "Base/time.h"
#include "Kernel/effect.h"

namespace buckthorncart {

/// Allows a number of lines of each topic in a second and counts the lines that
/// it suppresses. Failures have a higher limit than successes, so that they
/// stay visible under load.
class LogRateLimiter {
 public:
  /// Returns the number of lines of `topic` suppressed since the last one that
  /// was allowed, or nothing when this one is suppressed as well.
  std::optional<uint64_t> Allow(LogTopic topic, Time now) {
    Window& window = windows_[static_cast<size_t>(topic)];
    if (now - window.begin >= 1s) {
      window.begin = now;
      window.lines = 0;
    }
    if (window.lines >= MaxLines(topic)) {
      ++window.suppressed;
      return std::nullopt;
    }
    ++window.lines;
    const uint64_t suppressed = window.suppressed;
    window.suppressed = 0;
    return suppressed;
  }

 private:
  struct Window {
    Time begin{};
    uint32_t lines = 0;
    uint64_t suppressed = 0;
  };

  /// Lines of `topic` allowed in a second.
  static uint32_t MaxLines(LogTopic topic) {
    constexpr uint32_t kMaxSuccesses = 2;
    constexpr uint32_t kMaxFailures = 40;
    return topic == LogTopic::kCallServed ? kMaxSuccesses : kMaxFailures;
  }

  std::array<Window, EnumSize<LogTopic>()> windows_{};
};

}  // namespace buckthorncart
