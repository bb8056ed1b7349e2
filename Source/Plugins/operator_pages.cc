#include "Plugins/operator_pages.h"

#include <memory>

#include "Config/parser.h"
#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"
#include "Plugins/object_json.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kOperators, [](const KernelSettings& /*settings*/) {
      return std::make_unique<OperatorPages>();
    });

}  // namespace

void OperatorPages::Attach(Context& /*ctx*/) {}
void OperatorPages::Handle(Context& /*ctx*/, const Event& /*event*/) {}

bool OperatorPages::HandleOperator(Context& ctx,
                                   const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path == "/live") {
    ctx.AnswerText(request.request, 200, "live\n");
  } else if (url.path == "/ready") {
    AnswerReady(ctx, request.request);
  } else if (url.path == "/metrics") {
    ctx.AnswerText(request.request, 200, ctx.AllMetrics().PrometheusText());
  } else if (url.path == "/v1/query") {
    AnswerQuery(ctx, request);
  } else {
    return false;
  }
  return true;
}

void OperatorPages::AnswerReady(Context& ctx, uint64_t request) {
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

void OperatorPages::AnswerQuery(Context& ctx,
                                const OperatorRequested& request) {
  const auto statement = ParseStatement(request.http.body);
  if (!statement) {
    ctx.AnswerFailure(request.request, 400, statement.error());
    return;
  }
  const auto* show = std::get_if<ShowStatement>(&*statement);
  if (show == nullptr) {
    ctx.AnswerFailure(
        request.request, 400,
        {Errc::kSyntax, "statement", "show", "send changes to /v1/changes"});
    return;
  }
  const Snapshot& held = *ctx.Shared().held;
  const nlohmann::ordered_json body = {
      {"daemon", ctx.Settings().self.ToString()},
      {"version", held.version},
      {std::string(NameOf(show->subject)),
       ListObjects(held.configuration, *show)}};
  ctx.AnswerJson(request.request, 200, body.dump() + "\n");
}

}  // namespace buckthorncart
