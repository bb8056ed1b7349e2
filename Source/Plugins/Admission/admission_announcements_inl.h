#pragma once
/// \file
/// Definitions of `Admission` that handle announcements of the local backend
/// server; included by admission.h.

#include <utility>

#include "Kernel/context.h"
#include "Plugins/Admission/admission.h"
#include "Plugins/Admission/announcement_json.h"
#include "Plugins/Admission/leave_record.h"

namespace buckthorncart {

/// Longest time until it is recorded that a backend server is leaving. A
/// backend server waits one second for the acknowledgement.
inline constexpr Duration kMaxLeaveAnswerDelay = 900ms;
inline constexpr uint16_t kAnnouncementTaken = 200;
inline constexpr uint16_t kAnnouncementNotRecorded = 503;
inline constexpr uint16_t kAnnouncementInvalid = 422;

template <RequestRules Rules>
void Admission<Rules>::HandleAnnouncement(Context& ctx,
                                          const OperatorRequested& request) {
  auto announcement = ParseAnnouncement(request.http.body.Text());
  if (announcement && !ctx.Settings().stages_rollouts)
    announcement->backend.version.clear();
  if (announcement) {
    const Result<void> checked = CheckVersion(announcement->backend);
    if (!checked) announcement = tl::unexpected(checked.error());
  }
  if (!announcement) {
    ctx.Log(LogTopic::kAnnouncementRejected,
            {{"subject", announcement.error().subject},
             {"expected", announcement.error().expected}},
            LogLevel::kWarning);
    ctx.AnswerFailure(request.request, kAnnouncementInvalid,
                      announcement.error());
    return;
  }
  const bool awaited = announcement_filter_.IsAwaitingRecord();
  if (announcement_filter_.Accept(*announcement, ctx.WallMilliseconds())) {
    // The start that announces itself is proof that it has not ended.
    const bool confirmed = awaited && !announcement_filter_.IsAwaitingRecord();
    if (confirmed) ctx.Raise(EarlierBackendKnown{{}, true});
    TakeOver(ctx, std::move(announcement->backend));
    AnswerAnnouncement(ctx, request.request);
    return;
  }
  if (AnnouncementFilter::IsLeaving(announcement->backend.state)) {
    AnswerAnnouncement(ctx, request.request);
    return;
  }
  if (announcement_filter_.IsAwaitingRecord()) {
    held_announcement_ = std::move(*announcement);
    ctx.Raise(BackendUnconfirmed{held_announcement_->backend});
  }
  ctx.AnswerJson(request.request, kAnnouncementTaken,
                 "{\"result\":\"outdated\"}\n");
}

template <RequestRules Rules>
void Admission<Rules>::TakeOver(Context& ctx, BackendAnnouncement backend) {
  last_announcement_ = ctx.Now();
  connect_backoff_.Reset();
  held_announcement_.reset();
  const bool restarted = !backend_.id.empty() && backend.id != backend_.id;
  if (restarted) ReportCrashSuspects(ctx);
  if (AnnouncementFilter::IsLeaving(backend.state) && !backend.id.empty()) {
    backend.left = true;
    backend.started_ms = announcement_filter_.EndedThrough();
  }
  SetBackend(ctx, std::move(backend));
}

template <RequestRules Rules>
void Admission<Rules>::AnswerAnnouncement(Context& ctx, uint64_t request) {
  if (backend_.left && !leave_recorded_) {
    unanswered_leaves_.insert(request);
    ctx.SetTimerIn(kMaxLeaveAnswerDelay, TimerKind::kLeaveAnswer, request);
    return;
  }
  ctx.AnswerJson(request, kAnnouncementTaken, "{\"result\":\"announced\"}\n");
}

template <RequestRules Rules>
void Admission<Rules>::HandleLeaveRecorded(Context& ctx,
                                           const BackendAnnouncement& backend) {
  const bool is_current = backend_.left && IsSameStart(backend, backend_);
  if (!is_current) return;
  leave_recorded_ = true;
  for (const uint64_t request : std::exchange(unanswered_leaves_, {})) {
    AnswerAnnouncement(ctx, request);
  }
}

template <RequestRules Rules>
void Admission<Rules>::HandleLeaveAnswerTimeout(Context& ctx,
                                                uint64_t request) {
  if (unanswered_leaves_.erase(request) == 0) return;
  ctx.AnswerFailure(
      request, kAnnouncementNotRecorded,
      {Errc::kPlatformUnavailable, "announcement",
       "the platform or another daemon to record it", "announce it again"});
}

template <RequestRules Rules>
void Admission<Rules>::HandleEarlierBackend(Context& ctx,
                                            const EarlierBackendKnown& known) {
  const BackendAnnouncement& earlier = known.backend;
  if (announcement_filter_.Restore(earlier)) {
    BackendAnnouncement ended;
    ended.id = earlier.id;
    ended.started_ms = earlier.started_ms;
    ended.left = true;
    SetBackend(ctx, std::move(ended));
  }
  if (!known.is_conclusive) return;
  announcement_filter_.EndAwaiting();
  if (!held_announcement_) return;
  const ReceivedAnnouncement held =
      *std::exchange(held_announcement_, std::nullopt);
  if (announcement_filter_.Accept(held, ctx.WallMilliseconds())) {
    TakeOver(ctx, held.backend);
  }
}

template <RequestRules Rules>
void Admission<Rules>::SetBackend(Context& ctx, BackendAnnouncement backend) {
  if (backend == backend_) return;
  if (backend.state != backend_.state) {
    ctx.Log(LogTopic::kBackendState,
            {{"service", backend.service},
             {"id", backend.id},
             {"state", std::string(NameOf(backend.state))}});
  }
  const bool same_leave =
      backend_.left && backend.left && IsSameStart(backend, backend_);
  if (!same_leave) leave_recorded_ = false;
  if (!IsSameStart(backend, backend_)) adaptive_limit_.Reset();
  backend_ = std::move(backend);
  ctx.Raise(LocalBackendChanged{backend_});
  if (backend_.state == BackendState::kReady) {
    StartQueued(ctx);
  } else if (AnnouncementFilter::IsLeaving(backend_.state)) {
    // Requests that have not started can run at another backend server.
    const Errc reason = backend_.left ? Errc::kDraining : Errc::kNotReady;
    RefuseQueued(ctx, reason);
    RefuseAwaitingBody(ctx, reason);
  }
}

}  // namespace buckthorncart
