#pragma once
/// \file
/// Definitions of `Admission`; included by admission.h.

#include <algorithm>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/crash_register.h"
#include "Plugins/Admission/admission.h"
#include "Plugins/Admission/announcement_json.h"
#include "Plugins/Claims/claim_reply.h"
#include "Plugins/Rollouts/version_gate.h"

namespace buckthorncart {

inline constexpr uint32_t kPerMille = 1'000;
/// Largest withheld body that is asked for; no daemon can be set to accept a
/// larger one from its callers.
inline constexpr uint64_t kMaxWithheldBytes = 64U << 20U;
/// Latest time at which a call can have been sent, microseconds.
inline constexpr uint64_t kMaxSentUs = 1ULL << 60U;

template <RequestRules Rules>
Admission<Rules>::Admission(const KernelSettings& settings)
    : body_transfers_(settings.link_kbps),
      body_memory_(BytesOfKib(settings.body_memory_kib)) {}

template <RequestRules Rules>
void Admission<Rules>::Attach(Context& ctx) {
  ctx.Shared().run_by_call = &run_of_call_;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddHistogram("queue_wait_seconds", &queue_waits_);
  ctx.AllMetrics().AddHistogram("run_seconds", &run_times_);
  ctx.AllMetrics().AddGauge("backend_announcement_age_seconds", [this, &ctx] {
    return static_cast<double>(ToMilliseconds(ctx.Now() - last_announcement_)) /
           kPerMille;
  });
  ctx.AllMetrics().AddGauge("admission_slots_in_use", [this] {
    return static_cast<double>(slots_in_use_);
  });
  ctx.AllMetrics().AddGauge("admission_slots", [this, &ctx] {
    return static_cast<double>(Slots(ctx));
  });
  ctx.AllMetrics().AddGauge("backend_pace_ratio", [this, &ctx] {
    return static_cast<double>(adaptive_limit_.PacePerMille(ctx.Now())) /
           kPerMille;
  });
  ctx.AllMetrics().AddGauge("admission_queue_length", [this] {
    return static_cast<double>(queue_.Size());
  });
}

template <RequestRules Rules>
void Admission<Rules>::Handle(Context& ctx, const Event& event) {
  if (const auto* message = std::get_if<PeerMessageReceived>(&event)) {
    if (const auto* call = std::get_if<Call>(&message->message)) {
      HandleCallInTransit(ctx, message->from, *call);
    } else if (const auto* cancel =
                   std::get_if<CancelCall>(&message->message)) {
      HandleCancel(ctx, message->from, cancel->id);
    } else if (const auto* piece = std::get_if<BodyPiece>(&message->message)) {
      HandleBodyPiece(ctx, message->from, *piece);
    }
  } else if (const auto* answered = std::get_if<BackendAnswered>(&event)) {
    HandleAnswer(ctx, *answered);
  } else if (const auto* lost = std::get_if<PeerConnectionLost>(&event)) {
    transit_clocks_.erase(lost->peer);
    HandlePeerLost(ctx, lost->peer);
  } else if (const auto* timer = std::get_if<TimerFired>(&event)) {
    if (timer->kind == TimerKind::kQueueDeadline) {
      HandleDeadline(ctx, timer->argument);
    } else if (timer->kind == TimerKind::kTick) {
      HandleTick(ctx);
    } else if (timer->kind == TimerKind::kLeaveAnswer) {
      HandleLeaveAnswerTimeout(ctx, timer->argument);
    }
  } else if (const auto* started = std::get_if<Started>(&event)) {
    announcement_filter_.AwaitRecord(started->wall_ms);
  } else if (const auto* earlier = std::get_if<EarlierBackendKnown>(&event)) {
    HandleEarlierBackend(ctx, *earlier);
  } else if (const auto* recorded = std::get_if<LeaveRecorded>(&event)) {
    HandleLeaveRecorded(ctx, recorded->backend);
  } else if (std::holds_alternative<DrainLimitReached>(event)) {
    RefuseQueued(ctx, Errc::kDraining);
    RefuseAwaitingBody(ctx, Errc::kDraining);
  } else if (const auto* granted = std::get_if<ClaimGranted>(&event)) {
    StartOrQueue(ctx, granted->run);
  } else if (const auto* denied = std::get_if<ClaimDenied>(&event)) {
    HandleClaimDenied(ctx, *denied);
  } else if (const auto* changed = std::get_if<CallerBodiesChanged>(&event)) {
    caller_body_bytes_ = changed->bytes;
  }
  RequestBodies(ctx);
}

template <RequestRules Rules>
bool Admission<Rules>::MayRunVersion(Context& ctx) const {
  const VersionGate* gate = ctx.Shared().version_gate;
  return gate == nullptr || gate->MayRun(backend_.service, backend_.version);
}

template <RequestRules Rules>
void Admission<Rules>::HandleTick(Context& ctx) {
  if (!MayRunVersion(ctx)) {
    // Calls that have not started can run on the other version.
    RefuseQueued(ctx, Errc::kNotReady);
    RefuseAwaitingBody(ctx, Errc::kNotReady);
  }
  // No event is raised when a pause of the concurrency limit ends.
  StartQueued(ctx);
  UpdateCapacity(ctx);
  const bool lease_expired =
      backend_.state != BackendState::kAbsent &&
      ctx.Now() - last_announcement_ >
          std::chrono::milliseconds(ctx.Settings().backend_lease_ms);
  if (!lease_expired) return;
  BackendAnnouncement absent = backend_;
  absent.state = BackendState::kAbsent;
  SetBackend(ctx, std::move(absent));
}

template <RequestRules Rules>
bool Admission<Rules>::HandleOperator(Context& ctx,
                                      const OperatorRequested& request) {
  const bool is_announcement = request.http.path == "/v1/backend-server" &&
                               request.http.method == "POST";
  if (is_announcement) HandleAnnouncement(ctx, request);
  return is_announcement;
}

template <RequestRules Rules>
Errc Admission<Rules>::ReasonToRefuse(Context& ctx, const Call& call) {
  if (ctx.Shared().draining) return Errc::kDraining;
  if (backend_.state == BackendState::kDraining) return Errc::kDraining;
  if (backend_.state != BackendState::kReady) return Errc::kNotReady;
  if (backend_.service != call.service) return Errc::kNoBackendServer;
  if (!MayRunVersion(ctx)) return Errc::kNotReady;
  if (call.remaining_ms == 0) return Errc::kDeadlineExpired;
  if (call.withheld_bytes > kMaxWithheldBytes) return Errc::kBodyTooLarge;
  if (ctx.Shared().crash_register->IsBlocked(ctx.Now(), call.fingerprint)) {
    return Errc::kCrashGuard;
  }
  if (connect_backoff_.IsActive(ctx.Now())) return Errc::kBackendServerFailed;
  if (call.withheld_bytes > FreeBodyMemory(ctx)) return Errc::kOverloaded;
  const uint32_t slots = Slots(ctx);
  if (slots == 0) return Errc::kOverloaded;
  const Duration remaining = std::chrono::milliseconds(call.remaining_ms);
  if (MissesDeadline(ctx, call, remaining,
                     body_transfers_.TransferTime(call.withheld_bytes))) {
    return Errc::kDeadlineExpired;
  }
  const Duration wait = LinkWait(call) + SlotWait(ctx, call);
  if (wait == Duration::zero()) return Errc::kOk;
  const bool full = !MayStart(ctx, call) &&
                    queue_.Size() >= ctx.Settings().queue_limit &&
                    !queue_.CanEvictFor(call.route, WeightOfCall(call));
  const Duration to_start = TimeToStart(ctx, call);
  if (full || wait > std::chrono::milliseconds(call.max_wait_ms) ||
      MissesTarget(ctx, call, to_start) ||
      MissesDeadline(ctx, call, remaining, to_start)) {
    return Errc::kOverloaded;
  }
  return Errc::kOk;
}

template <RequestRules Rules>
void Admission<Rules>::HandleCallInTransit(Context& ctx, Address from,
                                           const Call& call) {
  // An older daemon does not say when it sent the call. A time that no clock
  // shows would overflow in the comparison.
  Duration delay{};
  if (call.sent_us != 0 && call.sent_us <= kMaxSentUs) {
    const Time sent(static_cast<Time::rep>(call.sent_us));
    delay = transit_clocks_[from].DelayOf(sent, ctx.Now());
  }
  const auto delay_ms = static_cast<uint32_t>(ToMilliseconds(delay));
  if (delay_ms == 0) {
    HandleCall(ctx, from, call);
    return;
  }
  Call late = call;
  late.remaining_ms -= std::min(late.remaining_ms, delay_ms);
  if (late.target_ms != ~0U)
    late.target_ms -= std::min(late.target_ms, delay_ms);
  if (call.remaining_ms > 0 && late.remaining_ms == 0)
    counters_.Add(AdmissionCounter::kExpiredInTransit);
  HandleCall(ctx, from, late);
}

template <RequestRules Rules>
void Admission<Rules>::HandleCall(Context& ctx, Address from,
                                  const Call& call) {
  ctx.Shared().peer_last_used[from] = ctx.Now();
  const CallKey key{from, call.id};
  if (run_of_call_.contains(key)) return;
  const Errc reason = ReasonToRefuse(ctx, call);
  if (reason != Errc::kOk) {
    const Duration wait = TimeToStart(ctx, call);
    LogRefusal(ctx, from, call, reason, wait);
    Refuse(ctx, key, reason, false, wait, LinkWait(call));
    return;
  }
  const uint64_t run_id = ++last_run_id_;
  const Duration remaining = std::chrono::milliseconds(call.remaining_ms);
  Run& run = runs_[run_id];
  run.key = key;
  run.call = call;
  run.deadline = ctx.Now() + remaining;
  run.queued_at = ctx.Now();
  run.awaiting_claim = !call.repeatable && !call.idempotency_key.empty();
  run_of_call_[key] = run_id;
  ctx.Shared().active_runs = static_cast<uint32_t>(runs_.size());
  ctx.SetTimerIn(remaining, TimerKind::kQueueDeadline, run_id);
  if (run.awaiting_claim) {
    ctx.Raise(ClaimRequested{run_id, from, call});
    return;
  }
  if (call.withheld_bytes > 0) {
    run.awaiting_body = true;
    body_memory_.TryResize(run.body_share, call.withheld_bytes);
    ctx.Shared().peer_body_bytes = body_memory_.Used();
    body_transfers_.Add(run_id, call.withheld_bytes, WeightOfCall(call));
    return;
  }
  StartOrQueue(ctx, run_id);
}

template <RequestRules Rules>
void Admission<Rules>::HandleClaimDenied(Context& ctx,
                                         const ClaimDenied& denied) {
  const auto it = runs_.find(denied.run);
  if (it == runs_.end()) return;
  const auto [peer, id] = it->second.key;
  EndRun(ctx, denied.run);
  ctx.Send(peer, MakeClaimReply(id, denied.reason, denied.result));
}

template <RequestRules Rules>
void Admission<Rules>::StartOrQueue(Context& ctx, uint64_t run_id) {
  const auto it = runs_.find(run_id);
  if (it == runs_.end()) return;
  it->second.awaiting_claim = false;
  if (MayStart(ctx, it->second.call)) {
    StartRun(ctx, run_id);
    return;
  }
  counters_.Add(AdmissionCounter::kQueued);
  const Call& call = it->second.call;
  if (queue_.Size() >= ctx.Settings().queue_limit) EvictFor(ctx, call);
  queue_.Push(run_id, call.route, WeightOfCall(call));
  // A run that starts later cannot end by its deadline; the timer refuses it
  // then.
  const Duration last_start =
      it->second.deadline - ctx.Now() - ServiceTimeOf(call).Expected(ctx.Now());
  ctx.SetTimerIn(std::max<Duration>(last_start, 1ms), TimerKind::kQueueDeadline,
                 run_id);
}

template <RequestRules Rules>
void Admission<Rules>::EvictFor(Context& ctx, const Call& call) {
  const auto evicted = queue_.EvictFor(call.route, WeightOfCall(call));
  if (!evicted) return;
  counters_.Add(AdmissionCounter::kEvicted);
  const CallKey key = runs_.at(*evicted).key;
  EndRun(ctx, *evicted);
  Refuse(ctx, key, Errc::kOverloaded);
}

template <RequestRules Rules>
void Admission<Rules>::RefuseQueued(Context& ctx, Errc reason) {
  for (const uint64_t run_id : queue_.All()) {
    const CallKey key = runs_.at(run_id).key;
    EndRun(ctx, run_id);
    Refuse(ctx, key, reason);
  }
}

/// Called when a connection attempt fails or the backend server has restarted.
/// Reports the requests whose connections broke shortly before as deaths to the
/// crash guard.
template <RequestRules Rules>
void Admission<Rules>::ReportCrashSuspects(Context& ctx) {
  for (const uint64_t fingerprint : suspects_.TakeRecent(ctx.Now())) {
    ctx.Shared().crash_register->RecordConnectionBreak(ctx, fingerprint);
  }
}

template <RequestRules Rules>
double Admission<Rules>::WeightOfCall(const Call& call) {
  return WeightOf(call.priority, call.request_class);
}

template <RequestRules Rules>
void Admission<Rules>::StartQueued(Context& ctx) {
  while (slots_in_use_ < Slots(ctx)) {
    const auto run_id = queue_.Pop(Slots(ctx), ctx.Now());
    if (!run_id) return;
    const Run& run = runs_.at(*run_id);
    const Duration remaining = run.deadline - ctx.Now();
    if (!MissesDeadline(ctx, run.call, remaining, Duration::zero())) {
      StartRun(ctx, *run_id);
      continue;
    }
    counters_.Add(AdmissionCounter::kExpiredInQueue);
    const CallKey key = run.key;
    EndRun(ctx, *run_id);
    Refuse(ctx, key, Errc::kDeadlineExpired);
  }
}

template <RequestRules Rules>
void Admission<Rules>::StartRun(Context& ctx, uint64_t run_id) {
  Run& run = runs_.at(run_id);
  run.started = true;
  run.started_at = ctx.Now();
  queue_waits_.Observe(ctx.Now() - run.queued_at);
  run.concurrency = ++slots_in_use_;
  if (run.call.is_retry) ++ctx.Shared().rerunning;
  ctx.Shared().running = slots_in_use_;
  queue_.RecordStart(run.call.route, ctx.Now());
  counters_.Add(AdmissionCounter::kRuns);
  // The body is not needed any more: a further attempt is made by the daemon
  // that received the call.
  HttpRequest request = std::move(run.call.request);
  run.call.request.headers = request.headers;
  const auto remaining =
      std::max<int64_t>(ToMilliseconds(run.deadline - ctx.Now()), 0);
  request.headers.push_back(
      {std::string(header::kDeadline), std::to_string(remaining)});
  if (!backend_.id.empty()) {
    request.headers.push_back({std::string(header::kBackendId), backend_.id});
  }
  ctx.Emit(CallBackend{run_id, ctx.Settings().backend, std::move(request),
                       run.call.repeatable});
}

template <RequestRules Rules>
void Admission<Rules>::EndRun(Context& ctx, uint64_t run_id) {
  const auto it = runs_.find(run_id);
  if (it->second.started) {
    --slots_in_use_;
    if (it->second.call.is_retry) --ctx.Shared().rerunning;
    ctx.Shared().running = slots_in_use_;
    queue_.RecordEnd(it->second.call.route);
  }
  if (!it->second.started) {
    queue_.Erase(run_id);
    body_transfers_.Erase(run_id);
    const bool claimed = !it->second.call.repeatable &&
                         !it->second.call.idempotency_key.empty() &&
                         !it->second.awaiting_claim;
    if (claimed) ctx.Raise(ClaimUnused{run_id});
  }
  body_memory_.Release(it->second.body_share);
  ctx.Shared().peer_body_bytes = body_memory_.Used();
  run_of_call_.erase(it->second.key);
  runs_.erase(it);
  ctx.Shared().active_runs = static_cast<uint32_t>(runs_.size());
}

template <RequestRules Rules>
void Admission<Rules>::Refuse(Context& ctx, const CallKey& key, Errc reason,
                              bool refused_by_backend, Duration wait,
                              Duration link_wait) {
  counters_.Add(AdmissionCounter::kRefused);
  ctx.Send(
      key.first,
      CallRefused{key.second, reason, LoadPerMille(ctx), refused_by_backend,
                  static_cast<uint32_t>(ToMilliseconds(wait)),
                  static_cast<uint32_t>(ToMilliseconds(link_wait))});
}

template <RequestRules Rules>
uint32_t Admission<Rules>::Slots(Context& ctx) const {
  const uint32_t announced =
      LearnsSlots(ctx) ? adaptive_limit_.LimitAt(backend_.slots, ctx.Now())
                       : backend_.slots;
  return concurrency_limit_.SlotsAt(ctx.Now(), announced);
}

template <RequestRules Rules>
uint32_t Admission<Rules>::LoadPerMille(Context& ctx) const {
  const uint32_t slots = Slots(ctx);
  if (slots == 0) return kPerMille;
  return (slots_in_use_ + static_cast<uint32_t>(queue_.Size())) * kPerMille /
         slots;
}

template <RequestRules Rules>
ServiceTime& Admission<Rules>::ServiceTimeOf(const Call& call) {
  return service_times_[call.route];
}

}  // namespace buckthorncart
