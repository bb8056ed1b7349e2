#pragma once
/// \file
/// Typical times of the calls of each route.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "Base/time.h"

namespace buckthorncart {

/// Mean times of the recent calls of each route at all backend servers, as
/// measured by the receiving daemon. Holds one entry for each route that has
/// been called.
class TypicalTimes {
 public:
  void Record(const std::string& route, Duration time) {
    Mean& mean = means_[route];
    mean.samples = std::min(mean.samples + 1, kSmoothing);
    mean.time += (time - mean.time) / mean.samples;
  }
  /// Zero until there are enough observations.
  Duration Of(const std::string& route) const {
    const auto it = means_.find(route);
    if (it == means_.end() || it->second.samples < kMinSamples) {
      return Duration::zero();
    }
    return it->second.time;
  }

 private:
  /// Each observation has at least the weight 1 / kSmoothing.
  static constexpr int32_t kSmoothing = 64;
  static constexpr int32_t kMinSamples = 8;

  struct Mean {
    Duration time{};
    int32_t samples = 0;
  };

  std::map<std::string, Mean> means_;
};

}  // namespace buckthorncart
