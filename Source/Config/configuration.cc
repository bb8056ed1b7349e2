#include "Config/configuration.h"

#include <algorithm>

#include "Base/digest.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kMillion = 1'000'000;
constexpr uint32_t kMaxTimeoutMs = 3'600'000;

/// Returns true if `rule` selects backend servers in `data_centre` with
/// `labels`.
bool Selects(const Rule& rule, const std::string& data_centre,
             const std::map<std::string, std::string>& labels) {
  if (!rule.data_centre.empty() && rule.data_centre != data_centre) {
    return false;
  }
  return std::all_of(
      rule.labels.begin(), rule.labels.end(), [&labels](const auto& required) {
        const auto it = labels.find(required.first);
        return it != labels.end() && it->second == required.second;
      });
}

/// Returns true if `prefix` is a prefix of `path` that ends at a segment
/// boundary.
bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  if (path.size() == prefix.size()) return true;
  return prefix.back() == '/' || path[prefix.size()] == '/';
}

/// Removes the port: "name:80" becomes "name".
std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

Failure UnknownService(const std::string& object, const std::string& service) {
  return {Errc::kUnknownService, object + " -> service " + service,
          "the name of an existing service",
          "create the service in the same change or use another service"};
}

void CheckShare(const std::string& subject, uint32_t ppm,
                std::vector<Failure>& failures) {
  if (ppm > 0 && ppm < kMillion) return;
  failures.push_back({Errc::kInvalidValue, subject,
                      "a share above 0 and below 100 per cent",
                      "use a value such as 99.9"});
}

}  // namespace

uint64_t Configuration::Digest() const { return DigestOf(Encode(*this)); }

std::vector<Failure> Configuration::Validate() const {
  std::vector<Failure> failures;
  for (const auto& [name, service] : services) {
    CheckShare("service " + name + " availability", service.availability_ppm,
               failures);
    CheckShare("service " + name + " latency-share", service.latency_ppm,
               failures);
  }
  std::map<std::string, std::string> route_by_path;
  for (const auto& [name, route] : routes) {
    CheckServices(route, failures);
    if (route.path.empty() || route.path.front() != '/') {
      failures.push_back({Errc::kInvalidValue, "route " + name + " path",
                          "a path that starts with /",
                          "use a value such as path=/name"});
    }
    if (route.timeout_ms == 0 || route.timeout_ms > kMaxTimeoutMs) {
      failures.push_back({Errc::kInvalidValue, "route " + name + " timeout",
                          "1ms to 1h", "use a value such as timeout=500ms"});
    }
    const auto [it, inserted] =
        route_by_path.emplace(route.host + route.path, name);
    if (inserted) continue;
    failures.push_back({Errc::kDuplicateObject,
                        "route " + name + " path " + route.path,
                        "a path that no other route has",
                        "change or delete route " + it->second});
  }
  for (const auto& [name, rule] : rules) {
    if (services.contains(rule.service)) continue;
    failures.push_back(UnknownService("rule " + name, rule.service));
  }
  CheckWorkspaces(failures);
  if (Encode(*this).size() > kMaxConfigurationBytes) {
    failures.push_back(
        {Errc::kTooLarge, "configuration",
         std::to_string(kMaxConfigurationBytes) + " bytes at most",
         "delete objects that are no longer used"});
  }
  return failures;
}

void Configuration::CheckServices(const Route& route,
                                  std::vector<Failure>& failures) const {
  if (route.split.empty() && !services.contains(route.service)) {
    failures.push_back(UnknownService("route " + route.name, route.service));
  }
  uint64_t sum = 0;
  for (const WeightedService& part : route.split) {
    sum += part.weight;
    if (services.contains(part.service)) continue;
    failures.push_back(UnknownService("route " + route.name, part.service));
  }
  if (route.split.empty() || sum > 0) return;
  failures.push_back({Errc::kInvalidValue, "route " + route.name + " split",
                      "a weight above 0",
                      "use a value such as split=a:90,b:10"});
}

void Configuration::CheckWorkspaces(std::vector<Failure>& failures) const {
  std::map<KeyDigest, std::string> workspace_by_key;
  for (const auto& [name, workspace] : workspaces) {
    for (const KeyDigest& key : workspace.keys) {
      const auto [it, inserted] = workspace_by_key.emplace(key, name);
      if (inserted) continue;
      failures.push_back({Errc::kDuplicateObject, "workspace " + name + " keys",
                          "keys that no other workspace has",
                          "remove the key from workspace " + it->second});
    }
  }
}

void Configuration::IndexKeys() {
  workspace_by_key_.clear();
  for (const auto& [name, workspace] : workspaces) {
    for (const KeyDigest& key : workspace.keys) {
      workspace_by_key_.emplace(key, name);
    }
  }
}

const Workspace* Configuration::FindWorkspace(const KeyDigest& digest) const {
  const auto it = workspace_by_key_.find(digest);
  if (it == workspace_by_key_.end()) return nullptr;
  const auto workspace = workspaces.find(it->second);
  return workspace == workspaces.end() ? nullptr : &workspace->second;
}

const Route* Configuration::FindRoute(std::string_view host,
                                      std::string_view path) const {
  path = path.substr(0, path.find('?'));
  host = WithoutPort(host);
  const Route* best = nullptr;
  for (const auto& [name, route] : routes) {
    if (!route.host.empty() && route.host != host) continue;
    if (!IsPathPrefix(route.path, path)) continue;
    const bool has_better =
        best != nullptr && (best->host.empty() == route.host.empty()
                                ? best->path.size() >= route.path.size()
                                : route.host.empty());
    if (!has_better) best = &route;
  }
  return best;
}

bool Configuration::Allows(
    const std::string& service, RequestClass request_class,
    const std::string& data_centre,
    const std::map<std::string, std::string>& labels) const {
  bool has_allow_rule = false;
  bool allowed = false;
  for (const auto& [name, rule] : rules) {
    if (rule.service != service) continue;
    if (!rule.request_class.empty() &&
        rule.request_class != NameOf(request_class)) {
      continue;
    }
    const bool selected = Selects(rule, data_centre, labels);
    if (rule.action == RuleAction::kDeny) {
      if (selected) return false;
      continue;
    }
    has_allow_rule = true;
    allowed = allowed || selected;
  }
  return !has_allow_rule || allowed;
}

}  // namespace buckthorncart
