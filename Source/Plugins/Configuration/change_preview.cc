#include "Plugins/Configuration/change_preview.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "Config/parser.h"
#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"
#include "Kernel/url_query.h"
#include "Plugins/Operators/object_json.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kOperators,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ChangePreview>();
    },
    ConfigurationSource::kAccepted);

using Json = nlohmann::ordered_json;

/// Lists the keys whose values differ between two objects. A key that is
/// missing on one side has the value null there.
Json DiffKeys(const Json& before, const Json& after) {
  Json list = Json::array();
  std::set<std::string> keys;
  for (const auto& [key, value] : before.items()) keys.insert(key);
  for (const auto& [key, value] : after.items()) keys.insert(key);
  for (const std::string& key : keys) {
    if (key == "name") continue;
    const Json from = before.value(key, Json());
    const Json to = after.value(key, Json());
    if (from == to) continue;
    list.push_back({{"key", key}, {"from", from}, {"to", to}});
  }
  return list;
}

template <typename Object>
void AppendDifferences(const std::string& kind,
                       const std::map<std::string, Object>& before,
                       const std::map<std::string, Object>& after, Json& list) {
  const auto add = [&](EditAction action, const std::string& name,
                       const Json& from, const Json& to) {
    list.push_back({{"action", NameOf(action)},
                    {"object", kind + " " + name},
                    {"changes", DiffKeys(from, to)}});
  };
  for (const auto& [name, object] : before) {
    const auto it = after.find(name);
    if (it == after.end()) {
      add(EditAction::kDelete, name, ToJson(object), Json::object());
    } else if (!(it->second == object)) {
      add(EditAction::kChange, name, ToJson(object), ToJson(it->second));
    }
  }
  for (const auto& [name, object] : after) {
    if (before.contains(name)) continue;
    add(EditAction::kCreate, name, Json::object(), ToJson(object));
  }
}

Result<Json> Preview(const Snapshot& held, const std::string& text) {
  const auto statement = ParseStatement(text);
  if (!statement) return tl::unexpected(statement.error());
  const auto* change = std::get_if<ChangeStatement>(&*statement);
  if (change == nullptr) {
    return Fail(Errc::kSyntax, "statement", "create | change | delete",
                "send queries to /v1/query");
  }
  const auto result = ApplyEdits(held.configuration, change->edits);
  if (!result) return tl::unexpected(result.error());
  Json differences = Json::array();
  const Configuration& before = held.configuration;
  AppendDifferences("service", before.services, result->services, differences);
  AppendDifferences("route", before.routes, result->routes, differences);
  AppendDifferences("rule", before.rules, result->rules, differences);
  AppendDifferences("workspace", before.workspaces, result->workspaces,
                    differences);
  return Json{{"result", "would-accept"},
              {"base", held.version},
              {"differences", std::move(differences)}};
}

}  // namespace

void ChangePreview::Attach(Context& /*ctx*/) {}
void ChangePreview::Handle(Context& /*ctx*/, const Event& /*event*/) {}

bool ChangePreview::HandleOperator(Context& ctx,
                                   const OperatorRequested& request) {
  if (ParseUrl(request.http.path).path != "/v1/preview") return false;
  if (!ctx.Shared().ready) {
    ctx.AnswerFailure(
        request.request, 503,
        {Errc::kNotReady, "daemon " + ctx.Settings().self.ToString(),
         "a daemon that holds the current configuration",
         "try again later or use another daemon"});
    return true;
  }
  const auto preview = Preview(*ctx.Shared().held, request.http.body.Text());
  if (preview) {
    ctx.AnswerJson(request.request, 200, preview->dump() + "\n");
  } else {
    ctx.AnswerFailure(request.request, 400, preview.error());
  }
  return true;
}

}  // namespace buckthorncart
