#pragma once
/// \file
/// Definitions of `LeaveRecord`; included by leave_record.h.

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/Admission/leave_record.h"
#include "Plugins/PlatformCalls/restore_delay.h"
#include "Wire/codec.h"

namespace buckthorncart {

inline constexpr Duration kLeaveRetryInterval = 1s;
/// Time that the platform has before the records of other daemons suffice.
inline constexpr Duration kLeavePlatformTime = 300ms;
/// Number of other daemons whose records take the place of the platform's row.
inline constexpr size_t kLeaveHolders = 2;
/// Time after the end of a start in which its announcements may still arrive.
inline constexpr Duration kRecentLeaveTime = 10s;

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
  } else if (std::holds_alternative<PlatformRestored>(event)) {
    if (Rules::kStoreAgain) HandleRestore(ctx);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kTick) HandleTick(ctx);
  }
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::Read(Context& ctx) {
  if (!Rules::kUsePlatform) {
    read_ = true;
    ctx.Raise(EarlierBackendKnown{{}, true});
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
  const std::string key = LeaveRecordKey(ctx.Settings().self);
  Transaction transaction;
  // A first row that is written late must not replace the end of a start.
  if (!HasLeave()) transaction.conditions.push_back({key, std::nullopt});
  transaction.writes.push_back({key, Encode(leaving_)});
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground, std::move(transaction));
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
    const bool exists =
        replied.reply.status == PlatformStatus::kConditionFailed;
    if (!ok && !exists) return;
    stored_ = true;
    Finish(ctx);
  }
}

template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleRow(Context& ctx, const PlatformReply& reply) {
  EarlierBackendKnown known;
  const auto row = reply.rows.find(LeaveRecordKey(ctx.Settings().self));
  const bool is_first_process = row == reply.rows.end();
  known.is_conclusive = is_first_process || !Rules::kDoubtAbsence;
  if (!is_first_process) {
    // A row that cannot be decoded is not of a daemon.
    const auto backend = Decode<BackendAnnouncement>(row->second);
    if (backend && backend->left) known.backend = *backend;
  }
  if (known.backend.left && !HasLeave()) {
    leaving_ = known.backend;
    recorded_ = true;
  }
  ctx.Raise(std::move(known));
  if (!is_first_process || HasLeave()) return;
  stored_ = false;
  Write(ctx);
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
  if (stored_) return;
  if (write_tag_ == 0 && ctx.Now() >= next_write_) Write(ctx);
  const bool platform_is_late =
      ctx.Now() - leaving_since_ >= kLeavePlatformTime;
  if (!HasLeave() || recorded_ || !platform_is_late || !IsHeldByPeers(ctx))
    return;
  counters_.Add(LeaveRecordCounter::kHeldByPeers);
  Finish(ctx);
}

/// The restored store may lack the row. An end that is recent is stored at
/// once, since announcements from before it may still arrive at a new process.
template <LeaveRecordRules Rules>
void LeaveRecord<Rules>::HandleRestore(Context& ctx) {
  // Nothing has been stored yet.
  if (!read_ && !HasLeave()) return;
  stored_ = false;
  write_tag_ = 0;
  const bool is_recent =
      HasLeave() && ctx.Now() - leaving_since_ < kRecentLeaveTime;
  if (is_recent) {
    Write(ctx);
  } else {
    next_write_ = ctx.Now() + RestoreDelay(ctx);
  }
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
  if (!HasLeave() || std::exchange(recorded_, true)) return;
  ctx.Raise(LeaveRecorded{leaving_});
}

}  // namespace buckthorncart
