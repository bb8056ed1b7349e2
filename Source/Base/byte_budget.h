#pragma once
/// \file
/// Limit on the memory that several holders use together.

#include <cstdint>

namespace buckthorncart {

/// Divides a number of bytes among holders, each of which keeps its own share.
class ByteBudget {
 public:
  explicit ByteBudget(uint64_t limit) : limit_(limit) {}

  /// Changes the share of a holder from `share` to `bytes`. Returns false and
  /// changes nothing if the sum of all shares would exceed the limit.
  bool TryResize(uint64_t& share, uint64_t bytes) {
    const uint64_t others = used_ - share;
    const bool fits = bytes <= limit_ && others <= limit_ - bytes;
    if (bytes > share && !fits) return false;
    used_ = others + bytes;
    share = bytes;
    return true;
  }
  void Release(uint64_t& share) { TryResize(share, 0); }

  uint64_t Used() const { return used_; }
  uint64_t Free() const { return limit_ - used_; }

 private:
  uint64_t limit_;
  uint64_t used_ = 0;
};

}  // namespace buckthorncart
