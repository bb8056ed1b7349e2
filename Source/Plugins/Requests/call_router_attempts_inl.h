#pragma once
/// \file
/// Definitions of `CallRouter` that handle attempts: the choice of a backend
/// server and the handling of failures. Include call_router.h instead.

#include <algorithm>
#include <utility>

#include "Plugins/Requests/call_failure.h"
#include "Plugins/Requests/call_router.h"
#include "Plugins/Rollouts/version_gate.h"

namespace buckthorncart {

/// Maximum number of queries for the outcome of one attempt.
inline constexpr uint32_t kMaxOutcomeQueries = 2;
/// Number of refusals as busy after which a call may queue at the next daemon.
inline constexpr size_t kMaxBusyRefusals = 3;
/// A call may queue in the local data centre for its target latency divided by
/// this, while other data centres may have a free slot.
inline constexpr uint32_t kLocalWaitDivisor = 8;
/// The same for a call whose body is withheld; another data centre would get
/// the large body over shared links.
inline constexpr uint32_t kLocalLinkWaitDivisor = 4;
/// Load of a backend server without a free slot; a refusal with a lower load is
/// for lack of bandwidth.
inline constexpr uint32_t kFullLoadPerMille = 1'000;

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleMemberChanged(Context& ctx,
                                                    Address address) {
  const auto it = ctx.Shared().members.find(address);
  if (it != ctx.Shared().members.end()) {
    backend_stats_.UpdateMember(it->second, ctx.Now());
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::Attempt(Context& ctx, ActiveCall& active) {
  std::vector<Candidate> candidates = FindCandidates(ctx, active);
  const bool no_candidates = candidates.empty();
  RemoveUnsuitable(ctx, active, candidates);
  if (candidates.empty()) {
    if (!no_candidates) counters_.Add(CallRouterCounter::kTooLate);
    AnswerFailure(
        ctx, active.call,
        no_candidates ? Errc::kNoBackendServer : Errc::kDeadlineExpired,
        Outcome::kNotRun);
    Finish(ctx, active.call);
    return;
  }
  PreferStaged(candidates);
  const Candidate& chosen = candidates[choice_.Pick(ctx, candidates)];
  active.admitting = chosen.daemon;
  active.tried.insert(chosen.daemon);
  active.sent_at = ctx.Now();
  active.parts_received = 0;
  ++active.attempts;
  backend_stats_.RecordSent(chosen.daemon);
  RecordVersionSent(ctx, active);
  active.outcome_queries = 0;
  const auto member = ctx.Shared().members.find(chosen.daemon);
  active.withheld_bytes = 0;
  active.body_bytes_sent = 0;
  if (member != ctx.Shared().members.end()) {
    active.incarnation = member->second.incarnation;
    active.withheld_bytes = BytesToWithhold(ctx, active, member->second);
  }
  ctx.Shared().peer_last_used[chosen.daemon] = ctx.Now();
  counters_.Add(CallRouterCounter::kAttempts);
  ctx.Send(chosen.daemon, MakeCall(ctx, active));
}

template <BackendChoice Choice, RequestRules Rules>
Call CallRouter<Choice, Rules>::MakeCall(Context& ctx,
                                         const ActiveCall& active) const {
  const auto remaining = ToMilliseconds(active.deadline - ctx.Now());
  Call call;
  call.id = active.call;
  call.service = active.route.service;
  call.request_class = active.route.request_class;
  call.repeatable = active.route.repeatable;
  call.idempotency_key = active.idempotency_key;
  call.remaining_ms = static_cast<uint32_t>(std::max<int64_t>(remaining, 0));
  call.fingerprint = active.fingerprint;
  call.request.method = active.request.method;
  call.request.path = active.request.path;
  call.request.headers = active.request.headers;
  call.withheld_bytes = active.withheld_bytes;
  if (call.withheld_bytes == 0) call.request.body = active.request.body;
  call.priority = active.route.priority;
  call.max_wait_ms = MaxWaitMs(ctx, active);
  call.route = active.route.name;
  call.target_ms = RemainingTargetMs(ctx, active);
  if (active.workspace != nullptr) call.workspace = active.workspace->name;
  call.sent_us = static_cast<uint64_t>(ctx.Now().count());
  call.is_retry = active.attempts > 1;
  if (ctx.Settings().slot_policy == SlotPolicy::kLearned) {
    call.typical_ms = static_cast<uint32_t>(
        ToMilliseconds(backend_stats_.TypicalTimeOf(active.route.name)));
  }
  return call;
}

template <BackendChoice Choice, RequestRules Rules>
uint32_t CallRouter<Choice, Rules>::RemainingTargetMs(
    Context& ctx, const ActiveCall& active) {
  if (active.route.target_latency_ms == 0) return ~0U;
  const Duration target =
      std::chrono::milliseconds(active.route.target_latency_ms);
  const Duration remaining = target - (ctx.Now() - active.arrived_at);
  return static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(remaining), 0));
}

template <BackendChoice Choice, RequestRules Rules>
uint32_t CallRouter<Choice, Rules>::MaxWaitMs(Context& ctx,
                                              const ActiveCall& active) {
  if (ctx.Settings().choice != ChoicePolicy::kNearest) return ~0U;
  if (active.may_wait) return ~0U;
  // A wait that leaves enough of the target latency costs less than the link to
  // another data centre.
  if (!active.busy_daemons.empty()) return 0;
  const uint32_t divisor =
      active.withheld_bytes > 0 ? kLocalLinkWaitDivisor : kLocalWaitDivisor;
  return active.route.target_latency_ms / divisor;
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::IsBusy(Context& ctx,
                                       const CallRefused& refused) {
  return ctx.Settings().choice == ChoicePolicy::kNearest &&
         refused.reason == Errc::kOverloaded && !refused.refused_by_backend;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::HandleBusy(Context& ctx, ActiveCall& active,
                                           Address from,
                                           const CallRefused& refused) {
  const Duration link_wait = std::chrono::milliseconds(refused.link_wait_ms);
  backend_stats_.RecordLinkWait(from, link_wait, ctx.Now());
  if (link_wait == Duration::zero() || refused.load >= kFullLoadPerMille)
    backend_stats_.RecordBusy(from, refused.load, ctx.Now());
  const Duration wait = std::chrono::milliseconds(refused.wait_ms);
  active.min_wait =
      active.busy_daemons.empty() ? wait : std::min(active.min_wait, wait);
  active.admitting = {};
  --active.attempts;
  active.tried.erase(from);
  active.busy_daemons.insert(from);
  if (std::exchange(active.may_wait,
                    active.busy_daemons.size() >= kMaxBusyRefusals) ||
      ctx.Now() >= active.deadline) {
    AnswerFailure(ctx, active.call, refused.reason, Outcome::kNotRun);
    Finish(ctx, active.call);
    return;
  }
  std::vector<Candidate> candidates = FindCandidates(ctx, active);
  const bool all_busy = std::all_of(
      candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return active.busy_daemons.contains(candidate.daemon);
      });
  active.may_wait = active.may_wait || all_busy;
  Attempt(ctx, active);
}

template <BackendChoice Choice, RequestRules Rules>
std::vector<Candidate> CallRouter<Choice, Rules>::FindCandidates(
    Context& ctx, const ActiveCall& active) const {
  std::vector<Candidate> candidates;
  AddCandidate(ctx, active, ctx.Shared().self, candidates);
  for (const auto& [address, member] : ctx.Shared().members) {
    AddCandidate(ctx, active, member, candidates);
  }
  return candidates;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RemoveUnsuitable(
    Context& ctx, const ActiveCall& active,
    std::vector<Candidate>& candidates) const {
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return !HasTime(ctx, active, candidate);
  });
  if (!active.may_wait) {
    std::erase_if(candidates, [&](const Candidate& candidate) {
      return active.busy_daemons.contains(candidate.daemon);
    });
  }
  const auto ejected = [&](const Candidate& candidate) {
    return candidate.suspect ||
           backend_stats_.IsEjected(candidate.daemon, ctx.Now());
  };
  // If all candidates are ejected, they are kept: one of them may still answer.
  if (!std::all_of(candidates.begin(), candidates.end(), ejected)) {
    std::erase_if(candidates, ejected);
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::HasTime(Context& ctx, const ActiveCall& active,
                                        const Candidate& candidate) const {
  if (!Rules::kCheckServiceTime) return true;
  const Duration remaining = active.deadline - ctx.Now();
  return remaining >= std::max<Duration>(candidate.expected_time, 1ms);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordFailure(Context& ctx, Address peer) {
  if (!backend_stats_.RecordFailure(peer, ctx.Now())) return;
  counters_.Add(CallRouterCounter::kEjections);
  ctx.Log(LogTopic::kEjected, {{"daemon", peer.ToString()}});
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::AddCandidate(
    Context& ctx, const ActiveCall& active, const Member& member,
    std::vector<Candidate>& candidates) const {
  const BackendAnnouncement& backend = member.backend;
  if (backend.state != BackendState::kReady) return;
  if (backend.service != active.route.service) return;
  if (member.status > MemberStatus::kSuspect) return;
  const VersionGate* gate = ctx.Shared().version_gate;
  if (gate != nullptr && !gate->MaySend(backend.service, backend.version))
    return;
  if (active.tried.contains(member.address)) return;
  if (backend_stats_.IsExcluded(member, ctx.Now())) return;
  if (!active.snapshot->configuration.Allows(
          backend.service, active.route.request_class, member.data_centre,
          backend.labels)) {
    return;
  }
  const Duration slow_start =
      std::chrono::milliseconds(ctx.Settings().slow_start_ms);
  Candidate candidate = backend_stats_.MakeCandidate(member, active.route.name,
                                                     slow_start, ctx.Now());
  candidate.suspect = member.status == MemberStatus::kSuspect;
  candidate.same_data_centre = member.data_centre == ctx.Settings().data_centre;
  candidate.staged =
      gate != nullptr && gate->IsStaged(backend.service, backend.version);
  AddBodyTime(ctx, active, member, candidate);
  candidates.push_back(candidate);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RecordRefusal(Context& ctx, Address from,
                                              Errc reason) {
  switch (reason) {
    case Errc::kBackendServerFailed:
      RecordFailure(ctx, from);
      break;
    case Errc::kOverloaded:
      // The daemon admits no more than the announced slots, so the backend
      // server has refused for another reason than its load.
      if (ctx.Settings().choice == ChoicePolicy::kNearest) {
        backend_stats_.RecordOutcome(from, true, ctx.Now());
      } else {
        backend_stats_.RecordOverloaded(from, ctx.Now());
      }
      break;
    case Errc::kDraining:
    case Errc::kNotReady:
    case Errc::kNoBackendServer: {
      const auto it = ctx.Shared().members.find(from);
      const bool known = it != ctx.Shared().members.end();
      // A roll-out decides which versions take calls, and a rollback lets those
      // that have refused some take them again at once.
      const bool may_return = reason == Errc::kNotReady && known &&
                              IsInRollout(ctx, it->second.backend);
      if (may_return) break;
      if (known) backend_stats_.RecordUnavailable(it->second, ctx.Now());
      break;
    }
    default:
      break;
  }
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::MayRetry(Context& ctx, const ActiveCall& active,
                                         bool use_budget, bool may_have_run) {
  const uint32_t limit = active.route.max_attempts > 0
                             ? active.route.max_attempts
                             : ctx.Settings().max_attempts;
  if (active.attempts >= limit) return false;
  if (ctx.Now() >= active.deadline) return false;
  std::vector<Candidate> candidates = FindCandidates(ctx, active);
  RemoveUnsuitable(ctx, active, candidates);
  if (candidates.empty()) return false;
  return !use_budget || !Rules::kBoundRetries ||
         retry_budgets_.ForService(active.route.service)
             .TrySpend(active.route.request_class, may_have_run);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::RetryOrAnswer(Context& ctx, ActiveCall& active,
                                              Errc reason, Outcome outcome,
                                              bool use_budget) {
  active.admitting = {};
  if (active.head_sent) {
    AbortAnswer(ctx, active.call);
    return;
  }
  if (outcome != Outcome::kNotRun) active.may_have_run = true;
  const bool may_run_again =
      (outcome == Outcome::kNotRun || active.route.repeatable) &&
      !IsFinalRefusal(reason);
  if (may_run_again &&
      MayRetry(ctx, active, use_budget, outcome != Outcome::kNotRun)) {
    counters_.Add(CallRouterCounter::kRetries);
    active.last_failure = reason;
    if (outcome == Outcome::kNotRun) {
      Attempt(ctx, active);
    } else {
      AttemptWithinQuota(ctx, active);
    }
    return;
  }
  AnswerFailure(ctx, active.call, reason, outcome);
  Finish(ctx, active.call);
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::MarkPeersInUse(Context& ctx) const {
  for (const auto& [call, active] : active_) {
    if (!active.admitting.IsSet()) continue;
    ctx.Shared().peer_last_used[active.admitting] = ctx.Now();
  }
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::CountDaemons(Context& ctx) {
  const auto& members = ctx.Shared().members;
  const auto others =
      std::count_if(members.begin(), members.end(), [](const auto& entry) {
        return entry.second.status <= MemberStatus::kSuspect;
      });
  retry_budgets_.SetDaemonCount(static_cast<size_t>(others) + 1);
}

template <BackendChoice Choice, RequestRules Rules>
bool CallRouter<Choice, Rules>::QueryOutcome(Context& ctx, ActiveCall& active) {
  if (active.route.repeatable || active.head_sent) return false;
  if (!active.route.deduplicates_by_key) return false;
  if (active.outcome_queries >= kMaxOutcomeQueries) return false;
  ++active.outcome_queries;
  ctx.Shared().peer_last_used[active.admitting] = ctx.Now();
  ctx.Send(active.admitting,
           OutcomeQuery{active.call, active.route.service,
                        active.idempotency_key, active.incarnation});
  return true;
}

template <BackendChoice Choice, RequestRules Rules>
void CallRouter<Choice, Rules>::ReleasePeer(const ActiveCall& active) {
  backend_stats_.RecordDone(active.admitting);
}

}  // namespace buckthorncart
