#pragma once
/// \file
/// Definitions of `CallRouter` that end calls: final answers, logs and
/// counters. Include call_router.h instead.

#include <string>
#include <utility>
#include <vector>

#include "Plugins/Requests/call_failure.h"
#include "Plugins/Requests/call_router.h"
#include "Plugins/Requests/retry_after.h"

namespace buckthorncart {

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::GiveUp(Context& ctx, ActiveCall& active,
                                       Errc reason) {
  const uint64_t call = active.call;
  if (active.awaits_quota) {
    RefuseOverQuota(ctx, active, Duration::zero());
    return;
  }
  ReleasePeer(active);
  const bool not_run = IsBodyIncomplete(active);
  if (active.route.repeatable || not_run)
    ctx.Send(active.admitting, CancelCall{call});
  if (active.head_sent) {
    AbortAnswer(ctx, call);
    return;
  }
  RecordAttempt(ctx, active, active.admitting, "no-answer");
  AnswerFailure(ctx, call, reason,
                not_run ? Outcome::kNotRun : Outcome::kUnknown);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::GiveUpAll(Context& ctx) {
  std::vector<uint64_t> calls;
  for (const auto& [call, active] : active_) calls.push_back(call);
  for (const uint64_t call : calls) {
    GiveUp(ctx, active_.at(call), Errc::kDraining);
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::AnswerFailure(Context& ctx, uint64_t call,
                                              Errc reason, Outcome outcome) {
  const auto it = active_.find(call);
  const bool may_have_run = it != active_.end() && it->second.may_have_run;
  if (Rules::kTrackPossibleRuns && may_have_run) outcome = Outcome::kUnknown;
  CountOutcome(outcome);
  SettleQuota(ctx, call, outcome != Outcome::kNotRun);
  RaiseCallEnded(ctx, call, outcome);
  if (it != active_.end()) {
    RecordResult(ctx, it->second, outcome, NameOf(reason),
                 HttpStatusOf(reason, outcome));
  } else {
    results_.Add("route=\"\",outcome=\"" + std::string(NameOf(outcome)) +
                 "\",reason=\"" + std::string(NameOf(reason)) + "\"");
  }
  const bool names_retry_time = reason == Errc::kQuotaExceeded ||
                                ctx.Settings().choice == ChoicePolicy::kNearest;
  const bool may_retry_later =
      it != active_.end() && outcome == Outcome::kNotRun && names_retry_time;
  const Duration retry_after = may_retry_later
                                   ? RetryAfterFor(ctx, it->second, reason)
                                   : Duration::zero();
  ctx.Emit(AnswerCaller{call, MakeFailureAnswer(reason, outcome, retry_after),
                        ctx.Shared().draining});
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordAttempt(Context& ctx, ActiveCall& active,
                                              Address daemon,
                                              std::string_view end) {
  const auto sent = ToMilliseconds(active.sent_at - active.arrived_at);
  const auto took = ToMilliseconds(ctx.Now() - active.sent_at);
  if (!active.attempt_log.empty()) active.attempt_log += ",";
  active.attempt_log += daemon.ToString() + "@" + std::to_string(sent) + "+" +
                        std::to_string(took) + "ms:";
  active.attempt_log += end;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordResult(Context& ctx,
                                             const ActiveCall& active,
                                             Outcome outcome,
                                             std::string_view reason,
                                             uint16_t status) {
  constexpr uint16_t kFirstServerError = 500;
  const Duration time = ctx.Now() - active.arrived_at;
  call_times_.Observe(time);
  const std::string outcome_name(NameOf(outcome));
  results_.Add("route=\"" + active.route.name + "\",outcome=\"" + outcome_name +
               "\",reason=\"" + std::string(reason) + "\"");
  const bool served = outcome == Outcome::kRan && status < kFirstServerError;
  ctx.Log(
      served ? LogTopic::kCallServed : LogTopic::kCallFailed,
      {{"id",
        std::string(FindHeader(active.request.headers, header::kRequestId))},
       {"route", active.route.name},
       {"service", active.route.service},
       {"workspace", active.workspace != nullptr ? active.workspace->name : ""},
       {"version", std::to_string(active.snapshot->version)},
       {"outcome", outcome_name},
       {"reason", std::string(reason)},
       {"status", std::to_string(status)},
       {"ms", std::to_string(ToMilliseconds(time))},
       {"left_ms", std::to_string(ToMilliseconds(active.deadline - ctx.Now()))},
       {"attempts", active.attempt_log}});
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::CountOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      counters_.Add(CallRouterCounter::kAnsweredRan);
      break;
    case Outcome::kNotRun:
      counters_.Add(CallRouterCounter::kAnsweredNotRun);
      break;
    case Outcome::kUnknown:
      counters_.Add(CallRouterCounter::kAnsweredUnknown);
      break;
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RaiseCallEnded(Context& ctx, uint64_t call,
                                               Outcome outcome,
                                               bool ended_by_caller) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  const ActiveCall& active = it->second;
  const Duration latency = ctx.Now() - active.arrived_at;
  ctx.Raise(CallEnded{active.route.service, outcome,
                      static_cast<uint64_t>(latency.count()), ended_by_caller});
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::Finish(Context& ctx, uint64_t call) {
  SettleQuota(ctx, call, true);
  active_.erase(call);
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
}

/// Breaks off an answer whose head has been sent. The caller cannot mistake it
/// for a complete answer.
template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::AbortAnswer(Context& ctx, uint64_t call) {
  AnswerPart part;
  part.end = AnswerEnd::kBroken;
  ctx.Emit(AnswerCaller{call, std::move(part), true});
  CountOutcome(Outcome::kUnknown);
  RaiseCallEnded(ctx, call, Outcome::kUnknown);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
Duration CallRouter<Choice, Rules>::RetryAfterFor(Context& ctx,
                                                  const ActiveCall& active,
                                                  Errc reason) {
  constexpr uint32_t kSteps = 1'000;
  if (reason == Errc::kQuotaExceeded) return active.quota_retry_after;
  const Duration target =
      std::chrono::milliseconds(active.route.target_latency_ms);
  const Refusal refusal{reason, active.min_wait, target / 2,
                        active.deadline - ctx.Now()};
  return RetryAfter(refusal,
                    static_cast<double>(ctx.RandomBelow(kSteps)) / kSteps);
}

}  // namespace buckthorncart
