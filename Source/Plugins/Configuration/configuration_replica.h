#pragma once
/// \file
/// Holds the configuration, spreads it and catches up with it.

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
  kWitnessesTold,
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

/// Keeps three promises: versions never go back, a version is taken whole or
/// not at all, and nothing is served before a floor of versions is known.
template <SpreadingPolicy Policy, ConfigurationRules Rules>
class ConfigurationReplica : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  /// The question for changes that is being answered.
  struct PullState {
    Address from;
    Time since{};
    uint64_t number = 0;
  };

  void BeginStart(Context& ctx);
  void AskForFloor(Context& ctx);
  void HandleFloorReport(Context& ctx, Address from, const FloorReport& report);
  /// The configured peers and the witnesses of this address.
  std::set<Address> FloorPeers(Context& ctx) const;
  /// The `n` members that are told of what this address holds; by rendezvous
  /// hash, so that a restarted daemon finds them again.
  std::vector<Address> Witnesses(Context& ctx, size_t n) const;
  void TellWitnesses(Context& ctx);
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
  bool TakeSnapshotObject(Context& ctx, const std::string& bytes);
  void HandleLost(Context& ctx, Address peer);

  void NoteVersion(Context& ctx, Address peer, uint64_t version);
  void Pull(Context& ctx, Address peer, bool whole);
  /// Asks a peer that has not sent anything bad, or else the platform.
  void PullFromAnother(Context& ctx);
  void EndPull(Address peer);
  void ServePull(Context& ctx, Address peer, const PullChanges& pull);
  void TakeChanges(Context& ctx, Address from,
                   const std::vector<Change>& changes);
  void TakeSnapshot(Context& ctx, Address from, const Snapshot& snapshot);
  void Adopt(Context& ctx, Address from);
  void HoldBack(Context& ctx, Address from, uint64_t version,
                const Failure& failure);
  void Spread(Context& ctx, Address from);
  void ReadHead(Context& ctx);
  bool ReadsHead(Context& ctx) const;
  void CatchUpFromPlatform(Context& ctx, const HeadRow& head);

  Policy policy_;
  ConfigurationStore<Rules> store_;
  StartFloor<Rules> floor_;
  /// True once this process has been ready.
  bool was_ready_ = false;
  /// Highest version heard from each address.
  std::map<Address, uint64_t> heard_;
  PullState pull_;
  /// Peers that sent something bad since the last version was taken.
  std::set<Address> distrusted_;
  /// Versions held back since the last one was taken.
  uint32_t held_back_ = 0;
  std::optional<uint64_t> head_tag_;
  std::optional<uint64_t> catch_up_tag_;
  std::optional<uint64_t> snapshot_tag_;
  HeadRow catch_up_head_;
  /// Latest known snapshot in the object store; version 0 for none.
  SnapshotRow latest_snapshot_;
  /// Version of a snapshot object that is missing or bad.
  uint64_t bad_snapshot_ = 0;
  uint32_t snapshots_this_second_ = 0;
  Counters<ConfigurationCounter> counters_;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/configuration_catch_up_inl.h"
#include "Plugins/Configuration/configuration_replica_inl.h"
#include "Plugins/Configuration/configuration_start_inl.h"
