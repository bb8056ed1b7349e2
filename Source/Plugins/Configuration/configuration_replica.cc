#include "Plugins/Configuration/configuration_replica.h"

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

template <SpreadingPolicy Policy>
std::unique_ptr<Plugin> Create() {
  return std::make_unique<
      ConfigurationReplica<Policy, StandardConfigurationRules>>();
}

std::unique_ptr<Plugin> CreateFor(const KernelSettings& settings) {
  switch (settings.spreading) {
    case Spreading::kPush:
      return Create<PushSpreading>();
    case Spreading::kHint:
      return Create<HintSpreading>();
    case Spreading::kMixed:
      return Create<MixedSpreading>();
  }
  return nullptr;
}

const PluginRegistration kRegistration(PluginRank::kConfiguration, CreateFor,
                                       ConfigurationSource::kAccepted);

}  // namespace
}  // namespace buckthorncart
