#pragma once
/// \file
/// Content digests (XXH3) and the rendezvous weights derived from them.

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace buckthorncart {

/// Returns the 64-bit XXH3 digest of `bytes`.
uint64_t DigestOf(std::string_view bytes);

/// Returns the digest of `parts` as if they were one text.
uint64_t DigestOfParts(std::initializer_list<std::string_view> parts);

/// Returns the weight of `candidate` for `key` in highest-random-weight
/// (rendezvous) hashing (Thaler and Ravishankar, 1998).
uint64_t RendezvousWeight(uint64_t key, uint64_t candidate);

}  // namespace buckthorncart
