#pragma once
/// \file
/// Bounds on an HTTP message that is read.

#include <cstdint>

namespace buckthorncart {

struct HttpLimits {
  /// Start line and headers, bytes.
  uint32_t head_bytes = 16'384;
  /// Body, bytes.
  uint64_t body_bytes = 64U << 20U;
};

}  // namespace buckthorncart
