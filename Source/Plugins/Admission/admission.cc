#include "Plugins/Admission/admission.h"

#include <memory>

#include "Kernel/plugin_registry.h"
#include "Plugins/Claims/claim_reply.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAdmission, [](const KernelSettings& settings) {
      return std::make_unique<Admission<StandardRequestRules>>(settings);
    });

}  // namespace
}  // namespace buckthorncart
