#pragma once
/// \file
/// Definitions of `ConfigurationHolder`; include configuration_holder.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Kernel/platform_queue.h"
#include "Plugins/configuration_holder.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Time for floor reports to arrive when the platform is unavailable.
inline constexpr Duration kFloorWindow = 2s;
inline constexpr Duration kStartRetryInterval = 500ms;
inline constexpr Duration kPullTimeout = 1s;
/// Whole snapshots served in a second, so that a herd of starting daemons
/// does not take all of the loop.
inline constexpr uint32_t kSnapshotsEachSecond = 20;
inline constexpr uint32_t kSnapshotRetryMs = 1'000;
/// Daemons of a data centre that read `head` in turn.
inline constexpr size_t kHeadReaders = 2;
/// Rows read at once while catching up from the platform.
inline constexpr uint64_t kCatchUpRows = 128;
/// Key of the rendezvous hash that chooses the readers of `head`.
inline constexpr uint64_t kHeadReaderKey = 0x68656164;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Attach(Context& ctx) {
  ctx.Shared().kept_changes = &store_.Kept();
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_version", [this] {
    return static_cast<double>(store_.Held()->version);
  });
  ctx.AllMetrics().AddGauge("configuration_floor_known",
                            [this] { return floor_.known ? 1.0 : 0.0; });
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::Handle(Context& ctx,
                                                const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    ctx.SetTimerIn(
        std::chrono::milliseconds(ctx.Settings().head_read_interval_ms),
        TimerKind::kHeadRead);
    BeginStart(ctx);
  } else if (const auto* frozen = std::get_if<LoopFrozen>(&event)) {
    ctx.Log(LogTopic::kFrozen, {{"us", std::to_string(frozen->frozen_us)}},
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
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::BeginStart(Context& ctx) {
  floor_ = {};
  floor_.since = ctx.Now();
  if (!Rules::kWaitForFloor) floor_.known = true;
  UpdateReady(ctx);
  AskForFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::AskForFloor(Context& ctx) {
  ReadHead(ctx);
  for (const Address peer : ctx.Settings().peers) {
    if (peer != ctx.Settings().self) ctx.Send(peer, FloorQuery{});
  }
  ctx.SetTimerIn(kStartRetryInterval, TimerKind::kStartRetry);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleFloorReport(
    Context& ctx, Address from, const FloorReport& report) {
  heard_[from] = std::max(heard_[from], report.held);
  if (floor_.known) return;
  floor_.reported =
      std::max({floor_.reported, report.held, report.heard_from_asker});
  if (report.ready) ++floor_.reports;
  DecideFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::DecideFloor(Context& ctx) {
  if (floor_.known || !floor_.platform_failed || floor_.reports == 0) return;
  if (ctx.Now() - floor_.since < kFloorWindow) return;
  SetFloor(ctx, floor_.reported);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::SetFloor(Context& ctx,
                                                  uint64_t version) {
  floor_.known = true;
  floor_.version = version;
  ctx.Log(LogTopic::kFloorKnown, {{"version", std::to_string(version)}});
  UpdateReady(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::UpdateReady(Context& ctx) {
  ctx.Shared().ready = floor_.known && store_.Held()->version >= floor_.version;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleTimer(Context& ctx,
                                                     const TimerFired& timer) {
  switch (timer.kind) {
    case TimerKind::kStartRetry:
      DecideFloor(ctx);
      if (!ctx.Shared().ready) AskForFloor(ctx);
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
  if (std::holds_alternative<FloorQuery>(message)) {
    ctx.Send(from, FloorReport{store_.Held()->version, heard_[from],
                               ctx.Shared().ready});
  } else if (const auto* report = std::get_if<FloorReport>(&message)) {
    HandleFloorReport(ctx, from, *report);
  } else if (const auto* held = std::get_if<VersionHeld>(&message)) {
    NoteVersion(ctx, from, held->version);
  } else if (const auto* pull = std::get_if<PullChanges>(&message)) {
    NoteVersion(ctx, from, pull->version);
    ServePull(ctx, from, *pull);
  } else if (const auto* push = std::get_if<PushChanges>(&message)) {
    TakeChanges(ctx, from, push->changes);
  } else if (const auto* whole = std::get_if<PushSnapshot>(&message)) {
    TakeSnapshot(ctx, from, whole->snapshot);
  } else if (std::holds_alternative<SnapshotBusy>(message)) {
    if (pulling_from_ == from) pulling_from_ = {};
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
      pulling_from_.IsSet() && ctx.Now() - pulling_since_ < kPullTimeout;
  if (waiting || peer == ctx.Settings().self) return;
  pulling_from_ = peer;
  pulling_since_ = ctx.Now();
  counters_.Add(ConfigurationCounter::kPullsSent);
  ctx.Send(peer, PullChanges{store_.Held()->version, whole});
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
    if (bad) HoldBack(ctx, change.version, taken.error());
    break;
  }
  if (pulling_from_ == from) pulling_from_ = {};
  if (!changes.empty()) {
    uint64_t& heard = heard_[from];
    heard = std::max(heard, changes.back().version);
  }
  if (store_.Held()->version != before) Adopt(ctx, from);
  if (from != ctx.Settings().self) {
    ctx.Send(from, VersionHeld{store_.Held()->version});
  }
  if (gap || bad) Pull(ctx, from, bad);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::TakeSnapshot(
    Context& ctx, Address from, const Snapshot& snapshot) {
  if (pulling_from_ == from) pulling_from_ = {};
  const auto taken = store_.Take(snapshot);
  if (taken) {
    counters_.Add(ConfigurationCounter::kVersionsTaken);
    Adopt(ctx, from);
    return;
  }
  if (taken.error().code == Errc::kStaleVersion) {
    counters_.Add(ConfigurationCounter::kStaleIgnored);
    return;
  }
  HoldBack(ctx, snapshot.version, taken.error());
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HoldBack(Context& ctx,
                                                  uint64_t version,
                                                  const Failure& failure) {
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
  UpdateReady(ctx);
  ctx.Log(LogTopic::kVersionHeld, {{"version", std::to_string(version)}});
  ctx.Raise(ConfigurationAdopted{version});
  Spread(ctx, from);
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

template <SpreadingPolicy Policy, ConfigurationRules Rules>
bool ConfigurationHolder<Policy, Rules>::ReadsHead(Context& ctx) const {
  const auto weight = [](Address address) {
    return RendezvousWeight(kHeadReaderKey, AddressHash{}(address));
  };
  const uint64_t own = weight(ctx.Settings().self);
  size_t heavier = 0;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (member.data_centre != ctx.Settings().data_centre) continue;
    if (weight(address) > own) ++heavier;
  }
  return heavier < kHeadReaders;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::ReadHead(Context& ctx) {
  if (head_tag_) return;
  counters_.Add(ConfigurationCounter::kHeadReads);
  head_tag_ = ctx.Shared().platform->Submit(ctx, PlatformPriority::kRefresh,
                                            ReadRows{{kHeadKey, kSnapshotKey}});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandlePlatform(
    Context& ctx, const PlatformReplied& replied) {
  if (head_tag_ == replied.tag) {
    head_tag_.reset();
    HandleHead(ctx, replied.reply);
  } else if (catch_up_tag_ == replied.tag) {
    catch_up_tag_.reset();
    HandleCatchUp(ctx, replied.reply);
  } else if (snapshot_tag_ == replied.tag) {
    snapshot_tag_.reset();
    latest_snapshot_ = 0;
    if (!replied.reply.object) return;
    const auto snapshot = Decode<Snapshot>(*replied.reply.object);
    if (!snapshot) return;
    TakeSnapshot(ctx, ctx.Settings().self, *snapshot);
    CatchUpFromPlatform(ctx, catch_up_head_);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleHead(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    floor_.platform_failed = true;
    DecideFloor(ctx);
    return;
  }
  const auto snapshot = reply.rows.find(kSnapshotKey);
  if (snapshot != reply.rows.end()) {
    const auto row = Decode<SnapshotRow>(snapshot->second);
    if (row) latest_snapshot_ = row->version;
  }
  const auto it = reply.rows.find(kHeadKey);
  HandleHeadRow(ctx, it == reply.rows.end() ? Encode(HeadRow{}) : it->second);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleHeadRow(Context& ctx,
                                                       const std::string& row) {
  const auto head = Decode<HeadRow>(row);
  if (!head) return;
  if (!floor_.known) SetFloor(ctx, head->version);
  if (head->version > store_.Held()->version) CatchUpFromPlatform(ctx, *head);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::CatchUpFromPlatform(
    Context& ctx, const HeadRow& head) {
  const uint64_t held = store_.Held()->version;
  if (head.version <= held || catch_up_tag_ || snapshot_tag_) return;
  counters_.Add(ConfigurationCounter::kPlatformCatchUps);
  catch_up_head_ = head;
  PlatformQueue& platform = *ctx.Shared().platform;
  if (latest_snapshot_ > held) {
    snapshot_tag_ = platform.Submit(ctx, PlatformPriority::kRefresh,
                                    GetObject{SnapshotName(latest_snapshot_)});
    return;
  }
  ReadRows read;
  const uint64_t last = std::min(head.version, held + kCatchUpRows);
  for (uint64_t version = held + 1; version <= last; ++version) {
    read.keys.push_back(ChangeKey(version));
  }
  catch_up_tag_ =
      platform.Submit(ctx, PlatformPriority::kRefresh, std::move(read));
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleCatchUp(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  std::vector<Change> changes;
  for (const auto& [key, value] : reply.rows) {
    auto change = Decode<Change>(value);
    if (!change) break;
    changes.push_back(std::move(*change));
  }
  if (changes.empty()) return;
  TakeChanges(ctx, ctx.Settings().self, changes);
  CatchUpFromPlatform(ctx, catch_up_head_);
}

}  // namespace buckthorncart
