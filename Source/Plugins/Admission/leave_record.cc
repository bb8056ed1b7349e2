#include "Plugins/Admission/leave_record.h"

#include <memory>

#include "Kernel/plugin_registry.h"

namespace buckthorncart {
namespace {

const PluginRegistration kRegistration(
    PluginRank::kAdmission, [](const KernelSettings& /*settings*/) {
      return std::make_unique<LeaveRecord<StandardLeaveRecordRules>>();
    });

}  // namespace

std::string LeaveRecordKey(Address address) {
  return "left/" + address.ToString();
}

}  // namespace buckthorncart
