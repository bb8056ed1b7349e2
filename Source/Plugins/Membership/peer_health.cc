#include "Plugins/Membership/peer_health.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kClaims, [](const KernelSettings& /*settings*/) {
      return std::make_unique<PeerHealth<StandardPeerHealthRules>>();
    });

}  // namespace
}  // namespace buckthorncart
