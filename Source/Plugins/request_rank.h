#pragma once
/// \file
/// Order of requests at a backend server.

#include <algorithm>
#include <cstdint>

#include "Config/objects.h"

namespace buckthorncart {

/// Ranks that are told apart; lower ones go first.
inline constexpr uint32_t kRanks = 8;

/// Rank by the priority and the class of a route.
inline uint32_t RankOf(uint32_t priority, RequestClass request_class) {
  const uint32_t class_rank = request_class == RequestClass::kBulk ? 1 : 0;
  return std::min(priority + class_rank, kRanks - 1);
}

}  // namespace buckthorncart
