#pragma once
/// \file
/// Definitions of `LeaveRecord`; included by leave_record.h.

#include <algorithm>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Admission/leave_record.h"
#include "Wire/codec.h"

namespace buckthorncart {

inline constexpr Duration kLeaveRetryInterval = 1s;
/// Time that the platform has before the records of other daemons suffice.
inline constexpr Duration kLeavePlatformTime = 300ms;
/// Number of other daemons whose records take the place of the platform's row.
inline constexpr size_t kLeaveHolders = 2;

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<Started>(event)) {
    Read(ctx);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
  } else if (const auto* changed = std::get_if<LocalBackendChanged>(&event)) {
    HandleBackend(ctx, changed->backend);
  } else if (const auto* received = std::get_if<OwnRecordReceived>(&event)) {
    if (received->sequence >= own_sequence_) holders_.insert(received->peer);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kTick) HandleTick(ctx);
  }
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Read(Context& ctx) {
  if (!Rules::kUsePlatform) {
    read_ = true;
    ctx.Raise(EarlierBackendKnown{});
    return;
  }
  counters_.Add(LeaveRecordCounter::kReads);
  next_read_ = ctx.Now() + kLeaveRetryInterval;
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      ReadRows{{LeaveRecordKey(ctx.Settings().self)}});
  read_tag_ = tag.value_or(0);
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Write(Context& ctx) {
  if (!Rules::kUsePlatform) {
    stored_ = true;
    Finish(ctx);
    return;
  }
  counters_.Add(LeaveRecordCounter::kWrites);
  next_write_ = ctx.Now() + kLeaveRetryInterval;
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      Transaction{{},
                  {{LeaveRecordKey(ctx.Settings().self), Encode(leaving_)}}});
  write_tag_ = tag.value_or(0);
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleReply(Context& ctx,
                                     const PlatformReplied& replied) {
  const bool ok = replied.reply.status == PlatformStatus::kOk;
  if (replied.tag == read_tag_) {
    read_tag_ = 0;
    if (ok && !std::exchange(read_, true)) HandleRow(ctx, replied.reply);
  } else if (replied.tag == write_tag_) {
    write_tag_ = 0;
    if (!ok) return;
    stored_ = true;
    Finish(ctx);
  }
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleRow(Context& ctx, const PlatformReply& reply) {
  EarlierBackendKnown known;
  const auto row = reply.rows.find(LeaveRecordKey(ctx.Settings().self));
  if (row != reply.rows.end()) {
    // A row that cannot be decoded is not of a daemon.
    const auto backend = Decode<BackendAnnouncement>(row->second);
    if (backend && backend->left) known.backend = *backend;
  }
  const bool is_recorded = known.backend.left && leaving_.id.empty();
  if (is_recorded) {
    leaving_ = known.backend;
    recorded_ = true;
    stored_ = true;
  }
  ctx.Raise(std::move(known));
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleBackend(Context& ctx,
                                       const BackendAnnouncement& backend) {
  if (!backend.left) return;
  if (IsSameStart(backend, leaving_)) {
    if (recorded_) ctx.Raise(LeaveRecorded{leaving_});
    return;
  }
  leaving_ = backend;
  recorded_ = false;
  stored_ = false;
  leaving_since_ = ctx.Now();
  // The membership plug-in has updated the own record before.
  own_sequence_ = ctx.Shared().self.sequence;
  holders_.clear();
  Write(ctx);
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleTick(Context& ctx) {
  // A slow platform may take longer than the interval.
  if (!read_ && read_tag_ == 0 && ctx.Now() >= next_read_) Read(ctx);
  const bool unfinished = !leaving_.id.empty() && !stored_;
  if (!unfinished) return;
  if (write_tag_ == 0 && ctx.Now() >= next_write_) Write(ctx);
  const bool platform_is_late =
      ctx.Now() - leaving_since_ >= kLeavePlatformTime;
  if (recorded_ || !platform_is_late || !IsHeldByPeers(ctx)) return;
  counters_.Add(LeaveRecordCounter::kHeldByPeers);
  Finish(ctx);
}

template <LeaveRecordRules Rules>
bool LeaveRecord<Rules>::IsHeldByPeers(Context& ctx) const {
  const auto& members = ctx.Shared().members;
  const auto alive =
      std::count_if(members.begin(), members.end(), [](const auto& item) {
        return item.second.status == MemberStatus::kAlive;
      });
  const size_t needed = std::min(kLeaveHolders, static_cast<size_t>(alive));
  return !holders_.empty() && holders_.size() >= needed;
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Finish(Context& ctx) {
  if (std::exchange(recorded_, true)) return;
  ctx.Raise(LeaveRecorded{leaving_});
}

}  // namespace buckthorncart
