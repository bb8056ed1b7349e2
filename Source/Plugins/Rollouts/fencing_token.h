#pragma once
/// \file
/// Fencing tokens of the deciders on roll-outs.

#include <cstdint>

namespace buckthorncart {

/// The upper half of a token is the era of the platform's store, so that every
/// token of a restored store is higher than those that it has lost.
inline constexpr unsigned kTokenEraShift = 32;

/// Returns the lowest token of `era`, which no decider has.
inline uint64_t FirstTokenOf(uint64_t era) { return era << kTokenEraShift; }

inline uint64_t EraOfToken(uint64_t token) { return token >> kTokenEraShift; }

}  // namespace buckthorncart
