#pragma once
/// \file
/// Content digests (XXH3) and the rendezvous weights derived from them.

#include <cstdint>
#include <string_view>

namespace buckthorncart {

/// 64-bit digest of a byte string.
uint64_t DigestOf(std::string_view bytes);

/// Weight of `candidate` for `key` under highest-random-weight (rendezvous)
/// hashing, Thaler and Ravishankar 1998.
uint64_t RendezvousWeight(uint64_t key, uint64_t candidate);

}  // namespace buckthorncart
