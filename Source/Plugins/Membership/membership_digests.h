#pragma once
/// \file
/// Digests with which two daemons compare their member tables.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Number of buckets of the member table; the digests of all buckets fit in one
/// datagram.
inline constexpr size_t kMemberBuckets = 64;

/// One digest for each bucket. A digest does not depend on the order of the
/// members and excludes gone members, since daemons remove those at different
/// times.
using BucketDigests = std::array<uint64_t, kMemberBuckets>;

/// Index of the bucket of the member at `address`.
size_t BucketOf(Address address);

/// Computes the bucket digests of a table that consists of `self` and
/// `members`.
BucketDigests ComputeBucketDigests(const Member& self,
                                   const std::map<Address, Member>& members);

/// Digest of the whole table, computed from its bucket digests. Never 0, which
/// means that no digest is present.
uint64_t TableDigest(const BucketDigests& buckets);

}  // namespace buckthorncart
