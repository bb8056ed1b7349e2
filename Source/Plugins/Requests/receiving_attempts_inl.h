#pragma once
/// \file
/// Definitions of `Receiving` about attempts: the choice of a backend server
/// and what follows when an attempt fails; include receiving.h.

#include <algorithm>
#include <utility>

#include "Plugins/Requests/call_failure.h"
#include "Plugins/Requests/receiving.h"

namespace buckthorncart {

/// Times that the outcome of one attempt is asked for.
inline constexpr uint32_t kMaxOutcomeQueries = 2;
/// Daemons that may refuse a call as busy before it waits at one of them.
inline constexpr size_t kMaxBusy = 3;
/// Share of its target latency that a call may wait in its own data centre
/// while others may have a slot free.
inline constexpr uint32_t kPatienceShare = 8;

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
  ctx.Shared().peer_last_used[chosen.daemon] = ctx.Now();
  counters_.Add(ReceivingCounter::kAttempts);
  const auto remaining = ToMilliseconds(active.deadline - ctx.Now());
  ctx.Send(
      chosen.daemon,
      Call{active.call, active.route.service, active.route.request_class,
           active.route.repeatable, active.idempotency_key,
           static_cast<uint32_t>(std::max<int64_t>(remaining, 0)),
           active.fingerprint, active.request, active.route.priority,
           MaxWaitMs(ctx, active), active.route.name, TargetMs(ctx, active)});
}

template <BackendChoice Choice, RequestRules Rules>
uint32_t Receiving<Choice, Rules>::TargetMs(Context& ctx,
                                            const Active& active) {
  if (active.route.target_latency_ms == 0) return ~0U;
  const Duration target =
      std::chrono::milliseconds(active.route.target_latency_ms);
  const Duration left = target - (ctx.Now() - active.arrived);
  return static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(left), 0));
}

template <BackendChoice Choice, RequestRules Rules>
uint32_t Receiving<Choice, Rules>::MaxWaitMs(Context& ctx,
                                             const Active& active) {
  if (ctx.Settings().choice != ChoicePolicy::kNearest) return ~0U;
  if (active.may_wait) return ~0U;
  // A wait that leaves the answer well within its target is better than the
  // way to another data centre.
  return active.busy.empty() ? active.route.target_latency_ms / kPatienceShare
                             : 0;
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::IsBusy(Context& ctx,
                                      const CallRefused& refused) {
  return ctx.Settings().choice == ChoicePolicy::kNearest &&
         refused.reason == Errc::kOverloaded && !refused.reached_backend;
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::HandleBusy(Context& ctx, Active& active,
                                          Address from,
                                          const CallRefused& refused) {
  loads_.NoteBusy(from, refused.load, ctx.Now());
  const Duration wait = std::chrono::milliseconds(refused.wait_ms);
  active.least_wait =
      active.busy.empty() ? wait : std::min(active.least_wait, wait);
  active.admitting = {};
  --active.attempts;
  active.tried.erase(from);
  active.busy.insert(from);
  if (std::exchange(active.may_wait, active.busy.size() >= kMaxBusy) ||
      ctx.Now() >= active.deadline) {
    AnswerFailure(ctx, active.call, refused.reason, Outcome::kNotRun);
    Finish(ctx, active.call);
    return;
  }
  std::vector<Candidate> candidates = Candidates(ctx, active);
  const bool all_busy = std::all_of(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return active.busy.contains(candidate.daemon);
      });
  active.may_wait = active.may_wait || all_busy;
  Attempt(ctx, active);
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
  if (!active.may_wait) {
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return active.busy.contains(candidate.daemon);
    });
  }
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
  Candidate candidate =
      loads_.Describe(member, active.route.name, slow_start, ctx.Now());
  candidate.suspect = member.status == MemberStatus::kSuspect;
  candidate.same_data_centre = member.data_centre == ctx.Settings().data_centre;
  candidates.push_back(candidate);
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
  const uint32_t limit = active.route.max_attempts > 0
                             ? active.route.max_attempts
                             : ctx.Settings().max_attempts;
  if (active.attempts >= limit) return false;
  if (ctx.Now() >= active.deadline) return false;
  std::vector<Candidate> candidates = Candidates(ctx, active);
  RemoveUnsuitable(ctx, active, candidates);
  if (candidates.empty()) return false;
  return !charged || !Rules::kBoundRetries ||
         retry_budgets_.Of(active.route.service)
             .Spend(active.route.request_class);
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

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::NotePeersInUse(Context& ctx) const {
  for (const auto& [call, active] : active_) {
    if (!active.admitting.IsSet()) continue;
    ctx.Shared().peer_last_used[active.admitting] = ctx.Now();
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool Receiving<Choice, Rules>::QueryOutcome(Context& ctx, Active& active) {
  if (active.route.repeatable || active.head_sent) return false;
  if (!active.route.named_by_key) return false;
  if (active.outcome_queries >= kMaxOutcomeQueries) return false;
  ++active.outcome_queries;
  ctx.Shared().peer_last_used[active.admitting] = ctx.Now();
  ctx.Send(active.admitting,
           OutcomeQuery{active.call, active.route.service,
                        active.idempotency_key, active.incarnation});
  return true;
}

template <BackendChoice Choice, RequestRules Rules>
void Receiving<Choice, Rules>::ReleasePeer(const Active& active) {
  loads_.NoteDone(active.admitting);
}

}  // namespace buckthorncart
