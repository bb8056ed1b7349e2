#include "Plugins/Operators/status_endpoints.h"

#include <memory>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kOperators, [](const KernelSettings& /*settings*/) {
      return std::make_unique<StatusEndpoints>();
    });

}  // namespace

void StatusEndpoints::Attach(Context& /*ctx*/) {}
void StatusEndpoints::Handle(Context& /*ctx*/, const Event& /*event*/) {}

bool StatusEndpoints::HandleOperator(Context& ctx,
                                     const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path == "/live") {
    ctx.AnswerText(request.request, 200, "live\n");
  } else if (url.path == "/ready") {
    AnswerReady(ctx, request.request);
  } else if (url.path == "/metrics") {
    ctx.AnswerText(request.request, 200, ctx.AllMetrics().PrometheusText());
  } else {
    return false;
  }
  return true;
}

void StatusEndpoints::AnswerReady(Context& ctx, uint64_t request) {
  if (ctx.Shared().ready && !ctx.Shared().draining) {
    ctx.AnswerText(request, 200, "ready\n");
    return;
  }
  const Errc reason = ctx.Shared().draining ? Errc::kDraining : Errc::kNotReady;
  ctx.AnswerFailure(request, 503,
                    {reason, "daemon " + ctx.Settings().self.ToString(),
                     "a daemon that holds the current configuration",
                     "wait, or use another daemon"});
}

}  // namespace buckthorncart
