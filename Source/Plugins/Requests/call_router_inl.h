#pragma once
/// \file
/// Definitions of `CallRouter` that handle calls and their answers. Include
/// call_router.h instead.

#include <utility>

#include "Plugins/Requests/api_key_check.h"
#include "Plugins/Requests/call_plan.h"
#include "Plugins/Requests/call_router.h"
#include "Plugins/Rollouts/version_gate.h"

namespace buckthorncart {

/// Time after the deadline in which the refusal of a queued call with the
/// outcome "not-run" can still arrive from the admitting daemon.
inline constexpr Duration kNotRunAnswerGrace = 30ms;
inline constexpr uint16_t kFirstServerError = 500;

template <BackendChoice Choice, RequestRules Rules>
CallRouter<Choice, Rules>::CallRouter(const KernelSettings& settings)
    : retry_budgets_(settings.retry_budget_percent, settings.retry_reserve,
                     settings.fleet_retry_reserve) {}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddLabelled("calls_by_result_total", &results_);
  ctx.AllMetrics().AddHistogram("call_seconds", &call_times_);
  ctx.AllMetrics().AddGauge(
      "calls_active", [this] { return static_cast<double>(active_.size()); });
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* requested = std::get_if<CallerRequested>(&event)) {
    HandleRequest(ctx, *requested);
  } else if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    HandlePeerMessage(ctx, *message);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    HandlePeerLost(ctx, lost->peer);
  } else if (const auto* left = std::get_if<CallerDisconnected>(&event)) {
    HandleCallerLeft(ctx, left->call);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kCallDeadline) {
      HandleDeadline(ctx, timer->argument);
    } else if (timer->kind == TimerKind::kTick) {
      MarkPeersInUse(ctx);
      CountDaemons(ctx);
    }
  } else if (const auto* changed = std::get_if<MemberChanged>(&event)) {
    HandleMemberChanged(ctx, changed->address);
  } else if (std::holds_alternative<LocalBackendChanged>(event)) {
    backend_stats_.UpdateMember(ctx.Shared().self, ctx.Now());
  } else if (std::holds_alternative<DrainLimitReached>(event)) {
    GiveUpAll(ctx);
  } else if (const auto* decided = std::get_if<QuotaDecided>(&event)) {
    HandleQuotaDecided(ctx, *decided);
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleRequest(
    Context& ctx, const CallerRequested& requested) {
  counters_.Add(CallRouterCounter::kCalls);
  const uint64_t call = requested.call;
  auto plan = PlanCall(ctx, requested.request);
  const Duration waited(requested.waited_us);
  if (plan && plan->timeout <= waited)
    plan = tl::unexpected(Errc::kDeadlineExpired);
  if (!plan) {
    if (plan.error() == Errc::kUnknownKey)
      counters_.Add(CallRouterCounter::kUnknownKeys);
    AnswerFailure(ctx, call, plan.error(), Outcome::kNotRun);
    return;
  }
  ActiveCall& active = active_[call];
  active.call = call;
  active.snapshot = plan->snapshot;
  active.route = plan->route;
  if (!plan->route.split.empty()) {
    active.route.service = split_picker_.Pick(plan->route);
  }
  RetryBudget& budget = retry_budgets_.ForService(active.route.service);
  budget.RecordCall();
  if (requested.from_backend) budget.ChargeNested(RerunShare(ctx));
  if (ctx.Shared().version_gate != nullptr)
    ctx.Shared().version_gate->RecordCall(active.route.service);
  active.request = requested.request;
  SetCallerHeader(ctx, active.request.headers);
  active.workspace = plan->workspace;
  if (ctx.Settings().checks_api_keys) {
    SetWorkspaceHeader(plan->workspace, plan->route, active.request.headers);
  }
  active.idempotency_key = plan->idempotency_key;
  active.fingerprint = plan->fingerprint;
  active.arrived_at = ctx.Now() - waited;
  active.deadline = active.arrived_at + plan->timeout;
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
  ctx.SetTimerIn(active.deadline - ctx.Now() + kNotRunAnswerGrace,
                 TimerKind::kCallDeadline, call);
  AttemptWithinQuota(ctx, active);
}

/// Share of the runs of the local backend server that are retries. The calls
/// that they make are retries too, at the service that is called; which run a
/// call belongs to is not known.
template <BackendChoice Choice, RequestRules Rules>
double CallRouter<Choice, Rules>::RerunShare(Context& ctx) {
  const SharedState& shared = ctx.Shared();
  if (!Rules::kChargeNestedRetries || shared.running == 0) return 0.0;
  return static_cast<double>(shared.rerunning) /
         static_cast<double>(shared.running);
}

/// Sets the header with the service of the caller from the settings. A value
/// that the caller itself has set is removed.
template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::SetCallerHeader(Context& ctx,
                                                Headers& headers) {
  std::erase_if(headers, [](const Header& header) {
    return header.name == header::kCallerService;
  });
  const std::string& caller = ctx.Settings().caller_service;
  if (caller.empty()) return;
  headers.push_back({std::string(header::kCallerService), caller});
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  const PeerMessage& message = received.message;
  if (const auto* refused = std::get_if<CallRefused>(&message)) {
    HandleRefused(ctx, received.from, *refused);
  } else if (const auto* answer = std::get_if<CallAnswer>(&message)) {
    HandleAnswer(ctx, received.from, *answer);
  } else if (const auto* failed = std::get_if<CallFailed>(&message)) {
    HandleFailed(ctx, received.from, *failed);
  } else if (const auto* request = std::get_if<BodyRequest>(&message)) {
    HandleBodyRequest(ctx, received.from, *request);
  }
}

template <BackendChoice Choice, RequestRules Rules>
typename CallRouter<Choice, Rules>::ActiveCall*
CallRouter<Choice, Rules>::FindActiveCall(Address from, uint64_t id) {
  const auto it = active_.find(id);
  if (it == active_.end() || it->second.admitting != from) return nullptr;
  return &it->second;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleRefused(Context& ctx, Address from,
                                              const CallRefused& refused) {
  ActiveCall* active = FindActiveCall(from, refused.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  RecordAttempt(ctx, *active, from, NameOf(refused.reason));
  if (IsBusy(ctx, refused)) {
    HandleBusy(ctx, *active, from, refused);
    return;
  }
  RecordRefusal(ctx, from, refused.reason);
  // A daemon that is leaving is not tried again, so that these retries cannot
  // accumulate and need no budget.
  const bool is_leaving =
      refused.reason == Errc::kDraining || refused.reason == Errc::kNotReady;
  if (is_leaving) --active->attempts;
  RetryOrAnswer(ctx, *active, refused.reason, Outcome::kNotRun, !is_leaving);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleAnswer(Context& ctx, Address from,
                                             const CallAnswer& answer) {
  ActiveCall* active = FindActiveCall(from, answer.id);
  if (active == nullptr) return;
  // The first parts were lost with a connection. The complete answer follows.
  if (!active->head_sent && !answer.part.IsHead()) return;
  if (Rules::kCheckPartOrder && answer.sequence != 0) {
    if (answer.sequence <= active->parts_received) return;
    if (answer.sequence > active->parts_received + 1) {
      HandleMissingPart(ctx, *active, from);
      return;
    }
    active->parts_received = answer.sequence;
  }
  backend_stats_.RecordLoad(from, answer.load, ctx.Now());
  backend_stats_.RecordLinkWait(
      from, std::chrono::milliseconds(answer.link_wait_ms), ctx.Now());
  if (RetryFailedAnswer(ctx, *active, from, answer.part)) return;
  AnswerPart part = answer.part;
  if (part.IsHead()) {
    active->answer_status = part.status;
    part.headers.push_back(
        {std::string(header::kOutcome), std::string(NameOf(Outcome::kRan))});
    active->head_sent = true;
  }
  const AnswerEnd end = part.end;
  const uint16_t status = part.status;
  ctx.Emit(AnswerCaller{active->call, std::move(part), ctx.Shared().draining});
  if (end == AnswerEnd::kMore) return;
  ReleasePeer(*active);
  RecordVersionEnd(
      ctx, *active,
      end == AnswerEnd::kBroken || active->answer_status >= kFirstServerError);
  backend_stats_.RecordTime(from, active->route.name,
                            ctx.Now() - active->sent_at, ctx.Now());
  CountOutcome(Outcome::kRan);
  RecordAttempt(ctx, *active, from, "answered");
  RecordResult(ctx, *active, Outcome::kRan,
               end == AnswerEnd::kBroken ? "cut" : "answered", status);
  // A truncated answer is useless to the caller, so the call is not reported as
  // successful.
  RaiseCallEnded(ctx, active->call,
                 end == AnswerEnd::kBroken ? Outcome::kUnknown : Outcome::kRan);
  Finish(ctx, active->call);
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::RetryFailedAnswer(Context& ctx,
                                                  ActiveCall& active,
                                                  Address from,
                                                  const AnswerPart& part) {
  if (!part.IsHead()) return false;
  const bool failed = part.status >= kFirstServerError;
  backend_stats_.RecordOutcome(from, failed, ctx.Now());
  const bool may_retry = failed && part.end == AnswerEnd::kComplete &&
                         active.route.repeatable && !active.head_sent &&
                         ctx.Settings().choice == ChoicePolicy::kNearest;
  if (!may_retry || !MayRetry(ctx, active, true, true)) return false;
  ReleasePeer(active);
  RecordVersionEnd(ctx, active, true);
  RecordAttempt(ctx, active, from, std::to_string(part.status));
  counters_.Add(CallRouterCounter::kRetries);
  active.may_have_run = true;
  active.admitting = {};
  active.last_failure = Errc::kBackendServerFailed;
  AttemptWithinQuota(ctx, active);
  return true;
}

/// A part of the answer was lost in transit.
template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleMissingPart(Context& ctx,
                                                  ActiveCall& active,
                                                  Address from) {
  counters_.Add(CallRouterCounter::kAnswersOutOfOrder);
  ReleasePeer(active);
  if (active.route.repeatable) ctx.Send(from, CancelCall{active.call});
  RetryOrAnswer(ctx, active, Errc::kConnectionLost, Outcome::kUnknown, true);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleFailed(Context& ctx, Address from,
                                             const CallFailed& failed) {
  ActiveCall* active = FindActiveCall(from, failed.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  RecordVersionEnd(ctx, *active, true);
  RecordFailure(ctx, from);
  RecordAttempt(ctx, *active, from, NameOf(failed.reason));
  RetryOrAnswer(ctx, *active, failed.reason, Outcome::kUnknown, true);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> calls;
  for (const auto& [call, active] : active_) {
    if (active.admitting == peer) calls.push_back(call);
  }
  if (!calls.empty()) RecordFailure(ctx, peer);
  for (const uint64_t call : calls) {
    ActiveCall& active = active_.at(call);
    if (QueryOutcome(ctx, active)) continue;
    ReleasePeer(active);
    RecordAttempt(ctx, active, peer, NameOf(Errc::kConnectionLost));
    RetryOrAnswer(
        ctx, active, Errc::kConnectionLost,
        IsBodyIncomplete(active) ? Outcome::kNotRun : Outcome::kUnknown, true);
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleCallerLeft(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  counters_.Add(CallRouterCounter::kCallersLeft);
  ReleasePeer(it->second);
  if (it->second.admitting.IsSet()) {
    ctx.Send(it->second.admitting, CancelCall{call});
  }
  RaiseCallEnded(ctx, call, Outcome::kUnknown, true);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleDeadline(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  const ActiveCall& active = it->second;
  if (active.awaits_quota) {
    RefuseOverQuota(ctx, it->second, Duration::zero());
    return;
  }
  // The time so far is the least that the answer would have taken.
  if (active.admitting.IsSet()) RecordVersionEnd(ctx, active, false);
  backend_stats_.RecordAbandoned(active.admitting, active.route.name,
                                 ctx.Now() - active.sent_at, ctx.Now());
  GiveUp(ctx, it->second, Errc::kDeadlineExpired);
}

}  // namespace buckthorncart
