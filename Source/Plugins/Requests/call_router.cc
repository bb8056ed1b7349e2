#include "Plugins/Requests/call_router.h"

#include <memory>

#include "Kernel/plugin_registry.h"
#include "Plugins/Requests/capacity_choice.h"

namespace buckthorncart {
namespace {

template <BackendChoice Choice>
std::unique_ptr<Plugin> CreateWith(const KernelSettings& settings) {
  return std::make_unique<CallRouter<Choice, StandardRequestRules>>(settings);
}

std::unique_ptr<Plugin> Create(const KernelSettings& settings) {
  switch (settings.choice) {
    case ChoicePolicy::kUniform:
      return CreateWith<UniformChoice>(settings);
    case ChoicePolicy::kLeastTime:
      return CreateWith<LeastTimeChoice>(settings);
    case ChoicePolicy::kNearest:
      if (settings.slot_policy == SlotPolicy::kLearned) {
        return CreateWith<CapacityChoice>(settings);
      }
      return CreateWith<NearestChoice>(settings);
    case ChoicePolicy::kTwoRandom:
      break;
  }
  return CreateWith<TwoRandomChoices>(settings);
}

const PluginRegistration kRegistration(PluginRank::kCallRouter, Create);

}  // namespace
}  // namespace buckthorncart
