#include "Plugins/Claims/claim_relay.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kClaims,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ClaimRelay<StandardClaimRelayRules>>();
    },
    ConfigurationSource::kAccepted);

}  // namespace
}  // namespace buckthorncart
