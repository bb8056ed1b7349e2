#include "Plugins/Configuration/operation_lookup.h"

#include <memory>
#include <utility>

#include "Base/json_text.h"
#include "Config/value_parsers.h"
#include "Kernel/context.h"
#include "Kernel/platform_queue.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"
#include "Plugins/Configuration/configuration_rows.h"
#include "Plugins/Configuration/operation_answers.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAcceptance,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<OperationLookup>();
    },
    ConfigurationSource::kAccepted);

constexpr std::string_view kOperationsPath = "/v1/operations/";

}  // namespace

void OperationLookup::Attach(Context& /*ctx*/) {}

void OperationLookup::Handle(Context& ctx, const Event& event) {
  const auto* replied = std::get_if<PlatformReplied>(&event);
  if (replied == nullptr) return;
  const auto it = pending_lookups_.find(replied->tag);
  if (it == pending_lookups_.end()) return;
  const PendingLookup lookup = it->second;
  pending_lookups_.erase(it);
  HandleReply(ctx, lookup, replied->reply);
}

bool OperationLookup::HandleOperator(Context& ctx,
                                     const OperatorRequested& request) {
  const Url url = ParseUrl(request.http.path);
  if (!url.path.starts_with(kOperationsPath)) return false;
  const std::string id = url.path.substr(kOperationsPath.size());
  const bool settle = url.Get("settle") == "yes";
  if (!IsName(id)) {
    ctx.AnswerFailure(request.request, OperationStatus(Errc::kInvalidValue),
                      {Errc::kInvalidValue, "operation " + id,
                       "1 to 64 of a-z A-Z 0-9 - _ .", "correct the id"});
    return true;
  }
  const std::string key = OperationKey(id);
  PlatformRequest platform_request = ReadRows{{key}};
  if (settle) {
    platform_request =
        Transaction{{{key, std::nullopt}}, {{key, Encode(OperationRow{0, 0})}}};
  }
  const auto tag = ctx.Shared().platform->Submit(
      ctx, PlatformPriority::kOperator, std::move(platform_request));
  if (tag) {
    pending_lookups_[*tag] = {request.request, id, settle};
    return true;
  }
  ctx.AnswerFailure(request.request, OperationStatus(Errc::kQueueFull),
                    {Errc::kQueueFull, "requests to the platform",
                     "free space in the queue", "try again"});
  return true;
}

void OperationLookup::HandleReply(Context& ctx, const PendingLookup& lookup,
                                  const PlatformReply& reply) {
  const auto row = reply.rows.find(OperationKey(lookup.id));
  nlohmann::ordered_json body = {{"operation", lookup.id}};
  if (row != reply.rows.end()) {
    const auto outcome = Decode<OperationRow>(row->second);
    const uint64_t version = outcome ? outcome->version : 0;
    body["result"] = version == 0 ? "withdrawn" : "accepted";
    if (version != 0) body["version"] = version;
    ctx.AnswerJson(lookup.request, 200, FormatJson(body) + "\n");
    return;
  }
  if (reply.status != PlatformStatus::kOk) {
    ctx.AnswerFailure(lookup.request,
                      OperationStatus(Errc::kPlatformUnavailable),
                      {Errc::kPlatformUnavailable, "operation " + lookup.id,
                       "an available table service", "try again later"});
    return;
  }
  if (lookup.settle) {
    body["result"] = "withdrawn";
    ctx.AnswerJson(lookup.request, 200, FormatJson(body) + "\n");
    return;
  }
  ctx.AnswerFailure(lookup.request, 404,
                    {Errc::kUnknownOperation, "operation " + lookup.id,
                     "the id of an accepted operation",
                     "add --settle to withdraw it permanently"});
}

}  // namespace buckthorncart
