#pragma once
/// \file
/// Definitions of `ConfigurationHolder`; include configuration_holder.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Plugins/Configuration/configuration_holder.h"

namespace buckthorncart {

inline constexpr Duration kPullTimeout = 1s;
/// Bound on the doublings of the wait after something bad, to 8 s.
inline constexpr uint32_t kMaxRetryDoublings = 3;
/// Whole snapshots served in a second, so that a herd of starting daemons
/// does not take all of the loop.
inline constexpr uint32_t kSnapshotsEachSecond = 20;
inline constexpr uint32_t kSnapshotRetryMs = 1'000;
/// Bounds on the wait that a busy peer may ask for.
inline constexpr uint32_t kMinBusyRetryMs = 100;
inline constexpr uint32_t kMaxBusyRetryMs = 10'000;
template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Attach(Context& ctx) {
  ctx.Shared().recent_changes = &store_.Kept();
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_version", [this] {
    return static_cast<double>(store_.Held()->version);
  });
  ctx.AllMetrics().AddGauge("configuration_floor_known",
                            [this] { return floor_.Known() ? 1.0 : 0.0; });
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Handle(Context& ctx,
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
    const uint64_t version = std::visit(
        [](const auto& message) {
          if constexpr (requires { message.version; })
            return message.version;
          else
            return message.gossip.version;
        },
        datagram->message);
    NoteVersion(ctx, datagram->from, version);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandleLost(ctx, lost->peer);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleLost(Context& ctx,
                                                    Address peer) {
  floor_.NoteUnreachable(peer);
  DecideFloor(ctx);
  if (Rules::kAskAnotherPeer && pull_.from == peer) {
    EndPull(peer);
    PullFromAnother(ctx);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleTimer(Context& ctx,
                                                     const TimerFired& timer) {
  switch (timer.kind) {
    case TimerKind::kTick:
      DecideFloor(ctx);
      break;
    case TimerKind::kStartRetry:
      if (timer.argument != floor_.Round()) break;
      DecideFloor(ctx);
      if (!ctx.Shared().ready) AskForFloor(ctx);
      break;
    case TimerKind::kPullTimeout:
      if (timer.argument != pull_.number || !pull_.from.IsSet()) break;
      counters_.Add(ConfigurationCounter::kPullsUnanswered);
      EndPull(pull_.from);
      if (Rules::kAskAnotherPeer) PullFromAnother(ctx);
      break;
    case TimerKind::kConfigurationRetry:
      distrusted_.clear();
      PullFromAnother(ctx);
      break;
    case TimerKind::kHeadRead:
      ctx.SetTimerIn(
          std::chrono::milliseconds(ctx.Settings().head_read_interval_ms),
          TimerKind::kHeadRead);
      snapshots_this_second_ = 0;
      if (Rules::kReadHead && ReadsHead(ctx)) ReadHead(ctx);
      break;
    default:
      break;
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  const Address from = received.from;
  const PeerMessage& message = received.message;
  if (const auto* query = std::get_if<FloorQuery>(&message)) {
    ctx.Send(from, FloorReport{store_.Held()->version, heard_[from],
                               ctx.Shared().ready, query->round});
  } else if (const auto* report = std::get_if<FloorReport>(&message)) {
    HandleFloorReport(ctx, from, *report);
  } else if (const auto* held = std::get_if<VersionHeld>(&message)) {
    if (held->for_record) {
      heard_[from] = std::max(heard_[from], held->version);
    } else {
      NoteVersion(ctx, from, held->version);
    }
  } else if (const auto* pull = std::get_if<PullChanges>(&message)) {
    NoteVersion(ctx, from, pull->version);
    ServePull(ctx, from, *pull);
  } else if (const auto* push = std::get_if<PushChanges>(&message)) {
    TakeChanges(ctx, from, push->changes);
  } else if (const auto* whole = std::get_if<PushSnapshot>(&message)) {
    TakeSnapshot(ctx, from, whole->snapshot);
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
void ConfigurationHolder<Policy, Rules>::NoteVersion(Context& ctx, Address peer,
                                                     uint64_t version) {
  uint64_t& heard = heard_[peer];
  heard = std::max(heard, version);
  if (version > store_.Held()->version) Pull(ctx, peer, false);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Pull(Context& ctx, Address peer,
                                              bool whole) {
  const bool waiting =
      pull_.from.IsSet() && ctx.Now() - pull_.since < kPullTimeout;
  if (waiting || peer == ctx.Settings().self) return;
  if (Rules::kAskAnotherPeer && distrusted_.contains(peer)) return;
  pull_ = {peer, ctx.Now(), pull_.number + 1};
  ctx.SetTimerIn(kPullTimeout, TimerKind::kPullTimeout, pull_.number);
  counters_.Add(ConfigurationCounter::kPullsSent);
  // A second bad delta shows that deltas do not help.
  const bool ask_whole = whole || held_back_ > 1;
  ctx.Send(peer, PullChanges{store_.Held()->version, ask_whole});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::PullFromAnother(Context& ctx) {
  std::vector<Address> ahead;
  for (const auto& [address, version] : heard_) {
    if (version <= store_.Held()->version) continue;
    if (address == ctx.Settings().self || distrusted_.contains(address)) {
      continue;
    }
    const auto it = ctx.Shared().members.find(address);
    const bool gone = it != ctx.Shared().members.end() &&
                      it->second.status == MemberStatus::kGone;
    if (!gone) ahead.push_back(address);
  }
  if (!ahead.empty()) {
    const size_t n = ctx.RandomBelow(static_cast<uint32_t>(ahead.size()));
    Pull(ctx, ahead[n], false);
    return;
  }
  if (distrusted_.empty()) return;
  // What the platform has sent counts as sent by this daemon itself.
  if (!distrusted_.contains(ctx.Settings().self)) ReadHead(ctx);
  const uint32_t doublings = std::min(held_back_, kMaxRetryDoublings);
  ctx.SetTimerIn(kPullTimeout * (1U << doublings),
                 TimerKind::kConfigurationRetry);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::EndPull(Address peer) {
  if (pull_.from == peer) pull_.from = {};
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::ServePull(Context& ctx, Address peer,
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
  if (snapshots_this_second_ >= kSnapshotsEachSecond) {
    counters_.Add(ConfigurationCounter::kSnapshotsRefused);
    ctx.Send(peer, SnapshotBusy{kSnapshotRetryMs});
    return;
  }
  ++snapshots_this_second_;
  counters_.Add(ConfigurationCounter::kSnapshotsServed);
  ctx.Send(peer, PushSnapshot{held});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::TakeChanges(
    Context& ctx, Address from, const std::vector<Change>& changes) {
  const uint64_t before = store_.Held()->version;
  bool gap = false;
  bool bad = false;
  for (const Change& change : changes) {
    const auto taken = store_.Take(change);
    if (taken) {
      counters_.Add(ConfigurationCounter::kVersionsTaken);
      continue;
    }
    const Errc code = taken.error().code;
    if (code == Errc::kStaleVersion) {
      counters_.Add(ConfigurationCounter::kStaleIgnored);
      continue;
    }
    gap = code == Errc::kVersionGap;
    bad = !gap;
    if (bad) HoldBack(ctx, from, change.version, taken.error());
    break;
  }
  EndPull(from);
  if (!changes.empty() && !bad) {
    uint64_t& heard = heard_[from];
    heard = std::max(heard, changes.back().version);
  }
  if (store_.Held()->version != before) Adopt(ctx, from);
  if (from != ctx.Settings().self) {
    ctx.Send(from, VersionHeld{store_.Held()->version});
  }
  if (gap) Pull(ctx, from, false);
  if (!bad) return;
  if (Rules::kAskAnotherPeer) {
    PullFromAnother(ctx);
  } else {
    Pull(ctx, from, true);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::TakeSnapshot(
    Context& ctx, Address from, const Snapshot& snapshot) {
  EndPull(from);
  const auto taken = store_.Take(snapshot);
  if (taken) {
    counters_.Add(ConfigurationCounter::kVersionsTaken);
    Adopt(ctx, from);
    if (from != ctx.Settings().self) {
      ctx.Send(from, VersionHeld{store_.Held()->version});
    }
    return;
  }
  if (taken.error().code == Errc::kStaleVersion) {
    counters_.Add(ConfigurationCounter::kStaleIgnored);
    return;
  }
  HoldBack(ctx, from, snapshot.version, taken.error());
  if (Rules::kAskAnotherPeer) PullFromAnother(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HoldBack(Context& ctx, Address from,
                                                  uint64_t version,
                                                  const Failure& failure) {
  distrusted_.insert(from);
  ++held_back_;
  counters_.Add(ConfigurationCounter::kVersionsHeldBack);
  ctx.Log(LogTopic::kVersionHeldBack,
          {{"version", std::to_string(version)},
           {"reason", std::string(NameOf(failure.code))}},
          LogLevel::kWarning);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Adopt(Context& ctx, Address from) {
  const uint64_t version = store_.Held()->version;
  ctx.Shared().held = store_.Held();
  distrusted_.clear();
  held_back_ = 0;
  UpdateReady(ctx);
  ctx.Log(LogTopic::kVersionHeld, {{"version", std::to_string(version)}});
  ctx.Raise(ConfigurationAdopted{version});
  Spread(ctx, from);
  TellWitnesses(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Spread(Context& ctx, Address from) {
  const uint64_t version = store_.Held()->version;
  for (const SpreadTarget& target : policy_.Targets(ctx, from, version)) {
    const auto it = heard_.find(target.to);
    if (it != heard_.end() && it->second >= version) continue;
    // A peer's last known version is a guess at what it lacks; a wrong guess
    // makes it pull.
    const uint64_t base = it == heard_.end() ? version - 1 : it->second;
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
