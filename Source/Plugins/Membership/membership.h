#pragma once
/// \file
/// Failure detection and dissemination of member records.
///
/// Follows SWIM (Das, Gupta, Motivala, 2002): each period one member is
/// probed, a silent one is probed through others, then suspected, then taken
/// as gone; updates travel on probes. Each daemon sends a constant number of
/// messages a period, whatever the size of the fleet.

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Membership/membership_digests.h"
#include "Plugins/Membership/membership_rules.h"
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
  kMembersForgotten,
};

template <>
struct EnumNames<MembershipCounter> {
  static constexpr std::string_view kNames[] = {
      "membership_probes_total",       "membership_probes_unanswered_total",
      "membership_suspicions_total",   "membership_refutations_total",
      "membership_members_gone_total", "membership_table_pulls_total",
      "membership_pauses_total",       "membership_members_forgotten_total"};
};

/// Beside SWIM: tables of two daemons are compared by digests on probes, so
/// that lost updates are repaired; members gone for long are forgotten.
template <MembershipRules Rules>
class Membership : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// A probe without an answer yet.
  struct PendingProbe {
    Address target;
    /// Set when the probe is made for another daemon.
    Address asker;
    uint64_t asker_sequence = 0;
  };

  void Start(Context& ctx, uint64_t wall_ms);
  void ForgivePause(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandleDatagram(Context& ctx, const DatagramReceived& received);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandlePlatform(Context& ctx, const PlatformReplied& replied);
  void HandleScan(Context& ctx, const PlatformReply& reply);

  void AnnounceToPlatform(Context& ctx);
  void Join(Context& ctx);
  void Rejoin(Context& ctx);
  void ProbeNext(Context& ctx);
  void SendProbe(Context& ctx, Address target, PendingProbe pending);
  void ProbeIndirectly(Context& ctx, uint64_t sequence);
  void EndProbe(Context& ctx, uint64_t sequence);
  void ExpireSuspects(Context& ctx);
  void ForgetLost(Context& ctx);
  void DeleteAnnouncement(Context& ctx, Address address);
  void HandleAck(Context& ctx, const ProbeAck& ack);
  /// `news` tells whether the records are passed on.
  bool TakeGossip(Context& ctx, Address from, const Gossip& gossip, bool news);
  void CompareTables(Context& ctx, Address from, const Gossip& gossip);
  void PullTable(Context& ctx, Address from);
  void ServeDigests(Context& ctx, Address from, const MemberDigests& asked);
  void Merge(Context& ctx, const Member& member, bool news);
  void RefuteIfNeeded(Context& ctx, const Member& rumour);
  void Store(Context& ctx, const Member& member, bool news);
  void SetStatus(Context& ctx, Address address, MemberStatus status);
  void UpdateSelf(Context& ctx);
  void Leave(Context& ctx);
  Gossip MakeGossip(Context& ctx, Address to);
  const MemberBuckets& Buckets(Context& ctx);
  std::vector<Member> MembersFor(Context& ctx, Address asker) const;
  Address NextTarget(Context& ctx);

  UpdateQueue updates_;
  std::map<uint64_t, PendingProbe> pending_;
  std::map<Address, Time> suspected_at_;
  std::vector<Address> probe_order_;
  /// Addresses that may be daemons, with the time of hearing of them.
  std::map<Address, Time> join_candidates_;
  std::map<Address, Time> gone_at_;
  /// Digests of the table; stale after each change of it.
  MemberBuckets buckets_{};
  bool buckets_stale_ = true;
  uint64_t next_sequence_ = 0;
  uint64_t scan_tag_ = 0;
  uint64_t announcement_tag_ = 0;
  /// The platform holds the row of this daemon and has sent those of others.
  bool announced_ = false;
  bool scanned_ = false;
  Time last_pull_{};
  /// Last time that a peer had the same table.
  Time last_match_{};
  Time last_event_{};
  Counters<MembershipCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Membership/membership_inl.h"
#include "Plugins/Membership/membership_table_inl.h"
