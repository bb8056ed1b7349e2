#include "Plugins/Configuration/change_acceptor.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAcceptance,
    [](const KernelSettings& /*settings*/) {
      return std::make_unique<ChangeAcceptor<StandardAcceptanceRules>>();
    },
    ConfigurationSource::kAccepted);

}  // namespace
}  // namespace buckthorncart
