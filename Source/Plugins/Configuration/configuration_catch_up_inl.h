#pragma once
/// \file
/// Definitions of `ConfigurationReplica` that read the configuration from the
/// platform; include configuration_replica.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Configuration/configuration_replica.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Number of daemons in each data centre that poll `head`.
inline constexpr size_t kHeadReaders = 2;
/// Maximum number of change rows in one read.
inline constexpr uint64_t kCatchUpBatchRows = 128;
/// Minimum number of missing versions for which the snapshot object is read
/// before rows of changes.
inline constexpr uint64_t kMinSnapshotGap = 16;
/// Key of the rendezvous hash that selects the daemons polling `head`.
inline constexpr uint64_t kHeadReaderKey = 0x68656164;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
bool ConfigurationReplica<Policy, Rules>::IsHeadReader(Context& ctx) const {
  const auto weight = [](Address address) {
    return RendezvousWeight(kHeadReaderKey, AddressHash{}(address));
  };
  const uint64_t own = weight(ctx.Settings().self);
  size_t higher_ranked = 0;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (member.data_centre != ctx.Settings().data_centre) continue;
    if (weight(address) > own) ++higher_ranked;
  }
  return higher_ranked < kHeadReaders;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::ReadHead(Context& ctx) {
  if (head_request_tag_) return;
  counters_.Add(ConfigurationCounter::kHeadReads);
  head_request_tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground, ReadRows{{kHeadKey, kSnapshotKey}});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandlePlatform(
    Context& ctx, const PlatformReplied& replied) {
  if (head_request_tag_ == replied.tag) {
    head_request_tag_.reset();
    HandleHead(ctx, replied.reply);
  } else if (catch_up_request_tag_ == replied.tag) {
    catch_up_request_tag_.reset();
    HandleCatchUp(ctx, replied.reply);
  } else if (snapshot_request_tag_ == replied.tag) {
    snapshot_request_tag_.reset();
    HandleSnapshotObject(ctx, replied.reply);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleHead(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    floor_.RecordPlatformFailure();
    DecideFloor(ctx);
    return;
  }
  const auto snapshot = reply.rows.find(kSnapshotKey);
  if (snapshot != reply.rows.end()) {
    const auto row = Decode<SnapshotRow>(snapshot->second);
    if (row) latest_snapshot_ = *row;
  }
  const auto it = reply.rows.find(kHeadKey);
  const std::string row =
      it == reply.rows.end() ? Encode(HeadRow{}) : it->second;
  const auto head = Decode<HeadRow>(row);
  // No daemon can have held a version above `head`, so a higher floor came from
  // an incorrect report.
  const bool sets_floor =
      head && (!floor_.IsKnown() || head->version < floor_.Version());
  if (sets_floor) SetFloor(ctx, head->version);
  HandleHeadRow(ctx, row);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleHeadRow(
    Context& ctx, const std::string& row) {
  const auto head = Decode<HeadRow>(row);
  if (head) CatchUpFromPlatform(ctx, *head);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::CatchUpFromPlatform(
    Context& ctx, const HeadRow& head) {
  const uint64_t held = store_.Held()->version;
  if (head.version <= held || catch_up_request_tag_ || snapshot_request_tag_)
    return;
  counters_.Add(ConfigurationCounter::kPlatformCatchUps);
  catch_up_head_ = head;
  PlatformQueue& platform = *ctx.Shared().platform;
  const bool use_snapshot =
      latest_snapshot_.version >= held + kMinSnapshotGap &&
      latest_snapshot_.version != bad_snapshot_version_;
  if (use_snapshot) {
    snapshot_request_tag_ =
        platform.Submit(ctx, PlatformPriority::kBackground,
                        GetObject{SnapshotName(latest_snapshot_)});
    return;
  }
  ReadRows read;
  const uint64_t last = std::min(head.version, held + kCatchUpBatchRows);
  for (uint64_t version = held + 1; version <= last; ++version) {
    read.keys.push_back(ChangeKey(version));
  }
  catch_up_request_tag_ =
      platform.Submit(ctx, PlatformPriority::kBackground, std::move(read));
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleSnapshotObject(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  const bool applied = reply.object && ApplySnapshotObject(ctx, *reply.object);
  if (!applied) {
    counters_.Add(ConfigurationCounter::kSnapshotObjectsBad);
    if (!Rules::kFallBackToChangeRows) return;
    bad_snapshot_version_ = latest_snapshot_.version;
  }
  CatchUpFromPlatform(ctx, catch_up_head_);
}

/// Returns false if the object is invalid. An object that is only outdated
/// counts as valid.
template <SpreadingPolicy Policy, ConfigurationRules Rules>
bool ConfigurationReplica<Policy, Rules>::ApplySnapshotObject(
    Context& ctx, const std::string& bytes) {
  const auto snapshot = Decode<Snapshot>(bytes);
  if (!snapshot) return false;
  const bool matches_row = snapshot->version == latest_snapshot_.version &&
                           snapshot->digest == latest_snapshot_.digest;
  if (!matches_row) return false;
  ApplySnapshot(ctx, ctx.Settings().self, *snapshot);
  return store_.Held()->version >= snapshot->version;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationReplica<Policy, Rules>::HandleCatchUp(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  std::vector<Change> changes;
  for (const auto& [key, value] : reply.rows) {
    auto change = Decode<Change>(value);
    if (!change) break;
    changes.push_back(std::move(*change));
  }
  const uint64_t before = store_.Held()->version;
  if (!changes.empty()) ApplyChanges(ctx, ctx.Settings().self, changes);
  // Rows that didn't advance the version are not read again until the next poll
  // of `head`.
  if (store_.Held()->version > before) CatchUpFromPlatform(ctx, catch_up_head_);
}

}  // namespace buckthorncart
