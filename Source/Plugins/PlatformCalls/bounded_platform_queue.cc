#include "Plugins/PlatformCalls/bounded_platform_queue.h"

#include <memory>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kPlatformQueue, [](const KernelSettings& /*settings*/) {
      return std::make_unique<BoundedPlatformQueue>();
    });

/// A watch may be held by the platform before it is late.
Duration TimeoutOf(Context& ctx, const PlatformRequest& request) {
  const auto* watch = std::get_if<WatchRow>(&request);
  const uint32_t held_ms = watch == nullptr ? 0 : watch->wait_ms;
  return std::chrono::milliseconds(ctx.Settings().platform_timeout_ms +
                                   held_ms);
}

}  // namespace

void BoundedPlatformQueue::Attach(Context& ctx) {
  ctx.Shared().platform = this;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddHistogram("platform_call_seconds", &times_);
  ctx.AllMetrics().AddGauge("platform_queue_length", [this] {
    return static_cast<double>(WaitingCount());
  });
  ctx.AllMetrics().AddGauge("platform_available",
                            [this] { return available_ ? 1.0 : 0.0; });
}

void BoundedPlatformQueue::Handle(Context& ctx, const Event& event) {
  if (const auto* replied = std::get_if<PlatformReplied>(&event)) {
    HandleReply(ctx, *replied);
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer != nullptr && timer->kind == TimerKind::kPlatformTimeout) {
    HandleTimeout(ctx, timer->argument);
  }
}

std::optional<uint64_t> BoundedPlatformQueue::Submit(Context& ctx,
                                                     PlatformPriority priority,
                                                     PlatformRequest request) {
  if (WaitingCount() >= ctx.Settings().platform_queue_limit) {
    counters_.Add(PlatformCounter::kQueueFull);
    return std::nullopt;
  }
  const uint64_t tag = ++next_tag_;
  const Duration timeout = TimeoutOf(ctx, request);
  waiting_[static_cast<size_t>(priority)].push_back(
      {tag, ctx.Now(), std::move(request)});
  ctx.SetTimerIn(timeout, TimerKind::kPlatformTimeout, tag);
  SendNext(ctx);
  return tag;
}

void BoundedPlatformQueue::SendNext(Context& ctx) {
  for (auto& queue : waiting_) {
    while (!queue.empty() &&
           in_flight_.size() < ctx.Settings().platform_concurrency) {
      Waiting waiting = std::move(queue.front());
      queue.pop_front();
      SendOne(ctx, std::move(waiting));
    }
  }
}

void BoundedPlatformQueue::SendOne(Context& ctx, Waiting waiting) {
  counters_.Add(PlatformCounter::kRequests);
  in_flight_.emplace(waiting.tag, ctx.Now());
  ctx.Emit(CallPlatform{waiting.tag, std::move(waiting.request)});
}

void BoundedPlatformQueue::HandleReply(Context& ctx,
                                       const PlatformReplied& replied) {
  // A reply after the timeout frees no slot: the timeout has done so.
  const auto sent = in_flight_.find(replied.tag);
  if (sent == in_flight_.end()) return;
  times_.Observe(ctx.Now() - sent->second);
  in_flight_.erase(sent);
  switch (replied.reply.status) {
    case PlatformStatus::kOk:
    case PlatformStatus::kConditionFailed:
    case PlatformStatus::kHistoryLost:
      NoteState(ctx, true);
      break;
    case PlatformStatus::kUnavailable:
      counters_.Add(PlatformCounter::kUnavailable);
      NoteState(ctx, false);
      break;
    case PlatformStatus::kUnknown:
      counters_.Add(PlatformCounter::kUnknown);
      NoteState(ctx, false);
      break;
  }
  SendNext(ctx);
}

void BoundedPlatformQueue::HandleTimeout(Context& ctx, uint64_t tag) {
  if (in_flight_.contains(tag)) {
    ctx.Raise(PlatformReplied{tag, {PlatformStatus::kUnknown, {}, {}, 0}});
    return;
  }
  for (auto& queue : waiting_) {
    for (auto it = queue.begin(); it != queue.end(); ++it) {
      if (it->tag != tag) continue;
      queue.erase(it);
      counters_.Add(PlatformCounter::kUnavailable);
      ctx.Raise(
          PlatformReplied{tag, {PlatformStatus::kUnavailable, {}, {}, 0}});
      return;
    }
  }
}

void BoundedPlatformQueue::NoteState(Context& ctx, bool available) {
  if (std::exchange(available_, available) == available) return;
  ctx.Log(LogTopic::kPlatformState,
          {{"state", available ? "available" : "unavailable"}},
          available ? LogLevel::kInfo : LogLevel::kWarning);
}

size_t BoundedPlatformQueue::WaitingCount() const {
  size_t n = 0;
  for (const auto& queue : waiting_) n += queue.size();
  return n;
}

}  // namespace buckthorncart
