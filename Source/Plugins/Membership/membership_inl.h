#pragma once
/// \file
/// Failure detection of `Membership`; include membership.h.

#include <algorithm>
#include <string>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Admission/leave_record.h"
#include "Plugins/Membership/membership.h"
#include "Plugins/PlatformCalls/restore_delay.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Number of members through which an unanswered probe is repeated, of daemons
/// that are asked for their table when joining, and of probes sent when
/// leaving.
inline constexpr size_t kIndirectProbes = 3;
inline constexpr Duration kRejoinInterval = 1s;
/// Interval of the attempts to reach a member that is marked as gone.
inline constexpr Duration kReconnectInterval = 5s;
/// Time between two events after which this daemon counts its own event loop as
/// blocked. The kernel delivers ticks more often than this.
inline constexpr Duration kPauseThreshold = 500ms;
inline constexpr uint32_t kScanLimit = 2'000;
inline constexpr std::string_view kAnnouncementPrefix = "vm/";

inline std::string AnnouncementKey(Address address) {
  return std::string(kAnnouncementPrefix) + address.ToString();
}

template <MembershipRules Rules>
void Membership<Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  SharedState& shared = ctx.Shared();
  ctx.AllMetrics().AddGauge("members", [&shared] {
    return static_cast<double>(shared.members.size() + 1);
  });
  for (const Address peer : ctx.Settings().peers) {
    join_candidates_.emplace(peer, Time{});
  }
  join_candidates_.erase(ctx.Settings().self);
}

template <MembershipRules Rules>
void Membership<Rules>::Handle(Context& ctx, const Event& event) {
  DiscountLocalPause(ctx);
  if (const auto* started = std::get_if<Started>(&event)) {
    Start(ctx, started->wall_ms);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    HandleDatagram(ctx, *datagram);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandlePlatform(ctx, *replied);
  } else if (const auto* backend = std::get_if<LocalBackendChanged>(&event)) {
    HandleLocalBackend(ctx, backend->backend);
  } else if (const auto* learned = std::get_if<LocalCapacityChanged>(&event)) {
    ctx.Shared().self.capacity = learned->capacity;
    ctx.Shared().self.pace_per_mille = learned->pace_per_mille;
    UpdateSelf(ctx);
  } else if (const auto* relay =
                 std::get_if<ConfigurationRelayChanged>(&event)) {
    ctx.Shared().self.relays = relay->can_relay;
    UpdateSelf(ctx);
  } else if (const auto* known = std::get_if<EarlierBackendKnown>(&event)) {
    HandleEarlierBackend(ctx, known->is_conclusive);
  } else if (std::holds_alternative<DrainStarted>(event)) {
    Leave(ctx);
  } else if (std::holds_alternative<PlatformRestored>(event)) {
    HandleRestore(ctx);
  }
}

/// The restored store may lack the row of this daemon, by which those that
/// start find the fleet.
template <MembershipRules Rules>
void Membership<Rules>::HandleRestore(Context& ctx) {
  announced_ = false;
  announcement_tag_ = 0;
  announce_again_at_ = ctx.Now() + RestoreDelay(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::HandleEarlierBackend(Context& ctx, bool is_conclusive) {
  Member& self = ctx.Shared().self;
  const bool is_first = !std::exchange(published_, true);
  const bool confirms =
      is_conclusive && !std::exchange(self.is_confirmed, true);
  if (is_first || confirms) UpdateSelf(ctx);
}

/// Drops pending probes and postpones the expiry of suspicions if the event
/// loop of this daemon was blocked: time in which it could not receive answers
/// is no evidence that other members failed.
template <MembershipRules Rules>
void Membership<Rules>::DiscountLocalPause(Context& ctx) {
  const Duration elapsed = ctx.Now() - std::exchange(last_event_, ctx.Now());
  if (!Rules::kDiscountLocalPause || elapsed < kPauseThreshold ||
      elapsed == ctx.Now())
    return;
  counters_.Add(MembershipCounter::kPauses);
  pending_.clear();
  for (auto& [address, since] : suspected_since_) since += elapsed;
}

template <MembershipRules Rules>
void Membership<Rules>::Start(Context& ctx, uint64_t wall_ms) {
  Member& self = ctx.Shared().self;
  self.address = ctx.Settings().self;
  self.data_centre = ctx.Settings().data_centre;
  self.incarnation = wall_ms;
  self.link_kbps = ctx.Settings().link_kbps;
  self.is_confirmed = false;
  UpdateSelf(ctx);
  AnnounceToPlatform(ctx);
  Join(ctx);
  const Duration period =
      std::chrono::milliseconds(ctx.Settings().probe_period_ms);
  // A random offset spreads the probes of daemons that start together over the
  // period.
  const Duration offset(ctx.RandomBelow(static_cast<uint32_t>(period.count())));
  ctx.SetTimerIn(offset, TimerKind::kProbe);
  ctx.SetTimerIn(kRejoinInterval, TimerKind::kRejoin);
}

template <MembershipRules Rules>
void Membership<Rules>::AnnounceToPlatform(Context& ctx) {
  PlatformQueue& platform = *ctx.Shared().platform;
  const Member& self = ctx.Shared().self;
  if (!announced_) {
    const auto tag = platform.Submit(
        ctx, PlatformPriority::kBackground,
        Transaction{{}, {{AnnouncementKey(self.address), Encode(self)}}});
    announcement_tag_ = tag.value_or(0);
  }
  if (!scanned_) {
    const auto tag = platform.Submit(
        ctx, PlatformPriority::kBackground,
        ScanRows{std::string(kAnnouncementPrefix), "", kScanLimit});
    scan_tag_ = tag.value_or(0);
  }
}

template <MembershipRules Rules>
void Membership<Rules>::AnnounceAgain(Context& ctx) {
  if (!announce_again_at_ || ctx.Now() < *announce_again_at_) return;
  announce_again_at_.reset();
  if (ctx.Shared().self.status == MemberStatus::kAlive) AnnounceToPlatform(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::HandlePlatform(Context& ctx,
                                       const PlatformReplied& replied) {
  const bool ok = replied.reply.status == PlatformStatus::kOk;
  if (replied.tag == announcement_tag_) {
    announced_ = announced_ || ok;
  } else if (replied.tag == scan_tag_) {
    scanned_ = scanned_ || ok;
    HandleScan(ctx, replied.reply);
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandleScan(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  for (const auto& [key, value] : reply.rows) {
    // Others may have left rows that are not of a daemon.
    if (!key.starts_with(kAnnouncementPrefix)) continue;
    const auto address = Address::Parse(
        std::string_view(key).substr(kAnnouncementPrefix.size()));
    if (!address || *address == ctx.Settings().self) continue;
    join_candidates_.emplace(*address, ctx.Now());
  }
  // The others may have a record of an earlier process at this address.
  const bool asks = !ctx.Shared().self.is_confirmed;
  if (ctx.Shared().members.empty() || asks) Join(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::Join(Context& ctx) {
  // A few candidates are enough, since each replies with its whole table.
  std::vector<Address> candidates;
  for (const auto& [address, since] : join_candidates_) {
    candidates.push_back(address);
  }
  for (size_t i = 0; i < kIndirectProbes && !candidates.empty(); ++i) {
    const size_t n = ctx.RandomBelow(static_cast<uint32_t>(candidates.size()));
    ctx.Send(candidates[n], PullMembers{});
    candidates.erase(candidates.begin() + static_cast<ptrdiff_t>(n));
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandleTimer(Context& ctx, const TimerFired& timer) {
  switch (timer.kind) {
    case TimerKind::kTick:
      ExpireSuspects(ctx);
      if (Rules::kRemoveGone) RemoveGoneMembers(ctx);
      AnnounceAgain(ctx);
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
      HandleProbePeriodEnd(ctx, timer.argument);
      break;
    case TimerKind::kRejoin:
      Rejoin(ctx);
      break;
    default:
      break;
  }
}

template <MembershipRules Rules>
void Membership<Rules>::Rejoin(Context& ctx) {
  const auto& members = ctx.Shared().members;
  // Requests to the platform are repeated until it answers.
  const bool known = announced_ && scanned_ && !members.empty();
  if (ctx.Shared().self.status == MemberStatus::kAlive) AnnounceToPlatform(ctx);
  ctx.SetTimerIn(known ? kReconnectInterval : kRejoinInterval,
                 TimerKind::kRejoin);
  if (members.empty()) {
    Join(ctx);
    return;
  }
  // Probes one unreachable daemon, so that the two sides of a partition merge
  // once it has healed.
  std::vector<Address> unreachable;
  for (const auto& [address, since] : gone_since_)
    unreachable.push_back(address);
  for (const auto& [candidate, since] : join_candidates_) {
    if (!members.contains(candidate)) unreachable.push_back(candidate);
  }
  if (unreachable.empty()) return;
  const Address target =
      unreachable[ctx.RandomBelow(static_cast<uint32_t>(unreachable.size()))];
  SendProbe(ctx, target, {target, {}, 0});
}

template <MembershipRules Rules>
Address Membership<Rules>::NextProbeTarget(Context& ctx) {
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

template <MembershipRules Rules>
void Membership<Rules>::ProbeNext(Context& ctx) {
  const Address target = NextProbeTarget(ctx);
  if (!target.IsSet()) return;
  SendProbe(ctx, target, {target, {}, 0});
}

template <MembershipRules Rules>
void Membership<Rules>::SendProbe(Context& ctx, Address target,
                                  PendingProbe pending) {
  const uint64_t sequence = ++next_sequence_;
  Gossip gossip = MakeGossip(ctx, target);
  for (const Member& member : gossip.members) {
    if (member.address != ctx.Settings().self) continue;
    pending.own_sequence = member.sequence;
  }
  pending_.emplace(sequence, pending);
  counters_.Add(MembershipCounter::kProbes);
  ctx.SendUdp(target, Probe{sequence, std::move(gossip)});
  const KernelSettings& settings = ctx.Settings();
  ctx.SetTimerIn(std::chrono::milliseconds(settings.probe_timeout_ms),
                 TimerKind::kProbeTimeout, sequence);
  ctx.SetTimerIn(std::chrono::milliseconds(settings.probe_period_ms),
                 TimerKind::kProbePeriodEnd, sequence);
}

template <MembershipRules Rules>
void Membership<Rules>::ProbeIndirectly(Context& ctx, uint64_t sequence) {
  const auto it = pending_.find(sequence);
  if (it == pending_.end() || it->second.requester.IsSet()) return;
  std::vector<Address> intermediaries;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (address == it->second.target) continue;
    intermediaries.push_back(address);
  }
  std::shuffle(intermediaries.begin(), intermediaries.end(), ctx.Random());
  if (intermediaries.size() > kIndirectProbes)
    intermediaries.resize(kIndirectProbes);
  for (const Address intermediary : intermediaries) {
    ctx.SendUdp(intermediary, IndirectProbe{sequence, it->second.target,
                                            MakeGossip(ctx, intermediary)});
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandleProbePeriodEnd(Context& ctx, uint64_t sequence) {
  const auto it = pending_.find(sequence);
  if (it == pending_.end()) return;
  const PendingProbe probe = it->second;
  pending_.erase(it);
  if (probe.requester.IsSet()) return;
  counters_.Add(MembershipCounter::kProbesUnanswered);
  const auto member = ctx.Shared().members.find(probe.target);
  if (member == ctx.Shared().members.end()) return;
  if (member->second.status == MemberStatus::kLeaving) {
    // The status stays `leaving` until it becomes `gone`; it never becomes
    // `suspect`.
    if (Rules::kExpireLeaving)
      suspected_since_.emplace(probe.target, ctx.Now());
    return;
  }
  if (member->second.status != MemberStatus::kAlive) return;
  counters_.Add(MembershipCounter::kSuspicions);
  SetStatus(ctx, probe.target, MemberStatus::kSuspect);
}

template <MembershipRules Rules>
void Membership<Rules>::ExpireSuspects(Context& ctx) {
  const Duration limit = std::chrono::milliseconds(ctx.Settings().suspicion_ms);
  std::vector<Address> expired;
  for (const auto& [address, since] : suspected_since_) {
    if (ctx.Now() - since >= limit) expired.push_back(address);
  }
  for (const Address address : expired) {
    counters_.Add(MembershipCounter::kMembersGone);
    SetStatus(ctx, address, MemberStatus::kGone);
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandleDatagram(Context& ctx,
                                       const DatagramReceived& received) {
  const Address from = received.from;
  if (const auto* request = std::get_if<MemberDigests>(&received.message)) {
    SendDifferingRecords(ctx, from, *request);
  } else if (const auto* probe = std::get_if<Probe>(&received.message)) {
    HandleGossip(ctx, from, probe->gossip, true);
    ctx.SendUdp(from, ProbeAck{probe->sequence, ctx.Shared().self.incarnation,
                               MakeGossip(ctx, from)});
  } else if (const auto* ack = std::get_if<ProbeAck>(&received.message)) {
    HandleAck(ctx, *ack);
    const bool refuted = HandleGossip(ctx, from, ack->gossip, true);
    // Sends the refutation immediately to the daemon whose gossip caused it.
    if (refuted) SendProbe(ctx, from, {from, {}, 0});
  } else if (const auto* indirect =
                 std::get_if<IndirectProbe>(&received.message)) {
    HandleGossip(ctx, from, indirect->gossip, true);
    SendProbe(ctx, indirect->target,
              {indirect->target, from, indirect->sequence});
  } else if (const auto* records =
                 std::get_if<MemberRecords>(&received.message)) {
    HandleGossip(ctx, from, records->gossip, false);
  }
}

template <MembershipRules Rules>
void Membership<Rules>::HandleAck(Context& ctx, const ProbeAck& ack) {
  const auto it = pending_.find(ack.sequence);
  if (it == pending_.end()) return;
  const PendingProbe probe = it->second;
  pending_.erase(it);
  const auto member = ctx.Shared().members.find(probe.target);
  const bool leaving = member != ctx.Shared().members.end() &&
                       member->second.status == MemberStatus::kLeaving;
  if (leaving) suspected_since_.erase(probe.target);
  if (probe.own_sequence > 0) {
    ctx.Raise(OwnRecordReceived{probe.target, probe.own_sequence});
  }
  if (!probe.requester.IsSet()) return;
  ctx.SendUdp(probe.requester,
              ProbeAck{probe.requester_sequence, ack.incarnation,
                       MakeGossip(ctx, probe.requester)});
}

template <MembershipRules Rules>
void Membership<Rules>::HandleLocalBackend(Context& ctx,
                                           const BackendAnnouncement& backend) {
  const BackendAnnouncement previous =
      std::exchange(ctx.Shared().self.backend, backend);
  UpdateSelf(ctx);
  const bool leaves =
      backend.left && !(previous.left && IsSameStart(previous, backend));
  if (!leaves) return;
  // Sent immediately: its acknowledgement to the backend server may depend on
  // the daemons that know of it.
  for (size_t i = 0; i < kIndirectProbes; ++i) ProbeNext(ctx);
}

template <MembershipRules Rules>
void Membership<Rules>::Leave(Context& ctx) {
  ctx.Shared().self.status = MemberStatus::kLeaving;
  UpdateSelf(ctx);
  DeleteAnnouncement(ctx, ctx.Settings().self);
  // Sends the new status immediately instead of with the next periodic probe.
  for (size_t i = 0; i < kIndirectProbes; ++i) ProbeNext(ctx);
}

}  // namespace buckthorncart
