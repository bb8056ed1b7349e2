#pragma once
/// \file
/// Digests by which two daemons compare their tables of members.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Buckets of the table; all their digests fit in one datagram.
inline constexpr size_t kMemberBuckets = 64;

/// Digest of each bucket. The order of members does not matter, and members
/// that are gone do not count, since daemons forget them at different times.
using MemberBuckets = std::array<uint64_t, kMemberBuckets>;

/// Bucket that holds the member at `address`.
size_t BucketOf(Address address);

MemberBuckets DigestMembers(const Member& self,
                            const std::map<Address, Member>& members);

/// One digest of all buckets; never 0, which stands for none.
uint64_t DigestOfBuckets(const MemberBuckets& buckets);

}  // namespace buckthorncart
