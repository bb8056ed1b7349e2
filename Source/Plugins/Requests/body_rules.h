#pragma once
/// \file
/// Rules for request bodies that are sent to another daemon.

#include <algorithm>
#include <cstdint>

#include "Base/time.h"

namespace buckthorncart {

/// Returns the time that `bytes` take on a link of `link_kbps` kilobits per
/// second.
inline Duration LinkTime(uint64_t bytes, uint32_t link_kbps) {
  constexpr uint64_t kBitsPerByte = 8;
  constexpr uint64_t kMicrosecondsPerMillisecond = 1'000;
  return Duration(bytes * kBitsPerByte * kMicrosecondsPerMillisecond /
                  std::max(link_kbps, 1U));
}

/// Returns true if a body of `bytes` is sent only on request. A small body is
/// sent with its call: the request for it would cost more time than the body
/// keeps other messages waiting.
inline bool ShouldWithholdBody(uint64_t bytes, uint32_t link_kbps) {
  constexpr uint64_t kMaxInlineBytes = 16U << 10U;
  constexpr Duration kMaxInlineTime = 10ms;
  return bytes > kMaxInlineBytes || LinkTime(bytes, link_kbps) > kMaxInlineTime;
}

}  // namespace buckthorncart
