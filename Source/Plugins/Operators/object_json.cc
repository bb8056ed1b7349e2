#include "Plugins/Operators/object_json.h"

#include <algorithm>
#include <string_view>

#include "Config/value_parsers.h"

namespace buckthorncart {
namespace {

constexpr double kPpmPerPercent = 10'000.0;

std::string FormatPercent(uint32_t ppm) {
  std::string text = std::to_string(ppm / kPpmPerPercent);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

/// Formats a traffic split in the form "a:90,b:10".
std::string FormatSplit(const std::vector<WeightedService>& split) {
  std::string text;
  for (const WeightedService& part : split) {
    if (!text.empty()) text += ",";
    text += part.service + ":" + std::to_string(part.weight);
  }
  return text;
}

/// Formats a rate in requests in 1,000 s as requests a second.
std::string FormatRate(uint64_t rate_per_1000_s) {
  constexpr double kSecondsOfRate = 1'000.0;
  return nlohmann::json(static_cast<double>(rate_per_1000_s) / kSecondsOfRate)
      .dump();
}

/// Formats the first digits of each digest, which identify a key to those who
/// have it without confirming a guess.
std::string FormatKeys(const std::set<KeyDigest>& keys) {
  constexpr size_t kShownDigits = 8;
  std::string text;
  for (const KeyDigest& key : keys) {
    if (!text.empty()) text += ",";
    text += FormatKeyDigest(key).substr(0, kShownDigits);
  }
  return text;
}

constexpr std::string_view kLabelPrefix = "label.";

/// Keys that the rows of a subject can have; `labels` is true if they can also
/// have `label.NAME` keys.
struct SubjectKeys {
  std::vector<std::string_view> keys;
  bool labels = false;
};

SubjectKeys KeysOfSubject(ShowSubject subject) {
  switch (subject) {
    case ShowSubject::kServices:
      return {{"name", "availability", "latency", "latency-share"}, false};
    case ShowSubject::kRoutes:
      return {
          {"name", "path", "service", "class", "repeatable", "timeout", "host",
           "split", "attempts", "priority", "target-latency", "public"},
          false};
    case ShowSubject::kRules:
      return {{"name", "service", "action", "class", "data-centre"}, true};
    case ShowSubject::kWorkspaces:
      return {{"name", "keys", "priority", "rate", "burst"}, false};
    case ShowSubject::kDaemons:
      break;
  }
  return {{"address", "vm", "data-centre", "status", "service",
           "backend-server", "slots"},
          true};
}

/// Converts the value of a condition to the form used in rows, for example "1s"
/// to "1000ms".
std::string CanonicalValue(const Assignment& condition) {
  if (condition.key == "latency" || condition.key == "timeout" ||
      condition.key == "target-latency") {
    const auto ms = ParseMilliseconds(condition.value);
    if (ms) return std::to_string(*ms) + "ms";
  }
  if (condition.key == "availability" || condition.key == "latency-share") {
    const auto ppm = ParseShare(condition.value);
    if (ppm) return FormatPercent(*ppm);
  }
  return condition.value;
}

bool MatchesConditions(const nlohmann::ordered_json& row,
                       const std::vector<Assignment>& conditions) {
  return std::all_of(
      conditions.begin(), conditions.end(), [&row](const auto& condition) {
        const auto it = row.find(condition.key);
        if (it == row.end()) return false;
        const std::string text =
            it->is_string() ? it->template get<std::string>() : it->dump();
        return text == CanonicalValue(condition);
      });
}

template <typename Object>
nlohmann::ordered_json ListMatching(
    const std::map<std::string, Object>& objects,
    const std::vector<Assignment>& conditions) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& [name, object] : objects) {
    nlohmann::ordered_json row = ToJson(object);
    if (MatchesConditions(row, conditions)) list.push_back(std::move(row));
  }
  return list;
}

}  // namespace

nlohmann::ordered_json ToJson(const Service& service) {
  return {{"name", service.name},
          {"availability", FormatPercent(service.availability_ppm)},
          {"latency", std::to_string(service.latency_ms) + "ms"},
          {"latency-share", FormatPercent(service.latency_ppm)}};
}

nlohmann::ordered_json ToJson(const Route& route) {
  return {{"name", route.name},
          {"path", route.path},
          {"service", route.service},
          {"class", NameOf(route.request_class)},
          {"repeatable", route.repeatable ? "yes" : "no"},
          {"timeout", std::to_string(route.timeout_ms) + "ms"},
          {"host", route.host},
          {"split", FormatSplit(route.split)},
          {"attempts", route.max_attempts},
          {"priority", route.priority},
          {"target-latency", std::to_string(route.target_latency_ms) + "ms"},
          {"public", route.is_public ? "yes" : "no"}};
}

nlohmann::ordered_json ToJson(const Rule& rule) {
  nlohmann::ordered_json row = {{"name", rule.name},
                                {"service", rule.service},
                                {"action", NameOf(rule.action)},
                                {"class", rule.request_class},
                                {"data-centre", rule.data_centre}};
  for (const auto& [label, value] : rule.labels) {
    row[std::string(kLabelPrefix) + label] = value;
  }
  return row;
}

nlohmann::ordered_json ToJson(const Workspace& workspace) {
  return {{"name", workspace.name},
          {"keys", FormatKeys(workspace.keys)},
          {"priority", workspace.priority ? std::to_string(*workspace.priority)
                                          : std::string()},
          {"rate", FormatRate(workspace.rate_per_1000_s)},
          {"burst", workspace.burst}};
}

nlohmann::ordered_json ToJson(const Member& member) {
  nlohmann::ordered_json row = {
      {"address", member.address.ToString()},
      {"vm", member.address.IpString()},
      {"data-centre", member.data_centre},
      {"status", NameOf(member.status)},
      {"service", member.backend.service},
      {"backend-server", NameOf(member.backend.state)},
      {"slots", member.backend.slots}};
  for (const auto& [label, value] : member.backend.labels) {
    row[std::string(kLabelPrefix) + label] = value;
  }
  return row;
}

Result<void> CheckConditions(const ShowStatement& show) {
  const SubjectKeys known = KeysOfSubject(show.subject);
  for (const Assignment& condition : show.where) {
    const auto& keys = known.keys;
    if (std::find(keys.begin(), keys.end(), condition.key) != keys.end()) {
      continue;
    }
    if (known.labels && condition.key.starts_with(kLabelPrefix)) continue;
    std::string expected;
    for (const std::string_view key : keys) {
      expected += (expected.empty() ? "" : " | ") + std::string(key);
    }
    if (known.labels) expected += " | label.NAME";
    return Fail(Errc::kInvalidValue, "condition on " + condition.key, expected,
                "use a key of " + std::string(NameOf(show.subject)));
  }
  return {};
}

nlohmann::ordered_json ListMembers(const std::vector<Member>& members,
                                   const ShowStatement& show) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const Member& member : members) {
    nlohmann::ordered_json row = ToJson(member);
    if (MatchesConditions(row, show.where)) list.push_back(std::move(row));
  }
  return list;
}

nlohmann::ordered_json ListObjects(const Configuration& configuration,
                                   const ShowStatement& show) {
  switch (show.subject) {
    case ShowSubject::kServices:
      return ListMatching(configuration.services, show.where);
    case ShowSubject::kRoutes:
      return ListMatching(configuration.routes, show.where);
    case ShowSubject::kRules:
      return ListMatching(configuration.rules, show.where);
    case ShowSubject::kWorkspaces:
      return ListMatching(configuration.workspaces, show.where);
    case ShowSubject::kDaemons:
      break;
  }
  return nlohmann::ordered_json::array();
}

}  // namespace buckthorncart
