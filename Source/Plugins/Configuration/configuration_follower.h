#pragma once
/// \file
/// Replicates the configuration that operators write to the platform.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Configuration/configuration_rules.h"
#include "Plugins/Configuration/configuration_store.h"
#include "Plugins/Configuration/delta_history.h"

namespace buckthorncart {

class Context;
struct PlatformReply;

enum class FollowerCounter : uint8_t {
  kVersionsTaken,
  kVersionsHeldBack,
  kReads,
  kWatches,
  kHistoriesLost,
  kPeerPulls,
  kDeltasTaken,
  kDeltasPushed,
  kDeltaGaps,
  kWithoutWorkspaces,
};

template <>
struct EnumNames<FollowerCounter> {
  static constexpr std::string_view kNames[] = {
      "followed_versions_taken_total",
      "followed_versions_held_back_total",
      "followed_reads_total",
      "followed_watches_total",
      "followed_histories_lost_total",
      "followed_peer_pulls_total",
      "followed_deltas_taken_total",
      "followed_deltas_pushed_total",
      "followed_delta_gaps_total",
      "followed_versions_without_workspaces_total"};
};

/// Key of the row with the newest configuration, an encoded `Snapshot`.
inline constexpr std::string_view kFollowedRow = "configuration";

/// Rules for a followed configuration. The platform has validated it, and it
/// carries no digest to verify.
struct FollowedRules : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};

/// Receives new versions through a watch on the platform's row, or from relays
/// that keep such a watch. A daemon that lags pulls newer versions from peers,
/// as deltas if the peer retains them. Versions only increase, and each one is
/// applied as a whole.
class ConfigurationFollower : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void AbandonRequest(Context& ctx);
  void Read(Context& ctx);
  void Watch(Context& ctx);
  uint32_t WatchWaitMs(Context& ctx) const;
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  /// Returns true if the held version is as new as the row, or the reply has
  /// none.
  bool ApplyRow(Context& ctx, const PlatformReply& reply);
  /// Reads or watches the row, or only checks again later while relays are
  /// available.
  void RequestOrUseRelays(Context& ctx);
  Duration DelayBeforeNextRequest(const Context& ctx, bool row_changed) const;
  void RecordSuccess(Context& ctx);
  void SetUsesRelays(Context& ctx, bool uses_relays);
  void SetIsRelay(Context& ctx, bool is_relay);
  void RetryLater(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandleMemberChanged(Context& ctx, Address address);
  void HandleRestore(Context& ctx);
  /// Gives up the watch of a relay and tries again.
  void AbandonWatch(Context& ctx);
  /// Records that `peer` holds `version` and schedules a pull if it is newer.
  void RecordPeerVersion(Context& ctx, Address peer, uint64_t version);
  void PullIfBehind(Context& ctx);
  void Pull(Context& ctx, Address peer);
  void ServePull(Context& ctx, Address peer, uint64_t version);
  void ApplyDeltas(Context& ctx, Address from,
                   const std::vector<ConfigurationDelta>& deltas);
  void PushToFollowers(Context& ctx);
  void Apply(Context& ctx, const Snapshot& snapshot, std::string_view from);
  void HintPeers(Context& ctx);

  ConfigurationStore<FollowedRules> store_;
  std::optional<uint64_t> tag_;
  /// Version of the platform's store in its last reply; 0 before the first one
  /// of the present era.
  uint64_t platform_version_ = 0;
  uint32_t failures_ = 0;
  /// Identifies the current request, so that timers of earlier ones are
  /// ignored.
  uint64_t attempt_ = 0;
  /// Peer that reported a newer version, and that version.
  Address newer_peer_;
  uint64_t newer_version_ = 0;
  bool pull_scheduled_ = false;
  /// Peer that sent the last delta or snapshot.
  Address last_source_;
  /// True if the last pull went to `last_source_` and no newer version has been
  /// applied since.
  bool source_queried_ = false;
  DeltaHistory history_;
  /// True while versions come from relays instead of a watch on the platform.
  bool uses_relays_ = false;
  /// True while this daemon is announced as a relay.
  bool is_relay_ = false;
  /// Consecutive checks at which there were too few relays.
  uint32_t checks_without_relays_ = 0;
  /// Whether the current request is a watch, and when it was sent.
  bool watching_ = false;
  Time sent_at_{};
  /// Other daemons whose member record last said that they are relays.
  std::set<Address> known_relays_;
  Counters<FollowerCounter> counters_;
};

}  // namespace buckthorncart
