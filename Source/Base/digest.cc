#include "Base/digest.h"

#include <xxhash.h>

#include <memory>

namespace buckthorncart {

uint64_t DigestOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t DigestOfParts(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (const std::string_view part : parts) {
    XXH3_64bits_update(state.get(), part.data(), part.size());
  }
  return XXH3_64bits_digest(state.get());
}

uint64_t RendezvousWeight(uint64_t key, uint64_t candidate) {
  const uint64_t pair[] = {key, candidate};
  return XXH3_64bits(pair, sizeof(pair));
}

}  // namespace buckthorncart
