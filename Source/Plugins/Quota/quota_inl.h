#pragma once
/// \file
/// Definitions of `Quota`; include quota.h instead.

#include <algorithm>
#include <utility>
#include <variant>

#include "Kernel/context.h"
#include "Plugins/Quota/quota.h"
#include "Plugins/Quota/quota_rules.h"
#include "Plugins/Quota/quota_send.h"

namespace buckthorncart {

template <QuotaPolicy Policy>
void Quota<Policy>::Attach(Context& ctx) {
  if (!ctx.Settings().enforces_quota) return;
  ctx.Shared().quota_gate = &holder_;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge("quota_shares_leased_here", [this, &ctx] {
    return static_cast<double>(pool_.LeasedShares(ctx.Now()));
  });
  leases_.Attach(ctx);
  holder_.Attach(ctx);
}

template <QuotaPolicy Policy>
void Quota<Policy>::Handle(Context& ctx, const Event& event) {
  if (!ctx.Settings().enforces_quota) return;
  if (std::holds_alternative<Started>(event)) {
    leases_.Start(ctx);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    HandleTimer(ctx, *timer);
  } else if (const auto* datagram = std::get_if<DatagramReceived>(&event)) {
    HandleDatagram(ctx, *datagram);
  } else if (std::holds_alternative<ConfigurationAdopted>(event)) {
    AdoptLimits(ctx);
  } else if (std::holds_alternative<MemberChanged>(event)) {
    choice_.HandleMembers();
  } else if (std::holds_alternative<DrainStarted>(event)) {
    StopGranting(ctx);
  }
}

template <QuotaPolicy Policy>
void Quota<Policy>::HandleTimer(Context& ctx, const TimerFired& timer) {
  if (timer.kind == TimerKind::kQuotaLease) {
    leases_.HandleTimer(ctx, timer.argument);
  } else if (timer.kind == TimerKind::kQuotaRequest) {
    holder_.HandleTimeout(ctx, timer.argument);
  } else if (timer.kind == TimerKind::kQuotaShares) {
    leases_.HandleShares(ctx);
  }
}

template <QuotaPolicy Policy>
void Quota<Policy>::HandleDatagram(Context& ctx,
                                   const DatagramReceived& received) {
  const Datagram& message = received.message;
  if (const auto* lease = std::get_if<ShareLease>(&message)) {
    HandleLease(ctx, received.from, *lease);
  } else if (const auto* reply = std::get_if<ShareLeaseReply>(&message)) {
    leases_.HandleReply(ctx, received.from, *reply);
  } else if (const auto* request = std::get_if<TokenRequest>(&message)) {
    HandleRequest(ctx, received.from, *request);
  } else if (const auto* tokens = std::get_if<TokenReply>(&message)) {
    holder_.HandleReply(ctx, *tokens);
  }
}

template <QuotaPolicy Policy>
ShareLeaseReply Quota<Policy>::MakeReply(Context& ctx, uint32_t group) const {
  return {group, ctx.Shared().self.incarnation,
          static_cast<uint64_t>(ctx.Now().count()), ctx.Shared().draining};
}

template <QuotaPolicy Policy>
void Quota<Policy>::HandleLease(Context& ctx, Address from,
                                const ShareLease& lease) {
  if (lease.group >= kQuotaGroups) return;
  const ShareLeaseReply reply = MakeReply(ctx, lease.group);
  // A time in the future is not one that this daemon has issued.
  const bool is_known = lease.echoed_incarnation == reply.incarnation &&
                        lease.echoed_issue_us <= reply.issue_us;
  if (is_known && !ctx.Shared().draining) {
    counters_.Add(QuotaCounter::kLeasesReceived);
    const Time issued(static_cast<int64_t>(lease.echoed_issue_us));
    pool_.AddLease(lease.group, from, lease.shares, issued + kLeaseAtGranter,
                   ctx.Now());
  }
  SendQuota(ctx, from, reply);
}

template <QuotaPolicy Policy>
void Quota<Policy>::HandleRequest(Context& ctx, Address from,
                                  const TokenRequest& request) {
  const TokenGrant grant = pool_.Take(
      request.workspace, std::min(request.tokens, kMaxTokens), ctx.Now());
  counters_.Add(QuotaCounter::kTokensGranted, grant.tokens);
  const auto milliseconds = [](Duration duration) {
    return static_cast<uint32_t>(
        std::max<int64_t>(ToMilliseconds(duration), 0));
  };
  TokenReply reply;
  reply.number = request.number;
  reply.tokens = grant.tokens;
  reply.pause_ms = milliseconds(grant.pause);
  reply.retry_after_ms = milliseconds(grant.retry_after);
  reply.retry_spread_ms = milliseconds(grant.retry_spread);
  reply.shares = grant.shares;
  reply.milli_tokens = static_cast<uint32_t>(grant.left * 1'000.0);
  reply.is_stopped = ctx.Shared().draining;
  SendQuota(ctx, from, reply);
}

template <QuotaPolicy Policy>
void Quota<Policy>::AdoptLimits(Context& ctx) {
  QuotaPool::Limits limits;
  for (const auto& [name, workspace] :
       ctx.Shared().held->configuration.workspaces) {
    if (HasLimit(workspace))
      limits.emplace(name, LimitOf(ctx.Settings(), workspace));
  }
  pool_.SetLimits(limits, ctx.Now());
  holder_.HandleLimits(ctx);
}

template <QuotaPolicy Policy>
void Quota<Policy>::StopGranting(Context& ctx) {
  for (const auto& [group, owner] : pool_.Clear(ctx.Now()))
    SendQuota(ctx, owner, MakeReply(ctx, group));
}

}  // namespace buckthorncart
