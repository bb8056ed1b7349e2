#pragma once
/// \file
/// Requests that were running when a connection to the local backend server
/// broke.

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "Base/time.h"

namespace buckthorncart {

/// Keeps their fingerprints until it is known whether the backend server
/// crashed.
class CrashSuspects {
 public:
  void Add(uint64_t fingerprint, Time now) {
    interrupted_.emplace_back(now, fingerprint);
    if (interrupted_.size() > kMaxSuspects) interrupted_.pop_front();
  }
  /// Returns the fingerprints whose connections broke within the retention time
  /// before `now`, and removes all.
  std::vector<uint64_t> TakeRecent(Time now) {
    std::vector<uint64_t> recent;
    for (const auto& [broken_at, fingerprint] : interrupted_) {
      if (now - broken_at <= kRetention) recent.push_back(fingerprint);
    }
    interrupted_.clear();
    return recent;
  }

 private:
  static constexpr size_t kMaxSuspects = 256;
  /// The next connection attempt detects a crash within this time.
  static constexpr Duration kRetention = 2s;

  std::deque<std::pair<Time, uint64_t>> interrupted_;
};

}  // namespace buckthorncart
