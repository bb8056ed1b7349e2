#pragma once
/// \file
/// Definitions of `ConfigurationReplica`; include configuration_replica.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Plugins/Configuration/configuration_replica.h"
#include "Plugins/Configuration/datagram_version.h"

namespace buckthorncart {

inline constexpr Duration kPullTimeout = 1s;
/// Maximum number of doublings of the retry delay after invalid data, which
/// limits it to 8 s.
inline constexpr uint32_t kMaxPullRetryDoublings = 3;
/// Maximum number of full snapshots served between two `kHeadRead` timers, so
/// that many daemons starting at once don't occupy the event loop.
inline constexpr uint32_t kMaxSnapshotsPerInterval = 20;
inline constexpr uint32_t kSnapshotRetryMs = 1'000;
/// Limits for the retry delay that a busy peer may request.
inline constexpr uint32_t kMinBusyRetryMs = 100;
inline constexpr uint32_t kMaxBusyRetryMs = 10'000;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::Attach(Context& ctx) {
  ctx.Shared().recent_changes = &store_.RetainedChanges();
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_version", [this] {
    return static_cast<double>(store_.Held()->version);
  });
  ctx.AllMetrics().AddGauge("configuration_floor_known",
                            [this] { return floor_.IsKnown() ? 1.0 : 0.0; });
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::Handle(Context& ctx,
                                                 const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    ctx.SetTimerIn(
        std::chrono::milliseconds(ctx.Settings().head_read_interval_ms),
        TimerKind::kHeadRead);
    BeginStart(ctx);
  } else if (const auto* frozen = std::get_if<EventLoopStalled>(&event)) {
    ctx.Log(LogTopic::kFrozen, {{"us", std::to_string(frozen->stalled_us)}},
            LogLevel::kWarning);
    if (Rules::kWaitForFloor) BeginStart(ctx);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandlePlatform(ctx, *replied);
  } else if (const auto* head = std::get_if<HeadObserved>(&event)) {
    HandleHeadRow(ctx, head->row);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    RecordPeerVersion(ctx, datagram->from, VersionIn(datagram->message));
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandleConnectionLost(ctx, lost->peer);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleConnectionLost(Context& ctx,
                                                               Address peer) {
  floor_.RecordUnreachable(peer);
  DecideFloor(ctx);
  if (Rules::kRetryOtherPeer && pull_.from == peer) {
    EndPull(peer);
    PullFromOtherPeer(ctx);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleTimer(Context& ctx,
                                                      const TimerFired& timer) {
  switch (timer.kind) {
    case TimerKind::kTick:
      DecideFloor(ctx);
      break;
    case TimerKind::kStartRetry:
      if (timer.argument != floor_.Round()) break;
      DecideFloor(ctx);
      if (!ctx.Shared().ready) QueryFloor(ctx);
      break;
    case TimerKind::kPullTimeout:
      if (timer.argument != pull_.number || !pull_.from.IsSet()) break;
      counters_.Add(ConfigurationCounter::kPullsUnanswered);
      EndPull(pull_.from);
      if (Rules::kRetryOtherPeer) PullFromOtherPeer(ctx);
      break;
    case TimerKind::kConfigurationRetry:
      distrusted_peers_.clear();
      PullFromOtherPeer(ctx);
      break;
    case TimerKind::kHeadRead:
      ctx.SetTimerIn(
          std::chrono::milliseconds(ctx.Settings().head_read_interval_ms),
          TimerKind::kHeadRead);
      snapshots_this_interval_ = 0;
      if (Rules::kPollHead && IsHeadReader(ctx)) ReadHead(ctx);
      break;
    default:
      break;
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  const Address from = received.from;
  const PeerMessage& message = received.message;
  if (const auto* query = std::get_if<FloorQuery>(&message)) {
    ctx.Send(from, FloorReport{store_.Held()->version, peer_versions_[from],
                               ctx.Shared().ready, query->round});
  } else if (const auto* report = std::get_if<FloorReport>(&message)) {
    HandleFloorReport(ctx, from, *report);
  } else if (const auto* held = std::get_if<VersionHeld>(&message)) {
    if (held->for_record) {
      peer_versions_[from] = std::max(peer_versions_[from], held->version);
    } else {
      RecordPeerVersion(ctx, from, held->version);
    }
  } else if (const auto* pull = std::get_if<PullChanges>(&message)) {
    RecordPeerVersion(ctx, from, pull->version);
    ServePull(ctx, from, *pull);
  } else if (const auto* push = std::get_if<PushChanges>(&message)) {
    ApplyChanges(ctx, from, push->changes);
  } else if (const auto* whole = std::get_if<PushSnapshot>(&message)) {
    ApplySnapshot(ctx, from, whole->snapshot);
  } else if (const auto* busy = std::get_if<SnapshotBusy>(&message)) {
    EndPull(from);
    const uint32_t wait_ms =
        std::clamp(busy->retry_after_ms, kMinBusyRetryMs, kMaxBusyRetryMs);
    ctx.SetTimerIn(
        std::chrono::milliseconds(wait_ms + ctx.RandomBelow(wait_ms)),
        TimerKind::kConfigurationRetry);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::RecordPeerVersion(Context& ctx,
                                                            Address peer,
                                                            uint64_t version) {
  uint64_t& known_version = peer_versions_[peer];
  known_version = std::max(known_version, version);
  if (version > store_.Held()->version) Pull(ctx, peer, false);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::Pull(Context& ctx, Address peer,
                                               bool whole) {
  const bool waiting =
      pull_.from.IsSet() && ctx.Now() - pull_.since < kPullTimeout;
  if (waiting || peer == ctx.Settings().self) return;
  if (Rules::kRetryOtherPeer && distrusted_peers_.contains(peer)) return;
  pull_ = {peer, ctx.Now(), pull_.number + 1};
  ctx.SetTimerIn(kPullTimeout, TimerKind::kPullTimeout, pull_.number);
  counters_.Add(ConfigurationCounter::kPullsSent);
  // After a second invalid delta a full snapshot is requested, since deltas
  // from this point may not apply.
  const bool whole_snapshot = whole || held_back_count_ > 1;
  ctx.Send(peer, PullChanges{store_.Held()->version, whole_snapshot});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::PullFromOtherPeer(Context& ctx) {
  std::vector<Address> newer_peers;
  for (const auto& [address, version] : peer_versions_) {
    if (version <= store_.Held()->version) continue;
    if (address == ctx.Settings().self || distrusted_peers_.contains(address)) {
      continue;
    }
    const auto it = ctx.Shared().members.find(address);
    const bool gone = it != ctx.Shared().members.end() &&
                      it->second.status == MemberStatus::kGone;
    if (!gone) newer_peers.push_back(address);
  }
  if (!newer_peers.empty()) {
    const size_t n = ctx.RandomBelow(static_cast<uint32_t>(newer_peers.size()));
    Pull(ctx, newer_peers[n], false);
    return;
  }
  if (distrusted_peers_.empty()) return;
  // Data from the platform is recorded under this daemon's own address, so the
  // platform is skipped here if its data was invalid.
  if (!distrusted_peers_.contains(ctx.Settings().self)) ReadHead(ctx);
  const uint32_t doublings = std::min(held_back_count_, kMaxPullRetryDoublings);
  ctx.SetTimerIn(kPullTimeout * (1U << doublings),
                 TimerKind::kConfigurationRetry);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::EndPull(Address peer) {
  if (pull_.from == peer) pull_.from = {};
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::ServePull(Context& ctx, Address peer,
                                                    const PullChanges& pull) {
  const Snapshot& held = *store_.Held();
  if (pull.version >= held.version && !pull.whole) {
    ctx.Send(peer, VersionHeld{held.version});
    return;
  }
  counters_.Add(ConfigurationCounter::kPullsServed);
  if (!pull.whole) {
    auto changes = store_.ChangesAfter(pull.version);
    if (changes) {
      ctx.Send(peer, PushChanges{std::move(*changes)});
      return;
    }
  }
  if (snapshots_this_interval_ >= kMaxSnapshotsPerInterval) {
    counters_.Add(ConfigurationCounter::kSnapshotsRefused);
    ctx.Send(peer, SnapshotBusy{kSnapshotRetryMs});
    return;
  }
  ++snapshots_this_interval_;
  counters_.Add(ConfigurationCounter::kSnapshotsServed);
  ctx.Send(peer, PushSnapshot{held});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::ApplyChanges(
    Context& ctx, Address from, const std::vector<Change>& changes) {
  const uint64_t before = store_.Held()->version;
  bool gap = false;
  bool bad = false;
  for (const Change& change : changes) {
    const auto applied = store_.Apply(change);
    if (applied) {
      counters_.Add(ConfigurationCounter::kVersionsTaken);
      continue;
    }
    const Errc code = applied.error().code;
    if (code == Errc::kStaleVersion) {
      counters_.Add(ConfigurationCounter::kStaleIgnored);
      continue;
    }
    gap = code == Errc::kVersionGap;
    bad = !gap;
    if (bad) HoldBack(ctx, from, change.version, applied.error());
    break;
  }
  EndPull(from);
  if (!changes.empty() && !bad) {
    uint64_t& known_version = peer_versions_[from];
    known_version = std::max(known_version, changes.back().version);
  }
  if (store_.Held()->version != before) Adopt(ctx, from);
  if (from != ctx.Settings().self) {
    ctx.Send(from, VersionHeld{store_.Held()->version});
  }
  if (gap) Pull(ctx, from, false);
  if (!bad) return;
  if (Rules::kRetryOtherPeer) {
    PullFromOtherPeer(ctx);
  } else {
    Pull(ctx, from, true);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::ApplySnapshot(
    Context& ctx, Address from, const Snapshot& snapshot) {
  EndPull(from);
  const auto applied = store_.Apply(snapshot);
  if (applied) {
    counters_.Add(ConfigurationCounter::kVersionsTaken);
    Adopt(ctx, from);
    if (from != ctx.Settings().self) {
      ctx.Send(from, VersionHeld{store_.Held()->version});
    }
    return;
  }
  if (applied.error().code == Errc::kStaleVersion) {
    counters_.Add(ConfigurationCounter::kStaleIgnored);
    return;
  }
  HoldBack(ctx, from, snapshot.version, applied.error());
  if (Rules::kRetryOtherPeer) PullFromOtherPeer(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HoldBack(Context& ctx, Address from,
                                                   uint64_t version,
                                                   const Failure& failure) {
  distrusted_peers_.insert(from);
  ++held_back_count_;
  counters_.Add(ConfigurationCounter::kVersionsHeldBack);
  ctx.Log(LogTopic::kVersionHeldBack,
          {{"version", std::to_string(version)},
           {"reason", std::string(NameOf(failure.code))}},
          LogLevel::kWarning);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::Adopt(Context& ctx, Address from) {
  const uint64_t version = store_.Held()->version;
  ctx.Shared().held = store_.Held();
  distrusted_peers_.clear();
  held_back_count_ = 0;
  UpdateReady(ctx);
  ctx.Log(LogTopic::kVersionHeld, {{"version", std::to_string(version)}});
  ctx.Raise(ConfigurationAdopted{version});
  Spread(ctx, from);
  NotifyWitnesses(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::Spread(Context& ctx, Address from) {
  const uint64_t version = store_.Held()->version;
  for (const SpreadTarget& target : policy_.Targets(ctx, from, version)) {
    const auto it = peer_versions_.find(target.to);
    if (it != peer_versions_.end() && it->second >= version) continue;
    // The peer's last known version estimates which changes it lacks. If the
    // estimate is too high, the peer pulls the missing changes.
    const uint64_t base = it == peer_versions_.end() ? version - 1 : it->second;
    auto changes = store_.ChangesAfter(std::min(base, version - 1));
    if (target.push && changes) {
      counters_.Add(ConfigurationCounter::kPushesSent);
      ctx.Send(target.to, PushChanges{std::move(*changes)});
      continue;
    }
    counters_.Add(ConfigurationCounter::kHintsSent);
    ctx.SendUdp(target.to, VersionHint{version});
  }
}

}  // namespace buckthorncart
