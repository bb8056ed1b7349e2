#pragma once
/// \file
/// Random samples of candidates.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "Kernel/context.h"

namespace buckthorncart {

/// Up to `n` random elements of `from`, without replacement.
inline std::vector<size_t> RandomSample(Context& ctx, std::vector<size_t> from,
                                        size_t n) {
  n = std::min(n, from.size());
  for (size_t i = 0; i < n; ++i) {
    const auto remaining = static_cast<uint32_t>(from.size() - i);
    std::swap(from[i], from[i + ctx.RandomBelow(remaining)]);
  }
  from.resize(n);
  return from;
}

}  // namespace buckthorncart
