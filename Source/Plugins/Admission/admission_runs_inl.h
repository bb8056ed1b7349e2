#pragma once
/// \file
/// Definitions of `Admission` about the ends of runs: answers, cancellations
/// and deadlines; include admission.h.

#include <deque>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/crash_register.h"
#include "Plugins/Admission/admission.h"
#include "Plugins/Requests/call_failure.h"

namespace buckthorncart {

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
    gate_.NoteFailure(ctx.Now());
    NoteBackendLost(ctx);
    RefuseQueued(ctx, Errc::kBackendServerFailed);
    return;
  }
  if (!run.head_sent && IsShed(answered.part)) {
    HandleShed(ctx, answered.run);
    return;
  }
  const bool broken = answered.fault == BackendFault::kConnectionBroken;
  if (broken && !run.head_sent) {
    counters_.Add(AdmissionCounter::kBroken);
    LogFailedRun(ctx, run, "connection-broken", 0);
    const bool suspect = NoteBroken(ctx, run.call.fingerprint);
    ctx.Send(peer, CallFailed{id, suspect ? Errc::kCrashGuard
                                          : Errc::kBackendServerFailed});
  } else {
    AnswerPart part = answered.part;
    if (broken) part.end = AnswerEnd::kBroken;
    SendPart(ctx, run, std::move(part));
  }
  if (!broken && answered.part.end == AnswerEnd::kMore) return;
  counters_.Add(AdmissionCounter::kCompleted);
  if (!broken) {
    gate_.Open();
    ctx.Shared().crash_register->RecordSuccess(ctx, run.call.fingerprint);
    shed_limit_.NoteAnswer(backend_.slots);
    const Duration time = ctx.Now() - run.started_at;
    TimeOf(run.call).Note(time, ctx.Now());
    queue_.NoteTime(run.call.route, time);
    run_times_.Observe(time);
    constexpr uint16_t kFirstServerError = 500;
    if (answered.part.status >= kFirstServerError) {
      LogFailedRun(ctx, run, "status", answered.part.status);
    }
  }
  EndRun(ctx, answered.run);
  StartQueued(ctx);
}

/// True for an answer by which the backend server says that it did not run
/// the request.
template <RequestRules Rules>
bool Admission<Rules>::IsShed(const AnswerPart& part) {
  return Rules::kTakeShedAsNotRun && IsShedAnswer(part);
}

template <RequestRules Rules>
void Admission<Rules>::HandleShed(Context& ctx, uint64_t number) {
  counters_.Add(AdmissionCounter::kShed);
  LogFailedRun(ctx, runs_.at(number), "shed", 0);
  const CallKey key = runs_.at(number).key;
  EndRun(ctx, number);
  // One that tells its starts also tells its slots: it sheds for reasons that
  // a lower limit would not help.
  if (backend_.id.empty()) shed_limit_.NoteShed(ctx.Now(), slots_in_use_);
  Refuse(ctx, key, Errc::kOverloaded, true);
  StartQueued(ctx);
}

/// The connection broke during a run. A backend server that tells its starts
/// is only taken as dead once it is found gone, as connections also break
/// without it. Returns true if the request is not tried elsewhere.
template <RequestRules Rules>
bool Admission<Rules>::NoteBroken(Context& ctx, uint64_t fingerprint) {
  if (backend_.id.empty()) {
    return ctx.Shared().crash_register->RecordConnectionBreak(ctx, fingerprint);
  }
  suspects_.Add(fingerprint, ctx.Now());
  return false;
}

template <RequestRules Rules>
void Admission<Rules>::SendPart(Context& ctx, Run& run, AnswerPart part) {
  run.head_sent = true;
  const auto [peer, id] = run.key;
  ctx.Send(peer,
           CallAnswer{id, std::move(part), LoadPerMille(ctx), ++run.parts});
}

template <RequestRules Rules>
void Admission<Rules>::HandleCancel(Context& ctx, Address from, uint64_t id) {
  const auto it = run_of_call_.find({from, id});
  if (it == run_of_call_.end()) return;
  const uint64_t number = it->second;
  const Run& run = runs_.at(number);
  // An unrepeatable request that has begun runs to its end, so that its outcome
  // becomes known.
  if (!run.call.repeatable && (run.started || run.awaiting_claim)) return;
  counters_.Add(AdmissionCounter::kCancelled);
  if (run.started) {
    ctx.Emit(CancelBackendCall{number});
    TimeOf(run.call).NoteAtLeast(ctx.Now() - run.started_at, ctx.Now());
  }
  EndRun(ctx, number);
  StartQueued(ctx);
}

template <RequestRules Rules>
void Admission<Rules>::HandlePeerLost(Context& ctx, Address peer) {
  std::deque<uint64_t> ids;
  for (const auto& [key, number] : run_of_call_) {
    if (key.first != peer) continue;
    // Those that wait go first, as the end of a run starts the next one.
    if (runs_.at(number).started) {
      ids.push_back(key.second);
    } else {
      ids.push_front(key.second);
    }
  }
  for (const uint64_t id : ids) HandleCancel(ctx, peer, id);
}

template <RequestRules Rules>
void Admission<Rules>::HandleDeadline(Context& ctx, uint64_t number) {
  const auto it = runs_.find(number);
  if (it == runs_.end()) return;
  if (it->second.started) {
    if (ctx.Now() >= it->second.deadline) CancelStarted(ctx, number);
    return;
  }
  if (it->second.awaiting_claim) return;
  counters_.Add(AdmissionCounter::kExpiredInQueue);
  const CallKey key = it->second.key;
  EndRun(ctx, number);
  Refuse(ctx, key, Errc::kDeadlineExpired);
}

/// Ends a run past its deadline. An unrepeatable one goes on, so that its
/// outcome becomes known.
template <RequestRules Rules>
void Admission<Rules>::CancelStarted(Context& ctx, uint64_t number) {
  Run& run = runs_.at(number);
  if (!Rules::kCancelExpired || !run.call.repeatable) return;
  counters_.Add(AdmissionCounter::kCancelled);
  LogFailedRun(ctx, run, "deadline", 0);
  ctx.Emit(CancelBackendCall{number});
  TimeOf(run.call).NoteAtLeast(ctx.Now() - run.started_at, ctx.Now());
  if (run.head_sent) {
    AnswerPart part;
    part.end = AnswerEnd::kBroken;
    SendPart(ctx, run, std::move(part));
  } else {
    ctx.Send(run.key.first, CallFailed{run.key.second, Errc::kDeadlineExpired});
  }
  EndRun(ctx, number);
  StartQueued(ctx);
}

}  // namespace buckthorncart
