#include "Plugins/Configuration/snapshot_writer.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAcceptance,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<SnapshotWriter>();
    },
    ConfigurationSource::kAccepted);

/// Interval at which a daemon checks whether it has become the writer.
constexpr Duration kWriterCheckInterval = 10s;
/// Key of the rendezvous hash that selects the writer.
constexpr uint64_t kWriterKey = 0x736e6170;

}  // namespace

void SnapshotWriter::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void SnapshotWriter::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    ctx.SetTimerIn(kWriterCheckInterval, TimerKind::kSnapshotUpload);
  } else if (std::holds_alternative<ConfigurationAdopted>(event)) {
    StartIfDue(ctx);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind != TimerKind::kSnapshotUpload) return;
    ctx.SetTimerIn(kWriterCheckInterval, TimerKind::kSnapshotUpload);
    StartIfDue(ctx);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    if (request_tag_ != replied->tag) return;
    request_tag_.reset();
    HandleReply(ctx, replied->reply);
  }
}

void SnapshotWriter::StartIfDue(Context& ctx) {
  const uint64_t every = ctx.Settings().snapshot_every;
  if (every == 0 || step_ != Step::kIdle || !ctx.Shared().ready) return;
  const uint64_t block = ctx.Shared().held->version / every;
  if (block <= written_block_ || !IsChosenWriter(ctx, block)) return;
  request_tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground, ReadRows{{kSnapshotKey}});
  if (!request_tag_) return;
  block_ = block;
  step_ = Step::kReadRow;
}

bool SnapshotWriter::IsChosenWriter(Context& ctx, uint64_t block) const {
  const auto weight = [block](Address address) {
    return RendezvousWeight(kWriterKey + block, AddressHash{}(address));
  };
  const uint64_t own = weight(ctx.Settings().self);
  const auto& members = ctx.Shared().members;
  return std::none_of(members.begin(), members.end(), [&](const auto& item) {
    return item.second.status == MemberStatus::kAlive &&
           weight(item.first) > own;
  });
}

void SnapshotWriter::HandleReply(Context& ctx, const PlatformReply& reply) {
  const bool done = reply.status == PlatformStatus::kOk;
  switch (step_) {
    case Step::kReadRow:
      HandleRow(ctx, reply);
      break;
    case Step::kPutObject:
      if (done) {
        WriteRow(ctx);
      } else {
        Finish(false);
      }
      break;
    case Step::kWriteRow:
      Finish(done);
      break;
    case Step::kIdle:
      break;
  }
}

void SnapshotWriter::HandleRow(Context& ctx, const PlatformReply& reply) {
  if (reply.status != PlatformStatus::kOk) {
    Finish(false);
    return;
  }
  const auto it = reply.rows.find(kSnapshotKey);
  old_row_.reset();
  if (it != reply.rows.end()) {
    old_row_ = it->second;
    const auto row = Decode<SnapshotRow>(it->second);
    const uint64_t every = ctx.Settings().snapshot_every;
    if (row && row->version / every >= block_) {
      counters_.Add(SnapshotCounter::kWrittenByOthers);
      written_block_ = row->version / every;
      step_ = Step::kIdle;
      return;
    }
  }
  snapshot_ = ctx.Shared().held;
  request_tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      PutObject{SnapshotName({snapshot_->version, snapshot_->digest}),
                Encode(*snapshot_)});
  step_ = Step::kPutObject;
  if (!request_tag_) Finish(false);
}

void SnapshotWriter::WriteRow(Context& ctx) {
  const SnapshotRow row{snapshot_->version, snapshot_->digest};
  request_tag_ = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      Transaction{{{kSnapshotKey, old_row_}}, {{kSnapshotKey, Encode(row)}}});
  step_ = Step::kWriteRow;
  if (!request_tag_) Finish(false);
}

void SnapshotWriter::Finish(bool written) {
  counters_.Add(written ? SnapshotCounter::kWritten : SnapshotCounter::kFailed);
  if (written) written_block_ = block_;
  step_ = Step::kIdle;
  snapshot_.reset();
}

}  // namespace buckthorncart
