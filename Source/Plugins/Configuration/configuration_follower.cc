#include "Plugins/Configuration/configuration_follower.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Plugins/Configuration/configuration_relays.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ConfigurationFollower>();
    },
    ConfigurationSource::kFollowed);

/// First wait after a failed call to the platform; it doubles.
constexpr Duration kFirstRetry = 100ms;
constexpr uint32_t kMaxRetryDoublings = 3;
/// Time in which a relay usually brings what a peer has told of.
constexpr Duration kPullDelay = 250ms;
/// The same for a watch that is in order. A version may fill a narrow link
/// for half a second, and would come twice.
constexpr Duration kPullDelayOfWatch = 1'200ms;
/// Pause after a version of many routes until the next one is asked for.
constexpr Duration kWatchPause = 500ms;
constexpr size_t kManyRoutes = 600;
/// Interval at which a daemon makes sure that its relays are still there.
constexpr Duration kRelayCheck = 500ms;
/// Time in which a new daemon hears of relays, before it watches itself.
constexpr Duration kSettleTime = 1s;
/// Failed calls after which a relay is no longer one.
constexpr uint32_t kRelayFailures = 2;
/// Peers that are told of a version that the platform has sent.
constexpr size_t kToldPeers = 3;

uint64_t VersionIn(const Datagram& datagram) {
  return std::visit(
      [](const auto& message) {
        if constexpr (requires { message.version; }) {
          return message.version;
        } else {
          return message.gossip.version;
        }
      },
      datagram);
}

}  // namespace

void ConfigurationFollower::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("configuration_version", [this] {
    return static_cast<double>(store_.Held()->version);
  });
  ctx.AllMetrics().AddGauge("configuration_age_seconds", [this, &ctx] {
    constexpr double kMicroseconds = 1e6;
    return static_cast<double>((ctx.Now() - confirmed_at_).count()) /
           kMicroseconds;
  });
}

void ConfigurationFollower::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    Read(ctx);
  } else if (const auto* frozen = std::get_if<EventLoopStalled>(&event)) {
    ctx.Log(LogTopic::kFrozen, {{"us", std::to_string(frozen->stalled_us)}},
            LogLevel::kWarning);
    if (relying_) {
      Pull(ctx, source_);
    } else {
      Read(ctx);
    }
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    NoteVersion(ctx, datagram->from, VersionIn(datagram->message));
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  }
}

void ConfigurationFollower::Read(Context& ctx) {
  counters_.Add(FollowerCounter::kReads);
  ++attempt_;
  store_version_ = 0;
  tag_ = ctx.Shared().platform->Submit(ctx, PlatformPriority::kOperator,
                                       ReadRows{{std::string(kFollowedRow)}});
  if (!tag_) RetryLater(ctx);
}

void ConfigurationFollower::Watch(Context& ctx) {
  counters_.Add(FollowerCounter::kWatches);
  ++attempt_;
  tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator,
      WatchRow{std::string(kFollowedRow), store_version_,
               ctx.Settings().watch_wait_ms});
  if (!tag_) RetryLater(ctx);
}

void ConfigurationFollower::HandleReply(Context& ctx,
                                        const PlatformReplied& replied) {
  if (!tag_ || replied.tag != *tag_) return;
  tag_.reset();
  switch (replied.reply.status) {
    case PlatformStatus::kOk:
      failures_ = 0;
      confirmed_at_ = ctx.Now();
      SetRelays(ctx, ctx.Settings().relays_configuration);
      TakeRow(ctx, replied.reply);
      ctx.SetTimerIn(WaitBeforeWatch(ctx, !replied.reply.rows.empty()),
                     TimerKind::kConfigurationRetry, attempt_);
      store_version_ = std::max(store_version_, replied.reply.version);
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

Duration ConfigurationFollower::WaitBeforeWatch(const Context& ctx,
                                                bool news) const {
  if (ctx.Settings().relays_configuration) return Duration::zero();
  if (store_version_ == 0) return kSettleTime;
  // Versions that follow one another are taken together, as each costs the
  // same whatever it changes.
  const bool many = store_.Held()->configuration.routes.size() >= kManyRoutes;
  return news && many ? kWatchPause : Duration::zero();
}

void ConfigurationFollower::Continue(Context& ctx) {
  const bool rely = store_.Held()->version > 0 &&
                    ConfigurationRelays(ctx.Shared()).ServeSelf();
  SetRelying(ctx, rely);
  if (rely) {
    ctx.SetTimerIn(kRelayCheck, TimerKind::kConfigurationRetry, attempt_);
  } else if (store_version_ == 0) {
    Read(ctx);
  } else {
    Watch(ctx);
  }
}

void ConfigurationFollower::SetRelying(Context& ctx, bool relying) {
  if (std::exchange(relying_, relying) == relying) return;
  ctx.Log(LogTopic::kConfigurationSource,
          {{"source", relying ? "relays" : "platform"},
           {"held", std::to_string(store_.Held()->version)}});
}

void ConfigurationFollower::SetRelays(Context& ctx, bool relays) {
  if (std::exchange(relays_, relays) == relays) return;
  ctx.Raise(ConfigurationRelayChanged{relays});
}

void ConfigurationFollower::RetryLater(Context& ctx) {
  const uint32_t doublings = std::min(failures_++, kMaxRetryDoublings);
  if (failures_ >= kRelayFailures) SetRelays(ctx, false);
  const Duration wait = kFirstRetry * (1U << doublings);
  const auto jitter = ctx.RandomBelow(static_cast<uint32_t>(wait.count()) / 2);
  ctx.SetTimerIn(wait + Duration(jitter), TimerKind::kConfigurationRetry,
                 attempt_);
}

void ConfigurationFollower::HandleTimer(Context& ctx, const TimerFired& timer) {
  if (timer.kind == TimerKind::kPullTimeout) {
    pull_set_ = false;
    PullIfBehind(ctx);
    return;
  }
  if (timer.kind != TimerKind::kConfigurationRetry) return;
  if (timer.argument != attempt_ || tag_) return;
  Continue(ctx);
}

void ConfigurationFollower::TakeRow(Context& ctx, const PlatformReply& reply) {
  const auto it = reply.rows.find(std::string(kFollowedRow));
  if (it == reply.rows.end()) return;
  auto snapshot = Decode<Snapshot>(it->second);
  if (!snapshot) {
    counters_.Add(FollowerCounter::kVersionsHeldBack);
    ctx.Log(LogTopic::kVersionHeldBack,
            {{"held", std::to_string(store_.Held()->version)},
             {"reason", std::string(NameOf(snapshot.error().code))}},
            LogLevel::kWarning);
    return;
  }
  const uint64_t before = store_.Held()->version;
  Take(ctx, *snapshot, "platform");
  if (store_.Held()->version == before) return;
  PushToFollowers(ctx);
  TellPeers(ctx);
}

void ConfigurationFollower::Take(Context& ctx, const Snapshot& snapshot,
                                 std::string_view from) {
  const SnapshotPtr before = store_.Held();
  const auto taken = store_.Take(snapshot);
  if (taken) {
    history_.Add(MakeDelta(*before, *store_.Held()));
    source_asked_ = false;
    counters_.Add(FollowerCounter::kVersionsTaken);
    ctx.Shared().held = store_.Held();
    ctx.Shared().ready = true;
    ctx.Log(LogTopic::kVersionHeld,
            {{"version", std::to_string(snapshot.version)},
             {"from", std::string(from)}});
    ctx.Raise(ConfigurationAdopted{snapshot.version});
    return;
  }
  if (taken.error().code == Errc::kStaleVersion) return;
  counters_.Add(FollowerCounter::kVersionsHeldBack);
  ctx.Log(LogTopic::kVersionHeldBack,
          {{"version", std::to_string(snapshot.version)},
           {"held", std::to_string(store_.Held()->version)},
           {"reason", std::string(NameOf(taken.error().code))}},
          LogLevel::kWarning);
}

void ConfigurationFollower::TellPeers(Context& ctx) {
  std::vector<Address> peers;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status <= MemberStatus::kSuspect) peers.push_back(address);
  }
  std::shuffle(peers.begin(), peers.end(), ctx.Random());
  if (peers.size() > kToldPeers) peers.resize(kToldPeers);
  for (const Address peer : peers) {
    ctx.SendUdp(peer, VersionHint{store_.Held()->version});
  }
}

void ConfigurationFollower::NoteVersion(Context& ctx, Address peer,
                                        uint64_t version) {
  if (version <= store_.Held()->version || version < ahead_version_) return;
  ahead_ = peer;
  ahead_version_ = version;
  if (std::exchange(pull_set_, true)) return;
  const bool watches = !relying_ && tag_ && failures_ == 0;
  ctx.SetTimerIn(watches ? kPullDelayOfWatch : kPullDelay,
                 TimerKind::kPullTimeout);
}

void ConfigurationFollower::PullIfBehind(Context& ctx) {
  if (ahead_version_ <= store_.Held()->version || !ahead_.IsSet()) return;
  // The peer that has sent the last version most likely keeps what follows it.
  const bool ask_source = source_.IsSet() && !source_asked_;
  Pull(ctx, ask_source ? source_ : ahead_);
  source_asked_ = ask_source;
  // The next word of any peer about a newer version asks again.
  ahead_version_ = 0;
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
    Take(ctx, push->snapshot, from.ToString());
    source_ = from;
  } else if (const auto* deltas = std::get_if<PushDeltas>(&received.message)) {
    TakeDeltas(ctx, from, deltas->deltas);
  }
}

void ConfigurationFollower::TakeDeltas(
    Context& ctx, Address from, const std::vector<ConfigurationDelta>& deltas) {
  for (const ConfigurationDelta& delta : deltas) {
    const SnapshotPtr held = store_.Held();
    if (delta.to <= held->version) continue;
    if (delta.from != held->version) {
      // Another relay may be about to send what is missing.
      counters_.Add(FollowerCounter::kDeltaGaps);
      NoteVersion(ctx, from, delta.to);
      return;
    }
    counters_.Add(FollowerCounter::kDeltasTaken);
    Take(ctx, ApplyDelta(*held, delta), from.ToString());
    source_ = from;
  }
}

void ConfigurationFollower::PushToFollowers(Context& ctx) {
  if (!ctx.Shared().self.relays) return;
  const PushDeltas push{history_.Last()};
  for (const Address peer : ConfigurationRelays(ctx.Shared()).Followers()) {
    counters_.Add(FollowerCounter::kDeltasPushed);
    ctx.Send(peer, push);
  }
}

}  // namespace buckthorncart
