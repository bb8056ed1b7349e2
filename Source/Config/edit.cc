#include "Config/edit.h"

#include <algorithm>

#include "Config/configuration.h"
#include "Config/value_parsers.h"

namespace buckthorncart {
namespace {

Failure InvalidValue(const Edit& edit, const Assignment& assignment,
                     std::string expected) {
  return {Errc::kInvalidValue,
          edit.ObjectName() + " " + assignment.key + "=" + assignment.value,
          std::move(expected), "correct the value"};
}

Failure UnknownKey(const Edit& edit, const Assignment& assignment,
                   std::string known_keys) {
  return {Errc::kInvalidValue, edit.ObjectName() + " " + assignment.key,
          "one of " + std::move(known_keys), "correct the key"};
}

/// Failure of an assignment or edit, or nothing if it has been applied.
using EditResult = std::optional<Failure>;

/// Sets `target` to the parsed value. Fails if the value could not be parsed.
template <typename T>
EditResult SetField(const Edit& edit, const Assignment& assignment,
                    const std::optional<T>& parsed, T& target,
                    std::string expected) {
  if (!parsed) return InvalidValue(edit, assignment, std::move(expected));
  target = *parsed;
  return std::nullopt;
}

std::optional<std::string> ParseNameValue(const std::string& value) {
  if (!IsName(value)) return std::nullopt;
  return value;
}

std::optional<std::string> ParseOptionalName(const std::string& value) {
  if (value.empty()) return value;
  return ParseNameValue(value);
}

std::optional<bool> ParseYesNo(std::string_view value) {
  if (value == "yes") return true;
  if (value == "no") return false;
  return std::nullopt;
}

std::optional<std::string> ParsePath(const std::string& value) {
  if (value.empty() || value.front() != '/') return std::nullopt;
  if (value.find_first_of(" \t?#\"") != std::string::npos) return std::nullopt;
  return value;
}

constexpr const char* kExpectedName = "1 to 64 of a-z A-Z 0-9 - _ .";
constexpr const char* kExpectedShare = "a percentage such as 99.9";
constexpr const char* kExpectedDuration = "a duration such as 250ms, 3s or 2m";

EditResult Assign(const Edit& edit, const Assignment& a, Service& service) {
  if (a.key == "availability") {
    return SetField(edit, a, ParseShare(a.value), service.availability_ppm,
                    kExpectedShare);
  }
  if (a.key == "latency") {
    return SetField(edit, a, ParseMilliseconds(a.value), service.latency_ms,
                    kExpectedDuration);
  }
  if (a.key == "latency-share") {
    return SetField(edit, a, ParseShare(a.value), service.latency_ppm,
                    kExpectedShare);
  }
  return UnknownKey(edit, a, "availability | latency | latency-share");
}

/// Parses weighted services such as "a:90,b:10".
std::optional<std::vector<WeightedService>> ParseSplit(std::string_view text) {
  std::vector<WeightedService> split;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const size_t colon = item.find(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto weight = ParseCount(item.substr(colon + 1));
    if (!IsName(item.substr(0, colon)) || !weight) return std::nullopt;
    split.push_back({std::string(item.substr(0, colon)), *weight});
  }
  return split;
}

/// Assigns the fields of a route that control how its requests are handled.
EditResult AssignHandling(const Edit& edit, const Assignment& a, Route& route) {
  constexpr const char* kExpectedCount = "a whole number up to 1000000";
  if (a.key == "attempts") {
    return SetField(edit, a, ParseCount(a.value), route.max_attempts,
                    kExpectedCount);
  }
  if (a.key == "priority") {
    return SetField(edit, a, ParseCount(a.value), route.priority,
                    kExpectedCount);
  }
  if (a.key == "public") {
    return SetField(edit, a, ParseYesNo(a.value), route.is_public, "yes | no");
  }
  if (a.key == "target-latency") {
    return SetField(edit, a, ParseMilliseconds(a.value),
                    route.target_latency_ms, kExpectedDuration);
  }
  return UnknownKey(edit, a,
                    "path | host | service | split | class | repeatable | "
                    "timeout | attempts | priority | target-latency | public");
}

EditResult Assign(const Edit& edit, const Assignment& a, Route& route) {
  if (a.key == "host") {
    return SetField(edit, a, ParseOptionalName(a.value), route.host,
                    kExpectedName);
  }
  if (a.key == "split") {
    return SetField(edit, a, ParseSplit(a.value), route.split,
                    "NAME:WEIGHT,NAME:WEIGHT");
  }
  if (a.key == "path") {
    return SetField(edit, a, ParsePath(a.value), route.path,
                    "a path that starts with /");
  }
  if (a.key == "service") {
    return SetField(edit, a, ParseNameValue(a.value), route.service,
                    kExpectedName);
  }
  if (a.key == "class") {
    return SetField(edit, a, ParseEnum<RequestClass>(a.value),
                    route.request_class, NamesOf<RequestClass>());
  }
  if (a.key == "repeatable") {
    return SetField(edit, a, ParseYesNo(a.value), route.repeatable, "yes | no");
  }
  if (a.key == "timeout") {
    return SetField(edit, a, ParseMilliseconds(a.value), route.timeout_ms,
                    kExpectedDuration);
  }
  return AssignHandling(edit, a, route);
}

constexpr std::string_view kLabelPrefix = "label.";

EditResult AssignLabel(const Edit& edit, const Assignment& a, Rule& rule) {
  const std::string label = a.key.substr(kLabelPrefix.size());
  if (!IsName(label)) return InvalidValue(edit, a, kExpectedName);
  if (a.value.empty()) {
    rule.labels.erase(label);
    return std::nullopt;
  }
  return SetField(edit, a, ParseNameValue(a.value), rule.labels[label],
                  kExpectedName);
}

std::optional<std::string> ParseClassName(const std::string& value) {
  if (value.empty() || ParseEnum<RequestClass>(value)) return value;
  return std::nullopt;
}

EditResult Assign(const Edit& edit, const Assignment& a, Rule& rule) {
  if (a.key == "service") {
    return SetField(edit, a, ParseNameValue(a.value), rule.service,
                    kExpectedName);
  }
  if (a.key == "action") {
    return SetField(edit, a, ParseEnum<RuleAction>(a.value), rule.action,
                    NamesOf<RuleAction>());
  }
  if (a.key == "class") {
    return SetField(edit, a, ParseClassName(a.value), rule.request_class,
                    NamesOf<RequestClass>());
  }
  if (a.key == "data-centre") {
    return SetField(edit, a, ParseOptionalName(a.value), rule.data_centre,
                    kExpectedName);
  }
  if (a.key.starts_with(kLabelPrefix)) return AssignLabel(edit, a, rule);
  return UnknownKey(edit, a,
                    "service | action | class | data-centre | label.NAME");
}

/// Parses a priority, or none from an empty value.
std::optional<std::optional<uint32_t>> ParsePriority(std::string_view value) {
  if (value.empty()) return std::optional<uint32_t>();
  const auto priority = ParseCount(value);
  if (!priority) return std::nullopt;
  return priority;
}

EditResult Assign(const Edit& edit, const Assignment& a, Workspace& workspace) {
  if (a.key == "keys") {
    return SetField(edit, a, ParseKeyDigests(a.value), workspace.keys,
                    "SHA-256 digests of the keys, 64 hexadecimal digits each, "
                    "separated by commas");
  }
  if (a.key == "priority") {
    return SetField(edit, a, ParsePriority(a.value), workspace.priority,
                    "a whole number up to 1000000 or nothing");
  }
  if (a.key == "rate") {
    return SetField(edit, a, ParseRate(a.value), workspace.rate_per_1000_s,
                    "requests a second such as 2.5");
  }
  if (a.key == "burst") {
    return SetField(edit, a, ParseCount(a.value), workspace.burst,
                    "a whole number up to 1000000");
  }
  return UnknownKey(edit, a, "keys | priority | rate | burst");
}

template <typename Object>
EditResult SetObject(const Edit& edit, std::map<std::string, Object>& objects) {
  const auto it = objects.find(edit.name);
  const bool exists = it != objects.end();
  if (edit.action == EditAction::kCreate && exists) {
    return Failure{Errc::kDuplicateObject, edit.ObjectName(),
                   "a name that is not in use",
                   "change the object or choose another name"};
  }
  if (edit.action == EditAction::kChange && !exists) {
    return Failure{Errc::kUnknownObject, edit.ObjectName(),
                   "the name of an existing object", "create it first"};
  }
  Object object = exists ? it->second : Object{};
  object.name = edit.name;
  for (const Assignment& assignment : edit.assignments) {
    EditResult failure = Assign(edit, assignment, object);
    if (failure) return failure;
  }
  objects[edit.name] = std::move(object);
  return std::nullopt;
}

template <typename Object>
EditResult ApplyOne(const Edit& edit, std::map<std::string, Object>& objects) {
  if (edit.action != EditAction::kDelete) return SetObject(edit, objects);
  if (objects.erase(edit.name) == 1) return std::nullopt;
  return Failure{Errc::kUnknownObject, edit.ObjectName(),
                 "the name of an existing object", "correct the name"};
}

EditResult ApplyOne(const Edit& edit, Configuration& configuration) {
  if (!IsName(edit.name)) {
    return Failure{Errc::kInvalidValue, edit.ObjectName(), kExpectedName,
                   "choose another name"};
  }
  switch (edit.kind) {
    case ObjectKind::kService:
      return ApplyOne(edit, configuration.services);
    case ObjectKind::kRoute:
      return ApplyOne(edit, configuration.routes);
    case ObjectKind::kRule:
      return ApplyOne(edit, configuration.rules);
    case ObjectKind::kWorkspace:
      return ApplyOne(edit, configuration.workspaces);
  }
  return Failure{Errc::kInvalidValue, "kind", NamesOf<ObjectKind>(), ""};
}

/// Fails if a route or rule still refers to a service that the edits delete.
/// This failure is more helpful to the operator than the one for the dangling
/// reference, because it names the deleted service and the object that uses it.
EditResult FindUseOfDeletedService(const Configuration& result,
                                   const std::vector<Edit>& edits) {
  for (const Edit& edit : edits) {
    const bool deletes_service =
        edit.action == EditAction::kDelete && edit.kind == ObjectKind::kService;
    if (!deletes_service || result.services.contains(edit.name)) continue;
    const auto in_use = [&edit](const std::string& referrer) {
      return Failure{Errc::kServiceInUse, edit.ObjectName() + " <- " + referrer,
                     "a service that nothing refers to",
                     "delete or change " + referrer + " in the same change"};
    };
    for (const auto& [name, route] : result.routes) {
      if (route.split.empty() && route.service == edit.name) {
        return in_use("route " + name);
      }
    }
    for (const auto& [name, rule] : result.rules) {
      if (rule.service == edit.name) return in_use("rule " + name);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string Edit::ObjectName() const {
  return std::string(NameOf(kind)) + " " + name;
}

Result<Configuration> ApplyEditsUnchecked(const Configuration& base,
                                          const std::vector<Edit>& edits) {
  Configuration result = base;
  for (const Edit& edit : edits) {
    EditResult failure = ApplyOne(edit, result);
    if (failure) return tl::unexpected<Failure>(std::move(*failure));
  }
  return result;
}

Result<Configuration> ApplyEdits(const Configuration& base,
                                 const std::vector<Edit>& edits) {
  Result<Configuration> result = ApplyEditsUnchecked(base, edits);
  if (!result) return result;
  EditResult in_use = FindUseOfDeletedService(*result, edits);
  if (in_use) return tl::unexpected<Failure>(std::move(*in_use));
  std::vector<Failure> failures = result->Validate();
  if (failures.empty()) return result;
  return tl::unexpected<Failure>(std::move(failures.front()));
}

}  // namespace buckthorncart
