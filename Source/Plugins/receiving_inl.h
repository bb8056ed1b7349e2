#pragma once
/// \file
/// Definitions of `Receiving`; include receiving.h.

#include <algorithm>
#include <charconv>
#include <utility>

#include "Base/digest.h"
#include "Plugins/call_failure.h"
#include "Plugins/receiving.h"

namespace buckthorncart {

/// Longest deadline that a caller may give, milliseconds.
inline constexpr uint32_t kMaxDeadlineMs = 3'600'000;

template <BackendChoice Choice>
Receiving<Choice>::Receiving(const KernelSettings& settings)
    : retry_budget_(settings.retry_budget_percent) {}

template <BackendChoice Choice>
void Receiving<Choice>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddGauge(
      "calls_active", [this] { return static_cast<double>(active_.size()); });
}

template <BackendChoice Choice>
void Receiving<Choice>::Handle(Context& ctx, const Event& event) {
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
    }
  }
}

template <BackendChoice Choice>
void Receiving<Choice>::HandleRequest(Context& ctx,
                                      const CallerRequested& requested) {
  counters_.Add(ReceivingCounter::kCalls);
  retry_budget_.NoteCall();
  const uint64_t call = requested.call;
  const HttpRequest& request = requested.request;
  if (!ctx.Shared().ready) {
    AnswerFailure(ctx, call, Errc::kNotReady, Outcome::kNotRun);
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
  const Duration remaining = std::chrono::milliseconds(deadline_ms);
  Active& active = active_[call];
  active.call = call;
  active.snapshot = held;
  active.route = *route;
  active.request = request;
  active.idempotency_key = std::string(key);
  active.fingerprint =
      DigestOf(request.method + "\n" + request.path + "\n" + request.body);
  active.arrived = ctx.Now();
  active.deadline = ctx.Now() + remaining;
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
  ctx.SetTimerIn(remaining, TimerKind::kCallDeadline, call);
  Attempt(ctx, active);
}

template <BackendChoice Choice>
void Receiving<Choice>::Attempt(Context& ctx, Active& active) {
  const std::vector<Candidate> candidates = Candidates(ctx, active);
  if (candidates.empty()) {
    AnswerFailure(ctx, active.call, Errc::kNoBackendServer, Outcome::kNotRun);
    Finish(ctx, active.call);
    return;
  }
  const Candidate& chosen = candidates[choice_.Pick(ctx, candidates)];
  active.admitting = chosen.daemon;
  active.tried.insert(chosen.daemon);
  ++active.attempts;
  ++loads_[chosen.daemon].in_flight;
  counters_.Add(ReceivingCounter::kAttempts);
  const auto remaining = ToMilliseconds(active.deadline - ctx.Now());
  ctx.Send(chosen.daemon,
           Call{active.call, active.route.service, active.route.request_class,
                active.route.repeatable, active.idempotency_key,
                static_cast<uint32_t>(std::max<int64_t>(remaining, 0)),
                active.fingerprint, active.request});
}

template <BackendChoice Choice>
std::vector<Candidate> Receiving<Choice>::Candidates(
    Context& ctx, const Active& active) const {
  std::vector<Candidate> candidates;
  AddCandidate(ctx, active, ctx.Shared().self, candidates);
  for (const auto& [address, member] : ctx.Shared().members) {
    AddCandidate(ctx, active, member, candidates);
  }
  const auto ejected = [&](const Candidate& candidate) {
    const auto it = loads_.find(candidate.daemon);
    return it != loads_.end() && it->second.ejection.IsEjected(ctx.Now());
  };
  // A candidate that may fail is better than none.
  if (!std::all_of(candidates.begin(), candidates.end(), ejected)) {
    std::erase_if(candidates, ejected);
  }
  return candidates;
}

template <BackendChoice Choice>
void Receiving<Choice>::NoteFailure(Context& ctx, Address peer) {
  if (!loads_[peer].ejection.NoteFailure(ctx.Now())) return;
  counters_.Add(ReceivingCounter::kEjections);
  ctx.Log(LogTopic::kEjected, {{"daemon", peer.ToString()}});
}

template <BackendChoice Choice>
void Receiving<Choice>::AddCandidate(Context& ctx, const Active& active,
                                     const Member& member,
                                     std::vector<Candidate>& candidates) const {
  const BackendAnnouncement& backend = member.backend;
  if (backend.state != BackendState::kReady) return;
  if (backend.service != active.route.service) return;
  if (member.status != MemberStatus::kAlive) return;
  if (active.tried.contains(member.address)) return;
  if (!active.snapshot->configuration.Allows(
          backend.service, active.route.request_class, member.data_centre,
          backend.labels)) {
    return;
  }
  Candidate candidate;
  candidate.daemon = member.address;
  candidate.same_data_centre = member.data_centre == ctx.Settings().data_centre;
  candidate.slots = std::max(backend.slots, 1U);
  const auto it = loads_.find(member.address);
  if (it != loads_.end()) {
    candidate.in_flight = it->second.in_flight;
    candidate.load_per_mille = it->second.load_per_mille;
    candidate.load_age = ctx.Now() - it->second.at;
  }
  candidates.push_back(candidate);
}

template <BackendChoice Choice>
void Receiving<Choice>::HandlePeerMessage(Context& ctx,
                                          const PeerMessageReceived& received) {
  const PeerMessage& message = received.message;
  if (const auto* refused = std::get_if<CallRefused>(&message)) {
    HandleRefused(ctx, received.from, *refused);
  } else if (const auto* answer = std::get_if<CallAnswer>(&message)) {
    HandleAnswer(ctx, received.from, *answer);
  } else if (const auto* failed = std::get_if<CallFailed>(&message)) {
    HandleFailed(ctx, received.from, *failed);
  }
}

template <BackendChoice Choice>
typename Receiving<Choice>::Active* Receiving<Choice>::FindFrom(Address from,
                                                                uint64_t id) {
  const auto it = active_.find(id);
  if (it == active_.end() || it->second.admitting != from) return nullptr;
  return &it->second;
}

template <BackendChoice Choice>
void Receiving<Choice>::HandleRefused(Context& ctx, Address from,
                                      const CallRefused& refused) {
  Active* active = FindFrom(from, refused.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  if (refused.reason == Errc::kBackendServerFailed) NoteFailure(ctx, from);
  RetryOrAnswer(ctx, *active, refused.reason, Outcome::kNotRun);
}

template <BackendChoice Choice>
void Receiving<Choice>::RetryOrAnswer(Context& ctx, Active& active, Errc reason,
                                      Outcome outcome) {
  const bool may_run_again =
      outcome == Outcome::kNotRun || active.route.repeatable;
  const bool attempts_left = active.attempts < ctx.Settings().max_attempts &&
                             ctx.Now() < active.deadline;
  active.admitting = {};
  if (may_run_again && attempts_left && !Candidates(ctx, active).empty() &&
      retry_budget_.Spend()) {
    counters_.Add(ReceivingCounter::kRetries);
    Attempt(ctx, active);
    return;
  }
  AnswerFailure(ctx, active.call, reason, outcome);
  Finish(ctx, active.call);
}

template <BackendChoice Choice>
void Receiving<Choice>::HandleAnswer(Context& ctx, Address from,
                                     const CallAnswer& answer) {
  Active* active = FindFrom(from, answer.id);
  if (active == nullptr) return;
  PeerLoad& load = loads_[from];
  load.load_per_mille = answer.load;
  load.at = ctx.Now();
  load.ejection.NoteAnswer();
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
  CountOutcome(Outcome::kRan);
  // A cut answer is of no use to its caller.
  RaiseEnded(ctx, active->call,
             end == AnswerEnd::kBroken ? Outcome::kUnknown : Outcome::kRan);
  Finish(ctx, active->call);
}

template <BackendChoice Choice>
void Receiving<Choice>::HandleFailed(Context& ctx, Address from,
                                     const CallFailed& failed) {
  Active* active = FindFrom(from, failed.id);
  if (active == nullptr) return;
  ReleasePeer(*active);
  NoteFailure(ctx, from);
  RetryOrAnswer(ctx, *active, failed.reason, Outcome::kUnknown);
}

template <BackendChoice Choice>
void Receiving<Choice>::HandlePeerLost(Context& ctx, Address peer) {
  std::vector<uint64_t> calls;
  for (const auto& [call, active] : active_) {
    if (active.admitting == peer) calls.push_back(call);
  }
  if (!calls.empty()) NoteFailure(ctx, peer);
  for (const uint64_t call : calls) {
    Active& active = active_.at(call);
    ReleasePeer(active);
    if (!active.head_sent) {
      RetryOrAnswer(ctx, active, Errc::kConnectionLost, Outcome::kUnknown);
      continue;
    }
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    ctx.Emit(AnswerCaller{call, std::move(part), true});
    CountOutcome(Outcome::kUnknown);
    RaiseEnded(ctx, call, Outcome::kUnknown);
    Finish(ctx, call);
  }
}

template <BackendChoice Choice>
void Receiving<Choice>::HandleCallerLeft(Context& ctx, uint64_t call) {
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

template <BackendChoice Choice>
void Receiving<Choice>::HandleDeadline(Context& ctx, uint64_t call) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  Active& active = it->second;
  ReleasePeer(active);
  if (active.route.repeatable) ctx.Send(active.admitting, CancelCall{call});
  if (active.head_sent) {
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    ctx.Emit(AnswerCaller{call, std::move(part), true});
    CountOutcome(Outcome::kUnknown);
    RaiseEnded(ctx, call, Outcome::kUnknown);
  } else {
    AnswerFailure(ctx, call, Errc::kDeadlineExpired, Outcome::kUnknown);
  }
  Finish(ctx, call);
}

template <BackendChoice Choice>
void Receiving<Choice>::ReleasePeer(const Active& active) {
  const auto it = loads_.find(active.admitting);
  if (it != loads_.end() && it->second.in_flight > 0) --it->second.in_flight;
}

template <BackendChoice Choice>
void Receiving<Choice>::AnswerFailure(Context& ctx, uint64_t call, Errc reason,
                                      Outcome outcome) {
  CountOutcome(outcome);
  RaiseEnded(ctx, call, outcome);
  ctx.Emit(AnswerCaller{call, MakeFailureAnswer(reason, outcome),
                        ctx.Shared().draining});
}

template <BackendChoice Choice>
void Receiving<Choice>::CountOutcome(Outcome outcome) {
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

template <BackendChoice Choice>
void Receiving<Choice>::RaiseEnded(Context& ctx, uint64_t call, Outcome outcome,
                                   bool caller_fault) {
  const auto it = active_.find(call);
  if (it == active_.end()) return;
  const Active& active = it->second;
  const Duration latency = ctx.Now() - active.arrived;
  ctx.Raise(CallEnded{active.route.service, outcome,
                      static_cast<uint64_t>(latency.count()), caller_fault});
}

template <BackendChoice Choice>
void Receiving<Choice>::Finish(Context& ctx, uint64_t call) {
  active_.erase(call);
  ctx.Shared().active_calls = static_cast<uint32_t>(active_.size());
}

}  // namespace buckthorncart
