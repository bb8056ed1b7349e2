#include "Plugins/Configuration/configuration_rows.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace buckthorncart {
namespace {

constexpr size_t kVersionDigits = 12;
constexpr size_t kDigestDigits = 16;

std::string PadVersion(uint64_t version) {
  const std::string digits = std::to_string(version);
  if (digits.size() >= kVersionDigits) return digits;
  return std::string(kVersionDigits - digits.size(), '0') + digits;
}

}  // namespace

std::string ChangeKey(uint64_t version) {
  return "change/" + PadVersion(version);
}

std::string OperationKey(const std::string& operation_id) {
  return "op/" + operation_id;
}

std::string SnapshotName(const SnapshotRow& row) {
  std::string digest(kDigestDigits, '0');
  std::array<char, kDigestDigits> hex{};
  const auto [end, ec] =
      std::to_chars(hex.data(), hex.data() + hex.size(), row.digest, 16);
  const auto n = static_cast<size_t>(end - hex.data());
  std::copy(hex.data(), end,
            digest.end() - static_cast<std::string::difference_type>(n));
  return "snapshot/" + PadVersion(row.version) + "-" + digest;
}

}  // namespace buckthorncart
