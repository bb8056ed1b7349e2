#pragma once
/// \file
/// Messages that daemons exchange over UDP.

#include <cstdint>
#include <msgpack.hpp>
#include <variant>
#include <vector>

#include "Base/address.h"
#include "Wire/member.h"

namespace buckthorncart {

/// Bound on an encoded datagram, bytes; fits an Ethernet frame.
inline constexpr size_t kMaxDatagramBytes = 1400;

/// Fields that every probe message carries: the sender's configuration
/// version and member records that changed lately.
struct Gossip {
  uint64_t version = 0;
  std::vector<Member> members;
  /// Digest of the sender's table of members; 0 for none.
  uint64_t table_digest = 0;
  MSGPACK_DEFINE(version, members, table_digest)
};

/// Asks the receiver for a `ProbeAck` with the same sequence.
struct Probe {
  uint64_t sequence = 0;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, gossip)
};

struct ProbeAck {
  uint64_t sequence = 0;
  /// Incarnation of the sender, so that a restart is noticed at once.
  uint64_t incarnation = 0;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, incarnation, gossip)
};

/// Asks the receiver to probe `target` for the sender.
struct IndirectProbe {
  uint64_t sequence = 0;
  Address target;
  Gossip gossip;
  MSGPACK_DEFINE(sequence, target, gossip)
};

/// Tells that the sender holds `version`.
struct VersionHint {
  uint64_t version = 0;
  MSGPACK_DEFINE(version)
};

/// Asks for the member records of the buckets whose digests differ from these.
struct MemberDigests {
  uint64_t version = 0;
  std::vector<uint64_t> buckets;
  MSGPACK_DEFINE(version, buckets)
};

/// Member records, as an answer to `MemberDigests`.
struct MemberRecords {
  Gossip gossip;
  MSGPACK_DEFINE(gossip)
};

using Datagram = std::variant<Probe, ProbeAck, IndirectProbe, VersionHint,
                              MemberDigests, MemberRecords>;

}  // namespace buckthorncart
