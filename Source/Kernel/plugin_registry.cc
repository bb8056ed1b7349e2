#include "Kernel/plugin_registry.h"

#include <algorithm>
#include <utility>

namespace buckthorncart {

PluginRegistry& PluginRegistry::Instance() {
  static PluginRegistry registry;
  return registry;
}

void PluginRegistry::Add(PluginRank rank, Factory factory,
                         std::optional<ConfigurationSource> only_for) {
  entries_.push_back({rank, std::move(factory), only_for});
}

std::vector<std::unique_ptr<Plugin>> PluginRegistry::CreateAll(
    const KernelSettings& settings) const {
  std::vector<Entry> sorted = entries_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const Entry& a, const Entry& b) { return a.rank < b.rank; });
  std::vector<std::unique_ptr<Plugin>> plugins;
  plugins.reserve(sorted.size());
  for (const Entry& entry : sorted) {
    if (entry.only_for && *entry.only_for != settings.source) continue;
    plugins.push_back(entry.factory(settings));
  }
  return plugins;
}

PluginRegistration::PluginRegistration(
    PluginRank rank, PluginRegistry::Factory factory,
    std::optional<ConfigurationSource> only_for) {
  PluginRegistry::Instance().Add(rank, std::move(factory), only_for);
}

}  // namespace buckthorncart
