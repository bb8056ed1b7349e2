#include "Plugins/Configuration/version_survey.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kOperators, [](const KernelSettings& /*settings*/) {
      return std::make_unique<VersionSurvey<StandardVersionSurveyRules>>();
    });

}  // namespace
}  // namespace buckthorncart
