#pragma once
/// \file
/// Follows the configuration that operators write to the platform.

#include <cstdint>
#include <map>
#include <optional>
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
};

template <>
struct EnumNames<FollowerCounter> {
  static constexpr std::string_view kNames[] = {
      "followed_versions_taken_total", "followed_versions_held_back_total",
      "followed_reads_total",          "followed_watches_total",
      "followed_histories_lost_total", "followed_peer_pulls_total",
      "followed_deltas_taken_total",   "followed_deltas_pushed_total",
      "followed_delta_gaps_total"};
};

/// Row that holds the newest configuration, an encoded `Snapshot`.
inline constexpr std::string_view kFollowedRow = "configuration";

/// Rules of the followed configuration: it is valid as written, since the
/// platform has checked it, and it carries no digest.
struct FollowedRules : StandardConfigurationRules {
  static constexpr bool kVerifyDigest = false;
};

/// Keeps a watch on the row, or relies on relays that do. A daemon that is
/// behind takes newer versions from peers, as deltas where they keep them.
/// Versions only go up, and each is taken whole.
class ConfigurationFollower : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void Read(Context& ctx);
  void Watch(Context& ctx);
  void HandleReply(Context& ctx, const PlatformReplied& replied);
  void TakeRow(Context& ctx, const PlatformReply& reply);
  /// Reads or watches, or waits while relays are there.
  void Continue(Context& ctx);
  Duration WaitBeforeWatch(const Context& ctx, bool news) const;
  void SetRelying(Context& ctx, bool relying);
  void SetRelays(Context& ctx, bool relays);
  void RetryLater(Context& ctx);
  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  /// `peer` holds `version`.
  void NoteVersion(Context& ctx, Address peer, uint64_t version);
  void PullIfBehind(Context& ctx);
  void Pull(Context& ctx, Address peer);
  void ServePull(Context& ctx, Address peer, uint64_t version);
  void TakeDeltas(Context& ctx, Address from,
                  const std::vector<ConfigurationDelta>& deltas);
  void PushToFollowers(Context& ctx);
  void Take(Context& ctx, const Snapshot& snapshot, std::string_view from);
  void TellPeers(Context& ctx);

  ConfigurationStore<FollowedRules> store_;
  std::optional<uint64_t> tag_;
  /// Version of the store that the last reply was from; 0 before the first.
  uint64_t store_version_ = 0;
  /// When the platform last answered about the configuration.
  Time confirmed_at_{};
  uint32_t failures_ = 0;
  /// Guards against timers of earlier attempts.
  uint64_t attempt_ = 0;
  /// A peer that holds a newer version, and that version.
  Address ahead_;
  uint64_t ahead_version_ = 0;
  bool pull_set_ = false;
  /// Peer that the last delta or snapshot came from.
  Address source_;
  /// That peer was asked last and has sent nothing newer.
  bool source_asked_ = false;
  DeltaHistory history_;
  /// Versions come from relays; the platform is not watched.
  bool relying_ = false;
  /// This daemon is announced as a relay.
  bool relays_ = false;
  Counters<FollowerCounter> counters_;
};

}  // namespace buckthorncart
