#pragma once
/// \file
/// Definitions of `Admission` that end runs: answers, cancellations and
/// deadlines; included by admission.h.

#include <deque>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/crash_register.h"
#include "Plugins/Admission/admission.h"
#include "Plugins/Requests/call_failure.h"

namespace buckthorncart {

/// Time after its deadline in which an unrepeatable run can still answer.
inline constexpr Duration kOutcomeGrace = 500ms;

template <RequestRules Rules>
void Admission<Rules>::HandleAnswer(Context& ctx,
                                    const BackendAnswered& answered) {
  const auto it = runs_.find(answered.run);
  if (it == runs_.end()) return;
  Run& run = it->second;
  const auto [peer, id] = run.key;
  if (answered.fault == BackendFault::kNotConnected) {
    LogFailedRun(ctx, run, "not-connected", 0);
    EndRun(ctx, answered.run);
    Refuse(ctx, {peer, id}, Errc::kBackendServerFailed);
    connect_backoff_.RecordFailure(ctx.Now());
    ReportCrashSuspects(ctx);
    RefuseQueued(ctx, Errc::kBackendServerFailed);
    return;
  }
  const bool shed = !run.head_sent && IsShed(answered.part);
  const bool broken = answered.fault == BackendFault::kConnectionBroken;
  // What follows is of no use, and might have no end.
  const bool has_more = answered.part.end == AnswerEnd::kMore;
  if ((shed || broken) && has_more) ctx.Emit(CancelBackendCall{answered.run});
  if (shed) {
    HandleShed(ctx, answered.run);
    return;
  }
  if (broken && !run.head_sent) {
    counters_.Add(AdmissionCounter::kBroken);
    LogFailedRun(ctx, run, "connection-broken", 0);
    const bool suspect = HandleBrokenRun(ctx, run.call.fingerprint);
    ctx.Send(peer, CallFailed{id, suspect ? Errc::kCrashGuard
                                          : Errc::kBackendServerFailed});
  } else {
    AnswerPart part = answered.part;
    if (broken) part.end = AnswerEnd::kBroken;
    SendAnswerPart(ctx, run, std::move(part));
  }
  if (!broken && answered.part.end == AnswerEnd::kMore) return;
  counters_.Add(AdmissionCounter::kCompleted);
  if (!broken) {
    connect_backoff_.Reset();
    ctx.Shared().crash_register->RecordSuccess(ctx, run.call.fingerprint);
    concurrency_limit_.RecordAnswer(backend_.slots);
    const Duration time = ctx.Now() - run.started_at;
    ServiceTimeOf(run.call).Record(time, ctx.Now());
    queue_.RecordRunTime(run.call.route, time);
    RecordRunTime(ctx, run, time);
    run_times_.Observe(time);
    constexpr uint16_t kFirstServerError = 500;
    if (answered.part.status >= kFirstServerError) {
      LogFailedRun(ctx, run, "status", answered.part.status);
    }
  }
  EndRun(ctx, answered.run);
  StartQueued(ctx);
}

/// Returns true if the answer states that the backend server did not run the
/// request.
template <RequestRules Rules>
bool Admission<Rules>::IsShed(const AnswerPart& part) {
  return Rules::kTreatShedAsNotRun && IsShedAnswer(part);
}

template <RequestRules Rules>
void Admission<Rules>::HandleShed(Context& ctx, uint64_t run_id) {
  counters_.Add(AdmissionCounter::kShed);
  LogFailedRun(ctx, runs_.at(run_id), "shed", 0);
  const CallKey key = runs_.at(run_id).key;
  EndRun(ctx, run_id);
  // A backend server that announces an id also announces its slots, so it sheds
  // for reasons that a lower limit would not remedy.
  if (backend_.id.empty())
    concurrency_limit_.RecordShed(ctx.Now(), slots_in_use_);
  Refuse(ctx, key, Errc::kOverloaded, true);
  StartQueued(ctx);
}

/// Handles a connection that broke during a run. Connections also break without
/// a crash, so a backend server that announces an id only counts as crashed
/// once a connection attempt fails or it has restarted. Returns true if the
/// request must not be retried at another backend server.
template <RequestRules Rules>
bool Admission<Rules>::HandleBrokenRun(Context& ctx, uint64_t fingerprint) {
  if (backend_.id.empty()) {
    return ctx.Shared().crash_register->RecordConnectionBreak(ctx, fingerprint);
  }
  suspects_.Add(fingerprint, ctx.Now());
  return false;
}

template <RequestRules Rules>
void Admission<Rules>::SendAnswerPart(Context& ctx, Run& run, AnswerPart part) {
  run.head_sent = true;
  const auto [peer, id] = run.key;
  const auto link_wait_ms =
      static_cast<uint32_t>(ToMilliseconds(body_transfers_.Backlog()));
  ctx.Send(peer, CallAnswer{id, std::move(part), LoadPerMille(ctx), ++run.parts,
                            link_wait_ms});
}

template <RequestRules Rules>
void Admission<Rules>::HandleCancel(Context& ctx, Address from, uint64_t id) {
  const auto it = run_of_call_.find({from, id});
  if (it == run_of_call_.end()) return;
  const uint64_t run_id = it->second;
  const Run& run = runs_.at(run_id);
  // An unrepeatable request that has started or whose claim is pending is not
  // cancelled, so that its outcome becomes known.
  if (!run.call.repeatable && (run.started || run.awaiting_claim)) return;
  counters_.Add(AdmissionCounter::kCancelled);
  if (run.started) {
    ctx.Emit(CancelBackendCall{run_id});
    ServiceTimeOf(run.call).RecordLowerBound(ctx.Now() - run.started_at,
                                             ctx.Now());
  }
  EndRun(ctx, run_id);
  StartQueued(ctx);
}

template <RequestRules Rules>
void Admission<Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::deque<uint64_t> ids;
  for (const auto& [key, run_id] : run_of_call_) {
    if (key.first != peer) continue;
    // Cancel waiting runs first: ending a started run starts the next one.
    if (runs_.at(run_id).started) {
      ids.push_back(key.second);
    } else {
      ids.push_front(key.second);
    }
  }
  for (const uint64_t id : ids) HandleCancel(ctx, peer, id);
}

template <RequestRules Rules>
void Admission<Rules>::HandleDeadline(Context& ctx, uint64_t run_id) {
  const auto it = runs_.find(run_id);
  if (it == runs_.end()) return;
  if (it->second.started) {
    if (ctx.Now() >= it->second.deadline) CancelExpiredRun(ctx, run_id);
    return;
  }
  if (it->second.awaiting_claim) return;
  counters_.Add(AdmissionCounter::kExpiredInQueue);
  const CallKey key = it->second.key;
  EndRun(ctx, run_id);
  Refuse(ctx, key, Errc::kDeadlineExpired);
}

/// Cancels a started run after its deadline. An unrepeatable run gets some more
/// time, in which its outcome can become known; one with an idempotency key,
/// whose outcome is kept for later, is not cancelled.
template <RequestRules Rules>
void Admission<Rules>::CancelExpiredRun(Context& ctx, uint64_t run_id) {
  Run& run = runs_.at(run_id);
  if (!Rules::kCancelExpired || !run.call.idempotency_key.empty()) return;
  const Time cancel_at =
      run.deadline + (run.call.repeatable ? 0ms : kOutcomeGrace);
  if (ctx.Now() < cancel_at) {
    ctx.SetTimerIn(cancel_at - ctx.Now(), TimerKind::kQueueDeadline, run_id);
    return;
  }
  counters_.Add(AdmissionCounter::kCancelled);
  LogFailedRun(ctx, run, "deadline", 0);
  ctx.Emit(CancelBackendCall{run_id});
  ServiceTimeOf(run.call).RecordLowerBound(ctx.Now() - run.started_at,
                                           ctx.Now());
  if (run.head_sent) {
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    SendAnswerPart(ctx, run, std::move(part));
  } else {
    ctx.Send(run.key.first, CallFailed{run.key.second, Errc::kDeadlineExpired});
  }
  EndRun(ctx, run_id);
  StartQueued(ctx);
}

}  // namespace buckthorncart
