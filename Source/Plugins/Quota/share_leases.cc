#include "Plugins/Quota/share_leases.h"

#include <algorithm>

#include "Kernel/context.h"
#include "Plugins/Quota/quota_send.h"

namespace buckthorncart {
namespace {

/// Interval of the leases. A lease outlasts one that is lost.
constexpr Duration kLeaseInterval = 300ms;
/// Argument of the timer that is repeated; others name a group.
constexpr uint64_t kAllGroups = kQuotaGroups;
constexpr uint32_t kMaxUnanswered = 2;

}  // namespace

void ShareLeases::Attach(Context& ctx) { ctx.AllMetrics().Add(&counters_); }

void ShareLeases::Start(Context& ctx) {
  const auto offset =
      ctx.RandomBelow(static_cast<uint32_t>(kLeaseInterval.count()));
  ctx.SetTimerIn(Duration(offset), TimerKind::kQuotaLease, kAllGroups);
}

void ShareLeases::HandleTimer(Context& ctx, uint64_t argument) {
  if (argument < kQuotaGroups) {
    Lease(ctx, static_cast<uint32_t>(argument));
    return;
  }
  ctx.SetTimerIn(kLeaseInterval, TimerKind::kQuotaLease, kAllGroups);
  for (uint32_t group = 0; group < kQuotaGroups; ++group) Lease(ctx, group);
}

void ShareLeases::HandleShares(Context& ctx) {
  const bool has_shares = ctx.Shared().quota_shares > 0;
  const bool is_new = has_shares && !had_shares_;
  had_shares_ = has_shares;
  if (!is_new) return;
  for (uint32_t group = 0; group < kQuotaGroups; ++group) Lease(ctx, group);
}

void ShareLeases::Lease(Context& ctx, uint32_t group) {
  if (ctx.Shared().quota_shares == 0) return;
  Group& state = groups_[group];
  const Address chosen = choice_.Of(ctx, group);
  if (chosen != state.granter) {
    const Duration remaining = state.leased_until - ctx.Now();
    if (waits_for_lease_end_ && remaining > Duration::zero()) {
      if (remaining < kLeaseInterval)
        ctx.SetTimerIn(remaining, TimerKind::kQuotaLease, group);
      return;
    }
    counters_.Add(ShareLeaseCounter::kMoves);
    state = {};
    state.granter = chosen;
  }
  Send(ctx, group);
}

void ShareLeases::Send(Context& ctx, uint32_t group) {
  Group& state = groups_[group];
  if (++state.unanswered > kMaxUnanswered)
    choice_.RecordSilence(state.granter, ctx.Now());
  if (state.incarnation != 0) {
    state.leased_until =
        std::max(state.leased_until, ctx.Now() + kLeaseAtOwner);
  }
  counters_.Add(ShareLeaseCounter::kSent);
  SendQuota(ctx, state.granter,
            ShareLease{group, ctx.Shared().quota_shares, state.incarnation,
                       state.issue_us});
}

void ShareLeases::HandleReply(Context& ctx, Address from,
                              const ShareLeaseReply& reply) {
  if (reply.group >= kQuotaGroups) return;
  Group& state = groups_[reply.group];
  if (from != state.granter || reply.incarnation == 0) return;
  if (reply.is_stopped) {
    choice_.Avoid(from, ctx.Now());
    // Only the process that stopped can hold a lease.
    if (reply.incarnation == state.incarnation) state.leased_until = ctx.Now();
    Lease(ctx, reply.group);
    return;
  }
  choice_.RecordReply(from);
  state.unanswered = 0;
  const bool is_first = state.incarnation != reply.incarnation;
  state.incarnation = reply.incarnation;
  state.issue_us = reply.issue_us;
  if (is_first && ctx.Shared().quota_shares > 0) Send(ctx, reply.group);
}

}  // namespace buckthorncart
