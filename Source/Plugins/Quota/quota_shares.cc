#include "Plugins/Quota/quota_shares.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kConfiguration, [](const KernelSettings& /*settings*/) {
      return std::make_unique<QuotaShares<StandardQuotaPolicy>>();
    });

}  // namespace
}  // namespace buckthorncart
