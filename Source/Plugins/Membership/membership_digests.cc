#include "Plugins/Membership/membership_digests.h"

#include <string_view>

#include "Base/digest.h"

namespace buckthorncart {
namespace {

uint64_t DigestOfMember(const Member& member) {
  const std::array<uint64_t, 4> fields = {AddressHash{}(member.address),
                                          member.incarnation, member.sequence,
                                          static_cast<uint64_t>(member.status)};
  return DigestOf({reinterpret_cast<const char*>(fields.data()),
                   fields.size() * sizeof(uint64_t)});
}

}  // namespace

size_t BucketOf(Address address) {
  // A key of its own makes the bucket independent of other uses of the
  // rendezvous hash.
  constexpr uint64_t kBucketKey = 0x6275636b;
  return RendezvousWeight(kBucketKey, AddressHash{}(address)) % kMemberBuckets;
}

BucketDigests ComputeBucketDigests(const Member& self,
                                   const std::map<Address, Member>& members) {
  BucketDigests buckets{};
  buckets[BucketOf(self.address)] ^= DigestOfMember(self);
  for (const auto& [address, member] : members) {
    if (member.status == MemberStatus::kGone) continue;
    buckets[BucketOf(address)] ^= DigestOfMember(member);
  }
  return buckets;
}

uint64_t TableDigest(const BucketDigests& buckets) {
  const uint64_t digest =
      DigestOf({reinterpret_cast<const char*>(buckets.data()),
                buckets.size() * sizeof(uint64_t)});
  return digest == 0 ? 1 : digest;
}

}  // namespace buckthorncart
