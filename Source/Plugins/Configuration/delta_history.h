#pragma once
/// \file
/// The last deltas that a daemon has taken.

#include <cstdint>
#include <deque>
#include <vector>

#include "Config/configuration_delta.h"

namespace buckthorncart {

class DeltaHistory {
 public:
  void Add(ConfigurationDelta delta) {
    constexpr size_t kKept = 64;
    // A version that came whole and is not joined to the ones before.
    if (!deltas_.empty() && deltas_.back().to != delta.from) deltas_.clear();
    deltas_.push_back(std::move(delta));
    if (deltas_.size() > kKept) deltas_.pop_front();
  }

  /// The newest delta, if there is one.
  std::vector<ConfigurationDelta> Last() const {
    if (deltas_.empty()) return {};
    return {deltas_.back()};
  }

  /// The deltas that lead from `version` to the last one, oldest first; empty
  /// when `version` was never held or its deltas are no longer kept.
  std::vector<ConfigurationDelta> After(uint64_t version) const {
    auto it = deltas_.begin();
    while (it != deltas_.end() && it->from != version) ++it;
    return {it, deltas_.end()};
  }

 private:
  std::deque<ConfigurationDelta> deltas_;
};

}  // namespace buckthorncart
