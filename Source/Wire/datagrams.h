#pragma once
/// \file
/// Messages that daemons exchange as UDP datagrams.

#include <cstdint>
#include <msgpack.hpp>
#include <variant>
#include <vector>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Maximum size of an encoded datagram in bytes, which fits into an Ethernet
/// frame.
inline constexpr size_t kMaxDatagramBytes = 1400;

/// Information that every probe message includes: the sender's configuration
/// version and the member records that changed recently.
struct Gossip {
  uint64_t version = 0;
  std::vector<Member> members;
  /// Digest of the sender's member table; 0 if not given.
  uint64_t table_digest = 0;
  /// Latest era of the platform's store that the sender has heard of.
  uint64_t platform_era = 0;
  MSGPACK_DEFINE(version, members, table_digest, platform_era)
};

/// Requests a `ProbeAck` with the same sequence number.
struct Probe {
  uint64_t sequence = 0;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, gossip)
};

/// Reply to a `Probe`.
struct ProbeAck {
  uint64_t sequence = 0;
  /// Incarnation of the sender, by which a restart is detected at once.
  uint64_t incarnation = 0;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, incarnation, gossip)
};

/// Asks the receiver to probe `target` on behalf of the sender.
struct IndirectProbe {
  uint64_t sequence = 0;
  Address target;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, target, gossip)
};

/// Announces that the sender has configuration version `version`, and the
/// latest era of the platform's store that it has heard of.
struct VersionHint {
  uint64_t version = 0;
  uint64_t platform_era = 0;
  MSGPACK_DEFINE(version, platform_era)
};

/// Requests the member records of all buckets whose digests differ from those
/// of the sender, which are given here.
struct MemberDigests {
  uint64_t version = 0;
  std::vector<uint64_t> buckets;
  MSGPACK_DEFINE(version, buckets)
};

/// Reply to `MemberDigests`, with the requested member records.
struct MemberRecords {
  Gossip gossip;
  MSGPACK_DEFINE(gossip)
};

using Datagram = std::variant<Probe, ProbeAck, IndirectProbe, VersionHint,
                              MemberDigests, MemberRecords>;

}  // namespace buckthorncart
