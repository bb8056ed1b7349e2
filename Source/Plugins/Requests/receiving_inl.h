#pragma once
/// \file
/// Definitions of `Receiving` about calls and their answers; include
/// receiving.h.

#include <utility>

#include "Plugins/Requests/call_failure.h"
#include "Plugins/Requests/call_plan.h"
#include "Plugins/Requests/receiving.h"
#include "Plugins/Requests/retry_after.h"

namespace buckthorncart {

/// Time after the deadline in which the word that a call has not run can
/// still come from where it waits.
inline constexpr Duration kAnswerGrace = 30ms;

template <BackendChoice Choice, RequestRules Rules>
Receiving<Choice, Rules>::Receiving(const KernelSettings& settings)
    : retry_budgets_(settings.retry_budget_percent, settings.retry_reserve) {}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddLabelled("calls_by_result_total", &results_);
  ctx.AllMetrics().AddHistogram("call_seconds", &times_);
  ctx.AllMetrics().AddGauge(
      "calls_active", [this] { return static_cast<double>(active_.size()); });
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::Handle(Context& ctx, const Event& event) {
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
      NotePeersInUse(ctx);
    }
  } else if (const auto* changed = std::get_if<MemberChanged>(&event)) {
    HandleMemberChanged(ctx, changed->address);
  } else if (std::holds_alternative<LocalBackendChanged>(event)) {
    loads_.NoteMember(ctx.Shared().self, ctx.Now());
  }
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleRequest(Context& ctx,
                                             const CallerRequested& requested) {
  counters_.Add(ReceivingCounter::kCalls);
  const uint64_t call = requested.call;
  const auto plan = ExamineCall(ctx, requested.request);
  if (!plan) {
    AnswerFailure(ctx, call, plan.error(), Outcome::kNotRun);
    return;
  }
  Active& active = active_[call];
  active.call = call;
  active.snapshot = plan->snapshot;
  active.route = plan->route;
  if (!plan->route.split.empty()) {
    active.route.service = split_picker_.Pick(plan->route);
  }
  retry_budgets_.Of(active.route.service).NoteCall();
  active.request = requested.request;
  SetCaller(ctx, active.request.headers);
  active.idempotency_key = plan->idempotency_key;
  active.fingerprint = plan->fingerprint;
  active.arrived = ctx.Now();
  active.deadline = ctx.Now() + plan->time;
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
  ctx.SetTimerIn(plan->time + kAnswerGrace, TimerKind::kCallDeadline, call);
  Attempt(ctx, active);
}

/// Tells the backend server who sends, whatever the sender has said of that.
template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::SetCaller(Context& ctx, Headers& headers) {
  std::erase_if(headers, [](const Header& header) {
    return header.name == header::kCallerService;
  });
  const std::string& caller = ctx.Settings().caller_service;
  if (caller.empty()) return;
  headers.push_back({std::string(header::kCallerService), caller});
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandlePeerMessage(
    Context& ctx, const PeerMessageReceived& received) {
  const PeerMessage& message = received.message;
  if (const auto* refused = std::get_if<CallRefused>(&message)) {
    HandleRefused(ctx, received.from, *refused);
  } else if (const auto* answer = std::get_if<CallAnswer>(&message)) {
    HandleAnswer(ctx, received.from, *answer);
  } else if (const auto* failed = std::get_if<CallFailed>(&message)) {
    HandleFailed(ctx, received.from, *failed);
  }
}

template <BackendChoice Choice, RequestRules Rules>
typename Receiving<Choice, Rules>::Active* Receiving<Choice, Rules>::FindFrom(
    Address from, uint64_t id) {
  const auto it = active_.find(id);
  if (it == active_.end() || it->second.admitting != from) return nullptr;
  return &it->second;
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleRefused(Context& ctx, Address from,
                                             const CallRefused& refused) {
  Active* active = FindFrom(from, refused.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  NoteTrail(ctx, *active, from, NameOf(refused.reason));
  if (IsBusy(ctx, refused)) {
    HandleBusy(ctx, *active, from, refused);
    return;
  }
  NoteRefusal(ctx, from, refused.reason);
  // A daemon that leaves is not asked again, so that retries elsewhere cannot
  // add up and need no budget.
  const bool leaves =
      refused.reason == Errc::kDraining || refused.reason == Errc::kNotReady;
  if (leaves) --active->attempts;
  RetryOrAnswer(ctx, *active, refused.reason, Outcome::kNotRun, !leaves);
}

/// Ends an answer that has begun, so that it cannot be taken as whole.
template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::BreakAnswer(Context& ctx, uint64_t call) {
  AnswerPart part;
  part.end = AnswerEnd::kBroken;
  ctx.Emit(AnswerCaller{call, std::move(part), true});
  CountOutcome(Outcome::kUnknown);
  RaiseEnded(ctx, call, Outcome::kUnknown);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleAnswer(Context& ctx, Address from,
                                            const CallAnswer& answer) {
  Active* active = FindFrom(from, answer.id);
  if (active == nullptr) return;
  // The first parts were lost with a connection; the whole answer follows.
  if (!active->head_sent && !answer.part.IsHead()) return;
  if (Rules::kCheckPartOrder && answer.sequence != 0) {
    if (answer.sequence <= active->parts) return;
    if (answer.sequence > active->parts + 1) {
      HandleMissingPart(ctx, *active, from);
      return;
    }
    active->parts = answer.sequence;
  }
  loads_.NoteLoad(from, answer.load, ctx.Now());
  if (RetryFailedAnswer(ctx, *active, from, answer.part)) return;
  AnswerPart part = answer.part;
  if (part.IsHead()) {
    part.headers.push_back(
        {std::string(header::kOutcome), std::string(NameOf(Outcome::kRan))});
    active->head_sent = true;
  }
  const AnswerEnd end = part.end;
  const uint16_t status = part.status;
  ctx.Emit(AnswerCaller{active->call, std::move(part), ctx.Shared().draining});
  if (end == AnswerEnd::kMore) return;
  ReleasePeer(*active);
  loads_.NoteTime(from, active->route.name, ctx.Now() - active->sent_at,
                  ctx.Now());
  CountOutcome(Outcome::kRan);
  NoteTrail(ctx, *active, from, "answered");
  NoteResult(ctx, *active, Outcome::kRan,
             end == AnswerEnd::kBroken ? "cut" : "answered", status);
  // A cut answer is of no use to its caller.
  RaiseEnded(ctx, active->call,
             end == AnswerEnd::kBroken ? Outcome::kUnknown : Outcome::kRan);
  Finish(ctx, active->call);
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::RetryFailedAnswer(Context& ctx, Active& active,
                                                 Address from,
                                                 const AnswerPart& part) {
  constexpr uint16_t kFirstServerError = 500;
  if (!part.IsHead()) return false;
  const bool failed = part.status >= kFirstServerError;
  loads_.NoteOutcome(from, failed, ctx.Now());
  const bool may_retry = failed && part.end == AnswerEnd::kComplete &&
                         active.route.repeatable && !active.head_sent &&
                         ctx.Settings().choice == ChoicePolicy::kNearest;
  if (!may_retry || !MayRetry(ctx, active, true)) return false;
  ReleasePeer(active);
  NoteTrail(ctx, active, from, std::to_string(part.status));
  counters_.Add(ReceivingCounter::kRetries);
  active.may_have_run = true;
  Attempt(ctx, active);
  return true;
}

template <BackendChoice Choice, RequestRules Rules>
Duration Receiving<Choice, Rules>::RetryAfterFor(Context& ctx,
                                                 const Active& active,
                                                 Errc reason) {
  constexpr uint32_t kSteps = 1'000;
  const Duration target =
      std::chrono::milliseconds(active.route.target_latency_ms);
  const Refusal refusal{reason, active.least_wait, target / 2,
                        active.deadline - ctx.Now()};
  return RetryAfter(refusal,
                    static_cast<double>(ctx.RandomBelow(kSteps)) / kSteps);
}

/// A part of the answer was lost on the way.
template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleMissingPart(Context& ctx, Active& active,
                                                 Address from) {
  counters_.Add(ReceivingCounter::kBrokenOrder);
  ReleasePeer(active);
  if (active.route.repeatable) ctx.Send(from, CancelCall{active.call});
  RetryOrAnswer(ctx, active, Errc::kConnectionLost, Outcome::kUnknown, true);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleFailed(Context& ctx, Address from,
                                            const CallFailed& failed) {
  Active* active = FindFrom(from, failed.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  NoteFailure(ctx, from);
  NoteTrail(ctx, *active, from, NameOf(failed.reason));
  RetryOrAnswer(ctx, *active, failed.reason, Outcome::kUnknown, true);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> calls;
  for (const auto& [call, active] : active_) {
    if (active.admitting == peer) calls.push_back(call);
  }
  if (!calls.empty()) NoteFailure(ctx, peer);
  for (const uint64_t call : calls) {
    Active& active = active_.at(call);
    if (QueryOutcome(ctx, active)) continue;
    ReleasePeer(active);
    NoteTrail(ctx, active, peer, NameOf(Errc::kConnectionLost));
    RetryOrAnswer(ctx, active, Errc::kConnectionLost, Outcome::kUnknown, true);
  }
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleCallerLeft(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  counters_.Add(ReceivingCounter::kCallersLeft);
  ReleasePeer(it->second);
  if (it->second.admitting.IsSet()) {
    ctx.Send(it->second.admitting, CancelCall{call});
  }
  RaiseEnded(ctx, call, Outcome::kUnknown, true);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleDeadline(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  Active& active = it->second;
  ReleasePeer(active);
  if (active.route.repeatable) ctx.Send(active.admitting, CancelCall{call});
  loads_.NoteGivenUp(active.admitting, active.route.name,
                     ctx.Now() - active.sent_at, ctx.Now());
  if (active.head_sent) {
    BreakAnswer(ctx, call);
    return;
  }
  NoteTrail(ctx, active, active.admitting, "no-answer");
  AnswerFailure(ctx, call, Errc::kDeadlineExpired, Outcome::kUnknown);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::AnswerFailure(Context& ctx, uint64_t call,
                                             Errc reason, Outcome outcome) {
  const auto it = active_.find(call);
  const bool may_have_run = it != active_.end() && it->second.may_have_run;
  if (Rules::kRememberAttempts && may_have_run) outcome = Outcome::kUnknown;
  CountOutcome(outcome);
  RaiseEnded(ctx, call, outcome);
  if (it != active_.end()) {
    NoteResult(ctx, it->second, outcome, NameOf(reason),
               CallStatusOf(reason, outcome));
  } else {
    results_.Add("route=\"\",outcome=\"" + std::string(NameOf(outcome)) +
                 "\",reason=\"" + std::string(NameOf(reason)) + "\"");
  }
  const bool may_return = it != active_.end() && outcome == Outcome::kNotRun &&
                          ctx.Settings().choice == ChoicePolicy::kNearest;
  const Duration retry_after =
      may_return ? RetryAfterFor(ctx, it->second, reason) : Duration::zero();
  ctx.Emit(AnswerCaller{call, MakeFailureAnswer(reason, outcome, retry_after),
                        ctx.Shared().draining});
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NoteTrail(Context& ctx, Active& active,
                                         Address daemon, std::string_view end) {
  const auto sent = ToMilliseconds(active.sent_at - active.arrived);
  const auto took = ToMilliseconds(ctx.Now() - active.sent_at);
  if (!active.trail.empty()) active.trail += ",";
  active.trail += daemon.ToString() + "@" + std::to_string(sent) + "+" +
                  std::to_string(took) + "ms:";
  active.trail += end;
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NoteResult(Context& ctx, const Active& active,
                                          Outcome outcome,
                                          std::string_view reason,
                                          uint16_t status) {
  constexpr uint16_t kFirstServerError = 500;
  const Duration time = ctx.Now() - active.arrived;
  times_.Observe(time);
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
       {"version", std::to_string(active.snapshot->version)},
       {"outcome", outcome_name},
       {"reason", std::string(reason)},
       {"status", std::to_string(status)},
       {"ms", std::to_string(ToMilliseconds(time))},
       {"left_ms", std::to_string(ToMilliseconds(active.deadline - ctx.Now()))},
       {"attempts", active.trail}});
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::CountOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      counters_.Add(ReceivingCounter::kAnsweredRan);
      break;
    case Outcome::kNotRun:
      counters_.Add(ReceivingCounter::kAnsweredNotRun);
      break;
    case Outcome::kUnknown:
      counters_.Add(ReceivingCounter::kAnsweredUnknown);
      break;
  }
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::RaiseEnded(Context& ctx, uint64_t call,
                                          Outcome outcome, bool caller_fault) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  const Active& active = it->second;
  const Duration latency = ctx.Now() - active.arrived;
  ctx.Raise(CallEnded{active.route.service, outcome,
                      static_cast<uint64_t>(latency.count()), caller_fault});
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::Finish(Context& ctx, uint64_t call) {
  active_.erase(call);
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
}

}  // namespace buckthorncart
