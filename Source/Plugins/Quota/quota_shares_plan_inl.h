#pragma once
/// \file
/// Definitions of `QuotaShares` that decide who is to own the shares; include
/// quota_shares.h instead.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Base/digest.h"
#include "Kernel/context.h"
#include "Plugins/Quota/quota_send.h"
#include "Plugins/Quota/quota_shares.h"

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
/// first row can be written.
inline constexpr Duration kFirstWrite = 4s;
/// Reads without a row after which any daemon writes it.
inline constexpr uint32_t kMaxMissingReads = 5;
/// Marks an owner of an era that never was, so that it needs a claim.
inline constexpr uint64_t kNoEra = ~0ULL;

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

}  // namespace buckthorncart
