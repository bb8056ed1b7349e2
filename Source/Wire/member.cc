#include "Wire/member.h"

namespace buckthorncart {

bool Member::IsValid() const {
  /// Numbers that are compared or counted on must not overflow.
  constexpr uint64_t kMaxNumber = 1ULL << 53U;
  if (address.ip == 0 || address.port == 0) return false;
  if (incarnation > kMaxNumber || sequence > kMaxNumber) return false;
  size_t bytes = data_centre.size() + backend.service.size() +
                 backend.id.size() + backend.version.size();
  for (const auto& [key, value] : backend.labels) {
    bytes += key.size() + value.size();
  }
  return bytes <= kMaxMemberTextBytes;
}

}  // namespace buckthorncart
