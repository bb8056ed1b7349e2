#pragma once
/// \file
/// Keeps a local replica of the configuration and propagates new versions.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/context.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"
#include "Plugins/Configuration/configuration_rows.h"
#include "Plugins/Configuration/configuration_store.h"
#include "Plugins/Configuration/spreading_policy.h"
#include "Plugins/Configuration/start_floor.h"

namespace buckthorncart {

enum class ConfigurationCounter : uint8_t {
  kVersionsTaken,
  kVersionsHeldBack,
  kStaleIgnored,
  kPullsSent,
  kPullsServed,
  kSnapshotsServed,
  kSnapshotsRefused,
  kHintsSent,
  kPushesSent,
  kHeadReads,
  kPlatformCatchUps,
  kPullsUnanswered,
  kSnapshotObjectsBad,
  kWitnessesNotified,
};

template <>
struct EnumNames<ConfigurationCounter> {
  static constexpr std::string_view kNames[] = {
      "configuration_versions_taken_total",
      "configuration_versions_held_back_total",
      "configuration_stale_ignored_total",
      "configuration_pulls_sent_total",
      "configuration_pulls_served_total",
      "configuration_snapshots_served_total",
      "configuration_snapshots_refused_total",
      "configuration_hints_sent_total",
      "configuration_pushes_sent_total",
      "configuration_head_reads_total",
      "configuration_platform_catch_ups_total",
      "configuration_pulls_unanswered_total",
      "configuration_snapshot_objects_bad_total",
      "configuration_witnesses_told_total"};
};

/// Maintains three invariants: versions never decrease, a version is applied as
/// a whole or not at all, and nothing is served before the version floor is
/// known.
template <SpreadingPolicy Policy, ConfigurationRules Rules>
class ConfigurationReplica : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// The pull request that is waiting for a reply.
  struct PullState {
    Address from;
    Time since{};
    uint64_t number = 0;
  };

  void BeginStart(Context& ctx);
  void QueryFloor(Context& ctx);
  void HandleFloorReport(Context& ctx, Address from, const FloorReport& report);
  /// Returns the configured peers and the witnesses of this address.
  std::set<Address> FloorPeers(Context& ctx) const;
  /// Returns the `n` members that record which version this address holds. They
  /// are chosen by rendezvous hash, so that a restarted daemon finds them
  /// again.
  std::vector<Address> Witnesses(Context& ctx, size_t n) const;
  void NotifyWitnesses(Context& ctx);
  void DecideFloor(Context& ctx);
  void SetFloor(Context& ctx, uint64_t version);
  void UpdateReady(Context& ctx);

  void HandleTimer(Context& ctx, const TimerFired& timer);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void HandlePlatform(Context& ctx, const PlatformReplied& replied);
  void HandleHead(Context& ctx, const PlatformReply& reply);
  void HandleHeadRow(Context& ctx, const std::string& row);
  void HandleCatchUp(Context& ctx, const PlatformReply& reply);
  void HandleSnapshotObject(Context& ctx, const PlatformReply& reply);
  bool ApplySnapshotObject(Context& ctx, const std::string& bytes);
  void HandleConnectionLost(Context& ctx, Address peer);

  void RecordPeerVersion(Context& ctx, Address peer, uint64_t version);
  void Pull(Context& ctx, Address peer, bool whole);
  /// Pulls from a peer that has sent no invalid data, or else reads from the
  /// platform.
  void PullFromOtherPeer(Context& ctx);
  void EndPull(Address peer);
  void ServePull(Context& ctx, Address peer, const PullChanges& pull);
  void ApplyChanges(Context& ctx, Address from,
                    const std::vector<Change>& changes);
  void ApplySnapshot(Context& ctx, Address from, const Snapshot& snapshot);
  void Adopt(Context& ctx, Address from);
  void HoldBack(Context& ctx, Address from, uint64_t version,
                const Failure& failure);
  void Spread(Context& ctx, Address from);
  void ReadHead(Context& ctx);
  bool IsHeadReader(Context& ctx) const;
  void CatchUpFromPlatform(Context& ctx, const HeadRow& head);

  Policy policy_;
  ConfigurationStore<Rules> store_;
  StartFloor<Rules> floor_;
  /// True once this process has been ready.
  bool was_ready_ = false;
  /// Highest version reported by each address.
  std::map<Address, uint64_t> peer_versions_;
  PullState pull_;
  /// Peers that sent invalid data since the last version was applied.
  std::set<Address> distrusted_peers_;
  /// Number of versions held back since one was last applied.
  uint32_t held_back_count_ = 0;
  std::optional<uint64_t> head_request_tag_;
  std::optional<uint64_t> catch_up_request_tag_;
  std::optional<uint64_t> snapshot_request_tag_;
  HeadRow catch_up_head_;
  /// Latest known snapshot in the object store; version 0 if there is none.
  SnapshotRow latest_snapshot_;
  /// Version of a snapshot object that was found missing or invalid.
  uint64_t bad_snapshot_version_ = 0;
  uint32_t snapshots_this_interval_ = 0;
  Counters<ConfigurationCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/configuration_catch_up_inl.h"
#include "Plugins/Configuration/configuration_replica_inl.h"
#include "Plugins/Configuration/configuration_start_inl.h"
