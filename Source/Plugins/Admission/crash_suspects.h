#pragma once
/// \file
/// Requests that ran when connections to a backend server broke.

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "Base/time.h"

namespace buckthorncart {

/// Remembers them until it is known whether the backend server died.
class CrashSuspects {
 public:
  void Add(uint64_t fingerprint, Time now) {
    broken_.emplace_back(now, fingerprint);
    if (broken_.size() > kMaxSuspects) broken_.pop_front();
  }
  /// Those whose connections broke shortly before `now`; forgets all.
  std::vector<uint64_t> TakeRecent(Time now) {
    std::vector<uint64_t> recent;
    for (const auto& [at, fingerprint] : broken_) {
      if (now - at <= kMemory) recent.push_back(fingerprint);
    }
    broken_.clear();
    return recent;
  }

 private:
  static constexpr size_t kMaxSuspects = 256;
  /// A death is noticed within this time by the next connection.
  static constexpr Duration kMemory = 2s;

  std::deque<std::pair<Time, uint64_t>> broken_;
};

}  // namespace buckthorncart
