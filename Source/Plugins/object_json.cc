#include "Plugins/object_json.h"

#include <algorithm>

namespace buckthorncart {
namespace {

constexpr double kPpmPerCent = 10'000.0;

std::string ShareText(uint32_t ppm) {
  std::string text = std::to_string(ppm / kPpmPerCent);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

bool Matches(const nlohmann::ordered_json& object,
             const std::vector<Assignment>& where) {
  return std::all_of(where.begin(), where.end(), [&object](const auto& a) {
    const auto it = object.find(a.key);
    return it != object.end() && it->is_string() &&
           it->template get<std::string>() == a.value;
  });
}

template <typename Object>
nlohmann::ordered_json ListMatching(
    const std::map<std::string, Object>& objects,
    const std::vector<Assignment>& where) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& [name, object] : objects) {
    nlohmann::ordered_json row = ToJson(object);
    if (Matches(row, where)) list.push_back(std::move(row));
  }
  return list;
}

}  // namespace

nlohmann::ordered_json ToJson(const Service& service) {
  return {{"name", service.name},
          {"availability", ShareText(service.availability_ppm)},
          {"latency", std::to_string(service.latency_ms) + "ms"},
          {"latency-share", ShareText(service.latency_ppm)}};
}

nlohmann::ordered_json ToJson(const Route& route) {
  return {{"name", route.name},
          {"path", route.path},
          {"service", route.service},
          {"class", NameOf(route.request_class)},
          {"repeatable", route.repeatable ? "yes" : "no"},
          {"timeout", std::to_string(route.timeout_ms) + "ms"}};
}

nlohmann::ordered_json ToJson(const Rule& rule) {
  nlohmann::ordered_json row = {{"name", rule.name},
                                {"service", rule.service},
                                {"action", NameOf(rule.action)},
                                {"class", rule.request_class},
                                {"data-centre", rule.data_centre}};
  for (const auto& [label, value] : rule.labels) row["label." + label] = value;
  return row;
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
    case ShowSubject::kDaemons:
      break;
  }
  return nlohmann::ordered_json::array();
}

}  // namespace buckthorncart
