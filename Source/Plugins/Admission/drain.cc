#include "Plugins/Admission/drain.h"

#include <memory>
#include <string>
#include <utility>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(PluginRank::kDrain,
                                       [](const KernelSettings& /*settings*/) {
                                         return std::make_unique<Drain>();
                                       });

/// Time without requests in flight after which the daemon exits. By then peers
/// have received the draining state and callers have been told to
/// use another daemon.
constexpr Duration kIdleBeforeExit = 1s;

}  // namespace

void Drain::Attach(Context& /*ctx*/) {}

void Drain::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<ShutdownRequested>(event)) {
    if (ctx.Shared().draining) return;
    ctx.Shared().draining = true;
    started_at_ = ctx.Now();
    last_busy_ = ctx.Now();
    ctx.Log(LogTopic::kDraining, {});
    ctx.Raise(DrainStarted{});
    return;
  }
  const auto* timer = std::get_if<TimerFired>(&event);
  if (timer == nullptr || timer->kind != TimerKind::kTick) return;
  if (ctx.Shared().draining) ExitWhenIdle(ctx);
}

void Drain::ExitWhenIdle(Context& ctx) {
  const bool busy = ctx.Shared().active_runs > 0 ||
                    ctx.Shared().active_calls > 0 ||
                    ctx.Shared().unrecorded_outcomes > 0;
  const Duration elapsed = ctx.Now() - started_at_;
  if (busy) last_busy_ = ctx.Now();
  const Duration callers_grace =
      std::chrono::milliseconds(ctx.Settings().callers_grace_ms);
  if (elapsed >= callers_grace) ctx.Shared().refusing_callers = true;
  const bool idle = ctx.Now() - last_busy_ >= kIdleBeforeExit;
  const bool done = idle || (ctx.Shared().refusing_callers && !busy);
  const Duration max_duration =
      std::chrono::milliseconds(ctx.Settings().drain_limit_ms);
  const bool at_limit = elapsed >= max_duration;
  // Also after the exit has been requested: the process stays until callers
  // have read their answers, and meanwhile takes requests on open connections.
  const bool cuts_calls = at_limit && !done && !limit_reached_;
  if (cuts_calls) {
    limit_reached_ = true;
    ctx.Raise(DrainLimitReached{});
  }
  if (!done && !at_limit) return;
  if (std::exchange(exit_requested_, true)) return;
  ctx.Log(LogTopic::kDrained,
          {{"calls", std::to_string(ctx.Shared().active_calls)}});
  ctx.Emit(Exit{});
}

}  // namespace buckthorncart
