#pragma once
/// \file
/// Definitions of `CallRouter` that concern the limits of workspaces. Include
/// call_router.h instead.

#include "Kernel/quota_gate.h"
#include "Plugins/Requests/call_router.h"

namespace buckthorncart {

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::AttemptWithinQuota(Context& ctx,
                                                   ActiveCall& active) {
  QuotaGate* gate = ctx.Shared().quota_gate;
  const bool is_limited = gate != nullptr && active.workspace != nullptr &&
                          active.workspace->rate_per_1000_s > 0;
  if (!is_limited) {
    Attempt(ctx, active);
    return;
  }
  const QuotaDecision decision = gate->Ask(ctx, active.call, *active.workspace);
  switch (decision.verdict) {
    case QuotaVerdict::kAdmitted:
      Attempt(ctx, active);
      break;
    case QuotaVerdict::kPending:
      active.awaits_quota = true;
      break;
    case QuotaVerdict::kRefused:
      RefuseOverQuota(ctx, active, decision.retry_after);
      break;
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleQuotaDecided(
    Context& ctx, const QuotaDecided& decided) {
  const auto it = active_.find(decided.call);
  if (it == active_.end() || !it->second.awaits_quota) return;
  ActiveCall& active = it->second;
  active.awaits_quota = false;
  if (decided.is_admitted) {
    Attempt(ctx, active);
    return;
  }
  RefuseOverQuota(ctx, active,
                  Duration(static_cast<int64_t>(decided.retry_after_us)));
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RefuseOverQuota(Context& ctx,
                                                ActiveCall& active,
                                                Duration retry_after) {
  active.quota_retry_after = retry_after;
  const bool is_retry = active.last_failure != Errc::kOk;
  AnswerFailure(ctx, active.call,
                is_retry ? active.last_failure : Errc::kQuotaExceeded,
                is_retry ? Outcome::kUnknown : Outcome::kNotRun);
  Finish(ctx, active.call);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::SettleQuota(Context& ctx, uint64_t call,
                                            bool may_have_run) {
  QuotaGate* gate = ctx.Shared().quota_gate;
  if (gate != nullptr) gate->Settle(ctx, call, may_have_run);
}

}  // namespace buckthorncart
