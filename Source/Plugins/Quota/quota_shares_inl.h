#pragma once
/// \file
/// Definitions of `QuotaShares`; include quota_shares.h instead.

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/PlatformCalls/restore_delay.h"
#include "Plugins/Quota/quota_send.h"
#include "Plugins/Quota/quota_shares.h"
#include "Plugins/Quota/quota_shares_plan_inl.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Interval of the reads until there is a row.
inline constexpr Duration kMissingInterval = 1s;
inline constexpr Duration kConflictDelay = 20ms;
inline constexpr uint32_t kMaxFailureDoublings = 5;
/// Argument of timers for the time from which shares are usable.
inline constexpr uint64_t kUsableTimer = ~0ULL;

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Attach(Context& ctx) {
  if (!ctx.Settings().enforces_quota) return;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("quota_shares_owned", [this] {
    return static_cast<double>(CountOwned());
  });
  const SharedState& shared = ctx.Shared();
  ctx.AllMetrics().AddGauge("quota_shares_usable", [&shared] {
    return static_cast<double>(shared.quota_shares);
  });
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Handle(Context& ctx, const Event& event) {
  if (!ctx.Settings().enforces_quota) return;
  if (std::holds_alternative<Started>(event)) {
    started_at_ = ctx.Now();
    Schedule(ctx, kMissingInterval);
    Read(ctx);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kTick) UpdateUsable(ctx);
    if (timer->kind != TimerKind::kQuotaShares) return;
    if (timer->argument == timer_) HandleTimer(ctx);
    if (timer->argument == kUsableTimer) UpdateUsable(ctx);
  } else if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, replied->tag, replied->reply);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    if (std::holds_alternative<SharesMoved>(datagram->message)) Read(ctx);
  } else if (std::holds_alternative<PlatformRestored>(event)) {
    was_restored_ = true;
    read_tag_ = write_tag_ = 0;
    Schedule(ctx, RestoreDelay(ctx));
  } else if (std::holds_alternative<EventLoopStalled>(event)) {
    UpdateUsable(ctx);
  } else if (std::holds_alternative<DrainStarted>(event)) {
    HandleDrain(ctx);
  }
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Schedule(Context& ctx, Duration delay) {
  const auto jitter = ctx.RandomBelow(static_cast<uint32_t>(delay.count() / 4));
  ctx.SetTimerIn(delay + Duration(jitter), TimerKind::kQuotaShares, ++timer_);
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::HandleTimer(Context& ctx) {
  if (WaitsForFirstRow(ctx)) {
    Schedule(ctx, kFirstWrite);
    return;
  }
  if (std::exchange(repeats_notice_, false)) NotifyOwners(ctx, written_);
  // A request whose reply never comes must not end the reads.
  Schedule(ctx, kConfirmInterval);
  Read(ctx);
}

// Calls to the platform.

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Read(Context& ctx) {
  if (write_tag_ != 0) return;
  counters_.Add(QuotaSharesCounter::kReads);
  read_sent_at_ = ctx.Now();
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground, ReadRows{{std::string(kShareRow)}});
  read_tag_ = tag.value_or(0);
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Write(Context& ctx, const ShareTable& next,
                                uint64_t era) {
  counters_.Add(QuotaSharesCounter::kWrites);
  written_ = next;
  written_era_ = era;
  write_sent_at_ = ctx.Now();
  const std::string key(kShareRow);
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kBackground,
      Transaction{{{key, row_}}, {{key, Encode(next)}}});
  write_tag_ = tag.value_or(0);
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::HandleReply(Context& ctx, uint64_t tag,
                                      const PlatformReply& reply) {
  const bool is_read = tag == read_tag_ && tag != 0;
  const bool is_written = tag == write_tag_ && tag != 0;
  if (!is_read && !is_written) return;
  (is_read ? read_tag_ : write_tag_) = 0;
  const bool is_conflict = reply.status == PlatformStatus::kConditionFailed;
  if (reply.status != PlatformStatus::kOk && !is_conflict) {
    counters_.Add(QuotaSharesCounter::kFailed);
    failures_ = std::min(failures_ + 1, kMaxFailureDoublings);
    Schedule(ctx, kMissingInterval * (1U << (failures_ - 1)));
    return;
  }
  failures_ = 0;
  has_read_ = true;
  if (is_read) {
    HandleRead(ctx, reply);
  } else if (is_conflict) {
    Schedule(ctx, kConflictDelay);
  } else {
    HandleWritten(ctx, reply);
  }
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::HandleRead(Context& ctx, const PlatformReply& reply) {
  const auto it = reply.rows.find(std::string(kShareRow));
  row_.reset();
  Table table;
  if (it != reply.rows.end()) {
    row_ = it->second;
    const auto decoded = Decode<ShareTable>(it->second);
    if (!decoded || !decoded->IsValid()) {
      ctx.Log(LogTopic::kQuotaShares,
              {{"fault", "invalid-row"}, {"row", std::string(kShareRow)}},
              LogLevel::kWarning);
      return;
    }
    table = *decoded;
    knows_row_ = true;
  }
  if (table) Observe(ctx, *table, reply.era, read_sent_at_);
  const Table next = Plan(ctx, table, reply.era);
  if (next && next != table) {
    Write(ctx, *next, reply.era);
    return;
  }
  const bool has_claims = std::any_of(
      shares_.begin(), shares_.end(),
      [](const Share& share) { return share.claimed_at.has_value(); });
  const bool is_owner = CountOwned() > 0 || has_claims;
  Schedule(ctx, !table     ? kMissingInterval
                : is_owner ? kConfirmInterval
                           : kIdleInterval);
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::HandleWritten(Context& ctx,
                                        const PlatformReply& reply) {
  // The owners in a table for another era have no meaning.
  if (reply.era != written_era_) {
    Schedule(ctx, kConflictDelay);
    return;
  }
  row_ = Encode(written_);
  const bool is_first_row = !std::exchange(knows_row_, true);
  if (gives_away_ || is_first_row) NotifyOwners(ctx, written_);
  if (gives_away_) return;
  for (size_t n = 0; n < kShareCount; ++n) {
    const bool claims = written_.entries[n].claimant == ctx.Settings().self;
    if (!claims) {
      shares_[n].claimed_at.reset();
    } else if (!shares_[n].claimed_at) {
      shares_[n].claimed_at = ctx.Now();
    }
  }
  Observe(ctx, written_, written_era_, write_sent_at_);
  repeats_notice_ = is_first_row;
  Schedule(ctx, is_first_row ? kMissingInterval : kConfirmInterval);
}

// Ownership.

template <QuotaPolicy Policy>
void QuotaShares<Policy>::Observe(Context& ctx, const ShareTable& table,
                                  uint64_t era, Time as_of) {
  const Address self = ctx.Settings().self;
  EndOwnership(ctx);
  for (size_t n = 0; n < kShareCount; ++n) {
    const ShareEntry& entry = table.entries[n];
    Share& share = shares_[n];
    if (entry.claimant != self) share.claimed_at.reset();
    if (entry.era != era) continue;
    if (entry.owner != self) {
      share.is_owned = false;
      continue;
    }
    // The time of a claim by another daemon runs until this one has objected.
    if (entry.claimant.IsSet() || gives_away_) continue;
    if (!share.is_owned) {
      const Duration wait = Policy::kWaitsAfterGain ? kGainWait : 0s;
      share.usable_from = ctx.Now() + wait;
      ctx.SetTimerIn(wait, TimerKind::kQuotaShares, kUsableTimer);
    }
    share.is_owned = true;
    share.confirmed_at = std::max(share.confirmed_at, as_of);
  }
  UpdateUsable(ctx);
  const uint32_t owned = CountOwned();
  if (std::exchange(logged_owned_, owned) == owned) return;
  ctx.Log(LogTopic::kQuotaShares, {{"owned", std::to_string(owned)},
                                   {"all", std::to_string(kShareCount)},
                                   {"era", std::to_string(era)}});
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::EndOwnership(Context& ctx) {
  if (!Policy::kEndsOwnership) return;
  for (Share& share : shares_) {
    const bool is_confirmed = ctx.Now() - share.confirmed_at < kOwnershipLease;
    share.is_owned = share.is_owned && is_confirmed;
  }
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::UpdateUsable(Context& ctx) {
  EndOwnership(ctx);
  const auto usable = static_cast<uint32_t>(
      std::count_if(shares_.begin(), shares_.end(), [&ctx](const Share& share) {
        return share.is_owned && ctx.Now() >= share.usable_from;
      }));
  ctx.Shared().quota_shares = ctx.Shared().draining ? 0 : usable;
}

template <QuotaPolicy Policy>
uint32_t QuotaShares<Policy>::CountOwned() const {
  return static_cast<uint32_t>(
      std::count_if(shares_.begin(), shares_.end(),
                    [](const Share& share) { return share.is_owned; }));
}

/// A daemon whose backend server stays is started again; its next process finds
/// the shares in the table.
template <QuotaPolicy Policy>
void QuotaShares<Policy>::HandleDrain(Context& ctx) {
  ctx.Shared().quota_shares = 0;
  const bool stays = ctx.Shared().self.backend.state == BackendState::kReady;
  if (stays || CountOwned() == 0) return;
  gives_away_ = true;
  for (Share& share : shares_) share.is_owned = false;
  Read(ctx);
}

}  // namespace buckthorncart
