#include "Plugins/Configuration/configuration_follower.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Configuration/configuration_relays.h"
#include "Plugins/Configuration/datagram_version.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ConfigurationFollower>();
    },
    ConfigurationSource::kFollowed);

/// Delay after the first failed platform call; doubles with each further
/// failure, `kMaxRetryDoublings` times at most.
constexpr Duration kInitialRetryDelay = 100ms;
constexpr uint32_t kMaxRetryDoublings = 2;
/// Delay before pulling a version that a peer has reported, within which a
/// relay usually delivers it.
constexpr Duration kPullDelay = 250ms;
/// The same delay while the watch is working. A narrow link may need half a
/// second to transfer a version, and an earlier pull would transfer it twice.
constexpr Duration kWatchPullDelay = 1'200ms;
/// Pause before the next watch after a change to a configuration with at least
/// `kLargeRouteCount` routes.
constexpr Duration kLargeVersionPause = 500ms;
constexpr size_t kLargeRouteCount = 600;
/// Interval at which a daemon checks that its relays are still available.
constexpr Duration kRelayCheckInterval = 500ms;
/// Time for a newly started daemon to discover other daemons before it decides
/// whether to watch the platform. One that cannot be a relay waits until those
/// that can have decided.
constexpr Duration kMemberDiscoveryTime = 500ms;
constexpr Duration kRelayDiscoveryTime = 1s;
/// Consecutive failed platform calls after which a relay that is not the first
/// one stops being one.
constexpr uint32_t kFailuresToStopRelaying = 2;
/// Number of peers that receive a hint about a version read from the platform.
constexpr size_t kHintedPeers = 3;

}  // namespace

void ConfigurationFollower::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_version", [this] {
    return static_cast<double>(store_.Held()->version);
  });
}

void ConfigurationFollower::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    Read(ctx);
  } else if (const auto* frozen = std::get_if<EventLoopStalled>(&event)) {
    ctx.Log(LogTopic::kFrozen, {{"us", std::to_string(frozen->stalled_us)}},
            LogLevel::kWarning);
    if (uses_relays_) {
      Pull(ctx, last_source_);
    } else {
      Read(ctx);
    }
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    RecordPeerVersion(ctx, datagram->from, VersionIn(datagram->message));
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  } else if (const auto* changed = std::get_if<MemberChanged>(&event)) {
    HandleMemberChanged(ctx, changed->address);
  } else if (std::holds_alternative<PlatformRestored>(event)) {
    HandleRestore(ctx);
  } else if (const auto* read = std::get_if<ConfigurationRowRead>(&event)) {
    if (ApplyRow(ctx, read->reply)) {
      ctx.Raise(
          ConfigurationConfirmed{read->sent_us, read->reply.version, true});
    }
  } else if (std::holds_alternative<ConfigurationUnconfirmed>(event)) {
    AbandonWatch(ctx);
  }
}

/// The watch of a relay may have been lost like the check that failed.
void ConfigurationFollower::AbandonWatch(Context& ctx) {
  if (!is_relay_ || !watching_ || !tag_) return;
  AbandonRequest(ctx);
  RetryLater(ctx);
}

/// A watch from a version of the earlier era would miss changes, since the
/// restored store gives those versions to other rows.
void ConfigurationFollower::HandleRestore(Context& ctx) {
  platform_version_ = 0;
  if (!uses_relays_) Read(ctx);
}

/// Repeats a watch that may have been lost: a relay that has lost the platform
/// says so by its member record.
void ConfigurationFollower::HandleMemberChanged(Context& ctx, Address address) {
  const auto it = ctx.Shared().members.find(address);
  if (it == ctx.Shared().members.end()) return;
  const Member& member = it->second;
  if (member.relays) {
    known_relays_.insert(address);
    return;
  }
  if (known_relays_.erase(address) == 0) return;
  const bool lost_platform = member.status == MemberStatus::kAlive;
  const bool watch_is_old = is_relay_ && watching_ && tag_ &&
                            ctx.Now() - sent_at_ >= kRelayCheckInterval;
  if (lost_platform && watch_is_old) Read(ctx);
}

/// An abandoned watch would otherwise occupy the platform queue until its wait
/// time is over.
void ConfigurationFollower::AbandonRequest(Context& ctx) {
  if (tag_) ctx.Shared().platform->Abandon(ctx, *tag_);
  tag_.reset();
}

void ConfigurationFollower::Read(Context& ctx) {
  AbandonRequest(ctx);
  counters_.Add(FollowerCounter::kReads);
  ++attempt_;
  watching_ = false;
  sent_at_ = ctx.Now();
  platform_version_ = 0;
  tag_ = ctx.Shared().platform->Submit(ctx, PlatformPriority::kOperator,
                                       ReadRows{{std::string(kFollowedRow)}});
  if (!tag_) RetryLater(ctx);
}

void ConfigurationFollower::Watch(Context& ctx) {
  counters_.Add(FollowerCounter::kWatches);
  ++attempt_;
  watching_ = true;
  sent_at_ = ctx.Now();
  tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator,
      WatchRow{std::string(kFollowedRow), platform_version_, WatchWaitMs(ctx)});
  if (!tag_) RetryLater(ctx);
}

uint32_t ConfigurationFollower::WatchWaitMs(Context& ctx) const {
  // A platform that does not answer is not given a long time.
  if (failures_ > 0) return 0;
  return ctx.Settings().watch_wait_ms;
}

void ConfigurationFollower::HandleReply(Context& ctx,
                                        const PlatformReplied& replied) {
  if (!tag_ || replied.tag != *tag_) return;
  tag_.reset();
  switch (replied.reply.status) {
    case PlatformStatus::kOk:
      RecordSuccess(ctx);
      if (ApplyRow(ctx, replied.reply)) {
        ctx.Raise(
            ConfigurationConfirmed{static_cast<uint64_t>(sent_at_.count()),
                                   replied.reply.version, false});
      }
      ctx.SetTimerIn(DelayBeforeNextRequest(ctx, !replied.reply.rows.empty()),
                     TimerKind::kConfigurationRetry, attempt_);
      platform_version_ = std::max(platform_version_, replied.reply.version);
      break;
    case PlatformStatus::kHistoryLost:
      counters_.Add(FollowerCounter::kHistoriesLost);
      Read(ctx);
      break;
    default:
      RetryLater(ctx);
      break;
  }
}

/// The first daemons to reach the platform again after an outage become relays
/// at once, so that the version that they have just read reaches the others.
void ConfigurationFollower::RecordSuccess(Context& ctx) {
  const bool recovered = std::exchange(failures_, 0) > 0;
  const bool can_relay = ctx.Settings().relays_configuration;
  if (recovered && can_relay &&
      ConfigurationRelays(ctx.Shared()).AreMissing(can_relay)) {
    SetIsRelay(ctx, true);
  }
}

Duration ConfigurationFollower::DelayBeforeNextRequest(const Context& ctx,
                                                       bool row_changed) const {
  const bool can_relay = ctx.Settings().relays_configuration;
  // The first version of all goes to every daemon at once, so that whoever can
  // relay it watches for it.
  const bool waits_for_first = can_relay && store_.Held()->version == 0;
  if (platform_version_ == 0 && !is_relay_ && !waits_for_first)
    return can_relay ? kMemberDiscoveryTime : kRelayDiscoveryTime;
  if (can_relay) return Duration::zero();
  // The pause combines successive versions into one transfer, since each costs
  // the same regardless of the size of its change.
  const bool large =
      store_.Held()->configuration.routes.size() >= kLargeRouteCount;
  return row_changed && large ? kLargeVersionPause : Duration::zero();
}

void ConfigurationFollower::RequestOrUseRelays(Context& ctx) {
  const bool can_relay = ctx.Settings().relays_configuration;
  const ConfigurationRelays relays(ctx.Shared());
  const bool ask_platform =
      relays.MustAskPlatform(can_relay, checks_without_relays_);
  const bool use_relays = !ask_platform;
  checks_without_relays_ =
      relays.AreMissing(can_relay) ? checks_without_relays_ + 1 : 0;
  SetUsesRelays(ctx, use_relays);
  if (use_relays || !can_relay) {
    SetIsRelay(ctx, false);
  } else if (failures_ == 0 && platform_version_ > 0) {
    SetIsRelay(ctx, true);
  }
  if (use_relays) {
    if (store_.Held()->version == 0) Pull(ctx, relays.LocalRelay());
    ctx.SetTimerIn(kRelayCheckInterval, TimerKind::kConfigurationRetry,
                   attempt_);
  } else if (platform_version_ == 0) {
    Read(ctx);
  } else {
    Watch(ctx);
  }
}

void ConfigurationFollower::SetUsesRelays(Context& ctx, bool uses_relays) {
  if (std::exchange(uses_relays_, uses_relays) == uses_relays) return;
  ctx.Log(LogTopic::kConfigurationSource,
          {{"source", uses_relays ? "relays" : "platform"},
           {"held", std::to_string(store_.Held()->version)}});
}

void ConfigurationFollower::SetIsRelay(Context& ctx, bool is_relay) {
  if (std::exchange(is_relay_, is_relay) == is_relay) return;
  ctx.Raise(ConfigurationRelayChanged{is_relay});
}

void ConfigurationFollower::RetryLater(Context& ctx) {
  const uint32_t doublings = std::min(failures_++, kMaxRetryDoublings);
  const bool is_first = ConfigurationRelays(ctx.Shared()).IsFirstRelay();
  if (is_first || failures_ >= kFailuresToStopRelaying) SetIsRelay(ctx, false);
  const Duration wait = kInitialRetryDelay * (1U << doublings);
  const auto jitter = ctx.RandomBelow(static_cast<uint32_t>(wait.count()) / 2);
  ctx.SetTimerIn(wait + Duration(jitter), TimerKind::kConfigurationRetry,
                 attempt_);
}

void ConfigurationFollower::HandleTimer(Context& ctx, const TimerFired& timer) {
  if (timer.kind == TimerKind::kPullTimeout) {
    pull_scheduled_ = false;
    PullIfBehind(ctx);
    return;
  }
  if (timer.kind != TimerKind::kConfigurationRetry) return;
  if (timer.argument != attempt_ || tag_) return;
  RequestOrUseRelays(ctx);
}

bool ConfigurationFollower::ApplyRow(Context& ctx, const PlatformReply& reply) {
  const auto it = reply.rows.find(std::string(kFollowedRow));
  if (it == reply.rows.end()) return true;
  auto snapshot = Decode<Snapshot>(it->second);
  if (!snapshot) {
    counters_.Add(FollowerCounter::kVersionsHeldBack);
    ctx.Log(LogTopic::kVersionHeldBack,
            {{"held", std::to_string(store_.Held()->version)},
             {"reason", std::string(NameOf(snapshot.error().code))}},
            LogLevel::kWarning);
    return false;
  }
  const uint64_t before = store_.Held()->version;
  Apply(ctx, *snapshot, "platform");
  if (store_.Held()->version != before) {
    PushToFollowers(ctx);
    HintPeers(ctx);
  }
  return store_.Held()->version >= snapshot->version;
}

void ConfigurationFollower::Apply(Context& ctx, const Snapshot& snapshot,
                                  std::string_view from) {
  // A daemon that does not read workspaces may have passed it on without them.
  if (ctx.Settings().checks_api_keys && !snapshot.reads_workspaces) {
    counters_.Add(FollowerCounter::kWithoutWorkspaces);
    ctx.Log(LogTopic::kVersionHeldBack,
            {{"version", std::to_string(snapshot.version)},
             {"held", std::to_string(store_.Held()->version)},
             {"from", std::string(from)},
             {"reason", "without-workspaces"}},
            LogLevel::kWarning);
    if (!tag_) Read(ctx);
    return;
  }
  const SnapshotPtr before = store_.Held();
  const auto applied = store_.Apply(snapshot);
  if (applied) {
    history_.Add(MakeDelta(*before, *store_.Held()));
    source_queried_ = false;
    counters_.Add(FollowerCounter::kVersionsTaken);
    ctx.Shared().held = store_.Held();
    ctx.Shared().ready = true;
    ctx.Log(LogTopic::kVersionHeld,
            {{"version", std::to_string(snapshot.version)},
             {"from", std::string(from)}});
    ctx.Raise(ConfigurationAdopted{snapshot.version});
    return;
  }
  if (applied.error().code == Errc::kStaleVersion) return;
  counters_.Add(FollowerCounter::kVersionsHeldBack);
  ctx.Log(LogTopic::kVersionHeldBack,
          {{"version", std::to_string(snapshot.version)},
           {"held", std::to_string(store_.Held()->version)},
           {"reason", std::string(NameOf(applied.error().code))}},
          LogLevel::kWarning);
}

void ConfigurationFollower::HintPeers(Context& ctx) {
  std::vector<Address> peers;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status <= MemberStatus::kSuspect) peers.push_back(address);
  }
  std::shuffle(peers.begin(), peers.end(), ctx.Random());
  if (peers.size() > kHintedPeers) peers.resize(kHintedPeers);
  for (const Address peer : peers) {
    ctx.SendUdp(peer, VersionHint{store_.Held()->version});
  }
}

void ConfigurationFollower::RecordPeerVersion(Context& ctx, Address peer,
                                              uint64_t version) {
  if (version <= store_.Held()->version || version < newer_version_) return;
  newer_peer_ = peer;
  newer_version_ = version;
  if (std::exchange(pull_scheduled_, true)) return;
  const bool watches = !uses_relays_ && tag_ && failures_ == 0;
  ctx.SetTimerIn(watches ? kWatchPullDelay : kPullDelay,
                 TimerKind::kPullTimeout);
}

void ConfigurationFollower::PullIfBehind(Context& ctx) {
  if (newer_version_ <= store_.Held()->version || !newer_peer_.IsSet()) return;
  // The peer that sent the last version most likely retains the following ones,
  // and a relay of this data centre most likely has the first one.
  const Address source = last_source_.IsSet()
                             ? last_source_
                             : ConfigurationRelays(ctx.Shared()).LocalRelay();
  const bool query_source = source.IsSet() && !source_queried_;
  Pull(ctx, query_source ? source : newer_peer_);
  source_queried_ = query_source;
  // The next report of a newer version from any peer schedules another pull.
  newer_version_ = 0;
}

void ConfigurationFollower::Pull(Context& ctx, Address peer) {
  if (!peer.IsSet()) return;
  counters_.Add(FollowerCounter::kPeerPulls);
  ctx.Send(peer, PullChanges{store_.Held()->version, false});
}

void ConfigurationFollower::ServePull(Context& ctx, Address peer,
                                      uint64_t version) {
  if (version >= store_.Held()->version) return;
  auto deltas = history_.After(version);
  if (deltas.empty()) {
    ctx.Send(peer, PushSnapshot{*store_.Held()});
  } else {
    ctx.Send(peer, PushDeltas{std::move(deltas)});
  }
}

void ConfigurationFollower::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  const Address from = received.from;
  if (const auto* pull = std::get_if<PullChanges>(&received.message)) {
    ServePull(ctx, from, pull->version);
  } else if (const auto* push = std::get_if<PushSnapshot>(&received.message)) {
    Apply(ctx, push->snapshot, from.ToString());
    last_source_ = from;
  } else if (const auto* deltas = std::get_if<PushDeltas>(&received.message)) {
    ApplyDeltas(ctx, from, deltas->deltas);
  }
}

void ConfigurationFollower::ApplyDeltas(
    Context& ctx, Address from, const std::vector<ConfigurationDelta>& deltas) {
  for (const ConfigurationDelta& delta : deltas) {
    const SnapshotPtr held = store_.Held();
    if (delta.to <= held->version) continue;
    if (delta.from != held->version) {
      // Another relay may be about to send the missing deltas.
      counters_.Add(FollowerCounter::kDeltaGaps);
      RecordPeerVersion(ctx, from, delta.to);
      return;
    }
    counters_.Add(FollowerCounter::kDeltasTaken);
    Apply(ctx, ApplyDelta(*held, delta), from.ToString());
    last_source_ = from;
  }
}

void ConfigurationFollower::PushToFollowers(Context& ctx) {
  if (!is_relay_) return;
  const PushDeltas push{history_.Newest()};
  for (const Address peer : ConfigurationRelays(ctx.Shared()).Followers()) {
    counters_.Add(FollowerCounter::kDeltasPushed);
    ctx.Send(peer, push);
  }
}

}  // namespace buckthorncart
