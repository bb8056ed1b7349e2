#pragma once
/// \file
/// Size limits for received HTTP messages.

#include <cstdint>

namespace buckthorncart {

struct HttpLimits {
  /// Start line and headers, in bytes.
  uint32_t head_bytes = 16'384;
  /// Body, in bytes.
  uint64_t body_bytes = 64U << 20U;
};

}  // namespace buckthorncart
