#pragma once
/// \file
/// Definitions of `BurnReporter`; include burn_report.h.

#include <map>
#include <utility>
#include <vector>

#include "Base/json_text.h"
#include "Kernel/context.h"
#include "Kernel/url_query.h"
#include "Plugins/Reports/burn_report.h"

namespace buckthorncart {

template <typename Policy>
void BurnReporter<Policy>::Attach(Context& ctx) {
  ctx.AllMetrics().Add(&counters_);
}

template <typename Policy>
void BurnReporter<Policy>::Handle(Context& ctx, const Event& event) {
  if (const auto* ended = std::get_if<CallEnded>(&event)) {
    RecordCall(ctx, *ended);
    return;
  }
  if (std::holds_alternative<ConfigurationAdopted>(event)) {
    objectives_.Prune(ctx);
    return;
  }
  fan_out_.Handle(ctx, event);
}

template <typename Policy>
void BurnReporter<Policy>::RecordCall(Context& ctx, const CallEnded& ended) {
  const BurnCounts counts = objectives_.Record(ctx, ended);
  if (counts.calls == 0) counters_.Add(BurnCounter::kExcluded);
  counters_.Add(BurnCounter::kCalls, counts.calls);
  counters_.Add(BurnCounter::kFailures, counts.failures);
  counters_.Add(BurnCounter::kSlow, counts.slow);
}

template <typename Policy>
bool BurnReporter<Policy>::HandleOperator(Context& ctx,
                                          const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (url.path != "/v1/report/burn") return false;
  if (url.Get("local") == "yes") {
    ctx.AnswerJson(request.request, 200,
                   EncodeBurnCounts(objectives_.Report(ctx.Now())));
    return true;
  }
  const std::string service(url.Get("service"));
  const auto& services = ctx.Shared().held->configuration.services;
  if (!service.empty() && !services.contains(service)) {
    ctx.AnswerFailure(
        request.request, 404,
        {Errc::kUnknownService, "service " + service, "a configured service",
         "list them: buckthorncart show services"});
    return true;
  }
  QueryDaemons(ctx, request.request, service);
  return true;
}

template <typename Policy>
void BurnReporter<Policy>::QueryDaemons(Context& ctx, uint64_t request,
                                        const std::string& service) {
  fan_out_.Start(ctx, LiveDaemons(ctx),
                 {"GET", "/v1/report/burn?local=yes", {}, ""},
                 [request, service](Context& callback_ctx, const auto& result) {
                   AnswerFromReplies(callback_ctx, request, service, result);
                 });
}

template <typename Policy>
void BurnReporter<Policy>::AnswerFromReplies(Context& ctx, uint64_t request,
                                             const std::string& service,
                                             const FanOutResult& result) {
  std::map<std::string, BurnReport> totals;
  std::vector<std::string> missing;
  for (const Address daemon : result.missing) {
    missing.push_back(daemon.ToString());
  }
  size_t replied = 0;
  for (const auto& [daemon, reply] : result.replies) {
    if (AddBurnCounts(reply.body, totals)) {
      ++replied;
    } else {
      missing.push_back(daemon.ToString());
    }
  }
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const auto& [name, configured] :
       ctx.Shared().held->configuration.services) {
    if (!service.empty() && name != service) continue;
    for (auto& row : BurnRows(configured, totals[name]))
      rows.push_back(std::move(row));
  }
  const nlohmann::ordered_json body = {
      {"daemons", replied}, {"missing", missing}, {"burn", std::move(rows)}};
  ctx.AnswerJson(request, 200, FormatJson(body) + "\n");
}

}  // namespace buckthorncart
