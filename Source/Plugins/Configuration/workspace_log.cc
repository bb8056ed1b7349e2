#include "Plugins/Configuration/workspace_log.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>
#include <vector>

#include "Kernel/context.h"
#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration, [](const KernelSettings& /*settings*/) {
      return std::make_unique<WorkspaceLog>();
    });

size_t CountMissing(const std::set<KeyDigest>& keys,
                    const std::set<KeyDigest>& others) {
  return static_cast<size_t>(std::count_if(
      keys.begin(), keys.end(),
      [&others](const KeyDigest& key) { return !others.contains(key); }));
}

}  // namespace

std::set<KeyDigest> KeysOf(const Configuration& configuration) {
  std::set<KeyDigest> keys;
  for (const auto& [name, workspace] : configuration.workspaces) {
    keys.insert(workspace.keys.begin(), workspace.keys.end());
  }
  return keys;
}

KeyChanges CompareKeys(const std::set<KeyDigest>& before,
                       const std::set<KeyDigest>& after) {
  return {CountMissing(after, before), CountMissing(before, after)};
}

void WorkspaceLog::Attach(Context& ctx) {
  ctx.AllMetrics().AddGauge(
      "workspaces", [this] { return static_cast<double>(workspaces_); });
  ctx.AllMetrics().AddGauge(
      "workspace_keys", [this] { return static_cast<double>(keys_.size()); });
}

void WorkspaceLog::Handle(Context& ctx, const Event& event) {
  if (!std::holds_alternative<ConfigurationAdopted>(event)) return;
  const Snapshot& held = *ctx.Shared().held;
  std::set<KeyDigest> keys = KeysOf(held.configuration);
  const size_t workspaces = held.configuration.workspaces.size();
  const KeyChanges changes = CompareKeys(keys_, keys);
  const bool changed =
      changes.added + changes.revoked > 0 || workspaces != workspaces_;
  keys_ = std::move(keys);
  workspaces_ = workspaces;
  if (!changed) return;
  ctx.Log(LogTopic::kWorkspaces,
          {{"version", std::to_string(held.version)},
           {"workspaces", std::to_string(workspaces)},
           {"keys", std::to_string(keys_.size())},
           {"added", std::to_string(changes.added)},
           {"revoked", std::to_string(changes.revoked)}});
}

}  // namespace buckthorncart
