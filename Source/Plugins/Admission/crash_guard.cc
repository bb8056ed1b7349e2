#include "Plugins/Admission/crash_guard.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kCrashGuard, [](const KernelSettings& /*settings*/) {
      return std::make_unique<CrashGuard<StandardCrashGuardRules>>();
    });

}  // namespace
}  // namespace buckthorncart
