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

/// Timeout of a request. The platform may hold a watch open for its wait time,
/// so that time is added.
Duration TimeoutOf(Context& ctx, const PlatformRequest& request) {
  const auto* watch = std::get_if<WatchRow>(&request);
  const uint32_t wait_ms = watch == nullptr ? 0 : watch->wait_ms;
  return std::chrono::milliseconds(ctx.Settings().platform_timeout_ms +
                                   wait_ms);
}

}  // namespace

void BoundedPlatformQueue::Attach(Context& ctx) {
  ctx.Shared().platform = this;
  ctx.AllMetrics().Add(&counters_);
  ctx.AllMetrics().AddHistogram("platform_call_seconds", &call_durations_);
  ctx.AllMetrics().AddGauge("platform_queue_length", [this] {
    return static_cast<double>(QueueLength());
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
  if (QueueLength() >= ctx.Settings().platform_queue_limit) {
    counters_.Add(PlatformCounter::kQueueFull);
    return std::nullopt;
  }
  const uint64_t tag = ++next_tag_;
  const Duration timeout = TimeoutOf(ctx, request);
  queues_[static_cast<size_t>(priority)].push_back(
      {tag, ctx.Now(), std::move(request)});
  ctx.SetTimerIn(timeout, TimerKind::kPlatformTimeout, tag);
  SendNext(ctx);
  return tag;
}

void BoundedPlatformQueue::Abandon(Context& ctx, uint64_t tag) {
  for (auto& queue : queues_) {
    std::erase_if(queue,
                  [tag](const auto& queued) { return queued.tag == tag; });
  }
  if (in_flight_.erase(tag) > 0) SendNext(ctx);
}

void BoundedPlatformQueue::SendNext(Context& ctx) {
  for (auto& queue : queues_) {
    while (!queue.empty() &&
           in_flight_.size() < ctx.Settings().platform_concurrency) {
      QueuedRequest queued = std::move(queue.front());
      queue.pop_front();
      SendRequest(ctx, std::move(queued));
    }
  }
}

void BoundedPlatformQueue::SendRequest(Context& ctx, QueuedRequest queued) {
  counters_.Add(PlatformCounter::kRequests);
  in_flight_.emplace(queued.tag, ctx.Now());
  ctx.Emit(CallPlatform{queued.tag, std::move(queued.request)});
}

void BoundedPlatformQueue::HandleReply(Context& ctx,
                                       const PlatformReplied& replied) {
  // A reply that arrives after the timeout is ignored; the timeout has already
  // freed the slot.
  const auto sent = in_flight_.find(replied.tag);
  if (sent == in_flight_.end()) return;
  call_durations_.Observe(ctx.Now() - sent->second);
  in_flight_.erase(sent);
  switch (replied.reply.status) {
    case PlatformStatus::kOk:
    case PlatformStatus::kConditionFailed:
    case PlatformStatus::kHistoryLost:
      SetAvailable(ctx, true);
      break;
    case PlatformStatus::kUnavailable:
      counters_.Add(PlatformCounter::kUnavailable);
      SetAvailable(ctx, false);
      break;
    case PlatformStatus::kUnknown:
      counters_.Add(PlatformCounter::kUnknown);
      SetAvailable(ctx, false);
      break;
  }
  SendNext(ctx);
}

void BoundedPlatformQueue::HandleTimeout(Context& ctx, uint64_t tag) {
  if (in_flight_.contains(tag)) {
    ctx.Raise(PlatformReplied{tag, {PlatformStatus::kUnknown, {}, {}, 0}});
    return;
  }
  for (auto& queue : queues_) {
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

void BoundedPlatformQueue::SetAvailable(Context& ctx, bool available) {
  if (std::exchange(available_, available) == available) return;
  ctx.Log(LogTopic::kPlatformState,
          {{"state", available ? "available" : "unavailable"}},
          available ? LogLevel::kInfo : LogLevel::kWarning);
}

size_t BoundedPlatformQueue::QueueLength() const {
  size_t n = 0;
  for (const auto& queue : queues_) n += queue.size();
  return n;
}

}  // namespace buckthorncart
