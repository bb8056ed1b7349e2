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

/// Peers have learned of the drain and callers have been told to go elsewhere
/// when nothing has been in flight for so long.
constexpr Duration kQuietBeforeExit = 1s;

}  // namespace

void Drain::Attach(Context& /*ctx*/) {}

void Drain::Handle(Context& ctx, const Event& event) {
  if (std::holds_alternative<ShutdownRequested>(event)) {
    if (ctx.Shared().draining) return;
    ctx.Shared().draining = true;
    began_ = ctx.Now();
    busy_at_ = ctx.Now();
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
  const Duration lasted = ctx.Now() - began_;
  if (busy) busy_at_ = ctx.Now();
  const Duration callers_grace =
      std::chrono::milliseconds(ctx.Settings().callers_grace_ms);
  if (lasted >= callers_grace) ctx.Shared().refusing_callers = true;
  const bool quiet = ctx.Now() - busy_at_ >= kQuietBeforeExit;
  const bool done = quiet || (ctx.Shared().refusing_callers && !busy);
  const Duration limit =
      std::chrono::milliseconds(ctx.Settings().drain_limit_ms);
  if (!done && lasted < limit) return;
  if (std::exchange(ended_, true)) return;
  ctx.Log(LogTopic::kDrained,
          {{"calls", std::to_string(ctx.Shared().active_calls)}});
  ctx.Emit(Exit{});
}

}  // namespace buckthorncart
