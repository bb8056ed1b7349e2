#include "Plugins/Claims/claims.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kClaims,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<Claims<StandardClaimRules>>();
    },
    ConfigurationSource::kAccepted);

}  // namespace
}  // namespace buckthorncart
