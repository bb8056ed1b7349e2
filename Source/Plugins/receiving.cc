#include "Plugins/receiving.h"

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kReceiving, [](const KernelSettings& settings) {
      return std::make_unique<Receiving<TwoRandomChoices>>(settings);
    });

}  // namespace
}  // namespace buckthorncart
