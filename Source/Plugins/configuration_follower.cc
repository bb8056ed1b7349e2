#include "Plugins/configuration_follower.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
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
/// Time in which the own watch usually brings what a peer has told of.
constexpr Duration kPullDelay = 250ms;
/// Pause after a version of many routes until the next one is asked for.
constexpr Duration kWatchPause = 500ms;
constexpr size_t kManyRoutes = 600;
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
  } else if (const auto* frozen = std::get_if<LoopFrozen>(&event)) {
    ctx.Log(LogTopic::kFrozen, {{"us", std::to_string(frozen->frozen_us)}},
            LogLevel::kWarning);
    Read(ctx);
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
      TakeRow(ctx, replied.reply);
      store_version_ = std::max(store_version_, replied.reply.version);
      ScheduleWatch(ctx, !replied.reply.rows.empty());
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

/// Versions that follow one another are taken together, as each costs the same
/// whatever it changes.
void ConfigurationFollower::ScheduleWatch(Context& ctx, bool news) {
  if (!news || store_.Held()->configuration.routes.size() < kManyRoutes) {
    Watch(ctx);
    return;
  }
  ctx.SetTimerIn(kWatchPause, TimerKind::kConfigurationRetry, attempt_);
}

void ConfigurationFollower::RetryLater(Context& ctx) {
  const uint32_t doublings = std::min(failures_++, kMaxRetryDoublings);
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
  if (store_version_ == 0) {
    Read(ctx);
  } else {
    Watch(ctx);
  }
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
  if (store_.Held()->version > before) TellPeers(ctx);
}

void ConfigurationFollower::Take(Context& ctx, const Snapshot& snapshot,
                                 std::string_view from) {
  const auto taken = store_.Take(snapshot);
  if (taken) {
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
  ctx.SetTimerIn(kPullDelay, TimerKind::kPullTimeout);
}

void ConfigurationFollower::PullIfBehind(Context& ctx) {
  if (ahead_version_ <= store_.Held()->version || !ahead_.IsSet()) return;
  counters_.Add(FollowerCounter::kPeerPulls);
  ctx.Send(ahead_, PullChanges{store_.Held()->version, true});
  // The next word of any peer about a newer version asks again.
  ahead_version_ = 0;
}

void ConfigurationFollower::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  if (const auto* pull = std::get_if<PullChanges>(&received.message)) {
    if (pull->version < store_.Held()->version) {
      ctx.Send(received.from, PushSnapshot{*store_.Held()});
    }
  } else if (const auto* push = std::get_if<PushSnapshot>(&received.message)) {
    Take(ctx, push->snapshot, received.from.ToString());
  }
}

}  // namespace buckthorncart
