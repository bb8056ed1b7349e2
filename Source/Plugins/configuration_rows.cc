#include "Plugins/configuration_rows.h"

namespace buckthorncart {
namespace {

constexpr size_t kVersionDigits = 12;

std::string Padded(uint64_t version) {
  const std::string digits = std::to_string(version);
  if (digits.size() >= kVersionDigits) return digits;
  return std::string(kVersionDigits - digits.size(), '0') + digits;
}

}  // namespace

std::string ChangeKey(uint64_t version) { return "change/" + Padded(version); }

std::string OperationKey(const std::string& operation_id) {
  return "op/" + operation_id;
}

std::string SnapshotName(uint64_t version) {
  return "snapshot/" + Padded(version);
}

}  // namespace buckthorncart
