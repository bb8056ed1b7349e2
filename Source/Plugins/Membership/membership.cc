#include "Plugins/Membership/membership.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kMembership, [](const KernelSettings& /*settings*/) {
      return std::make_unique<Membership<StandardMembershipRules>>();
    });

}  // namespace
}  // namespace buckthorncart
