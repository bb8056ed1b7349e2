#pragma once
/// \file
/// Definitions of `QuotaShares`; include quota_shares.h instead.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Plugins/PlatformCalls/restore_delay.h"
#include "Plugins/Quota/quota_send.h"
#include "Plugins/Quota/quota_shares.h"
#include "Wire/codec.h"

namespace buckthorncart {

/// Time without a confirmation after which an owner has its shares no more.
/// Longer than the store is usually away; as long, a share of a lost daemon is
/// of no use to the others.
inline constexpr Duration kOwnershipLease = 10min;
/// Time after which the leases of an earlier owner have ended.
inline constexpr Duration kGainWait = kLeaseAtOwner + 300ms;
/// Interval of the reads by which owners are confirmed and claims are seen, and
/// of those of daemons without shares.
inline constexpr Duration kConfirmInterval = 1min;
inline constexpr Duration kIdleInterval = 10min;
/// Time for which the owner of a share must have been gone before it is
/// claimed. A daemon that has just started knows few others.
inline constexpr Duration kAbandonedTime = 30s;
/// Time after which a fleet that starts together knows itself, so that the
/// first row can be written, and the interval of reads until there is one.
inline constexpr Duration kFirstWrite = 4s;
inline constexpr Duration kMissingInterval = 1s;
inline constexpr uint32_t kMaxMissingReads = 5;
inline constexpr Duration kConflictDelay = 20ms;
inline constexpr uint32_t kMaxFailureDoublings = 5;
/// Argument of timers for the time from which shares are usable.
inline constexpr uint64_t kUsableTimer = ~0ULL;
/// Marks an owner of an era that never was, so that it needs a claim.
inline constexpr uint64_t kNoEra = ~0ULL;

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

template <QuotaPolicy Policy>
Address QuotaShares<Policy>::Preferred(Context& ctx, size_t n, bool with_self) {
  const auto weight = [n](Address candidate) {
    return RendezvousWeight(n + 1, AddressHash{}(candidate));
  };
  Address best = with_self ? ctx.Settings().self : Address{};
  for (const auto& [address, member] : ctx.Shared().members) {
    if (member.status != MemberStatus::kAlive) continue;
    if (!best.IsSet() || weight(address) > weight(best)) best = address;
  }
  return best;
}

template <QuotaPolicy Policy>
Address QuotaShares<Policy>::NextOwner(Context& ctx, size_t n,
                                       const ShareTable& table) {
  Address best;
  const auto weight = [n](Address candidate) {
    return RendezvousWeight(n + 1, AddressHash{}(candidate));
  };
  for (const ShareEntry& entry : table.entries) {
    if (!entry.owner.IsSet() || IsGone(ctx, entry.owner)) continue;
    if (!best.IsSet() || weight(entry.owner) > weight(best)) best = entry.owner;
  }
  return best.IsSet() ? best : Preferred(ctx, n, true);
}

template <QuotaPolicy Policy>
bool QuotaShares<Policy>::IsGone(Context& ctx, Address owner) {
  if (owner == ctx.Settings().self) return false;
  const auto it = ctx.Shared().members.find(owner);
  return it == ctx.Shared().members.end() ||
         it->second.status == MemberStatus::kGone;
}

template <QuotaPolicy Policy>
bool QuotaShares<Policy>::IsAbandoned(Context& ctx, size_t n, Address owner) {
  std::optional<Time>& since = shares_[n].abandoned_at;
  if (!IsGone(ctx, owner)) {
    since.reset();
    return false;
  }
  if (!since) since = ctx.Now();
  return ctx.Now() - *since >= kAbandonedTime;
}

template <QuotaPolicy Policy>
bool QuotaShares<Policy>::IsFirst(Context& ctx) {
  const auto& members = ctx.Shared().members;
  return std::none_of(members.begin(), members.end(),
                      [&ctx](const auto& entry) {
                        return entry.second.status == MemberStatus::kAlive &&
                               entry.first < ctx.Settings().self;
                      });
}

template <QuotaPolicy Policy>
bool QuotaShares<Policy>::WaitsForFirstRow(Context& ctx) const {
  const bool may_be_first = ctx.Settings().is_first_start && !was_restored_;
  if (!may_be_first || knows_row_ || !has_read_) return false;
  return ctx.Now() - started_at_ < kConfirmInterval && !IsFirst(ctx);
}

template <QuotaPolicy Policy>
void QuotaShares<Policy>::NotifyOwners(Context& ctx, const ShareTable& table) {
  std::set<Address> owners;
  for (const ShareEntry& entry : table.entries) owners.insert(entry.owner);
  owners.erase(Address{});
  owners.erase(ctx.Settings().self);
  for (const Address owner : owners) SendQuota(ctx, owner, SharesMoved{});
}

template <QuotaPolicy Policy>
typename QuotaShares<Policy>::Table QuotaShares<Policy>::Plan(
    Context& ctx, const Table& table, uint64_t era) {
  if (ctx.Shared().draining && !gives_away_) return table;
  if (!table) {
    if (ctx.Now() - started_at_ < kFirstWrite) return {};
    ++missing_reads_;
    return PlanFirst(ctx, era);
  }
  ShareTable next = *table;
  for (size_t n = 0; n < kShareCount; ++n)
    next.entries[n] = PlanEntry(ctx, n, *table, era);
  return next;
}

/// Returns all daemons, those of each data centre in turn, so that a part of
/// the fleet that is cut off has about its part of the shares.
template <QuotaPolicy Policy>
std::vector<Address> QuotaShares<Policy>::FirstOwners(Context& ctx) {
  std::map<std::string, std::vector<Address>> data_centres;
  const SharedState& shared = ctx.Shared();
  data_centres[shared.self.data_centre].push_back(ctx.Settings().self);
  for (const auto& [address, member] : shared.members) {
    if (member.status == MemberStatus::kAlive)
      data_centres[member.data_centre].push_back(address);
  }
  std::vector<Address> order;
  for (size_t i = 0; i <= shared.members.size(); ++i) {
    for (const auto& [name, daemons] : data_centres) {
      if (i < daemons.size()) order.push_back(daemons[i]);
    }
  }
  return order;
}

/// At the first start of the fleet no share can have an owner that is not
/// known. Otherwise the row may have been lost, and the owners with it.
template <QuotaPolicy Policy>
typename QuotaShares<Policy>::Table QuotaShares<Policy>::PlanFirst(
    Context& ctx, uint64_t era) const {
  const Address self = ctx.Settings().self;
  // One daemon is enough to write it, if it can.
  if (!IsFirst(ctx) && missing_reads_ < kMaxMissingReads) return {};
  const bool is_first = ctx.Settings().is_first_start && !was_restored_;
  const std::vector<Address> order = FirstOwners(ctx);
  ShareTable first;
  for (size_t n = 0; n < kShareCount; ++n) {
    ShareEntry entry;
    entry.era = is_first || shares_[n].is_owned ? era : kNoEra;
    if (shares_[n].is_owned) {
      entry.owner = self;
    } else if (is_first) {
      entry.owner = order[n % order.size()];
    }
    first.entries.push_back(entry);
  }
  return first;
}

template <QuotaPolicy Policy>
ShareEntry QuotaShares<Policy>::PlanEntry(Context& ctx, size_t n,
                                          const ShareTable& table,
                                          uint64_t era) {
  const Address self = ctx.Settings().self;
  const ShareEntry& entry = table.entries[n];
  if (gives_away_) {
    const bool is_own = entry.owner == self && entry.era == era;
    return is_own ? ShareEntry{Preferred(ctx, n, false), era, {}} : entry;
  }
  // The store has lost that this daemon is the owner, or another one claims the
  // share.
  if (shares_[n].is_owned) return {self, era, {}};
  const bool was_claimed =
      entry.owner == self && entry.era == era && entry.claimant.IsSet();
  if (was_claimed) return {self, era, {}};
  const bool is_free = !entry.owner.IsSet() && entry.era == era;
  if (is_free && Preferred(ctx, n, true) == self) return {self, era, {}};
  const bool is_uncertain = entry.era != era && entry.owner == self;
  const bool is_abandoned = !is_free && IsAbandoned(ctx, n, entry.owner);
  if (!is_uncertain && !is_abandoned) return entry;
  return PlanClaim(ctx, n, table, era);
}

template <QuotaPolicy Policy>
ShareEntry QuotaShares<Policy>::PlanClaim(Context& ctx, size_t n,
                                          const ShareTable& table,
                                          uint64_t era) {
  const Address self = ctx.Settings().self;
  const ShareEntry& entry = table.entries[n];
  ShareEntry next = entry;
  if (entry.claimant == self) {
    std::optional<Time>& claimed_at = shares_[n].claimed_at;
    // An earlier process of this daemon has claimed it; when is not known.
    if (!claimed_at) claimed_at = ctx.Now();
    if (ctx.Now() - *claimed_at < kOwnershipLease + kGainWait) return entry;
    return {self, era, {}};
  }
  const bool is_claimed =
      entry.claimant.IsSet() && !IsGone(ctx, entry.claimant);
  const bool is_next = entry.owner == self || NextOwner(ctx, n, table) == self;
  if (!is_claimed && is_next) next.claimant = self;
  return next;
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
