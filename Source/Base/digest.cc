#include "Base/digest.h"

#include <xxhash.h>

namespace buckthorncart {

uint64_t DigestOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t RendezvousWeight(uint64_t key, uint64_t candidate) {
  const uint64_t pair[] = {key, candidate};
  return XXH3_64bits(pair, sizeof(pair));
}

}  // namespace buckthorncart
