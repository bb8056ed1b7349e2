#pragma once
/// \file
/// Reading of the platform by `ConfigurationHolder`; include
/// configuration_holder.h.

#include <algorithm>
#include <utility>

#include "Base/digest.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Configuration/configuration_holder.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Daemons of a data centre that read `head` in turn.
inline constexpr size_t kHeadReaders = 2;
/// Rows read at once while catching up from the platform.
inline constexpr uint64_t kCatchUpRows = 128;
/// Gap from which on a snapshot object is read before rows of changes.
inline constexpr uint64_t kSnapshotGap = 16;
/// Key of the rendezvous hash that chooses the readers of `head`.
inline constexpr uint64_t kHeadReaderKey = 0x68656164;

template <SpreadingPolicy Policy, ConfigurationRules Rules>
bool ConfigurationHolder<Policy, Rules>::ReadsHead(Context& ctx) const {
  const auto weight = [](Address address) {
    return RendezvousWeight(kHeadReaderKey, AddressHash{}(address));
  };
  const uint64_t own = weight(ctx.Settings().self);
  size_t heavier = 0;
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (member.data_centre != ctx.Settings().data_centre) continue;
    if (weight(address) > own) ++heavier;
  }
  return heavier < kHeadReaders;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::ReadHead(Context& ctx) {
  if (head_tag_) return;
  counters_.Add(ConfigurationCounter::kHeadReads);
  head_tag_ = ctx.Shared().platform->Submit(ctx, PlatformPriority::kBackground,
                                            ReadRows{{kHeadKey, kSnapshotKey}});
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandlePlatform(
    Context& ctx, const PlatformReplied& replied) {
  if (head_tag_ == replied.tag) {
    head_tag_.reset();
    HandleHead(ctx, replied.reply);
  } else if (catch_up_tag_ == replied.tag) {
    catch_up_tag_.reset();
    HandleCatchUp(ctx, replied.reply);
  } else if (snapshot_tag_ == replied.tag) {
    snapshot_tag_.reset();
    HandleSnapshotObject(ctx, replied.reply);
  }
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleHead(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    floor_.NotePlatformFailed();
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
  // Nobody can have held more than `head`: a higher report was an error.
  const bool sets_floor =
      head && (!floor_.Known() || head->version < floor_.Version());
  if (sets_floor) SetFloor(ctx, head->version);
  HandleHeadRow(ctx, row);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleHeadRow(Context& ctx,
                                                       const std::string& row) {
  const auto head = Decode<HeadRow>(row);
  if (head) CatchUpFromPlatform(ctx, *head);
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::CatchUpFromPlatform(
    Context& ctx, const HeadRow& head) {
  const uint64_t held = store_.Held()->version;
  if (head.version <= held || catch_up_tag_ || snapshot_tag_) return;
  counters_.Add(ConfigurationCounter::kPlatformCatchUps);
  catch_up_head_ = head;
  PlatformQueue& platform = *ctx.Shared().platform;
  const bool use_snapshot = latest_snapshot_.version >= held + kSnapshotGap &&
                            latest_snapshot_.version != bad_snapshot_;
  if (use_snapshot) {
    snapshot_tag_ = platform.Submit(ctx, PlatformPriority::kBackground,
                                    GetObject{SnapshotName(latest_snapshot_)});
    return;
  }
  ReadRows read;
  const uint64_t last = std::min(head.version, held + kCatchUpRows);
  for (uint64_t version = held + 1; version <= last; ++version) {
    read.keys.push_back(ChangeKey(version));
  }
  catch_up_tag_ =
      platform.Submit(ctx, PlatformPriority::kBackground, std::move(read));
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleSnapshotObject(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  const bool taken = reply.object && TakeSnapshotObject(ctx, *reply.object);
  if (!taken) {
    counters_.Add(ConfigurationCounter::kSnapshotObjectsBad);
    if (!Rules::kFallBackToChanges) return;
    bad_snapshot_ = latest_snapshot_.version;
  }
  CatchUpFromPlatform(ctx, catch_up_head_);
}

/// Returns false if the object is bad; one that is merely old is not.
template <SpreadingPolicy Policy, ConfigurationRules Rules>
bool ConfigurationHolder<Policy, Rules>::TakeSnapshotObject(
    Context& ctx, const std::string& bytes) {
  const auto snapshot = Decode<Snapshot>(bytes);
  if (!snapshot) return false;
  const bool as_named = snapshot->version == latest_snapshot_.version &&
                        snapshot->digest == latest_snapshot_.digest;
  if (!as_named) return false;
  TakeSnapshot(ctx, ctx.Settings().self, *snapshot);
  return store_.Held()->version >= snapshot->version;
}

template <SpreadingPolicy Policy, ConfigurationRules Rules>
void ConfigurationHolder<Policy, Rules>::HandleCatchUp(
    Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) return;
  std::vector<Change> changes;
  for (const auto& [key, value] : reply.rows) {
    auto change = Decode<Change>(value);
    if (!change) break;
    changes.push_back(std::move(*change));
  }
  const uint64_t before = store_.Held()->version;
  if (!changes.empty()) TakeChanges(ctx, ctx.Settings().self, changes);
  // Rows that bring nothing are not read again before the next turn.
  if (store_.Held()->version > before) CatchUpFromPlatform(ctx, catch_up_head_);
}

}  // namespace buckthorncart
