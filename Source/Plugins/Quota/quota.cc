#include "Plugins/Quota/quota.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

// Before the call router, which asks the gate.
const PluginRegistration kRegistration(
    PluginRank::kAdmission, [](const KernelSettings& /*settings*/) {
      return std::make_unique<Quota<StandardQuotaPolicy>>();
    });

}  // namespace
}  // namespace buckthorncart
