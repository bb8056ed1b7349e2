#pragma once
/// \file
/// Failure detection and dissemination of member records.
///
/// Follows SWIM (Das, Gupta, Motivala, 2002): each daemon probes one member per
/// period. A member that does not answer is probed indirectly through other
/// members, then suspected, then marked as gone. Updates are piggybacked on
/// probes. The number of messages that a daemon sends per period does not
/// depend on the size of the fleet.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Membership/membership_digests.h"
#include "Plugins/Membership/membership_rules.h"
#include "Plugins/Membership/table_agreement.h"
#include "Plugins/Membership/update_queue.h"
#include "Wire/datagrams.h"
#include "Wire/member.h"

namespace buckthorncart {

struct PlatformReply;

enum class MembershipCounter : uint8_t {
  kProbes,
  kProbesUnanswered,
  kSuspicions,
  kRefutations,
  kMembersGone,
  kTablePulls,
  kPauses,
  kMembersRemoved,
  kInvalidRecords,
};

template <>
struct EnumNames<MembershipCounter> {
  static constexpr std::string_view kNames[] = {
      "membership_probes_total",         "membership_probes_unanswered_total",
      "membership_suspicions_total",     "membership_refutations_total",
      "membership_members_gone_total",   "membership_table_pulls_total",
      "membership_pauses_total",         "membership_members_forgotten_total",
      "membership_invalid_records_total"};
};

/// Implements SWIM with two additions. Probes carry a digest of the member
/// table, so that daemons detect and repair lost updates, and members are
/// removed when they have been gone for the retention time.
template <MembershipRules Rules>
class Membership : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// A probe that has not been answered yet.
  struct PendingProbe {
    Address target;
    /// Daemon that requested this indirect probe; unset for a direct probe.
    Address requester;
    uint64_t requester_sequence = 0;
    /// Sequence number of the own record in the probe; 0 if it has none.
    uint64_t own_sequence = 0;
  };

  void Start(Context& ctx, uint64_t wall_ms);
  void DiscountLocalPause(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandleDatagram(Context& ctx, const DatagramReceived& received);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandlePlatform(Context& ctx, const PlatformReplied& replied);
  void HandleScan(Context& ctx, const PlatformReply& reply);

  void AnnounceToPlatform(Context& ctx);
  void HandleRestore(Context& ctx);
  void AnnounceAgain(Context& ctx);
  void HandleEarlierBackend(Context& ctx, bool is_conclusive);
  void Join(Context& ctx);
  void Rejoin(Context& ctx);
  void ProbeNext(Context& ctx);
  void SendProbe(Context& ctx, Address target, PendingProbe pending);
  void ProbeIndirectly(Context& ctx, uint64_t sequence);
  void HandleProbePeriodEnd(Context& ctx, uint64_t sequence);
  void ExpireSuspects(Context& ctx);
  void RemoveGoneMembers(Context& ctx);
  void DeleteAnnouncement(Context& ctx, Address address);
  void HandleAck(Context& ctx, const ProbeAck& ack);
  /// Merges the records and compares the table digests. If `disseminate` is
  /// true, records that change the table are queued for gossip. Returns true if
  /// a record marked this daemon as failed and was refuted.
  bool HandleGossip(Context& ctx, Address from, const Gossip& gossip,
                    bool disseminate);
  void CompareTables(Context& ctx, Address from, const Gossip& gossip);
  void PullTable(Context& ctx, Address from);
  void SendDifferingRecords(Context& ctx, Address from,
                            const MemberDigests& request);
  void Merge(Context& ctx, const Member& member, bool disseminate);
  void RefuteIfNeeded(Context& ctx, const Member& record);
  void StoreRecord(Context& ctx, const Member& member, bool disseminate);
  void SetStatus(Context& ctx, Address address, MemberStatus status);
  void UpdateSelf(Context& ctx);
  void HandleLocalBackend(Context& ctx, const BackendAnnouncement& backend);
  void HandleOwnRecord(Context& ctx, const Member& record);
  void Leave(Context& ctx);
  Gossip MakeGossip(Context& ctx, Address to);
  const BucketDigests& CurrentBucketDigests(Context& ctx);
  std::vector<Member> RecordsFor(Context& ctx, Address requester) const;
  Address NextProbeTarget(Context& ctx);

  UpdateQueue updates_;
  std::map<uint64_t, PendingProbe> pending_;
  std::map<Address, Time> suspected_since_;
  std::vector<Address> probe_order_;
  /// Addresses that may belong to daemons, with the time at which they were
  /// first read from the platform; `Time{}` for configured peers.
  std::map<Address, Time> join_candidates_;
  std::map<Address, Time> gone_since_;
  /// Cached digests of the table; recomputed on use when stale.
  BucketDigests bucket_digests_{};
  bool bucket_digests_stale_ = true;
  uint64_t next_sequence_ = 0;
  /// Whether others may receive the record of this daemon. It replaces that of
  /// an earlier process, which must be read before.
  bool published_ = false;
  uint64_t scan_tag_ = 0;
  uint64_t announcement_tag_ = 0;
  /// Whether the platform has stored the row of this daemon.
  bool announced_ = false;
  /// When the row is stored again after a restore of the platform's store.
  std::optional<Time> announce_again_at_;
  /// Whether the rows of all daemons have been read from the platform.
  bool scanned_ = false;
  Time last_pull_{};
  TableAgreement table_agreement_;
  Time last_event_{};
  Counters<MembershipCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Membership/membership_inl.h"
#include "Plugins/Membership/membership_table_inl.h"
