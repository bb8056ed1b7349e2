#include "Plugins/Reports/burn_report.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kBurn, [](const KernelSettings& /*settings*/) {
      return std::make_unique<BurnReporter<RollingWindow>>();
    });

}  // namespace
}  // namespace buckthorncart
