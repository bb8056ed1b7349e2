#pragma once
/// \file
/// Definitions of `Receiving`; include receiving.h.

#include <algorithm>
#include <charconv>
#include <utility>

#include "Base/digest.h"
#include "Kernel/crash_register.h"
#include "Plugins/call_failure.h"
#include "Plugins/claim_row.h"
#include "Plugins/receiving.h"

namespace buckthorncart {

/// Longest deadline that a caller may give, milliseconds.
inline constexpr uint32_t kMaxDeadlineMs = 3'600'000;
/// Times that the outcome of one attempt is asked for.
inline constexpr uint32_t kMaxOutcomeQueries = 2;

template <BackendChoice Choice, RequestRules Rules>
Receiving<Choice, Rules>::Receiving(const KernelSettings& settings)
    : retry_budget_(settings.retry_budget_percent) {}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
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
  } else if (const auto* left = std::get_if<CallerLeft>(&event)) {
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
  retry_budget_.NoteCall();
  const uint64_t call = requested.call;
  const HttpRequest& request = requested.request;
  if (!ctx.Shared().ready) {
    AnswerFailure(ctx, call, Errc::kNotReady, Outcome::kNotRun);
    return;
  }
  if (ctx.Shared().refusing_callers) {
    AnswerFailure(ctx, call, Errc::kDraining, Outcome::kNotRun);
    return;
  }
  const SnapshotPtr& held = ctx.Shared().held;
  const Route* route = held->configuration.FindRoute(request.path);
  if (route == nullptr) {
    AnswerFailure(ctx, call, Errc::kUnknownRoute, Outcome::kNotRun);
    return;
  }
  const std::string_view key =
      FindHeader(request.headers, header::kIdempotencyKey);
  if (!route->repeatable && key.empty()) {
    AnswerFailure(ctx, call, Errc::kMissingIdempotencyKey, Outcome::kNotRun);
    return;
  }
  if (!key.empty() && !IsIdempotencyKey(key)) {
    AnswerFailure(ctx, call, Errc::kInvalidIdempotencyKey, Outcome::kNotRun);
    return;
  }
  uint32_t deadline_ms = route->timeout_ms;
  const std::string_view text = FindHeader(request.headers, header::kDeadline);
  if (!text.empty()) {
    const char* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, deadline_ms);
    if (ec != std::errc() || stop != end || deadline_ms > kMaxDeadlineMs) {
      AnswerFailure(ctx, call, Errc::kInvalidDeadline, Outcome::kNotRun);
      return;
    }
  }
  if (deadline_ms == 0) {
    AnswerFailure(ctx, call, Errc::kDeadlineExpired, Outcome::kNotRun);
    return;
  }
  const uint64_t fingerprint =
      DigestOf(request.method + "\n" + request.path + "\n" + request.body);
  if (ctx.Shared().crashes->Refuses(ctx.Now(), fingerprint)) {
    AnswerFailure(ctx, call, Errc::kCrashGuard, Outcome::kNotRun);
    return;
  }
  const Duration remaining = std::chrono::milliseconds(deadline_ms);
  Active& active = active_[call];
  active.call = call;
  active.snapshot = held;
  active.route = *route;
  active.request = request;
  active.idempotency_key = std::string(key);
  active.fingerprint = fingerprint;
  active.arrived = ctx.Now();
  active.deadline = ctx.Now() + remaining;
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
  ctx.SetTimerIn(remaining, TimerKind::kCallDeadline, call);
  Attempt(ctx, active);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleMemberChanged(Context& ctx,
                                                   Address address) {
  const auto it = ctx.Shared().members.find(address);
  if (it != ctx.Shared().members.end()) {
    loads_.NoteMember(it->second, ctx.Now());
  }
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::Attempt(Context& ctx, Active& active) {
  std::vector<Candidate> candidates = Candidates(ctx, active);
  const bool none = candidates.empty();
  RemoveUnsuitable(ctx, active, candidates);
  if (candidates.empty()) {
    if (!none) counters_.Add(ReceivingCounter::kTooLate);
    AnswerFailure(ctx, active.call,
                  none ? Errc::kNoBackendServer : Errc::kDeadlineExpired,
                  Outcome::kNotRun);
    Finish(ctx, active.call);
    return;
  }
  const Candidate& chosen = candidates[choice_.Pick(ctx, candidates)];
  active.admitting = chosen.daemon;
  active.tried.insert(chosen.daemon);
  active.sent_at = ctx.Now();
  active.parts = 0;
  ++active.attempts;
  loads_.NoteSent(chosen.daemon);
  active.outcome_queries = 0;
  const auto member = ctx.Shared().members.find(chosen.daemon);
  if (member != ctx.Shared().members.end()) {
    active.incarnation = member->second.incarnation;
  }
  ctx.Shared().peers_used[chosen.daemon] = ctx.Now();
  counters_.Add(ReceivingCounter::kAttempts);
  const auto remaining = ToMilliseconds(active.deadline - ctx.Now());
  ctx.Send(chosen.daemon,
           Call{active.call, active.route.service, active.route.request_class,
                active.route.repeatable, active.idempotency_key,
                static_cast<uint32_t>(std::max<int64_t>(remaining, 0)),
                active.fingerprint, active.request});
}

template <BackendChoice Choice, RequestRules Rules>
std::vector<Candidate> Receiving<Choice, Rules>::Candidates(
    Context& ctx, const Active& active) const {
  std::vector<Candidate> candidates;
  AddCandidate(ctx, active, ctx.Shared().self, candidates);
  for (const auto& [address, member] : ctx.Shared().members) {
    AddCandidate(ctx, active, member, candidates);
  }
  return candidates;
}

/// Leaves out those that would answer too late, and those that fail.
template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::RemoveUnsuitable(
    Context& ctx, const Active& active,
    std::vector<Candidate>& candidates) const {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return !HasTime(ctx, active, candidate);
  });
  const auto ejected = [&](const Candidate& candidate) {
    return candidate.suspect || loads_.IsEjected(candidate.daemon, ctx.Now());
  };
  // A candidate that may fail is better than none.
  if (!std::all_of(candidates.begin(), candidates.end(), ejected)) {
    std::erase_if(candidates, ejected);
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::HasTime(Context& ctx, const Active& active,
                                       const Candidate& candidate) const {
  if (!Rules::kCheckServiceTime) return true;
  const Duration remaining = active.deadline - ctx.Now();
  return remaining >= std::max<Duration>(candidate.expected_time, 1ms);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NoteFailure(Context& ctx, Address peer) {
  if (!loads_.NoteFailure(peer, ctx.Now())) return;
  counters_.Add(ReceivingCounter::kEjections);
  ctx.Log(LogTopic::kEjected, {{"daemon", peer.ToString()}});
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::AddCandidate(
    Context& ctx, const Active& active, const Member& member,
    std::vector<Candidate>& candidates) const {
  const BackendAnnouncement& backend = member.backend;
  if (backend.state != BackendState::kReady) return;
  if (backend.service != active.route.service) return;
  if (member.status > MemberStatus::kSuspect) return;
  if (active.tried.contains(member.address)) return;
  if (loads_.IsDropped(member, ctx.Now())) return;
  if (!active.snapshot->configuration.Allows(
          backend.service, active.route.request_class, member.data_centre,
          backend.labels)) {
    return;
  }
  const Duration slow_start =
      std::chrono::milliseconds(ctx.Settings().slow_start_ms);
  Candidate candidate = loads_.Describe(member, active.route.request_class,
                                        slow_start, ctx.Now());
  candidate.suspect = member.status == MemberStatus::kSuspect;
  candidate.same_data_centre = member.data_centre == ctx.Settings().data_centre;
  candidates.push_back(candidate);
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
  NoteRefusal(ctx, from, refused.reason);
  // A daemon that leaves is not asked again, so that retries elsewhere cannot
  // add up and need no budget.
  const bool leaves =
      refused.reason == Errc::kDraining || refused.reason == Errc::kNotReady;
  if (leaves) --active->attempts;
  RetryOrAnswer(ctx, *active, refused.reason, Outcome::kNotRun, !leaves);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NoteRefusal(Context& ctx, Address from,
                                           Errc reason) {
  switch (reason) {
    case Errc::kBackendServerFailed:
      NoteFailure(ctx, from);
      break;
    case Errc::kOverloaded:
      loads_.NoteOverloaded(from, ctx.Now());
      break;
    case Errc::kDraining:
    case Errc::kNotReady:
    case Errc::kNoBackendServer: {
      const auto it = ctx.Shared().members.find(from);
      const bool known = it != ctx.Shared().members.end();
      if (known) loads_.NoteUnavailable(it->second, ctx.Now());
      break;
    }
    default:
      break;
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::MayRetry(Context& ctx, const Active& active,
                                        bool charged) {
  if (active.attempts >= ctx.Settings().max_attempts) return false;
  if (ctx.Now() >= active.deadline) return false;
  std::vector<Candidate> candidates = Candidates(ctx, active);
  RemoveUnsuitable(ctx, active, candidates);
  if (candidates.empty()) return false;
  return !charged || !Rules::kBoundRetries ||
         retry_budget_.Spend(active.route.request_class);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::RetryOrAnswer(Context& ctx, Active& active,
                                             Errc reason, Outcome outcome,
                                             bool charged) {
  active.admitting = {};
  if (active.head_sent) {
    BreakAnswer(ctx, active.call);
    return;
  }
  if (outcome != Outcome::kNotRun) active.may_have_run = true;
  const bool may_run_again =
      (outcome == Outcome::kNotRun || active.route.repeatable) &&
      !IsFinalRefusal(reason);
  if (may_run_again && MayRetry(ctx, active, charged)) {
    counters_.Add(ReceivingCounter::kRetries);
    Attempt(ctx, active);
    return;
  }
  AnswerFailure(ctx, active.call, reason, outcome);
  Finish(ctx, active.call);
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
  AnswerPart part = answer.part;
  if (part.IsHead()) {
    part.headers.push_back(
        {std::string(header::kOutcome), std::string(NameOf(Outcome::kRan))});
    active->head_sent = true;
  }
  const AnswerEnd end = part.end;
  ctx.Emit(AnswerCaller{active->call, std::move(part), ctx.Shared().draining});
  if (end == AnswerEnd::kMore) return;
  ReleasePeer(*active);
  loads_.NoteTime(from, active->route.request_class,
                  ctx.Now() - active->sent_at, ctx.Now());
  CountOutcome(Outcome::kRan);
  // A cut answer is of no use to its caller.
  RaiseEnded(ctx, active->call,
             end == AnswerEnd::kBroken ? Outcome::kUnknown : Outcome::kRan);
  Finish(ctx, active->call);
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
    RetryOrAnswer(ctx, active, Errc::kConnectionLost, Outcome::kUnknown, true);
  }
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NotePeersInUse(Context& ctx) const {
  for (const auto& [call, active] : active_) {
    if (!active.admitting.IsSet()) continue;
    ctx.Shared().peers_used[active.admitting] = ctx.Now();
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::QueryOutcome(Context& ctx, Active& active) {
  if (active.route.repeatable || active.head_sent) return false;
  if (active.outcome_queries >= kMaxOutcomeQueries) return false;
  ++active.outcome_queries;
  ctx.Shared().peers_used[active.admitting] = ctx.Now();
  ctx.Send(active.admitting,
           OutcomeQuery{active.call, active.route.service,
                        active.idempotency_key, active.incarnation});
  return true;
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleCallerLeft(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  counters_.Add(ReceivingCounter::kCallersLeft);
  ReleasePeer(it->second);
  // An unrepeatable request that has been sent runs to its end, so that its
  // outcome can be recorded.
  if (it->second.route.repeatable) {
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
  loads_.NoteGivenUp(active.admitting, active.route.request_class,
                     ctx.Now() - active.sent_at, ctx.Now());
  if (active.head_sent) {
    BreakAnswer(ctx, call);
    return;
  }
  AnswerFailure(ctx, call, Errc::kDeadlineExpired, Outcome::kUnknown);
  Finish(ctx, call);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::ReleasePeer(const Active& active) {
  loads_.NoteDone(active.admitting);
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::AnswerFailure(Context& ctx, uint64_t call,
                                             Errc reason, Outcome outcome) {
  const auto it = active_.find(call);
  const bool may_have_run = it != active_.end() && it->second.may_have_run;
  if (Rules::kRememberAttempts && may_have_run) outcome = Outcome::kUnknown;
  CountOutcome(outcome);
  RaiseEnded(ctx, call, outcome);
  ctx.Emit(AnswerCaller{call, MakeFailureAnswer(reason, outcome),
                        ctx.Shared().draining});
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
