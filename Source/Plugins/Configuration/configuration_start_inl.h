#pragma once
/// \file
/// Definitions of `ConfigurationReplica` for the start and the resumption after
/// a freeze; include configuration_replica.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Plugins/Configuration/configuration_replica.h"

namespace buckthorncart {

/// Number of members that are notified of each version that this daemon
/// applies.
inline constexpr size_t kNotifiedWitnesses = 2;
/// Number of members that a starting daemon queries. It is larger than
/// `kNotifiedWitnesses`, since members may join or leave between notification
/// and query.
inline constexpr size_t kQueriedWitnesses = 6;
/// Key of the rendezvous hash that selects the witnesses of an address.
inline constexpr uint64_t kWitnessKey = 0x7769746e;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::BeginStart(Context& ctx) {
  floor_.Begin(ctx.Now(), ctx.WallMilliseconds(), was_ready_);
  if (Rules::kIgnoreStaleReplies) {
    // A reply to a query sent before a freeze may be as old as the freeze.
    head_request_tag_.reset();
    catch_up_request_tag_.reset();
    snapshot_request_tag_.reset();
    pull_.from = {};
  }
  UpdateReady(ctx);
  QueryFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::QueryFloor(Context& ctx) {
  ReadHead(ctx);
  for (const Address peer : FloorPeers(ctx)) {
    floor_.RecordQuery(peer);
    ctx.Send(peer, FloorQuery{floor_.Round()});
  }
  ctx.SetTimerIn(floor_.NextQueryDelay(ctx.Settings().self),
                 TimerKind::kStartRetry, floor_.Round());
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
std::set<Address> ConfigurationReplica<Policy, Rules>::FloorPeers(
    Context& ctx) const {
  std::set<Address> peers(ctx.Settings().peers.begin(),
                          ctx.Settings().peers.end());
  for (const Address witness : Witnesses(ctx, kQueriedWitnesses)) {
    peers.insert(witness);
  }
  peers.erase(ctx.Settings().self);
  return peers;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
std::vector<Address> ConfigurationReplica<Policy, Rules>::Witnesses(
    Context& ctx, size_t n) const {
  const uint64_t key = kWitnessKey ^ AddressHash {}(ctx.Settings().self);
  std::vector<std::pair<uint64_t, Address>> weighted;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status == MemberStatus::kGone) continue;
    weighted.emplace_back(RendezvousWeight(key, AddressHash{}(address)),
                          address);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  if (weighted.size() > n) weighted.resize(n);
  std::vector<Address> witnesses;
  for (const auto& [weight, address] : weighted) witnesses.push_back(address);
  return witnesses;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::NotifyWitnesses(Context& ctx) {
  if (!Rules::kNotifyWitnesses) return;
  const uint64_t version = store_.Held()->version;
  for (const Address witness : Witnesses(ctx, kNotifiedWitnesses)) {
    counters_.Add(ConfigurationCounter::kWitnessesNotified);
    ctx.Send(witness, VersionHeld{version, true});
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleFloorReport(
    Context& ctx, Address from, const FloorReport& report) {
  RecordPeerVersion(ctx, from, report.held);
  if (floor_.IsKnown()) return;
  floor_.RecordReport(from, report);
  DecideFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::DecideFloor(Context& ctx) {
  if (floor_.IsKnown()) return;
  const auto version = floor_.FromPeerReports(ctx.Now());
  if (version) SetFloor(ctx, *version);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::SetFloor(Context& ctx,
                                                   uint64_t version) {
  floor_.Set(version);
  ctx.Log(LogTopic::kFloorKnown, {{"version", std::to_string(version)}});
  UpdateReady(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::UpdateReady(Context& ctx) {
  ctx.Shared().ready =
      floor_.IsKnown() && store_.Held()->version >= floor_.Version();
  if (ctx.Shared().ready) was_ready_ = true;
}

}  // namespace buckthorncart
