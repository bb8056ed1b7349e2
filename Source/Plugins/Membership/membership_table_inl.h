#pragma once
/// \file
/// Definitions of `Membership` that maintain and exchange the member table;
/// include membership.h.

#include <algorithm>
#include <string>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Admission/leave_record.h"
#include "Plugins/Membership/membership.h"
#include "Plugins/Membership/membership_inl.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Maximum size of the member records in one datagram, bytes.
inline constexpr size_t kMaxGossipBytes = kMaxDatagramBytes - 200;
/// Maximum number of datagrams sent in reply to one `MemberDigests`.
inline constexpr size_t kMaxRecordDatagrams = 4;
inline constexpr Duration kMinPullInterval = 2s;
/// Time after which a gone member is removed. Must be longer than a network
/// partition between regions lasts: a removed member is no longer probed to
/// merge the two sides, unless it is a configured peer.
inline constexpr Duration kGoneRetention = 1h;
/// The same for a member that announced that it was leaving.
inline constexpr Duration kLeftRetention = 10s;
/// Number of daemons that delete the announcement of a removed member.
inline constexpr size_t kAnnouncementCleaners = 2;

template <MembershipRules Rules>
bool Membership<Rules>::HandleGossip(Context& ctx, Address from,
                                     const Gossip& gossip, bool disseminate) {
  const uint64_t sequence = ctx.Shared().self.sequence;
  for (const Member& member : gossip.members) Merge(ctx, member, disseminate);
  if (!ctx.Shared().members.contains(from)) PullTable(ctx, from);
  if (Rules::kCompareTables) CompareTables(ctx, from, gossip);
  return ctx.Shared().self.sequence != sequence;
}

template <MembershipRules Rules>
void Membership<Rules>::CompareTables(Context& ctx, Address from,
                                      const Gossip& gossip) {
  if (gossip.table_digest == 0) return;
  const bool equal =
      gossip.table_digest == TableDigest(CurrentBucketDigests(ctx));
  if (table_agreement_.ShouldPull(equal, ctx.Now())) PullTable(ctx, from);
}

template <MembershipRules Rules>
void Membership<Rules>::PullTable(Context& ctx, Address from) {
  if (ctx.Now() - last_pull_ < kMinPullInterval) return;
  last_pull_ = ctx.Now();
  counters_.Add(MembershipCounter::kTablePulls);
  const BucketDigests& buckets = CurrentBucketDigests(ctx);
  ctx.SendUdp(from, MemberDigests{ctx.Shared().held->version,
                                  {buckets.begin(), buckets.end()}});
}

template <MembershipRules Rules>
void Membership<Rules>::SendDifferingRecords(Context& ctx, Address from,
                                             const MemberDigests& request) {
  if (request.buckets.size() != kMemberBuckets) return;
  const BucketDigests own = CurrentBucketDigests(ctx);
  std::vector<Member> differing;
  for (const Member& member : RecordsFor(ctx, from)) {
    const size_t bucket = BucketOf(member.address);
    if (request.buckets[bucket] != own[bucket]) differing.push_back(member);
  }
  // Records that do not fit are sent when the peer asks again; the random order
  // lets each record be sent eventually.
  std::shuffle(differing.begin(), differing.end(), ctx.Random());
  // The record of an earlier process of the peer goes first, which waits for
  // it.
  std::partition(differing.begin(), differing.end(),
                 [from](const Member& m) { return m.address == from; });
  auto it = differing.begin();
  for (size_t i = 0; i < kMaxRecordDatagrams && it != differing.end(); ++i) {
    Gossip gossip{ctx.Shared().held->version, {}, 0};
    size_t bytes = 0;
    for (; it != differing.end(); ++it) {
      bytes += Encode(*it).size();
      if (bytes > kMaxGossipBytes && !gossip.members.empty()) break;
      gossip.members.push_back(*it);
    }
    ctx.SendUdp(from, MemberRecords{std::move(gossip)});
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandlePeerMessage(Context& ctx,
                                          const PeerMessageReceived& received) {
  if (std::holds_alternative<PullMembers>(received.message)) {
    ctx.Send(received.from, PushMembers{RecordsFor(ctx, received.from)});
    const bool unknown = !ctx.Shared().members.contains(received.from);
    if (unknown) ctx.Send(received.from, PullMembers{});
    return;
  }
  const auto* push = std::get_if<PushMembers>(&received.message);
  if (push == nullptr) return;
  // Records of a full table are not disseminated, since other members have
  // already received them.
  for (const Member& member : push->members) Merge(ctx, member, false);
  // A peer that has no record of an earlier process may have started later than
  // that ended, so that this is no proof.
  if (!published_) ctx.Raise(EarlierBackendKnown{});
}

/// All records except those of gone members and, before it is published, that
/// of this daemon. The record of `requester` itself is included even if gone,
/// so that it can refute it.
template <MembershipRules Rules>
std::vector<Member> Membership<Rules>::RecordsFor(Context& ctx,
                                                  Address requester) const {
  std::vector<Member> members;
  if (published_) members.push_back(ctx.Shared().self);
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone && address != requester) continue;
    members.push_back(member);
  }
  return members;
}

template <MembershipRules Rules>
void Membership<Rules>::Merge(Context& ctx, const Member& member,
                              bool disseminate) {
  if (!member.IsValid()) {
    counters_.Add(MembershipCounter::kInvalidRecords);
    ctx.Log(LogTopic::kPeerFault,
            {{"daemon", member.address.ToString()}, {"fault", "bad-record"}},
            LogLevel::kWarning);
    return;
  }
  if (disseminate) updates_.RecordDuplicate(member);
  if (member.address == ctx.Settings().self) {
    HandleOwnRecord(ctx, member);
    return;
  }
  const auto it = ctx.Shared().members.find(member.address);
  const bool known = it != ctx.Shared().members.end();
  if (known && !member.Supersedes(it->second)) return;
  // Otherwise daemons would keep sending each other the records of members that
  // they have removed.
  const bool removed = !known && member.status == MemberStatus::kGone;
  if (Rules::kRemoveGone && removed) return;
  StoreRecord(ctx, member, disseminate);
}

template <MembershipRules Rules>
void Membership<Rules>::HandleOwnRecord(Context& ctx, const Member& record) {
  const bool is_earlier = record.incarnation != ctx.Shared().self.incarnation;
  if (is_earlier)
    ctx.Raise(EarlierBackendKnown{record.backend, record.is_confirmed});
  RefuteIfNeeded(ctx, record);
}

template <MembershipRules Rules>
void Membership<Rules>::RefuteIfNeeded(Context& ctx, const Member& record) {
  Member& self = ctx.Shared().self;
  if (!record.Supersedes(self)) return;
  counters_.Add(MembershipCounter::kRefutations);
  if (record.incarnation > self.incarnation) {
    // The wall clock of this VM has been set back since an earlier process ran
    // at this address.
    self.incarnation = record.incarnation + 1;
    self.sequence = 0;
  } else {
    self.sequence = record.sequence;
  }
  UpdateSelf(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::StoreRecord(Context& ctx, const Member& member,
                                    bool disseminate) {
  Member& stored = ctx.Shared().members[member.address];
  const bool first = !stored.address.IsSet();
  const bool status_changed = first || stored.status != member.status;
  const bool was_leaving = stored.status == MemberStatus::kLeaving;
  // The new process may not know yet that its backend server has left.
  const bool replaces_leave = !first && stored.backend.left &&
                              stored.incarnation != member.incarnation &&
                              !member.backend.left;
  if (replaces_leave) {
    ctx.SendUdp(member.address,
                MemberRecords{{ctx.Shared().held->version, {stored}}});
  }
  stored = member;
  if (member.status == MemberStatus::kSuspect) {
    suspected_since_.emplace(member.address, ctx.Now());
  } else {
    suspected_since_.erase(member.address);
  }
  if (member.status == MemberStatus::kGone) {
    // A member that left on purpose is not on the other side of a partition, so
    // it is removed sooner.
    const Duration backdate =
        was_leaving ? kGoneRetention - kLeftRetention : 0s;
    gone_since_.emplace(member.address, ctx.Now() - backdate);
  } else {
    gone_since_.erase(member.address);
  }
  bucket_digests_stale_ = true;
  if (disseminate) updates_.Add(member, ctx.Shared().members.size());
  if (status_changed) {
    ctx.Log(LogTopic::kMemberStatus,
            {{"member", member.address.ToString()},
             {"status", std::string(NameOf(member.status))}});
  }
  ctx.Raise(MemberChanged{member.address});
}

template <MembershipRules Rules>
void Membership<Rules>::SetStatus(Context& ctx, Address address,
                                  MemberStatus status) {
  Member member = ctx.Shared().members.at(address);
  member.status = status;
  StoreRecord(ctx, member, true);
}

template <MembershipRules Rules>
void Membership<Rules>::UpdateSelf(Context& ctx) {
  Member& self = ctx.Shared().self;
  ++self.sequence;
  bucket_digests_stale_ = true;
  if (published_) updates_.Add(self, ctx.Shared().members.size());
}

template <MembershipRules Rules>
const BucketDigests& Membership<Rules>::CurrentBucketDigests(Context& ctx) {
  if (std::exchange(bucket_digests_stale_, false)) {
    bucket_digests_ =
        ComputeBucketDigests(ctx.Shared().self, ctx.Shared().members);
  }
  return bucket_digests_;
}

template <MembershipRules Rules>
Gossip Membership<Rules>::MakeGossip(Context& ctx, Address to) {
  Gossip gossip{ctx.Shared().held->version, updates_.Take(kMaxGossipBytes),
                TableDigest(CurrentBucketDigests(ctx)),
                ctx.Shared().platform_era};
  const auto it = ctx.Shared().members.find(to);
  const bool not_alive = it != ctx.Shared().members.end() &&
                         it->second.status != MemberStatus::kAlive;
  // Lets a member that is wrongly suspected or marked as gone refute its
  // record.
  if (Rules::kNotifySuspected && not_alive)
    gossip.members.push_back(it->second);
  return gossip;
}

template <MembershipRules Rules>
void Membership<Rules>::RemoveGoneMembers(Context& ctx) {
  std::vector<Address> removed;
  for (const auto& [address, since] : gone_since_) {
    if (ctx.Now() - since >= kGoneRetention) removed.push_back(address);
  }
  for (const auto& [address, since] : join_candidates_) {
    // Configured peers have no time and are never removed.
    if (since == Time{} || ctx.Now() - since < kGoneRetention) continue;
    const bool known = ctx.Shared().members.contains(address);
    if (!known) removed.push_back(address);
  }
  for (const Address address : removed) {
    counters_.Add(MembershipCounter::kMembersRemoved);
    DeleteAnnouncement(ctx, address);
    ctx.Shared().members.erase(address);
    gone_since_.erase(address);
    suspected_since_.erase(address);
    const auto it = join_candidates_.find(address);
    const bool scanned = it != join_candidates_.end() && it->second != Time{};
    if (scanned) join_candidates_.erase(it);
  }
}

/// Deletes the announcement row of `address` and, if that is another daemon,
/// the record that its backend server has left. The row of another daemon is
/// deleted only by the `kAnnouncementCleaners` daemons that rank highest in the
/// rendezvous hash of its address, so that the load on the platform does not
/// grow with the fleet.
template <MembershipRules Rules>
void Membership<Rules>::DeleteAnnouncement(Context& ctx, Address address) {
  const uint64_t key = AddressHash{}(address);
  const auto weight = [key](Address candidate) {
    return RendezvousWeight(key, AddressHash{}(candidate));
  };
  const Address self = ctx.Settings().self;
  size_t higher_ranked = 0;
  for (const auto& [candidate, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (weight(candidate) > weight(self)) ++higher_ranked;
  }
  if (address != self && higher_ranked >= kAnnouncementCleaners) return;
  std::vector<Write> writes = {{AnnouncementKey(address), std::nullopt}};
  if (address != self)
    writes.push_back({LeaveRecordKey(address), std::nullopt});
  ctx.Shared().platform->Submit(ctx, PlatformPriority::kBackground,
                                Transaction{{}, std::move(writes)});
}

}  // namespace buckthorncart
