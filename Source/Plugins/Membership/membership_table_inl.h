#pragma once
/// \file
/// The table of members of `Membership` and its exchange; include
/// membership.h.

#include <algorithm>
#include <string>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Membership/membership.h"
#include "Plugins/Membership/membership_inl.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Share of a datagram that member records may take.
inline constexpr size_t kGossipBytes = kMaxDatagramBytes - 200;
/// Datagrams of member records that answer one request.
inline constexpr size_t kMaxRecordDatagrams = 4;
inline constexpr Duration kMinPullInterval = 2s;
/// Time without a peer of the same table after which records are pulled.
inline constexpr Duration kMismatchTime = 5s;
/// Time after which a member that is gone is forgotten; longer than regions
/// lose each other.
inline constexpr Duration kForgetAfter = 1h;
/// The same for a member that has announced that it leaves.
inline constexpr Duration kForgetLeftAfter = 10s;
/// Daemons that delete the announcement of one that is forgotten.
inline constexpr size_t kAnnouncementCleaners = 2;

/// Merges the records and compares the tables; true if a record accused this
/// daemon and was refuted.
template <MembershipRules Rules>
bool Membership<Rules>::TakeGossip(Context& ctx, Address from,
                                   const Gossip& gossip, bool news) {
  const uint64_t sequence = ctx.Shared().self.sequence;
  for (const Member& member : gossip.members) Merge(ctx, member, news);
  if (!ctx.Shared().members.contains(from)) PullTable(ctx, from);
  if (Rules::kCompareTables) CompareTables(ctx, from, gossip);
  return ctx.Shared().self.sequence != sequence;
}

template <MembershipRules Rules>
void Membership<Rules>::CompareTables(Context& ctx, Address from,
                                      const Gossip& gossip) {
  if (gossip.table_digest == 0) return;
  if (gossip.table_digest == DigestOfBuckets(Buckets(ctx))) {
    last_match_ = ctx.Now();
    return;
  }
  // Tables differ for a moment after each change; gossip mends that.
  if (ctx.Now() - last_match_ >= kMismatchTime) PullTable(ctx, from);
}

template <MembershipRules Rules>
void Membership<Rules>::PullTable(Context& ctx, Address from) {
  if (ctx.Now() - last_pull_ < kMinPullInterval) return;
  last_pull_ = ctx.Now();
  counters_.Add(MembershipCounter::kTablePulls);
  const MemberBuckets& buckets = Buckets(ctx);
  ctx.SendUdp(from, MemberDigests{ctx.Shared().held->version,
                                  {buckets.begin(), buckets.end()}});
}

template <MembershipRules Rules>
void Membership<Rules>::ServeDigests(Context& ctx, Address from,
                                     const MemberDigests& asked) {
  if (asked.buckets.size() != kMemberBuckets) return;
  const MemberBuckets own = Buckets(ctx);
  std::vector<Member> differing;
  for (const Member& member : MembersFor(ctx, from)) {
    const size_t bucket = BucketOf(member.address);
    if (asked.buckets[bucket] != own[bucket]) differing.push_back(member);
  }
  // What does not fit now is sent when the peer asks again.
  std::shuffle(differing.begin(), differing.end(), ctx.Random());
  auto it = differing.begin();
  for (size_t i = 0; i < kMaxRecordDatagrams && it != differing.end(); ++i) {
    Gossip gossip{ctx.Shared().held->version, {}, 0};
    size_t bytes = 0;
    for (; it != differing.end(); ++it) {
      bytes += Encode(*it).size();
      if (bytes > kGossipBytes && !gossip.members.empty()) break;
      gossip.members.push_back(*it);
    }
    ctx.SendUdp(from, MemberRecords{std::move(gossip)});
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandlePeerMessage(Context& ctx,
                                          const PeerMessageReceived& received) {
  if (std::holds_alternative<PullMembers>(received.message)) {
    ctx.Send(received.from, PushMembers{MembersFor(ctx, received.from)});
    const bool unknown = !ctx.Shared().members.contains(received.from);
    if (unknown) ctx.Send(received.from, PullMembers{});
    return;
  }
  const auto* push = std::get_if<PushMembers>(&received.message);
  if (push == nullptr) return;
  // What a whole table tells is no news that others lack.
  for (const Member& member : push->members) Merge(ctx, member, false);
}

/// All records that `asker` can use: those of members that are gone are of use
/// only to the members themselves.
template <MembershipRules Rules>
std::vector<Member> Membership<Rules>::MembersFor(Context& ctx,
                                                  Address asker) const {
  std::vector<Member> members = {ctx.Shared().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone && address != asker) continue;
    members.push_back(member);
  }
  return members;
}

template <MembershipRules Rules>
void Membership<Rules>::Merge(Context& ctx, const Member& member, bool news) {
  if (member.address == ctx.Settings().self) {
    RefuteIfNeeded(ctx, member);
    return;
  }
  const auto it = ctx.Shared().members.find(member.address);
  const bool known = it != ctx.Shared().members.end();
  if (known && !member.Supersedes(it->second)) return;
  // Else daemons would tell one another for ever of what they have forgotten.
  const bool forgotten = !known && member.status == MemberStatus::kGone;
  if (Rules::kForgetGone && forgotten) return;
  Store(ctx, member, news);
}

template <MembershipRules Rules>
void Membership<Rules>::RefuteIfNeeded(Context& ctx, const Member& rumour) {
  Member& self = ctx.Shared().self;
  if (!rumour.Supersedes(self)) return;
  counters_.Add(MembershipCounter::kRefutations);
  if (rumour.incarnation > self.incarnation) {
    // The clock of this VM went back since an earlier process ran here.
    self.incarnation = rumour.incarnation + 1;
    self.sequence = 0;
  } else {
    self.sequence = rumour.sequence;
  }
  UpdateSelf(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::Store(Context& ctx, const Member& member, bool news) {
  Member& stored = ctx.Shared().members[member.address];
  const bool first = !stored.address.IsSet();
  const bool status_changed = first || stored.status != member.status;
  const bool left = stored.status == MemberStatus::kLeaving;
  stored = member;
  if (member.status == MemberStatus::kSuspect) {
    suspected_at_.emplace(member.address, ctx.Now());
  } else {
    suspected_at_.erase(member.address);
  }
  if (member.status == MemberStatus::kGone) {
    // One that has left is not cut off and need not be remembered.
    const Duration grace = left ? kForgetAfter - kForgetLeftAfter : 0s;
    gone_at_.emplace(member.address, ctx.Now() - grace);
  } else {
    gone_at_.erase(member.address);
  }
  buckets_stale_ = true;
  if (news) updates_.Add(member, ctx.Shared().members.size());
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
  Store(ctx, member, true);
}

template <MembershipRules Rules>
void Membership<Rules>::UpdateSelf(Context& ctx) {
  Member& self = ctx.Shared().self;
  ++self.sequence;
  buckets_stale_ = true;
  updates_.Add(self, ctx.Shared().members.size());
}

template <MembershipRules Rules>
const MemberBuckets& Membership<Rules>::Buckets(Context& ctx) {
  if (std::exchange(buckets_stale_, false)) {
    buckets_ = DigestMembers(ctx.Shared().self, ctx.Shared().members);
  }
  return buckets_;
}

template <MembershipRules Rules>
Gossip Membership<Rules>::MakeGossip(Context& ctx, Address to) {
  Gossip gossip{ctx.Shared().held->version, updates_.Take(kGossipBytes),
                DigestOfBuckets(Buckets(ctx))};
  const auto it = ctx.Shared().members.find(to);
  const bool accused = it != ctx.Shared().members.end() &&
                       it->second.status != MemberStatus::kAlive;
  // Lets a member that is wrongly suspected or taken as gone refute it.
  if (Rules::kTellAccused && accused) gossip.members.push_back(it->second);
  return gossip;
}

template <MembershipRules Rules>
void Membership<Rules>::ForgetLost(Context& ctx) {
  std::vector<Address> forgotten;
  for (const auto& [address, at] : gone_at_) {
    if (ctx.Now() - at >= kForgetAfter) forgotten.push_back(address);
  }
  for (const auto& [address, since] : join_candidates_) {
    // Configured peers have no time and are never given up.
    if (since == Time{} || ctx.Now() - since < kForgetAfter) continue;
    const bool known = ctx.Shared().members.contains(address);
    if (!known) forgotten.push_back(address);
  }
  for (const Address address : forgotten) {
    counters_.Add(MembershipCounter::kMembersForgotten);
    DeleteAnnouncement(ctx, address);
    ctx.Shared().members.erase(address);
    gone_at_.erase(address);
    suspected_at_.erase(address);
    const auto it = join_candidates_.find(address);
    const bool scanned = it != join_candidates_.end() && it->second != Time{};
    if (scanned) join_candidates_.erase(it);
  }
}

/// The row of another daemon is deleted by those few that the rendezvous hash
/// of its address chooses, so that the platform's load does not grow with the
/// fleet.
template <MembershipRules Rules>
void Membership<Rules>::DeleteAnnouncement(Context& ctx, Address address) {
  const uint64_t key = AddressHash{}(address);
  const auto weight = [key](Address candidate) {
    return RendezvousWeight(key, AddressHash{}(candidate));
  };
  const Address self = ctx.Settings().self;
  size_t heavier = 0;
  for (const auto& [candidate, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (weight(candidate) > weight(self)) ++heavier;
  }
  if (address != self && heavier >= kAnnouncementCleaners) return;
  ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      Transaction{{}, {{AnnouncementKey(address), std::nullopt}}});
}

}  // namespace buckthorncart
