#pragma once
/// \file
/// Recent deltas that a daemon has applied.

#include <cstdint>
#include <deque>
#include <vector>

#include "Config/configuration_delta.h"

namespace buckthorncart {

class DeltaHistory {
 public:
  void Add(ConfigurationDelta delta) {
    constexpr size_t kMaxDeltas = 64;
    // A version received as a full snapshot may not continue the series. The
    // deltas before it are then dropped.
    if (!deltas_.empty() && deltas_.back().to != delta.from) deltas_.clear();
    deltas_.push_back(std::move(delta));
    if (deltas_.size() > kMaxDeltas) deltas_.pop_front();
  }

  /// Returns the newest delta, or an empty vector if there is none.
  std::vector<ConfigurationDelta> Newest() const {
    if (deltas_.empty()) return {};
    return {deltas_.back()};
  }

  /// Returns the deltas that lead from `version` to the newest version, oldest
  /// first. The result is empty if `version` was never held or its deltas are
  /// no longer retained.
  std::vector<ConfigurationDelta> After(uint64_t version) const {
    auto it = deltas_.begin();
    while (it != deltas_.end() && it->from != version) ++it;
    return {it, deltas_.end()};
  }

 private:
  std::deque<ConfigurationDelta> deltas_;
};

}  // namespace buckthorncart
