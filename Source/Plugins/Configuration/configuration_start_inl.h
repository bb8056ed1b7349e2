#pragma once
/// \file
/// Start and resumption of `ConfigurationReplica`; include
/// configuration_replica.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Plugins/Configuration/configuration_replica.h"

namespace buckthorncart {

/// Members that are told of each version that this daemon takes.
inline constexpr size_t kWitnesses = 2;
/// Members that a starting daemon asks; more than are told, since members
/// come and go between the two.
inline constexpr size_t kAskedWitnesses = 6;
/// Key of the rendezvous hash that chooses the witnesses of an address.
inline constexpr uint64_t kWitnessKey = 0x7769746e;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::BeginStart(Context& ctx) {
  floor_.Begin(ctx.Now(), ctx.WallMilliseconds(), was_ready_);
  if (Rules::kFreshFloorOnly) {
    // A reply to a question from before a freeze may be as old as the freeze.
    head_tag_.reset();
    catch_up_tag_.reset();
    snapshot_tag_.reset();
    pull_.from = {};
  }
  UpdateReady(ctx);
  AskForFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::AskForFloor(Context& ctx) {
  ReadHead(ctx);
  for (const Address peer : FloorPeers(ctx)) {
    floor_.NoteAsked(peer);
    ctx.Send(peer, FloorQuery{floor_.Round()});
  }
  ctx.SetTimerIn(floor_.NextRetry(ctx.Settings().self), TimerKind::kStartRetry,
                 floor_.Round());
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
std::set<Address> ConfigurationReplica<Policy, Rules>::FloorPeers(
    Context& ctx) const {
  std::set<Address> peers(ctx.Settings().peers.begin(),
                          ctx.Settings().peers.end());
  for (const Address witness : Witnesses(ctx, kAskedWitnesses)) {
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
void ConfigurationReplica<Policy, Rules>::TellWitnesses(Context& ctx) {
  if (!Rules::kTellWitnesses) return;
  const uint64_t version = store_.Held()->version;
  for (const Address witness : Witnesses(ctx, kWitnesses)) {
    counters_.Add(ConfigurationCounter::kWitnessesTold);
    ctx.Send(witness, VersionHeld{version, true});
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleFloorReport(
    Context& ctx, Address from, const FloorReport& report) {
  NoteVersion(ctx, from, report.held);
  if (floor_.Known()) return;
  floor_.NoteReport(from, report);
  DecideFloor(ctx);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::DecideFloor(Context& ctx) {
  if (floor_.Known()) return;
  const auto version = floor_.ByPeers(ctx.Now());
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
      floor_.Known() && store_.Held()->version >= floor_.Version();
  if (ctx.Shared().ready) was_ready_ = true;
}

}  // namespace buckthorncart
