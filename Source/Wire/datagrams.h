#pragma once
/// \file
/// Messages that daemons exchange as UDP datagrams.

#include <cstdint>
#include <msgpack.hpp>
#include <variant>
#include <vector>

#include "Base/address.h"
#include "Wire/member.h"
#include "Wire/quota_messages.h"

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

/// Confirms that the platform's store had no configuration newer than
/// `version`, which the sender holds, at some time before this message was
/// sent.
struct FreshnessReport {
  uint64_t version = 0;
  /// Time between that moment and the sending of this message, microseconds.
  uint64_t age_us = 0;
  /// Version and era of the store at that moment.
  uint64_t platform_version = 0;
  uint64_t platform_era = 0;
  /// Root of the tree along which the report spreads in the data centre of the
  /// receiver.
  Address root;
  /// Sender's monotonic clock when the message was sent, microseconds.
  uint64_t sent_us = 0;
  /// Number of the query that this answers; 0 if there was none.
  uint64_t query = 0;
  MSGPACK_DEFINE(version, age_us, platform_version, platform_era, root, sent_us,
                 query)
};

/// Requests a `FreshnessReport` with the same number. The sender holds
/// `version`.
struct FreshnessQuery {
  uint64_t version = 0;
  uint64_t number = 0;
  MSGPACK_DEFINE(version, number)
};

using Datagram =
    std::variant<Probe, ProbeAck, IndirectProbe, VersionHint, MemberDigests,
                 MemberRecords, FreshnessReport, FreshnessQuery, ShareLease,
                 ShareLeaseReply, TokenRequest, TokenReply, SharesMoved>;

}  // namespace buckthorncart
