#include "Plugins/membership.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kMembership,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<Membership>();
                                       });

constexpr size_t kIndirectProbes = 3;
/// Share of a datagram that member records may take.
constexpr size_t kGossipBytes = kMaxDatagramBytes - 200;
constexpr Duration kRejoinInterval = 1s;
/// Interval of attempts to reach a member that is taken as gone.
constexpr Duration kReconnectInterval = 5s;
constexpr Duration kMinPullInterval = 2s;
constexpr uint32_t kScanLimit = 2'000;
constexpr std::string_view kAnnouncementPrefix = "vm/";

std::string AnnouncementKey(Address address) {
  return std::string(kAnnouncementPrefix) + address.ToString();
}

}  // namespace

void Membership::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  Directory& shared = ctx.Shared();
  ctx.AllMetrics().AddGauge("members", [&shared] {
    return static_cast<double>(shared.members.size() + 1);
  });
  for (const Address peer : ctx.Settings().peers) join_candidates_.insert(peer);
  join_candidates_.erase(ctx.Settings().self);
}

void Membership::Handle(Context& ctx, const Event& event) {
  if (const auto* started = std::get_if<Started>(&event)) {
    Start(ctx, started->wall_ms);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    HandleDatagram(ctx, *datagram);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    if (replied->tag == scan_tag_) HandleScan(ctx, replied->reply);
  } else if (const auto* backend = std::get_if<LocalBackendChanged>(&event)) {
    ctx.Shared().self.backend = backend->backend;
    UpdateSelf(ctx);
  } else if (std::holds_alternative<DrainStarted>(event)) {
    Leave(ctx);
  }
}

void Membership::Start(Context& ctx, uint64_t wall_ms) {
  Member& self = ctx.Shared().self;
  self.address = ctx.Settings().self;
  self.data_centre = ctx.Settings().data_centre;
  self.incarnation = wall_ms;
  UpdateSelf(ctx);
  AnnounceToPlatform(ctx);
  Join(ctx);
  const Duration period =
      std::chrono::milliseconds(ctx.Settings().probe_period_ms);
  // Probes of daemons that start together are spread over a period.
  const Duration offset(ctx.RandomBelow(static_cast<uint32_t>(period.count())));
  ctx.SetTimerIn(offset, TimerKind::kProbe);
  ctx.SetTimerIn(kRejoinInterval, TimerKind::kRejoin);
}

void Membership::AnnounceToPlatform(Context& ctx) {
  PlatformQueue& platform = *ctx.Shared().platform;
  const Member& self = ctx.Shared().self;
  platform.Submit(
      ctx, PlatformPriority::kRefresh,
      Transaction{{}, {{AnnouncementKey(self.address), Encode(self)}}});
  const auto tag = platform.Submit(
      ctx, PlatformPriority::kRefresh,
      ScanRows{std::string(kAnnouncementPrefix), "", kScanLimit});
  scan_tag_ = tag.value_or(0);
}

void Membership::HandleScan(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  for (const auto& [key, value] : reply.rows) {
    const auto address = Address::Parse(
        std::string_view(key).substr(kAnnouncementPrefix.size()));
    if (!address || *address == ctx.Settings().self) continue;
    join_candidates_.insert(*address);
  }
  if (ctx.Shared().members.empty()) Join(ctx);
}

void Membership::Join(Context& ctx) {
  // A few candidates suffice: each answers with all that it knows.
  std::vector<Address> candidates(join_candidates_.begin(),
                                  join_candidates_.end());
  for (size_t i = 0; i < kIndirectProbes && !candidates.empty(); ++i) {
    const size_t n = ctx.RandomBelow(static_cast<uint32_t>(candidates.size()));
    ctx.Send(candidates[n], PullMembers{});
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(n));
  }
}

void Membership::HandleTimer(Context& ctx, const TimerFired& timer) {
  switch (timer.kind) {
    case TimerKind::kTick:
      ExpireSuspects(ctx);
      break;
    case TimerKind::kProbe:
      ctx.SetTimerIn(std::chrono::milliseconds(ctx.Settings().probe_period_ms),
                     TimerKind::kProbe);
      ProbeNext(ctx);
      break;
    case TimerKind::kProbeTimeout:
      ProbeIndirectly(ctx, timer.argument);
      break;
    case TimerKind::kProbePeriodEnd:
      EndProbe(ctx, timer.argument);
      break;
    case TimerKind::kRejoin: {
      const bool alone = ctx.Shared().members.empty();
      ctx.SetTimerIn(alone ? kRejoinInterval : kReconnectInterval,
                     TimerKind::kRejoin);
      if (alone) {
        Join(ctx);
        break;
      }
      // Reaches members on the other side of a healed partition.
      std::vector<Address> lost;
      for (const auto& [address, member] : ctx.Shared().members) {
        if (member.status == MemberStatus::kGone) lost.push_back(address);
      }
      for (const Address candidate : join_candidates_) {
        if (!ctx.Shared().members.contains(candidate)) {
          lost.push_back(candidate);
        }
      }
      if (lost.empty()) break;
      const Address target =
          lost[ctx.RandomBelow(static_cast<uint32_t>(lost.size()))];
      SendProbe(ctx, target, {target, {}, 0});
      break;
    }
    default:
      break;
  }
}

Address Membership::NextTarget(Context& ctx) {
  const auto& members = ctx.Shared().members;
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [address, member] : members) {
        if (member.status == MemberStatus::kGone) continue;
        probe_order_.push_back(address);
      }
      if (probe_order_.empty()) return {};
      std::shuffle(probe_order_.begin(), probe_order_.end(), ctx.Random());
    }
    const Address target = probe_order_.back();
    probe_order_.pop_back();
    const auto it = members.find(target);
    if (it == members.end() || it->second.status == MemberStatus::kGone) {
      continue;
    }
    return target;
  }
}

void Membership::ProbeNext(Context& ctx) {
  const Address target = NextTarget(ctx);
  if (!target.IsSet()) return;
  SendProbe(ctx, target, {target, {}, 0});
}

void Membership::SendProbe(Context& ctx, Address target, PendingProbe pending) {
  const uint64_t sequence = ++next_sequence_;
  pending_.emplace(sequence, pending);
  counters_.Add(MembershipCounter::kProbes);
  Gossip gossip = MakeGossip(ctx);
  const auto it = ctx.Shared().members.find(target);
  if (it != ctx.Shared().members.end() &&
      it->second.status != MemberStatus::kAlive) {
    // Lets a member that is wrongly suspected or taken as gone refute it.
    gossip.members.push_back(it->second);
  }
  ctx.SendUdp(target, Probe{sequence, std::move(gossip)});
  const KernelSettings& settings = ctx.Settings();
  ctx.SetTimerIn(std::chrono::milliseconds(settings.probe_timeout_ms),
                 TimerKind::kProbeTimeout, sequence);
  ctx.SetTimerIn(std::chrono::milliseconds(settings.probe_period_ms),
                 TimerKind::kProbePeriodEnd, sequence);
}

void Membership::ProbeIndirectly(Context& ctx, uint64_t sequence) {
  const auto it = pending_.find(sequence);
  if (it == pending_.end() || it->second.asker.IsSet()) return;
  std::vector<Address> helpers;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (address == it->second.target) continue;
    helpers.push_back(address);
  }
  std::shuffle(helpers.begin(), helpers.end(), ctx.Random());
  if (helpers.size() > kIndirectProbes) helpers.resize(kIndirectProbes);
  for (const Address helper : helpers) {
    ctx.SendUdp(helper,
                IndirectProbe{sequence, it->second.target, MakeGossip(ctx)});
  }
}

void Membership::EndProbe(Context& ctx, uint64_t sequence) {
  const auto it = pending_.find(sequence);
  if (it == pending_.end()) return;
  const PendingProbe probe = it->second;
  pending_.erase(it);
  if (probe.asker.IsSet()) return;
  counters_.Add(MembershipCounter::kProbesUnanswered);
  const auto member = ctx.Shared().members.find(probe.target);
  if (member == ctx.Shared().members.end()) return;
  if (member->second.status != MemberStatus::kAlive) return;
  counters_.Add(MembershipCounter::kSuspicions);
  SetStatus(ctx, probe.target, MemberStatus::kSuspect);
}

void Membership::ExpireSuspects(Context& ctx) {
  const Duration limit = std::chrono::milliseconds(ctx.Settings().suspicion_ms);
  std::vector<Address> expired;
  for (const auto& [address, since] : suspected_at_) {
    if (ctx.Now() - since >= limit) expired.push_back(address);
  }
  for (const Address address : expired) {
    counters_.Add(MembershipCounter::kMembersGone);
    SetStatus(ctx, address, MemberStatus::kGone);
  }
}

void Membership::HandleDatagram(Context& ctx,
                                const DatagramReceived& received) {
  const Gossip* gossip = nullptr;
  if (const auto* probe = std::get_if<Probe>(&received.message)) {
    gossip = &probe->gossip;
    ctx.SendUdp(received.from,
                ProbeAck{probe->sequence, ctx.Shared().self.incarnation,
                         MakeGossip(ctx)});
  } else if (const auto* ack = std::get_if<ProbeAck>(&received.message)) {
    gossip = &ack->gossip;
    HandleAck(ctx, *ack);
  } else if (const auto* indirect =
                 std::get_if<IndirectProbe>(&received.message)) {
    gossip = &indirect->gossip;
    SendProbe(ctx, indirect->target,
              {indirect->target, received.from, indirect->sequence});
  }
  if (gossip == nullptr) return;
  for (const Member& member : gossip->members) Merge(ctx, member);
  NoteContact(ctx, received.from);
}

void Membership::HandleAck(Context& ctx, const ProbeAck& ack) {
  const auto it = pending_.find(ack.sequence);
  if (it == pending_.end()) return;
  const PendingProbe probe = it->second;
  pending_.erase(it);
  if (!probe.asker.IsSet()) return;
  ctx.SendUdp(probe.asker,
              ProbeAck{probe.asker_sequence, ack.incarnation, MakeGossip(ctx)});
}

void Membership::NoteContact(Context& ctx, Address from) {
  const auto it = ctx.Shared().members.find(from);
  const bool known = it != ctx.Shared().members.end() &&
                     it->second.status != MemberStatus::kGone;
  if (known || ctx.Now() - last_pull_ < kMinPullInterval) return;
  last_pull_ = ctx.Now();
  counters_.Add(MembershipCounter::kFullPulls);
  ctx.Send(from, PullMembers{});
}

void Membership::HandlePeerMessage(Context& ctx,
                                   const PeerMessageReceived& received) {
  if (std::holds_alternative<PullMembers>(received.message)) {
    ctx.Send(received.from, PushMembers{AllMembers(ctx)});
    const bool unknown = !ctx.Shared().members.contains(received.from);
    if (unknown) ctx.Send(received.from, PullMembers{});
    return;
  }
  const auto* push = std::get_if<PushMembers>(&received.message);
  if (push == nullptr) return;
  for (const Member& member : push->members) Merge(ctx, member);
}

std::vector<Member> Membership::AllMembers(Context& ctx) const {
  std::vector<Member> all = {ctx.Shared().self};
  for (const auto& [address, member] : ctx.Shared().members) {
    all.push_back(member);
  }
  return all;
}

void Membership::Merge(Context& ctx, const Member& member) {
  if (member.address == ctx.Settings().self) {
    RefuteIfNeeded(ctx, member);
    return;
  }
  const auto it = ctx.Shared().members.find(member.address);
  if (it != ctx.Shared().members.end() && !member.Supersedes(it->second)) {
    return;
  }
  Store(ctx, member);
}

void Membership::RefuteIfNeeded(Context& ctx, const Member& rumour) {
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

void Membership::Store(Context& ctx, const Member& member) {
  Member& stored = ctx.Shared().members[member.address];
  const bool first = !stored.address.IsSet();
  const bool status_changed = first || stored.status != member.status;
  stored = member;
  if (member.status == MemberStatus::kSuspect) {
    suspected_at_.emplace(member.address, ctx.Now());
  } else {
    suspected_at_.erase(member.address);
  }
  updates_.Add(member, ctx.Shared().members.size());
  if (status_changed) {
    ctx.Log(LogTopic::kMemberStatus,
            {{"member", member.address.ToString()},
             {"status", std::string(NameOf(member.status))}});
  }
  ctx.Raise(MemberChanged{member.address});
}

void Membership::SetStatus(Context& ctx, Address address, MemberStatus status) {
  Member member = ctx.Shared().members.at(address);
  member.status = status;
  Store(ctx, member);
}

void Membership::UpdateSelf(Context& ctx) {
  Member& self = ctx.Shared().self;
  ++self.sequence;
  updates_.Add(self, ctx.Shared().members.size());
}

void Membership::Leave(Context& ctx) {
  ctx.Shared().self.status = MemberStatus::kLeaving;
  UpdateSelf(ctx);
  ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kRefresh,
      Transaction{{}, {{AnnouncementKey(ctx.Settings().self), std::nullopt}}});
  // The news goes out at once instead of with the next periodic probe.
  for (size_t i = 0; i < kIndirectProbes; ++i) ProbeNext(ctx);
}

Gossip Membership::MakeGossip(Context& ctx) {
  return {ctx.Shared().held->version, updates_.Take(kGossipBytes)};
}

}  // namespace buckthorncart
